//! The dispatcher of leased runs, which combines an instance's roles as home and as owner.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexSet;

use super::assignment::OwnAssignment;
use super::crash_report::CrashReport;
use super::event::RunEvent;
use super::home::Home;
use super::home::HomeOutput;
use super::home_job::Unfinished;
use super::intended_state::IntendedState;
use super::listing_relay::ListingRelay;
use super::neighbours::neighbours;
use super::owner::Owner;
use super::owner::OwnerNotice;
use super::owner_choice::OwnerRef;
use super::pause_guard::PauseGuard;
use super::peer_table::Freshness;
use super::peer_table::PEER_TIMEOUT;
use super::peer_table::PeerTable;
use super::roster::Roster;
use super::run_action::PeerAddress;
use super::run_action::RunAction;
use super::run_answer::GivenUp;
use super::run_answer::NotRun;
use super::run_answer::RunAnswer;
use super::run_digest::LoadSummary;
use super::run_digest::RunDigest;
use super::run_id::HomeJobKey;
use super::run_id::PeerKey;
use super::run_message::PeerReport;
use super::run_message::RunEnds;
use super::run_message::RunMessage;
use super::run_message::TimedRunMessage;
use super::run_settings::RunSettings;
use super::run_status::RunStatus;
use super::upstream_listing::UpstreamListing;
use super::whole_ms::whole_ms;
use crate::event::PeerIdentity;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::time::Timestamp;
use crate::timer::TimerService;

/// The interval between heartbeats to the same instance.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// The minimum time between a report and the next one that a changed load causes.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(25);

/// A report is sent between heartbeats when the free processor capacity has changed by at least the
/// total divided by this.
const REPORTED_CHANGE_DIVISOR: u32 = 8;

/// The delay before a message that found no connection is sent again. Establishing a connection
/// takes some milliseconds, and a refused one is retried after 50 ms.
const RESEND_DELAY: Duration = Duration::from_millis(30);

/// The age from which a job of which nothing has run ends when no owner is reachable.
const NO_OWNER_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a job of which something may have run waits for another owner. An owner that has just
/// started is read from the roster within 550 ms, and known to be reachable after 100 ms and two
/// heartbeats of 150 ms.
const NO_OTHER_OWNER_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of instances that a new process asks for the crashes that they know of. Any one of them
/// may have been restarted itself.
const MAX_CRASH_REQUESTS: usize = 3;

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
enum DispatcherTimer {
    Heartbeat,
    Report,
    Resend,
    CaughtUp,
}

