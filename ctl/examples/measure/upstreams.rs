//! The subcommand that runs several upstream stand-ins in one process.

use std::error::Error;

use almondhead_testsupport::UpstreamSettings;
use almondhead_testsupport::UpstreamStandIn;

/// The line that is printed once all stand-ins listen.
pub(crate) const ALL_LISTEN: &str = "all listen";

/// The prefix of the line that is printed with each stand-in's address.
pub(crate) const LISTENING: &str = "listening ";

/// Runs `count` upstream stand-ins until the process is killed.
pub(crate) async fn serve(count: usize) -> Result<(), Box<dyn Error>> {
    let mut upstreams = Vec::new();
    for _ in 0..count {
        let upstream = UpstreamStandIn::start(UpstreamSettings::default()).await?;
        println!("{LISTENING}{}", upstream.address());
        upstreams.push(upstream);
    }
    println!("{ALL_LISTEN}");
    std::future::pending().await
}
