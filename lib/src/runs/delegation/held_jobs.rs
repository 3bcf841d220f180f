//! The jobs that other instances have delegated to this one.

use std::time::Duration;

use indexmap::IndexMap;

use super::message::DelegationOutcome;
use super::report::DelegationReport;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::runs::past_time::PastTime;
use crate::runs::run_id::PeerKey;
use crate::time::Timestamp;

/// The first number of requests that stand for the callers of delegated jobs. The process numbers its
/// own requests from one.
const FIRST_REQUEST: u64 = 1 << 63;

/// The maximum number of jobs that are held for one instance.
const MAX_HELD_JOBS: usize = 4_000;

/// After what time an answer is sent again that the delegating instance still waits for by its
/// heartbeat. A heartbeat may cross the answer.
const ANSWER_RESEND_DELAY: Duration = Duration::from_millis(100);

/// The state of a job that was delegated to this instance.
#[derive(Debug)]
pub(crate) enum HeldState {
    /// This instance is its home; the request stands for its callers.
    Open(RequestId),
    /// It was answered. The answer is kept until the delegating instance no longer waits for it.
    Answered {
        outcome: DelegationOutcome,
        sent_at: Timestamp,
    },
}

/// The jobs of one incarnation of a delegating instance.
#[derive(Debug)]
struct HeldFor {
    peer: PeerKey,
    /// The highest number that was taken, declined or withdrawn.
    highest: u64,
    jobs: IndexMap<u64, HeldState>,
}

/// What to do with a delegated job that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// It is new.
    New,
    /// It is held already: the message was doubled.
    Held,
    /// A higher number was seen before, or too many jobs are held.
    Refused,
}

/// A request that stands for callers elsewhere.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRequest {
    /// The incarnation that has delegated the job.
    pub(crate) sender: Incarnation,
    /// Its number of the job.
    number: u64,
    /// The time of which its message shows that callers waited; none if it shows none.
    pub(crate) requested_as_of: Option<PastTime>,
}

/// The jobs that were delegated to this instance, by delegating incarnation and its number.
#[derive(Debug, Default)]
pub(crate) struct HeldJobs {
    senders: IndexMap<Incarnation, HeldFor>,
    requests: IndexMap<RequestId, OpenRequest>,
    last_request: u64,
}

/// What a heartbeat of the delegating instance asks for.
#[derive(Debug, Default)]
pub(crate) struct HeldChanges {
    /// The requests that nobody waits for any more.
    pub(crate) dropped: Vec<RequestId>,
    /// The answers to send again.
    pub(crate) resent: Vec<(u64, DelegationOutcome)>,
}

impl HeldJobs {
    /// Records that a job arrived; from then on no job up to its number is taken.
    pub(crate) fn record_arrival(
        &mut self,
        peer: PeerKey,
        sender: Incarnation,
        number: u64,
    ) -> Arrival {
        let held = self.held_for(peer, sender);
        if held.jobs.contains_key(&number) {
            return Arrival::Held;
        }
        let is_new = number > held.highest;
        held.highest = held.highest.max(number);
        match is_new && held.jobs.len() < MAX_HELD_JOBS {
            true => Arrival::New,
            false => Arrival::Refused,
        }
    }

    fn held_for(&mut self, peer: PeerKey, sender: Incarnation) -> &mut HeldFor {
        let held = self.senders.entry(sender);
        held.or_insert_with(|| HeldFor {
            peer,
            highest: 0,
            jobs: IndexMap::new(),
        })
    }

    /// Takes a job and returns the request that stands for its callers.
    pub(crate) fn take(
        &mut self,
        peer: PeerKey,
        sender: Incarnation,
        number: u64,
        requested_as_of: Option<PastTime>,
    ) -> RequestId {
        let request = RequestId(FIRST_REQUEST + self.last_request);
        self.last_request += 1;
        let held = self.held_for(peer, sender);
        held.jobs.insert(number, HeldState::Open(request));
        let open = OpenRequest {
            sender,
            number,
            requested_as_of,
        };
        self.requests.insert(request, open);
        request
    }

