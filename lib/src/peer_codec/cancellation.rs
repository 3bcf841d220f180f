//! Wire encoding of cancellations at owners.

use crate::peer_codec::field::DecodeError;
use crate::peer_codec::field::MAX_BATCHES_PER_CANCEL;
use crate::peer_codec::field::MAX_TASKS;
use crate::peer_codec::field::bounded;
use crate::peer_proto as proto;
use crate::runs::run_message::Cancellation;
use crate::runs::run_message::CancelledTask;

impl From<Cancellation> for proto::CancelRuns {
    fn from(cancellation: Cancellation) -> Self {
        proto::CancelRuns {
            batches: cancellation.batches,
            tasks: cancellation.tasks.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::CancelRuns> for Cancellation {
    type Error = DecodeError;

    fn try_from(cancel: proto::CancelRuns) -> Result<Self, DecodeError> {
        let tasks = bounded("cancel.tasks", cancel.tasks, MAX_TASKS)?;
        Ok(Cancellation {
            batches: bounded("cancel.batches", cancel.batches, MAX_BATCHES_PER_CANCEL)?,
            tasks: tasks.into_iter().map(Into::into).collect(),
        })
    }
}

impl From<CancelledTask> for proto::CancelledTask {
    fn from(task: CancelledTask) -> Self {
        proto::CancelledTask {
            batch: task.batch,
            step: task.step,
            index: task.index,
        }
    }
}

impl From<proto::CancelledTask> for CancelledTask {
    fn from(task: proto::CancelledTask) -> Self {
        CancelledTask {
            batch: task.batch,
            step: task.step,
            index: task.index,
        }
    }
}
