//! A simulated site with its callers and faults.

use std::time::Duration;

use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_lib::time::Timestamp;
use almondhead_testsupport::run_site::MessageFault;
use almondhead_testsupport::run_site::OrderFault;
use almondhead_testsupport::run_site::PathLoss;
use almondhead_testsupport::run_site::RunSite;
use almondhead_testsupport::run_site::SitePlan;
use almondhead_testsupport::run_site::UpstreamFault;
use almondhead_testsupport::run_site::run_job;

use crate::fault::Fault;

/// How long a scenario submits new jobs and begins faults, in milliseconds.
const ACTIVE_MS: u64 = 8_000;

/// The time between two updates of callers and faults, in milliseconds.
const STEP_MS: u64 = 5;

/// How long callers wait for their answers, in milliseconds.
pub(crate) const SHORT_WAIT_MS: u64 = 1_500;
pub(crate) const LONG_WAIT_MS: u64 = 6_000;
const LONG_TASKS_WAIT_MS: u64 = 12_000;

/// The capacities of instances that delegate jobs: the second one of each data centre delegates most of its
/// jobs.
pub(crate) const UNEQUAL_CAPACITIES: [u32; 2] = [900, 100];

/// How long after a lost answer a caller submits its job again, in milliseconds.
const RESUBMIT_DELAY_MS: u64 = 1_300;

/// The maximum number of times that a caller submits its job.
const MAX_ATTEMPTS: u32 = 3;

/// A job and the caller who waits for it.
struct Caller {
    id: String,
    tasks: u32,
    work_ms: u64,
    attempts: u32,
    home: usize,
    /// The incarnation of the home that the job was last submitted to.
    home_incarnation: u64,
    submitted_at_ms: u64,
    resubmits_at_ms: Option<u64>,
    is_finished: bool,
}

/// A simulated site with its callers and faults.
pub(crate) struct Scenario {
    pub(crate) site: RunSite,
    callers: Vec<Caller>,
    faults: Vec<(u64, Fault)>,
    /// How often each instance has started.
    incarnations: Vec<u64>,
    down: Vec<bool>,
    next_job: u64,
    caller_wait_ms: u64,
    /// The run times of tasks at usual speed, of which each job has one, in milliseconds.
    work_choices_ms: &'static [u64],
    /// The mean number of steps between two new callers.
    caller_interval_steps: usize,
    /// Whether half of the faults end a process: a kill or a planned stop.
    has_frequent_restarts: bool,
    /// Whether messages between instances are lost, doubled or delayed one by one.
    has_message_faults: bool,
    /// Whether instances are slow and callers' connections end, in place of other faults.
    has_slow_instances: bool,
    /// The mean number of steps between the begins of two faults.
    fault_interval_steps: usize,
    /// Until when each instance last read nothing or read late, in milliseconds; the maximum while it
    /// does.
    late_until_ms: Vec<u64>,
    /// The callers whose running instance gave them no answer in time.
    pub(crate) unanswered: Vec<String>,
}

const DATA_CENTRES: u32 = 3;
const INSTANCES: u32 = 2;

impl Scenario {
    pub(crate) fn start(seed: u64, caller_wait_ms: u64, capacities: &[u32]) -> Self {
        let mut site = RunSite::start(&SitePlan {
            seed,
            processor_millicores: capacities.to_vec(),
            ..SitePlan::new(DATA_CENTRES, INSTANCES, 4)
        });
        site.set_caller_wait(Some(Duration::from_millis(caller_wait_ms)));
        site.run_ms(1_000);
        let nodes = site.node_count();
        Scenario {
            site,
            callers: Vec::new(),
            faults: Vec::new(),
            incarnations: vec![1; nodes],
            down: vec![false; nodes],
            next_job: 1,
            caller_wait_ms,
            work_choices_ms: match caller_wait_ms {
                SHORT_WAIT_MS => &[60, 200, 500, 900],
                // Longer than a lease.
                _ => &[60, 500, 1_600],
            },
            caller_interval_steps: 3,
            has_frequent_restarts: false,
            has_message_faults: !capacities.is_empty(),
            has_slow_instances: false,
            fault_interval_steps: 40,
            late_until_ms: vec![0; nodes],
            unanswered: Vec::new(),
        }
    }

