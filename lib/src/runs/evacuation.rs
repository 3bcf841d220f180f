//! The data centres that operators evacuate: nothing new may start on their upstreams.

use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use crate::time::Timestamp;

/// The minimum time between two requests for the set of other instances. Any of them that has a newer
/// one will do.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// The evacuated data centres, as of one version of the platform's store.
#[value]
#[derive(Default)]
pub struct EvacuatedDataCentres {
    /// The version up to which the set is complete; zero when it is not known.
    pub version: u64,
    /// The names of the data centres.
    pub names: Vec<Arc<str>>,
}

impl EvacuatedDataCentres {
    /// Whether this data centre is evacuated.
    pub(crate) fn contains(&self, data_centre: &str) -> bool {
        self.names.iter().any(|name| &**name == data_centre)
    }

    fn has_same_names(&self, other: &EvacuatedDataCentres) -> bool {
        let is_within = |left: &Self, right: &Self| left.names.iter().all(|it| right.contains(it));
        is_within(self, other) && is_within(other, self)
    }
}

/// What the installation of a set did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Installed {
    /// It was not newer than the one in force.
    Ignored,
    /// It names the same data centres under a higher version.
    Confirmed,
    /// It names other data centres.
    Changed,
}

/// The set of evacuated data centres that is in force at this instance.
///
/// It comes from the store or from another instance, whichever is newer.
#[derive(Debug, Default)]
pub(crate) struct Evacuation {
    in_force: EvacuatedDataCentres,
    /// When another instance was last asked for its set.
    requested_at: Option<Timestamp>,
}

impl Evacuation {
    /// The set in force.
    pub(crate) fn in_force(&self) -> &EvacuatedDataCentres {
        &self.in_force
    }

    /// Its version; zero before a set is known.
    pub(crate) fn version(&self) -> u64 {
        self.in_force.version
    }

    /// Whether no data centre is evacuated.
    pub(crate) fn is_empty(&self) -> bool {
        self.in_force.names.is_empty()
    }

    /// Whether this data centre is evacuated.
    pub(crate) fn contains(&self, data_centre: &str) -> bool {
        self.in_force.contains(data_centre)
    }

    /// Replaces the set by one of a higher version.
    pub(crate) fn install(&mut self, set: EvacuatedDataCentres) -> Installed {
        if set.version <= self.in_force.version {
            return Installed::Ignored;
        }
        let is_same = set.has_same_names(&self.in_force);
        self.in_force = set;
        match is_same {
            true => Installed::Confirmed,
            false => Installed::Changed,
        }
    }

    /// Whether to ask an instance for its set, which has this version; records that it is asked.
    pub(crate) fn begin_request(&mut self, now: Timestamp, version: u64) -> bool {
        let is_recent = |at: Timestamp| now.since(at) < REQUEST_INTERVAL;
        if version <= self.in_force.version || self.requested_at.is_some_and(is_recent) {
            return false;
        }
        self.requested_at = Some(now);
        true
    }
}
