//! What a site is put through, and by which policies it decides.

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

/// The policies of one row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicySet {
    ResponseTime,
    FewerMessages,
    Baseline,
}

impl PolicySet {
    pub(crate) const ALL: [PolicySet; 3] = [
        PolicySet::ResponseTime,
        PolicySet::FewerMessages,
        PolicySet::Baseline,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            PolicySet::ResponseTime => "response_time",
            PolicySet::FewerMessages => "fewer_messages",
            PolicySet::Baseline => "baseline",
        }
    }

    /// The baseline takes upstreams in turn, queues in order of arrival and refuses nothing.
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

/// A fault that is brought about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// This many upstreams run each task so many times longer.
    Slow {
        upstreams: usize,
        factor: f64,
    },
    /// This many upstreams fail each task at once.
    Failing {
        upstreams: usize,
    },
    /// One entry is killed in the middle of the load.
    EntryKilled,
}

/// One scenario.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) fault: Fault,
    load: f64,
    burst_factor: f64,
    declared_factor: Option<f64>,
    cancelled: bool,
}

impl Scenario {
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

    /// The load on a site.
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
            entries: site.callers(),
            operator_addresses: site.operators(),
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