/// A message that found no connection and is to be sent again.
#[derive(Debug)]
struct UnsentMessage {
    peer: PeerKey,
    incarnation: Incarnation,
    message: RunMessage,
    /// When it was first to be sent.
    sent_at: Timestamp,
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
    intended_body: Bytes,
    decoder: Box<dyn IntendedDecoder>,
    pub(crate) roster: Roster,
    assignment: OwnAssignment,
    pub(crate) listing_relay: ListingRelay,
    /// Whether the process was last told to read the upstreams' entries.
    pub(crate) reads_listing: bool,
    pub(crate) roster_watch: super::roster_watch::RosterWatch,
    timers: TimerService<DispatcherTimer>,
    pause_guard: PauseGuard,
    unsent: Vec<UnsentMessage>,
    /// The instances that this process has asked for the crashes that they know of.
    crash_requests: IndexSet<PeerKey>,
    /// The instances with which this one exchanges heartbeats.
    neighbours: IndexSet<Arc<str>>,
    is_leaving: bool,
    /// The load of the last report.
    reported: LoadSummary,
    reported_at: Timestamp,
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
            owner: Owner::new(limits.lease),
            peers: PeerTable::default(),
            listing: UpstreamListing::new(limits.relisting_grace),
            intended: None,
            intended_body: Bytes::new(),
            decoder,
            roster: Roster::default(),
            assignment: OwnAssignment::default(),
            listing_relay: ListingRelay::default(),
            reads_listing: true,
            roster_watch: super::roster_watch::RosterWatch::default(),
            timers,
            pause_guard: PauseGuard::default(),
            unsent: Vec::new(),
            crash_requests: IndexSet::new(),
            neighbours: IndexSet::new(),
            is_leaving: false,
            reported: LoadSummary::default(),
            reported_at: Timestamp::ZERO,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    ///
    /// `now` must not be earlier than in the previous call.
    pub fn handle(&mut self, now: Timestamp, event: RunEvent, actions: &mut Vec<RunAction>) {
        self.now = now.max(self.now);
        self.check_pause();
        self.run_timers();
        self.handle_event(event);
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

    /// Whether no job is open here and no task is held for a home.
    pub fn is_idle(&self) -> bool {
        self.home.is_idle() && self.owner.is_idle()
    }

    /// A snapshot of the state, for metrics and status pages.
    pub fn status(&self) -> RunStatus {
        let upstreams = self.owner.upstreams.values();
        RunStatus {
            intended_version: self.intended.as_ref().map_or(0, |state| state.version),
            roster_version: self.roster.version,
            leaving: self.is_leaving,
            ready: self.is_ready(),
            open_jobs: self.home.jobs.len(),
            held_batches: self.owner.batches.len(),
            queued_tasks: self.owner.queued_tasks(),
            running_tasks: upstreams.clone().map(|upstream| upstream.runs.len()).sum(),
            owned_upstreams: upstreams.clone().count(),
            usable_upstreams: upstreams.filter(|upstream| upstream.is_usable()).count(),
            listed_upstreams: self.listing.iter().count(),
            peers: self.peers.peers.len(),
            reachable_peers: self
                .peers
                .peers
                .values()
                .filter(|peer| peer.is_reachable(self.now))
                .count(),
            counts: self.home.counts,
        }
    }

    fn has_reachable_owner(&self) -> bool {
        let peers = self.peers.peers.values();
        let mut reachable = peers.filter(|peer| peer.is_reachable(self.now));
        let mut own = self.owner.upstreams.values();
        own.any(|upstream| upstream.is_usable())
            || reachable.any(|peer| !peer.digest.services.is_empty())
    }

    /// Starts to catch up if the process was paused until now.
    fn check_pause(&mut self) {
        let Some(pause) = self.pause_guard.record_event(self.now) else {
            return;
        };
        let (paused_ms, catch_up_ms) = (
            whole_ms(pause.gap),
            whole_ms(pause.catches_up_at.since(self.now)),
        );
        tracing::warn!(
            paused_ms,
            catch_up_ms,
            "process was paused: starting nothing until it has caught up"
        );
        self.timers
            .subscribe(pause.catches_up_at, DispatcherTimer::CaughtUp);
    }

    fn run_timers(&mut self) {
        self.owner.run_timers(self.now);
        self.home.run_timers(self.now);
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                DispatcherTimer::Heartbeat => self.on_heartbeat_due(),
                DispatcherTimer::Report => {}
                DispatcherTimer::Resend => self.resend_unsent(),
                DispatcherTimer::CaughtUp => {
                    self.home.mark_dirty();
                    self.owner.mark_dirty();
                }
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
            RunEvent::RequestDropped { request } => self.home.drop_request(self.now, request),
            RunEvent::IntendedRead { state, body } => self.install_intended_state(state, body),
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
            RunEvent::StopRequested { grace } => self.stop(grace),
            RunEvent::Tick => {}
        }
    }

    fn stop(&mut self, grace: Duration) {
        self.is_leaving = true;
        let last_answers_at = self.now + grace.saturating_sub(LAST_ANSWERS_BEFORE_EXIT);
        self.home.stop(last_answers_at);
        self.owner.leave();
        self.assign_upstreams();
        self.send_reports();
    }

