//! Detection of repeated message numbers in bounded memory.

use std::collections::BTreeSet;

/// A window over the highest numbers seen; any number below the window counts as seen.
#[derive(Debug)]
pub struct ReplayWindow {
    capacity: usize,
    low: u64,
    seen: BTreeSet<u64>,
}

impl ReplayWindow {
    /// Creates a window that remembers at most `capacity` numbers.
    pub fn new(capacity: usize) -> Self {
        ReplayWindow {
            capacity,
            low: 0,
            seen: BTreeSet::new(),
        }
    }

    /// Records `number` and returns whether it is certainly new.
    pub fn record(&mut self, number: u64) -> bool {
        if number < self.low || !self.seen.insert(number) {
            return false;
        }
        if self.seen.len() > self.capacity
            && let Some(lowest) = self.seen.pop_first()
        {
            self.low = lowest + 1;
        }
        true
    }
}
