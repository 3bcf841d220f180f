//! Counters of a home's decisions about jobs and tasks.

use super::home_job::Unfinished;
use super::run_answer::GivenUp;
use super::run_message::RunEnd;

/// How many jobs a home gave up, how many tasks it retried and how many runs were orphaned or found
/// ended, since its process started.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunCounts {
    given_up_no_time_left: u64,
    given_up_limit_passed: u64,
    given_up_owner_lost: u64,
    given_up_caller_left: u64,
    given_up_stopping: u64,
    given_up_home_lost: u64,
    given_up_runs_lost: u64,
    pub(crate) retried_lost: u64,
    pub(crate) retried_too_slow: u64,
    pub(crate) retried_failed: u64,
    pub(crate) retried_not_held: u64,
    pub(crate) retried_orphaned: u64,
    found_done: u64,
    found_failed: u64,
    found_lost: u64,
    pub(crate) orphaned: u64,
    pub(crate) upstream_crashes: u64,
    pub(crate) refused_by_priority: u64,
    pub(crate) unbounded_leases: u64,
}

impl RunCounts {
    /// Counts a job that is given up; a job of which nothing ran is not counted.
    ///
    /// `is_limit_passed` tells whether its deadline has passed.
    pub(crate) fn count_unfinished(&mut self, why: Unfinished, is_limit_passed: bool) {
        let Unfinished::GivenUp(why) = why else {
            return;
        };
        match why {
            GivenUp::Deadline if is_limit_passed => self.given_up_limit_passed += 1,
            GivenUp::Deadline => self.given_up_no_time_left += 1,
            GivenUp::OwnerLost => self.given_up_owner_lost += 1,
            GivenUp::Cancelled => self.given_up_caller_left += 1,
            GivenUp::Stopping => self.given_up_stopping += 1,
            GivenUp::HomeLost => self.given_up_home_lost += 1,
            GivenUp::RunsLost => self.given_up_runs_lost += 1,
        }
    }

    /// Counts an end that another owner found and that was applied to an open task.
    pub(crate) fn count_found(&mut self, end: &RunEnd) {
        match end {
            RunEnd::Done { .. } => self.found_done += 1,
            RunEnd::Failed { .. } => self.found_failed += 1,
            _ => self.found_lost += 1,
        }
    }

    /// The number of jobs given up, by the metric's label of the reason.
    pub fn given_up(&self) -> [(&'static str, u64); 7] {
        [
            ("no_time_left", self.given_up_no_time_left),
            ("limit_passed", self.given_up_limit_passed),
            ("owner_lost", self.given_up_owner_lost),
            ("caller_left", self.given_up_caller_left),
            ("stopping", self.given_up_stopping),
            ("home_lost", self.given_up_home_lost),
            ("runs_lost", self.given_up_runs_lost),
        ]
    }

    /// The number of task retries, by the metric's label of the reason.
    pub fn retried(&self) -> [(&'static str, u64); 5] {
        [
            ("lost", self.retried_lost),
            ("too_slow", self.retried_too_slow),
            ("failed", self.retried_failed),
            ("not_held", self.retried_not_held),
            ("adrift_over", self.retried_orphaned),
        ]
    }

    /// The number of ends of open tasks that another owner found, by the metric's label of the
    /// outcome.
    pub fn found_ends(&self) -> [(&'static str, u64); 3] {
        [
            ("done", self.found_done),
            ("failed", self.found_failed),
            ("lost", self.found_lost),
        ]
    }

    /// How often an upstream that this instance owns has crashed.
    pub fn upstream_crashes(&self) -> u64 {
        self.upstream_crashes
    }

    /// The number of jobs refused because of the queued work of their own and earlier priorities.
    pub fn refused_by_priority(&self) -> u64 {
        self.refused_by_priority
    }

    /// The number of orders whose lease could outlast the pause after which a run's caller comes back; an
    /// error in the program if not zero.
    pub fn unbounded_leases(&self) -> u64 {
        self.unbounded_leases
    }

    /// How often a run was orphaned: it may go on, and no reachable owner reports it.
    pub fn orphaned(&self) -> u64 {
        self.orphaned
    }
}
