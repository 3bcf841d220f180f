//! How a simulated site's store lists instances and upstreams, and how instances read it.

use std::net::SocketAddr;
use std::time::Duration;

use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::listed_upstream::ListingChange;
use almondhead_lib::runs::listed_upstream::ListingRead;
use almondhead_lib::runs::roster::Member;
use almondhead_lib::runs::roster::Roster;

use super::site::RunSite;
use super::upstream::UpstreamFault;

/// How often an instance reads the roster and the list of upstreams. The real process reads the
/// roster at this interval, and the list every 500 ms.
pub(super) const STORE_READ_INTERVAL: Duration = Duration::from_millis(550);

impl RunSite {
    /// Writes the heartbeat of a node to the store, if it can.
    pub(super) fn write_heartbeat(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let is_cut_off = state.dispatcher.is_none() || state.is_frozen || state.is_cut_from_store;
        if is_cut_off || self.is_store_down {
            return;
        }
        state.heartbeats += 1;
        self.store_version += 1;
        let member = Member {
            name: state.name.clone(),
            incarnation: state.incarnation(),
            data_centre: state.data_centre.clone(),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            leaving: state.is_leaving,
            processor_millicores: state.processor_millicores,
            row_version: self.store_version,
        };
        self.roster.insert(member.name.clone(), member);
    }

    /// Delivers the roster and the listings that a node has not read yet.
    pub(super) fn read_store(&mut self, node: usize) {
        if self.is_store_down || self.nodes[node].is_cut_from_store {
            return;
        }
        if self.nodes[node].heartbeats == 0 || !self.roster.contains_key(&self.nodes[node].name) {
            self.write_heartbeat(node);
        }
        let roster = Roster {
            version: self.store_version,
            members: self.roster.values().cloned().collect(),
        };
        self.deliver(node, RunEvent::RosterRead(roster));
        let as_of = self.nodes[node].clock(self.now);
        self.deliver(node, RunEvent::OperatorsRead { as_of });
        self.read_evacuated(node);
        let is_alive = self.nodes[node].dispatcher.is_some();
        if !is_alive || !self.nodes[node].reads_listing {
            return;
        }
        self.nodes[node].listing_reads += 1;
        let delivered = &mut self.delivered_listings[node];
        let changes = self.upstreams.iter().filter(|state| {
            let is_down = state.fault.is_some_and(UpstreamFault::is_down);
            !is_down && delivered.insert(state.listed.id.clone())
        });
        let changes = changes.map(|state| ListingChange {
            id: state.listed.id.clone(),
            version: state.listing_version,
            upstream: Some(state.listed.clone()),
        });
        let changes = changes.chain(std::mem::take(&mut self.nodes[node].unread_removals));
        let read = ListingRead {
            all_ids: None,
            version: self.store_version,
            changes: changes.collect(),
            as_of: Some(self.nodes[node].clock(self.now)),
        };
        self.deliver(node, RunEvent::ListingRead(read));
    }

    /// Delivers the evacuated data centres if the node's process has not read their current version.
    fn read_evacuated(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if state.evacuation_version == self.evacuated.version {
            return;
        }
        let mut set = self.evacuated.clone();
        if state.evacuation_version == 0 {
            // The first read is complete up to the time of the read.
            set.version = self.store_version;
        }
        state.evacuation_version = self.evacuated.version;
        self.deliver(node, RunEvent::EvacuationRead(set));
    }

    /// Records that an upstream's entry has changed, so that instances read it again.
    pub(super) fn list_again(&mut self, upstream: usize) {
        self.store_version += 1;
        let state = &mut self.upstreams[upstream];
        state.listing_version = self.store_version;
        for delivered in &mut self.delivered_listings {
            delivered.swap_remove(&state.listed.id);
        }
    }
}
