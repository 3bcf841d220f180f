//! Counts of what a peer transport did.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use almondhead_macros::key;

/// One thing that a transport counts.
#[key]
pub enum PeerCount {
    /// Messages handed to the network.
    Sent,
    /// Messages refused since no connection was there.
    NotConnected,
    /// Messages refused since the sibling's queue was full.
    QueueFull,
    /// Messages refused since they were too large or their sibling unknown.
    NotSendable,
    /// Messages that were queued when the connection broke.
    Lost,
    /// Messages that came in and were valid.
    Received,
    /// Messages that came in without a valid tag.
    NotAuthentic,
    /// Messages that came in with a valid tag and were not valid.
    Invalid,
}

impl PeerCount {
    /// Every count.
    pub const ALL: [PeerCount; 8] = [
        PeerCount::Sent,
        PeerCount::NotConnected,
        PeerCount::QueueFull,
        PeerCount::NotSendable,
        PeerCount::Lost,
        PeerCount::Received,
        PeerCount::NotAuthentic,
        PeerCount::Invalid,
    ];

    /// Its name as a metric's label.
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
        }
    }
}

/// The counts of one transport since it started.
#[derive(Debug, Default)]
pub struct PeerCounters {
    counts: [AtomicU64; PeerCount::ALL.len()],
}

impl PeerCounters {
    /// How often this happened.
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
