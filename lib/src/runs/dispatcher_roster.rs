//! How a dispatcher applies the roster: its peers, and the upstreams that it owns.

use super::delegation::shares::DelegationShares;
use super::neighbours::neighbours;
use super::owner_choice::OwnerRef;
use super::roster::Roster;
use super::run_action::PeerAddress;
use super::run_action::RunAction;
use super::run_dispatcher::RunDispatcher;

impl RunDispatcher {
    /// Applies a version of the roster, unless a newer one was read before.
    pub(crate) fn apply_roster(&mut self, roster: Roster) {
        if roster.version < self.roster.version {
            return;
        }
        self.roster_watch.record_rows(self.now, &roster);
        let is_same = has_same_membership(&self.roster, &roster);
        self.roster = roster;
        self.sent_jobs.shares = DelegationShares::new(&self.settings.instance, &self.roster);
        let own = self.roster.member(&self.settings.instance);
        if own.is_none_or(|member| member.incarnation != self.settings.incarnation) {
            self.actions.push(RunAction::RegisterAgain);
        }
        if !is_same {
            let members = self.roster.members.len();
            let is_weighted = self.roster.is_weighted();
            tracing::info!(
                version = self.roster.version,
                members,
                is_weighted,
                "roster changed"
            );
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
                member.processor_millicores,
            )
        });
        membership.collect::<Vec<_>>()
    };
    membership(left) == membership(right)
}