    /// Replaces the intended state if the version is newer.
    fn install_intended_state(&mut self, state: Arc<IntendedState>, body: Bytes) {
        let current = self.intended.as_ref().map_or(0, |state| state.version);
        if state.version <= current {
            return;
        }
        tracing::info!(
            version = state.version,
            before = current,
            queues = state.queues.len(),
            "intended state in force"
        );
        self.intended = Some(state);
        self.intended_body = body;
        self.send_reports();
    }

    pub(crate) fn forget_upstreams(&mut self, gone: &[Arc<str>]) {
        for id in gone {
            tracing::info!(upstream = %id, "upstream gone");
            self.owner.release_unlisted(id);
        }
    }

    /// Applies a version of the roster, unless a newer one was read before.
    fn apply_roster(&mut self, roster: Roster) {
        if roster.version < self.roster.version {
            return;
        }
        self.roster_watch.record_rows(self.now, &roster);
        let is_same = has_same_membership(&self.roster, &roster);
        self.roster = roster;
        let own = self.roster.member(&self.settings.instance);
        if own.is_none_or(|member| member.incarnation != self.settings.incarnation) {
            self.actions.push(RunAction::RegisterAgain);
        }
        if !is_same {
            let members = self.roster.members.len();
            tracing::info!(version = self.roster.version, members, "roster changed");
            let ended = self
                .peers
                .update(self.now, &self.roster, &self.settings.instance);
            for (peer, incarnation) in ended {
                self.on_incarnation_ended(peer, incarnation);
            }
            let neighbours = neighbours(&self.settings.instance, &self.roster);
            self.neighbours = neighbours.into_iter().collect();
            self.assignment.on_membership_changed();
            self.listing_relay
                .choose_readers(&self.settings.instance, &self.roster);
            self.set_peers();
        }
        self.assign_upstreams();
    }

    fn set_peers(&mut self) {
        let own = self.settings.instance.clone();
        self.home.set_owner_name(OwnerRef::Own, own);
        for (key, peer) in &self.peers.peers {
            self.home
                .set_owner_name(OwnerRef::Peer(key), peer.name.clone());
        }
        let peers = self.peers.peers.values().map(|peer| PeerAddress {
            name: peer.name.clone(),
            incarnation: peer.incarnation,
            data_centre: peer.data_centre.clone(),
            address: peer.address,
        });
        let peers = peers.collect();
        self.actions.push(RunAction::SetPeers(peers));
    }

    /// Takes over and releases upstreams as the roster and the listing assign them.
    pub(crate) fn assign_upstreams(&mut self) {
        let own = &self.settings.instance;
        let assigned = match self.is_leaving {
            true => &[],
            false => self.assignment.upstreams(own, &self.roster, &self.listing),
        };
        self.owner.reassign(self.now, assigned, self.roster.version);
    }

    /// Checks what depends on the time, and sends heartbeats.
    fn on_heartbeat_due(&mut self) {
        let next = self.now + HEARTBEAT_INTERVAL;
        self.timers.subscribe(next, DispatcherTimer::Heartbeat);
        let gone = self.listing.expire(self.now);
        if !gone.is_empty() {
            self.forget_upstreams(&gone);
            self.assign_upstreams();
        }
        self.check_peers();
        let own = self.settings.instance.clone();
        let is_reachable = |name: &str| {
            let peer = self.peers.by_name(name);
            peer.is_some_and(|peer| self.peers.peers[peer].is_reachable(self.now))
        };
        let dead = self
            .roster_watch
            .dead_members(self.now, &own, &self.roster, is_reachable);
        for (name, row_version) in dead {
            tracing::warn!(instance = %name, row_version, "instance dead: removing it");
            self.actions
                .push(RunAction::RemoveMember { name, row_version });
        }
        self.end_unplaceable();
        self.home.end_infeasible(self.now);
        self.home.mark_dirty();
        self.send_reports();
    }

