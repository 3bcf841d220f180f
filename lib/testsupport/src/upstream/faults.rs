//! Faults that an upstream stand-in can be told to show.

use almondhead_macros::message;

/// The faults in force; the default is none. In JSON each field may be left out.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Starts each task and fails it at once, with status 500.
    pub fail_everything: bool,
    /// Runs each task and closes the connection without an answer.
    pub lose_answer: bool,
    /// Runs each task and breaks the connection amid the answer's body.
    pub cut_body: bool,
    /// Runs each task and answers with another task's id.
    pub wrong_task_id: bool,
    /// Refuses each task, proving that it didn't run.
    pub refuse_all: bool,
    /// Holds each answer back by this long after the run, in milliseconds.
    pub delay_ms: u64,
    /// Multiplies each task's run time.
    pub slow_factor: f64,
    /// Ends all faults after this many tasks, if given.
    pub limit_tasks: Option<u64>,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            fail_everything: false,
            lose_answer: false,
            cut_body: false,
            wrong_task_id: false,
            refuse_all: false,
            delay_ms: 0,
            slow_factor: 1.0,
            limit_tasks: None,
        }
    }
}

impl UpstreamFaults {
    /// Returns the faults for one task, counting it against the limit.
    pub(crate) fn take(&mut self) -> Self {
        let faults = self.clone();
        match &mut self.limit_tasks {
            Some(0 | 1) => *self = Self::default(),
            Some(limit) => *limit -= 1,
            None => {}
        }
        faults
    }
}
