//! The dispatcher, a deterministic state machine that makes every decision of one entry instance.

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
use crate::running_attempt::RunningAttempt;
use crate::sent_batch::SentBatches;
use crate::session::SessionTable;
use crate::sibling_table::SiblingTable;
use crate::site_state::SiteState;
use crate::time::Timestamp;
use crate::timer::TimerService;
use crate::upstream_state::CLOCK_MARGIN_MS;

/// The configuration of a dispatcher, fixed for the lifetime of its process.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// The instance's name.
    pub instance: Arc<str>,
    /// The name of its data centre.
    pub data_centre: Arc<str>,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The seed of the generator of random choices.
    pub seed: u64,
    /// The limits on its state.
    pub limits: DispatcherLimits,
}

/// Limits on the state of one dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherLimits {
    /// The maximum number of jobs that are open or whose answers are kept.
    pub jobs: usize,
    /// The maximum number of sessions.
    pub sessions: usize,
    /// The number of most recent job numbers that are remembered per session.
    pub session_window: u64,
    /// How long the answers of ended jobs are kept, in milliseconds.
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

/// What is due when a timer of the dispatcher fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A job's deadline has passed.
    Deadline(JobKey),
    /// The answer of an ended job is no longer kept.
    AnswerExpiry(JobKey),
    /// Upstreams of a service may accept tasks again.
    Dispatch(ServiceKey),
    /// A request that was forwarded to a job's home may have been lost.
    ForwardCheck(u64),
    /// The next digest to siblings is due.
    Digest,
}

/// The state of one entry instance, from which it turns events into actions.
///
/// It is deterministic: the same events at the same times lead to the same actions.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) config: DispatcherConfig,
    pub(crate) now: Timestamp,
    pub(crate) unix_ms: u64,
    pub(crate) unix_read_at: Timestamp,
    pub(crate) actions: Vec<Action>,
    pub(crate) leaving: bool,
    pub(crate) site: SiteState,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) open_jobs: usize,
    pub(crate) next_job: u64,
    pub(crate) requests: IndexMap<RequestId, JobKey>,
    pub(crate) sessions: SessionTable,
    pub(crate) idempotency_keys: KeyTable,
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
    pub(crate) dirty_services: Vec<ServiceKey>,
    pub(crate) counts: MessageCounts,
}

