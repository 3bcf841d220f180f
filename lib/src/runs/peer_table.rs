//! What this instance knows of the others.

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
use crate::time::Timestamp;

/// How long an instance may say nothing before it counts as out of reach: four heartbeats.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(600);

/// How old a message may be that acts on the present.
///
/// Messages take milliseconds; one held up by a cut or a frozen receiver must not start anything
/// that its sender may have given up.
pub(crate) const FRESH: Duration = Duration::from_millis(300);

/// How long an instance is remembered that the roster lists no more.
const REMEMBERED: Duration = Duration::from_secs(60);

/// The most ended runs of a process that are remembered.
const MAX_PAST_RUNS: usize = 8;

/// Another instance.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) name: Arc<str>,
    pub(crate) data_centre: Arc<str>,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
    /// Since when the roster does not list it.
    unlisted_since: Option<Timestamp>,
    pub(crate) is_leaving: bool,
    /// Its clock, and when that reading arrived.
    clock: Option<(Timestamp, Timestamp)>,
    /// When a fresh message of it came last.
    pub(crate) last_contact_at: Option<Timestamp>,
    pub(crate) digest: RunDigest,
    /// The last runs of its process that have ended.
    past: Vec<Incarnation>,
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
            past: Vec::new(),
        }
    }

    /// Begins anew with another run of the process.
    fn restart(&mut self, incarnation: Incarnation) {
        self.past.push(self.incarnation);
        if self.past.len() > MAX_PAST_RUNS {
            self.past.remove(0);
        }
        self.incarnation = incarnation;
        self.clock = None;
        self.last_contact_at = None;
        self.digest = RunDigest::default();
    }

    /// Whether this run of its process has ended.
    fn is_past(&self, incarnation: Incarnation) -> bool {
        self.past.contains(&incarnation)
    }

    /// Whether a fresh message came lately.
    pub(crate) fn is_reachable(&self, now: Timestamp) -> bool {
        self.last_contact_at
            .is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    /// Whether it speaks although the roster lists it no more.
    pub(crate) fn is_back(&self, now: Timestamp) -> bool {
        self.unlisted_since.is_some() && self.is_reachable(now)
    }

    /// What its clock shows now, as far as its messages tell.
    pub(crate) fn echo(&self, now: Timestamp) -> Option<Timestamp> {
        self.clock.map(|(theirs, at)| theirs + now.since(at))
    }

    /// Its load of a service, when it takes work.
    pub(crate) fn load(&self, now: Timestamp, service: &str) -> Option<&RunLoad> {
        if self.is_leaving || self.digest.leaving || !self.is_reachable(now) {
            return None;
        }
        let loads = self.digest.services.iter();
        loads.into_iter().find(|load| &*load.service == service)
    }
}

/// Whether a message acts on the present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// It came at once.
    Fresh,
    /// It was too long under way, or how long cannot be told.
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

    /// The instance of this run.
    pub(crate) fn by_incarnation(&self, incarnation: Incarnation) -> Option<PeerKey> {
        let mut peers = self.peers.iter();
        let found = peers.find(|(_, peer)| peer.incarnation == incarnation);
        found.map(|(key, _)| key)
    }

    /// Takes over the roster; gives the instances that are another run now or are gone.
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
            // A row may be older than the messages of the next run.
            if peer.incarnation != member.incarnation && !peer.is_past(member.incarnation) {
                ended.push((key, peer.incarnation));
                peer.restart(member.incarnation);
            }
        }
        ended
    }

    /// Forgets instances that are long listed no more and say nothing; gives them.
    ///
    /// One that was cut off from everything may come back before it reaches the store.
    pub(crate) fn drop_gone(&mut self, now: Timestamp) -> Vec<(PeerKey, Incarnation)> {
        let gone = self.peers.iter();
        let gone = gone.filter(|(_, peer)| {
            let unlisted = peer.unlisted_since;
            unlisted.is_some_and(|at| now.since(at) >= REMEMBERED) && !peer.is_reachable(now)
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

    /// Notes a message; gives its sender and whether it acts on the present.
    ///
    /// `replaced` gets the former run of the sender when this message is the first of another.
    pub(crate) fn note_message(
        &mut self,
        now: Timestamp,
        sender: &PeerIdentity,
        sent_at: Timestamp,
        echo: Option<Timestamp>,
        replaced: &mut Option<(PeerKey, Incarnation)>,
    ) -> Option<(PeerKey, Freshness)> {
        let key = self.by_name(&sender.instance)?;
        let peer = &mut self.peers[key];
        if peer.incarnation != sender.incarnation {
            if peer.is_past(sender.incarnation) {
                return None;
            }
            *replaced = Some((key, peer.incarnation));
            peer.restart(sender.incarnation);
        }
        let is_newer = peer.clock.is_none_or(|(theirs, _)| sent_at >= theirs);
        let is_fresh = echo.is_some_and(|echo| now.since(echo) <= FRESH);
        if is_newer {
            peer.clock = Some((sent_at, now));
        }
        if is_fresh {
            peer.last_contact_at = Some(now);
        }
        let freshness = match is_fresh {
            true => Freshness::Fresh,
            false => Freshness::Stale,
        };
        Some((key, freshness))
    }
}
