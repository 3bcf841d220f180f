//! The choice policy: which upstream runs the next task.

use std::fmt::Debug;

use almondhead_macros::value;

use crate::keys::UpstreamKey;
use crate::least_loaded::LeastLoaded;
use crate::policies::ChoicePolicy;
use crate::power_of_two::PowerOfTwo;
use crate::round_robin::RoundRobin;

/// An upstream with a free slot.
#[value]
#[derive(Copy)]
pub struct Candidate {
    /// The key of the upstream.
    pub upstream: UpstreamKey,
    /// The number of tasks that run there for this entry instance.
    pub in_flight: u32,
    /// The slots that this instance may use there; fewer than configured for a slow upstream.
    pub slots: u32,
    /// The recent latency of tasks that finished there, in microseconds, without failed ones.
    pub recent_latency_us: u64,
}

impl Candidate {
    /// Whether this candidate has fewer tasks per slot than `other`, or as many and less latency.
    pub(crate) fn is_less_loaded_than(&self, other: &Candidate) -> bool {
        let own_load = u64::from(self.in_flight) * u64::from(other.slots);
        let other_load = u64::from(other.in_flight) * u64::from(self.slots);
        (own_load, self.recent_latency_us) < (other_load, other.recent_latency_us)
    }
}

/// Chooses one of the upstreams that have a free slot.
pub trait Choice: Send + Debug {
    /// The index of the chosen candidate; `None` when there are no candidates.
    ///
    /// Every candidate must have fewer tasks in flight than slots.
    fn choose(&mut self, candidates: &[Candidate]) -> Option<usize>;
}

/// The choice policy that the document selects; `seed` seeds its random numbers, if it uses any.
pub fn choice_for(policy: ChoicePolicy, seed: u64) -> Box<dyn Choice> {
    match policy {
        ChoicePolicy::LeastLoaded => Box::new(LeastLoaded::default()),
        ChoicePolicy::RoundRobin => Box::new(RoundRobin::default()),
        ChoicePolicy::PowerOfTwo => Box::new(PowerOfTwo::new(seed)),
    }
}
