//! The HTTP listeners of the process.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use async_io::Async;
use derive_more::Display;
use derive_more::Error;
use trillium::Handler;
use trillium::HttpConfig;
use trillium_server_common::Config;
use trillium_server_common::ServerHandle;

use crate::budgeted_server::BudgetedServer;
use crate::connection_budget::Audience;
use crate::connection_budget::ConnectionBudget;
use crate::guarded_transport::GuardSettings;
use crate::log_limit::LogLimit;
use crate::settings::Limits;

/// The most memory that is taken for a body because of its announced length alone, in bytes.
const MAX_ANNOUNCED_BYTES: usize = 4 * 1_024;

/// Why a listener cannot be opened.
#[derive(Debug, Display, Error)]
#[display("listen for {purpose} at {address}: {source}")]
pub struct ListenError {
    purpose: &'static str,
    address: SocketAddr,
    source: io::Error,
}

/// Opens a TCP listener; `purpose` names it in errors.
pub(crate) fn bind(
    purpose: &'static str,
    address: SocketAddr,
) -> Result<Async<TcpListener>, ListenError> {
    Async::<TcpListener>::bind(address).map_err(|source| ListenError {
        purpose,
        address,
        source,
    })
}

/// The limits that all listeners of the process share.
pub(crate) struct ListenerLimits {
    /// The budget of connections.
    pub(crate) budget: Arc<ConnectionBudget>,
    /// The limits on heads, bodies and times.
    pub(crate) limits: Limits,
    /// Whether HTTP/2 is offered.
    pub(crate) offers_http2: bool,
}

/// Serves HTTP on a listener, with the limits on heads, bodies and connections enforced.
pub(crate) fn serve(
    listener: Async<TcpListener>,
    audience: Audience,
    shared: &ListenerLimits,
    handler: impl Handler,
) -> ServerHandle {
    let limits = &shared.limits;
    let http = HttpConfig::default()
        .with_head_max_len(limits.head_bytes)
        .with_received_body_max_len(limits.body_bytes)
        .with_received_body_max_preallocate(MAX_ANNOUNCED_BYTES);
    let server = BudgetedServer {
        listener: smol::net::TcpListener::from(listener),
        audience,
        budget: Arc::clone(&shared.budget),
        guard: GuardSettings::new(limits, shared.offers_http2),
        log_limit: LogLimit::default(),
    };
    Config::<BudgetedServer, ()>::new()
        .without_signals()
        .with_nodelay()
        .with_max_connections(Some(usize::MAX))
        .with_http_config(http)
        .with_prebound_server(server)
        .spawn(handler)
}
