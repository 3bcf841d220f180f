//! Messages between instances about leased runs.
//!
//! A message may arrive twice, late or never. Each carries the sender's clock and the sender's
//! estimate of the receiver's clock, so that the receiver can tell how long it was in flight
//! although the clocks are not synchronised. Batch numbers and clock readings are valid for one
//! incarnation of a process only, so a message names the incarnation that it is for.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use super::crash_report::CrashReport;
use super::delegation::message::DelegatedJob;
use super::delegation::message::DelegationOutcome;
use super::delegation::report::DelegationReport;
use super::delegation::report::Delegator;
use super::evacuation::EvacuatedDataCentres;
use super::listing_relay::ListingUpdate;
use super::resources::Resources;
use super::run_digest::RunDigest;
use super::run_id::JobId;
use super::run_id::RunId;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// A message to one incarnation of an instance, with clock readings.
#[value]
pub struct TimedRunMessage {
    /// The incarnation that the message is for; any other ignores it.
    pub receiver: Incarnation,
    /// The sender's clock when the message was first to be sent.
    pub sent_at: Timestamp,
    /// The sender's estimate of the receiver's clock: the last reading that it received, plus the
    /// time since then. `None` when it has received none.
    pub echo: Option<Timestamp>,
    /// How long before it was sent the sender had read all that had reached it, at most.
    pub input_age: Duration,
    /// The message.
    pub message: RunMessage,
}

/// Tasks that their home no longer wants of an owner.
#[value]
#[derive(Default)]
pub struct Cancellation {
    /// The numbers of batches, of which nothing is wanted any more.
    pub batches: Vec<u64>,
    /// Single tasks of batches that go on without them.
    pub tasks: Vec<CancelledTask>,
}

/// A task of a batch that goes on without it.
#[value]
pub struct CancelledTask {
    /// The number of the batch.
    pub batch: u64,
    /// The step, from zero.
    pub step: u32,
    /// The task's index in its step, from zero.
    pub index: u32,
}

/// A message about leased runs. Its `Display` form, for logs, says what it is about.
#[value]
#[derive(derive_more::Display)]
pub enum RunMessage {
    /// Run these tasks on upstreams of the receiver.
    #[display("batch {} of job {}", _0.number, _0.job)]
    Place(RunBatch),
    /// Adopt these runs, which are already running on an upstream that the receiver has taken over.
    #[display("batch {} of job {} adopted on {upstream}", batch.number, batch.job)]
    Adopt {
        /// The upstream.
        upstream: Arc<str>,
        /// The tasks, with the numbers of their current runs.
        batch: RunBatch,
    },
    /// How tasks of a batch ended.
    #[display("{} ends of batch {}", _0.ends.len(), _0.batch)]
    Ends(RunEnds),
    /// Stop the open tasks of these batches, which the sender placed, and single tasks of others.
    #[display("{} batches and {} tasks cancelled", _0.batches.len(), _0.tasks.len())]
    Cancel(Cancellation),
    /// The sender has taken over an upstream and found runs there that it did not start; their
    /// homes may claim them.
    #[display("{} runs and {} ends found on {upstream}", running.len(), ended.len())]
    Found {
        /// The upstream.
        upstream: Arc<str>,
        /// The fencing token of the sender's ownership.
        fence: u64,
        /// The runs that are still running.
        running: Vec<RunId>,
        /// The runs that have ended.
        ended: Vec<FoundEnd>,
    },
    /// A heartbeat with the sender's load and the state of batches.
    #[display("report")]
    Report(PeerReport),
    /// Cancel the job if the receiver is its home.
    #[display("job {job} cancelled")]
    CancelJob {
        /// The job.
        job: JobId,
    },
    /// Request the receiver's intended state if it is newer than the sender's.
    #[display("intended state newer than version {have_version} requested")]
    IntendedRequest {
        /// The version that the sender has; zero when it has none.
        have_version: u64,
    },
    /// Crashes of upstreams: a new one, or all that the sender knows of.
    #[display("{} crashes", _0.len())]
    Crashes(Vec<CrashReport>),
    /// Request all crashes that the receiver knows of.
    #[display("crashes requested")]
    CrashRequest,
    /// Become the home of this job, whose caller the sender answers.
    #[display("job {} delegated as number {}", _0.job, _0.number)]
    Delegate(DelegatedJob),
    /// What became of a job that the receiver delegated to the sender.
    #[display("delegated job of number {number}: {outcome}")]
    Delegated {
        /// The receiver's number of the job.
        number: u64,
        /// What became of it.
        outcome: DelegationOutcome,
    },
    /// The sender no longer waits for a job that it delegated to the receiver.
    #[display("delegated job of number {number} withdrawn")]
    WithdrawDelegated {
        /// The sender's number of the job.
        number: u64,
    },
    /// Changes of the upstreams' entries that the sender has read.
    #[display("{} changes of the listing up to version {}", _0.changes.len(), _0.version)]
    Listing(ListingUpdate),
    /// The sender's intended state, as the platform stores it.
    #[display("intended state of version {version}")]
    IntendedBody {
        /// The version.
        version: u64,
        /// The stored bytes.
        body: bytes::Bytes,
    },
    /// Request the receiver's set of evacuated data centres if it is newer than the sender's.
    #[display("evacuations newer than version {have_version} requested")]
    EvacuationRequest {
        /// The version that the sender has; zero when it has none.
        have_version: u64,
    },
    /// The sender's set of evacuated data centres, also when it is empty.
    #[display("{} evacuations of version {}", _0.names.len(), _0.version)]
    Evacuations(EvacuatedDataCentres),
}

