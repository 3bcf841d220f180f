//! What the dispatcher does at each heartbeat, and when other instances are unreachable or have ended.

use std::time::Duration;

use super::home_job::Unfinished;
use super::owner_choice::OwnerRef;
use super::run_action::RunAction;
use super::run_answer::GivenUp;
use super::run_answer::NotRun;
use super::run_dispatcher::DispatcherTimer;
use super::run_dispatcher::HEARTBEAT_INTERVAL;
use super::run_dispatcher::RunDispatcher;
use super::run_id::HomeJobKey;
use super::run_id::PeerKey;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// How long a job of which something may have run waits for another owner. An owner that has just
/// started is read from the roster within 550 ms, and known to be reachable after 100 ms and two
/// heartbeats of 150 ms.
const NO_OTHER_OWNER_TIMEOUT: Duration = Duration::from_secs(1);

/// The age from which a job of which nothing has run ends when no owner is reachable.
const NO_OWNER_TIMEOUT: Duration = Duration::from_millis(100);

impl RunDispatcher {
    /// Checks what depends on the time, and sends heartbeats.
    pub(crate) fn on_heartbeat_due(&mut self) {
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
        self.owner.expire_recent_work(self.now);
        self.end_unplaceable();
        self.home.end_infeasible(self.now);
        self.home.mark_dirty();
        self.send_heartbeat();
    }

    /// Sends a heartbeat as soon as all that has arrived so far is read, at the next one's time at the
    /// latest, so that it tells of a time that is as recent as can be.
    fn send_heartbeat(&mut self) {
        if std::mem::replace(&mut self.is_heartbeat_due, true) {
            self.send_reports();
        }
        self.send_mark();
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
    }

    /// Gives up what depends on an incarnation of an instance that has ended.
    pub(crate) fn on_incarnation_ended(&mut self, peer: PeerKey, incarnation: Incarnation) {
        self.on_peer_unreachable(peer, incarnation, self.now);
        self.home.forget_owner_incarnation(OwnerRef::Peer(peer));
        self.held_jobs.forget(incarnation);
        self.owner.requesters.forget(incarnation);
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
        self.state_transfer.give_up(peer);
        self.give_up_delegated_to(peer, incarnation);
        self.drop_delegated_by(incarnation);
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
            } else if job.is_placed() && !self.evacuation.is_empty() {
                // Runs in an evacuated data centre go on, until their callers leave at the latest.
                job.no_owner_since = Some(self.now);
            } else if waited >= NO_OTHER_OWNER_TIMEOUT {
                let why = Unfinished::GivenUp(GivenUp::OwnerLost);
                self.home.end_unfinished(self.now, key, why);
            }
        }
    }
}
