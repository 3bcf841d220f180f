//! The sessions that this incarnation has opened.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::keys::JobKey;
use crate::time::Timestamp;

/// The state of a job number in a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NumberState {
    /// Certainly never submitted.
    Unused,
    /// Submitted; the job is open or its answer is kept.
    Job(JobKey),
    /// Cancelled before it was submitted.
    Cancelled,
    /// Submitted, or below the window; no answer is kept.
    Expired,
}

/// A session: the states of the job numbers in a sliding window.
#[derive(Debug, Default)]
struct Session {
    /// The lower end of the window; jobs with lower numbers are not run any more.
    low: u64,
    numbers: BTreeMap<u64, NumberState>,
    used_at: Timestamp,
}

/// The sessions of this incarnation, limited in number and each in its window of job numbers.
#[derive(Debug)]
pub(crate) struct SessionTable {
    max_sessions: usize,
    window: u64,
    next_number: u64,
    sessions: IndexMap<u64, Session>,
}

impl SessionTable {
    pub(crate) fn new(max_sessions: usize, window: u64) -> Self {
        SessionTable {
            max_sessions,
            window,
            next_number: 1,
            sessions: IndexMap::new(),
        }
    }

    /// Opens a session and returns its number.
    ///
    /// The least recently used session is evicted when the table is full.
    pub(crate) fn open(&mut self, now: Timestamp) -> u64 {
        if self.sessions.len() >= self.max_sessions {
            self.evict_least_recent();
        }
        let number = self.next_number;
        self.next_number += 1;
        let session = Session {
            used_at: now,
            ..Session::default()
        };
        self.sessions.insert(number, session);
        number
    }

    fn evict_least_recent(&mut self) {
        let oldest = self.sessions.iter().min_by_key(|(_, s)| s.used_at);
        if let Some(number) = oldest.map(|(number, _)| *number) {
            self.sessions.swap_remove(&number);
        }
    }

    /// The state of a job number; numbers of unknown sessions are expired.
    pub(crate) fn state(&mut self, now: Timestamp, session: u64, number: u64) -> NumberState {
        let Some(session) = self.sessions.get_mut(&session) else {
            return NumberState::Expired;
        };
        session.used_at = now;
        if number < session.low {
            return NumberState::Expired;
        }
        let known = session.numbers.get(&number).copied();
        known.unwrap_or(NumberState::Unused)
    }

    /// Records the state of a job number and advances the window to include it.
    pub(crate) fn set(&mut self, session: u64, number: u64, state: NumberState) {
        let window = self.window;
        let Some(session) = self.sessions.get_mut(&session) else {
            return;
        };
        if number < session.low {
            return;
        }
        if state == NumberState::Unused {
            session.numbers.remove(&number);
            return;
        }
        session.numbers.insert(number, state);
        let low = number.saturating_add(1).saturating_sub(window);
        if low > session.low {
            session.low = low;
            session.numbers = session.numbers.split_off(&low);
        }
    }

    /// The number of sessions.
    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }
}
