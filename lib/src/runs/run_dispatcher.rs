//! The dispatcher of leased runs, which combines an instance's roles as home and as owner.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexSet;

use super::assignment::OwnAssignment;
use super::delegation::held_jobs::HeldJobs;
use super::delegation::sent_jobs::SentJobs;
use super::evacuation::Evacuation;
use super::event::RunEvent;
use super::fact_origin::FactOrigin;
use super::home::Home;
use super::input_horizon::InputHorizon;
use super::intended_state::IntendedState;
use super::lease_bound::LeaseBound;
use super::listing_relay::ListingRelay;
use super::overload::OverloadPolicy;
use super::owner::Owner;
use super::past_time::PastTime;
use super::peer_table::PeerTable;
use super::requester_contacts::MAX_OPEN_INPUT_AGE;
use super::roster::Roster;
use super::roster_watch::RosterWatch;
use super::run_action::RunAction;
use super::run_digest::LoadSummary;
use super::run_id::PeerKey;
use super::run_message::RunMessage;
use super::run_settings::RunSettings;
use super::run_status::RunStatus;
use super::state_transfer::StateTransfer;
use super::upstream_listing::UpstreamListing;
use super::whole_ms::whole_ms;
use crate::id::Incarnation;
use crate::time::Timestamp;
use crate::timer::TimerService;

/// The interval between heartbeats to the same instance.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// How long before the exit of a stopping process its open jobs are answered, so that the answers
/// are written in time.
const LAST_ANSWERS_BEFORE_EXIT: Duration = Duration::from_millis(150);

/// Decodes intended states that other instances pass on.
pub trait IntendedDecoder: fmt::Debug + Send {
    /// The intended state that `body` encodes; `None` when it is not valid.
    fn decode(&self, body: &[u8]) -> Option<IntendedState>;
}

/// The timers of the dispatcher, besides those of its home and its owner.
#[derive(Clone, Copy, Debug)]
pub(crate) enum DispatcherTimer {
    Heartbeat,
    Report,
    Resend,
    /// A requester may not have been heard of in time.
    RequesterCheck,
    /// The own inputs may be too old for runs to go on.
    InputExpiry,
    /// The callers of the delegated job of this number are about to leave.
    DelegatedDeadline(u64),
}

/// A message that found no connection and is to be sent again.
#[derive(Debug)]
pub(crate) struct UnsentMessage {
    pub(crate) peer: PeerKey,
    pub(crate) incarnation: Incarnation,
    pub(crate) message: RunMessage,
    /// When it was first to be sent.
    pub(crate) sent_at: Timestamp,
}

/// Decides, without I/O, what one instance does as a home of jobs and as an owner of upstreams.
///
/// It is deterministic: the same events at the same times yield the same actions.
#[derive(Debug)]
pub struct RunDispatcher {
    pub(crate) settings: RunSettings,
    pub(crate) now: Timestamp,
    pub(crate) actions: Vec<RunAction>,
    pub(crate) home: Home,
    pub(crate) owner: Owner,
    pub(crate) peers: PeerTable,
    pub(crate) listing: UpstreamListing,
    pub(crate) intended: Option<Arc<IntendedState>>,
    /// The stored bytes of the intended state, for passing it on.
    pub(crate) intended_body: Bytes,
    pub(crate) decoder: Box<dyn IntendedDecoder>,
    /// Since when the intended state is in force.
    pub(crate) intended_since: Timestamp,
    /// Where it came from.
    pub(crate) intended_origin: FactOrigin,
    /// The time before which all that operators wrote has been read; none before the first read.
    pub(crate) operators_as_of: Option<Timestamp>,
    /// The request for a newer intended state of another instance.
    pub(crate) state_transfer: StateTransfer,
    pub(crate) evacuation: Evacuation,
    pub(crate) roster: Roster,
    pub(crate) assignment: OwnAssignment,
    pub(crate) listing_relay: ListingRelay,
    /// Whether the process was last told to read the upstreams' entries.
    pub(crate) reads_listing: bool,
    pub(crate) roster_watch: RosterWatch,
    pub(crate) timers: TimerService<DispatcherTimer>,
    /// How far callers' requests and other instances' messages have been read.
    pub(crate) inputs: InputHorizon,
    /// Whether a heartbeat waits until the inputs have been read.
    pub(crate) is_heartbeat_due: bool,
    pub(crate) unsent: Vec<UnsentMessage>,
    /// When the requesters are checked next; none while nothing is held for others.
    pub(crate) requesters_checked_at: Option<Timestamp>,
    /// The instances that this process has asked for the crashes that they know of.
    pub(crate) crash_requests: IndexSet<PeerKey>,
    /// The instances with which this one exchanges heartbeats.
    pub(crate) neighbours: IndexSet<Arc<str>>,
    pub(crate) is_leaving: bool,
    /// The load of the last report.
    pub(crate) reported: LoadSummary,
    pub(crate) reported_at: Timestamp,
    /// The jobs that this instance has delegated.
    pub(crate) sent_jobs: SentJobs,
    /// The jobs that others have delegated to this instance.
    pub(crate) held_jobs: HeldJobs,
}

