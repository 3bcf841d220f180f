//! The dispatcher: every decision of one entry instance.

use std::sync::Arc;

use indexmap::IndexMap;
use slotmap::SlotMap;

use crate::action::Action;
use crate::event::Event;
use crate::forward_table::ForwardTable;
use crate::health::HealthState;
use crate::id::AttemptId;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::id::SessionId;
use crate::job::Job;
use crate::job::Waiter;
use crate::key_table::KeyTable;
use crate::keys::JobKey;
use crate::keys::ServiceKey;
use crate::membership::Membership;
use crate::message_counts::MessageCounts;
use crate::outcome::NotRunReason;
use crate::peer_message::LoadDigest;
use crate::peer_message::PeerMessage;
use crate::pending_claim::PendingClaim;
use crate::plan::Plan;
use crate::running_attempt::RunningAttempt;
use crate::sent_batch::SentBatches;
use crate::session::SessionTable;
use crate::sibling_table::SiblingTable;
use crate::time::Timestamp;
use crate::timer::TimerService;
use crate::upstream_state::CLOCK_MARGIN_MS;

/// The fixed facts of one entry process.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// The instance's name.
    pub instance: Arc<str>,
    /// The name of its data centre.
    pub data_centre: Arc<str>,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The seed of the generator behind random choices.
    pub seed: u64,
    /// The bounds on what it keeps.
    pub limits: DispatcherLimits,
}

/// Bounds on the state of one dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherLimits {
    /// The most jobs that are open or kept for their answers.
    pub jobs: usize,
    /// The most sessions.
    pub sessions: usize,
    /// The most job numbers of one session that are remembered.
    pub session_window: u64,
    /// How long answers of ended jobs are kept, in milliseconds.
    pub keep_answers_ms: u64,
}

impl Default for DispatcherLimits {
    fn default() -> Self {
        DispatcherLimits {
            jobs: 50_000,
            sessions: 10_000,
            session_window: 1_024,
            keep_answers_ms: 60_000,
        }
    }
}

/// What the dispatcher's parts subscribe to at its timer service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A job's deadline.
    Deadline(JobKey),
    /// The end of the time for which a job's answer is kept.
    Forget(JobKey),
    /// Upstreams of a service may take tasks again.
    Dispatch(ServiceKey),
    /// A request forwarded to its home is overdue.
    Forward(u64),
    /// The next digest to siblings.
    Digest,
}

/// Decides what one entry instance does: same events, same actions.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) config: DispatcherConfig,
    pub(crate) now: Timestamp,
    pub(crate) unix_ms: u64,
    pub(crate) unix_read_at: Timestamp,
    pub(crate) actions: Vec<Action>,
    pub(crate) leaving: bool,
    pub(crate) plan: Plan,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) open_jobs: usize,
    pub(crate) next_job: u64,
    pub(crate) requests: IndexMap<RequestId, JobKey>,
    pub(crate) sessions: SessionTable,
    pub(crate) keys: KeyTable,
    pub(crate) claims: IndexMap<u64, PendingClaim>,
    pub(crate) next_claim: u64,
    pub(crate) attempts: IndexMap<AttemptId, RunningAttempt>,
    pub(crate) next_attempt: u64,
    pub(crate) membership: Membership,
    pub(crate) siblings: SiblingTable,
    pub(crate) forwards: ForwardTable,
    pub(crate) sent_batches: SentBatches,
    pub(crate) last_digest: LoadDigest,
    pub(crate) last_digest_at: Timestamp,
    pub(crate) timers: TimerService<Timer>,
    pub(crate) dirty: Vec<ServiceKey>,
    pub(crate) counts: MessageCounts,
}

impl Dispatcher {
    /// A dispatcher that holds no document yet and refuses every job.
    pub fn new(config: DispatcherConfig) -> Self {
        let limits = config.limits;
        let first_number = config.incarnation.first_number();
        Dispatcher {
            config,
            now: Timestamp::ZERO,
            unix_ms: 0,
            unix_read_at: Timestamp::ZERO,
            actions: Vec::new(),
            leaving: false,
            plan: Plan::default(),
            jobs: SlotMap::with_key(),
            open_jobs: 0,
            next_job: 1,
            requests: IndexMap::new(),
            sessions: SessionTable::new(limits.sessions, limits.session_window),
            keys: KeyTable::new(limits.jobs),
            claims: IndexMap::new(),
            next_claim: 1,
            attempts: IndexMap::new(),
            next_attempt: 1,
            membership: Membership::default(),
            siblings: SiblingTable::new(first_number),
            forwards: ForwardTable::new(first_number),
            sent_batches: SentBatches::default(),
            last_digest: LoadDigest::default(),
            last_digest_at: Timestamp::ZERO,
            timers: TimerService::default(),
            dirty: Vec::new(),
            counts: MessageCounts::default(),
        }
    }