    /// Instances that are slow, and callers' connections that end, in place of other faults.
    pub(crate) fn with_slow_instances(seed: u64) -> Self {
        Scenario {
            has_slow_instances: true,
            fault_interval_steps: 10,
            ..Scenario::start(seed, LONG_WAIT_MS, &[])
        }
    }

    /// Few jobs whose tasks outlast leases and callers' pauses, beside instances that often restart.
    pub(crate) fn with_long_tasks(seed: u64, capacities: &[u32]) -> Self {
        Scenario {
            work_choices_ms: &[1_600, 3_000, 6_000],
            caller_interval_steps: 40,
            has_frequent_restarts: true,
            ..Scenario::start(seed, LONG_TASKS_WAIT_MS, capacities)
        }
    }

    fn random_below(&mut self, bound: usize) -> usize {
        usize::try_from(self.site.random_below(bound as u64)).unwrap_or_default()
    }

    pub(crate) fn run(&mut self) {
        let end_ms = self.site.now_ms() + ACTIVE_MS;
        while self.site.now_ms() < end_ms {
            if self.random_below(self.caller_interval_steps) == 0 {
                self.add_caller();
            }
            if self.random_below(self.fault_interval_steps) == 0 {
                self.begin_fault();
            }
            self.end_faults(false);
            self.update_callers();
            self.site.run_ms(STEP_MS);
        }
        self.end_faults(true);
        for _ in 0..((self.caller_wait_ms + 3_500) / STEP_MS) {
            self.update_callers();
            self.site.run_ms(STEP_MS);
        }
    }

    fn add_caller(&mut self) {
        let work_ms = self.work_choices_ms[self.random_below(self.work_choices_ms.len())];
        let tasks = 1 + self.site.random_below(4) as u32;
        let caller = Caller {
            id: format!("{:016x}", self.next_job),
            tasks,
            work_ms,
            attempts: 0,
            home: 0,
            home_incarnation: 0,
            submitted_at_ms: 0,
            resubmits_at_ms: Some(self.site.now_ms()),
            is_finished: false,
        };
        self.next_job += 1;
        self.callers.push(caller);
    }

    fn update_callers(&mut self) {
        for index in 0..self.callers.len() {
            if !self.callers[index].is_finished {
                self.update_caller(index);
            }
        }
    }

    fn update_caller(&mut self, index: usize) {
        let now_ms = self.site.now_ms();
        if let Some(at_ms) = self.callers[index].resubmits_at_ms {
            if at_ms <= now_ms {
                self.submit_attempt(index);
            }
            return;
        }
        let drops_connection = self.random_below(400) == 0;
        let caller = &mut self.callers[index];
        let is_home_down =
            self.incarnations[caller.home] != caller.home_incarnation || self.down[caller.home];
        let waits_too_long = now_ms >= caller.submitted_at_ms + self.caller_wait_ms;
        let asked_at = Timestamp::ZERO + Duration::from_millis(caller.submitted_at_ms);
        let answer = self.site.answer(&caller.id);
        match answer.filter(|answer| answer.asked_at >= asked_at) {
            Some(answer) => match answer.answer {
                RunAnswer::GivenUp(_) => caller.resubmits_at_ms = Some(now_ms + RESUBMIT_DELAY_MS),
                _ => caller.is_finished = true,
            },
            None if is_home_down => caller.resubmits_at_ms = Some(now_ms + RESUBMIT_DELAY_MS),
            None if drops_connection || waits_too_long => {
                let is_served = self.late_until_ms[caller.home] < caller.submitted_at_ms;
                if waits_too_long && is_served {
                    self.unanswered.push(caller.id.clone());
                }
                let id = caller.id.clone();
                caller.resubmits_at_ms = Some(now_ms + RESUBMIT_DELAY_MS);
                self.site.drop_caller(&id);
            }
            None => {}
        }
    }

