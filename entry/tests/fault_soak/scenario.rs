//! Which jobs are submitted and which faults are injected.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::runs::job_spec::JobSpec;
use almondhead_platform_standins::FAILING_SPEC;
use almondhead_platform_standins::OrderHandling;
use almondhead_platform_standins::ProcessSite;
use almondhead_platform_standins::SiteLayout;
use almondhead_platform_standins::StoreFault;
use almondhead_testsupport::run_site::run_job;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::fault::Fault;

/// Seeds that CI runs in each scenario.
const SEEDS: Range<u64> = 1..3;

/// Regression seeds of the scenario with short tasks, which CI runs too.
///
/// 3, 4 and 35: an instance that restarted at a new address had no queue for that address.
/// 3 and 5: callers resubmitted a job at once, while a run of it was being stopped or a delayed
/// start took effect.
const SHORT_REGRESSION_SEEDS: [u64; 4] = [3, 4, 5, 35];

/// Regression seeds of the scenario with long tasks, which CI runs too.
///
/// 1004 and 1111: reported ends of an earlier attempt, and batches of an owner that had restarted.
/// 1102: reported ends of an earlier attempt.
const LONG_REGRESSION_SEEDS: [u64; 3] = [1004, 1102, 1111];

/// Number of faults drawn per seed in CI.
const SHORT_STEPS: u64 = 12;

/// The same in the scenario with long tasks.
const LONG_STEPS: u64 = 24;

/// The same in the scenario with high load, where evacuations last longer than other faults.
const HIGH_LOAD_STEPS: u64 = 30;

const SHORT_CALLERS: u64 = 6;

const LONG_CALLERS: u64 = 12;

/// How many callers a burst adds in the scenario with high load. While all jobs run, a caller uses 26 cores on
/// average: the usual ones four fifths of the upstreams' capacity, those of a burst more than twice the capacity.
const BURST_CALLERS: u64 = 18;

/// The queue of jobs in the other scenarios.
const USUAL_QUEUE: &str = "look";

/// The queues of the scenario with high load in the order of their priorities, each with the number of
/// tasks of its jobs and their run time in milliseconds.
const HIGH_LOAD_QUEUES: [(&str, u32, u64); 3] =
    [("look", 8, 60), ("view", 2, 200), ("bulk", 4, 900)];

/// The data centres of that scenario.
const DATA_CENTRES: [&str; 2] = ["north", "south"];

/// How long a caller of a short job waits for the answer.
pub(crate) const CALLER_WAIT: Duration = Duration::from_millis(1_500);

/// Which jobs are submitted and which faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    ShortTasks,
    LongTasks,
    Crashes,
    HighLoad,
}

fn draw_for_short_tasks(rng: &mut StdRng, site: &ProcessSite) -> Fault {
    let instance = rng.random_range(0..site.instances.len());
    let upstream = rng.random_range(0..site.upstreams.len());
    let faults = [
        Fault::Kill(instance),
        Fault::Stop(instance),
        Fault::Freeze(instance),
        Fault::StoreUnavailable(StoreFault::Busy),
        Fault::StoreUnavailable(StoreFault::Silent),
        Fault::StoreUnavailable(StoreFault::LosesAnswers),
        Fault::StoreHistoryLost,
        Fault::StoreCut(instance),
        Fault::StoreCutOneWay(instance),
        Fault::StoreSlow(instance),
        Fault::StoreReset(instance),
        Fault::UpstreamCut(upstream),
        Fault::UpstreamCutOneWay(upstream),
        Fault::UpstreamSlow(upstream),
        Fault::UpstreamReset(upstream),
        Fault::UpstreamOrders(upstream, OrderHandling::AnswerLost),
        Fault::UpstreamOrders(upstream, OrderHandling::Lost),
        Fault::UpstreamOrders(upstream, OrderHandling::Unhealthy),
        Fault::UpstreamFailsTasks(upstream),
        Fault::UpstreamRestart(upstream),
        Fault::NewIntendedState,
    ];
    faults[rng.random_range(0..faults.len())]
}

