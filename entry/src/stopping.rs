//! Whether the process has been asked to stop.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// A flag that is set once the process is asked to stop; clones share it.
#[derive(Clone, Default)]
pub(crate) struct Stopping(Arc<AtomicBool>);

impl Stopping {
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
