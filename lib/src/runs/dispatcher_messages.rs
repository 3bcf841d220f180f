//! How the dispatcher handles the messages of other instances, and sends its own.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;

use super::crash_report::CrashReport;
use super::fact_origin::FactOrigin;
use super::owner_choice::OwnerRef;
use super::past_time::PastTime;
use super::peer_table::Freshness;
use super::peer_table::PEER_TIMEOUT;
use super::run_action::RunAction;
use super::run_digest::RunDigest;
use super::run_dispatcher::DispatcherTimer;
use super::run_dispatcher::RunDispatcher;
use super::run_dispatcher::UnsentMessage;
use super::run_id::PeerKey;
use super::run_message::PeerReport;
use super::run_message::RunMessage;
use super::run_message::TimedRunMessage;
use crate::event::PeerIdentity;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// The minimum time between a report and the next one that a changed load causes.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(25);

/// A report is sent between heartbeats when the free processor capacity has changed by at least the
/// total divided by this.
const REPORTED_CHANGE_DIVISOR: u32 = 8;

/// The delay before a message that found no connection is sent again. Establishing a connection
/// takes some milliseconds, and a refused one is retried after 50 ms.
const RESEND_DELAY: Duration = Duration::from_millis(30);

/// The number of instances that a new process asks for the crashes that they know of. Any one of them
/// may have been restarted itself.
const MAX_CRASH_REQUESTS: usize = 3;

impl RunDispatcher {
    /// Handles a message, unless it is for an earlier incarnation of this instance.
    pub(crate) fn handle_message(&mut self, sender: &PeerIdentity, timed: TimedRunMessage) {
        let mut replaced = None;
        let is_for_this_incarnation = timed.receiver == self.settings.incarnation;
        // A reading of an earlier incarnation's clock says nothing about this one's.
        let (sent_at, echo) = (
            timed.sent_at,
            timed.echo.filter(|_| is_for_this_incarnation),
        );
        let regular = !timed.message.is_sporadic();
        let recorded =
            self.peers
                .record_message(self.now, sender, sent_at, echo, regular, &mut replaced);
        if let Some((peer, incarnation)) = replaced {
            self.on_incarnation_ended(peer, incarnation);
        }
        let Some((peer, freshness)) = recorded else {
            return;
        };
        if !is_for_this_incarnation {
            return log_wrong_receiver(sender, &timed);
        }
        let is_fresh = freshness == Freshness::Fresh;
        let is_request = timed.message.is_request();
        let wanted_as_of = echo
            .filter(|_| timed.message.shows_requests(is_fresh))
            .map(|echo| PastTime::before(echo, timed.input_age));
        let delegators = echo.map(|echo| {
            let delegators = timed.message.delegators().iter();
            let as_of = delegators
                .map(|delegator| (delegator.incarnation, PastTime::before(echo, delegator.age)));
            as_of.collect::<IndexMap<Incarnation, PastTime>>()
        });
        let delegators = delegators.unwrap_or_default();
        if is_request {
            if let Some(as_of) = wanted_as_of {
                self.owner.requesters.record(sender.incarnation, as_of);
            }
            let callers_as_of = delegators.into_values().chain(wanted_as_of).min();
            self.apply_message(peer, sender, is_fresh, echo, callers_as_of, timed);
            self.watch_requester(sender.incarnation);
        } else {
            // What a report drops was last known to be wanted as of the message before.
            self.apply_message(peer, sender, is_fresh, echo, None, timed);
            if let Some(as_of) = wanted_as_of {
                let contacts = &mut self.owner.requesters;
                contacts.record_report(sender.incarnation, as_of);
                contacts.record_delegators(sender.incarnation, delegators);
            }
        }
    }

