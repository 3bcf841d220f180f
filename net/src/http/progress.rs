//! How far one exchange has come, readable after its future was dropped.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::error::Sent;
use super::error::Step;

/// The step that an exchange is at, and the evidence of what it has sent.
pub(crate) struct Progress(Mutex<State>);

struct State {
    step: Step,
    evidence: Evidence,
}

enum Evidence {
    NotHandedOver,
    Counted {
        written_bytes: Arc<AtomicU64>,
        start_bytes: u64,
    },
    HandedOver,
}

impl Progress {
    pub(crate) fn new() -> Self {
        Self(Mutex::new(State {
            step: Step::Build,
            evidence: Evidence::NotHandedOver,
        }))
    }

    pub(crate) fn step(&self) -> Step {
        self.with(|state| state.step)
    }

    pub(crate) fn enter(&self, step: Step) {
        self.with(|state| state.step = step);
    }

    /// Starts counting on a connection whose every further written byte is this request's.
    pub(crate) fn count_from(&self, written_bytes: Arc<AtomicU64>) {
        let start_bytes = written_bytes.load(Ordering::Acquire);
        let evidence = Evidence::Counted {
            written_bytes,
            start_bytes,
        };
        self.with(|state| state.evidence = evidence);
    }

    /// Notes that the request was handed to a connection that other requests share.
    pub(crate) fn hand_over(&self) {
        self.with(|state| state.evidence = Evidence::HandedOver);
    }

    /// Notes that the connection gave the request back untouched.
    pub(crate) fn take_back(&self) {
        self.with(|state| state.evidence = Evidence::NotHandedOver);
    }

    /// Says what can have been sent. Final once the exchange's future is dropped.
    pub(crate) fn sent(&self) -> Sent {
        let untouched = self.with(|state| match &state.evidence {
            Evidence::NotHandedOver => true,
            Evidence::HandedOver => false,
            Evidence::Counted {
                written_bytes,
                start_bytes,
            } => written_bytes.load(Ordering::Acquire) == *start_bytes,
        });
        if untouched {
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