impl RunMessage {
    /// Whether instances that exchange no heartbeats send it to each other from time to time.
    pub(crate) fn is_sporadic(&self) -> bool {
        matches!(
            self,
            RunMessage::Listing(_) | RunMessage::IntendedRequest { .. }
        )
    }

    /// Whether it asks the receiver to run something.
    pub(crate) fn is_request(&self) -> bool {
        matches!(
            self,
            RunMessage::Place(_) | RunMessage::Adopt { .. } | RunMessage::Delegate(_)
        )
    }

    /// The delegating instances that it names.
    pub(crate) fn delegators(&self) -> &[Delegator] {
        match self {
            RunMessage::Place(batch) | RunMessage::Adopt { batch, .. } => {
                batch.delegated_by.as_slice()
            }
            RunMessage::Report(report) => &report.delegation.delegators,
            _ => &[],
        }
    }

    /// Makes the delegating instances that it names look older, by the possible error of a clock.
    pub(crate) fn age_delegators(&mut self, by: Duration) {
        let delegators = match self {
            RunMessage::Place(batch) | RunMessage::Adopt { batch, .. } => {
                batch.delegated_by.as_mut_slice()
            }
            RunMessage::Report(report) => report.delegation.delegators.as_mut_slice(),
            _ => &mut [],
        };
        for delegator in delegators {
            delegator.age += by;
        }
    }

    /// Whether it shows that the sender still wants what it has requested; an outdated report is not read.
    pub(crate) fn shows_requests(&self, is_fresh: bool) -> bool {
        match self {
            RunMessage::Report(_) => is_fresh,
            other => other.is_request(),
        }
    }
}

/// Tasks of one job that its home places with an owner.
#[value]
pub struct RunBatch {
    /// The number that the home gave the batch; it increases from batch to batch.
    pub number: u64,
    /// The job.
    pub job: JobId,
    /// The service.
    pub service: Arc<str>,
    /// The job's specification text, sent to the upstream with each start.
    pub payload: Arc<str>,
    /// The rank of the job's queue; zero comes first.
    pub priority: u32,
    /// The time until the job's objective in microseconds, negative once it has passed.
    pub objective_left_us: i64,
    /// The time until the job's caller stops waiting.
    pub deadline_left: Duration,
    /// What the tasks need, one entry a step.
    pub demands: Vec<StepDemand>,
    /// The tasks.
    pub tasks: Vec<PlacedTask>,
    /// Whether other tasks of the job are running or have run.
    pub has_begun: bool,
    /// The name of the job's queue.
    pub queue: Arc<str>,
    /// The instance that has delegated the job; none if callers wait for it at its home.
    pub delegated_by: Option<Delegator>,
}

