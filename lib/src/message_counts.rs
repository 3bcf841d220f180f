//! Counts of the messages that the dispatcher causes, by kind.

use crate::peer_message::PeerMessage;

/// Messages since the start of the process, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageCounts {
    /// Requests that started a task at an upstream, or tried to.
    pub attempts: u64,
    /// Answers of upstreams that finished or failed a task.
    pub upstream_answers: u64,
    /// Attempts that ended as not started.
    pub refusals: u64,
    /// Attempts at tasks that had an attempt before.
    pub retries: u64,
    /// Requests forwarded to the home of their job.
    pub forwards: u64,
    /// Answers to forwarded requests.
    pub forward_answers: u64,
    /// Batches of tasks sent to siblings.
    pub batches: u64,
    /// Answers to batches, refusals among them.
    pub batch_answers: u64,
    /// Cancellations sent to siblings and upstreams.
    pub cancels: u64,
    /// Digests, and requests and bodies of documents.
    pub control: u64,
}

impl MessageCounts {
    /// Each count with the name of its kind.
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
