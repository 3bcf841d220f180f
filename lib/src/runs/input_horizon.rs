//! Up to when an instance has read its inputs: the requests and disconnections of callers, and the
//! messages of other instances.

use std::time::Duration;

use super::requester_contacts::MAX_REQUESTER_AGE;
use crate::time::Timestamp;

/// The maximum age of the inputs that have been read for an instance to start or place anything, or to
/// delegate a job.
///
/// Callers may have left and sent their jobs to another instance, homes may have cancelled their tasks,
/// and the word of it waits at the process's sockets.
pub(crate) const MAX_INPUT_AGE: Duration = MAX_REQUESTER_AGE;

/// The minimum time between two marks, but for that of a heartbeat.
const MARK_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of marks on their way: those of a second.
const MAX_MARKS: usize = 20;

/// How far an instance has read its inputs.
///
/// It sends marks through its own input queues. When one comes back, all that had arrived before the mark
/// was sent has been handled. A process that is slow, or was frozen or suspended, gets its mark back late.
#[derive(Debug, Default)]
pub(crate) struct InputHorizon {
    /// The time of the latest mark that came back; at first the time of the first event.
    read_until: Option<Timestamp>,
    /// When the latest mark was sent.
    mark_sent_at: Option<Timestamp>,
    /// The number of marks that have not come back.
    marks_on_way: usize,
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
        if self.marks_on_way >= MAX_MARKS {
            return false;
        }
        self.marks_on_way += 1;
        self.mark_sent_at = Some(now);
        true
    }

    /// Whether the last mark was sent so long ago that the next one is due.
    pub(crate) fn is_mark_due(&self, now: Timestamp) -> bool {
        self.mark_sent_at
            .is_none_or(|sent_at| now.since(sent_at) >= MARK_INTERVAL)
    }

    /// Records that the mark of this time came back.
    pub(crate) fn record_mark(&mut self, sent_at: Timestamp) {
        self.marks_on_way = self.marks_on_way.saturating_sub(1);
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
