//! The HTTP listeners of the process.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;

use async_io::Async;
use derive_more::Display;
use derive_more::Error;
use trillium::Handler;
use trillium::HttpConfig;
use trillium_server_common::ServerHandle;

use crate::guarded_transport::GuardingAcceptor;
use crate::settings::Limits;

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

/// Serves HTTP on a listener, with the limits on heads, bodies and connections enforced.
pub(crate) fn serve(
    listener: Async<TcpListener>,
    limits: &Limits,
    handler: impl Handler,
) -> ServerHandle {
    let http = HttpConfig::default()
        .with_head_max_len(limits.head_bytes)
        .with_received_body_max_len(limits.body_bytes);
    trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_max_connections(None)
        .with_acceptor(GuardingAcceptor::new(limits))
        .with_http_config(http)
        .with_prebound_server(smol::net::TcpListener::from(listener))
        .spawn(handler)
}
