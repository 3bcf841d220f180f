//! A running upstream stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;

use super::faults::UpstreamFaults;
use super::handler::UpstreamHandler;
use super::messages::StartsReport;
use super::messages::UpstreamCounters;
use super::state::UpstreamState;
use crate::server::Server;

const DEFAULT_SLOTS: usize = 8;

/// Settings of an upstream stand-in.
#[value]
pub struct UpstreamSettings {
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The maximum number of tasks running at a time; its guard refuses more.
    pub slots: usize,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: DEFAULT_SLOTS,
        }
    }
}

/// A running upstream stand-in. Dropping it stops its server.
pub struct UpstreamStandIn {
    state: Arc<UpstreamState>,
    server: Server,
}

impl UpstreamStandIn {
    /// Starts a stand-in on smol's global executor.
    pub async fn start(settings: UpstreamSettings) -> io::Result<Self> {
        let state = Arc::new(UpstreamState::new(settings.slots));
        let handler = UpstreamHandler::new(Arc::clone(&state));
        let server = Server::start(settings.listen, handler).await?;
        Ok(Self { state, server })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the record of every start.
    pub fn report(&self) -> StartsReport {
        self.state.report()
    }

    /// Returns its counters.
    pub fn counters(&self) -> UpstreamCounters {
        self.state.counters()
    }

    /// Returns how often a task has started.
    pub fn starts(&self, task_id: &str) -> u64 {
        let report = self.report();
        report
            .tasks
            .iter()
            .find(|task| task.task_id == task_id)
            .map_or(0, |task| task.starts)
    }

    /// Waits until the server has stopped.
    pub async fn wait_until_stopped(&self) {
        self.server.wait_until_stopped().await;
    }
}
