//! The messages, attempts, claims and jobs that the fakes around the dispatchers exchange.

use std::sync::Arc;

use almondhead_lib::action::Attempt;
use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::id::JobAddress;
use almondhead_lib::outcome::JobAnswer;
use almondhead_lib::peer_message::PeerMessage;
use almondhead_lib::submission::Submission;

/// How a fake upstream ends an attempt.
#[derive(Clone, Copy, Debug)]
pub enum UpstreamEnd {
    /// It runs the task, and the complete answer arrives.
    Finish,
    /// It runs the task and answers that the task failed.
    Fail,
    /// Its concurrency guard refuses the task, which does not start.
    Refuse,
    /// It runs the task, and the answer is lost.
    Lose,
}

/// How the fake table ends a claim.
#[derive(Clone, Copy, Debug)]
pub enum TableEnd {
    /// The claim takes effect if the key is unclaimed, and the answer arrives.
    Answer,
    /// The claim takes effect if the key is unclaimed, and the answer is lost.
    ApplyAndLose,
    /// The table is unavailable: the claim does not take effect.
    Unavailable,
}

/// A peer message in flight.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The incarnation that sent it.
    pub sender: PeerIdentity,
    /// The index of the receiving instance.
    pub to: usize,
    /// The message.
    pub message: PeerMessage,
}

/// An attempt that has not ended at its upstream.
#[derive(Clone, Debug)]
pub struct OpenAttempt {
    /// The index of the instance that sent it.
    pub instance: usize,
    /// The incarnation that sent it.
    pub incarnation: Incarnation,
    /// The attempt.
    pub attempt: Attempt,
}

/// A claim of a key, or a lookup of its claimant, that the table has not answered.
#[derive(Clone, Debug)]
pub struct OpenClaim {
    pub(crate) instance: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) claim: u64,
    pub(crate) key: Arc<str>,
    /// True for a claim, false for a lookup.
    pub(crate) is_write: bool,
}

/// A submitted job and the answers that its callers have received.
#[derive(Debug)]
pub struct SubmittedJob {
    /// The job's address.
    pub address: JobAddress,
    /// The submission, the same for all requests.
    pub submission: Arc<Submission>,
    /// The number of requests without an answer.
    pub open_requests: usize,
    /// The number of answers that none of its tasks ran.
    pub not_run_answers: usize,
    /// The number of complete answers.
    pub complete_answers: usize,
    /// The number of answers that the job failed.
    pub failed_answers: usize,
    /// The latest answer, if any.
    pub last_answer: Option<JobAnswer>,
}

/// A task, by the index of its job and its own index in the job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TaskStart {
    pub(crate) job: usize,
    pub(crate) index: usize,
}
