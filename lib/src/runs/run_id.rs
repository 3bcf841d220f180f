//! Identifiers of jobs, tasks, runs and orders, and keys of the dispatcher's tables.

use std::fmt;
use std::str;

use almondhead_macros::key;

/// The length of a job's identifier.
pub const JOB_ID_BYTES: usize = 16;

/// The identifier of a job, chosen by its caller: 16 hexadecimal digits.
#[key]
pub struct JobId([u8; JOB_ID_BYTES]);

impl JobId {
    /// Parses an identifier; `None` when `text` is not 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<JobId> {
        let bytes: [u8; JOB_ID_BYTES] = text.as_bytes().try_into().ok()?;
        let is_hexadecimal = bytes.iter().all(u8::is_ascii_hexdigit);
        is_hexadecimal.then_some(JobId(bytes))
    }

    /// The identifier as text.
    pub fn as_str(&self) -> &str {
        str::from_utf8(&self.0).unwrap_or_default()
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The identifier of a task of a job.
#[key]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// The repetition of a job that runs several times, from zero.
    pub occurrence: u32,
    /// The step, from zero.
    pub step: u32,
    /// The task's index in its step, from zero.
    pub index: u32,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskName {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

/// One start of a task. Numbers increase with each start of the same task.
#[key]
pub struct RunId {
    /// The task.
    pub task: TaskName,
    /// The number of the start, from one.
    pub run_number: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run_number)
    }
}

/// The number that an instance gives an order that it sends to an upstream.
#[key]
pub struct OrderId(pub u64);

slotmap::new_key_type! {
    /// Key of an upstream that this instance owns.
    pub struct LeasedUpstreamKey;
    /// Key of a batch of tasks that this instance holds for a home.
    pub struct HeldBatchKey;
    /// Key of a job whose home is this instance.
    pub struct HomeJobKey;
    /// Key of another instance.
    pub struct PeerKey;
}
