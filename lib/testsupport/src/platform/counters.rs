//! The counters of a platform stand-in.

use almondhead_macros::message;

/// Counters of the stand-in's work and of the faults that took effect.
#[message]
#[derive(Default)]
pub struct PlatformCounters {
    /// Reads of rows and objects.
    pub reads: u64,
    /// Writes to the table and the object store; an insert of many rows counts as one.
    pub writes: u64,
    /// The maximum number of writes within one second, counted from the stand-in's start.
    pub writes_peak_per_s: u64,
    /// Rows inserted or updated.
    pub rows_written: u64,
    /// Reads of the list of instances.
    pub lists: u64,
    /// Requests that announce an instance.
    pub announcements: u64,
    /// Requests refused by an outage.
    pub refused: u64,
    /// Requests left without an answer by an outage.
    pub unanswered: u64,
    /// Answers delayed by the fault `slow_ms`.
    pub slowed: u64,
    /// Answers to applied writes lost by the fault `apply_then_lose`.
    pub lost_answers: u64,
}
