//! Bounded dissemination: a few instances of each data centre read the upstreams' entries, and pass
//! on to the others what changes decisions.
//!
//! Each entry changes with each heartbeat of its upstream, so that reading all of them costs every
//! instance as much as there are upstreams. Readers are chosen by rendezvous hashing over the
//! roster; none is needed: an instance that hears from no reader reads the entries itself.

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

/// The age of what readers have passed on from which an instance reads the entries itself.
///
/// Readers pass on each read, twice a second. A draining upstream must get no new work 2 s after it
/// has written so, and the next read must come before that.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(1_200);

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
    /// The time from the request of the read to the sending of the update: with it all earlier changes are
    /// known. None if more changes waited to be read.
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
    /// The time before which all changes are known from readers; none before their first update.
    relayed_as_of: Option<Timestamp>,
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
            .relayed_as_of
            .is_some_and(|at| now.since(at) < MAX_RELAYED_AGE);
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
    pub(crate) fn record_read(&mut self, version: u64, as_of: Option<Timestamp>) -> Option<u64> {
        // Changes of the store that wait to be read may include the missed ones.
        self.has_gap &= as_of.is_none();
        self.record_as_of(as_of, FactOrigin::Store);
        let before = self.known.version;
        self.known.version = before.max(Some(version));
        before
    }

    /// Records an update; returns false when changes before it are missing.
    ///
    /// `sent_at` is when it was sent, on this instance's clock, if that is known. The order of arrival does
    /// not show how old an update is: all of a sender's may be late by the same time.
    pub(crate) fn record_update(
        &mut self,
        sender: &Arc<str>,
        sent_at: Option<Timestamp>,
        update: &ListingUpdate,
    ) -> bool {
        if self.known.version.is_none_or(|known| known < update.after) {
            self.has_gap = true;
            return false;
        }
        self.known.version = self.known.version.max(Some(update.version));
        let as_of = sent_at.zip(update.age);
        let as_of = as_of.map(|(sent_at, age)| sent_at.before(age));
        self.record_as_of(as_of, FactOrigin::Instance(sender.clone()));
        if self.readers.contains(&**sender) {
            self.relayed_as_of = self.relayed_as_of.max(as_of);
        }
        true
    }
}
