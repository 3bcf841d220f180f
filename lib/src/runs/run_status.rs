//! A snapshot of a dispatcher's state, for metrics and status pages.

use super::delegation::counts::DelegationCounts;
use super::run_counts::RunCounts;
use super::speed_sharing::counts::SpeedCounts;

/// The state of a dispatcher at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunStatus {
    /// The version of the intended state; zero when it is not known.
    pub intended_version: u64,
    /// The version of the roster.
    pub roster_version: u64,
    /// Whether the instance was asked to stop.
    pub leaving: bool,
    /// Whether callers may be sent here.
    pub ready: bool,
    /// Open jobs whose home is this instance.
    pub open_jobs: usize,
    /// Batches that this instance holds for homes.
    pub held_batches: usize,
    /// Tasks of these batches that wait for an upstream.
    pub queued_tasks: usize,
    /// Runs on owned upstreams that have not ended.
    pub running_tasks: usize,
    /// Upstreams that this instance owns.
    pub owned_upstreams: usize,
    /// Owned upstreams that accept tasks.
    pub usable_upstreams: usize,
    /// Data centres that are evacuated.
    pub evacuated_data_centres: usize,
    /// Owned upstreams in evacuated data centres.
    pub evacuated_upstreams: usize,
    /// Upstreams that the platform lists.
    pub listed_upstreams: usize,
    /// Services whose overload is handled by the priorities of their queues.
    pub prioritised_services: usize,
    /// Services and priorities whose recent work is kept.
    pub recent_priorities: usize,
    /// Other instances that are known.
    pub peers: usize,
    /// Known instances that are reachable.
    pub reachable_peers: usize,
    /// Counters of this instance as a home.
    pub counts: RunCounts,
    /// Jobs that this instance has delegated and not answered yet.
    pub delegated_jobs: usize,
    /// Counters of delegated jobs.
    pub delegation: DelegationCounts,
    /// Speeds that other owners have learned of their upstreams and that are retained here.
    pub retained_speeds: usize,
    /// Counters of exchanged speeds.
    pub speeds: SpeedCounts,
}