fn draw_for_long_tasks(rng: &mut StdRng, site: &ProcessSite) -> Fault {
    let instance = rng.random_range(0..site.instances.len());
    let upstream = rng.random_range(0..site.upstreams.len());
    let faults = [
        Fault::Kill(instance),
        Fault::Stop(instance),
        Fault::Freeze(instance),
        Fault::QuickRestart(instance),
        Fault::QuickRestart(instance),
        Fault::CutAndRestart(upstream, instance),
        Fault::CutAndRestart(upstream, instance),
        Fault::CallersReset(instance),
        Fault::CallersReset(instance),
        Fault::StoreReset(instance),
        Fault::UpstreamCut(upstream),
        Fault::UpstreamCutOneWay(upstream),
        Fault::UpstreamCutOneWay(upstream),
        Fault::UpstreamReset(upstream),
        Fault::UpstreamOrders(upstream, OrderHandling::AnswerLost),
        Fault::UpstreamOrders(upstream, OrderHandling::Lost),
        Fault::UpstreamOrders(upstream, OrderHandling::Late),
        Fault::UpstreamRestart(upstream),
        Fault::NewIntendedState,
    ];
    faults[rng.random_range(0..faults.len())]
}
fn draw_for_crashes(rng: &mut StdRng, site: &ProcessSite) -> Fault {
    let instance = rng.random_range(0..site.instances.len());
    let upstream = rng.random_range(0..site.upstreams.len());
    let faults = [
        Fault::UpstreamCrash(upstream),
        Fault::UpstreamCrash(upstream),
        Fault::UpstreamCrash(upstream),
        Fault::UpstreamCrash(upstream),
        Fault::Kill(instance),
        Fault::QuickRestart(instance),
        Fault::Freeze(instance),
        Fault::CutAndRestart(upstream, instance),
        Fault::CallersReset(instance),
        Fault::UpstreamReset(upstream),
        Fault::UpstreamReset(upstream),
        Fault::UpstreamCut(upstream),
        Fault::UpstreamCutOneWay(upstream),
        Fault::UpstreamOrders(upstream, OrderHandling::AnswerLost),
        Fault::UpstreamOrders(upstream, OrderHandling::Lost),
        Fault::UpstreamRestart(upstream),
    ];
    faults[rng.random_range(0..faults.len())]
}

fn draw_for_high_load(rng: &mut StdRng, site: &ProcessSite) -> Fault {
    let instance = rng.random_range(0..site.instances.len());
    let upstream = rng.random_range(0..site.upstreams.len());
    let store_fault = match rng.random_bool(0.5) {
        true => StoreFault::Busy,
        false => StoreFault::Silent,
    };
    let faults = [
        // Most evacuations leave the other data centre, whose upstreams keep the site under load.
        Fault::Evacuate(DATA_CENTRES[0]),
        Fault::Evacuate(DATA_CENTRES[0]),
        Fault::Evacuate(DATA_CENTRES[0]),
        Fault::Evacuate(DATA_CENTRES[1]),
        Fault::Burst,
        Fault::Burst,
        Fault::Kill(instance),
        Fault::Stop(instance),
        Fault::Stop(instance),
        Fault::Freeze(instance),
        Fault::QuickRestart(instance),
        Fault::CallersReset(instance),
        Fault::StoreUnavailable(store_fault),
        Fault::StoreHistoryLost,
        Fault::StoreCut(instance),
        Fault::StoreCutOneWay(instance),
        Fault::StoreReset(instance),
        Fault::UpstreamCut(upstream),
        Fault::UpstreamOrders(upstream, OrderHandling::AnswerLost),
        Fault::UpstreamOrders(upstream, OrderHandling::Late),
        Fault::NewIntendedState,
    ];
    faults[rng.random_range(0..faults.len())]
}

impl Scenario {
    /// How many instances a site has by default.
    pub(crate) fn instances(self) -> u64 {
        match self {
            Scenario::HighLoad => 6,
            _ => 3,
        }
    }

    /// In the scenario with high load, each data centre has a receiving instance, one that delegates
    /// more than half of its jobs, and one that delegates few.
    pub(crate) fn layout(self) -> SiteLayout {
        if self != Scenario::HighLoad {
            return SiteLayout::default();
        }
        let queues = HIGH_LOAD_QUEUES.iter().zip(0..);
        SiteLayout {
            data_centres: DATA_CENTRES.to_vec(),
            processor_shares: vec![0.5, 0.12, 0.3],
            overload: Some("by_priority"),
            queues: queues
                .map(|(queue, priority)| (queue.0, priority))
                .collect(),
            ..SiteLayout::default()
        }
    }

    pub(crate) fn draw_fault(self, rng: &mut StdRng, site: &ProcessSite) -> Fault {
        match self {
            Scenario::ShortTasks => draw_for_short_tasks(rng, site),
            Scenario::LongTasks => draw_for_long_tasks(rng, site),
            Scenario::Crashes => draw_for_crashes(rng, site),
            Scenario::HighLoad => draw_for_high_load(rng, site),
        }
    }

