//! The platform's list of instances.

use std::net::SocketAddr;

use almondhead_macros::key;
use almondhead_macros::message;
use serde::Deserialize;
use serde::Serialize;

/// What an instance does.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// Takes callers' submissions.
    Entry,
    /// Runs tasks.
    Upstream,
}

/// Whether an instance is to stay.
#[key]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// Soon gone; gets no new work.
    Leaving,
}

/// One instance as the platform lists it.
#[message]
pub struct ListedInstance {
    /// The instance's name, unique in the list.
    pub name: String,
    /// What it does.
    pub role: InstanceRole,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Whether it is to stay.
    pub state: InstanceState,
    /// The id of this run of the process, if it announced one.
    pub incarnation: Option<String>,
    /// Where other entry instances reach it.
    pub peer_address: Option<SocketAddr>,
    /// Where callers or entry instances reach it over HTTP.
    pub address: Option<SocketAddr>,
}

/// The list of instances, which may lag behind the truth.
#[message]
pub struct InstanceList {
    /// When the platform made the list, in milliseconds since the Unix epoch.
    pub listed_at_ms: u64,
    /// The instances, in the order in which they were first listed.
    pub instances: Vec<ListedInstance>,
}
