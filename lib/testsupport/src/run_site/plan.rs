//! The plan of a simulated site.

use std::time::Duration;

use almondhead_lib::runs::intended_state::JobQueueSettings;
use almondhead_lib::runs::overload::OverloadPolicy;
use almondhead_lib::runs::run_settings::RunLimits;

use super::job::run_queue;

/// The size, the queues and the random seed of a simulated site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// The number of data centres.
    pub data_centres: u32,
    /// The number of instances in each data centre.
    pub instances: u32,
    /// The number of upstreams in each data centre.
    pub upstreams: u32,
    /// The processor capacity of each upstream, in thousandths of a core.
    pub cpu_millicores: u32,
    /// The speeds of the upstreams, used in turn; a task's run time is divided by the speed.
    pub speeds: Vec<f64>,
    /// The processor capacities of the instances in thousandths of a core, used in turn; instances
    /// name none where it is empty.
    pub processor_millicores: Vec<u32>,
    /// What gives way under overload.
    pub overload: OverloadPolicy,
    /// How long after its connection broke a caller submits its job again, at the earliest.
    pub caller_retry_pause: Duration,
    /// The job queues of the intended state.
    pub queues: Vec<JobQueueSettings>,
    /// The seed of the random numbers.
    pub seed: u64,
}

impl SitePlan {
    /// Returns a plan with this many instances and upstreams in each data centre, where all
    /// upstreams are alike, and with the single queue `look`.
    pub fn new(data_centres: u32, instances: u32, upstreams: u32) -> Self {
        SitePlan {
            data_centres,
            instances,
            upstreams,
            cpu_millicores: 16_000,
            speeds: vec![1.0],
            processor_millicores: Vec::new(),
            overload: OverloadPolicy::default(),
            caller_retry_pause: RunLimits::default().caller_retry_pause,
            queues: vec![run_queue("look", 0, 3)],
            seed: 1,
        }
    }
}
