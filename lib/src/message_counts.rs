//! Counts by kind of the messages that the dispatcher sends and of upstreams' answers.

use crate::peer_message::PeerMessage;

/// Numbers of messages since the start of the process, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Attempts to start a task at an upstream.
    pub attempts: u64,
    /// Answers of upstreams to tasks that finished or failed.
    pub upstream_answers: u64,
    /// Attempts that ended as not started.
    pub refusals: u64,
    /// Attempts at tasks that were requeued after an earlier attempt.
    pub retries: u64,
    /// Requests forwarded to the home of their job.
    pub forwards: u64,
    /// Answers to forwarded requests.
    pub forward_answers: u64,
    /// Batches of tasks sent to siblings.
    pub batches: u64,
    /// Answers to batches, including refusals.
    pub batch_answers: u64,
    /// Cancellations sent to siblings and upstreams.
    pub cancels: u64,
    /// Digests, document requests and bodies, and messages about leased runs.
    pub control: u64,
}

impl MessageCounts {
    /// Each count with its kind, as in the metric's label.
    pub const fn by_kind(&self) -> [(&'static str, u64); 10] {
        [
            ("attempt", self.attempts),
            ("upstream_answer", self.upstream_answers),
            ("refusal", self.refusals),
            ("retry", self.retries),
            ("forward", self.forwards),
            ("forward_answer", self.forward_answers),
            ("batch", self.batches),
            ("batch_answer", self.batch_answers),
            ("cancel", self.cancels),
            ("control", self.control),
        ]
    }

    pub(crate) fn count_sent(&mut self, message: &PeerMessage) {
        let counter = match message {
            PeerMessage::ForwardRequest { .. } => &mut self.forwards,
            PeerMessage::RequestAnswer { .. } | PeerMessage::HomeGone { .. } => {
                &mut self.forward_answers
            }
            PeerMessage::TaskBatch(_) => &mut self.batches,
            PeerMessage::BatchAnswer { .. } | PeerMessage::BatchRefused { .. } => {
                &mut self.batch_answers
            }
            PeerMessage::CancelBatches { .. } => &mut self.cancels,
            PeerMessage::Digest(_)
            | PeerMessage::DocumentRequest { .. }
            | PeerMessage::DocumentBody { .. }
            | PeerMessage::Run(_) => &mut self.control,
        };
        *counter += 1;
    }
}
