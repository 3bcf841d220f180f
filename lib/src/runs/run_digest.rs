//! An instance's short report of its load.

use std::sync::Arc;

use almondhead_macros::value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::resources::Resources;

/// The load of one instance.
#[value]
#[derive(Default)]
pub struct RunDigest {
    /// The load by service.
    pub services: Vec<RunLoad>,
    /// The queues whose jobs wait at this instance, as home, without a task started.
    pub waiting: Vec<WaitingJobs>,
    /// The version of the intended state that it holds, zero when none.
    pub intended_version: u64,
    /// Whether it is stopping and takes no new work.
    pub leaving: bool,
}

/// What an instance can run of one service.
#[value]
pub struct RunLoad {
    /// The service.
    pub service: Arc<str>,
    /// Each upstream that takes tasks now.
    pub free: Vec<FreeUpstream>,
    /// The room of all upstreams in reach, used or free.
    pub total: Resources,
    /// The work that waits here, in milliseconds of one core.
    pub queued_core_ms: u64,
    /// The tasks that wait here.
    pub queued_tasks: u32,
}

/// An upstream that takes tasks now.
#[value]
#[derive(Copy)]
pub struct FreeUpstream {
    /// A short form of its name, [`name_hash`].
    pub name_hash: u32,
    /// What no run uses.
    pub free: Resources,
    /// The measured run times there over the expected ones, in hundredths.
    pub slowness_percent: u32,
}

/// A short form of an upstream's name, enough to tell those of one service apart.
pub fn name_hash(upstream: &str) -> u32 {
    xxh3_64_with_seed(upstream.as_bytes(), 0) as u32
}

/// Jobs of one queue that wait.
#[value]
pub struct WaitingJobs {
    /// The queue.
    pub queue: Arc<str>,
    /// How many of its jobs have not started.
    pub jobs: u64,
}
