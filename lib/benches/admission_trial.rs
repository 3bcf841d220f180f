//! Simulates admission at one entry instance with its own slots, under a burst of three times their
//! capacity.
//!
//! Refused callers try again after the stated time, with the same time limit. The rows differ only
//! in queue order and admission: arrivals, sizes and run times are drawn from one seed. Goodput is
//! the run time of the tasks whose job finished in time, as a share of the capacity.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use almondhead_lib::admission::Admission;
use almondhead_lib::admission::AdmissionLoad;
use almondhead_lib::admission::admission_for;
use almondhead_lib::keys::JobKey;
use almondhead_lib::keys::TeamKey;
use almondhead_lib::policies::AdmissionPolicy;
use almondhead_lib::policies::QueuePolicy;
use almondhead_lib::queue::JobQueue;
use almondhead_lib::queue::QueueBacklog;
use almondhead_lib::queue::QueueEntry;
use almondhead_lib::queue::queue_for;
use almondhead_lib::run_estimate::RunEstimate;
use almondhead_lib::time::Timestamp;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slotmap::SlotMap;

mod trial_load;

const SEED: u64 = 20_261_203;
const SLOTS: u32 = 56;
const BASE_LOAD: f64 = 0.8;
const BURST_LOAD: f64 = 3.0;
/// The start of the burst.
const BURST_FROM_US: u64 = 30_000_000;
const BURST_UNTIL_US: u64 = 130_000_000;
const END_US: u64 = 180_000_000;
/// The approximate mean work of a job: its mean number of tasks times their mean run time.
const MEAN_JOB_US: f64 = 13.9 * 380_000.0;
/// The number of refused tries after which a caller gives up.
const MAX_TRIES: u32 = 20;

/// The queued work that admission assumes to run before a new job.
#[derive(Clone, Copy, Debug)]
enum WorkAhead {
    /// All queued work.
    All,
    /// The work of the queued jobs that are ordered before it.
    Before,
    /// That work, and the work of later jobs that overtake it.
    Backlog,
}

/// The variant of queue and admission of one row.
#[derive(Clone, Copy, Debug)]
struct Row {
    queue: QueuePolicy,
    admission: AdmissionPolicy,
    ahead: WorkAhead,
    max_queued_tasks: u32,
}

/// A caller's request for a job.
#[derive(Debug)]
struct Request {
    arrives_us: u64,
    /// The run time of each task.
    runs_us: Vec<u64>,
    tries: u32,
}

impl Request {
    fn tasks(&self) -> u32 {
        self.runs_us.len() as u32
    }

    fn is_in_burst(&self) -> bool {
        (BURST_FROM_US..BURST_UNTIL_US).contains(&self.arrives_us)
    }
}

/// An admitted job that has not ended.
#[derive(Debug)]
struct OpenJob {
    /// The index of its request.
    request: usize,
    deadline: Timestamp,
    /// The number of tasks started.
    started: usize,
    /// The number of tasks ended.
    ended: usize,
}

/// Counts of the jobs that arrived in the burst, and the run time spent during it.
#[derive(Debug, Default)]
struct Tally {
    jobs: u32,
    first_try: u32,
    later_try: u32,
    given_up: u32,
    refusals: u32,
    second_refusals: u32,
    single_task_jobs: u32,
    single_task_first_try: u32,
    finished: u32,
    late: u32,
    good_us: u64,
    wasted_us: u64,
}

/// The state of the simulation of one row.
struct Trial {
    now: Timestamp,
    deadline: Duration,
    row: Row,
    requests: Vec<Request>,
    /// The arrivals to come: time in microseconds and index of the request.
    arrivals: BinaryHeap<Reverse<(u64, usize)>>,
    /// The running tasks: end and run time in microseconds, and the job.
    running: BinaryHeap<Reverse<(u64, u64, JobKey)>>,
    jobs: SlotMap<JobKey, OpenJob>,
    team: TeamKey,
    queue: Box<dyn JobQueue>,
    admission: Box<dyn Admission>,
    estimate: RunEstimate,
    rng: StdRng,
    tally: Tally,
}

