//! The requests that were forwarded to the homes of their jobs.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::id::Incarnation;
use crate::job::Waiter;
use crate::time::Timestamp;

/// A request that was forwarded to a home and is not answered yet.
#[derive(Debug)]
pub(crate) struct Forward {
    pub(crate) waiter: Waiter,
    pub(crate) instance: Arc<str>,
    pub(crate) home: Incarnation,
    pub(crate) sent_at: Timestamp,
}

/// All forwarded requests that are not answered yet, by correlation number.
#[derive(Debug)]
pub(crate) struct ForwardTable {
    last_correlation: u64,
    forwards: IndexMap<u64, Forward>,
}

impl ForwardTable {
    /// Creates an empty table whose numbers follow `first_number`.
    pub(crate) fn new(first_number: u64) -> Self {
        ForwardTable {
            last_correlation: first_number,
            forwards: IndexMap::new(),
        }
    }

    /// Inserts a forwarded request and returns its correlation number.
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

    /// Removes the forwarded request of this waiter; returns whether there was one.
    pub(crate) fn remove_waiter(&mut self, waiter: &Waiter) -> bool {
        let found = self.forwards.iter().find(|(_, f)| f.waiter == *waiter);
        let Some(correlation) = found.map(|(correlation, _)| *correlation) else {
            return false;
        };
        self.forwards.swap_remove(&correlation).is_some()
    }

    /// Removes the requests forwarded to incarnations of an instance other than `current`.
    pub(crate) fn remove_stale(&mut self, instance: &str, current: Incarnation) -> Vec<Forward> {
        let is_stale = |f: &Forward| &*f.instance == instance && f.home != current;
        let forwards = self.forwards.iter();
        let numbers: Vec<u64> = forwards
            .filter(|(_, f)| is_stale(f))
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
