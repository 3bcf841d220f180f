//! The other instances: incarnations, clocks, reachability and load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use slotmap::SlotMap;

use super::roster::Member;
use super::roster::Roster;
use super::run_digest::RunDigest;
use super::run_digest::RunLoad;
use super::run_id::PeerKey;
use crate::event::PeerIdentity;
use crate::id::Incarnation;
use crate::scaling::percent_of;
use crate::time::Timestamp;

/// How long after its last fresh message an instance counts as unreachable: four heartbeats.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// The maximum age of a fresh message.
///
/// Messages take milliseconds. One that a network partition or a frozen receiver delayed must not
/// start anything that its sender may have given up since.
pub(crate) const MAX_MESSAGE_AGE: Duration = Duration::from_millis(300);

/// The maximum age of a digest because of which a job is refused: two heartbeats.
const MAX_DIGEST_AGE: Duration = Duration::from_millis(300);

/// The maximum age of a clock reading that messages are dated by: clocks of machines drift apart.
const MAX_CLOCK_AGE: Duration = Duration::from_secs(10);

/// The most that a clock may gain on another one, in percent.
pub(crate) const MAX_CLOCK_DRIFT_PERCENT: u32 = 3;

/// How long an instance is remembered after it has vanished from the roster.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// The maximum number of ended incarnations that are remembered for an instance.
const MAX_ENDED_INCARNATIONS: usize = 8;

/// What is known of another instance.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) name: Arc<str>,
    pub(crate) data_centre: Arc<str>,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
    /// Since when the roster has not listed it.
    unlisted_since: Option<Timestamp>,
    pub(crate) is_leaving: bool,
    /// The latest reading of its clock, and when it arrived on this instance's clock.
    clock: Option<(Timestamp, Timestamp)>,
    /// When its last fresh message arrived; `None` before the first one and once it is unreachable.
    pub(crate) last_contact_at: Option<Timestamp>,
    pub(crate) digest: RunDigest,
    /// When the digest arrived.
    pub(crate) digest_at: Option<Timestamp>,
    /// Its latest incarnations that have ended.
    ended_incarnations: Vec<Incarnation>,
}

impl Peer {
    fn new(member: &Member) -> Self {
        Peer {
            name: member.name.clone(),
            data_centre: member.data_centre.clone(),
            incarnation: member.incarnation,
            address: member.peer_address,
            unlisted_since: None,
            is_leaving: member.leaving,
            clock: None,
            last_contact_at: None,
            digest: RunDigest::default(),
            digest_at: None,
            ended_incarnations: Vec::new(),
        }
    }

    /// Resets the state for another incarnation.
    fn begin_incarnation(&mut self, incarnation: Incarnation) {
        self.ended_incarnations.push(self.incarnation);
        if self.ended_incarnations.len() > MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.remove(0);
        }
        self.incarnation = incarnation;
        self.clock = None;
        self.last_contact_at = None;
        self.digest = RunDigest::default();
        self.digest_at = None;
    }

    /// Whether this incarnation is known to have ended.
    fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.ended_incarnations.contains(&incarnation)
    }

    /// Whether its digest is recent enough to refuse a job because of it.
    pub(crate) fn has_recent_digest(&self, now: Timestamp) -> bool {
        self.digest_at
            .is_some_and(|at| now.since(at) < MAX_DIGEST_AGE)
    }

    /// Whether a fresh message arrived recently.
    pub(crate) fn is_reachable(&self, now: Timestamp) -> bool {
        self.last_contact_at
            .is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    /// Whether it sends messages although the roster does not list it.
    pub(crate) fn is_reachable_unlisted(&self, now: Timestamp) -> bool {
        self.unlisted_since.is_some() && self.is_reachable(now)
    }

    /// The estimate of its clock's present reading; `None` before its first message.
    pub(crate) fn clock_estimate(&self, now: Timestamp) -> Option<Timestamp> {
        self.clock.map(|(theirs, at)| theirs + now.since(at))
    }

    /// The estimate of its clock's present reading for a message to it; `None` when it has sent none
    /// lately.
    pub(crate) fn echo(&self, now: Timestamp) -> Option<Timestamp> {
        let is_recent = self
            .clock
            .is_some_and(|(_, at)| now.since(at) < MAX_CLOCK_AGE);
        self.clock_estimate(now).filter(|_| is_recent)
    }

    /// How much its clock may differ from [`Self::clock_estimate`] because the two drift apart.
    pub(crate) fn clock_error(&self, now: Timestamp) -> Duration {
        let since = self.clock.map(|(_, at)| now.since(at));
        percent_of(since.unwrap_or_default(), MAX_CLOCK_DRIFT_PERCENT)
    }

    /// Its load of a service; `None` when it is leaving or unreachable or does not serve it.
    pub(crate) fn load(&self, now: Timestamp, service: &str) -> Option<&RunLoad> {
        if self.is_leaving || self.digest.leaving || !self.is_reachable(now) {
            return None;
        }
        let loads = self.digest.services.iter();
        loads.into_iter().find(|load| &*load.service == service)
    }
}