    /// Applies a message for this incarnation; `echo` is the sender's estimate of this instance's clock, and
    /// `as_of` the time of which a request shows that callers waited for it.
    fn apply_message(
        &mut self,
        peer: PeerKey,
        sender: &PeerIdentity,
        is_fresh: bool,
        echo: Option<Timestamp>,
        as_of: Option<PastTime>,
        timed: TimedRunMessage,
    ) {
        let (now, home, owner) = (self.now, sender.incarnation, OwnerRef::Peer(peer));
        let (name, sent_at) = (&sender.instance, timed.sent_at);
        match timed.message {
            RunMessage::Place(batch) if is_fresh => self.owner.place(now, home, as_of, batch),
            RunMessage::Place(batch) => self.owner.refuse_stale(now, home, as_of, batch),
            RunMessage::Adopt { upstream, batch } => {
                self.owner.adopt(now, home, as_of, &upstream, batch);
            }
            RunMessage::Ends(ends) => {
                self.record_versions(peer, &ends.digest);
                self.record_digest(peer, ends.digest);
                self.home.handle_ends(now, owner, ends.batch, ends.ends);
            }
            RunMessage::Cancel(cancellation) => self.owner.cancel(now, home, &cancellation),
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
            RunMessage::Report(report) => {
                self.record_versions(peer, &report.digest);
                if is_fresh {
                    self.handle_report(peer, sent_at, report);
                }
            }
            RunMessage::Delegate(job) => {
                let age = echo.filter(|_| is_fresh).map(|echo| now.since(echo));
                self.handle_delegated_job(peer, home, age, as_of, job);
            }
            RunMessage::Delegated { number, outcome } => {
                self.handle_delegation_outcome(peer, home, number, outcome);
            }
            RunMessage::WithdrawDelegated { number } => self.handle_withdrawal(peer, home, number),
            RunMessage::Crashes(reports) => self.record_crashes(&reports),
            RunMessage::CrashRequest => self.send_crashes(peer),
            RunMessage::Listing(update) => self.handle_listing_update(peer, name, echo, update),
            RunMessage::CancelJob { job } => {
                self.home.cancel(now, job);
            }
            RunMessage::IntendedRequest { have_version } => {
                self.send_intended(peer, have_version);
            }
            RunMessage::IntendedBody { version, body } => {
                self.handle_intended_body(name, version, body);
            }
            RunMessage::EvacuationRequest { have_version } => {
                self.send_evacuation(peer, have_version);
            }
            RunMessage::Evacuations(set) => self.install_evacuation(set),
        }
    }

    fn record_crashes(&mut self, reports: &[CrashReport]) {
        for report in reports {
            self.record_crash(report);
        }
    }

    fn send_crashes(&mut self, peer: PeerKey) {
        let known = self.home.crashes.reports(self.now);
        if !known.is_empty() {
            self.send(peer, RunMessage::Crashes(known));
        }
    }

    fn handle_report(&mut self, peer: PeerKey, sent_at: Timestamp, report: PeerReport) {
        let home = self.peers.peers[peer].incarnation;
        let owner = OwnerRef::Peer(peer);
        if self.crash_requests.len() < MAX_CRASH_REQUESTS && self.crash_requests.insert(peer) {
            self.send(peer, RunMessage::CrashRequest);
        }
        self.record_digest(peer, report.digest);
        self.owner
            .drop_closed_batches(self.now, home, &report.open, report.highest_sent);
        self.home
            .reconcile_batches(self.now, owner, sent_at, &report.held, report.highest_taken);
        self.reconcile_delegated(peer, home, sent_at, &report.delegation);
        self.reconcile_held(peer, home, &report.delegation);
    }

    /// Records what only grows in the digest of a peer, which holds however old it is, and requests the
    /// peer's intended state and its set of evacuated data centres if they are newer.
    fn record_versions(&mut self, peer: PeerKey, digest: &RunDigest) {
        self.state_transfer.record_version(digest.intended_version);
        self.request_newer_intended(peer, digest.intended_version);
        self.request_newer_evacuation(peer, digest.evacuation_version);
        self.peers.peers[peer].digest.leaving |= digest.leaving;
    }

    /// Records the load of a peer.
    fn record_digest(&mut self, peer: PeerKey, digest: RunDigest) {
        self.peers.peers[peer].digest = digest;
        self.peers.peers[peer].digest_at = Some(self.now);
        self.home.mark_dirty();
    }

    /// The version of the intended state in force; zero before there is one.
    pub(crate) fn intended_version(&self) -> u64 {
        self.intended.as_ref().map_or(0, |state| state.version)
    }

    /// Requests the intended state of a peer, which has this version, if it is newer and neither the store
    /// nor another instance is about to deliver it.
    fn request_newer_intended(&mut self, peer: PeerKey, version: u64) {
        let have_version = self.intended_version();
        let read_as_of = self.operators_as_of;
        let transfer = &mut self.state_transfer;
        if transfer.begin(self.now, peer, version, have_version, read_as_of) {
            let instance = &self.peers.peers[peer].name;
            tracing::info!(%instance, version, have_version, "intended state requested");
            self.send(peer, RunMessage::IntendedRequest { have_version });
        }
    }

