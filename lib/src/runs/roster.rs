//! The registered instances, as of one version of the platform's roster table.

use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;

use crate::id::Incarnation;

/// The registered instances as of one version of the roster.
///
/// A version contains every change up to it. Ownership that is derived from it can therefore use
/// the version as a fencing token against ownership derived from an older one.
#[value]
#[derive(Default)]
pub struct Roster {
    /// The version; it increases with every change of the table.
    pub version: u64,
    /// The instances, in no particular order.
    pub members: Vec<Member>,
}

/// One registered instance.
#[value]
pub struct Member {
    /// The unique name.
    pub name: Arc<str>,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The address at which it accepts messages from other instances.
    pub peer_address: SocketAddr,
    /// Whether it is leaving and may own no upstreams.
    pub leaving: bool,
    /// Its processor capacity in thousandths of a core; none when its row does not say.
    pub processor_millicores: Option<u32>,
    /// The version of its row; it increases with each heartbeat that the member writes.
    pub row_version: u64,
}

impl Roster {
    /// The member with this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.name == name)
    }

    /// Whether instances own upstreams in proportion to their processor capacities: all members
    /// that may own upstreams declare one.
    pub(crate) fn is_weighted(&self) -> bool {
        self.staying().all(|member| member.capacity().is_some())
    }

    /// The members that may own upstreams, with their weights: their processor capacities, or one
    /// each if any of them declares none.
    pub(crate) fn owner_weights(&self) -> Vec<(&Member, u32)> {
        let is_weighted = self.is_weighted();
        let weighted = self.staying();
        let weighted = weighted.map(|member| (member, member.weight(is_weighted)));
        weighted.collect()
    }

    /// All members with their weights: their processor capacities, or one each if any of them
    /// declares none.
    pub(crate) fn member_weights(&self) -> Vec<(&Member, u32)> {
        let mut members = self.members.iter();
        let is_weighted = members.all(|member| member.capacity().is_some());
        let weighted = self.members.iter();
        let weighted = weighted.map(|member| (member, member.weight(is_weighted)));
        weighted.collect()
    }

    fn staying(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|member| !member.leaving)
    }
}

impl Member {
    fn capacity(&self) -> Option<u32> {
        self.processor_millicores.filter(|capacity| *capacity > 0)
    }

    fn weight(&self, is_weighted: bool) -> u32 {
        let weight = self.capacity().filter(|_| is_weighted);
        weight.unwrap_or(1)
    }
}
