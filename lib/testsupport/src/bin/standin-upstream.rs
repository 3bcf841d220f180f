//! Runs an upstream stand-in as a process.

use std::error::Error;

use almondhead_testsupport::UpstreamSettings;
use almondhead_testsupport::UpstreamStandIn;
use almondhead_testsupport::listen_address;
use almondhead_testsupport::stand_in_command;
use clap::Arg;
use clap::Command;
use clap::value_parser;

const ABOUT: &str = "Runs tasks like an upstream and records every start";

fn command() -> Command {
    let slots = Arg::new("slots")
        .long("slots")
        .value_name("COUNT")
        .help("The maximum number of tasks running at a time")
        .default_value("8")
        .value_parser(value_parser!(usize));
    stand_in_command("standin-upstream", ABOUT).arg(slots)
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = command().get_matches();
    let settings = UpstreamSettings {
        listen: listen_address(&arguments),
        slots: *arguments.get_one("slots").expect("--slots has a default"),
    };
    smol::block_on(async {
        let stand_in = UpstreamStandIn::start(settings).await?;
        println!("listening {}", stand_in.address());
        stand_in.wait_until_stopped().await;
        Ok(())
    })
}
