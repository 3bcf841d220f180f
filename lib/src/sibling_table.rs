//! The other entry instances: their load, their last contact and the numbers of their messages.

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

/// The time without a message from a sibling after which no work is forwarded to it.
pub(crate) const SIBLING_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of latest message numbers that are remembered per incarnation of a sibling.
const REPLAY_WINDOW_NUMBERS: usize = 4_096;

/// The number of latest incarnations of a sibling whose message numbers are remembered.
const MAX_REMEMBERED_INCARNATIONS: usize = 4;

/// The state of a sibling entry instance.
#[derive(Debug)]
pub(crate) struct SiblingState {
    pub(crate) listed: Sibling,
    pub(crate) one_way_delay: Duration,
    /// The incarnation that sent the last message.
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) last_contact_at: Option<Timestamp>,
    pub(crate) digest: LoadDigest,
    last_batch: u64,
    /// The message numbers of its latest incarnations; a late message may come from an earlier one.
    seen: IndexMap<Incarnation, SeenNumbers>,
}

/// The numbers of the batches and requests that one incarnation of a sibling sent.
#[derive(Debug)]
struct SeenNumbers {
    batches: ReplayWindow,
    requests: ReplayWindow,
}

impl Default for SeenNumbers {
    fn default() -> Self {
        SeenNumbers {
            batches: ReplayWindow::new(REPLAY_WINDOW_NUMBERS),
            requests: ReplayWindow::new(REPLAY_WINDOW_NUMBERS),
        }
    }
}

impl SiblingState {
    fn new(listed: Sibling, one_way_delay: Duration, first_number: u64) -> Self {
        SiblingState {
            listed,
            one_way_delay,
            incarnation: None,
            last_contact_at: None,
            digest: LoadDigest::default(),
            last_batch: first_number,
            seen: IndexMap::new(),
        }
    }

    /// Whether a message arrived from it recently.
    pub(crate) fn is_reachable(&self, now: Timestamp) -> bool {
        self.last_contact_at
            .is_some_and(|last_contact_at| now.since(last_contact_at) < SIBLING_TIMEOUT)
    }

    /// Whether tasks may be forwarded to it.
    pub(crate) fn can_accept_work(&self, now: Timestamp) -> bool {
        self.is_reachable(now) && !self.listed.leaving && !self.digest.leaving
    }

    /// Its last reported load of a service, adjusted by the tasks sent to it since.
    pub(crate) fn load(&self, service: &str) -> Option<&ServiceLoad> {
        self.digest
            .services
            .iter()
            .find(|load| &*load.service == service)
    }

    /// Counts tasks sent to it against the free slots that it reported.
    pub(crate) fn reserve_capacity(&mut self, service: &str, tasks: u32) {
        let load = self.digest.services.iter_mut();
        let Some(load) = load.into_iter().find(|load| &*load.service == service) else {
            return;
        };
        let waiting = tasks.saturating_sub(load.free_slots);
        load.free_slots = load.free_slots.saturating_sub(tasks);
        load.queued_tasks += waiting;
    }

    /// Assumes that it has no free slots until its next digest.
    pub(crate) fn clear_capacity(&mut self) {
        for load in &mut self.digest.services {
            load.free_slots = 0;
        }
    }

    /// Allocates the number of the next batch to it.
    pub(crate) fn next_batch(&mut self) -> BatchId {
        self.last_batch += 1;
        BatchId(self.last_batch)
    }

    /// Records a batch received from it and returns whether it is new.
    pub(crate) fn record_batch(&mut self, batch: BatchId) -> bool {
        let seen = self.seen_of_sender();
        seen.is_some_and(|seen| seen.batches.record(batch.0))
    }

    /// Records a request received from it and returns whether it is new.
    pub(crate) fn record_request(&mut self, correlation: u64) -> bool {
        let seen = self.seen_of_sender();
        seen.is_some_and(|seen| seen.requests.record(correlation))
    }

    fn seen_of_sender(&mut self) -> Option<&mut SeenNumbers> {
        self.seen.get_mut(&self.incarnation?)
    }

    fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.digest = LoadDigest::default();
        if self.seen.len() >= MAX_REMEMBERED_INCARNATIONS && !self.seen.contains_key(&incarnation) {
            self.seen.shift_remove_index(0);
        }
        self.seen.entry(incarnation).or_default();
    }
}

/// All siblings, indexed by name.
#[derive(Debug)]
pub(crate) struct SiblingTable {
    /// The number after which batches to a new sibling are numbered.
    first_number: u64,
    siblings: SlotMap<SiblingKey, SiblingState>,
    names: IndexMap<Arc<str>, SiblingKey>,
    ended: BTreeSet<Incarnation>,
}

impl SiblingTable {
    /// Creates an empty table whose batches are numbered after `first_number`.
    pub(crate) fn new(first_number: u64) -> Self {
        SiblingTable {
            first_number,
            siblings: SlotMap::with_key(),
            names: IndexMap::new(),
            ended: BTreeSet::new(),
        }
    }

    /// Applies a membership; `one_way_delay` returns the one-way delay to a data centre.
    ///
    /// Returns the siblings whose last known incarnation has ended, or that never sent a message.
    pub(crate) fn update(
        &mut self,
        membership: &Membership,
        one_way_delay: impl Fn(&str) -> Duration,
    ) -> Vec<SiblingKey> {
        self.ended = membership.ended.iter().copied().collect();
        for listed in &membership.siblings {
            let delay = one_way_delay(&listed.data_centre);
            let known = self.names.get(&listed.name).copied();
            if let Some(key) = known {
                let state = &mut self.siblings[key];
                state.listed = listed.clone();
                state.one_way_delay = delay;
                continue;
            }
            let state = SiblingState::new(listed.clone(), delay, self.first_number);
            let key = self.siblings.insert(state);
            self.names.insert(listed.name.clone(), key);
        }
        let unlisted = |state: &SiblingState| {
            let mut siblings = membership.siblings.iter();
            !siblings.any(|sibling| sibling.name == state.listed.name)
        };
        let mut ended_siblings = Vec::new();
        for key in self.names.values().copied().collect::<Vec<SiblingKey>>() {
            let state = &mut self.siblings[key];
            let has_ended = state.incarnation.is_none_or(|i| self.ended.contains(&i));
            if has_ended {
                ended_siblings.push(key);
            }
            if unlisted(state) {
                // The list may omit a live sibling, which still finishes the work that it has.
                state.listed.leaving = true;
                if has_ended {
                    self.drop_sibling(key);
                }
            }
        }
        ended_siblings
    }

    fn drop_sibling(&mut self, key: SiblingKey) {
        // The sibling may be listed again, and it rejects batch numbers that it has already seen.
        if let Some(state) = self.siblings.remove(key) {
            self.first_number = self.first_number.max(state.last_batch);
            self.names.swap_remove(&state.listed.name);
        }
    }

    /// Records the arrival of a message; returns whether the sender restarted since its last one.
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
        state.begin_incarnation(incarnation);
        restarted
    }

    /// Whether the membership lists an incarnation as ended.
    pub(crate) fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.ended.contains(&incarnation)
    }

    /// The sibling with this name.
    pub(crate) fn by_name(&self, name: &str) -> Option<SiblingKey> {
        self.names.get(name).copied()
    }

    /// The sibling with this key, if it is still known.
    pub(crate) fn get(&self, key: SiblingKey) -> Option<&SiblingState> {
        self.siblings.get(key)
    }

    /// The sibling with this key, if it is still known.
    pub(crate) fn get_mut(&mut self, key: SiblingKey) -> Option<&mut SiblingState> {
        self.siblings.get_mut(key)
    }

    /// All siblings, in the order in which they were first listed.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (SiblingKey, &SiblingState)> {
        self.names.values().map(|key| (*key, &self.siblings[*key]))
    }

    /// The nearest siblings, at most `count`.
    pub(crate) fn nearest(&self, count: usize) -> Vec<SiblingKey> {
        let mut keys: Vec<SiblingKey> = self.names.values().copied().collect();
        keys.sort_by_key(|key| self.siblings[*key].one_way_delay);
        keys.truncate(count);
        keys
    }

    /// The number of known siblings.
    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }
}
