//! The progress of one exchange, readable after its future was dropped.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use super::counted_stream::StreamState;
use super::error::Sent;
use super::error::Step;

/// The current step of an exchange, and the evidence of whether its request was sent.
pub(crate) struct Progress(Mutex<State>);

struct State {
    step: Step,
    evidence: Evidence,
    /// When the latest part of the response's body arrived.
    received_at: Option<Instant>,
}

enum Evidence {
    /// No connection has the request.
    NotHandedOver,
    /// The connection carries only this request: it was sent if the stream has written more
    /// than `start_bytes`.
    Counted {
        stream: Arc<StreamState>,
        start_bytes: u64,
    },
    /// A shared connection has the request, and its written bytes cannot be attributed.
    HandedOver,
}

impl Progress {
    pub(crate) fn new() -> Self {
        Self(Mutex::new(State {
            step: Step::Build,
            evidence: Evidence::NotHandedOver,
            received_at: None,
        }))
    }

    pub(crate) fn step(&self) -> Step {
        self.with(|state| state.step)
    }

    pub(crate) fn enter(&self, step: Step) {
        self.with(|state| state.step = step);
    }

    /// Starts counting on a connection on which every further byte written belongs to this request.
    pub(crate) fn count_from(&self, stream: Arc<StreamState>) {
        let start_bytes = stream.written_bytes();
        let evidence = Evidence::Counted {
            stream,
            start_bytes,
        };
        self.with(|state| state.evidence = evidence);
    }

    /// Records that the request was handed to a connection shared with other requests.
    pub(crate) fn mark_handed_over(&self) {
        self.with(|state| state.evidence = Evidence::HandedOver);
    }

    /// Records that the connection returned the request without sending any of it.
    pub(crate) fn mark_returned(&self) {
        self.with(|state| state.evidence = Evidence::NotHandedOver);
    }

    /// Records that a part of the response's body has arrived.
    pub(crate) fn record_received(&self) {
        self.with(|state| state.received_at = Some(Instant::now()));
    }

    /// Returns when the latest part of the response's body arrived.
    pub(crate) fn received_at(&self) -> Option<Instant> {
        self.with(|state| state.received_at)
    }

    /// Returns whether the request may have been sent; final once the exchange's future is dropped.
    pub(crate) fn sent(&self) -> Sent {
        let is_unsent = self.with(|state| match &state.evidence {
            Evidence::NotHandedOver => true,
            Evidence::HandedOver => false,
            Evidence::Counted {
                stream,
                start_bytes,
            } => stream.written_bytes() == *start_bytes,
        });
        if is_unsent {
            Sent::Nothing
        } else {
            Sent::MayHaveArrived
        }
    }

    fn with<T>(&self, action: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        action(&mut state)
    }
}