    /// Gives up what depends on instances that have become unreachable.
    fn check_peers(&mut self) {
        let now = self.now;
        let unreachable = self.peers.peers.iter().filter_map(|(key, peer)| {
            let last_contact_at = peer.last_contact_at?;
            (!peer.is_reachable(now)).then_some((key, peer.incarnation, last_contact_at))
        });
        let unreachable: Vec<(PeerKey, Incarnation, Timestamp)> = unreachable.collect();
        for (peer, incarnation, last_contact_at) in unreachable {
            let state = &mut self.peers.peers[peer];
            state.last_contact_at = None;
            tracing::warn!(instance = %state.name, "instance unreachable");
            self.on_peer_unreachable(peer, incarnation, last_contact_at);
        }
        for (peer, incarnation) in self.peers.forget_unlisted(now) {
            self.on_incarnation_ended(peer, incarnation);
        }
        for home in self.owner.homes() {
            let is_home_reachable = home == self.settings.incarnation
                || self
                    .peers
                    .by_incarnation(home)
                    .is_some_and(|key| self.peers.peers[key].is_reachable(now));
            if !is_home_reachable {
                self.owner.drop_home(now, home);
            }
        }
    }

    /// Gives up what depends on an incarnation of an instance that has ended.
    fn on_incarnation_ended(&mut self, peer: PeerKey, incarnation: Incarnation) {
        self.on_peer_unreachable(peer, incarnation, self.now);
        self.home.forget_owner_incarnation(OwnerRef::Peer(peer));
    }

    fn on_peer_unreachable(
        &mut self,
        peer: PeerKey,
        incarnation: Incarnation,
        last_contact_at: Timestamp,
    ) {
        self.home
            .on_owner_unreachable(self.now, OwnerRef::Peer(peer), last_contact_at);
        self.owner.drop_home(self.now, incarnation);
    }

    /// Ends jobs whose waiting tasks have had no reachable owner for too long.
    fn end_unplaceable(&mut self) {
        let waiting = self.home.jobs.iter().filter(|(_, job)| job.is_waiting());
        let waiting: Vec<HomeJobKey> = waiting.map(|(key, _)| key).collect();
        for key in waiting {
            let service = self.home.jobs[key].queue.service.clone();
            let has_owner = !self.owner_views(&service).is_empty();
            let job = &mut self.home.jobs[key];
            if has_owner {
                job.no_owner_since = None;
                continue;
            }
            let since = *job.no_owner_since.get_or_insert(self.now);
            let waited = self.now.since(since);
            if !job.may_have_run && !job.is_placed() {
                if self.now.since(job.accepted_at) >= NO_OWNER_TIMEOUT {
                    let why = Unfinished::NotRun(NotRun::NoUpstreamInReach);
                    self.home.end_unfinished(self.now, key, why);
                }
            } else if waited >= NO_OTHER_OWNER_TIMEOUT {
                let why = Unfinished::GivenUp(GivenUp::OwnerLost);
                self.home.end_unfinished(self.now, key, why);
            }
        }
    }

    /// Carries out the outputs of home and owner until neither produces more.
    fn process_outputs(&mut self) {
        let may_start = !self.pause_guard.is_catching_up(self.now);
        loop {
            if may_start {
                self.place_waiting();
            }
            let outputs = std::mem::take(&mut self.home.outputs);
            if may_start {
                self.owner.start_queued(self.now);
            }
            let notices = std::mem::take(&mut self.owner.notices);
            if outputs.is_empty() && notices.is_empty() {
                break;
            }
            for output in outputs {
                self.carry_out_home_output(output);
            }
            for notice in notices {
                self.handle_owner_notice(notice);
            }
        }
        self.actions.append(&mut self.owner.actions);
    }

    fn carry_out_home_output(&mut self, output: HomeOutput) {
        let now = self.now;
        let own = self.settings.incarnation;
        match output {
            HomeOutput::Answer { request, answer } => self.answer(request, answer),
            HomeOutput::Place { owner, batch } => match owner {
                OwnerRef::Own => self.owner.place(now, own, batch),
                OwnerRef::Peer(peer) => self.send(peer, RunMessage::Place(batch)),
            },
            HomeOutput::Adopt {
                owner,
                upstream,
                batch,
            } => match owner {
                OwnerRef::Own => self.owner.adopt(now, own, &upstream, batch),
                OwnerRef::Peer(peer) => self.send(peer, RunMessage::Adopt { upstream, batch }),
            },
            HomeOutput::Cancel { owner, batches } => match owner {
                OwnerRef::Own => self.owner.cancel(now, own, &batches),
                OwnerRef::Peer(peer) => self.send(peer, RunMessage::Cancel { batches }),
            },
        }
    }