    /// Draws how long a fault lasts.
    pub(crate) fn fault_duration(self, rng: &mut StdRng, fault: Fault) -> Duration {
        let range_ms = match (self, fault) {
            (_, Fault::QuickRestart(_) | Fault::CutAndRestart(..)) => 200..400,
            // Beyond the bound for evacuation, after which nothing may start.
            (_, Fault::Evacuate(_)) => 7_000..11_000,
            (_, Fault::Burst) => 2_000..4_000,
            (Scenario::HighLoad, Fault::StoreCut(_) | Fault::StoreCutOneWay(_)) => 1_000..8_000,
            (
                Scenario::LongTasks | Scenario::Crashes,
                Fault::UpstreamCut(_) | Fault::UpstreamCutOneWay(_) | Fault::UpstreamOrders(..),
            ) => 1_000..3_000,
            _ => 200..2_000,
        };
        Duration::from_millis(rng.random_range(range_ms))
    }

    /// Draws the time until the next fault.
    pub(crate) fn fault_interval(self, rng: &mut StdRng) -> Duration {
        let range_ms = match self {
            Scenario::ShortTasks => 100..900,
            Scenario::LongTasks | Scenario::Crashes if rng.random_bool(0.5) => 0..150,
            Scenario::LongTasks | Scenario::Crashes | Scenario::HighLoad => 200..900,
        };
        Duration::from_millis(rng.random_range(range_ms))
    }

    /// Draws a job. Returns its queue, the job, its number of tasks and how long its caller waits.
    pub(crate) fn job(self, rng: &mut StdRng) -> (&'static str, JobSpec, u32, Duration) {
        if self == Scenario::HighLoad {
            return draw_high_load_job(rng);
        }
        if self == Scenario::ShortTasks || rng.random_bool(0.4) {
            let tasks = rng.random_range(1..=6);
            return (USUAL_QUEUE, run_job(tasks, 6_800, 60), tasks, CALLER_WAIT);
        }
        let tasks = rng.random_range(1..=2);
        let work_ms = rng.random_range(300..=1_600);
        let spec = JobSpec {
            payload: Arc::from(work_ms.to_string()),
            ..run_job(tasks, 6_800, work_ms)
        };
        let extra_ms = 3 * (work_ms * 8 / 5 + 60);
        let wait = CALLER_WAIT + Duration::from_millis(extra_ms);
        (USUAL_QUEUE, spec, tasks, wait)
    }

    /// Draws after what time a caller drops its connection; none if it waits for the answer.
    pub(crate) fn disconnects_after(self, rng: &mut StdRng) -> Option<Duration> {
        let disconnects = self != Scenario::ShortTasks && rng.random_bool(0.15);
        disconnects.then(|| Duration::from_millis(rng.random_range(20..1_500)))
    }

    /// How often a job is submitted at most.
    pub(crate) fn max_submissions(self) -> u32 {
        match self {
            Scenario::ShortTasks => 2,
            Scenario::LongTasks | Scenario::Crashes | Scenario::HighLoad => 3,
        }
    }

    pub(crate) fn callers(self) -> u64 {
        match self {
            Scenario::ShortTasks | Scenario::HighLoad => SHORT_CALLERS,
            Scenario::LongTasks | Scenario::Crashes => LONG_CALLERS,
        }
    }

    /// How many more callers submit jobs during a burst.
    pub(crate) fn burst_callers(self) -> u64 {
        match self {
            Scenario::HighLoad => BURST_CALLERS,
            _ => 0,
        }
    }

    pub(crate) fn steps(self) -> u64 {
        match self {
            Scenario::ShortTasks => SHORT_STEPS,
            Scenario::LongTasks | Scenario::Crashes => LONG_STEPS,
            Scenario::HighLoad => HIGH_LOAD_STEPS,
        }
    }

    pub(crate) fn seeds(self) -> Vec<u64> {
        match self {
            Scenario::ShortTasks => SEEDS.chain(SHORT_REGRESSION_SEEDS).collect(),
            Scenario::LongTasks => SEEDS.chain(LONG_REGRESSION_SEEDS).collect(),
            Scenario::Crashes | Scenario::HighLoad => SEEDS.collect(),
        }
    }
}

/// Draws a job of one of the three queues. One in ten fails on every upstream, so that its answer differs
/// from those of other callers.
fn draw_high_load_job(rng: &mut StdRng) -> (&'static str, JobSpec, u32, Duration) {
    let (queue, tasks, run_ms) = HIGH_LOAD_QUEUES[rng.random_range(0..HIGH_LOAD_QUEUES.len())];
    let actual_ms = run_ms * rng.random_range(70..=140) / 100;
    let payload = match rng.random_bool(0.1) {
        true => FAILING_SPEC.to_owned(),
        false => actual_ms.to_string(),
    };
    let spec = JobSpec {
        payload: Arc::from(payload),
        ..run_job(tasks, 6_800, run_ms)
    };
    let extra_ms = 3 * (run_ms * 8 / 5 + 60);
    let wait = CALLER_WAIT + Duration::from_millis(extra_ms);
    (queue, spec, tasks, wait)
}
