//! The messages between entry instances, as the dispatcher sees them.
//!
//! Every message may arrive twice, late or never. Times are spans, never clock readings,
//! since the clocks of two instances differ.

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
    /// Hand a caller's request to the home of its job.
    ForwardRequest {
        /// The sender's number for the request, repeated in the answer.
        correlation: u64,
        /// The home that must take it; any other incarnation answers [`PeerMessage::HomeGone`].
        home: Incarnation,
        /// The job's address.
        address: JobAddress,
        /// What the caller asks.
        request: ForwardedRequest,
    },
    /// The home's answer to a forwarded request.
    RequestAnswer {
        /// The number of the request.
        correlation: u64,
        /// The answer.
        answer: JobAnswer,
    },
    /// The incarnation that was to take a forwarded request runs no more.
    HomeGone {
        /// The number of the request.
        correlation: u64,
    },
    /// Tasks to run in the receiver's free slots.
    TaskBatch(TaskBatch),
    /// How tasks of a batch ended; tasks not named are still open.
    BatchAnswer {
        /// The batch.
        batch: BatchId,
        /// The tasks that ended.
        ends: Vec<TaskEnd>,
        /// The sender's load.
        digest: LoadDigest,
    },
    /// None of the batch ran, and none will.
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
    /// The sender's load and the newest revision of the document that it holds.
    Digest(LoadDigest),
    /// Ask for the document that the receiver holds.
    DocumentRequest {
        /// The revision that the sender holds, zero when none.
        have_revision: u64,
    },
    /// The document that the sender holds.
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
    /// Run it, or join it when it runs already.
    Submit(Arc<Submission>),
    /// Give its answer.
    LookUp,
    /// Cancel it.
    Cancel,
}

/// Tasks of one job that a sibling runs for the job's home.
#[value]
pub struct TaskBatch {
    /// The sender's number of the batch, rising by one for each batch to this receiver.
    pub batch: BatchId,
    /// The receiver's incarnation for which the number holds.
    pub receiver: Incarnation,
    /// The name of the service.
    pub service: Arc<str>,
    /// The name of the team.
    pub team: Arc<str>,
    /// The time left until the job's deadline.
    pub time_left: Duration,
    /// What each task needs of its upstream.
    pub needs: Needs,
    /// How many tasks the whole job still has, for the order in the queue.
    pub remaining: u32,
    /// The tasks.
    pub tasks: Vec<BatchTask>,
    /// The W3C `traceparent` to pass on.
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
    /// How.
    pub end: AttemptEnd,
}

/// What an entry instance tells its siblings of itself.
#[value]
#[derive(Default)]
pub struct LoadDigest {
    /// The newest revision of the document that it holds, zero when none.
    pub revision: u64,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Its load for each service that it has upstreams for.
    pub services: Vec<ServiceLoad>,
}

/// The load of one service at one entry instance.
#[value]
pub struct ServiceLoad {
    /// The name of the service.
    pub service: Arc<str>,
    /// The slots of its upstreams that are free.
    pub free_slots: u32,
    /// All slots of its upstreams in use.
    pub slots: u32,
    /// The tasks that wait.
    pub queued_tasks: u32,
}

/// How much room a service has, in the steps that matter to siblings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// No slot is free.
    Full,
    /// Up to a quarter of the slots is free.
    Little,
    /// More than a quarter of the slots is free.
    Much,
}

impl ServiceLoad {
    /// How much room the service has.
    pub fn room(&self) -> Room {
        match self.free_slots {
            0 => Room::Full,
            free if free <= self.slots / 4 => Room::Little,
            _ => Room::Much,
        }
    }
}
