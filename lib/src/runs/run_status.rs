//! A reading of a dispatcher's state.

use super::run_counts::RunCounts;

/// How a dispatcher stands.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunStatus {
    /// The version of the intended state, zero when none.
    pub intended_version: u64,
    /// The version of the roster.
    pub roster_version: u64,
    /// Whether the instance was asked to stop.
    pub leaving: bool,
    /// Whether callers may be sent here.
    pub ready: bool,
    /// Jobs whose home this is.
    pub open_jobs: usize,
    /// Batches held for homes.
    pub held_batches: usize,
    /// Tasks that wait for room.
    pub queued_tasks: usize,
    /// Tasks that run on owned upstreams.
    pub running_tasks: usize,
    /// Upstreams that this instance owns.
    pub owned_upstreams: usize,
    /// Those of them that take tasks.
    pub usable_upstreams: usize,
    /// Upstreams that are listed.
    pub listed_upstreams: usize,
    /// Other instances known.
    pub peers: usize,
    /// Those of them that spoke lately.
    pub reachable_peers: usize,
    /// What its home decided.
    pub counts: RunCounts,
}
