//! A timer service without a clock: components subscribe to points in time and poll for those
//! that are due.

use std::collections::BTreeMap;

use almondhead_macros::key;

use crate::time::Timestamp;

/// Identifies one subscription, for cancelling it.
#[key]
pub struct TimerKey {
    at: Timestamp,
    number: u64,
}

/// Subscriptions to points in time, each with a value of the subscriber.
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
    /// Subscribes to the time `at`; subscriptions to equal times become due in the order in which
    /// they were made.
    pub fn subscribe(&mut self, at: Timestamp, value: T) -> TimerKey {
        let key = TimerKey {
            at,
            number: self.next_number,
        };
        self.next_number += 1;
        self.subscriptions.insert(key, value);
        key
    }

    /// Cancels a subscription; does nothing when it was already removed.
    pub fn cancel(&mut self, key: TimerKey) {
        self.subscriptions.remove(&key);
    }

    /// The time of the earliest subscription.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.subscriptions.keys().next().map(|key| key.at)
    }

    /// Removes the earliest subscription that is due and returns its value.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<T> {
        let entry = self.subscriptions.first_entry()?;
        if entry.key().at > now {
            return None;
        }
        Some(entry.remove())
    }
}