    fn handle_owner_notice(&mut self, notice: OwnerNotice) {
        match notice {
            OwnerNotice::Ends { home, batch, ends } => {
                if home == self.settings.incarnation {
                    return self.home.handle_ends(self.now, OwnerRef::Own, batch, ends);
                }
                if let Some(peer) = self.peers.by_incarnation(home) {
                    let digest = self.digest();
                    let ends = RunEnds {
                        batch,
                        ends,
                        digest,
                    };
                    self.send(peer, RunMessage::Ends(ends));
                }
            }
            OwnerNotice::Found {
                upstream,
                fence,
                running,
                ended,
            } => {
                let now = self.now;
                let own = OwnerRef::Own;
                self.home
                    .handle_found_runs(now, own, &upstream, &running, &ended);
                let found = RunMessage::Found {
                    upstream,
                    fence,
                    running,
                    ended,
                };
                self.broadcast(&found);
            }
            OwnerNotice::Crash(report) => {
                self.home.counts.upstream_crashes += 1;
                self.record_crash(&report);
                self.broadcast(&RunMessage::Crashes(vec![report]));
            }
        }
    }

    fn record_crash(&mut self, report: &CrashReport) {
        let mut listed = self.listing.iter();
        let crashed = listed.find(|upstream| upstream.id == report.upstream);
        let service = crashed.map(|upstream| upstream.service.clone());
        let of_service = self.listing.iter().filter(|upstream| {
            let mut service = service.iter();
            service.all(|service| upstream.service == *service)
        });
        let upstreams = of_service.count();
        self.home.crashes.record(self.now, report, upstreams);
    }

    pub(crate) fn broadcast(&mut self, message: &RunMessage) {
        let peers: Vec<PeerKey> = self.peers.peers.keys().collect();
        for peer in peers {
            self.send(peer, message.clone());
        }
    }

    pub(crate) fn send(&mut self, peer: PeerKey, message: RunMessage) {
        self.send_as_of(self.now, peer, message);
    }

    /// Sends a message that was first to be sent at `sent_at`.
    fn send_as_of(&mut self, sent_at: Timestamp, peer: PeerKey, message: RunMessage) {
        let Some(peer) = self.peers.peers.get(peer) else {
            return;
        };
        self.actions.push(RunAction::SendPeer {
            instance: peer.name.clone(),
            message: Box::new(TimedRunMessage {
                receiver: peer.incarnation,
                sent_at,
                echo: peer.clock_estimate(self.now),
                message,
            }),
        });
    }

    pub(crate) fn answer(&mut self, request: RequestId, answer: RunAnswer) {
        self.actions.push(RunAction::Answer { request, answer });
    }

