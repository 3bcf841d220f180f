//! How an instance stops what it runs for others once it no longer knows whether they still want it.

use super::run_dispatcher::DispatcherTimer;
use super::run_dispatcher::RunDispatcher;
use crate::id::Incarnation;
use crate::time::Timestamp;

impl RunDispatcher {
    /// Plans a check for the time at which a requester may be due, unless an earlier one is planned.
    pub(crate) fn watch_requester(&mut self, requester: Incarnation) {
        let Some(due) = self.owner.requesters.expires_at(requester) else {
            return;
        };
        if self.requesters_checked_at.is_none_or(|at| due < at) {
            self.plan_check_at(due);
        }
    }

    fn plan_check_at(&mut self, due: Timestamp) {
        self.requesters_checked_at = Some(due);
        self.timers.subscribe(due, DispatcherTimer::RequesterCheck);
    }

    /// Drops what requesters have here of which too little is known by now.
    pub(crate) fn check_requesters(&mut self) {
        // The timer of a check that an earlier one has replaced.
        if self.requesters_checked_at.is_none_or(|at| at > self.now) {
            return;
        }
        self.requesters_checked_at = None;
        for requester in self.requesters() {
            if self.owner.requesters.is_current(self.now, requester) {
                continue;
            }
            tracing::warn!(%requester, "requester not heard of in time");
            self.owner.drop_home(self.now, requester);
            self.drop_delegated_by(requester);
        }
        self.plan_requester_check();
    }

    /// Plans the next check for the earliest time at which one of the requesters may be due.
    fn plan_requester_check(&mut self) {
        let contacts = &self.owner.requesters;
        let requesters = self.requesters().into_iter();
        let due = requesters.filter_map(|requester| contacts.expires_at(requester));
        if let Some(due) = due.min() {
            self.plan_check_at(due);
        }
    }

    /// The other instances for which tasks or delegated jobs are held.
    fn requesters(&self) -> Vec<Incarnation> {
        let own = self.settings.incarnation;
        let mut requesters = self.owner.homes();
        requesters.extend(self.held_jobs.open_senders());
        requesters.retain(|requester| *requester != own);
        requesters.sort_unstable();
        requesters.dedup();
        requesters
    }
}
