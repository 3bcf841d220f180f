//! Bounded dissemination: a few instances of each data centre read the upstreams' entries, and pass
//! on to the others what changes decisions.
//!
//! Each entry changes with each heartbeat of its upstream, so that reading all of them costs every
//! instance as much as there are upstreams. Readers are chosen by rendezvous hashing over the
//! roster; none is needed: an instance that hears from no reader reads the entries itself.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;
use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::fact_origin::FactOrigin;
use super::listed_upstream::ListingChange;
use super::listing_knowledge::ListingKnowledge;
use super::roster::Member;
use super::roster::Roster;
use crate::time::Timestamp;

/// The number of readers in a data centre: the loss of one is not noticed.
const READERS: usize = 2;

/// The number of instances in a data centre from which some do not read.
const MIN_RELAYED_INSTANCES: usize = 5;

/// How long without news from a reader before an instance reads the entries itself.
///
/// Readers pass on each read, twice a second. A draining upstream must get no new work 2 s after it
/// has written so, and the next read must come before that.
const READER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How much older than what is known already a reader's update may be: its reads are 500 ms apart.
const MAX_UPDATE_LAG: Duration = Duration::from_millis(600);

/// Sets the hashes of readers apart from other uses of the names.
const READER_SEED: u64 = 0x1157_1297;

/// What a reader passes on of one read: the changes after one version of the store up to another.
#[value]
pub struct ListingUpdate {
    /// The version up to which the receiver must know all changes already.
    pub after: u64,
    /// The version up to which it knows them with this update.
    pub version: u64,
    /// The changes that decide something, by version.
    pub changes: Vec<ListingChange>,
    /// How long before the update was sent every change of its version or earlier was known; none if the
    /// sender does not know.
    pub age: Option<Duration>,
}

/// Whether this instance reads the entries, and which changes it knows.
#[derive(Debug, Default)]
pub(crate) struct ListingRelay {
    /// The other instances of the data centre, if this instance reads for them.
    receivers: IndexSet<Arc<str>>,
    /// The instances that read for this one; empty where each reads for itself.
    readers: IndexSet<Arc<str>>,
    is_reader: bool,
    /// Which changes are known.
    known: ListingKnowledge,
    /// The versions known within [`MAX_UPDATE_LAG`], and the one before, with the times of learning.
    recent_versions: VecDeque<(Timestamp, u64)>,
    /// When the last update that joined what was known arrived from a reader.
    updated_at: Option<Timestamp>,
    /// Whether an update was missed.
    has_gap: bool,
}

impl ListingRelay {
    /// Chooses the readers of this instance's data centre among the members of a roster.
    pub(crate) fn choose_readers(&mut self, own: &str, roster: &Roster) {
        self.receivers.clear();
        self.readers.clear();
        self.is_reader = true;
        let Some(own_member) = roster.member(own).filter(|member| !member.leaving) else {
            return;
        };
        let is_near = |member: &&Member| member.data_centre == own_member.data_centre;
        let near = roster.members.iter().filter(is_near);
        let mut staying: Vec<&Member> = near.clone().filter(|member| !member.leaving).collect();
        if staying.len() < MIN_RELAYED_INSTANCES {
            return;
        }
        staying.sort_by_cached_key(|member| xxh3_64_with_seed(member.name.as_bytes(), READER_SEED));
        let names = |members: &[&Member]| -> IndexSet<Arc<str>> {
            let names = members.iter().map(|member| member.name.clone());
            names.filter(|name| **name != *own).collect()
        };
        let readers = &staying[..READERS];
        self.is_reader = readers.iter().any(|reader| *reader.name == *own);
        match self.is_reader {
            true => {
                // Leaving instances still own upstreams until their runs have ended.
                let near: Vec<&Member> = near.collect();
                self.receivers = names(&near);
            }
            false => self.readers = names(readers),
        }
    }

    /// Whether this instance has to read the entries itself.
    pub(crate) fn must_read(&self, now: Timestamp) -> bool {
        let is_updated = self
            .updated_at
            .is_some_and(|at| now.since(at) < READER_TIMEOUT);
        self.is_reader || self.has_gap || self.known.version.is_none() || !is_updated
    }

    /// The version up to which all changes are known; none before the first read.
    pub(crate) fn version(&self) -> Option<u64> {
        self.known.version
    }

    /// Which changes are known.
    pub(crate) fn known(&self) -> &ListingKnowledge {
        &self.known
    }

    fn record_as_of(&mut self, as_of: Option<Timestamp>, origin: FactOrigin) {
        if as_of > self.known.as_of {
            self.known.as_of = as_of;
            self.known.origin = origin;
        }
    }

    /// The instances that this one reads for.
    pub(crate) fn receivers(&self) -> impl Iterator<Item = &Arc<str>> {
        self.receivers.iter()
    }

    /// Records a read of this instance's own; returns the version after which it brought changes, if
    /// others can join it to what they know.
    pub(crate) fn record_read(
        &mut self,
        now: Timestamp,
        version: u64,
        as_of: Option<Timestamp>,
    ) -> Option<u64> {
        // Changes of the store that wait to be read may include the missed ones.
        self.has_gap &= as_of.is_none();
        self.record_as_of(as_of, FactOrigin::Store);
        let before = self.known.version;
        self.set_version(now, before.map_or(version, |known| known.max(version)));
        before
    }

    fn set_version(&mut self, now: Timestamp, version: u64) {
        self.known.version = Some(version);
        self.recent_versions.push_back((now, version));
        // Keeps one that is older than the lag.
        while self
            .recent_versions
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= MAX_UPDATE_LAG)
        {
            self.recent_versions.pop_front();
        }
    }

    /// The version that was known [`MAX_UPDATE_LAG`] ago; `known` now.
    fn version_known_at(&self, now: Timestamp, known: u64) -> u64 {
        let old = self.recent_versions.iter().rev();
        let mut old = old.filter(|(at, _)| now.since(*at) >= MAX_UPDATE_LAG);
        match (old.next(), self.recent_versions.front()) {
            (Some((_, version)), _) | (None, Some((_, version))) => *version,
            (None, None) => known,
        }
    }

    /// Records an update; returns false when changes before it are missing.
    ///
    /// Only an update that is at least as new as what was known [`MAX_UPDATE_LAG`] ago counts as news:
    /// one that was delayed is older than what this instance has learned meanwhile.
    ///
    /// `sent_at` is when it was sent, on this instance's clock, if that is known.
    pub(crate) fn record_update(
        &mut self,
        now: Timestamp,
        sender: &Arc<str>,
        sent_at: Option<Timestamp>,
        update: &ListingUpdate,
    ) -> bool {
        let Some(known) = self.known.version.filter(|known| *known >= update.after) else {
            self.has_gap = true;
            return false;
        };
        let as_of = sent_at.zip(update.age);
        let as_of = as_of.map(|(sent_at, age)| sent_at.before(age));
        self.record_as_of(as_of, FactOrigin::Instance(sender.clone()));
        let is_news = update.version >= self.version_known_at(now, known);
        self.set_version(now, known.max(update.version));
        if is_news && self.readers.contains(&**sender) {
            self.updated_at = Some(now);
        }
        true
    }
}
