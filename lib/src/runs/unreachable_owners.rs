//! The owners that became unreachable while they held a run.

use std::time::Duration;

use super::owner_choice::OwnerRef;
use crate::time::Timestamp;

/// How long after the last contact with its owner a run can still go on.
///
/// When the connection between two instances fails, each notices the other's silence after 600 ms
/// and up to one heartbeat of 150 ms; the last heartbeat may have arrived 150 ms later on the other
/// side. If the owner is cut off from the upstream too, it renews the lease for the last time then.
/// The lease lasts 1 s on a clock that may be 3 % slow.
pub(crate) const MAX_RUN_AFTER_CONTACT: Duration = Duration::from_millis(1_930);

/// The unreachable owners of which each may still hold a lease on a run, or on an earlier one of the same
/// name.
#[derive(Debug, Default)]
pub(crate) struct UnreachableOwners {
    contacts: Vec<LastContact>,
}

/// The last contact with an owner.
#[derive(Clone, Copy, Debug)]
struct LastContact {
    /// The owner; none once its process has ended, so that no report can tell what it runs.
    owner: Option<OwnerRef>,
    at: Timestamp,
}

impl UnreachableOwners {
    /// Records that an owner became unreachable, with the time of the last contact.
    pub(crate) fn record(&mut self, now: Timestamp, owner: OwnerRef, last_contact_at: Timestamp) {
        self.contacts
            .retain(|contact| contact.owner != Some(owner) && contact.may_run(now));
        self.contacts.push(LastContact {
            owner: Some(owner),
            at: last_contact_at,
        });
    }

    /// Records that an owner is reachable again and reports on the run.
    pub(crate) fn remove(&mut self, owner: OwnerRef) {
        self.contacts.retain(|contact| contact.owner != Some(owner));
    }

    /// Records that the process of an owner has ended: what its next one reports says nothing of the leases of
    /// this one.
    pub(crate) fn detach(&mut self, owner: OwnerRef) {
        for contact in &mut self.contacts {
            contact.owner.take_if(|at| *at == owner);
        }
    }

    /// The latest contact with one that may hold a lease; none if none can any more.
    pub(crate) fn may_run_since(&self, now: Timestamp) -> Option<Timestamp> {
        let contacts = self.contacts.iter();
        let may_run = contacts.filter(|contact| contact.may_run(now));
        may_run.map(|contact| contact.at).max()
    }
}

impl LastContact {
    fn may_run(self, now: Timestamp) -> bool {
        self.at + MAX_RUN_AFTER_CONTACT > now
    }
}