    /// Records the answer to a request that stands for callers elsewhere; returns where to send it.
    pub(crate) fn record_answer(
        &mut self,
        now: Timestamp,
        request: RequestId,
        outcome: &DelegationOutcome,
    ) -> Option<(PeerKey, Incarnation, u64)> {
        if request.0 < FIRST_REQUEST {
            return None;
        }
        let OpenRequest { sender, number, .. } = self.requests.swap_remove(&request)?;
        let held = self.senders.get_mut(&sender)?;
        let answered = HeldState::Answered {
            outcome: outcome.clone(),
            sent_at: now,
        };
        held.jobs.insert(number, answered);
        Some((held.peer, sender, number))
    }

    /// The open request of this id; none once it is answered or withdrawn.
    pub(crate) fn open_request(&self, request: RequestId) -> Option<OpenRequest> {
        self.requests.get(&request).copied()
    }

    /// Whether a request stands for callers of another instance.
    pub(crate) fn is_held(request: RequestId) -> bool {
        request.0 >= FIRST_REQUEST
    }

    /// Removes a withdrawn job, which may still be on its way; returns its request if it is open.
    pub(crate) fn withdraw(
        &mut self,
        peer: PeerKey,
        sender: Incarnation,
        number: u64,
    ) -> Option<RequestId> {
        let held = self.held_for(peer, sender);
        held.highest = held.highest.max(number);
        let state = held.jobs.swap_remove(&number)?;
        self.close(&state)
    }

    fn close(&mut self, state: &HeldState) -> Option<RequestId> {
        let HeldState::Open(request) = state else {
            return None;
        };
        self.requests.swap_remove(request);
        Some(*request)
    }

    /// The open requests of an incarnation.
    pub(crate) fn open_requests(&self, sender: Incarnation) -> Vec<RequestId> {
        let jobs = self.senders.get(&sender);
        let jobs = jobs.iter().flat_map(|held| held.jobs.values());
        let open = jobs.filter_map(|state| match state {
            HeldState::Open(request) => Some(*request),
            HeldState::Answered { .. } => None,
        });
        open.collect()
    }

    /// The incarnations that wait for an open job.
    pub(crate) fn open_senders(&self) -> impl Iterator<Item = Incarnation> {
        let is_open = |state: &HeldState| matches!(state, HeldState::Open(_));
        let senders = self.senders.iter();
        let waiting = senders.filter(move |(_, held)| held.jobs.values().any(is_open));
        waiting.map(|(sender, _)| *sender)
    }

    /// Forgets the jobs of an incarnation that has ended.
    pub(crate) fn forget(&mut self, sender: Incarnation) {
        self.senders.swap_remove(&sender);
        self.requests.retain(|_, open| open.sender != sender);
    }

    /// Applies a heartbeat: removes what the delegating instance no longer waits for.
    pub(crate) fn apply_report(
        &mut self,
        now: Timestamp,
        sender: Incarnation,
        report: &DelegationReport,
    ) -> HeldChanges {
        let mut changes = HeldChanges::default();
        let Some(held) = self.senders.get_mut(&sender) else {
            return changes;
        };
        let is_closed =
            |number: u64| number <= report.highest_sent && !report.open.contains(&number);
        let closed = held.jobs.extract_if(.., |number, _| is_closed(*number));
        let closed: Vec<HeldState> = closed.map(|(_, state)| state).collect();
        for (number, state) in &mut held.jobs {
            let HeldState::Answered { outcome, sent_at } = state else {
                continue;
            };
            if report.open.contains(number) && now.since(*sent_at) >= ANSWER_RESEND_DELAY {
                *sent_at = now;
                changes.resent.push((*number, outcome.clone()));
            }
        }
        for state in &closed {
            changes.dropped.extend(self.close(state));
        }
        changes
    }

    /// The numbers held for an incarnation, and the highest one seen.
    pub(crate) fn held_numbers(&self, sender: Incarnation) -> (Vec<u64>, u64) {
        let held = self.senders.get(&sender);
        held.map_or((Vec::new(), 0), |held| {
            (held.jobs.keys().copied().collect(), held.highest)
        })
    }

    /// The delegating instances for which something is held.
    pub(crate) fn senders(&self) -> impl Iterator<Item = PeerKey> {
        let senders = self.senders.values();
        let senders = senders.filter(|held| !held.jobs.is_empty());
        senders.map(|held| held.peer)
    }
}
