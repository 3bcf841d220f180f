//! Admission, run estimates and the retry budget.

use std::time::Duration;

use almondhead_lib::admission::AdmissionLoad;
use almondhead_lib::admission::admission_for;
use almondhead_lib::outcome::NotRunReason;
use almondhead_lib::policies::AdmissionPolicy;
use almondhead_lib::retry_budget::RetryBudget;
use almondhead_lib::run_estimate::DEFAULT_RUN;
use almondhead_lib::run_estimate::RunEstimate;
use almondhead_lib::run_estimate::RunEstimateReading;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MEAN: Duration = Duration::from_millis(100);

/// A single task at an idle site of ten slots.
fn idle() -> AdmissionLoad {
    AdmissionLoad {
        tasks: 1,
        queued_tasks: 0,
        queued_work: Duration::ZERO,
        running: 0,
        slots: 10,
        overtaking_slots: 0,
        run_estimate: RunEstimateReading {
            mean: MEAN,
            high: MEAN * 3,
            samples: 1_000,
        },
        time_left: Duration::from_secs(1),
        max_queued_tasks: 1_000,
        jitter_seed: 0,
    }
}

/// The same with `queued_tasks` ahead.
fn queued(queued_tasks: u32) -> AdmissionLoad {
    AdmissionLoad {
        queued_tasks,
        queued_work: MEAN * queued_tasks,
        running: 10,
        ..idle()
    }
}

#[test]
fn refusals_have_their_reasons() {
    let cases = [
        ("idle", idle(), None),
        ("short queue", queued(50), None),
        ("long queue", queued(90), Some(NotRunReason::Overloaded)),
        ("full queue", queued(1_000), Some(NotRunReason::QueueFull)),
        (
            "no slots",
            AdmissionLoad { slots: 0, ..idle() },
            Some(NotRunReason::NotTaken),
        ),
        (
            "larger than the queue",
            AdmissionLoad {
                tasks: 1_001,
                time_left: Duration::from_secs(20),
                ..idle()
            },
            None,
        ),
        (
            "hopeless",
            AdmissionLoad {
                tasks: 400,
                ..idle()
            },
            Some(NotRunReason::Overloaded),
        ),
        (
            "smaller jobs take the slots",
            AdmissionLoad {
                tasks: 40,
                overtaking_slots: 9,
                ..queued(1)
            },
            Some(NotRunReason::Overloaded),
        ),
        (
            "the same with the slots left to it",
            AdmissionLoad {
                tasks: 40,
                ..queued(1)
            },
            None,
        ),
        (
            "close, and nobody waits",
            AdmissionLoad {
                tasks: 110,
                ..idle()
            },
            None,
        ),
    ];
    let admission = admission_for(AdmissionPolicy::EstimatedFinish);
    for (name, load, expected) in cases {
        let reason = admission.admit(&load).err().map(|refusal| refusal.reason);
        assert_eq!(reason, expected, "{name}");
    }
}

#[test]
fn queue_length_ignores_the_deadline() {
    let admission = admission_for(AdmissionPolicy::QueueLength);
    assert!(admission.admit(&queued(999)).is_ok());
    let refusal = admission.admit(&queued(1_000)).unwrap_err();
    assert_eq!(refusal.reason, NotRunReason::QueueFull);
}

#[test]
fn a_followed_refusal_succeeds() {
    let admission = admission_for(AdmissionPolicy::EstimatedFinish);
    for queued_tasks in [70, 80, 90, 150, 500, 1_000, 1_200] {
        for tasks in [1, 10, 40] {
            for jitter_seed in [0, u32::MAX / 2, u32::MAX] {
                let load = AdmissionLoad {
                    tasks,
                    jitter_seed,
                    ..queued(queued_tasks)
                };
                let Err(refusal) = admission.admit(&load) else {
                    continue;
                };
                assert!(refusal.retry_after > Duration::ZERO);
                let done = refusal.retry_after.div_duration_f64(MEAN) * 10.0;
                let left = queued_tasks.saturating_sub(done as u32);
                let later = AdmissionLoad {
                    tasks,
                    ..queued(left)
                };
                let answer = admission.admit(&later);
                assert!(answer.is_ok(), "{tasks} after {queued_tasks}: {answer:?}");
            }
        }
    }
}

