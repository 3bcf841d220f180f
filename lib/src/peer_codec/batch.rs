//! Wire encoding of batches of tasks and their ends.

use std::time::Duration;

use crate::id::BatchId;
use crate::id::Incarnation;
use crate::id::TaskId;
use crate::peer_codec::field::DecodeError;
use crate::peer_codec::field::MAX_TASKS;
use crate::peer_codec::field::bounded;
use crate::peer_codec::field::name;
use crate::peer_codec::field::optional_name;
use crate::peer_codec::field::required;
use crate::peer_codec::field::to_us;
use crate::peer_message::BatchTask;
use crate::peer_message::TaskBatch;
use crate::peer_message::TaskEnd;
use crate::peer_proto as proto;

impl From<TaskBatch> for proto::TaskBatch {
    fn from(batch: TaskBatch) -> Self {
        proto::TaskBatch {
            batch: batch.batch.0,
            receiver: batch.receiver.0,
            service: batch.service.to_string(),
            team: batch.team.to_string(),
            time_left_us: to_us(batch.time_left),
            needs: Some(batch.needs.into()),
            remaining: batch.remaining,
            tasks: batch.tasks.into_iter().map(Into::into).collect(),
            traceparent: batch.traceparent.map(|text| text.to_string()),
        }
    }
}

impl TryFrom<proto::TaskBatch> for TaskBatch {
    type Error = DecodeError;

    fn try_from(batch: proto::TaskBatch) -> Result<Self, DecodeError> {
        Ok(TaskBatch {
            batch: BatchId(batch.batch),
            receiver: Incarnation(batch.receiver),
            service: name("batch.service", batch.service)?,
            team: name("batch.team", batch.team)?,
            time_left: Duration::from_micros(batch.time_left_us),
            needs: required("batch.needs", batch.needs)?.into(),
            remaining: batch.remaining,
            tasks: bounded("batch.tasks", batch.tasks, MAX_TASKS)?
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
            traceparent: optional_name("batch.traceparent", batch.traceparent)?,
        })
    }
}

impl From<BatchTask> for proto::BatchTask {
    fn from(task: BatchTask) -> Self {
        proto::BatchTask {
            task: Some(task.task.into()),
            input: task.input,
        }
    }
}

impl TryFrom<proto::BatchTask> for BatchTask {
    type Error = DecodeError;

    fn try_from(task: proto::BatchTask) -> Result<Self, DecodeError> {
        Ok(BatchTask {
            task: required("batch.tasks.task", task.task)?.into(),
            input: task.input,
        })
    }
}

impl From<TaskEnd> for proto::TaskEnd {
    fn from(end: TaskEnd) -> Self {
        proto::TaskEnd {
            task: Some(end.task.into()),
            end: Some(end.end.into()),
        }
    }
}

impl TryFrom<proto::TaskEnd> for TaskEnd {
    type Error = DecodeError;

    fn try_from(end: proto::TaskEnd) -> Result<Self, DecodeError> {
        Ok(TaskEnd {
            task: required("ends.task", end.task)?.into(),
            end: required("ends.end", end.end)?.try_into()?,
        })
    }
}

impl From<TaskId> for proto::TaskId {
    fn from(task: TaskId) -> Self {
        proto::TaskId {
            home: task.home.0,
            job: task.job,
            index: task.index,
        }
    }
}

impl From<proto::TaskId> for TaskId {
    fn from(task: proto::TaskId) -> Self {
        TaskId {
            home: Incarnation(task.home),
            job: task.job,
            index: task.index,
        }
    }
}
