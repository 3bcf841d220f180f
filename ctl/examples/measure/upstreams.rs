//! Some upstream stand-ins in one process.

use std::error::Error;

use almondhead_testsupport::UpstreamSettings;
use almondhead_testsupport::UpstreamStandIn;

/// The last line that the process writes when all listen.
pub(crate) const ALL_LISTEN: &str = "all listen";

/// What stands before each address.
pub(crate) const LISTENING: &str = "listening ";

/// Runs `count` upstreams until the process is ended.
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
