//! Runs a platform stand-in as a process.

use std::error::Error;

use almondhead_testsupport::PlatformSettings;
use almondhead_testsupport::PlatformStandIn;
use almondhead_testsupport::listen_address;
use almondhead_testsupport::stand_in_command;

const ABOUT: &str = "Serves a table, an object store and a list of instances from memory";

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = stand_in_command("standin-platform", ABOUT).get_matches();
    let listen = listen_address(&arguments);
    smol::block_on(async {
        let stand_in = PlatformStandIn::start(PlatformSettings { listen }).await?;
        println!("listening {}", stand_in.address());
        stand_in.wait_until_stopped().await;
        Ok(())
    })
}
