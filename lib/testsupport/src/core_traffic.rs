//! What the fakes round the dispatchers hand to each other.

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
    /// It runs the task and answers whole.
    Finish,
    /// It runs the task and answers that it failed.
    Fail,
    /// Its guard refuses the task.
    Refuse,
    /// It runs the task and the answer is lost.
    Lose,
}

/// How the fake table ends a claim.
#[derive(Clone, Copy, Debug)]
pub enum TableEnd {
    /// The claim takes effect when it is the first, and the answer arrives.
    Answer,
    /// The claim takes effect when it is the first, and the answer is lost.
    ApplyAndLose,
    /// Nothing takes effect.
    Unavailable,
}

/// A message under way.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// Who sent it.
    pub sender: PeerIdentity,
    /// The place of the instance that it is for.
    pub to: usize,
    /// The message.
    pub message: PeerMessage,
}

/// A task that an upstream got.
#[derive(Clone, Debug)]
pub struct OpenAttempt {
    /// The place of the instance that sent it.
    pub instance: usize,
    /// The incarnation that sent it.
    pub incarnation: Incarnation,
    /// The attempt.
    pub attempt: Attempt,
}

/// A claim that the table has not answered.
#[derive(Clone, Debug)]
pub struct OpenClaim {
    pub(crate) instance: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) claim: u64,
    pub(crate) key: Arc<str>,
    pub(crate) writes: bool,
}

/// A job as its caller knows it.
#[derive(Debug)]
pub struct KnownJob {
    /// Its address.
    pub address: JobAddress,
    /// What was submitted.
    pub submission: Arc<Submission>,
    /// Requests about it that have no answer.
    pub open_requests: usize,
    /// Answers that nothing of it ran.
    pub not_run_answers: usize,
    /// Complete answers.
    pub complete_answers: usize,
    /// Answers that it failed.
    pub failed_answers: usize,
    /// The latest answer.
    pub last_answer: Option<JobAnswer>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TaskStart {
    pub(crate) job: usize,
    pub(crate) index: usize,
}
