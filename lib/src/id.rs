//! Identifiers of incarnations, requests, sessions, jobs and tasks.

use std::fmt;
use std::sync::Arc;

use almondhead_macros::key;
use almondhead_macros::value;
use xxhash_rust::xxh3::xxh3_64;

/// One run of an entry process, identified by a random number that it draws when it starts.
#[key]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The number after which this incarnation numbers its requests and batches.
    ///
    /// These numbers are far apart for different incarnations, so a late answer to an earlier
    /// incarnation matches no request of this one.
    pub fn first_number(self) -> u64 {
        xxh3_64(&self.0.to_le_bytes()) >> 1
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An HTTP request of a caller, numbered by the entry process that received it.
#[key]
pub struct RequestId(pub u64);

/// An attempt to start a task at an upstream, numbered by the entry process that makes it.
#[key]
pub struct AttemptId(pub u64);

/// A batch of tasks sent to a sibling, numbered per sender and receiver.
///
/// The numbers start after [`Incarnation::first_number`] of the sender.
#[key]
pub struct BatchId(pub u64);

/// The identifier of a task, unique in the site: the home's incarnation, its job and the index.
///
/// Each attempt carries it, and upstreams record the starts of tasks under it.
#[key]
pub struct TaskId {
    /// The incarnation that is the job's home.
    pub home: Incarnation,
    /// The number that the home gave the job.
    pub job: u64,
    /// The index of the task in the job, from zero.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{}", self.home, self.job, self.index)
    }
}

/// A session of a caller, whose numbered jobs all have the same incarnation as home.
#[value]
#[derive(Hash)]
pub struct SessionId {
    /// The incarnation that opened the session and is the home of its jobs.
    pub home: Incarnation,
    /// The name of the home instance.
    pub instance: Arc<str>,
    /// The session's number at its home.
    pub number: u64,
}

/// The address by which a caller refers to a job.
#[value]
#[derive(Hash)]
pub enum JobAddress {
    /// The job with this number in a session.
    Session {
        /// The session, already authenticated.
        session: SessionId,
        /// The caller's number for the job.
        number: u64,
    },
    /// The job with this idempotency key of a team.
    Key {
        /// The team that the key belongs to.
        team: Arc<str>,
        /// The key that the caller chose.
        key: Arc<str>,
    },
    /// A job without an address, which ends with its request.
    Single,
}
