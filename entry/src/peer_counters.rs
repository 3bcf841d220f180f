//! Counters of the messages that a peer transport handled.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use almondhead_macros::key;

/// What happened to a message, as counted by a transport.
#[key]
pub enum PeerCount {
    /// Messages handed to the network.
    Sent,
    /// Messages refused because there was no connection.
    NotConnected,
    /// Messages refused because the sibling's queue was full.
    QueueFull,
    /// Messages refused because they were too large or the sibling was unknown.
    NotSendable,
    /// Messages dropped from the queue when the connection broke, or whose sending failed.
    Lost,
    /// Messages received and valid.
    Received,
    /// Messages received without a valid authentication tag, or too large.
    NotAuthentic,
    /// Messages received with a valid authentication tag but malformed content.
    Invalid,
    /// Connections closed because they sent no valid greeting or were too many.
    Rejected,
}

impl PeerCount {
    /// Every counted kind.
    pub const ALL: [PeerCount; 9] = [
        PeerCount::Sent,
        PeerCount::NotConnected,
        PeerCount::QueueFull,
        PeerCount::NotSendable,
        PeerCount::Lost,
        PeerCount::Received,
        PeerCount::NotAuthentic,
        PeerCount::Invalid,
        PeerCount::Rejected,
    ];

    /// Returns the value of the metric's label `end` for this count.
    pub const fn label(self) -> &'static str {
        match self {
            PeerCount::Sent => "sent",
            PeerCount::NotConnected => "not_connected",
            PeerCount::QueueFull => "queue_full",
            PeerCount::NotSendable => "not_sendable",
            PeerCount::Lost => "lost",
            PeerCount::Received => "received",
            PeerCount::NotAuthentic => "not_authentic",
            PeerCount::Invalid => "invalid",
            PeerCount::Rejected => "rejected_connection",
        }
    }
}

/// The counters of one transport since it started.
#[derive(Debug, Default)]
pub struct PeerCounters {
    counts: [AtomicU64; PeerCount::ALL.len()],
}

impl PeerCounters {
    /// Returns how many messages were counted as `count`.
    pub fn get(&self, count: PeerCount) -> u64 {
        self.counts[count as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, count: PeerCount, times: usize) {
        let times = u64::try_from(times).unwrap_or(u64::MAX);
        self.counts[count as usize].fetch_add(times, Ordering::Relaxed);
    }

    pub(crate) fn increment(&self, count: PeerCount) {
        self.add(count, 1);
    }
}
