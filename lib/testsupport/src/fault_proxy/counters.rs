//! The counters of a proxy.

use almondhead_macros::value;

/// Counters of connections, bytes and faults that took effect.
#[value]
#[derive(Default)]
pub struct ProxyCounters {
    /// Connections accepted from clients.
    pub connections: u64,
    /// Connections open now.
    pub open: u64,
    /// The maximum number of connections open at a time.
    pub open_peak: u64,
    /// Bytes forwarded to the server.
    pub request_bytes: u64,
    /// Bytes forwarded to clients.
    pub answer_bytes: u64,
    /// Connections cut.
    pub cuts: u64,
    /// Chunks of data delayed.
    pub delayed: u64,
    /// Chunks of data held in a black hole.
    pub black_holed: u64,
    /// Answers held by the fault `hold_answers`.
    pub held: u64,
    /// Held answers released.
    pub released: u64,
    /// Connections closed because the server could not be reached.
    pub unreachable: u64,
}