    fn submit_attempt(&mut self, index: usize) {
        if self.callers[index].attempts >= MAX_ATTEMPTS {
            self.callers[index].is_finished = true;
            return;
        }
        let home = self.random_below(self.down.len());
        if self.down[home] {
            return;
        }
        let caller = &mut self.callers[index];
        caller.attempts += 1;
        caller.home = home;
        caller.home_incarnation = self.incarnations[home];
        caller.submitted_at_ms = self.site.now_ms();
        caller.resubmits_at_ms = None;
        let job = run_job(caller.tasks, 6_800, caller.work_ms);
        self.site.submit(home, "look", &caller.id, &job);
    }

    fn random_fault(&mut self) -> Fault {
        let node = self.random_below(self.down.len());
        let other = (node + 1 + self.random_below(self.down.len() - 1)) % self.down.len();
        let upstream = self.random_below(self.site.upstream_count());
        let loss_choices = [PathLoss::Orders, PathLoss::Answers];
        let loss = loss_choices[self.random_below(loss_choices.len())];
        let orders = [(10, 0), (0, 20), (10, 10), (50, 0)];
        let (late_percent, unanswered_percent) = orders[self.random_below(orders.len())];
        if self.has_frequent_restarts && self.random_below(2) == 0 {
            return match self.random_below(2) {
                0 => Fault::Kill(node),
                _ => Fault::Stop(node),
            };
        }
        let faults = [
            Fault::Kill(node),
            Fault::Stop(node),
            Fault::Freeze(node),
            Fault::Cut(node, other),
            Fault::CutOneWay(node, other),
            Fault::HeldMessages(node, other),
            Fault::DataCentreCut(self.random_below(DATA_CENTRES as usize)),
            Fault::StoreCut(node),
            Fault::StoreDown,
            Fault::UnresponsiveUpstream(upstream),
            Fault::UpstreamRestart(upstream),
            Fault::UpstreamPath(node, upstream, loss),
            Fault::Orders(OrderFault {
                late_percent,
                unanswered_percent,
            }),
        ];
        faults[self.random_below(faults.len())]
    }

    /// A fault of an instance that is slow, or the end of its callers' connections.
    fn random_slowness(&mut self) -> Fault {
        let node = self.random_below(self.down.len());
        let late = (0..self.down.len()).filter(|at| self.late_until_ms[*at] == u64::MAX);
        let late: Vec<usize> = late.collect();
        let lag_ms = [150, 300, 700, 1_500][self.random_below(4)];
        match self.random_below(4) {
            0 => Fault::Freeze(node),
            1 if !late.is_empty() => Fault::Reset(late[self.random_below(late.len())]),
            _ => Fault::Slow(node, Duration::from_millis(lag_ms)),
        }
    }

    fn random_message_fault(&mut self) -> Fault {
        let faults = [(5, 0, 0), (0, 20, 0), (0, 0, 10), (2, 10, 5), (30, 30, 0)];
        let (lost_percent, doubled_percent, late_percent) = faults[self.random_below(faults.len())];
        Fault::Messages(MessageFault {
            lost_percent,
            doubled_percent,
            late_percent,
        })
    }

    fn begin_fault(&mut self) {
        let fault = match self.has_message_faults && self.random_below(4) == 0 {
            true => self.random_message_fault(),
            false if self.has_slow_instances => self.random_slowness(),
            false => self.random_fault(),
        };
        if self.faults.iter().any(|(_, other)| fault.excludes(*other)) {
            return;
        }
        let duration_ms = [30, 80, 300, 900, 2_000][self.random_below(5)];
        self.faults.push((self.site.now_ms() + duration_ms, fault));
        self.set_fault(fault, true);
    }

    fn end_faults(&mut self, all: bool) {
        let now_ms = self.site.now_ms();
        let is_due = |entry: &mut (u64, Fault)| all || entry.0 <= now_ms;
        let due: Vec<(u64, Fault)> = self.faults.extract_if(.., is_due).collect();
        for (_, fault) in due {
            self.set_fault(fault, false);
        }
    }

