//! The faults that a proxy can inject.

use almondhead_macros::value;

/// The faults to inject; none by default. They apply to open connections too.
#[value]
#[derive(Default)]
pub struct ProxyFaults {
    /// Delays each chunk of data in both directions, in milliseconds.
    pub delay_ms: u64,
    /// Cuts a connection once this many bytes have been forwarded to the server.
    pub cut_request_after_bytes: Option<u64>,
    /// Cuts a connection once this many bytes have been forwarded to the client.
    pub cut_answer_after_bytes: Option<u64>,
    /// Forwards nothing to the server; data received meanwhile is forwarded once the fault ends.
    pub black_hole_requests: bool,
    /// Forwards nothing to the client; data received meanwhile is forwarded once the fault ends.
    pub black_hole_answers: bool,
    /// Holds each answer until it is released.
    pub hold_answers: bool,
}

impl ProxyFaults {
    /// Returns the faults that forward nothing in either direction.
    pub fn black_hole() -> Self {
        Self {
            black_hole_requests: true,
            black_hole_answers: true,
            ..Self::default()
        }
    }
}
