//! Messages between instances about leased runs.
//!
//! Each may arrive twice, late or never. Every message carries the sender's clock and what the
//! sender believes the receiver's clock to show, so that a receiver can tell how long a message
//! was under way without a common clock. Batches, clocks and what is said of them belong to one run
//! of a process, so that a message names the one that it is for.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use super::resources::Resources;
use super::run_digest::RunDigest;
use super::run_id::JobId;
use super::run_id::RunId;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// A message with its clock readings.
#[value]
pub struct TimedRunMessage {
    /// The run of the receiver's process that the message is for; no other one acts on it.
    pub receiver: Incarnation,
    /// The sender's clock.
    pub sent_at: Timestamp,
    /// The receiver's clock as far as the sender can tell: the last reading that it got, and the
    /// time since. None when it got none.
    pub echo: Option<Timestamp>,
    /// The message.
    pub message: RunMessage,
}

/// A message about leased runs; its text, for logs, names what it is about.
#[value]
#[derive(derive_more::Display)]
pub enum RunMessage {
    /// Run these tasks on upstreams of the receiver.
    #[display("batch {} of job {}", _0.number, _0.job)]
    Place(RunBatch),
    /// Hold these runs, which run already on an upstream that the receiver has taken over.
    #[display("batch {} of job {} adopted on {upstream}", batch.number, batch.job)]
    Adopt {
        /// The upstream.
        upstream: Arc<str>,
        /// The tasks with the numbers of their runs.
        batch: RunBatch,
    },
    /// How tasks of a batch ended.
    #[display("{} ends of batch {}", _0.ends.len(), _0.batch)]
    Ends(RunEnds),
    /// Stop what is left of these batches of the sender.
    #[display("{} batches cancelled", batches.len())]
    Cancel {
        /// The numbers of the batches.
        batches: Vec<u64>,
    },
    /// The sender has taken over an upstream and found runs there that it did not start.
    #[display("{} runs and {} ends found on {upstream}", running.len(), ended.len())]
    Found {
        /// The upstream.
        upstream: Arc<str>,
        /// The ownership under which the sender holds it.
        fence: u64,
        /// The runs that still run.
        running: Vec<RunId>,
        /// The runs that have ended.
        ended: Vec<FoundEnd>,
    },
    /// The sender's load, and which batches it believes open.
    #[display("report")]
    Report(PeerReport),
    /// Cancel the job if the receiver is its home.
    #[display("job {job} cancelled")]
    CancelJob {
        /// The job.
        job: JobId,
    },
    /// Ask for the intended state that the receiver holds.
    #[display("intended state wanted after version {have_version}")]
    IntendedRequest {
        /// The version that the sender holds, zero when none.
        have_version: u64,
    },
    /// The intended state that the sender holds, as the platform stores it.
    #[display("intended state of version {version}")]
    IntendedBody {
        /// The version.
        version: u64,
        /// The stored bytes.
        body: bytes::Bytes,
    },
}

/// Tasks of one job, handed to the owner of upstreams.
#[value]
pub struct RunBatch {
    /// The home's number of the batch, rising for each receiver.
    pub number: u64,
    /// The job.
    pub job: JobId,
    /// The service.
    pub service: Arc<str>,
    /// The text that goes with each start.
    pub spec: Arc<str>,
    /// The rank of the job's queue.
    pub priority: u32,
    /// How long until the job is to end, negative once that has passed.
    pub objective_left_us: i64,
    /// How long until its caller leaves.
    pub deadline_left: Duration,
    /// What the tasks need, by step.
    pub demands: Vec<StepDemand>,
    /// The tasks.
    pub tasks: Vec<PlacedTask>,
    /// Whether other tasks of the job run or have run.
    pub has_begun: bool,
}