impl Dispatcher {
    /// Creates a dispatcher without a document, which refuses every job.
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
            site: SiteState::default(),
            jobs: SlotMap::with_key(),
            open_jobs: 0,
            next_job: 1,
            requests: IndexMap::new(),
            sessions: SessionTable::new(limits.sessions, limits.session_window),
            idempotency_keys: KeyTable::new(limits.jobs),
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
            dirty_services: Vec::new(),
            counts: MessageCounts::default(),
        }
    }

    /// The incarnation of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.config.incarnation
    }

    /// Handles one event and appends the actions to perform to `actions`.
    ///
    /// `now` must not be earlier than in the previous call.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        self.run_timers();
        self.handle_event(event);
        self.dispatch_dirty();
        actions.append(&mut self.actions);
    }

    fn handle_event(&mut self, event: Event) {
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
            Event::AttemptEnded { attempt, end } => self.on_attempt_ended(attempt, end),
            Event::ClaimEnded { claim, end } => self.on_claim_ended(claim, end),
            Event::PeerMessage { sender, message } => self.handle_peer_message(&sender, message),
            Event::PeerNotSent { instance, message } => self.on_peer_not_sent(&instance, message),
            Event::WallClockRead { unix_ms } => self.set_wall_clock(unix_ms),
            Event::DocumentInstalled {
                revision,
                document,
                text,
            } => self.install(revision, document, text),
            Event::MembershipChanged(membership) => self.apply_membership(membership),
            Event::StopRequested => self.stop(),
            Event::Tick => {}
        }
    }

    fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Deadline(job) => self.on_deadline_passed(job),
                Timer::AnswerExpiry(job) => self.expire_answer(job),
                Timer::Dispatch(service) => self.mark_dirty(service),
                Timer::ForwardCheck(correlation) => self.check_forward(correlation),
                Timer::Digest => self.on_digest_timer(),
            }
        }
    }

    /// The time at which [`Event::Tick`] is due next; `None` when no timer is set.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.next_at()
    }

    /// Opens a session whose jobs have this incarnation as their home.
    ///
    /// # Errors
    ///
    /// [`NotRunReason::Leaving`] when the instance is stopping, and [`NotRunReason::NoDocument`]
    /// when no document is installed.
    pub fn open_session(&mut self, now: Timestamp) -> Result<SessionId, NotRunReason> {
        if self.leaving {
            return Err(NotRunReason::Leaving);
        }
        if !self.site.has_document() {
            return Err(NotRunReason::NoDocument);
        }
        Ok(SessionId {
            home: self.config.incarnation,
            instance: self.config.instance.clone(),
            number: self.sessions.open(now),
        })
    }

    /// Whether no job is open, no attempt is running and no forwarded request is unanswered.
    pub fn is_idle(&self) -> bool {
        self.open_jobs == 0 && self.attempts.is_empty() && self.forwards.is_empty()
    }

    /// A snapshot of counters and state, for metrics and status pages.
    pub fn status(&self) -> DispatcherStatus {
        let unix_ms = self.unix_now_ms();
        let upstreams = self.site.upstreams.values();
        let used = upstreams.filter(|upstream| upstream.is_in_use(unix_ms));
        DispatcherStatus {
            revision: self.site.revision,
            leaving: self.leaving,
            open_jobs: self.open_jobs,
            kept_jobs: self.jobs.len(),
            sessions: self.sessions.len(),
            queued_tasks: self.site.services.values().map(|s| s.queued_tasks).sum(),
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

    /// The current Unix time in milliseconds, extrapolated from the last reading of the wall clock.
    pub(crate) fn unix_now_ms(&self) -> u64 {
        let since = self.now.since(self.unix_read_at).as_millis();
        self.unix_ms
            .saturating_add(u64::try_from(since).unwrap_or(u64::MAX))
    }

    /// Queues a message to a sibling and counts it.
    pub(crate) fn send_peer(&mut self, instance: Arc<str>, message: PeerMessage) {
        self.counts.count_sent(&message);
        self.actions.push(Action::SendPeer { instance, message });
    }

    /// Marks a service whose queue has to be dispatched again after this event.
    pub(crate) fn mark_dirty(&mut self, service: ServiceKey) {
        if !self.dirty_services.contains(&service) {
            self.dirty_services.push(service);
        }
    }

    fn set_wall_clock(&mut self, unix_ms: u64) {
        self.unix_ms = unix_ms;
        self.unix_read_at = self.now;
        if !self.leaving && self.has_reached_leave_time() {
            self.stop();
        }
    }

    /// Whether the time has come at which this instance leaves according to the document.
    ///
    /// Leaving is final: a later document does not bring the instance back.
    fn has_reached_leave_time(&self) -> bool {
        let with_margin_ms = self.unix_ms.saturating_add(CLOCK_MARGIN_MS);
        let instances = &self.site.document.instances;
        let own = instances
            .iter()
            .filter(|i| *i.name == *self.config.instance);
        own.filter_map(|instance| instance.leaves_at_unix_ms)
            .any(|leaves_at_unix_ms| leaves_at_unix_ms <= with_margin_ms)
    }

    fn stop(&mut self) {
        self.leaving = true;
        self.assign_upstreams();
        self.send_digests();
    }
}

/// A snapshot of a dispatcher's counters and state.
#[derive(Clone, Copy, Debug, Default)]
pub struct DispatcherStatus {
    /// The revision of the installed document; zero when there is none.
    pub revision: u64,
    /// Whether the instance is stopping.
    pub leaving: bool,
    /// Jobs without an answer yet.
    pub open_jobs: usize,
    /// Jobs that are open or whose answers are kept.
    pub kept_jobs: usize,
    /// Open sessions.
    pub sessions: usize,
    /// Tasks waiting for a slot.
    pub queued_tasks: u32,
    /// Attempts in flight to upstreams.
    pub running_attempts: usize,
    /// Upstreams to which this entry instance sends tasks.
    pub upstreams_in_use: usize,
    /// Those of them that are ejected because they fail.
    pub ejected_upstreams: usize,
    /// Known sibling entry instances.
    pub siblings: usize,
    /// Those of them that sent a message recently.
    pub reachable_siblings: usize,
    /// Numbers of messages by kind.
    pub messages: MessageCounts,
}
