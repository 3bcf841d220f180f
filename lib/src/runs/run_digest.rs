//! The digest of an instance's load that heartbeats carry to other instances.

use std::sync::Arc;

use almondhead_macros::value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::resources::Resources;

/// The load and state of one instance.
#[value]
#[derive(Default)]
pub struct RunDigest {
    /// The load by service.
    pub services: Vec<RunLoad>,
    /// The queues with jobs of this home that have not started, with the number of these jobs.
    pub waiting: Vec<WaitingJobs>,
    /// The version of the intended state that it holds, zero if it holds none.
    pub intended_version: u64,
    /// Whether it is stopping and accepts no new tasks.
    pub leaving: bool,
    /// The version of the set of evacuated data centres that it holds, zero if it holds none.
    pub evacuation_version: u64,
}

/// The load of the upstreams of one service that an instance owns.
#[value]
pub struct RunLoad {
    /// The service.
    pub service: Arc<str>,
    /// Each upstream that accepts tasks now.
    pub free: Vec<FreeUpstream>,
    /// The capacity of all its reachable upstreams, used or free.
    pub total: Resources,
    /// The expected work of its queued tasks, in milliseconds of one core.
    pub queued_core_ms: u64,
    /// The number of its queued tasks.
    pub queued_tasks: u32,
    /// The queued work by priority, where overload of the service is handled by priority.
    pub backlog: Vec<PriorityBacklog>,
}

/// The queued work of one priority.
#[value]
#[derive(Copy)]
pub struct PriorityBacklog {
    /// The rank of the queues, zero first.
    pub priority: u32,
    /// The expected work of their queued tasks, in milliseconds of one core.
    pub core_ms: u64,
    /// The processor capacity that is kept free for their tasks, in thousandths of a core.
    pub reserved_millicores: u32,
}

/// Adds queued work to the backlog of its priority.
pub(crate) fn add_backlog(backlogs: &mut Vec<PriorityBacklog>, priority: u32, core_ms: u64) {
    let mut known = backlogs.iter_mut();
    match known.find(|backlog| backlog.priority == priority) {
        Some(backlog) => backlog.core_ms = backlog.core_ms.saturating_add(core_ms),
        None => backlogs.push(PriorityBacklog {
            priority,
            core_ms,
            reserved_millicores: 0,
        }),
    }
}

/// An upstream that accepts tasks now, with its free capacity.
#[value]
#[derive(Copy)]
pub struct FreeUpstream {
    /// The hash of its name, [`name_hash`].
    pub name_hash: u32,
    /// The capacity that no run uses.
    pub free_resources: Resources,
    /// The ratio of run times there to those on an upstream of usual speed, in percent.
    pub slowness_percent: u32,
}

/// The figures of a load that decide whether it is reported between heartbeats.
#[value]
#[derive(Copy, Default)]
pub(crate) struct LoadSummary {
    /// The free processor capacity, in thousandths of a core.
    pub(crate) free_millicores: u32,
    /// The whole processor capacity of the usable upstreams, in thousandths of a core.
    pub(crate) total_millicores: u32,
    /// Whether tasks wait for free capacity.
    pub(crate) has_queue: bool,
}

/// A 32-bit hash of an upstream's name, enough to tell the upstreams of one service apart.
pub fn name_hash(upstream: &str) -> u32 {
    xxh3_64_with_seed(upstream.as_bytes(), 0) as u32
}

/// The number of jobs of one queue that wait at a home.
#[value]
pub struct WaitingJobs {
    /// The queue.
    pub queue: Arc<str>,
    /// The number of its jobs that have not started.
    pub jobs: u64,
}
