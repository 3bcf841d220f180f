//! The queue of sealed messages for one sibling, bounded in number and bytes.

use std::collections::VecDeque;

use almondhead_lib::peer_envelope::MAX_ENVELOPE_BYTES;
use bytes::Bytes;

/// Maximum number of messages queued for one sibling.
pub const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Maximum number of bytes queued for one sibling.
pub const MAX_QUEUED_BYTES: usize = MAX_ENVELOPE_BYTES;

/// A bounded first-in, first-out queue of messages.
#[derive(Debug, Default)]
pub(crate) struct PeerQueue {
    messages: VecDeque<Bytes>,
    queued_bytes: usize,
}

impl PeerQueue {
    /// Queues a message; returns false when it does not fit.
    pub(crate) fn push(&mut self, message: Bytes) -> bool {
        let queued_bytes = self.queued_bytes + message.len();
        if self.messages.len() >= MAX_QUEUED_MESSAGES || queued_bytes > MAX_QUEUED_BYTES {
            return false;
        }
        self.queued_bytes = queued_bytes;
        self.messages.push_back(message);
        true
    }

    /// Removes and returns the oldest message.
    pub(crate) fn pop(&mut self) -> Option<Bytes> {
        let message = self.messages.pop_front()?;
        self.queued_bytes -= message.len();
        Some(message)
    }

    /// Whether no message is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Drops all messages and returns how many there were.
    pub(crate) fn clear(&mut self) -> usize {
        let dropped = self.messages.len();
        self.messages = VecDeque::new();
        self.queued_bytes = 0;
        dropped
    }
}
