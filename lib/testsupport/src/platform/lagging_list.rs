//! The history of the list of instances, from which an outdated list can be served.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use almondhead_net::InstanceList;

/// The number of versions of the list that are kept.
const MAX_VERSIONS: usize = 1_000;

/// The versions of the list, oldest first.
#[derive(Default)]
pub(crate) struct LaggingList(VecDeque<Version>);

struct Version {
    recorded_at: Instant,
    list: InstanceList,
}

impl LaggingList {
    /// Adds a version and drops the oldest one if there are too many.
    pub(crate) fn record(&mut self, list: InstanceList) {
        let recorded_at = Instant::now();
        self.0.push_back(Version { recorded_at, list });
        if self.0.len() > MAX_VERSIONS {
            self.0.pop_front();
        }
    }

    /// Returns the version that was current `lag` ago; empty if that is before the oldest kept one.
    pub(crate) fn as_of(&self, lag: Duration) -> InstanceList {
        self.0
            .iter()
            .rev()
            .find(|version| version.recorded_at.elapsed() >= lag)
            .map_or_else(empty_list, |version| version.list.clone())
    }
}

fn empty_list() -> InstanceList {
    InstanceList {
        listed_at_ms: 0,
        instances: Vec::new(),
    }
}
