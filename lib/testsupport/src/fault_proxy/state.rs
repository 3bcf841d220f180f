//! The state that a proxy and its connections share.

use std::net::SocketAddr;
use std::sync::Mutex;

use async_channel::Receiver;
use async_channel::Sender;
use indexmap::IndexMap;
use smol::Task;
use smol::net::TcpStream;

use super::counters::ProxyCounters;
use super::faults::ProxyFaults;
use super::held_answers::HeldAnswers;
use crate::locking::lock;

/// A proxy's target, faults, counters, held answers and open connections.
pub(crate) struct ProxyState {
    /// The server that connections are forwarded to.
    pub(crate) target: SocketAddr,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    faults: ProxyFaults,
    counters: ProxyCounters,
    held: HeldAnswers,
    connections: IndexMap<u64, ProxyConnection>,
}

/// An open connection. Dropping it cuts the connection.
pub(crate) struct ProxyConnection {
    /// The client's side.
    pub(crate) client: TcpStream,
    /// The task that forwards its data.
    pub(crate) forwarding: Task<()>,
}

impl ProxyState {
    pub(crate) fn new(target: SocketAddr) -> Self {
        Self {
            target,
            inner: Mutex::default(),
        }
    }

    pub(crate) fn faults(&self) -> ProxyFaults {
        lock(&self.inner).faults.clone()
    }

    pub(crate) fn set_faults(&self, faults: ProxyFaults) {
        lock(&self.inner).faults = faults;
    }

    pub(crate) fn counters(&self) -> ProxyCounters {
        lock(&self.inner).counters.clone()
    }

    pub(crate) fn count(&self, count: impl FnOnce(&mut ProxyCounters)) {
        count(&mut lock(&self.inner).counters);
    }

    /// Numbers a new connection of this client and keeps the task that `serve` spawns for it.
    pub(crate) fn open(&self, client: TcpStream, serve: impl FnOnce(u64) -> Task<()>) {
        let mut inner = lock(&self.inner);
        let counters = &mut inner.counters;
        counters.connections += 1;
        counters.open += 1;
        counters.open_peak = counters.open_peak.max(counters.open);
        let number = counters.connections;
        let forwarding = serve(number);
        let connection = ProxyConnection { client, forwarding };
        inner.connections.insert(number, connection);
    }

    /// Removes a connection that has ended by itself.
    pub(crate) fn close(&self, number: u64) {
        let mut inner = lock(&self.inner);
        if let Some(connection) = inner.connections.swap_remove(&number) {
            inner.counters.open -= 1;
            connection.forwarding.detach();
        }
    }

    /// Removes and returns all open connections. Dropping an item cuts its connection.
    pub(crate) fn take_connections(&self) -> Vec<ProxyConnection> {
        let mut inner = lock(&self.inner);
        let connections = std::mem::take(&mut inner.connections);
        inner.counters.cuts += connections.len() as u64;
        inner.counters.open = 0;
        connections.into_values().collect()
    }

    /// Holds an answer under the fault `hold_answers`; the returned channel is closed on release.
    pub(crate) fn hold_answer(&self) -> Option<Receiver<()>> {
        let mut inner = lock(&self.inner);
        if !inner.faults.hold_answers {
            return None;
        }
        inner.counters.held += 1;
        Some(inner.held.hold())
    }

    /// Stops holding answers, and returns the held ones in order of arrival.
    pub(crate) fn take_held(&self) -> Vec<Sender<()>> {
        let mut inner = lock(&self.inner);
        inner.faults.hold_answers = false;
        let held = inner.held.take();
        inner.counters.released += held.len() as u64;
        held
    }
}
