//! The operators' intended state, as far as leased runs need it.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use super::run_id::JobId;

/// The whole intended state of one version.
#[value]
#[derive(Default)]
pub struct IntendedState {
    /// The version; it only rises.
    pub version: u64,
    /// The queues that callers submit jobs to.
    pub queues: Vec<Arc<JobQueueSettings>>,
    /// The services whose upstreams run tasks.
    pub services: Vec<RunService>,
    /// The bounds on callers' requests.
    pub limits: RequestLimits,
}

/// A queue: where jobs come in, and how they are to be run.
#[value]
pub struct JobQueueSettings {
    /// The unique name.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: Arc<str>,
    /// What the paths of its jobs begin with.
    pub path_prefix: Arc<str>,
    /// The service that runs its tasks.
    pub service: Arc<str>,
    /// Its rank among queues; zero comes first.
    pub priority: u32,
    /// How often a task may run and fail.
    pub max_attempts: u32,
    /// The factor on a job's longest chain within which it is to end, in hundredths.
    pub stretch_percent: u32,
    /// The time on top of the stretched chain within which a job is to end.
    pub target_duration: Duration,
    /// How long a request may take whose caller names no time.
    pub timeout: Option<Duration>,
}

/// A service whose upstreams run tasks.
#[value]
pub struct RunService {
    /// The unique name.
    pub name: Arc<str>,
    /// Whether its upstreams refuse tasks that exceed their room.
    pub enforces_capacity: bool,
}

/// The bounds on callers' requests.
#[value]
#[derive(Copy, Default)]
pub struct RequestLimits {
    /// The longest request head in bytes.
    pub head_bytes: Option<u64>,
    /// The longest request body in bytes.
    pub body_bytes: Option<u64>,
}

/// What a request's host and path name.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// The queue.
    pub queue: &'a Arc<JobQueueSettings>,
    /// The rest of the path after the queue's prefix.
    pub rest: &'a str,
}

impl Target<'_> {
    /// The job that the rest of the path names.
    pub fn job(&self) -> Option<JobId> {
        JobId::parse(self.rest)
    }
}

impl IntendedState {
    /// The queue of the host with the longest prefix of `path`.
    pub fn target<'a>(&'a self, host: &str, path: &'a str) -> Option<Target<'a>> {
        let host = host.split_once(':').map_or(host, |(name, _port)| name);
        let of_host = self.queues.iter().filter(|queue| &*queue.host == host);
        let matching = of_host.filter(|queue| path.starts_with(&*queue.path_prefix));
        let queue = matching.max_by_key(|queue| queue.path_prefix.len())?;
        Some(Target {
            queue,
            rest: &path[queue.path_prefix.len()..],
        })
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&RunService> {
        self.services.iter().find(|service| &*service.name == name)
    }
}
