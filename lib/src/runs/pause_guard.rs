//! Detection of pauses of the process, after which it reads before it acts.

use std::time::Duration;

use super::run_dispatcher::HEARTBEAT_INTERVAL;
use crate::time::Timestamp;

/// The maximum time between two events of a process that runs: twice the interval of its heartbeats.
const MAX_EVENT_GAP: Duration = HEARTBEAT_INTERVAL.saturating_mul(2);

/// How long a process reads after a pause before it starts anything.
///
/// Closed connections and messages that arrived during the pause wait at the process's sockets, and
/// reading them takes a few milliseconds of processor time.
const CATCH_UP_TIME: Duration = Duration::from_millis(50);

/// A pause that has just ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pause {
    /// The time without an event.
    pub(crate) gap: Duration,
    /// When the process will have caught up.
    pub(crate) catches_up_at: Timestamp,
}

/// Detects that the process was frozen, suspended or starved, by the time between its events.
///
/// What such a process knows is out of date: callers may have left and sent their jobs to another
/// instance, homes may have cancelled their tasks.
#[derive(Debug, Default)]
pub(crate) struct PauseGuard {
    last_event_at: Option<Timestamp>,
    catches_up_at: Option<Timestamp>,
}

impl PauseGuard {
    /// Records an event; returns the pause that it follows, if there was one.
    pub(crate) fn record_event(&mut self, now: Timestamp) -> Option<Pause> {
        let last = self.last_event_at.replace(now).unwrap_or(now);
        let gap = now.since(last);
        if gap <= MAX_EVENT_GAP {
            return None;
        }
        let catches_up_at = now + CATCH_UP_TIME;
        self.catches_up_at = Some(catches_up_at);
        Some(Pause { gap, catches_up_at })
    }

    /// Whether the process still reads what arrived during a pause.
    pub(crate) fn is_catching_up(&self, now: Timestamp) -> bool {
        self.catches_up_at.is_some_and(|at| now < at)
    }
}
