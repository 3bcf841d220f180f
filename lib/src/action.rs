//! What comes out of the dispatcher.

use std::sync::Arc;

use bytes::Bytes;

use crate::id::AttemptId;
use crate::id::RequestId;
use crate::id::TaskId;
use crate::outcome::JobAnswer;
use crate::peer_message::PeerMessage;
use crate::target::UpstreamTarget;
use crate::time::Timestamp;

/// Something to do, in the order of the list that holds it.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a caller's request, whole, and forget it.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Arc<JobAnswer>,
    },
    /// Start a task at an upstream, after reading the clock again.
    ///
    /// An attempt whose `start_before` has passed ends as
    /// [`crate::outcome::NotStartedCause::PastDeadline`] without a byte sent.
    StartAttempt(Attempt),
    /// Ask the upstream to stop these tasks; each attempt still ends by an event of its own.
    StopTasks {
        /// The upstream that runs them.
        target: Arc<UpstreamTarget>,
        /// The tasks.
        tasks: Vec<TaskId>,
    },
    /// Claim an idempotency key in the platform's table for this incarnation.
    Claim {
        /// The number under which the end is reported.
        claim: u64,
        /// The team that the key belongs to.
        team: Arc<str>,
        /// The key.
        key: Arc<str>,
    },
    /// Read from the platform's table who claimed an idempotency key.
    FindHome {
        /// The number under which the end is reported as a claim's.
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

/// One start of one task at one upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The number under which the end is reported.
    pub attempt: AttemptId,
    /// Where it runs.
    pub target: Arc<UpstreamTarget>,
    /// The task's identity.
    pub task: TaskId,
    /// The task's input.
    pub input: Bytes,
    /// The last point at which the task may start.
    pub start_before: Timestamp,
    /// The point at which the attempt is given up.
    pub timeout_at: Timestamp,
    /// The W3C `traceparent` to pass on.
    pub traceparent: Option<Arc<str>>,
}
