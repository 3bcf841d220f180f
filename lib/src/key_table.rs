//! The idempotency keys that this incarnation has claimed or is claiming.

use std::sync::Arc;

use almondhead_macros::value;
use indexmap::IndexMap;

use crate::keys::JobKey;
use crate::time::Timestamp;

/// An idempotency key of a team.
#[value]
#[derive(Hash)]
pub(crate) struct IdempotencyKey {
    pub(crate) team: Arc<str>,
    pub(crate) key: Arc<str>,
}

/// The state of a key as known to this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyState {
    /// Nothing is known here; the platform's table may hold a claim.
    Unknown,
    /// This incarnation is home to the key's job, which is open or whose answer is kept.
    Job(JobKey),
    /// This incarnation has claimed the key, and nothing has run under it.
    ClaimedNotRun,
    /// Whether this incarnation's claims have taken effect is unknown; nothing has run under the key
    /// since.
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

/// The known keys, limited in number.
#[derive(Debug)]
pub(crate) struct KeyTable {
    max_keys: usize,
    keys: IndexMap<IdempotencyKey, KeyRecord>,
}

impl KeyTable {
    pub(crate) fn new(max_keys: usize) -> Self {
        KeyTable {
            max_keys,
            keys: IndexMap::new(),
        }
    }

    /// The state of a key.
    pub(crate) fn state(&self, name: &IdempotencyKey) -> KeyState {
        self.keys
            .get(name)
            .map_or(KeyState::Unknown, |record| record.state)
    }

    /// Records the state of a key until `expires_at`.
    ///
    /// A record is evicted when the table is full. This is safe: an unknown key is claimed again,
    /// and the platform's table still holds the earlier claim.
    pub(crate) fn set(&mut self, name: IdempotencyKey, state: KeyState, expires_at: Timestamp) {
        if state == KeyState::Unknown {
            self.keys.swap_remove(&name);
            return;
        }
        if self.keys.len() >= self.max_keys && !self.keys.contains_key(&name) {
            self.keys.swap_remove_index(0);
        }
        self.keys.insert(name, KeyRecord { state, expires_at });
    }

    /// Removes the keys whose records have expired.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.keys.retain(|_, record| record.expires_at > now);
    }
}