    /// Handles a message, unless it is for an earlier incarnation of this instance.
    fn handle_message(&mut self, sender: &PeerIdentity, timed: TimedRunMessage) {
        let mut replaced = None;
        let is_for_this_incarnation = timed.receiver == self.settings.incarnation;
        // A reading of an earlier incarnation's clock says nothing about this one's.
        let (sent_at, echo) = (
            timed.sent_at,
            timed.echo.filter(|_| is_for_this_incarnation),
        );
        let recorded = self
            .peers
            .record_message(self.now, sender, sent_at, echo, &mut replaced);
        if let Some((peer, incarnation)) = replaced {
            self.on_incarnation_ended(peer, incarnation);
        }
        let Some((peer, freshness)) = recorded else {
            return;
        };
        if !is_for_this_incarnation {
            let (instance, receiver) = (&sender.instance, timed.receiver);
            tracing::info!(%instance, %receiver, content = %timed.message, "message to an earlier incarnation ignored");
            return;
        }
        let is_fresh = freshness == Freshness::Fresh;
        let (now, home, owner) = (self.now, sender.incarnation, OwnerRef::Peer(peer));
        match timed.message {
            RunMessage::Place(batch) if is_fresh => self.owner.place(now, home, batch),
            RunMessage::Place(batch) => self.owner.refuse_stale(now, home, batch),
            RunMessage::Adopt { upstream, batch } => {
                self.owner.adopt(now, home, &upstream, batch);
            }
            RunMessage::Ends(ends) => {
                self.record_digest(peer, ends.digest);
                self.home.handle_ends(now, owner, ends.batch, ends.ends);
            }
            RunMessage::Cancel { batches } => self.owner.cancel(now, home, &batches),
            RunMessage::Found {
                upstream,
                fence,
                running,
                ended,
            } => {
                self.owner.relinquish_upstream(now, &upstream, fence);
                self.home
                    .handle_found_runs(now, owner, &upstream, &running, &ended);
            }
            RunMessage::Report(report) if is_fresh => self.handle_report(peer, home, report),
            RunMessage::Report(_) => {}
            RunMessage::Crashes(reports) => {
                for report in &reports {
                    self.record_crash(report);
                }
            }
            RunMessage::CrashRequest => {
                let known = self.home.crashes.reports(now);
                if !known.is_empty() {
                    self.send(peer, RunMessage::Crashes(known));
                }
            }
            RunMessage::Listing(update) => {
                self.handle_listing_update(&sender.instance, update);
            }
            RunMessage::CancelJob { job } => {
                self.home.cancel(now, job);
            }
            RunMessage::IntendedRequest { have_version } => {
                self.send_intended(peer, have_version);
            }
            RunMessage::IntendedBody { body, .. } => self.handle_intended_body(body),
        }
    }

    fn handle_report(&mut self, peer: PeerKey, home: Incarnation, report: PeerReport) {
        let owner = OwnerRef::Peer(peer);
        if self.crash_requests.len() < MAX_CRASH_REQUESTS && self.crash_requests.insert(peer) {
            self.send(peer, RunMessage::CrashRequest);
        }
        self.record_digest(peer, report.digest);
        self.owner
            .drop_closed_batches(self.now, home, &report.open, report.highest_sent);
        self.home
            .reconcile_batches(self.now, owner, &report.held, report.highest_taken);
    }

    /// Records the load of a peer, and requests its intended state if that is newer.
    fn record_digest(&mut self, peer: PeerKey, digest: RunDigest) {
        let own_version = self.intended.as_ref().map_or(0, |state| state.version);
        if digest.intended_version > own_version {
            let request = RunMessage::IntendedRequest {
                have_version: own_version,
            };
            self.send(peer, request);
        }
        self.peers.peers[peer].digest = digest;
        self.home.mark_dirty();
    }

    fn send_intended(&mut self, peer: PeerKey, have_version: u64) {
        let Some(state) = &self.intended else {
            return;
        };
        if state.version <= have_version {
            return;
        }
        let message = RunMessage::IntendedBody {
            version: state.version,
            body: self.intended_body.clone(),
        };
        self.send(peer, message);
    }

    fn handle_intended_body(&mut self, body: Bytes) {
        match self.decoder.decode(&body) {
            Some(state) => self.install_intended_state(Arc::new(state), body),
            None => tracing::warn!(
                bytes = body.len(),
                "intended state from another instance is not valid"
            ),
        }
    }

