//! Faults that a proxy can be told to inject.

use almondhead_macros::value;

/// The faults in force; the default is none. Each acts on open connections too.
#[value]
#[derive(Default)]
pub struct ProxyFaults {
    /// Holds each piece of data back by this long, in both directions, in milliseconds.
    pub delay_ms: u64,
    /// Cuts a connection once it has passed on this many bytes to the server.
    pub cut_request_after_bytes: Option<u64>,
    /// Cuts a connection once it has passed on this many bytes to the client.
    pub cut_answer_after_bytes: Option<u64>,
    /// Passes nothing on to the server; what comes meanwhile is passed on after healing.
    pub black_hole_requests: bool,
    /// Passes nothing on to the client; what comes meanwhile is passed on after healing.
    pub black_hole_answers: bool,
    /// Holds each answer until it is released.
    pub hold_answers: bool,
}

impl ProxyFaults {
    /// Returns faults that pass nothing on in either direction.
    pub fn black_hole() -> Self {
        Self {
            black_hole_requests: true,
            black_hole_answers: true,
            ..Self::default()
        }
    }
}
