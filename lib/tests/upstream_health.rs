//! Ejection and probing of failing upstreams, and slots of slow ones.

use std::time::Duration;

use almondhead_lib::ejection_gate::EjectionGate;
use almondhead_lib::health::HealthChange;
use almondhead_lib::health::HealthState;
use almondhead_lib::health::UpstreamHealth;
use almondhead_lib::slow_weight::UpstreamLatency;
use almondhead_lib::slow_weight::effective_slots;
use almondhead_lib::slow_weight::median_latency_us;
use almondhead_lib::time::Timestamp;

fn at_ms(ms: u64) -> Timestamp {
    Timestamp::from_us(ms * 1_000)
}

fn ejected_at(now: Timestamp) -> UpstreamHealth {
    let mut health = UpstreamHealth::default();
    for _ in 0..2 {
        assert_eq!(health.on_failure(now), HealthChange::Unchanged);
    }
    assert_eq!(health.on_failure(now), HealthChange::Ejected);
    health
}

#[test]
fn failures_in_a_row_eject_and_a_probe_restores() {
    let mut health = ejected_at(at_ms(0));
    assert!(!health.can_start(at_ms(999), 0));
    assert_eq!(health.next_change(at_ms(0)), Some(at_ms(1_000)));
    assert_eq!(health.state(at_ms(1_000)), HealthState::Probing);
    assert!(health.can_start(at_ms(1_000), 0));
    assert!(!health.can_start(at_ms(1_000), 1));
    assert_eq!(health.on_success(at_ms(1_100)), HealthChange::Restored);
    assert!(health.can_start(at_ms(1_100), 7));
}

#[test]
fn back_off_doubles_up_to_its_bound() {
    let mut health = ejected_at(at_ms(0));
    let mut now = at_ms(0);
    for wait_s in [1, 2, 4, 8, 16, 32, 60, 60] {
        let until = now + Duration::from_secs(wait_s);
        assert_eq!(health.state(now), HealthState::Ejected { until });
        now = until;
        assert_eq!(health.on_failure(now), HealthChange::Unchanged);
    }
}

#[test]
fn ends_of_earlier_tasks_do_not_lengthen_the_back_off() {
    let mut health = ejected_at(at_ms(0));
    let until = at_ms(1_000);
    for ms in 1..8 {
        assert_eq!(health.on_failure(at_ms(ms)), HealthChange::Unchanged);
    }
    assert_eq!(health.state(at_ms(8)), HealthState::Ejected { until });
}

#[test]
fn a_failure_limits_the_upstream_to_one_task() {
    let mut health = UpstreamHealth::default();
    assert!(health.can_start(at_ms(0), 7));
    assert_eq!(health.on_failure(at_ms(0)), HealthChange::Unchanged);
    assert!(health.can_start(at_ms(0), 0));
    assert!(!health.can_start(at_ms(0), 1));
    assert_eq!(health.on_success(at_ms(0)), HealthChange::Unchanged);
    assert!(health.can_start(at_ms(0), 7));
}

#[test]
fn refusals_pause_but_do_not_eject() {
    let mut health = UpstreamHealth::default();
    for (ms, pause_ms) in [(0, 5), (10, 10), (30, 20), (100, 40)] {
        health.on_refusal(at_ms(ms));
        assert!(!health.can_start(at_ms(ms + pause_ms - 1), 0));
        assert!(health.can_start(at_ms(ms + pause_ms), 7));
        assert_eq!(health.state(at_ms(ms)), HealthState::Healthy);
    }
}

/// The ends of tasks on each upstream, and how many upstreams stay ejected.
#[derive(Debug)]
struct GateCase {
    ends: &'static [&'static str],
    stay_ejected: usize,
}

/// The health of an upstream after `ends`: `+` for a success, `-` for a failure.
fn after(ends: &str) -> UpstreamHealth {
    let mut health = UpstreamHealth::default();
    for end in ends.chars() {
        let _ = match end {
            '+' => health.on_success(at_ms(0)),
            _ => health.on_failure(at_ms(0)),
        };
    }
    health
}