fn requests() -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut requests = Vec::new();
    let mut arrives_us = 0;
    while arrives_us < END_US {
        let load = match arrives_us {
            BURST_FROM_US..BURST_UNTIL_US => BURST_LOAD,
            _ => BASE_LOAD,
        };
        arrives_us += trial_load::gap_us(&mut rng, MEAN_JOB_US / f64::from(SLOTS) / load);
        requests.push(Request {
            arrives_us,
            runs_us: trial_load::job_runs_us(&mut rng),
            tries: 0,
        });
    }
    requests
}

impl Trial {
    fn new(row: Row, deadline: Duration) -> Self {
        let requests = requests();
        let arrivals = requests.iter().enumerate();
        Trial {
            now: Timestamp::ZERO,
            deadline,
            row,
            arrivals: arrivals
                .map(|(index, request)| Reverse((request.arrives_us, index)))
                .collect(),
            requests,
            running: BinaryHeap::new(),
            jobs: SlotMap::with_key(),
            team: SlotMap::with_key().insert(()),
            queue: queue_for(row.queue),
            admission: admission_for(row.admission),
            estimate: RunEstimate::default(),
            rng: StdRng::seed_from_u64(SEED + 1),
            tally: Tally::default(),
        }
    }

    fn run(mut self) -> Tally {
        loop {
            let arrival_us = self.arrivals.peek().map_or(u64::MAX, |next| next.0.0);
            let end_us = self.running.peek().map_or(u64::MAX, |next| next.0.0);
            self.now = Timestamp::from_us(arrival_us.min(end_us));
            self.expire();
            if arrival_us <= end_us {
                let Some(Reverse((_, index))) = self.arrivals.pop() else {
                    return self.tally;
                };
                self.handle_arrival(index);
            } else if let Some(Reverse((_, run_us, job))) = self.running.pop() {
                self.end(job, run_us);
            }
            self.start();
        }
    }

    fn load(&mut self, tasks: u32) -> AdmissionLoad {
        let backlog = self.queue.backlog(self.now, tasks);
        let all = self.queue.backlog(self.now, u32::MAX).tasks_ahead;
        let backlog = match self.row.ahead {
            WorkAhead::All => QueueBacklog {
                tasks_ahead: all,
                overtaking_slots: 0,
            },
            WorkAhead::Before => QueueBacklog {
                overtaking_slots: 0,
                ..backlog
            },
            WorkAhead::Backlog => backlog,
        };
        let run_estimate = self.estimate.reading(None);
        AdmissionLoad {
            tasks,
            queued_tasks: all,
            queued_work: run_estimate.mean * backlog.tasks_ahead,
            running: self.running.len() as u32,
            slots: SLOTS,
            overtaking_slots: backlog.overtaking_slots,
            run_estimate,
            time_left: self.deadline,
            max_queued_tasks: self.row.max_queued_tasks,
            jitter_seed: self.rng.random(),
        }
    }

    fn handle_arrival(&mut self, index: usize) {
        let tasks = self.requests[index].tasks();
        let load = self.load(tasks);
        let answer = self.admission.admit(&load);
        let request = &mut self.requests[index];
        request.tries += 1;
        let is_first = request.tries == 1;
        let counted = u32::from(request.is_in_burst());
        let first = u32::from(is_first) * counted;
        let single = u32::from(tasks == 1) * first;
        self.tally.jobs += first;
        self.tally.single_task_jobs += single;
        let Err(refusal) = answer else {
            self.tally.first_try += first;
            self.tally.later_try += counted - first;
            self.tally.single_task_first_try += single;
            self.admit(index);
            return;
        };
        self.tally.refusals += counted;
        self.tally.second_refusals += counted * u32::from(request.tries == 2);
        if request.tries == MAX_TRIES {
            self.tally.given_up += counted;
            return;
        }
        let back = self.now + refusal.retry_after;
        self.arrivals.push(Reverse((back.as_us(), index)));
    }

    fn admit(&mut self, request: usize) {
        let deadline = self.now + self.deadline;
        let job = self.jobs.insert(OpenJob {
            request,
            deadline,
            started: 0,
            ended: 0,
        });
        let entry = QueueEntry {
            job,
            team: self.team,
            weight: 1,
            remaining: self.requests[request].tasks(),
            deadline,
        };
        self.queue.insert(self.now, entry);
    }