/// What the tasks of one step need.
#[value]
pub struct StepDemand {
    /// The step.
    pub step: u32,
    /// The room of one task.
    pub demand: Resources,
    /// The expected run time of one task.
    pub expected_run_time: Duration,
    /// The run time that the caller declared, zero when none.
    pub declared_run_time: Duration,
    /// A label that the upstream must have.
    pub required_label: Option<Arc<str>>,
    /// The rack where the data is.
    pub data_rack: Option<Arc<str>>,
    /// The most tasks of the step on one upstream.
    pub max_tasks_per_upstream: Option<u32>,
}

/// One task of a batch.
#[value]
pub struct PlacedTask {
    /// Its step.
    pub step: u32,
    /// Its place in the step.
    pub index: u32,
    /// The number of the start.
    pub run: u32,
    /// Its run time on an upstream of usual speed, where its progress elsewhere has shown it.
    pub known_run_time: Option<Duration>,
    /// Upstreams that it failed on before.
    pub avoid: Vec<Arc<str>>,
}

/// How tasks of a batch ended.
#[value]
pub struct RunEnds {
    /// The batch.
    pub batch: u64,
    /// The tasks that ended.
    pub ends: Vec<TaskEnd>,
    /// The sender's load.
    pub digest: RunDigest,
}

/// How one run ended.
#[value]
pub struct TaskEnd {
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: RunEnd,
}

/// How one run ended, as its home has to know it.
#[value]
pub enum RunEnd {
    /// The task is done.
    Done {
        /// What it would have taken on an upstream of usual speed; zero when that is not known.
        work: Duration,
    },
    /// The task failed on this upstream.
    Failed {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// It did not start, and this run never will.
    NotStarted(NotStarted),
    /// It runs no more and has not ended by itself.
    Lost {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// It may still run on this upstream, which another instance has taken over.
    TakenOver {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// It was stopped: by its progress it would have ended after its caller has left, or far
    /// later than expected.
    TooSlow {
        /// What it would take on an upstream of usual speed.
        work: Duration,
        /// The upstream.
        upstream: Arc<str>,
    },
}

/// Why a run did not start.
#[value]
#[derive(Copy, derive_more::Display)]
pub enum NotStarted {
    /// It could no longer end in time.
    #[display("too_late")]
    TooLate,
    /// It waited past its job's objective, and nothing of the job runs there.
    #[display("overdue")]
    Overdue,
    /// The upstream remembers a run with a number as high.
    #[display("old_run")]
    OldRun,
    /// The order did not reach the upstream, or it was refused.
    #[display("refused")]
    Refused,
    /// The receiver has no upstream that could run it.
    #[display("no_upstream")]
    NoUpstream,
    /// The message with it was too long under way.
    #[display("stale")]
    Stale,
    /// The receiver is stopping.
    #[display("leaving")]
    Leaving,
    /// The upstream found the order invalid.
    #[display("invalid")]
    Invalid,
}

/// A run that had ended when its upstream was taken over.
#[value]
pub struct FoundEnd {
    /// The run.
    pub run: RunId,
    /// Whether it ended done.
    pub done: bool,
    /// Whether it ended failed.
    pub failed: bool,
}

impl FoundEnd {
    /// How the run ended on this upstream, as its home has to know it.
    pub(crate) fn end_on(&self, upstream: &Arc<str>) -> RunEnd {
        let upstream = upstream.clone();
        match self {
            FoundEnd { done: true, .. } => RunEnd::Done {
                work: Duration::ZERO,
            },
            FoundEnd { failed: true, .. } => RunEnd::Failed { upstream },
            _ => RunEnd::Lost { upstream },
        }
    }
}

/// A heartbeat.
#[value]
pub struct PeerReport {
    /// The sender's load.
    pub digest: RunDigest,
    /// The receiver's batches that the sender holds.
    pub held: Vec<u64>,
    /// The highest number of a batch of the receiver that the sender has taken.
    pub highest_taken: u64,
    /// The sender's batches that it believes to be held by the receiver.
    pub open: Vec<u64>,
    /// The highest number of a batch that the sender has sent to the receiver.
    pub highest_sent: u64,
}
