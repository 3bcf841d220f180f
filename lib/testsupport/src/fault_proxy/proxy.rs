//! A running fault proxy.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_lite::io::copy;
use futures_lite::io::sink;
use smol::Task;
use smol::Timer;
use smol::net::TcpListener;

use super::connection::serve;
use super::counters::ProxyCounters;
use super::faults::ProxyFaults;
use super::state::ProxyState;
use crate::locking::lock;

/// The pause between two released answers, so that they arrive in the order of their release.
const RELEASE_INTERVAL: Duration = Duration::from_millis(5);

/// A TCP proxy on smol's global executor. Dropping it closes its listener and its connections.
pub struct FaultProxy {
    address: SocketAddr,
    state: Arc<ProxyState>,
    listening: Mutex<Option<Task<()>>>,
}

impl FaultProxy {
    /// Starts a proxy on a free loopback port in front of `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(ProxyState::new(target));
        let listening = Mutex::new(Some(accept(listener, &state)));
        Ok(Self {
            address,
            state,
            listening,
        })
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its counters.
    pub fn counters(&self) -> ProxyCounters {
        self.state.counters()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.state.set_faults(faults);
    }

    /// Cuts all open connections. Those with data that the proxy has not read are reset.
    pub fn cut_all(&self) {
        drop(self.state.take_connections());
    }

    /// Closes all open connections without a reset: what clients still send is read and discarded.
    pub async fn close_all(&self) {
        for connection in self.state.take_connections() {
            connection.forwarding.cancel().await;
            // The client may have closed it already.
            let _ = connection.client.shutdown(Shutdown::Write);
            smol::spawn(copy(connection.client, sink())).detach();
        }
    }

    /// Refuses new connections until [`FaultProxy::heal`] is called. Open connections stay open.
    pub async fn refuse(&self) {
        let listening = lock(&self.listening).take();
        if let Some(listening) = listening {
            listening.cancel().await;
        }
    }

    /// Ends all faults: forwards data held in a black hole, releases held answers and accepts new
    /// connections again.
    pub async fn heal(&self) -> io::Result<()> {
        self.state.set_faults(ProxyFaults::default());
        drop(self.state.take_held());
        let refusing = lock(&self.listening).is_none();
        if refusing {
            let listener = TcpListener::bind(self.address).await?;
            *lock(&self.listening) = Some(accept(listener, &self.state));
        }
        Ok(())
    }

    /// Releases the held answers, the newest first, and stops holding answers.
    pub async fn release_reversed(&self) {
        for answer in self.state.take_held().into_iter().rev() {
            drop(answer);
            Timer::after(RELEASE_INTERVAL).await;
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        drop(lock(&self.listening).take());
        self.cut_all();
    }
}

fn accept(listener: TcpListener, state: &Arc<ProxyState>) -> Task<()> {
    let state = Arc::clone(state);
    smol::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let serving = Arc::clone(&state);
            state.open(client.clone(), |number| {
                smol::spawn(async move {
                    serve(&serving, client).await;
                    serving.close(number);
                })
            });
        }
    })
}
