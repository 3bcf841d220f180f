//! What a proxy did.

use almondhead_macros::value;

/// Counts of connections, bytes and faults that really happened.
#[value]
#[derive(Default)]
pub struct ProxyCounters {
    /// Connections accepted from clients.
    pub connections: u64,
    /// Connections open now.
    pub open: u64,
    /// Most connections open at a time.
    pub open_peak: u64,
    /// Bytes passed on to the server.
    pub request_bytes: u64,
    /// Bytes passed on to clients.
    pub answer_bytes: u64,
    /// Connections cut.
    pub cuts: u64,
    /// Pieces of data held back by the delay.
    pub delayed: u64,
    /// Pieces of data caught in a black hole.
    pub black_holed: u64,
    /// Answers held.
    pub held: u64,
    /// Answers released.
    pub released: u64,
    /// Connections closed as the server could not be reached.
    pub unreachable: u64,
}
