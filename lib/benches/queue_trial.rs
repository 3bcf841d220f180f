//! Simulates a pool of slots and compares the orders of the queue.
//!
//! The rows differ only in the queue: arrivals, run times and teams are drawn from one seed.
//! Response times are given relative to the ideal, which is the response time of the same job on
//! empty slots.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use almondhead_lib::fair_queue::FairQueue;
use almondhead_lib::fair_queue::FairSettings;
use almondhead_lib::keys::JobKey;
use almondhead_lib::keys::TeamKey;
use almondhead_lib::ordered_queue::OrderedQueue;
use almondhead_lib::queue::JobQueue;
use almondhead_lib::queue::QueueEntry;
use almondhead_lib::time::Timestamp;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slotmap::SlotMap;

mod trial_load;

const SEED: u64 = 20_261_203;
/// The numbers of slots simulated: those of a whole site, and those of one entry instance's own
/// upstreams.
const POOLS: [usize; 2] = [400, 56];
const TEAMS: usize = 72;
const JOBS: usize = 12_000;
/// The first jobs, which are left out of the results.
const WARM_UP_JOBS: usize = 1_000;
const DEADLINE_US: u64 = 60_000_000;

/// The load of one scenario.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// The offered work without the flood, as a share of the capacity.
    load: f64,
    /// The work that one team adds for [`FLOOD_US`], as a share of the capacity.
    flood: f64,
    /// The number of tasks of each job of the flood.
    flood_tasks: usize,
}

const FLOOD_FROM_US: u64 = 30_000_000;
const FLOOD_US: u64 = 20_000_000;

const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "load 0.8",
        load: 0.8,
        flood: 0.0,
        flood_tasks: 1,
    },
    Scenario {
        name: "load 0.95",
        load: 0.95,
        flood: 0.0,
        flood_tasks: 1,
    },
    Scenario {
        name: "load 1.05",
        load: 1.05,
        flood: 0.0,
        flood_tasks: 1,
    },
    Scenario {
        name: "load 0.6, one team floods singles",
        load: 0.6,
        flood: 1.5,
        flood_tasks: 1,
    },
    Scenario {
        name: "load 0.6, one team floods jobs of 100",
        load: 0.6,
        flood: 1.5,
        flood_tasks: 100,
    },
];

/// A job of the trace.
struct Arrival {
    at_us: u64,
    team: usize,
    runs_us: Vec<u64>,
}

/// A job that has arrived and not ended.
struct OpenJob {
    /// The index of its arrival.
    arrival: usize,
    /// The number of tasks started.
    started: usize,
    /// The number of tasks ended.
    ended: usize,
}

/// Draws a team, with a probability inversely proportional to its number.
fn team(rng: &mut StdRng) -> usize {
    let exponent: f64 = rng.random();
    ((TEAMS as f64 + 1.0).powf(exponent) as usize - 1).min(TEAMS - 1)
}

fn arrivals(slots: usize, scenario: Scenario) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut jobs: Vec<Arrival> = (0..JOBS)
        .map(|_| Arrival {
            at_us: 0,
            team: team(&mut rng),
            runs_us: trial_load::job_runs_us(&mut rng),
        })
        .collect();
    let work_us: u64 = jobs.iter().flat_map(|job| &job.runs_us).sum();
    let gap_us = work_us as f64 / JOBS as f64 / slots as f64 / scenario.load;
    let mut now_us = 0;
    for job in &mut jobs {
        now_us += trial_load::gap_us(&mut rng, gap_us);
        job.at_us = now_us;
    }
    let mut flooded_us = 0;
    let flood_us = (scenario.flood * FLOOD_US as f64 * slots as f64) as u64;
    while flooded_us < flood_us {
        let runs_us: Vec<u64> = (0..scenario.flood_tasks)
            .map(|_| trial_load::run_us(&mut rng))
            .collect();
        flooded_us += runs_us.iter().sum::<u64>();
        jobs.push(Arrival {
            at_us: FLOOD_FROM_US + rng.random_range(0..FLOOD_US),
            team: TEAMS,
            runs_us,
        });
    }
    jobs.sort_by_key(|job| job.at_us);
    jobs
}

/// Returns the response time of a job on empty slots, in microseconds.
fn ideal_us(slots: usize, runs_us: &[u64]) -> u64 {
    let mut free_at: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    let mut last_us = 0;
    for run_us in runs_us {
        let Reverse(start_us) = free_at.pop().expect("there are slots");
        last_us = last_us.max(start_us + run_us);
        free_at.push(Reverse(start_us + run_us));
    }
    last_us
}

