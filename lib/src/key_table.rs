//! The idempotency keys that this incarnation claimed or is claiming.

use std::sync::Arc;

use almondhead_macros::value;
use indexmap::IndexMap;

use crate::keys::JobKey;
use crate::time::Timestamp;

/// An idempotency key of a team.
#[value]
#[derive(Hash)]
pub(crate) struct KeyName {
    pub(crate) team: Arc<str>,
    pub(crate) key: Arc<str>,
}

/// What this incarnation knows of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// Nothing is known here; the table may know more.
    Unknown,
    /// The job under it, open or with its kept answer.
    Job(JobKey),
    /// The key is ours, and nothing ran under it.
    OwnedNotRun,
    /// Claims of ours may have taken effect or not, and nothing ran under the key since.
    Unresolved {
        /// The number of the first of these claims.
        first_claim: u64,
    },
}

#[derive(Debug)]
struct KeyRecord {
    state: KeyState,
    expires_at: Timestamp,
}

/// The keys known here, bounded in count.
#[derive(Debug)]
pub(crate) struct KeyTable {
    max_keys: usize,
    keys: IndexMap<KeyName, KeyRecord>,
}

impl KeyTable {
    pub(crate) fn new(max_keys: usize) -> Self {
        KeyTable {
            max_keys,
            keys: IndexMap::new(),
        }
    }

    /// What is known of a key.
    pub(crate) fn state(&self, name: &KeyName) -> KeyState {
        self.keys
            .get(name)
            .map_or(KeyState::Unknown, |record| record.state)
    }

    /// Sets what is known of a key until `expires_at`; forgetting is always safe.
    pub(crate) fn set(&mut self, name: KeyName, state: KeyState, expires_at: Timestamp) {
        if state == KeyState::Unknown {
            self.keys.swap_remove(&name);
            return;
        }
        if self.keys.len() >= self.max_keys && !self.keys.contains_key(&name) {
            self.keys.swap_remove_index(0);
        }
        self.keys.insert(name, KeyRecord { state, expires_at });
    }

    /// Forgets the keys whose time is over.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.keys.retain(|_, record| record.expires_at > now);
    }
}
