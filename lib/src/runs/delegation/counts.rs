//! Counters of delegated jobs.

/// How many jobs an instance delegated and accepted, and what became of those that it delegated, since
/// its process started.
#[derive(Clone, Copy, Debug, Default)]
pub struct DelegationCounts {
    pub(crate) delegated: u64,
    pub(crate) answered: u64,
    pub(crate) taken_back: u64,
    pub(crate) withdrawn: u64,
    pub(crate) given_up: u64,
    pub(crate) accepted: u64,
    pub(crate) declined: u64,
}

impl DelegationCounts {
    /// The number of events, by the metric's label.
    pub fn by_event(&self) -> [(&'static str, u64); 7] {
        [
            ("delegated", self.delegated),
            ("answered", self.answered),
            ("taken_back", self.taken_back),
            ("withdrawn", self.withdrawn),
            ("given_up", self.given_up),
            ("accepted", self.accepted),
            ("declined", self.declined),
        ]
    }
}