    /// This run of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.config.incarnation
    }

    /// Takes one event and appends what is to be done to `actions`.
    ///
    /// `now` must not be earlier than at the call before.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        self.run_timers();
        self.take(event);
        self.dispatch_dirty();
        actions.append(&mut self.actions);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Submitted {
                request,
                address,
                submission,
            } => self.submit(Waiter::Request(request), &address, &submission),
            Event::LookedUp { request, address } => {
                self.look_up(Waiter::Request(request), &address);
            }
            Event::Cancelled { request, address } => {
                self.cancel(Waiter::Request(request), &address);
            }
            Event::RequestDropped { request } => self.drop_request(request),
            Event::AttemptEnded { attempt, end } => self.end_attempt(attempt, end),
            Event::ClaimEnded { claim, end } => self.end_claim(claim, end),
            Event::PeerMessage { sender, message } => self.take_peer_message(&sender, message),
            Event::PeerNotSent { instance, message } => self.peer_not_sent(&instance, message),
            Event::WallClockRead { unix_ms } => self.read_wall_clock(unix_ms),
            Event::DocumentInstalled {
                revision,
                document,
                text,
            } => self.install(revision, document, text),
            Event::MembershipChanged(membership) => self.change_membership(membership),
            Event::StopRequested => self.stop(),
            Event::Tick => {}
        }
    }

    fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Deadline(job) => self.pass_deadline(job),
                Timer::Forget(job) => self.forget_job(job),
                Timer::Dispatch(service) => self.mark_dirty(service),
                Timer::Forward(correlation) => self.overdue_forward(correlation),
                Timer::Digest => self.digest_due(),
            }
        }
    }

    /// When [`Event::Tick`] is due next.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.next_at()
    }

    /// Opens a session whose jobs belong to this incarnation.
    ///
    /// # Errors
    ///
    /// Why no session can be opened here now; nothing ran.
    pub fn open_session(&mut self, now: Timestamp) -> Result<SessionId, NotRunReason> {
        if self.leaving {
            return Err(NotRunReason::Leaving);
        }
        if !self.plan.is_installed() {
            return Err(NotRunReason::NoDocument);
        }
        Ok(SessionId {
            home: self.config.incarnation,
            instance: self.config.instance.clone(),
            number: self.sessions.open(now),
        })
    }

    /// Whether nothing is open: no request, no attempt, no batch.
    pub fn is_idle(&self) -> bool {
        self.open_jobs == 0 && self.attempts.is_empty() && self.forwards.is_empty()
    }

    /// A reading of the counters and of the state, for metrics and pages.
    pub fn status(&self) -> DispatcherStatus {
        let unix_ms = self.unix_now_ms();
        let upstreams = self.plan.upstreams.values();
        let used = upstreams.filter(|upstream| upstream.is_in_use(unix_ms));
        DispatcherStatus {
            revision: self.plan.revision,
            leaving: self.leaving,
            open_jobs: self.open_jobs,
            kept_jobs: self.jobs.len(),
            sessions: self.sessions.len(),
            queued_tasks: self.plan.services.values().map(|s| s.queued_tasks).sum(),
            running_attempts: self.attempts.len(),
            upstreams_in_use: used.clone().count(),
            ejected_upstreams: used
                .filter(|u| u.health.state(self.now) != HealthState::Healthy)
                .count(),
            siblings: self.siblings.len(),
            reachable_siblings: self
                .siblings
                .iter()
                .filter(|(_, sibling)| sibling.is_reachable(self.now))
                .count(),
            messages: self.counts,
        }
    }

    /// The wall clock now, from its last reading.
    pub(crate) fn unix_now_ms(&self) -> u64 {
        let since = self.now.since(self.unix_read_at).as_millis();
        self.unix_ms
            .saturating_add(u64::try_from(since).unwrap_or(u64::MAX))
    }

    /// Sends a message to a sibling and counts it.
    pub(crate) fn send_peer(&mut self, instance: Arc<str>, message: PeerMessage) {
        self.counts.count_sent(&message);
        self.actions.push(Action::SendPeer { instance, message });
    }

    /// Marks a service for another look at its queue after this event.
    pub(crate) fn mark_dirty(&mut self, service: ServiceKey) {
        if !self.dirty.contains(&service) {
            self.dirty.push(service);
        }
    }

    fn read_wall_clock(&mut self, unix_ms: u64) {
        self.unix_ms = unix_ms;
        self.unix_read_at = self.now;
        if !self.leaving && self.leaves_by_document() {
            self.stop();
        }
    }

    /// Whether the time has come at which the document lets this instance leave, which is final.
    fn leaves_by_document(&self) -> bool {
        let by_then = self.unix_ms.saturating_add(CLOCK_MARGIN_MS);
        let instances = &self.plan.document.instances;
        let own = instances
            .iter()
            .filter(|i| *i.name == *self.config.instance);
        own.filter_map(|instance| instance.leaves_at_unix_ms)
            .any(|leaves_at_unix_ms| leaves_at_unix_ms <= by_then)
    }

    fn stop(&mut self) {
        self.leaving = true;
        self.assign_upstreams();
        self.send_digests();
    }
}

/// A reading of a dispatcher's counters and state.
#[derive(Clone, Copy, Debug, Default)]
pub struct DispatcherStatus {
    /// The revision of the installed document, zero when none.
    pub revision: u64,
    /// Whether the instance was asked to stop.
    pub leaving: bool,
    /// Jobs that are open.
    pub open_jobs: usize,
    /// Jobs that are open or kept for their answers.
    pub kept_jobs: usize,
    /// Sessions held.
    pub sessions: usize,
    /// Tasks that wait for a slot.
    pub queued_tasks: u32,
    /// Attempts that run.
    pub running_attempts: usize,
    /// Upstreams to which this entry instance sends tasks.
    pub upstreams_in_use: usize,
    /// Upstreams of these that are taken out of use for failing.
    pub ejected_upstreams: usize,
    /// Sibling entry instances known.
    pub siblings: usize,
    /// Siblings of these that spoke lately.
    pub reachable_siblings: usize,
    /// Messages sent and received, by kind.
    pub messages: MessageCounts,
}
