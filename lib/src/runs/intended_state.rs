//! The intended state that operators set: the part of it that leased runs need.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::run_id::JobId;

/// One version of the queues, services and limits that operators want in force.
#[value]
#[derive(Default)]
pub struct IntendedState {
    /// The version; an instance replaces a state only by one of a higher version.
    pub version: u64,
    /// The queues that callers submit jobs to.
    pub queues: Vec<Arc<JobQueueSettings>>,
    /// The services whose upstreams run tasks.
    pub services: Vec<RunService>,
    /// The limits on callers' requests.
    pub limits: RequestLimits,
}

/// A queue: where callers submit jobs, and how these are to be run.
#[value]
pub struct JobQueueSettings {
    /// The unique name.
    pub name: Arc<str>,
    /// The host name in callers' requests, without a port.
    pub host: Arc<str>,
    /// The prefix of the paths of its jobs.
    pub path_prefix: Arc<str>,
    /// The service that runs its tasks.
    pub service: Arc<str>,
    /// Its rank among queues; zero is served first.
    pub priority: u32,
    /// The number of failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// The factor in percent on the expected run time of a job's longest chain of steps. The
    /// product plus `target_duration` is the job's objective.
    pub stretch_percent: u32,
    /// The time that is added to the stretched chain for a job's objective.
    pub target_duration: Duration,
    /// How long a job may take if its caller names no time.
    pub timeout: Option<Duration>,
}

/// A service whose upstreams run tasks.
#[value]
pub struct RunService {
    /// The unique name.
    pub name: Arc<str>,
    /// Whether its upstreams refuse tasks that exceed their free capacity.
    pub enforces_capacity: bool,
}

/// The limits on callers' requests.
#[value]
#[derive(Copy, Default)]
pub struct RequestLimits {
    /// Maximum length of the request head in bytes.
    pub head_bytes: Option<u64>,
    /// Maximum length of the request body in bytes.
    pub body_bytes: Option<u64>,
}

/// The queue that a request's host and path name, and the rest of the path.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// The queue.
    pub queue: &'a Arc<JobQueueSettings>,
    /// The rest of the path after the queue's prefix.
    pub rest: &'a str,
}

impl Target<'_> {
    /// The job that the rest of the path names; none when it is not a job's name.
    pub fn job(&self) -> Option<JobId> {
        JobId::parse(self.rest)
    }
}

impl IntendedState {
    /// The queue of `host` with the longest prefix of `path`; a port in `host` is ignored.
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

    /// The services that have queues of different priorities.
    pub(crate) fn prioritised_services(&self) -> IndexSet<Arc<str>> {
        let mut first: IndexMap<&Arc<str>, u32> = IndexMap::new();
        let differing = self.queues.iter().filter(|queue| {
            let priority = first.entry(&queue.service).or_insert(queue.priority);
            *priority != queue.priority
        });
        differing.map(|queue| queue.service.clone()).collect()
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&RunService> {
        self.services.iter().find(|service| &*service.name == name)
    }
}
