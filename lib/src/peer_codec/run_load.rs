//! Wire encoding of the loads of instances that own upstreams.

use crate::peer_codec::field::DecodeError;
use crate::peer_codec::field::MAX_SERVICES;
use crate::peer_codec::field::MAX_TASKS;
use crate::peer_codec::field::bounded;
use crate::peer_codec::field::name;
use crate::peer_codec::field::required;
use crate::peer_proto as proto;
use crate::runs::resources::Resources;
use crate::runs::run_digest::FreeUpstream;
use crate::runs::run_digest::PriorityBacklog;
use crate::runs::run_digest::RunDigest;
use crate::runs::run_digest::RunLoad;
use crate::runs::run_digest::WaitingJobs;

impl From<Resources> for proto::Resources {
    fn from(resources: Resources) -> Self {
        proto::Resources {
            cpu_millicores: resources.cpu_millicores,
            memory_mb: resources.memory_mb,
            accelerators: resources.accelerators,
        }
    }
}

impl From<proto::Resources> for Resources {
    fn from(resources: proto::Resources) -> Self {
        Resources {
            cpu_millicores: resources.cpu_millicores,
            memory_mb: resources.memory_mb,
            accelerators: resources.accelerators,
        }
    }
}

impl From<RunDigest> for proto::RunDigest {
    fn from(digest: RunDigest) -> Self {
        let waiting = digest
            .waiting
            .into_iter()
            .map(|waiting| proto::WaitingJobs {
                queue: waiting.queue.to_string(),
                jobs: waiting.jobs,
            });
        proto::RunDigest {
            services: digest.services.into_iter().map(Into::into).collect(),
            waiting: waiting.collect(),
            intended_version: digest.intended_version,
            leaving: digest.leaving,
            evacuation_version: digest.evacuation_version,
        }
    }
}

impl TryFrom<proto::RunDigest> for RunDigest {
    type Error = DecodeError;

    fn try_from(digest: proto::RunDigest) -> Result<Self, DecodeError> {
        let services = bounded("digest.services", digest.services, MAX_SERVICES)?;
        let waiting = bounded("digest.waiting", digest.waiting, MAX_TASKS)?;
        let waiting = waiting.into_iter().map(|waiting| {
            Ok(WaitingJobs {
                queue: name("digest.waiting.queue", waiting.queue)?,
                jobs: waiting.jobs,
            })
        });
        Ok(RunDigest {
            services: services
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
            waiting: waiting.collect::<Result<_, _>>()?,
            intended_version: digest.intended_version,
            leaving: digest.leaving,
            evacuation_version: digest.evacuation_version,
        })
    }
}

impl From<RunLoad> for proto::RunLoad {
    fn from(load: RunLoad) -> Self {
        proto::RunLoad {
            service: load.service.to_string(),
            free: load.free.into_iter().map(Into::into).collect(),
            total: Some(load.total.into()),
            queued_core_ms: load.queued_core_ms,
            queued_tasks: load.queued_tasks,
            backlog: load.backlog.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::RunLoad> for RunLoad {
    type Error = DecodeError;

    fn try_from(load: proto::RunLoad) -> Result<Self, DecodeError> {
        let free = bounded("digest.services.free", load.free, MAX_TASKS)?;
        let free = free.into_iter().map(TryInto::try_into);
        let backlog = bounded("digest.services.backlog", load.backlog, MAX_TASKS)?;
        Ok(RunLoad {
            service: name("digest.services.service", load.service)?,
            free: free.collect::<Result<_, _>>()?,
            total: required("digest.services.total", load.total)?.into(),
            queued_core_ms: load.queued_core_ms,
            queued_tasks: load.queued_tasks,
            backlog: backlog.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<PriorityBacklog> for proto::PriorityBacklog {
    fn from(backlog: PriorityBacklog) -> Self {
        proto::PriorityBacklog {
            priority: backlog.priority,
            core_ms: backlog.core_ms,
            reserved_millicores: backlog.reserved_millicores,
        }
    }
}

impl From<proto::PriorityBacklog> for PriorityBacklog {
    fn from(backlog: proto::PriorityBacklog) -> Self {
        PriorityBacklog {
            priority: backlog.priority,
            core_ms: backlog.core_ms,
            reserved_millicores: backlog.reserved_millicores,
        }
    }
}

impl From<FreeUpstream> for proto::FreeUpstream {
    fn from(free: FreeUpstream) -> Self {
        proto::FreeUpstream {
            room: Some(free.free_resources.into()),
            slowness_percent: free.slowness_percent,
            name: free.name_hash,
        }
    }
}

impl TryFrom<proto::FreeUpstream> for FreeUpstream {
    type Error = DecodeError;

    fn try_from(free: proto::FreeUpstream) -> Result<Self, DecodeError> {
        Ok(FreeUpstream {
            free_resources: required("digest.services.free.room", free.room)?.into(),
            slowness_percent: free.slowness_percent,
            name_hash: free.name,
        })
    }
}
