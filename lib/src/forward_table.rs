//! The requests that were handed to the homes of their jobs.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::id::Incarnation;
use crate::job::Waiter;
use crate::time::Timestamp;

/// One request at a home.
#[derive(Debug)]
pub(crate) struct Forward {
    pub(crate) waiter: Waiter,
    pub(crate) instance: Arc<str>,
    pub(crate) home: Incarnation,
    pub(crate) sent_at: Timestamp,
}

/// All requests that homes have not answered, by their number.
#[derive(Debug)]
pub(crate) struct ForwardTable {
    last_correlation: u64,
    forwards: IndexMap<u64, Forward>,
}

impl ForwardTable {
    /// An empty table whose numbers follow `first_number`.
    pub(crate) fn new(first_number: u64) -> Self {
        ForwardTable {
            last_correlation: first_number,
            forwards: IndexMap::new(),
        }
    }

    /// Keeps a forward and gives its number.
    pub(crate) fn insert(&mut self, forward: Forward) -> u64 {
        self.last_correlation += 1;
        self.forwards.insert(self.last_correlation, forward);
        self.last_correlation
    }

    pub(crate) fn get(&self, correlation: u64) -> Option<&Forward> {
        self.forwards.get(&correlation)
    }

    pub(crate) fn remove(&mut self, correlation: u64) -> Option<Forward> {
        self.forwards.swap_remove(&correlation)
    }

    /// Removes the forward whose answer this request waits for.
    pub(crate) fn remove_waiter(&mut self, waiter: &Waiter) -> bool {
        let found = self.forwards.iter().find(|(_, f)| f.waiter == *waiter);
        let Some(correlation) = found.map(|(correlation, _)| *correlation) else {
            return false;
        };
        self.forwards.swap_remove(&correlation).is_some()
    }

    /// Removes the forwards to an instance whose home is not `alive`.
    pub(crate) fn remove_gone(&mut self, instance: &str, alive: Incarnation) -> Vec<Forward> {
        let gone = |f: &Forward| &*f.instance == instance && f.home != alive;
        let forwards = self.forwards.iter();
        let numbers: Vec<u64> = forwards
            .filter(|(_, f)| gone(f))
            .map(|(number, _)| *number)
            .collect();
        numbers
            .iter()
            .filter_map(|number| self.remove(*number))
            .collect()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.forwards.is_empty()
    }
}
