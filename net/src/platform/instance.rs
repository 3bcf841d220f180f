//! The platform's list of instances.

use std::net::SocketAddr;

use almondhead_macros::key;
use almondhead_macros::message;
use serde::Deserialize;
use serde::Serialize;

/// The role of an instance.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// Accepts submissions from callers.
    Entry,
    /// Runs tasks.
    Upstream,
}

/// Whether an instance is in service.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// About to stop; gets no new work.
    Leaving,
}

/// One instance as the platform lists it.
#[message]
pub struct ListedInstance {
    /// The instance's name, unique in the list.
    pub name: String,
    /// The role.
    pub role: InstanceRole,
    /// The data centre that the instance is in.
    pub data_centre: String,
    /// Whether the instance is in service.
    pub state: InstanceState,
    /// The id of the process's current incarnation, if it announced one.
    pub incarnation: Option<String>,
    /// The address for other entry instances.
    pub peer_address: Option<SocketAddr>,
    /// The HTTP address for callers (of an entry) or entry instances (of an upstream).
    pub address: Option<SocketAddr>,
}

/// The list of instances, which may be out of date.
#[message]
pub struct InstanceList {
    /// The time at which the platform made the list, in milliseconds since the Unix epoch.
    pub listed_at_ms: u64,
    /// The instances, in the order in which they were first listed.
    pub instances: Vec<ListedInstance>,
}
