//! Identifiers that name instances, sessions, jobs and tasks.

use std::fmt;
use std::sync::Arc;

use almondhead_macros::key;
use almondhead_macros::value;
use xxhash_rust::xxh3::xxh3_64;

/// One run of one entry process, drawn at random when it starts.
#[key]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Where the numbers start by which answers are matched to what this run asked.
    ///
    /// Far apart for different runs, so that a late answer to an earlier run matches nothing.
    pub fn first_number(self) -> u64 {
        xxh3_64(&self.0.to_le_bytes()) >> 1
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One HTTP request of a caller, numbered by the entry process that took it.
#[key]
pub struct RequestId(pub u64);

/// One start of one task at one upstream, numbered by the entry process that starts it.
#[key]
pub struct AttemptId(pub u64);

/// One batch of tasks sent to a sibling, numbered per sender and receiver, from one.
#[key]
pub struct BatchId(pub u64);

/// The identity of a task, unique over the site: the home's incarnation, its job and the index.
///
/// Upstreams get it with each attempt and record their starts under it.
#[key]
pub struct TaskId {
    /// The incarnation to which the job belongs.
    pub home: Incarnation,
    /// The number that the home gave the job.
    pub job: u64,
    /// The task's place in the job, from zero.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}-{}", self.home, self.job, self.index)
    }
}

/// A session: a caller's numbered jobs, which belong to one incarnation for ever.
#[value]
#[derive(Hash)]
pub struct SessionId {
    /// The incarnation that opened the session and is home to its jobs.
    pub home: Incarnation,
    /// The name of the home instance.
    pub instance: Arc<str>,
    /// The session's number at its home.
    pub number: u64,
}

/// The name by which a caller addresses a job.
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
        /// The caller's key.
        key: Arc<str>,
    },
    /// A job that nobody will ask for again: it lives as long as its request.
    Single,
}
