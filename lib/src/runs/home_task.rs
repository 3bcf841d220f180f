//! A task at its job's home.

use std::sync::Arc;
use std::time::Duration;

use super::owner_choice::OwnerRef;
use crate::time::Timestamp;

/// How long after its owner was last heard a run has surely ended.
///
/// Either side of a cut notices after 600 ms and up to a heartbeat of 150 ms, which may have come a
/// heartbeat later at the other side; cut off from the upstream too, the owner renews a lease for
/// the last time then, which lasts a second on a clock that may be 3 % slow.
pub(crate) const SURELY_ENDED: Duration = Duration::from_millis(1_930);

/// One task.
#[derive(Debug)]
pub(crate) struct HomeTask {
    pub(crate) step: u32,
    pub(crate) index: u32,
    pub(crate) run: u32,
    pub(crate) failures: u32,
    /// Its run time on an upstream of usual speed, where its progress has shown it.
    pub(crate) known_run_time: Option<Duration>,
    /// What its progress on one upstream predicted, which may have been that upstream's fault.
    pub(crate) suspected_run_time: Option<Duration>,
    pub(crate) avoid: Vec<Arc<str>>,
    pub(crate) state: HomeState,
    /// The upstream of its run, where an owner that lost the upstream has named it.
    pub(crate) handed_over_on: Option<Arc<str>>,
    /// The owner out of reach that may still run it.
    pub(crate) unreachable_owner: Option<UnreachableOwner>,
}

/// Where a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HomeState {
    /// Earlier steps are not done.
    Blocked,
    /// It waits for an owner.
    Waiting,
    /// An owner has it.
    Placed {
        /// The owner.
        owner: OwnerRef,
        /// The batch.
        batch: u64,
    },
    /// It may still run, and nobody who says so is in reach.
    Orphaned {
        /// Since when.
        since: Timestamp,
        /// The owner out of reach and its batch; none when another owner has the upstream.
        from: Option<(OwnerRef, u64)>,
    },
    /// Its owner had no room until its objective had passed; what is known of the job's other
    /// tasks decides about it.
    Overdue,
    /// It is done.
    Done,
}

/// An owner that went out of reach with a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreachableOwner {
    /// The owner; none when there were several.
    owner: Option<OwnerRef>,
    /// When it was last heard.
    since: Timestamp,
}

impl HomeTask {
    /// A task that has not started.
    pub(crate) fn new(step: u32, index: u32) -> Self {
        HomeTask {
            step,
            index,
            run: 1,
            failures: 0,
            known_run_time: None,
            suspected_run_time: None,
            avoid: Vec::new(),
            state: HomeState::Blocked,
            handed_over_on: None,
            unreachable_owner: None,
        }
    }

    /// Notes that an owner went out of reach that may go on with the run.
    pub(crate) fn on_owner_unreachable(&mut self, owner: OwnerRef, since: Timestamp) {
        let earlier = self.unreachable_owner.take();
        let is_other = earlier.is_some_and(|lost| lost.owner != Some(owner));
        self.unreachable_owner = Some(UnreachableOwner {
            owner: (!is_other).then_some(owner),
            since: earlier.map_or(since, |lost| lost.since.max(since)),
        });
        self.handed_over_on = None;
    }

    /// Notes that an owner that went out of reach answers for the run again.
    pub(crate) fn on_owner_reachable(&mut self, owner: OwnerRef) {
        self.unreachable_owner
            .take_if(|lost| lost.owner == Some(owner));
    }

    /// Since when a run of this number may go on at an owner out of reach; none when none may.
    pub(crate) fn may_run_unreachable_since(&self, now: Timestamp) -> Option<Timestamp> {
        let since = self.unreachable_owner?.since;
        (since + SURELY_ENDED > now).then_some(since)
    }

    /// Whether its run, which no owner in reach has, can only be on this upstream.
    pub(crate) fn is_surely_on(&self, now: Timestamp, upstream: &str) -> bool {
        matches!(self.state, HomeState::Orphaned { .. })
            && self.may_run_unreachable_since(now).is_none()
            && self.handed_over_on.as_deref() == Some(upstream)
    }

    /// Lets it start once more under the next number.
    pub(crate) fn retry(&mut self) {
        self.run += 1;
        self.state = HomeState::Waiting;
        self.handed_over_on = None;
        self.unreachable_owner = None;
    }
}