    /// Fails a batch that was not sent; schedules other messages to be sent again, unless a later
    /// heartbeat makes up for them.
    fn peer_not_sent(&mut self, instance: &str, message: TimedRunMessage) {
        let Some(peer) = self.peers.by_name(instance) else {
            return;
        };
        let TimedRunMessage {
            receiver, sent_at, ..
        } = message;
        match message.message {
            RunMessage::Place(batch) => {
                let owner = OwnerRef::Peer(peer);
                self.home.handle_unsent_batch(self.now, owner, batch.number);
                self.peers.peers[peer].digest.services.clear();
            }
            // Heartbeats repeat reports, and cause the intended state to be requested again.
            // A listing update that is missed shows in the next one.
            RunMessage::Report(_)
            | RunMessage::Listing(_)
            | RunMessage::IntendedRequest { .. }
            | RunMessage::IntendedBody { .. } => {}
            message => {
                self.unsent.push(UnsentMessage {
                    peer,
                    incarnation: receiver,
                    message,
                    sent_at,
                });
                let due = self.now + RESEND_DELAY;
                self.timers.subscribe(due, DispatcherTimer::Resend);
            }
        }
    }

    /// Sends unsent messages again, except those that are old or for another incarnation.
    fn resend_unsent(&mut self) {
        for unsent in std::mem::take(&mut self.unsent) {
            let is_recent = self.now.since(unsent.sent_at) < PEER_TIMEOUT;
            let peer = self.peers.peers.get(unsent.peer);
            let is_same_incarnation =
                peer.is_some_and(|peer| peer.incarnation == unsent.incarnation);
            if is_recent && is_same_incarnation {
                self.send_as_of(unsent.sent_at, unsent.peer, unsent.message);
            } else {
                let peer = peer.map_or("unknown", |peer| &peer.name);
                tracing::warn!(peer, content = %unsent.message, "message to an instance dropped");
            }
        }
    }

    /// The load of this instance, as other instances get it.
    fn digest(&self) -> RunDigest {
        RunDigest {
            services: self.owner.loads(self.now),
            waiting: self.home.waiting(),
            intended_version: self.intended.as_ref().map_or(0, |state| state.version),
            leaving: self.is_leaving,
        }
    }

    fn send_reports(&mut self) {
        let digest = self.digest();
        self.reported = self.owner.load_summary(self.now);
        self.reported_at = self.now;
        let mut held = self.owner.held_batches(self.now);
        let mut open = self.home.open_batches();
        let peers: Vec<(PeerKey, Incarnation)> = self
            .peers
            .peers
            .iter()
            .map(|(key, peer)| (key, peer.incarnation))
            .collect();
        for (peer, incarnation) in peers {
            let held = held.swap_remove(&incarnation).unwrap_or_default();
            let open = open.swap_remove(&OwnerRef::Peer(peer)).unwrap_or_default();
            let state = &self.peers.peers[peer];
            let is_neighbour =
                self.neighbours.contains(&state.name) || state.is_reachable_unlisted(self.now);
            if held.is_empty() && open.is_empty() && !is_neighbour {
                continue;
            }
            let report = PeerReport {
                digest: digest.clone(),
                held,
                highest_taken: self.owner.highest_taken_of(incarnation),
                open,
                highest_sent: self.home.highest_batch_number(),
            };
            self.send(peer, RunMessage::Report(report));
        }
    }

    /// Sends a report if the load has changed substantially since the last one.
    fn report_load_change(&mut self) {
        let load = self.owner.load_summary(self.now);
        let step = (load.total_millicores / REPORTED_CHANGE_DIVISOR).max(1);
        let change = load.free_millicores.abs_diff(self.reported.free_millicores);
        if change < step && load.has_queue == self.reported.has_queue {
            return;
        }
        let due = self.reported_at + MIN_REPORT_INTERVAL;
        if due > self.now {
            if self.timers.next_at().is_none_or(|next| next > due) {
                self.timers.subscribe(due, DispatcherTimer::Report);
            }
            return;
        }
        self.send_reports();
    }
}

fn has_same_membership(left: &Roster, right: &Roster) -> bool {
    let membership = |roster: &Roster| {
        let members = roster.members.iter();
        let membership = members.map(|member| {
            let name = member.name.clone();
            (
                name,
                member.incarnation,
                member.leaving,
                member.peer_address,
            )
        });
        membership.collect::<Vec<_>>()
    };
    membership(left) == membership(right)
}
