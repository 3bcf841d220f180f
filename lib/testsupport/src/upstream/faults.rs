//! The faults that an upstream stand-in can inject.

use almondhead_macros::message;

/// The faults to inject; none by default. In JSON, each field may be omitted.
#[message]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Starts each task and answers at once with status 500.
    pub fail_everything: bool,
    /// Runs each task and closes the connection without an answer.
    pub lose_answer: bool,
    /// Runs each task and closes the connection after half of the answer's body.
    pub cut_body: bool,
    /// Runs each task and answers with another task's id.
    pub wrong_task_id: bool,
    /// Refuses each task with an answer that states that it has not run.
    pub refuse_all: bool,
    /// Delays each start, in milliseconds; a stop that comes before it stops nothing.
    pub start_delay_ms: u64,
    /// Delays each answer after the run, in milliseconds.
    pub delay_ms: u64,
    /// Multiplies each task's run time; values up to 1 have no effect.
    pub slow_factor: f64,
    /// Ends all faults after this many tasks, if set.
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
            start_delay_ms: 0,
            delay_ms: 0,
            slow_factor: 1.0,
            limit_tasks: None,
        }
    }
}

impl UpstreamFaults {
    /// Returns the faults for one task and counts it against `limit_tasks`.
    pub(crate) fn take_for_task(&mut self) -> Self {
        let faults = self.clone();
        match &mut self.limit_tasks {
            Some(0 | 1) => *self = Self::default(),
            Some(limit) => *limit -= 1,
            None => {}
        }
        faults
    }
}
