//! What a platform stand-in did.

use almondhead_macros::message;

/// Counts of what the stand-in did, and of each fault that really happened.
#[message]
#[derive(Default)]
pub struct PlatformCounters {
    /// Reads of rows and objects.
    pub reads: u64,
    /// Writes of the table and the object store; an insert of many rows is one.
    pub writes: u64,
    /// Most writes within one second of the clock.
    pub writes_peak_per_s: u64,
    /// Rows that were inserted or set.
    pub rows_written: u64,
    /// Fetches of the list of instances.
    pub lists: u64,
    /// Announcements of an instance.
    pub announcements: u64,
    /// Requests refused by an outage.
    pub refused: u64,
    /// Requests left without an answer by an outage.
    pub unanswered: u64,
    /// Answers held back by the fault.
    pub slowed: u64,
    /// Answers to applied writes lost by the fault.
    pub lost_answers: u64,
}