/// Whether a message is recent enough to start something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// It was in flight for no longer than allowed.
    Fresh,
    /// It was in flight for too long, or for an unknown time.
    Stale,
}

/// The other instances.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    pub(crate) peers: SlotMap<PeerKey, Peer>,
    by_name: IndexMap<Arc<str>, PeerKey>,
}

impl PeerTable {
    /// The instance with this name.
    pub(crate) fn by_name(&self, name: &str) -> Option<PeerKey> {
        self.by_name.get(name).copied()
    }

    /// The instance that this incarnation belongs to.
    ///
    /// Where several rows of the roster name it, the instance whose messages arrive.
    pub(crate) fn by_incarnation(&self, incarnation: Incarnation) -> Option<PeerKey> {
        let peers = self.peers.iter();
        let found = peers.filter(|(_, peer)| peer.incarnation == incarnation);
        let found = found.max_by_key(|(_, peer)| peer.last_contact_at);
        found.map(|(key, _)| key)
    }

    /// Updates the table from a roster; returns the instances that have a new incarnation, with the
    /// one that has ended.
    pub(crate) fn update(
        &mut self,
        now: Timestamp,
        roster: &Roster,
        own: &str,
    ) -> Vec<(PeerKey, Incarnation)> {
        let mut ended = Vec::new();
        for peer in self.peers.values_mut() {
            peer.unlisted_since.get_or_insert(now);
        }
        for member in roster.members.iter().filter(|member| &*member.name != own) {
            let Some(key) = self.by_name(&member.name) else {
                let key = self.peers.insert(Peer::new(member));
                self.by_name.insert(member.name.clone(), key);
                continue;
            };
            let peer = &mut self.peers[key];
            peer.unlisted_since = None;
            peer.is_leaving = member.leaving;
            peer.address = member.peer_address;
            // The row may be older than messages of a later incarnation.
            if peer.incarnation != member.incarnation && !peer.has_ended(member.incarnation) {
                ended.push((key, peer.incarnation));
                peer.begin_incarnation(member.incarnation);
            }
        }
        ended
    }

    /// Forgets unreachable instances that have been off the roster for long; returns them.
    ///
    /// They are kept for a while, since an instance that was cut off from everything may be reachable
    /// again before it reaches the store.
    pub(crate) fn forget_unlisted(&mut self, now: Timestamp) -> Vec<(PeerKey, Incarnation)> {
        let gone = self.peers.iter();
        let gone = gone.filter(|(_, peer)| {
            let unlisted = peer.unlisted_since;
            unlisted.is_some_and(|at| now.since(at) >= UNLISTED_RETENTION)
                && !peer.is_reachable(now)
        });
        let gone: Vec<(PeerKey, Incarnation)> =
            gone.map(|(key, peer)| (key, peer.incarnation)).collect();
        for (key, _) in &gone {
            if let Some(peer) = self.peers.remove(*key) {
                self.by_name.swap_remove(&peer.name);
            }
        }
        gone
    }

    /// Records a message; returns its sender and freshness, or `None` when the sender is unknown
    /// or its incarnation has ended.
    ///
    /// `echo` is the sender's estimate of this instance's clock. A message that is not `regular`, one that
    /// also instances without heartbeats between them send, is no contact: the next one may take longer
    /// than [`PEER_TIMEOUT`]. `replaced` gets the sender's former
    /// incarnation when this message is the first of a new one.
    pub(crate) fn record_message(
        &mut self,
        now: Timestamp,
        sender: &PeerIdentity,
        sent_at: Timestamp,
        echo: Option<Timestamp>,
        regular: bool,
        replaced: &mut Option<(PeerKey, Incarnation)>,
    ) -> Option<(PeerKey, Freshness)> {
        let key = self.by_name(&sender.instance)?;
        let peer = &mut self.peers[key];
        if peer.incarnation != sender.incarnation {
            if peer.has_ended(sender.incarnation) {
                return None;
            }
            *replaced = Some((key, peer.incarnation));
            peer.begin_incarnation(sender.incarnation);
        }
        let is_newer = peer.clock.is_none_or(|(theirs, _)| sent_at >= theirs);
        let is_fresh = echo.is_some_and(|echo| now.since(echo) <= MAX_MESSAGE_AGE);
        if is_newer {
            peer.clock = Some((sent_at, now));
        }
        if is_fresh && regular {
            peer.last_contact_at = Some(now);
        }
        let freshness = match is_fresh {
            true => Freshness::Fresh,
            false => Freshness::Stale,
        };
        Some((key, freshness))
    }
}