/// What the tasks of one step need.
#[value]
pub struct StepDemand {
    /// The step.
    pub step: u32,
    /// The resources that one task uses.
    pub resources: Resources,
    /// The expected run time of one task.
    pub expected_run_time: Duration,
    /// The run time of one task that the caller declared; zero when it declared none.
    pub declared_run_time: Duration,
    /// A label that the upstream must have.
    pub required_label: Option<Arc<str>>,
    /// The rack that holds the step's data.
    pub data_rack: Option<Arc<str>>,
    /// The maximum number of tasks of the step on one upstream.
    pub max_tasks_per_upstream: Option<u32>,
}

/// One task of a batch.
#[value]
pub struct PlacedTask {
    /// Its step.
    pub step: u32,
    /// Its index in the step.
    pub index: u32,
    /// The number of this start.
    pub run_number: u32,
    /// Its run time on an upstream of usual speed, if the progress of earlier runs showed it.
    pub known_run_time: Option<Duration>,
    /// Upstreams on which earlier runs of it failed, were lost or were too slow.
    pub avoid: Vec<Arc<str>>,
    /// Whether nothing else may run on its upstream, because an upstream crashed under it before.
    pub is_alone: bool,
}

/// How tasks of a batch ended.
#[value]
pub struct RunEnds {
    /// The batch.
    pub batch: u64,
    /// The tasks that ended.
    pub ends: Vec<EndedRun>,
    /// The sender's load.
    pub digest: RunDigest,
}

/// A run that ended, and how.
#[value]
pub struct EndedRun {
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: RunEnd,
}

/// How a run ended, as reported to its home.
#[value]
pub enum RunEnd {
    /// The task is done.
    Done {
        /// Its run time scaled to an upstream of usual speed; zero when it is unknown.
        work: Duration,
    },
    /// The task failed on this upstream.
    Failed {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// The run did not start and never will.
    NotStarted(NotStarted),
    /// The run is over, but did not end by itself.
    Lost {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// The run may still go on on this upstream, under another instance or for another batch.
    TakenOver {
        /// The upstream.
        upstream: Arc<str>,
    },
    /// The run was stopped, since its progress predicted an end after the caller's deadline or
    /// far later than expected.
    TooSlow {
        /// The predicted run time on an upstream of usual speed.
        work: Duration,
        /// The upstream.
        upstream: Arc<str>,
    },
}

/// Why a run did not start.
#[value]
#[derive(Copy, derive_more::Display)]
pub enum NotStarted {
    /// It could no longer end before its job's deadline.
    #[display("too_late")]
    TooLate,
    /// It was queued past its job's objective, and no task of the job was running there.
    #[display("overdue")]
    Overdue,
    /// The upstream has seen a run of the task with the same or a higher number.
    #[display("old_run")]
    OldRun,
    /// The start order did not reach the upstream, or the upstream refused it.
    #[display("refused")]
    Refused,
    /// The owner has no upstream that could run it.
    #[display("no_upstream")]
    NoUpstream,
    /// The message that placed it was in flight for too long.
    #[display("stale")]
    Stale,
    /// The owner is stopping.
    #[display("leaving")]
    Leaving,
    /// The upstream rejected the start order as invalid.
    #[display("invalid")]
    Invalid,
}

/// A run that had ended when its upstream was taken over.
#[value]
pub struct FoundEnd {
    /// The run.
    pub run: RunId,
    /// Whether the task is done.
    pub done: bool,
    /// Whether the task failed. When it is neither done nor failed, the run ended for another
    /// reason.
    pub failed: bool,
}

impl FoundEnd {
    /// How the run ended on `upstream`, as reported to its home.
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

/// The content of a heartbeat: load, and the batches between sender and receiver.
#[value]
pub struct PeerReport {
    /// The sender's load.
    pub digest: RunDigest,
    /// The receiver's batches that the sender holds as an owner.
    pub held: Vec<u64>,
    /// The highest number of the receiver's batches that the sender has accepted.
    pub highest_taken: u64,
    /// The sender's batches that it believes the receiver to hold.
    pub open: Vec<u64>,
    /// The highest batch number that the sender has assigned. The receiver keeps batches with a
    /// higher one, which were sent after this report.
    pub highest_sent: u64,
    /// The delegated jobs between sender and receiver.
    pub delegation: DelegationReport,
}
