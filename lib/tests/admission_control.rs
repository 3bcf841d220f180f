//! Admission policies, run time estimates and the retry budget.

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

/// A job of one task at an idle service with ten slots.
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

/// The same job while all slots are busy and `queued_tasks` tasks are ahead of it.
fn queued(queued_tasks: u32) -> AdmissionLoad {
    AdmissionLoad {
        queued_tasks,
        queued_work: MEAN * queued_tasks,
        running: 10,
        ..idle()
    }
}

#[test]
fn refusal_reason_matches_the_load() {
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
            "infeasible",
            AdmissionLoad {
                tasks: 400,
                ..idle()
            },
            Some(NotRunReason::Overloaded),
        ),
        (
            "overtaking jobs use most slots",
            AdmissionLoad {
                tasks: 40,
                overtaking_slots: 9,
                ..queued(1)
            },
            Some(NotRunReason::Overloaded),
        ),
        (
            "the same without overtaking jobs",
            AdmissionLoad {
                tasks: 40,
                ..queued(1)
            },
            None,
        ),
        (
            "slightly late, and nothing is queued",
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
fn retry_after_a_refusal_succeeds() {
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
                let done_tasks = refusal.retry_after.div_duration_f64(MEAN) * 10.0;
                let left = queued_tasks.saturating_sub(done_tasks as u32);
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
fn retry_times_of_refused_callers_are_spread() {
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
    let widest_gap = waits.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(widest_gap <= Some(capacity_in / 50), "{waits:?}");
}

#[test]
fn declared_run_times_are_clamped_before_samples() {
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
fn estimate_follows_measured_run_times() {
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

/// The estimate for a task that declares 100 ms, after 3,000 tasks that declared `factor` times
/// their run time, with random errors of up to `noise` times in either direction.
fn estimate_after_declarations(factor: f64, noise: f64) -> Duration {
    let mut rng = StdRng::seed_from_u64(11);
    let mut estimate = RunEstimate::default();
    for _ in 0..3_000 {
        let run_time = Duration::from_secs_f64(0.05 * 20f64.powf(rng.random()));
        let error = noise.powf(rng.random::<f64>() * 2.0 - 1.0);
        estimate.record_declared(run_time.mul_f64(factor * error), run_time);
    }
    estimate.reading(Some(Duration::from_millis(100))).mean
}

#[test]
fn declared_run_times_are_weighted_by_their_accuracy() {
    // Exact, ten times too high and ten times too low: a constant factor is corrected.
    for (factor, expected_ms) in [(1.0, 100), (10.0, 10), (0.1, 1_000)] {
        let ms = estimate_after_declarations(factor, 1.0).as_millis();
        assert!(
            ms.abs_diff(expected_ms) <= expected_ms / 5,
            "{factor}: {ms}"
        );
    }
    // Random declarations carry no information: the estimate is the measured mean, 317 ms.
    let ms = estimate_after_declarations(1.0, 1_000.0).as_millis();
    assert!((200..=400).contains(&ms), "{ms}");
}

#[test]
fn retries_are_limited_to_a_percentage_of_first_attempts() {
    for (percent, first_attempts, expected_retries) in
        [(0, 1_000, 0), (10, 1_000, 110), (10, 0, 10)]
    {
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
        assert!(retries <= expected_retries, "{percent}: {retries}");
        assert!(retries + 1 >= expected_retries, "{percent}: {retries}");
    }
}