#[test]
fn refused_callers_do_not_come_back_together() {
    let admission = admission_for(AdmissionPolicy::EstimatedFinish);
    let mut waits: Vec<Duration> = (0..100)
        .map(|jitter_seed| {
            let load = AdmissionLoad {
                jitter_seed,
                ..queued(500)
            };
            admission.admit(&load).unwrap_err().retry_after
        })
        .collect();
    waits.sort();
    let capacity_in = waits[0];
    assert!(waits[99] > capacity_in.mul_f64(1.45), "{waits:?}");
    assert!(waits[99] <= capacity_in.mul_f64(1.5), "{waits:?}");
    let widest = waits.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(widest <= Some(capacity_in / 50), "{waits:?}");
}

#[test]
fn declared_run_times_are_bounded_before_samples() {
    let cases = [
        (None, DEFAULT_RUN),
        (Some(Duration::from_millis(700)), Duration::from_millis(700)),
        (Some(Duration::ZERO), Duration::from_millis(10)),
        (Some(Duration::from_secs(86_400)), Duration::from_secs(5)),
    ];
    for (declared, expected) in cases {
        let reading = RunEstimate::default().reading(declared);
        assert_eq!(reading.mean, expected, "{declared:?}");
        assert_eq!(reading.samples, 0);
    }
}

#[test]
fn runs_are_measured() {
    let mut estimate = RunEstimate::default();
    for step in 0..5_000 {
        estimate.record(Duration::from_millis(10 + step % 100 * 10));
    }
    let reading = estimate.reading(None);
    let mean_ms = reading.mean.as_millis();
    assert!((400..=620).contains(&mean_ms), "{mean_ms}");
    let high_ms = reading.high.as_millis();
    assert!((940..=1_300).contains(&high_ms), "{high_ms}");
}

/// The estimate for a task declared at 100 ms, after many whose declarations were `factor` times
/// the run and off by up to `noise` times either way.
fn learned(factor: f64, noise: f64) -> Duration {
    let mut rng = StdRng::seed_from_u64(11);
    let mut estimate = RunEstimate::default();
    for _ in 0..3_000 {
        let run = Duration::from_secs_f64(0.05 * 20f64.powf(rng.random()));
        let off = noise.powf(rng.random::<f64>() * 2.0 - 1.0);
        estimate.record_declared(run.mul_f64(factor * off), run);
    }
    estimate.reading(Some(Duration::from_millis(100))).mean
}

#[test]
fn declared_run_times_weigh_by_their_worth() {
    // Declared exactly, ten times too high and a tenth: corrected.
    for (factor, expected_ms) in [(1.0, 100), (10.0, 10), (0.1, 1_000)] {
        let ms = learned(factor, 1.0).as_millis();
        assert!(
            ms.abs_diff(expected_ms) <= expected_ms / 5,
            "{factor}: {ms}"
        );
    }
    // Declared at random: the measured mean of 317 ms is what remains.
    let ms = learned(1.0, 1_000.0).as_millis();
    assert!((200..=400).contains(&ms), "{ms}");
}

#[test]
fn retries_are_a_share_of_first_attempts() {
    for (percent, first_attempts, most) in [(0, 1_000, 0), (10, 1_000, 110), (10, 0, 10)] {
        let mut budget = RetryBudget::new(percent);
        let mut retries = u32::from(first_attempts == 0 && budget.try_retry());
        for _ in 0..first_attempts {
            budget.on_first_attempt();
            while budget.try_retry() {
                retries += 1;
            }
        }
        while budget.try_retry() {
            retries += 1;
        }
        assert!(retries <= most, "{percent}: {retries}");
        assert!(retries + 1 >= most, "{percent}: {retries}");
    }
}
