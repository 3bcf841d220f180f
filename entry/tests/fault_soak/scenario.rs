//! Which jobs are submitted and which faults are injected.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::runs::job_spec::JobSpec;
use almondhead_platform_standins::OrderHandling;
use almondhead_platform_standins::ProcessSite;
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

const SHORT_CALLERS: u64 = 6;

const LONG_CALLERS: u64 = 12;

/// How long a caller of a short job waits for the answer.
pub(crate) const CALLER_WAIT: Duration = Duration::from_millis(1_500);

/// Which jobs are submitted and which faults are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    ShortTasks,
    LongTasks,
    Crashes,
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

impl Scenario {
    pub(crate) fn draw_fault(self, rng: &mut StdRng, site: &ProcessSite) -> Fault {
        match self {
            Scenario::ShortTasks => draw_for_short_tasks(rng, site),
            Scenario::LongTasks => draw_for_long_tasks(rng, site),
            Scenario::Crashes => draw_for_crashes(rng, site),
        }
    }

    /// Draws how long a fault lasts.
    pub(crate) fn fault_duration(self, rng: &mut StdRng, fault: Fault) -> Duration {
        let range_ms = match (self, fault) {
            (_, Fault::QuickRestart(_) | Fault::CutAndRestart(..)) => 200..400,
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
            Scenario::LongTasks | Scenario::Crashes => 200..900,
        };
        Duration::from_millis(rng.random_range(range_ms))
    }

    /// Draws a job. Returns it with its number of tasks and how long its caller waits.
    pub(crate) fn job(self, rng: &mut StdRng) -> (JobSpec, u32, Duration) {
        if self == Scenario::ShortTasks || rng.random_bool(0.4) {
            let tasks = rng.random_range(1..=6);
            return (run_job(tasks, 6_800, 60), tasks, CALLER_WAIT);
        }
        let tasks = rng.random_range(1..=2);
        let work_ms = rng.random_range(300..=1_600);
        let spec = JobSpec {
            payload: Arc::from(work_ms.to_string()),
            ..run_job(tasks, 6_800, work_ms)
        };
        let extra_ms = 3 * (work_ms * 8 / 5 + 60);
        (spec, tasks, CALLER_WAIT + Duration::from_millis(extra_ms))
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
            Scenario::LongTasks | Scenario::Crashes => 3,
        }
    }

    pub(crate) fn callers(self) -> u64 {
        match self {
            Scenario::ShortTasks => SHORT_CALLERS,
            Scenario::LongTasks | Scenario::Crashes => LONG_CALLERS,
        }
    }

    pub(crate) fn steps(self) -> u64 {
        match self {
            Scenario::ShortTasks => SHORT_STEPS,
            Scenario::LongTasks | Scenario::Crashes => LONG_STEPS,
        }
    }

    pub(crate) fn seeds(self) -> Vec<u64> {
        match self {
            Scenario::ShortTasks => SEEDS.chain(SHORT_REGRESSION_SEEDS).collect(),
            Scenario::LongTasks => SEEDS.chain(LONG_REGRESSION_SEEDS).collect(),
            Scenario::Crashes => SEEDS.collect(),
        }
    }
}