    fn set_fault(&mut self, fault: Fault, is_on: bool) {
        match fault {
            Fault::Kill(node) => self.set_down(node, is_on),
            Fault::Stop(node) => match is_on {
                true => self.site.stop_node(node),
                // The process exits when the fault ends, even if jobs are still open.
                false => {
                    self.set_down(node, true);
                    self.set_down(node, false);
                }
            },
            Fault::Freeze(node) => {
                self.set_late(node, is_on);
                match is_on {
                    true => self.site.freeze(node),
                    false => self.site.thaw(node),
                }
            }
            Fault::Slow(node, lag) => {
                self.set_late(node, is_on);
                let lag = if is_on { lag } else { Duration::ZERO };
                self.site.set_input_lag(node, lag);
            }
            Fault::Reset(node) if is_on => self.reset_callers(node),
            Fault::Reset(_) => {}
            Fault::Cut(one, other) => self.site.cut(one, other, is_on),
            Fault::CutOneWay(from, to) => self.site.cut_one_way(from, to, is_on),
            Fault::HeldMessages(from, to) => self.site.hold_messages(from, to, is_on),
            Fault::DataCentreCut(data_centre) => self.cut_data_centre(data_centre, is_on),
            Fault::StoreCut(node) => self.site.cut_from_store(node, is_on),
            Fault::StoreDown => self.site.set_store_down(is_on),
            Fault::UnresponsiveUpstream(upstream) => match is_on {
                true => self
                    .site
                    .set_upstream_fault(upstream, Some(UpstreamFault::Down)),
                false => self.site.restart_upstream(upstream),
            },
            Fault::UpstreamRestart(upstream) if is_on => self.site.restart_upstream(upstream),
            Fault::UpstreamRestart(_) => {}
            Fault::UpstreamPath(node, upstream, loss) => {
                let loss = is_on.then_some(loss);
                self.site.set_upstream_path(node, upstream, loss);
            }
            Fault::Messages(messages) => self.site.set_message_fault(match is_on {
                true => messages,
                false => MessageFault::default(),
            }),
            Fault::Orders(orders) => {
                let orders = match is_on {
                    true => orders,
                    false => OrderFault::default(),
                };
                self.site.set_order_fault(orders);
            }
        }
    }

    /// Records that an instance begins to read late, or no longer does so because of one fault.
    fn set_late(&mut self, node: usize, is_on: bool) {
        let mut faults = self.faults.iter();
        let is_late = faults.any(|(_, fault)| fault.delays_inputs_of(node));
        self.late_until_ms[node] = match is_on || is_late {
            true => u64::MAX,
            false => self.site.now_ms(),
        };
    }

    /// Ends the connections of the callers that wait at an instance.
    fn reset_callers(&mut self, node: usize) {
        let resubmits_at_ms = self.site.now_ms() + RESUBMIT_DELAY_MS;
        for caller in &mut self.callers {
            let waits = !caller.is_finished && caller.resubmits_at_ms.is_none();
            if waits && caller.home == node {
                caller.resubmits_at_ms = Some(resubmits_at_ms);
                self.site.drop_caller(&caller.id);
            }
        }
    }

    fn set_down(&mut self, node: usize, is_down: bool) {
        self.down[node] = is_down;
        match is_down {
            true => self.site.kill(node),
            false => {
                self.incarnations[node] += 1;
                self.site.start_node(node);
            }
        }
    }

    fn cut_data_centre(&mut self, data_centre: usize, is_cut: bool) {
        let instances = INSTANCES as usize;
        let inside = data_centre * instances..(data_centre + 1) * instances;
        for node in inside.clone() {
            for other in (0..self.down.len()).filter(|other| !inside.contains(other)) {
                self.site.cut(node, other, is_cut);
            }
            self.site.cut_from_store(node, is_cut);
        }
        let upstreams_per_data_centre = self.site.upstream_count() / DATA_CENTRES as usize;
        let loss = is_cut.then_some(PathLoss::Orders);
        for upstream in 0..self.site.upstream_count() {
            for node in 0..self.down.len() {
                if inside.contains(&node) != (upstream / upstreams_per_data_centre == data_centre) {
                    self.site.set_upstream_path(node, upstream, loss);
                }
            }
        }
    }
}
