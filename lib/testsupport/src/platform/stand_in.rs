//! A running platform stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;
use almondhead_net::ListedInstance;
use almondhead_net::Platform;

use super::counters::PlatformCounters;
use super::faults::PlatformFaults;
use super::handler::PlatformHandler;
use super::state::PlatformState;
use crate::server::Server;

/// Settings of a platform stand-in.
#[value]
pub struct PlatformSettings {
    /// The address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}

/// A running platform stand-in. Dropping it stops its server.
pub struct PlatformStandIn {
    state: Arc<PlatformState>,
    server: Server,
}

impl PlatformStandIn {
    /// Starts a stand-in on smol's global executor.
    pub async fn start(settings: PlatformSettings) -> io::Result<Self> {
        let state = Arc::new(PlatformState::new());
        let handler = PlatformHandler::new(Arc::clone(&state));
        let server = Server::start(settings.listen, handler).await?;
        Ok(Self { state, server })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.set_faults(faults);
    }

    /// Returns its counters.
    pub fn counters(&self) -> PlatformCounters {
        self.state.counters()
    }

    /// Returns its rows, objects and list of instances; access to them is neither counted nor
    /// subject to faults.
    pub fn contents(&self) -> &dyn Platform {
        &self.state.memory
    }

    /// Adds an instance to the list.
    pub async fn announce(&self, instance: ListedInstance) {
        let announced = self.state.announce(instance).await;
        announced.expect("the in-memory platform never fails");
    }

    /// Marks an instance as leaving; an instance that is not listed is ignored.
    pub async fn set_leaving(&self, name: &str) {
        let marked = self.state.set_leaving(name).await;
        marked.expect("the in-memory platform never fails");
    }

    /// Lists an instance under another peer address than its own, such as that of a proxy.
    pub fn set_peer_address(&self, name: &str, address: SocketAddr) {
        self.state.set_peer_address(name, address);
    }

    /// Removes an instance from the list, as if the platform had detected its end.
    pub async fn end_instance(&self, name: &str) {
        let ended = self.state.end_instance(name).await;
        ended.expect("the in-memory platform never fails");
    }

    /// Waits until the server has stopped.
    pub async fn wait_until_stopped(&self) {
        self.server.wait_until_stopped().await;
    }
}
