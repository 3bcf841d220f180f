//! An HTTP server that runs until it is dropped.

use std::io;
use std::net::SocketAddr;

use smol::net::TcpListener;
use trillium::Handler;
use trillium_server_common::ServerHandle;

/// A running HTTP server.
pub struct Server {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Server {
    /// Binds `listen`, where port 0 selects a free port, and serves on smol's global executor.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn start(listen: SocketAddr, handler: impl Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let handle = trillium_smol::config()
            .with_prebound_server(listener)
            .without_signals()
            .with_nodelay()
            .spawn(handler);
        Ok(Self { address, handle })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server has stopped.
    pub(crate) async fn wait_until_stopped(&self) {
        self.handle.clone().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        drop(self.handle.shut_down());
    }
}
