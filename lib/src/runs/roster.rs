//! The instances that have registered, as of one version of their table.

use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;

use crate::id::Incarnation;

/// The instances that have registered.
///
/// Whoever knows a version knows every change up to it, so ownership that follows from a newer
/// version may be fenced by it.
#[value]
#[derive(Default)]
pub struct Roster {
    /// The version, which rises with every change of the table.
    pub version: u64,
    /// The instances, by name.
    pub members: Vec<Member>,
}

/// One registered instance.
#[value]
pub struct Member {
    /// The unique name.
    pub name: Arc<str>,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Where it takes messages.
    pub peer_address: SocketAddr,
    /// Whether it is about to leave and owns nothing any more.
    pub leaving: bool,
    /// The version of its row, which each heartbeat raises.
    pub row_version: u64,
}

impl Roster {
    /// The member with this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.name == name)
    }
}