/// Returns the response time of each job relative to the ideal, in the order of `arrivals`.
fn relative_responses(slots: usize, arrivals: &[Arrival], queue: &mut dyn JobQueue) -> Vec<f64> {
    let mut teams: SlotMap<TeamKey, ()> = SlotMap::with_key();
    let team_keys: Vec<TeamKey> = (0..=TEAMS).map(|_| teams.insert(())).collect();
    let mut jobs: SlotMap<JobKey, OpenJob> = SlotMap::with_key();
    let mut running: BinaryHeap<Reverse<(u64, JobKey)>> = BinaryHeap::new();
    let mut relative_responses = vec![0.0; arrivals.len()];
    let mut next = 0;
    loop {
        let arrival_us = arrivals.get(next).map_or(u64::MAX, |job| job.at_us);
        let end_us = running
            .peek()
            .map_or(u64::MAX, |Reverse((at_us, _))| *at_us);
        let now_us = arrival_us.min(end_us);
        if now_us == u64::MAX {
            return relative_responses;
        }
        let now = Timestamp::from_us(now_us);
        if arrival_us <= end_us {
            let job = jobs.insert(OpenJob {
                arrival: next,
                started: 0,
                ended: 0,
            });
            queue.insert(
                now,
                QueueEntry {
                    job,
                    team: team_keys[arrivals[next].team],
                    weight: 100,
                    remaining: arrivals[next].runs_us.len() as u32,
                    deadline: Timestamp::from_us(now_us + DEADLINE_US),
                },
            );
            next += 1;
        } else {
            let Some(Reverse((_, key))) = running.pop() else {
                continue;
            };
            let job = &mut jobs[key];
            job.ended += 1;
            let arrival = &arrivals[job.arrival];
            let remaining = arrival.runs_us.len() - job.ended;
            if remaining == 0 {
                let response_us = (now_us - arrival.at_us) as f64;
                relative_responses[job.arrival] =
                    response_us / ideal_us(slots, &arrival.runs_us) as f64;
                jobs.remove(key);
            } else if job.started < arrival.runs_us.len() {
                queue.update(key, remaining as u32);
            }
        }
        while running.len() < slots {
            let Some(key) = queue.next(now, &mut |_| true) else {
                break;
            };
            let job = &mut jobs[key];
            let arrival = &arrivals[job.arrival];
            running.push(Reverse((now_us + arrival.runs_us[job.started], key)));
            job.started += 1;
            queue.charge(team_keys[arrival.team], 100, Duration::from_millis(380));
            if job.started == arrival.runs_us.len() {
                queue.remove(key);
            }
        }
    }
}

fn percentile(values: &mut [f64], share: f64) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * share) as usize;
    values[index.min(values.len() - 1)]
}

fn print_row(name: &str, arrivals: &[Arrival], relative_responses: &[f64]) {
    let responses_of = |wanted: &dyn Fn(&Arrival) -> bool| -> Vec<f64> {
        arrivals
            .iter()
            .zip(relative_responses)
            .skip(WARM_UP_JOBS)
            .filter(|(arrival, _)| wanted(arrival))
            .map(|(_, response)| *response)
            .collect()
    };
    let mut singles = responses_of(&|job| job.team < TEAMS && job.runs_us.len() == 1);
    let mut several = responses_of(&|job| job.team < TEAMS && job.runs_us.len() > 1);
    let mut large = responses_of(&|job| job.team < TEAMS && job.runs_us.len() > 200);
    let mut flood = responses_of(&|job| job.team == TEAMS);
    println!(
        "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
        percentile(&mut singles, 0.5),
        percentile(&mut singles, 0.99),
        percentile(&mut singles, 0.999),
        percentile(&mut several, 0.99),
        percentile(&mut large, 0.99),
        percentile(&mut large, 1.0),
        percentile(&mut flood, 0.99),
    );
}

fn fair(full_share_penalty_tasks: u32, oldest_interval_starts: u32) -> Box<dyn JobQueue> {
    Box::new(FairQueue::new(FairSettings {
        full_share_penalty_tasks,
        oldest_interval_starts,
    }))
}

fn main() {
    for slots in POOLS {
        print_pool(slots);
    }
}

fn print_pool(slots: usize) {
    println!(
        "\nseed {SEED}, {slots} slots, {JOBS} jobs, {TEAMS} teams; response time relative to the ideal"
    );
    for scenario in SCENARIOS {
        let arrivals = arrivals(slots, scenario);
        println!("\n{}, {} jobs\n", scenario.name, arrivals.len());
        println!(
            "| order | single p50 | single p99 | single p99.9 | jobs p99 | >200 p99 | >200 max | flood p99 |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
        let mut rows: Vec<(String, Box<dyn JobQueue>)> = vec![
            ("first in first out".into(), Box::new(OrderedQueue::fifo())),
            (
                "earliest deadline".into(),
                Box::new(OrderedQueue::earliest_deadline()),
            ),
        ];
        for penalty_tasks in [0, 1_000, 4_000, 16_000] {
            rows.push((
                format!("fewest remaining, penalty {penalty_tasks}, oldest 1 in 16"),
                fair(penalty_tasks, 16),
            ));
        }
        for oldest_interval_starts in [0, 4, 8] {
            rows.push((
                format!("fewest remaining, penalty 4000, oldest 1 in {oldest_interval_starts}"),
                fair(4_000, oldest_interval_starts),
            ));
        }
        for (name, mut queue) in rows {
            let relative_responses = relative_responses(slots, &arrivals, queue.as_mut());
            print_row(&name, &arrivals, &relative_responses);
        }
    }
}