    /// Shows a peer this instance's clock, by which the peer dates its messages. Its intended state is not
    /// requested, unless it is newer than any that is known of.
    pub(crate) fn show_clock(&mut self, peer: PeerKey) {
        let known_version = self.state_transfer.newest_version();
        let have_version = self.intended_version().max(known_version);
        self.send(peer, RunMessage::IntendedRequest { have_version });
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

    fn handle_intended_body(&mut self, sender: &Arc<str>, version: u64, body: Bytes) {
        if version <= self.intended_version() {
            return self.state_transfer.end();
        }
        match self.decoder.decode(&body) {
            Some(state) => {
                self.state_transfer.end();
                let origin = FactOrigin::Instance(sender.clone());
                self.install_intended_state(Arc::new(state), body, origin);
            }
            None => tracing::warn!(
                bytes = body.len(),
                "intended state from another instance is not valid"
            ),
        }
    }

    /// Fails a batch that was not sent; schedules other messages to be sent again, unless a later
    /// heartbeat makes up for them.
    pub(crate) fn peer_not_sent(&mut self, instance: &str, message: TimedRunMessage) {
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
            RunMessage::Delegate(job) => self.delegation_not_sent(peer, receiver, job.number),
            // Heartbeats repeat reports, and cause the intended state and the set of evacuated data
            // centres to be requested again.
            // A listing update that is missed shows in the next one.
            RunMessage::Report(_)
            | RunMessage::Listing(_)
            | RunMessage::IntendedRequest { .. }
            | RunMessage::IntendedBody { .. }
            | RunMessage::EvacuationRequest { .. }
            | RunMessage::Evacuations(_) => {}
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
    pub(crate) fn resend_unsent(&mut self) {
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

    pub(crate) fn record_crash(&mut self, report: &CrashReport) {
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
    fn send_as_of(&mut self, sent_at: Timestamp, key: PeerKey, mut message: RunMessage) {
        let Some(peer) = self.peers.peers.get(key) else {
            return;
        };
        let echo = peer.echo(self.now);
        // The estimate of the receiver's clock may be too late by its drift since the last reading.
        let clock_error = peer.clock_error(self.now);
        let input_age = self.inputs.age(self.now) + clock_error;
        if let RunMessage::Place(batch) | RunMessage::Adopt { batch, .. } = &mut message {
            let owner = OwnerRef::Peer(key);
            self.home.record_batch_echo(owner, batch.number, echo);
            self.name_delegator(owner, batch);
        }
        let Some(peer) = self.peers.peers.get(key) else {
            return;
        };
        message.age_delegators(clock_error);
        self.actions.push(RunAction::SendPeer {
            instance: peer.name.clone(),
            message: Box::new(TimedRunMessage {
                receiver: peer.incarnation,
                sent_at,
                echo,
                input_age,
                message,
            }),
        });
    }

    /// The load of this instance, as other instances get it.
    pub(crate) fn digest(&self) -> RunDigest {
        RunDigest {
            services: self.owner.loads(self.now),
            waiting: self.home.waiting(),
            intended_version: self.intended_version(),
            leaving: self.is_leaving,
            evacuation_version: self.evacuation.version(),
        }
    }

    pub(crate) fn send_reports(&mut self) {
        let digest = self.digest();
        self.reported = self.owner.load_summary(self.now);
        self.reported_at = self.now;
        let mut held = self.owner.held_batches(self.now);
        let mut open = self.home.open_batches();
        let mut delegators = self.delegators_by_owner();
        let at_own = delegators.swap_remove(&OwnerRef::Own).unwrap_or_default();
        self.record_own_delegators(&at_own);
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
            let mut delegation = self.delegation_report(peer, incarnation);
            let of_peer = delegators.swap_remove(&OwnerRef::Peer(peer));
            delegation.delegators = of_peer.unwrap_or_default();
            let is_delegating = !delegation.held.is_empty() || !delegation.open.is_empty();
            if held.is_empty() && open.is_empty() && !is_delegating && !is_neighbour {
                continue;
            }
            let report = PeerReport {
                digest: digest.clone(),
                held,
                highest_taken: self.owner.highest_taken_of(incarnation),
                open,
                highest_sent: self.home.highest_batch_number(),
                delegation,
            };
            self.send(peer, RunMessage::Report(report));
        }
    }

    /// Sends a report if the load has changed substantially since the last one.
    pub(crate) fn report_load_change(&mut self) {
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

fn log_wrong_receiver(sender: &PeerIdentity, timed: &TimedRunMessage) {
    let (instance, receiver) = (&sender.instance, timed.receiver);
    tracing::info!(%instance, %receiver, content = %timed.message, "message to an earlier incarnation ignored");
}