    fn end(&mut self, key: JobKey, run_us: u64) {
        self.estimate.record(Duration::from_micros(run_us));
        let Some(job) = self.jobs.get_mut(key) else {
            self.count_waste(run_us);
            return;
        };
        job.ended += 1;
        let request = &self.requests[job.request];
        let remaining = request.runs_us.len() - job.ended;
        self.queue.update(key, remaining as u32);
        if remaining > 0 {
            return;
        }
        self.tally.finished += u32::from(request.is_in_burst());
        if self.is_burst() {
            self.tally.good_us += request.runs_us.iter().sum::<u64>();
        }
        self.jobs.remove(key);
    }

    /// Ends the jobs whose deadline has passed; the run time of their tasks counts as wasted.
    fn expire(&mut self) {
        let expired: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.deadline < self.now)
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.queue.remove(key);
            let job = self.jobs.remove(key).expect("the job is open");
            let request = &self.requests[job.request];
            let ended_us = request.runs_us[..job.ended].iter().sum();
            self.tally.late += u32::from(request.is_in_burst());
            self.count_waste(ended_us);
        }
    }

    fn start(&mut self) {
        while self.running.len() < SLOTS as usize {
            let Some(key) = self.queue.next(self.now, &mut |_| true) else {
                return;
            };
            let job = &mut self.jobs[key];
            let runs_us = &self.requests[job.request].runs_us;
            let run_us = runs_us[job.started];
            job.started += 1;
            let end = self.now + Duration::from_micros(run_us);
            self.running.push(Reverse((end.as_us(), run_us, key)));
            if job.started == runs_us.len() {
                self.queue.remove(key);
            }
            let cost = self.estimate.reading(None).mean;
            self.queue.charge(self.team, 1, cost);
        }
    }

    fn count_waste(&mut self, run_us: u64) {
        if self.is_burst() {
            self.tally.wasted_us += run_us;
        }
    }

    fn is_burst(&self) -> bool {
        (BURST_FROM_US..BURST_UNTIL_US).contains(&self.now.as_us())
    }
}

fn print_row(row: Row, deadline: Duration) {
    let tally = Trial::new(row, deadline).run();
    let capacity_us = (BURST_UNTIL_US - BURST_FROM_US) as f64 * f64::from(SLOTS);
    let first_refusals = tally.jobs - tally.first_try;
    println!(
        "| {:?}, {:?}, {:?}, {} | {} | {:.2} | {:.2} | {:.2} | {:.2} | {} | {} | {} | {:.3} | {:.3} |",
        row.queue,
        row.admission,
        row.ahead,
        row.max_queued_tasks,
        tally.jobs,
        f64::from(tally.first_try) / f64::from(tally.jobs),
        f64::from(tally.single_task_first_try) / f64::from(tally.single_task_jobs),
        1.0 - f64::from(tally.second_refusals) / f64::from(first_refusals.max(1)),
        f64::from(tally.refusals) / f64::from(tally.jobs),
        tally.given_up,
        tally.finished,
        tally.late,
        tally.good_us as f64 / capacity_us,
        tally.wasted_us as f64 / capacity_us,
    );
}

fn rows() -> Vec<Row> {
    let row = |queue, admission, ahead, max_queued_tasks| Row {
        queue,
        admission,
        ahead,
        max_queued_tasks,
    };
    let fair = QueuePolicy::FairFewestRemaining;
    let finish = AdmissionPolicy::EstimatedFinish;
    let length = AdmissionPolicy::QueueLength;
    vec![
        row(QueuePolicy::Fifo, length, WorkAhead::All, 20_000),
        row(QueuePolicy::Fifo, length, WorkAhead::All, 500),
        row(QueuePolicy::Fifo, finish, WorkAhead::All, 20_000),
        row(fair, length, WorkAhead::All, 20_000),
        row(fair, length, WorkAhead::All, 500),
        row(fair, finish, WorkAhead::All, 20_000),
        row(fair, finish, WorkAhead::Before, 20_000),
        row(fair, finish, WorkAhead::Backlog, 20_000),
    ]
}

fn main() {
    for deadline_s in [5, 10, 20] {
        println!(
            "\nseed {SEED}, {SLOTS} slots, load {BASE_LOAD} and {BURST_LOAD} for {} s, deadline {deadline_s} s\n",
            (BURST_UNTIL_US - BURST_FROM_US) / 1_000_000,
        );
        println!(
            "| order, admission, work ahead, queue bound | jobs | admitted at once | singles at once | second try admitted | refusals a job | given up | done | late | goodput | wasted |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for row in rows() {
            print_row(row, Duration::from_secs(deadline_s));
        }
    }
}
