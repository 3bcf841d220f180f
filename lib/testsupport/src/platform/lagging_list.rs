//! A list of instances that is served as it was some time ago.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use almondhead_net::InstanceList;

/// How many changes of the list are kept.
const KEPT_CHANGES: usize = 1_000;

/// The list's changes, oldest first.
#[derive(Default)]
pub(crate) struct LaggingList(VecDeque<Change>);

struct Change {
    at: Instant,
    list: InstanceList,
}

impl LaggingList {
    pub(crate) fn record(&mut self, list: InstanceList) {
        let at = Instant::now();
        self.0.push_back(Change { at, list });
        if self.0.len() > KEPT_CHANGES {
            self.0.pop_front();
        }
    }

    /// Returns the list as of `lag` ago, or an empty one from before the first change.
    pub(crate) fn as_of(&self, lag: Duration) -> InstanceList {
        self.0
            .iter()
            .rev()
            .find(|change| change.at.elapsed() >= lag)
            .map_or_else(empty_list, |change| change.list.clone())
    }
}

fn empty_list() -> InstanceList {
    InstanceList {
        listed_at_ms: 0,
        instances: Vec::new(),
    }
}
