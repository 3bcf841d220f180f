//! What heartbeats say about delegated jobs.

use std::time::Duration;

use almondhead_macros::value;

use crate::id::Incarnation;

/// An instance that has delegated jobs to the sender of a message, which has tasks of them at the receiver.
#[value]
#[derive(Copy)]
pub struct Delegator {
    /// Its incarnation; that of the sender for a job that callers of its own had asked for at first.
    pub incarnation: Incarnation,
    /// How long before the message was sent it was last known to want these jobs, at most.
    pub age: Duration,
}

/// The delegated jobs between the sender of a heartbeat and its receiver.
#[value]
#[derive(Default)]
pub struct DelegationReport {
    /// The receiver's jobs that the sender holds: open ones, and ended ones that the receiver still
    /// waits for as far as the sender knows.
    pub held: Vec<u64>,
    /// The highest number of the receiver's jobs that the sender has taken, declined or seen
    /// withdrawn. It takes none up to this number any more.
    pub highest_taken: u64,
    /// The jobs that the sender has delegated to the receiver and still waits for.
    pub open: Vec<u64>,
    /// The highest number that the sender has given a delegated job. The receiver keeps jobs with a
    /// higher one, which were sent after this report.
    pub highest_sent: u64,
    /// The instances on which the jobs depend of which the receiver holds tasks for the sender. Jobs that
    /// depend on none of them are wanted by callers at the sender.
    pub delegators: Vec<Delegator>,
}