impl RunDispatcher {
    /// A dispatcher without an intended state or a roster, which refuses every job.
    pub fn new(settings: RunSettings, decoder: Box<dyn IntendedDecoder>) -> Self {
        let limits = settings.limits;
        let mut timers = TimerService::default();
        timers.subscribe(Timestamp::ZERO, DispatcherTimer::Heartbeat);
        RunDispatcher {
            settings,
            now: Timestamp::ZERO,
            actions: Vec::new(),
            home: Home::default(),
            owner: Owner::new(LeaseBound::new(&limits)),
            peers: PeerTable::default(),
            listing: UpstreamListing::new(limits.relisting_grace),
            intended: None,
            intended_body: Bytes::new(),
            decoder,
            intended_since: Timestamp::ZERO,
            intended_origin: FactOrigin::default(),
            operators_as_of: None,
            state_transfer: StateTransfer::default(),
            evacuation: Evacuation::default(),
            roster: Roster::default(),
            assignment: OwnAssignment::default(),
            listing_relay: ListingRelay::default(),
            reads_listing: true,
            roster_watch: RosterWatch::default(),
            timers,
            inputs: InputHorizon::default(),
            is_heartbeat_due: false,
            unsent: Vec::new(),
            requesters_checked_at: None,
            crash_requests: IndexSet::new(),
            neighbours: IndexSet::new(),
            is_leaving: false,
            reported: LoadSummary::default(),
            reported_at: Timestamp::ZERO,
            sent_jobs: SentJobs::default(),
            held_jobs: HeldJobs::default(),
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    ///
    /// `now` must not be earlier than in the previous call.
    pub fn handle(&mut self, now: Timestamp, event: RunEvent, actions: &mut Vec<RunAction>) {
        self.now = now.max(self.now);
        if self.inputs.begin(self.now) {
            self.record_own_inputs();
        }
        self.run_timers();
        self.handle_event(event);
        self.check_inputs();
        self.process_outputs();
        self.report_load_change();
        self.switch_listing_reads();
        actions.append(&mut self.actions);
    }

    /// When the next [`RunEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let own = self.timers.next_at();
        let home = self.home.timers.next_at();
        let owner = self.owner.timers.next_at();
        [own, home, owner].into_iter().flatten().min()
    }

    /// Whether callers may be sent here: the intended state is known, an owner of upstreams is
    /// reachable, and the instance is not stopping.
    pub fn is_ready(&self) -> bool {
        self.intended.is_some() && !self.is_leaving && self.has_reachable_owner()
    }

    /// Whether no job is open here or delegated, no task is held for a home, and the answers of jobs that
    /// others delegated have arrived.
    pub fn is_idle(&self) -> bool {
        self.home.is_idle()
            && self.owner.is_idle()
            && self.sent_jobs.is_empty()
            && !self.holds_delegated_jobs()
    }

    /// A snapshot of the state, for metrics and status pages.
    pub fn status(&self) -> RunStatus {
        let upstreams = self.owner.upstreams.values();
        let mut counts = self.home.counts;
        counts.unbounded_leases = self.owner.unbounded_leases;
        RunStatus {
            intended_version: self.intended_version(),
            roster_version: self.roster.version,
            leaving: self.is_leaving,
            ready: self.is_ready(),
            open_jobs: self.home.jobs.len(),
            held_batches: self.owner.batches.len(),
            queued_tasks: self.owner.queued_tasks(),
            running_tasks: upstreams.clone().map(|upstream| upstream.runs.len()).sum(),
            owned_upstreams: upstreams.clone().count(),
            usable_upstreams: upstreams
                .clone()
                .filter(|upstream| upstream.is_usable())
                .count(),
            evacuated_data_centres: self.evacuation.in_force().names.len(),
            evacuated_upstreams: upstreams.filter(|upstream| upstream.is_evacuated).count(),
            listed_upstreams: self.listing.iter().count(),
            prioritised_services: self.owner.by_priority.len(),
            recent_priorities: self.owner.recent_priorities(),
            peers: self.peers.peers.len(),
            reachable_peers: self
                .peers
                .peers
                .values()
                .filter(|peer| peer.is_reachable(self.now))
                .count(),
            counts,
            delegated_jobs: self.sent_jobs.len(),
            delegation: self.sent_jobs.counts,
        }
    }

    fn has_reachable_owner(&self) -> bool {
        let peers = self.peers.peers.values();
        let mut reachable = peers.filter(|peer| peer.is_reachable(self.now));
        let mut own = self.owner.upstreams.values();
        own.any(|upstream| upstream.is_in_service())
            || reachable.any(|peer| !peer.digest.services.is_empty())
    }

    /// Asks for a mark if the last one is too long ago, and logs when the inputs become too old to start
    /// anything, or recent enough again.
    fn check_inputs(&mut self) {
        if self.inputs.is_mark_due(self.now) {
            self.send_mark();
        }
        if self.inputs.age(self.now) >= MAX_OPEN_INPUT_AGE {
            self.owner.stop_runs_of(self.now, self.settings.incarnation);
        }
        if !self.inputs.record_lateness(self.now) {
            return;
        }
        let input_age_ms = whole_ms(self.inputs.age(self.now));
        if self.inputs.is_current(self.now) {
            tracing::info!(input_age_ms, "inputs read in time again");
            self.home.mark_dirty();
            self.owner.mark_dirty();
        } else {
            tracing::warn!(
                input_age_ms,
                "inputs read late: starting nothing until they are read"
            );
            self.plan_input_expiry();
        }
    }

    /// Plans an event for the time when the inputs become too old for own runs to go on.
    fn plan_input_expiry(&mut self) {
        let left = MAX_OPEN_INPUT_AGE.saturating_sub(self.inputs.age(self.now));
        let expires_at = self.now + left;
        self.timers
            .subscribe(expires_at, DispatcherTimer::InputExpiry);
    }

    pub(crate) fn send_mark(&mut self) {
        if self.inputs.send_mark(self.now) {
            self.actions.push(RunAction::ReadInputs { as_of: self.now });
        }
    }

    /// Records of which time this instance knows what its own callers want.
    fn record_own_inputs(&mut self) {
        let read_until = PastTime::before(self.now, self.inputs.age(self.now));
        let own = self.settings.incarnation;
        self.owner.requesters.record_report(own, read_until);
    }

    fn handle_mark(&mut self, as_of: Timestamp) {
        self.inputs.record_mark(as_of);
        if !self.inputs.is_current(self.now) {
            self.plan_input_expiry();
        }
        self.record_own_inputs();
        if std::mem::take(&mut self.is_heartbeat_due) {
            self.send_reports();
        }
    }

    fn run_timers(&mut self) {
        self.owner.run_timers(self.now);
        self.home.run_timers(self.now);
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                DispatcherTimer::Heartbeat => self.on_heartbeat_due(),
                DispatcherTimer::Report => {}
                DispatcherTimer::Resend => self.resend_unsent(),
                DispatcherTimer::RequesterCheck => self.check_requesters(),
                // Every event checks the inputs.
                DispatcherTimer::InputExpiry => {}
                DispatcherTimer::DelegatedDeadline(number) => self.on_delegated_deadline(number),
            }
        }
    }

    fn handle_event(&mut self, event: RunEvent) {
        match event {
            RunEvent::Requested {
                request,
                host,
                path,
                kind,
                wait,
            } => self.handle_request(request, &host, &path, kind, wait),
            RunEvent::RequestDropped { request } => {
                self.home.drop_request(self.now, request);
                self.drop_delegated_request(request);
            }
            RunEvent::IntendedRead { state, body } => {
                self.install_intended_state(state, body, FactOrigin::Store);
            }
            RunEvent::OperatorsRead { as_of } => {
                self.operators_as_of = self.operators_as_of.max(Some(as_of));
            }
            RunEvent::EvacuationRead(set) => self.install_evacuation(set),
            RunEvent::ListingRead(read) => self.handle_listing_read(read),
            RunEvent::RosterRead(roster) => self.apply_roster(roster),
            RunEvent::StoreRegained => {
                self.listing.on_store_regained(self.now);
                self.roster_watch.on_store_regained(self.now);
            }
            RunEvent::StoreLost => {
                self.listing.on_store_lost();
                self.roster_watch.on_store_lost();
            }
            RunEvent::PeerMessage { sender, message } => self.handle_message(&sender, *message),
            RunEvent::PeerNotSent { instance, message } => self.peer_not_sent(&instance, *message),
            RunEvent::OrderAnswered { order, answer } => {
                self.owner.order_answered(self.now, order, answer);
            }
            RunEvent::InputsRead { as_of } => self.handle_mark(as_of),
            RunEvent::StopRequested { grace } => self.stop(grace),
            RunEvent::Tick => {}
        }
    }

    fn stop(&mut self, grace: Duration) {
        self.is_leaving = true;
        let last_answers_at = self.now + grace.saturating_sub(LAST_ANSWERS_BEFORE_EXIT);
        self.home.stop(last_answers_at);
        self.stop_delegating(last_answers_at);
        self.owner.leave();
        self.assign_upstreams();
        self.send_reports();
    }

    /// Replaces the intended state if the version is newer.
    pub(crate) fn install_intended_state(
        &mut self,
        state: Arc<IntendedState>,
        body: Bytes,
        origin: FactOrigin,
    ) {
        let current = self.intended_version();
        if state.version <= current {
            return;
        }
        if self.settings.overload == OverloadPolicy::ByPriority {
            self.owner.by_priority = state.prioritised_services();
            self.home.by_priority = self.owner.by_priority.clone();
            self.owner.expire_recent_work(self.now);
            self.owner.mark_dirty();
        }
        tracing::info!(
            version = state.version,
            before = current,
            %origin,
            queues = state.queues.len(),
            prioritised_services = self.owner.by_priority.len(),
            "intended state in force"
        );
        self.home.intended_version = state.version;
        self.intended = Some(state);
        self.intended_since = self.now;
        self.intended_origin = origin;
        self.intended_body = body;
        self.send_reports();
    }

    pub(crate) fn forget_upstreams(&mut self, gone: &[Arc<str>]) {
        for id in gone {
            tracing::info!(upstream = %id, "upstream gone");
            self.owner.release_unlisted(id);
        }
    }
}
