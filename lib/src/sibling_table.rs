//! The other entry instances: what they told of themselves, and what was sent to them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use slotmap::SlotMap;

use crate::id::BatchId;
use crate::id::Incarnation;
use crate::keys::SiblingKey;
use crate::membership::Membership;
use crate::membership::Sibling;
use crate::peer_message::LoadDigest;
use crate::peer_message::ServiceLoad;
use crate::replay_window::ReplayWindow;
use crate::time::Timestamp;

/// How long a sibling may be silent before no work is forwarded to it.
pub(crate) const SIBLING_TIMEOUT: Duration = Duration::from_secs(3);

/// How many of a sibling's latest message numbers are remembered.
const REPLAY_NUMBERS: usize = 4_096;

/// How many of a sibling's latest incarnations are told apart.
const INCARNATIONS_SEEN: usize = 4;

/// One sibling entry instance.
#[derive(Debug)]
pub(crate) struct SiblingState {
    pub(crate) listed: Sibling,
    pub(crate) one_way: Duration,
    /// The incarnation that sent the last message.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) last_contact_at: Option<Timestamp>,
    pub(crate) digest: LoadDigest,
    last_batch: u64,
    /// What its latest incarnations sent, since a late message may be of an earlier one.
    seen: IndexMap<Incarnation, SeenNumbers>,
}

/// The numbers of the messages that one incarnation of a sibling sent.
#[derive(Debug)]
struct SeenNumbers {
    batches: ReplayWindow,
    requests: ReplayWindow,
}

impl Default for SeenNumbers {
    fn default() -> Self {
        SeenNumbers {
            batches: ReplayWindow::new(REPLAY_NUMBERS),
            requests: ReplayWindow::new(REPLAY_NUMBERS),
        }
    }
}

impl SiblingState {
    fn new(listed: Sibling, one_way: Duration, first_number: u64) -> Self {
        SiblingState {
            listed,
            one_way,
            incarnation: None,
            last_contact_at: None,
            digest: LoadDigest::default(),
            last_batch: first_number,
            seen: IndexMap::new(),
        }
    }

    /// Whether it spoke lately.
    pub(crate) fn is_reachable(&self, now: Timestamp) -> bool {
        self.last_contact_at
            .is_some_and(|last_contact_at| now.since(last_contact_at) < SIBLING_TIMEOUT)
    }

    /// Whether it may be sent work.
    pub(crate) fn takes_work(&self, now: Timestamp) -> bool {
        self.is_reachable(now) && !self.listed.leaving && !self.digest.leaving
    }

    /// Its load for a service, as last told, less what was sent since.
    pub(crate) fn load(&self, service: &str) -> Option<&ServiceLoad> {
        self.digest
            .services
            .iter()
            .find(|load| &*load.service == service)
    }

    /// Counts tasks that were sent to it against its free slots.
    pub(crate) fn take_capacity(&mut self, service: &str, tasks: u32) {
        let load = self.digest.services.iter_mut();
        let Some(load) = load.into_iter().find(|load| &*load.service == service) else {
            return;
        };
        let waiting = tasks.saturating_sub(load.free_slots);
        load.free_slots = load.free_slots.saturating_sub(tasks);
        load.queued_tasks += waiting;
    }

    /// Forgets its free slots until the next digest.
    pub(crate) fn clear_capacity(&mut self) {
        for load in &mut self.digest.services {
            load.free_slots = 0;
        }
    }

    /// The number of the next batch to it.
    pub(crate) fn next_batch(&mut self) -> BatchId {
        self.last_batch += 1;
        BatchId(self.last_batch)
    }

    /// Records a batch that came from it and says whether it is new.
    pub(crate) fn record_batch(&mut self, batch: BatchId) -> bool {
        let seen = self.seen_of_sender();
        seen.is_some_and(|seen| seen.batches.record(batch.0))
    }

    /// Records a request that came from it and says whether it is new.
    pub(crate) fn record_request(&mut self, correlation: u64) -> bool {
        let seen = self.seen_of_sender();
        seen.is_some_and(|seen| seen.requests.record(correlation))
    }

    fn seen_of_sender(&mut self) -> Option<&mut SeenNumbers> {
        self.seen.get_mut(&self.incarnation?)
    }

    fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.digest = LoadDigest::default();
        if self.seen.len() >= INCARNATIONS_SEEN && !self.seen.contains_key(&incarnation) {
            self.seen.shift_remove_index(0);
        }
        self.seen.entry(incarnation).or_default();
    }
}

/// All siblings, found by name.
#[derive(Debug)]
pub(crate) struct SiblingTable {
    /// What the numbers of batches follow.
    first_number: u64,
    siblings: SlotMap<SiblingKey, SiblingState>,
    names: IndexMap<Arc<str>, SiblingKey>,
    ended: BTreeSet<Incarnation>,
}

impl SiblingTable {
    /// An empty table whose batches are numbered after `first_number`.
    pub(crate) fn new(first_number: u64) -> Self {
        SiblingTable {
            first_number,
            siblings: SlotMap::with_key(),
            names: IndexMap::new(),
            ended: BTreeSet::new(),
        }
    }

    /// Takes over a membership; `one_way` gives the distance to a data centre.
    ///
    /// Gives the siblings whose last incarnation heard of has ended, or that were never heard.
    pub(crate) fn update(
        &mut self,
        membership: &Membership,
        one_way: impl Fn(&str) -> Duration,
    ) -> Vec<SiblingKey> {
        self.ended = membership.ended.iter().copied().collect();
        for listed in &membership.siblings {
            let distance = one_way(&listed.data_centre);
            let known = self.names.get(&listed.name).copied();
            if let Some(key) = known {
                let state = &mut self.siblings[key];
                state.listed = listed.clone();
                state.one_way = distance;
                continue;
            }
            let state = SiblingState::new(listed.clone(), distance, self.first_number);
            let key = self.siblings.insert(state);
            self.names.insert(listed.name.clone(), key);
        }
        let unlisted = |state: &SiblingState| {
            let mut siblings = membership.siblings.iter();
            !siblings.any(|sibling| sibling.name == state.listed.name)
        };
        let mut gone = Vec::new();
        for key in self.names.values().copied().collect::<Vec<SiblingKey>>() {
            let state = &mut self.siblings[key];
            let has_ended = state.incarnation.is_none_or(|i| self.ended.contains(&i));
            if has_ended {
                gone.push(key);
            }
            if unlisted(state) {
                // A list may lack a live sibling, which then goes on with what it has.
                state.listed.leaving = true;
                if has_ended {
                    self.drop_sibling(key);
                }
            }
        }
        gone
    }

    fn drop_sibling(&mut self, key: SiblingKey) {
        // A sibling listed again remembers the numbers that it has seen.
        if let Some(state) = self.siblings.remove(key) {
            self.first_number = self.first_number.max(state.last_batch);
            self.names.swap_remove(&state.listed.name);
        }
    }

    /// Notes that a message came; true when the sender restarted since its last one.
    pub(crate) fn record_message(
        &mut self,
        key: SiblingKey,
        now: Timestamp,
        incarnation: Incarnation,
    ) -> bool {
        let state = &mut self.siblings[key];
        state.last_contact_at = Some(now);
        if state.incarnation == Some(incarnation) {
            return false;
        }
        let restarted = state.incarnation.is_some();
        state.restart(incarnation);
        restarted
    }

    /// Whether an incarnation is known to have ended.
    pub(crate) fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.ended.contains(&incarnation)
    }

    /// The sibling of this name.
    pub(crate) fn by_name(&self, name: &str) -> Option<SiblingKey> {
        self.names.get(name).copied()
    }

    /// The sibling of this key, when it is still listed.
    pub(crate) fn get(&self, key: SiblingKey) -> Option<&SiblingState> {
        self.siblings.get(key)
    }

    /// The sibling of this key, when it is still listed.
    pub(crate) fn get_mut(&mut self, key: SiblingKey) -> Option<&mut SiblingState> {
        self.siblings.get_mut(key)
    }

    /// All siblings in the order in which they were first listed.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (SiblingKey, &SiblingState)> {
        self.names.values().map(|key| (*key, &self.siblings[*key]))
    }

    /// The nearest siblings that take part, at most `count`.
    pub(crate) fn nearest(&self, count: usize) -> Vec<SiblingKey> {
        let mut keys: Vec<SiblingKey> = self.names.values().copied().collect();
        keys.sort_by_key(|key| self.siblings[*key].one_way);
        keys.truncate(count);
        keys
    }

    /// The siblings listed.
    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }
}
