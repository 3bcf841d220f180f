//! A timer service: parts subscribe to points in time and are told when they have come.

use std::collections::BTreeMap;

use almondhead_macros::key;

use crate::time::Timestamp;

/// One subscription, for taking it back.
#[key]
pub struct TimerKey {
    at: Timestamp,
    number: u64,
}

/// Subscriptions to points in time, each with the value that its part gave.
#[derive(Debug)]
pub struct TimerService<T> {
    next_number: u64,
    subscriptions: BTreeMap<TimerKey, T>,
}

impl<T> Default for TimerService<T> {
    fn default() -> Self {
        TimerService {
            next_number: 0,
            subscriptions: BTreeMap::new(),
        }
    }
}

impl<T> TimerService<T> {
    /// Subscribes to the point `at`; equal points come in the order of subscription.
    pub fn subscribe(&mut self, at: Timestamp, value: T) -> TimerKey {
        let key = TimerKey {
            at,
            number: self.next_number,
        };
        self.next_number += 1;
        self.subscriptions.insert(key, value);
        key
    }

    /// Takes a subscription back; one that has come already is ignored.
    pub fn cancel(&mut self, key: TimerKey) {
        self.subscriptions.remove(&key);
    }

    /// The earliest point that is subscribed to.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.subscriptions.keys().next().map(|key| key.at)
    }

    /// Removes and gives the earliest subscription whose point has come.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<T> {
        let entry = self.subscriptions.first_entry()?;
        if entry.key().at > now {
            return None;
        }
        Some(entry.remove())
    }
}