#[test]
fn the_gate_limits_ejections() {
    const GOOD: &str = "++++++++++";
    const BAD: &str = "+++++-----";
    const MIXED: &str = "--+--+--+--+---";
    let cases = [
        GateCase {
            ends: &[BAD],
            stay_ejected: 0,
        },
        GateCase {
            ends: &[BAD, GOOD],
            stay_ejected: 1,
        },
        GateCase {
            ends: &[BAD, BAD, GOOD, GOOD],
            stay_ejected: 2,
        },
        GateCase {
            ends: &[BAD, BAD, BAD, GOOD, GOOD],
            stay_ejected: 2,
        },
        GateCase {
            ends: &[BAD, "--", "--", "--", "--", "--"],
            stay_ejected: 0,
        },
        GateCase {
            ends: &[MIXED, "-+--+--+-", "--+--+--", "-+--+--"],
            stay_ejected: 0,
        },
    ];
    for case in cases {
        let mut upstreams: Vec<UpstreamHealth> = case.ends.iter().map(|ends| after(ends)).collect();
        let stay_ejected = EjectionGate.review(at_ms(0), upstreams.iter_mut());
        let ejected = upstreams.iter().filter(|upstream| upstream.is_ejected());
        assert_eq!(ejected.count(), stay_ejected, "{case:?}");
        assert_eq!(stay_ejected, case.stay_ejected, "{case:?}");
    }
}

/// The share of the tasks started after the first five seconds that fail, when one of the upstreams
/// fails every task as soon as it starts.
fn failed_share(upstream_count: usize, load: f64) -> f64 {
    const SLOTS: u32 = 8;
    const RUN_MS: u64 = 300;
    let mut upstreams = vec![UpstreamHealth::default(); upstream_count];
    let mut ends: Vec<Vec<u64>> = vec![Vec::new(); upstream_count];
    let arrivals_per_ms = upstream_count as f64 * f64::from(SLOTS) / RUN_MS as f64 * load;
    let (mut due, mut started, mut failed) = (0.0, 0u32, 0u32);
    for ms in 0..120_000 {
        for upstream in 1..upstream_count {
            let before = ends[upstream].len();
            ends[upstream].retain(|end_ms| *end_ms > ms);
            for _ in ends[upstream].len()..before {
                let _ = upstreams[upstream].on_success(at_ms(ms));
            }
        }
        due += arrivals_per_ms;
        while due >= 1.0 {
            due -= 1.0;
            let in_flight = |index: &usize| ends[*index].len() as u32;
            let chosen = (0..upstream_count)
                .filter(|index| in_flight(index) < SLOTS)
                .filter(|index| upstreams[*index].can_start(at_ms(ms), in_flight(index)))
                .min_by_key(in_flight);
            let Some(chosen) = chosen else { continue };
            started += u32::from(ms >= 5_000);
            if chosen > 0 {
                ends[chosen].push(ms + RUN_MS);
                continue;
            }
            failed += u32::from(ms >= 5_000);
            if upstreams[0].on_failure(at_ms(ms)) == HealthChange::Ejected {
                EjectionGate.review(at_ms(ms), upstreams.iter_mut());
            }
        }
    }
    f64::from(failed) / f64::from(started)
}

#[test]
fn an_upstream_that_fails_all_costs_little() {
    for upstream_count in [2, 7, 50] {
        for load in [0.3, 0.8, 0.95] {
            let share = failed_share(upstream_count, load);
            assert!(
                share < 0.01,
                "a share of {share} failed on {upstream_count} upstreams at load {load}"
            );
        }
    }
}

fn latency(latency_us: u64, samples: usize) -> UpstreamLatency {
    let mut latency = UpstreamLatency::default();
    for _ in 0..samples {
        latency.record(Duration::from_micros(latency_us));
    }
    latency
}

#[test]
fn slow_upstreams_keep_few_slots() {
    let peers = [1_000, 1_000, 1_200, 9_000].map(|latency_us| latency(latency_us, 20));
    let median_us = median_latency_us(peers.iter());
    assert_eq!(median_us, Some(1_000));
    // Own latency in microseconds, samples, slots, and the effective slots.
    let cases = [
        (1_900, 20, 8, 8),
        (4_000, 20, 8, 2),
        (100_000, 20, 8, 1),
        (100_000, 3, 8, 8),
        (100_000, 20, 0, 0),
    ];
    for (own_us, samples, slots, expected) in cases {
        let own = latency(own_us, samples);
        let left = effective_slots(slots, &own, median_us);
        assert_eq!(left, expected, "{own_us} {samples} {slots}");
    }
    assert_eq!(effective_slots(8, &peers[3], None), 8);
}
