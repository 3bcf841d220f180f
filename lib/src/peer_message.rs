//! The messages between entry instances.
//!
//! A message may arrive twice, late or never. Times are durations rather than clock readings, since
//! the clocks of two instances differ.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;
use bytes::Bytes;

use crate::id::BatchId;
use crate::id::Incarnation;
use crate::id::JobAddress;
use crate::id::TaskId;
use crate::outcome::AttemptEnd;
use crate::outcome::JobAnswer;
use crate::runs::run_message::TimedRunMessage;
use crate::submission::Needs;
use crate::submission::Submission;

/// A message between entry instances.
#[value]
pub enum PeerMessage {
    /// Forward a caller's request to the home of its job.
    ForwardRequest {
        /// The sender's number for the request, repeated in the answer.
        correlation: u64,
        /// The home that has to handle it; any other incarnation answers [`PeerMessage::HomeGone`].
        home: Incarnation,
        /// The job's address.
        address: JobAddress,
        /// What the caller asks for.
        request: ForwardedRequest,
    },
    /// The home's answer to a forwarded request.
    RequestAnswer {
        /// The number of the request.
        correlation: u64,
        /// The answer.
        answer: JobAnswer,
    },
    /// The incarnation that a request was forwarded to has ended.
    HomeGone {
        /// The number of the request.
        correlation: u64,
    },
    /// Run these tasks in free slots of the receiver.
    TaskBatch(TaskBatch),
    /// How tasks of a batch ended; the tasks not listed are still open.
    BatchAnswer {
        /// The batch.
        batch: BatchId,
        /// The tasks that ended.
        ends: Vec<TaskEnd>,
        /// The sender's load.
        digest: LoadDigest,
    },
    /// The batch is refused: none of its tasks ran, and none will.
    BatchRefused {
        /// The batch.
        batch: BatchId,
        /// The sender's load.
        digest: LoadDigest,
    },
    /// Stop the open tasks of these batches.
    CancelBatches {
        /// The batches.
        batches: Vec<BatchId>,
    },
    /// The sender's load and the newest revision of the document that it has.
    Digest(LoadDigest),
    /// Request the receiver's document.
    DocumentRequest {
        /// The revision that the sender has; zero when it has none.
        have_revision: u64,
    },
    /// The sender's document.
    DocumentBody {
        /// The revision.
        revision: u64,
        /// The text, as submitted.
        text: Bytes,
    },
    /// A message about leased runs.
    Run(Box<TimedRunMessage>),
}

/// What a caller asked of a job.
#[value]
pub enum ForwardedRequest {
    /// Run it, or wait for it when it is open already.
    Submit(Arc<Submission>),
    /// Return its answer.
    LookUp,
    /// Cancel it.
    Cancel,
}

/// Tasks of one job that a sibling runs for the job's home.
#[value]
pub struct TaskBatch {
    /// The sender's number of the batch; it increases by one with each batch to this receiver.
    pub batch: BatchId,
    /// The receiver's incarnation for which the number is valid.
    pub receiver: Incarnation,
    /// The name of the service.
    pub service: Arc<str>,
    /// The name of the team.
    pub team: Arc<str>,
    /// The time left until the job's deadline.
    pub time_left: Duration,
    /// What each task needs of its upstream.
    pub needs: Needs,
    /// How many tasks of the whole job are open, for ordering the queue.
    pub remaining: u32,
    /// The tasks.
    pub tasks: Vec<BatchTask>,
    /// The W3C `traceparent` to propagate.
    pub traceparent: Option<Arc<str>>,
}

/// One task of a batch.
#[value]
pub struct BatchTask {
    /// The task's identity.
    pub task: TaskId,
    /// Its input.
    pub input: Bytes,
}

/// How one task of a batch ended.
#[value]
pub struct TaskEnd {
    /// The task.
    pub task: TaskId,
    /// How it ended.
    pub end: AttemptEnd,
}

/// The state of an entry instance, as it reports it to its siblings.
#[value]
#[derive(Default)]
pub struct LoadDigest {
    /// The newest revision of the document that it has; zero when it has none.
    pub revision: u64,
    /// Whether it is leaving and accepts no new work.
    pub leaving: bool,
    /// Its load for each service that it has upstreams for.
    pub services: Vec<ServiceLoad>,
}

/// The load of one service at one entry instance.
#[value]
pub struct ServiceLoad {
    /// The name of the service.
    pub service: Arc<str>,
    /// The free slots of its upstreams in use, less those that queued tasks will take.
    pub free_slots: u32,
    /// All slots of its upstreams in use.
    pub slots: u32,
    /// The queued tasks for which no slot is free.
    pub queued_tasks: u32,
}

/// The share of a service's slots that is free, in the grades that siblings tell apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreeShare {
    /// No slot is free.
    None,
    /// Up to a quarter of the slots are free.
    UpToQuarter,
    /// More than a quarter of the slots are free.
    OverQuarter,
}

impl ServiceLoad {
    /// The grade of its free share.
    pub fn free_share(&self) -> FreeShare {
        match self.free_slots {
            0 => FreeShare::None,
            free if free <= self.slots / 4 => FreeShare::UpToQuarter,
            _ => FreeShare::OverQuarter,
        }
    }
}
