//! One upstream that this instance owns.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::learned_speed::LearnedSpeed;
use super::leased_run::LeasedRun;
use super::listed_upstream::ListedUpstream;
use super::resources::Resources;
use super::run_id::OrderId;
use super::run_id::RunId;
use super::run_order::RunOutcome;
use super::upstream_clock::UpstreamClock;
use super::whole_ms::whole_ms;
use crate::health::UpstreamHealth;
use crate::time::Timestamp;

/// The most ends of others' runs that are remembered, more than an upstream runs at a time.
const MAX_FOUND_ENDS: usize = 64;

/// The fences of one ownership: it begins with the first, and each later life of the upstream gets
/// the next.
const FENCES_PER_VERSION: u64 = 256;

/// Whether an upstream answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contact {
    /// It has not answered since it was taken over.
    Taking,
    /// It answers.
    InTouch,
    /// It does not answer.
    Silent {
        /// Since when.
        since: Timestamp,
    },
}

/// A run that is listed and that nobody here ordered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnclaimedRun {
    /// The first order that was given after it was seen.
    pub(crate) seen_before: OrderId,
    pub(crate) asked: bool,
}

/// An upstream that this instance owns.
#[derive(Debug)]
pub(crate) struct LeasedUpstream {
    pub(crate) listed: Arc<ListedUpstream>,
    pub(crate) fence: u64,
    /// Whether another instance is to own it, and nothing new starts.
    pub(crate) is_released: bool,
    pub(crate) contact: Contact,
    pub(crate) clock: Option<UpstreamClock>,
    pub(crate) born_unix_ms: Option<u64>,
    pub(crate) acknowledged_end: u64,
    pub(crate) lease_until_ms: u64,
    pub(crate) runs: IndexMap<RunId, LeasedRun>,
    pub(crate) unclaimed_runs: IndexMap<RunId, UnclaimedRun>,
    /// The last ends of runs that this instance did not order.
    pub(crate) found_ends: IndexMap<RunId, RunOutcome>,
    pub(crate) health: UpstreamHealth,
    pub(crate) speed: LearnedSpeed,
    /// When it last listed what runs.
    pub(crate) reported_at: Timestamp,
    /// Whether the last hold was not answered.
    pub(crate) has_missed_renew: bool,
    /// Whether a hold is under way.
    pub(crate) is_renew_pending: bool,
}

impl LeasedUpstream {
    /// An upstream owned by the roster of this version.
    pub(crate) fn new(listed: Arc<ListedUpstream>, version: u64) -> Self {
        LeasedUpstream {
            listed,
            fence: version.saturating_mul(FENCES_PER_VERSION),
            is_released: false,
            contact: Contact::Taking,
            clock: None,
            born_unix_ms: None,
            acknowledged_end: 0,
            lease_until_ms: 0,
            runs: IndexMap::new(),
            unclaimed_runs: IndexMap::new(),
            found_ends: IndexMap::new(),
            health: UpstreamHealth::default(),
            speed: LearnedSpeed::default(),
            reported_at: Timestamp::ZERO,
            has_missed_renew: false,
            is_renew_pending: false,
        }
    }

    /// The version of the roster that its ownership follows from.
    pub(crate) fn roster_version(&self) -> u64 {
        self.fence / FENCES_PER_VERSION
    }

    /// Raises the fence for another life of the upstream, which knows of none: a start of before that
    /// is carried out late must not be accepted there.
    pub(crate) fn raise_fence(&mut self) {
        let is_last = (self.fence + 1).is_multiple_of(FENCES_PER_VERSION);
        self.fence += u64::from(!is_last);
    }

    /// The room that no run uses.
    pub(crate) fn free(&self) -> Resources {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used += run.demand;
        }
        self.listed.capacity.minus(used)
    }

    /// Whether a task may start there now, as far as room is not concerned.
    pub(crate) fn takes_work(&self, now: Timestamp) -> bool {
        let in_flight = u32::try_from(self.runs.len()).unwrap_or(u32::MAX);
        self.is_usable() && self.unclaimed_runs.is_empty() && self.health.may_start(now, in_flight)
    }

    /// Whether it is in touch and stays.
    pub(crate) fn is_usable(&self) -> bool {
        self.contact == Contact::InTouch && !self.is_released && !self.listed.draining
    }

    /// When everything that runs there has surely ended, if nothing more is ordered.
    pub(crate) fn lapses_at(&self) -> Option<Timestamp> {
        self.clock
            .map(|clock| clock.surely_passes_at(self.lease_until_ms))
    }

    /// The time on its clock until which an order of now may let it run; the lease grows with it.
    pub(crate) fn extend_lease(&mut self, now: Timestamp, lease: Duration) -> Option<u64> {
        let until_ms = self.clock?.estimate_ms(now).saturating_add(whole_ms(lease));
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Remembers the end of a run that this instance did not order.
    pub(crate) fn note_found_end(&mut self, run: RunId, how: RunOutcome) {
        self.found_ends.insert(run, how);
        if self.found_ends.len() > MAX_FOUND_ENDS {
            self.found_ends.shift_remove_index(0);
        }
    }
}
