//! The choice of an upstream for the next task, as a policy.

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
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The tasks that run there for this entry instance.
    pub in_flight: u32,
    /// The slots it may fill, after slow upstreams are weighted down.
    pub slots: u32,
    /// The recent latency of tasks that finished there, in microseconds; failures do not count.
    pub recent_latency_us: u64,
}

impl Candidate {
    /// Whether this candidate carries less load per slot than `other`; ties go by latency.
    pub(crate) fn is_less_loaded_than(&self, other: &Candidate) -> bool {
        let own_load = u64::from(self.in_flight) * u64::from(other.slots);
        let other_load = u64::from(other.in_flight) * u64::from(self.slots);
        (own_load, self.recent_latency_us) < (other_load, other.recent_latency_us)
    }
}

/// Chooses an upstream among those that have a free slot.
pub trait Choice: Send + Debug {
    /// The index of the chosen candidate, none when there is no candidate.
    ///
    /// Every candidate must have fewer tasks in flight than slots.
    fn choose(&mut self, candidates: &[Candidate]) -> Option<usize>;
}

/// The choice that the document asks for; `seed` starts its random draws, if it has any.
pub fn choice_for(policy: ChoicePolicy, seed: u64) -> Box<dyn Choice> {
    match policy {
        ChoicePolicy::LeastLoaded => Box::new(LeastLoaded::default()),
        ChoicePolicy::RoundRobin => Box::new(RoundRobin::default()),
        ChoicePolicy::PowerOfTwo => Box::new(PowerOfTwo::new(seed)),
    }
}
