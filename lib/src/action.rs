//! The actions that the dispatcher requests.

use std::sync::Arc;

use bytes::Bytes;

use crate::id::AttemptId;
use crate::id::RequestId;
use crate::id::TaskId;
use crate::outcome::JobAnswer;
use crate::peer_message::PeerMessage;
use crate::target::UpstreamTarget;
use crate::time::Timestamp;

/// An action to perform, in the order of the list that holds it.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send the complete answer to a caller's request, which is closed by it.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Arc<JobAnswer>,
    },
    /// Start a task at an upstream, after another reading of the clock.
    ///
    /// An attempt whose `start_before` has passed ends as
    /// [`crate::outcome::NotStartedCause::PastDeadline`] and sends nothing.
    StartAttempt(Attempt),
    /// Ask an upstream to stop tasks; the end of each attempt is still reported by its own event.
    StopTasks {
        /// The upstream that runs them.
        target: Arc<UpstreamTarget>,
        /// The tasks.
        tasks: Vec<TaskId>,
    },
    /// Claim an idempotency key in the platform's table for this incarnation.
    Claim {
        /// The number under which the result is reported.
        claim: u64,
        /// The team that the key belongs to.
        team: Arc<str>,
        /// The key.
        key: Arc<str>,
    },
    /// Read from the platform's table which incarnation claimed an idempotency key.
    FindHome {
        /// The number under which the result is reported, as for a claim.
        claim: u64,
        /// The team that the key belongs to.
        team: Arc<str>,
        /// The key.
        key: Arc<str>,
    },
    /// Send a message to another entry instance; it may be lost.
    SendPeer {
        /// The instance's name.
        instance: Arc<str>,
        /// The message.
        message: PeerMessage,
    },
}

/// An attempt to start a task at an upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The number under which the end is reported.
    pub attempt: AttemptId,
    /// The upstream that runs it.
    pub target: Arc<UpstreamTarget>,
    /// The identifier of the task.
    pub task: TaskId,
    /// The task's input.
    pub input: Bytes,
    /// The time after which the task must not be started.
    pub start_before: Timestamp,
    /// The time at which the attempt times out.
    pub timeout_at: Timestamp,
    /// The W3C `traceparent` to propagate.
    pub traceparent: Option<Arc<str>>,
}
