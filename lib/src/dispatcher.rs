//! The dispatcher: every decision of one entry instance.

use crate::action::Action;
use crate::event::Event;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// The fixed facts of one entry process.
#[derive(Clone, Debug)]
pub struct DispatcherConfig {
    /// The instance's name.
    pub instance: std::sync::Arc<str>,
    /// The name of its data centre.
    pub data_centre: std::sync::Arc<str>,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The seed of the generator behind random choices.
    pub seed: u64,
    /// The bounds on what it keeps.
    pub limits: DispatcherLimits,
}

/// Bounds on the state of one dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatcherLimits {
    /// The most jobs that are open or kept for their answers.
    pub jobs: usize,
    /// The most sessions.
    pub sessions: usize,
    /// The most job numbers of one session that are remembered.
    pub session_window: u64,
    /// How long answers of ended jobs are kept, in milliseconds.
    pub keep_answers_ms: u64,
}

impl Default for DispatcherLimits {
    fn default() -> Self {
        DispatcherLimits {
            jobs: 50_000,
            sessions: 10_000,
            session_window: 1_024,
            keep_answers_ms: 60_000,
        }
    }
}

/// Decides what one entry instance does: same events, same actions.
#[derive(Debug)]
pub struct Dispatcher {
    config: DispatcherConfig,
}

impl Dispatcher {
    /// A dispatcher that holds no document yet and refuses every job.
    pub fn new(config: DispatcherConfig) -> Self {
        Dispatcher { config }
    }

    /// This run of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.config.incarnation
    }

    /// Takes one event and appends what is to be done to `actions`.
    pub fn handle(&mut self, _now: Timestamp, _event: Event, _actions: &mut Vec<Action>) {}

    /// When [`Event::Tick`] is due next.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        None
    }

    /// Whether nothing is open: no request, no attempt, no batch.
    pub fn is_idle(&self) -> bool {
        true
    }

    /// A reading of the counters and of the state, for metrics and pages.
    pub fn status(&self) -> DispatcherStatus {
        DispatcherStatus::default()
    }
}

/// A reading of a dispatcher's counters and state.
#[derive(Clone, Debug, Default)]
pub struct DispatcherStatus {
    /// The revision of the installed document, zero when none.
    pub revision: u64,
    /// Whether the instance was asked to stop.
    pub leaving: bool,
    /// Jobs that are open.
    pub open_jobs: usize,
    /// Tasks that wait for a slot.
    pub queued_tasks: usize,
    /// Attempts that run.
    pub running_attempts: usize,
    /// Upstreams taken out of use for failing.
    pub ejected_upstreams: usize,
    /// Sibling entry instances known.
    pub siblings: usize,
}
