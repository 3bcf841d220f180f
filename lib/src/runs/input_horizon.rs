//! Up to when an instance has read its inputs: the requests and disconnections of callers, and the
//! messages of other instances.

use std::time::Duration;

use super::peer_table::MAX_MESSAGE_AGE;
use crate::time::Timestamp;

/// The maximum age of the inputs that have been read for an instance to start or place anything, or to
/// delegate a job.
///
/// Callers may have left and sent their jobs to another instance, homes may have cancelled their tasks,
/// and the word of it waits at the process's sockets.
pub(crate) const MAX_INPUT_AGE: Duration = MAX_MESSAGE_AGE;

/// The minimum time between two marks, while no heartbeat waits for one.
const MARK_INTERVAL: Duration = Duration::from_millis(50);

/// How far an instance has read its inputs.
///
/// It sends marks through its own input queues. When one comes back, all that had arrived before the mark
/// was sent has been handled. A process that is slow, or was frozen or suspended, gets its mark back late.
#[derive(Debug, Default)]
pub(crate) struct InputHorizon {
    /// The time of the latest mark that came back; at first the time of the first event.
    read_until: Option<Timestamp>,
    /// The time of the mark that is on its way.
    mark_sent_at: Option<Timestamp>,
    /// Whether nothing was started since some time because the inputs were too old.
    is_late: bool,
}

impl InputHorizon {
    /// Records the first event: a new process cannot have missed an input. Returns whether this is it.
    pub(crate) fn begin(&mut self, now: Timestamp) -> bool {
        let is_first = self.read_until.is_none();
        self.read_until.get_or_insert(now);
        is_first
    }

    /// Returns whether to send a mark of this time, which is then on its way.
    pub(crate) fn send_mark(&mut self, now: Timestamp) -> bool {
        if self.mark_sent_at.is_some() {
            return false;
        }
        self.mark_sent_at = Some(now);
        true
    }

    /// Whether the last mark was sent so long ago that the next one is due.
    pub(crate) fn is_mark_due(&self, now: Timestamp) -> bool {
        self.mark_sent_at.is_none() && self.age(now) >= MARK_INTERVAL
    }

    /// Records that the mark of this time came back.
    pub(crate) fn record_mark(&mut self, sent_at: Timestamp) {
        self.mark_sent_at = None;
        self.read_until = self.read_until.max(Some(sent_at));
    }

    /// The time since which inputs may have arrived that have not been read.
    pub(crate) fn age(&self, now: Timestamp) -> Duration {
        self.read_until
            .map_or(Duration::ZERO, |read_until| now.since(read_until))
    }

    /// Whether the inputs are recent enough to start something.
    pub(crate) fn is_current(&self, now: Timestamp) -> bool {
        self.age(now) <= MAX_INPUT_AGE
    }

    /// Records whether the inputs are too old now; returns whether that has changed.
    pub(crate) fn record_lateness(&mut self, now: Timestamp) -> bool {
        let is_late = !self.is_current(now);
        std::mem::replace(&mut self.is_late, is_late) != is_late
    }
}
