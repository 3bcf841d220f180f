//! The accept loop of the HTTP listeners, within the budget of connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::yield_now;
use smol::Timer;
use smol::net::TcpListener;
use trillium_server_common::Server;
use trillium_smol::SmolRuntime;
use trillium_smol::SmolUdpSocket;

use crate::connection_budget::Audience;
use crate::connection_budget::ConnectionBudget;
use crate::guarded_transport::GuardSettings;
use crate::guarded_transport::GuardedTransport;
use crate::log_limit::LogLimit;

/// The pause after a connection could not be accepted, such as for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A listener whose connections are counted against a budget and guarded.
pub(crate) struct BudgetedServer {
    pub(crate) listener: TcpListener,
    pub(crate) audience: Audience,
    pub(crate) budget: Arc<ConnectionBudget>,
    pub(crate) guard: GuardSettings,
    pub(crate) log_limit: LogLimit,
}

impl Server for BudgetedServer {
    type Runtime = SmolRuntime;
    type Transport = GuardedTransport;
    type UdpTransport = SmolUdpSocket;

    /// Accepts the next connection for which there is room; others are closed at once.
    async fn accept(&mut self) -> io::Result<GuardedTransport> {
        loop {
            match self.listener.accept().await {
                Ok((stream, address)) => {
                    // Lets the connections read that were accepted before, and those end that were closed for others.
                    yield_now().await;
                    if let Some(transport) = self.admit(stream, address) {
                        return Ok(transport);
                    }
                }
                Err(error) => {
                    if let Some(suppressed) = self.log_limit.permit() {
                        let audience = self.audience;
                        tracing::warn!(%error, ?audience, suppressed, "connection not accepted");
                    }
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn runtime() -> SmolRuntime {
        SmolRuntime::default()
    }
}

impl BudgetedServer {
    fn admit(&self, stream: smol::net::TcpStream, address: SocketAddr) -> Option<GuardedTransport> {
        let open = self.budget.open(self.audience, stream.clone());
        if open.is_none()
            && let Some(suppressed) = self.log_limit.permit()
        {
            let audience = self.audience;
            tracing::warn!(%address, ?audience, suppressed, "connection refused: too many are open");
        }
        Some(GuardedTransport::new(stream, open?, self.guard))
    }
}
