//! The scenarios and sets of policies under which a site is measured.

use std::time::Duration;

use almondhead_ctl::load;
use almondhead_ctl::load_error::LoadError;
use almondhead_ctl::load_options::Burst;
use almondhead_ctl::load_options::LoadOptions;
use almondhead_lib::policies::AdmissionPolicy;
use almondhead_lib::policies::ChoicePolicy;
use almondhead_lib::policies::PlacementPolicy;
use almondhead_lib::policies::Policies;
use almondhead_lib::policies::Prefer;
use almondhead_lib::policies::QueuePolicy;

use crate::site::MeasuredSite;

/// A set of policies that scenarios run under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicySet {
    /// The default policies.
    ResponseTime,
    /// The default policies, preferring fewer messages.
    FewerMessages,
    /// Simple policies to compare with.
    Baseline,
}

impl PolicySet {
    /// All sets, in the order of measurement.
    pub(crate) const ALL: [PolicySet; 3] = [
        PolicySet::ResponseTime,
        PolicySet::FewerMessages,
        PolicySet::Baseline,
    ];

    /// Returns the name of the set in the results.
    pub(crate) fn name(self) -> &'static str {
        match self {
            PolicySet::ResponseTime => "response_time",
            PolicySet::FewerMessages => "fewer_messages",
            PolicySet::Baseline => "baseline",
        }
    }

    /// Returns the policies.
    ///
    /// The baseline selects upstreams round-robin, queues in order of arrival and refuses nothing.
    pub(crate) fn policies(self) -> Policies {
        match self {
            PolicySet::ResponseTime => Policies::default(),
            PolicySet::FewerMessages => Policies {
                prefer: Prefer::FewerMessages,
                ..Policies::default()
            },
            PolicySet::Baseline => Policies {
                placement: PlacementPolicy::Shared,
                choice: ChoicePolicy::RoundRobin,
                queue: QueuePolicy::Fifo,
                admission: AdmissionPolicy::QueueLength,
                eject_failing: false,
                shun_slow: false,
                forward_overflow: false,
                retry_percent: 100,
                max_queued_tasks: 1_000_000,
                ..Policies::default()
            },
        }
    }
}

/// A fault that is injected into the site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// Some upstreams run each task longer by a factor.
    Slow { upstreams: usize, factor: f64 },
    /// Some upstreams fail each task at once.
    Failing { upstreams: usize },
    /// One entry is killed halfway through the load.
    EntryKilled,
}

/// The load and the fault of one scenario.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// The name in the results.
    pub(crate) name: &'static str,
    /// The fault, injected before or during the load.
    pub(crate) fault: Fault,
    load: f64,
    burst_factor: f64,
    declared_factor: Option<f64>,
    cancelled: bool,
}

impl Scenario {
    /// Returns all scenarios, in the order of measurement.
    pub(crate) fn all() -> Vec<Scenario> {
        let steady = |name, load| Scenario {
            name,
            fault: Fault::None,
            load,
            burst_factor: 1.0,
            declared_factor: None,
            cancelled: false,
        };
        let faulty = |name, fault| Scenario {
            fault,
            ..steady(name, 0.8)
        };
        let slow = Fault::Slow {
            upstreams: 4,
            factor: 4.0,
        };
        vec![
            steady("steady 0.5", 0.5),
            steady("steady 0.8", 0.8),
            steady("steady 0.95", 0.95),
            Scenario {
                burst_factor: 3.0,
                ..steady("burst 3x", 0.8)
            },
            faulty("stragglers", slow),
            faulty("failing upstreams", Fault::Failing { upstreams: 2 }),
            Scenario {
                declared_factor: Some(0.1),
                ..steady("declared a tenth", 0.8)
            },
            Scenario {
                declared_factor: Some(10.0),
                ..steady("declared tenfold", 0.8)
            },
            Scenario {
                cancelled: true,
                ..steady("cancellations", 0.95)
            },
            faulty("entry killed", Fault::EntryKilled),
        ]
    }

    /// Returns the load options of the scenario for a site.
    pub(crate) fn options(
        &self,
        site: &MeasuredSite,
        seed: u64,
        duration_s: u64,
    ) -> Result<LoadOptions, LoadError> {
        let duration = Duration::from_secs(duration_s);
        let matches = load::command().get_matches_from(["load", "--entry", "127.0.0.1:1"]);
        let burst = Burst {
            start: duration / 3,
            duration: duration / 3,
        };
        Ok(LoadOptions {
            entries: site.caller_addresses(),
            operator_addresses: site.operator_addresses(),
            service: site.service().to_owned(),
            teams: site.teams(),
            slots: site.slots(),
            load: self.load,
            duration,
            burst_factor: self.burst_factor,
            burst: (self.burst_factor > 1.0).then_some(burst),
            declared_factor: self.declared_factor,
            cancel_at: self.cancelled.then_some(duration / 2),
            seed,
            ..LoadOptions::from_matches(&matches)?
        })
    }
}
