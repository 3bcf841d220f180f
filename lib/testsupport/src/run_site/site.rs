//! The simulated site: its event queue, what tests can do to it and what they can observe.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::RequestId;
use almondhead_lib::runs::event::RequestKind;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::intended_state::IntendedState;
use almondhead_lib::runs::intended_state::JobQueueSettings;
use almondhead_lib::runs::intended_state::RequestLimits;
use almondhead_lib::runs::job_spec::JobSpec;
use almondhead_lib::runs::listed_upstream::ListedUpstream;
use almondhead_lib::runs::listed_upstream::ListingChange;
use almondhead_lib::runs::listed_upstream::ListingRead;
use almondhead_lib::runs::resources::Resources;
use almondhead_lib::runs::roster::Member;
use almondhead_lib::runs::roster::Roster;
use almondhead_lib::runs::run_action::RunAction;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_lib::runs::run_counts::RunCounts;
use almondhead_lib::runs::run_dispatcher::IntendedDecoder;
use almondhead_lib::runs::run_id::OrderId;
use almondhead_lib::runs::run_id::RunId;
use almondhead_lib::runs::run_message::TimedRunMessage;
use almondhead_lib::runs::run_order::OrderAnswer;
use almondhead_lib::runs::run_order::OrderRefusal;
use almondhead_lib::runs::run_order::RunOrder;
use almondhead_lib::time::Timestamp;
use bytes::Bytes;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::job::run_queue;
use super::node::QueueNamesDecoder;
use super::node::SimNode;
use super::node::work_service;
use super::upstream::SimUpstream;
use super::upstream::StartRequest;
use super::upstream::UpstreamFault;
use super::upstream::WaitingRenew;

/// The size, the queues and the random seed of a simulated site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// The number of data centres.
    pub data_centres: u32,
    /// The number of instances in each data centre.
    pub instances: u32,
    /// The number of upstreams in each data centre.
    pub upstreams: u32,
    /// The processor capacity of each upstream, in thousandths of a core.
    pub cpu_millicores: u32,
    /// The speeds of the upstreams, used in turn; a task's run time is divided by the speed.
    pub speeds: Vec<f64>,
    /// The job queues of the intended state.
    pub queues: Vec<JobQueueSettings>,
    /// The seed of the random numbers.
    pub seed: u64,
}

impl SitePlan {
    /// Returns a plan with this many instances and upstreams in each data centre, where all
    /// upstreams are alike, and with the single queue `look`.
    pub fn new(data_centres: u32, instances: u32, upstreams: u32) -> Self {
        SitePlan {
            data_centres,
            instances,
            upstreams,
            cpu_millicores: 16_000,
            speeds: vec![1.0],
            queues: vec![run_queue("look", 0, 3)],
            seed: 1,
        }
    }
}

/// The faults of orders from instances to upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderFault {
    /// The percentage of orders that are executed seconds late and whose answer is lost. The
    /// upstream's process or a connection to it holds such an order, so that it is lost when the
    /// upstream restarts.
    pub late_percent: u32,
    /// The percentage of orders that are executed without delay but whose answer is lost.
    pub unanswered_percent: u32,
}

/// The answer to a job, with the times of request and answer.
#[derive(Clone, Debug)]
pub struct SiteAnswer {
    /// When the caller sent the request.
    pub asked_at: Timestamp,
    /// When the instance answered.
    pub answered_at: Timestamp,
    /// The answer.
    pub answer: RunAnswer,
}

/// What is lost on a broken path between an instance and an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathLoss {
    /// Orders do not arrive.
    Orders,
    /// Orders are executed, but their answers do not arrive.
    Answers,
    /// The network resets open connections and refuses new ones.
    Refused,
}

/// A peer message that is held back on its way to the receiver.
struct HeldMessage {
    sender: PeerIdentity,
    message: Box<TimedRunMessage>,
}

/// An event of the simulation that is due at a certain time.
enum ScheduledEvent {
    /// Delivers an event to the dispatcher of a node, unless the incarnation has changed.
    Event {
        node: usize,
        incarnation: u64,
        event: RunEvent,
    },
    /// Wakes the dispatcher of a node at the time that it asked for.
    Wake(usize),
    /// Executes an order at an upstream.
    Order {
        node: usize,
        incarnation: u64,
        order: OrderId,
        upstream: usize,
        run_order: RunOrder,
        is_answered: bool,
        /// The incarnation of the upstream that holds the order and executes it late; none for an
        /// order that is executed without delay.
        held_by: Option<u64>,
    },
    /// Reports an order as lost if it has not been answered by now.
    OrderTimeout {
        node: usize,
        incarnation: u64,
        order: OrderId,
    },
    /// Ends the runs of an upstream that are over.
    Advance(usize),
    /// Answers the renew orders at an upstream whose wait is over.
    RenewWaitOver(usize),
    /// Lets a node write its heartbeat and read the roster and the list of upstreams.
    ReadStore(usize),
    /// Crashes the upstream if the run of a deadly task is still in progress there.
    Crash { upstream: usize, run: RunId },
    /// Starts a crashed upstream again.
    Restart(usize),
}

/// A simulated site in virtual time.
///
/// Nodes (instances) and upstreams are referred to by their index, in the order of their data
/// centres.
pub struct RunSite {
    now: Timestamp,
    next_event_number: u64,
    /// The events to come, by due time and then by order of scheduling.
    scheduled_events: BTreeMap<(Timestamp, u64), ScheduledEvent>,
    nodes: Vec<SimNode>,
    upstreams: Vec<SimUpstream>,
    intended: Arc<IntendedState>,
    store_version: u64,
    roster: IndexMap<Arc<str>, Member>,
    /// The ids of the upstreams whose current listing each node has read.
    delivered_listings: Vec<IndexSet<Arc<str>>>,
    /// The (sender, receiver) pairs of nodes whose messages are lost.
    cut_pairs: IndexSet<(usize, usize)>,
    /// The messages held back, by (sender, receiver); a pair without an entry is not held back.
    held_messages: IndexMap<(usize, usize), Vec<HeldMessage>>,
    /// The broken paths, by (node, upstream).
    upstream_paths: IndexMap<(usize, usize), PathLoss>,
    is_store_down: bool,
    order_fault: OrderFault,
    caller_wait: Option<Duration>,
    rng_state: u64,
    /// The submitted jobs with the run time of their tasks at speed 1, by the job's id.
    jobs: IndexMap<String, (Arc<JobSpec>, Duration)>,
    /// The job's id and the time of each submission, by node and request.
    requests: IndexMap<(usize, RequestId), (String, Timestamp)>,
    next_request: u64,
    answers: IndexMap<String, SiteAnswer>,
    /// The orders without an answer, by node, its incarnation and the order's id.
    pending_orders: IndexSet<(usize, u64, OrderId)>,
    /// The ids of the jobs of which at least one run has started.
    started_jobs: IndexSet<String>,
    /// The number of submissions of each job.
    submissions: IndexMap<String, u32>,
    /// The number of submissions of each job that were answered as not run.
    not_run_answers: IndexMap<String, u32>,
    /// The ids of the jobs whose first task crashes upstreams.
    deadly_jobs: IndexSet<String>,
    /// The number of crashes by deadly job.
    crashes: IndexMap<String, usize>,
    violations: Vec<String>,
    /// The number of orders sent so far.
    orders: u64,
    /// The number of peer messages sent so far.
    messages: u64,
}

/// The one-way delay of a message between instances.
const PEER_DELAY: Duration = Duration::from_micros(900);
/// The one-way delay between an instance and an upstream.
const ORDER_DELAY: Duration = Duration::from_micros(400);
/// How long after its start a deadly task crashes its upstream.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// How long an upstream stays down that a deadly task has crashed.
const CRASH_TIME: Duration = Duration::from_secs(3);
/// How long an instance waits for the answer to a start or stop order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(60);
/// How long an instance waits for the answer to a renew order beyond the wait that the order
/// states.
const RENEW_GRACE: Duration = Duration::from_millis(80);
/// How long after the start of a process its connections to and from other instances are
/// established.
const CONNECT_DELAY: Duration = Duration::from_millis(20);
/// How long after it was thawed an instance reads that callers have left: each connection is polled
/// by a task of its own.
const DISCONNECT_READ_DELAY: Duration = Duration::from_millis(2);
/// How often an instance reads the roster and the list of upstreams. The real process reads the
/// roster at this interval, and the list every 500 ms.
const STORE_READ_INTERVAL: Duration = Duration::from_millis(550);

impl RunSite {
    /// Returns a site whose instances have all been started.
    ///
    /// If the environment variable `RUN_SITE_LOG` is set, the dispatchers' logs are printed,
    /// filtered by it.
    pub fn start(plan: &SitePlan) -> Self {
        init_logging();
        let services = vec![work_service()];
        let queues = plan.queues.iter().cloned().map(Arc::new).collect();
        let mut site = RunSite {
            now: Timestamp::from_us(1_000),
            next_event_number: 0,
            scheduled_events: BTreeMap::new(),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            intended: Arc::new(IntendedState {
                version: 1,
                queues,
                services,
                limits: RequestLimits::default(),
            }),
            store_version: 10,
            roster: IndexMap::new(),
            delivered_listings: Vec::new(),
            cut_pairs: IndexSet::new(),
            held_messages: IndexMap::new(),
            upstream_paths: IndexMap::new(),
            is_store_down: false,
            order_fault: OrderFault::default(),
            caller_wait: Some(Duration::from_millis(1_500)),
            rng_state: plan.seed.wrapping_mul(2).wrapping_add(1),
            jobs: IndexMap::new(),
            requests: IndexMap::new(),
            next_request: 1,
            answers: IndexMap::new(),
            pending_orders: IndexSet::new(),
            started_jobs: IndexSet::new(),
            submissions: IndexMap::new(),
            not_run_answers: IndexMap::new(),
            deadly_jobs: IndexSet::new(),
            crashes: IndexMap::new(),
            violations: Vec::new(),
            orders: 0,
            messages: 0,
        };
        for data_centre in 0..plan.data_centres {
            for number in 0..plan.upstreams {
                site.add_upstream(plan, data_centre, number);
            }
            for number in 0..plan.instances {
                let name = format!("entry-{data_centre}-{number}");
                site.nodes
                    .push(SimNode::new(&name, &format!("dc-{data_centre}")));
                site.delivered_listings.push(IndexSet::new());
            }
        }
        for node in 0..site.nodes.len() {
            site.start_node(node);
        }
        site
    }

    fn add_upstream(&mut self, plan: &SitePlan, data_centre: u32, number: u32) {
        let index = self.upstreams.len();
        let port = u16::try_from(10_000 + index).expect("fewer upstreams than ports");
        let listed = ListedUpstream {
            id: Arc::from(format!("up-{data_centre}-{number}")),
            service: Arc::from("work"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: Arc::from(format!("dc-{data_centre}")),
            draining: false,
            capacity: Resources {
                cpu_millicores: plan.cpu_millicores,
                memory_mb: 65_536,
                accelerators: 0,
            },
            labels: Vec::new(),
            born_unix_ms: Some(1),
        };
        let speed = plan.speeds[index % plan.speeds.len()];
        self.upstreams
            .push(SimUpstream::new(Arc::new(listed), speed));
    }

    // Actions of tests.

    /// Submits a job through an instance; [`RunSite::answer`] returns its answer by `id`.
    pub fn submit(&mut self, node: usize, queue: &str, id: &str, job: &JobSpec) {
        let work = job.steps[0].declared_run_time;
        self.submit_work(node, queue, id, job, work);
    }

    /// Submits a job whose tasks take `work` at speed 1, whatever run time they declare.
    pub fn submit_work(
        &mut self,
        node: usize,
        queue: &str,
        id: &str,
        job: &JobSpec,
        work: Duration,
    ) {
        let job = Arc::new(job.clone());
        self.jobs.insert(id.to_owned(), (job.clone(), work));
        *self.submissions.entry(id.to_owned()).or_default() += 1;
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.requests
            .insert((node, request), (id.to_owned(), self.now));
        let event = RunEvent::Requested {
            request,
            host: "site.example".to_owned(),
            path: format!("/{queue}/{id}"),
            kind: RequestKind::Submit(job),
            wait: self.caller_wait,
        };
        self.deliver(node, event);
    }

    /// Changes the wait that later submissions state; none for submissions that state none.
    pub fn set_caller_wait(&mut self, wait: Option<Duration>) {
        self.caller_wait = wait;
    }

    /// Drops the latest submission of a job, as when its caller disconnects.
    pub fn drop_caller(&mut self, id: &str) {
        let found = self
            .requests
            .iter()
            .rfind(|(_, (requested, _))| requested == id);
        if let Some((node, request)) = found.map(|(key, _)| *key) {
            self.deliver(node, RunEvent::RequestDropped { request });
        }
    }

    /// Kills an instance.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].dispatcher = None;
        self.nodes[node].is_frozen = false;
    }

    /// Starts a new process of an instance that was killed.
    pub fn start_node(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].start(now);
        self.delivered_listings[node].clear();
        let state = self.intended.clone();
        let body = Bytes::new();
        self.deliver(node, RunEvent::StoreRegained);
        self.deliver(node, RunEvent::IntendedRead { state, body });
        self.read_store(node);
        self.schedule(STORE_READ_INTERVAL, ScheduledEvent::ReadStore(node));
    }

    /// Asks an instance to stop gracefully.
    pub fn stop_node(&mut self, node: usize) {
        self.nodes[node].is_leaving = true;
        let grace = Duration::from_millis(5_000);
        self.deliver(node, RunEvent::StopRequested { grace });
        self.write_heartbeat(node);
    }

    /// Freezes an instance; events for it, except ticks, are kept until it is thawed.
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].is_frozen = true;
    }

    /// Thaws a frozen instance, which then handles the events that were kept.
    ///
    /// It reads the messages of other instances and the answers to its orders first. It learns
    /// [`DISCONNECT_READ_DELAY`] later that callers have left.
    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].is_frozen = false;
        let events = std::mem::take(&mut self.nodes[node].frozen_events);
        let dropped = events.iter().filter_map(|event| match event {
            RunEvent::RequestDropped { request } => Some(*request),
            _ => None,
        });
        let dropped: IndexSet<RequestId> = dropped.collect();
        let incarnation = self.nodes[node].incarnation;
        for event in events {
            match &event {
                // The real process sees that a connection has ended before it delivers its request.
                RunEvent::Requested { request, .. } if dropped.contains(request) => {}
                RunEvent::RequestDropped { .. } => {
                    self.schedule_event(DISCONNECT_READ_DELAY, node, incarnation, event);
                }
                _ => self.deliver(node, event),
            }
        }
        self.deliver(node, RunEvent::Tick);
    }

    /// Cuts the connection between two instances in both directions, or restores it.
    pub fn cut(&mut self, one: usize, other: usize, is_cut: bool) {
        self.cut_one_way(one, other, is_cut);
        self.cut_one_way(other, one, is_cut);
    }

    /// Loses the messages from one instance to another, or delivers them again.
    pub fn cut_one_way(&mut self, from: usize, to: usize, is_cut: bool) {
        match is_cut {
            true => self.cut_pairs.insert((from, to)),
            false => self.cut_pairs.swap_remove(&(from, to)),
        };
    }

    /// Holds back the messages from one instance to another, or delivers those held back.
    pub fn hold_messages(&mut self, from: usize, to: usize, is_held: bool) {
        if is_held {
            self.held_messages.entry((from, to)).or_default();
            return;
        }
        let incarnation = self.nodes[to].incarnation;
        let held = self.held_messages.swap_remove(&(from, to));
        for HeldMessage { sender, message } in held.unwrap_or_default() {
            let event = RunEvent::PeerMessage { sender, message };
            let node = to;
            self.schedule_event(PEER_DELAY, node, incarnation, event);
        }
    }

    /// Breaks the path between an instance and an upstream, or restores it with `None`.
    pub fn set_upstream_path(&mut self, node: usize, upstream: usize, loss: Option<PathLoss>) {
        match loss {
            Some(loss) => self.upstream_paths.insert((node, upstream), loss),
            None => self.upstream_paths.swap_remove(&(node, upstream)),
        };
        if loss == Some(PathLoss::Refused) {
            let renews = &mut self.upstreams[upstream].renews;
            let reset = renews.extract_if(.., |renew| renew.node == node).collect();
            self.end_connections(reset, &OrderAnswer::Reset);
        }
    }

    /// Cuts an instance off from the store, or reconnects it.
    pub fn cut_from_store(&mut self, node: usize, is_cut: bool) {
        self.nodes[node].is_cut_from_store = is_cut;
        let event = match is_cut {
            true => RunEvent::StoreLost,
            false => RunEvent::StoreRegained,
        };
        self.deliver(node, event);
    }

    /// Makes the store unavailable to all instances, or available again.
    pub fn set_store_down(&mut self, is_down: bool) {
        self.is_store_down = is_down;
        for node in 0..self.nodes.len() {
            let event = match is_down {
                true => RunEvent::StoreLost,
                false => RunEvent::StoreRegained,
            };
            self.deliver(node, event);
        }
    }

    /// Sets the faults of orders sent from now on.
    pub fn set_order_fault(&mut self, fault: OrderFault) {
        self.order_fault = fault;
    }

    /// Sets the fault of an upstream, or ends it with `None`.
    pub fn set_upstream_fault(&mut self, upstream: usize, fault: Option<UpstreamFault>) {
        self.upstreams[upstream].fault = fault;
        if fault == Some(UpstreamFault::Crashed) {
            let renews = std::mem::take(&mut self.upstreams[upstream].renews);
            self.end_connections(renews, &OrderAnswer::Closed);
        }
        if fault.is_some_and(UpstreamFault::is_down) {
            self.upstreams[upstream].reset(self.now);
        }
    }

    /// Crashes an upstream, which starts again [`CRASH_TIME`] later.
    pub fn crash_upstream(&mut self, upstream: usize) {
        self.set_upstream_fault(upstream, Some(UpstreamFault::Crashed));
        self.schedule(CRASH_TIME, ScheduledEvent::Restart(upstream));
    }

    /// Makes each run of a job's first task crash its upstream [`CRASH_DELAY`] after its start.
    pub fn set_deadly(&mut self, id: &str) {
        self.deadly_jobs.insert(id.to_owned());
    }

    /// The upstreams that deadly tasks have crashed so far, by job.
    pub fn crashes(&self, id: &str) -> usize {
        self.crashes.get(id).copied().unwrap_or(0)
    }

    /// Restarts an upstream under the same name, as a new incarnation without its runs.
    pub fn restart_upstream(&mut self, upstream: usize) {
        let state = &mut self.upstreams[upstream];
        state.fault = None;
        state.reset(self.now);
        let mut listed = (*state.listed).clone();
        listed.born_unix_ms = listed.born_unix_ms.map(|born| born + 1_000);
        state.listed = Arc::new(listed);
    }

    /// Lists an upstream as draining.
    pub fn drain_upstream(&mut self, upstream: usize) {
        let state = &mut self.upstreams[upstream];
        let mut listed = (*state.listed).clone();
        listed.draining = true;
        state.listed = Arc::new(listed);
        self.list_again(upstream);
    }

    /// Delivers a version of the intended state with these queues to one instance.
    ///
    /// # Panics
    ///
    /// If the state cannot be decoded.
    pub fn deliver_intended_state(&mut self, node: usize, version: u64, queues: &[&str]) {
        let body = Bytes::from(format!("{version} {}", queues.join(" ")));
        let state = QueueNamesDecoder.decode(&body).expect("a valid state");
        let state = Arc::new(state);
        self.deliver(node, RunEvent::IntendedRead { state, body });
    }

    /// Adds a label to an upstream's listing.
    pub fn label_upstream(&mut self, upstream: usize, label: &str) {
        let state = &mut self.upstreams[upstream];
        let mut listed = (*state.listed).clone();
        listed.labels.push(Arc::from(label));
        state.listed = Arc::new(listed);
        self.list_again(upstream);
    }

    /// Reports an upstream as removed from the list to all instances, as when its entry has
    /// expired, while the upstream goes on running.
    pub fn delist(&mut self, upstream: usize) {
        self.store_version += 1;
        let version = self.store_version;
        let id = self.upstreams[upstream].listed.id.clone();
        for node in 0..self.nodes.len() {
            let removed = ListingChange {
                id: id.clone(),
                version,
                upstream: None,
            };
            if !self.nodes[node].reads_listing {
                self.nodes[node].unread_removals.push(removed);
                continue;
            }
            let read = ListingRead {
                all_ids: None,
                version,
                changes: vec![removed],
            };
            self.deliver(node, RunEvent::ListingRead(read));
        }
    }

    /// Lists a removed upstream again.
    pub fn relist(&mut self, upstream: usize) {
        self.list_again(upstream);
    }

    // Observations of tests.

    /// Returns the answer to a job.
    pub fn answer(&self, id: &str) -> Option<&SiteAnswer> {
        self.answers.get(id)
    }

    /// Returns the answers with their jobs' ids.
    pub fn answers(&self) -> impl Iterator<Item = (&String, &SiteAnswer)> {
        self.answers.iter()
    }

    /// Returns the violations of the guarantees so far, one text each.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns the number of orders and the number of messages between instances sent so far.
    pub fn traffic(&self) -> (u64, u64) {
        (self.orders, self.messages)
    }

    /// Returns the number of runs that an upstream has started.
    pub fn start_count(&self, upstream: usize) -> u64 {
        self.upstreams[upstream].starts
    }

    /// Returns the number of runs in progress on all upstreams.
    pub fn running(&self) -> usize {
        self.upstreams.iter().map(|state| state.runs.len()).sum()
    }

    /// Returns the number of upstreams that an instance owns and that accept tasks.
    pub fn usable_upstreams(&self, node: usize) -> usize {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.status().usable_upstreams)
    }

    /// Returns the counters of an instance's home; all zero while the instance is killed.
    pub fn counts(&self, node: usize) -> RunCounts {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(RunCounts::default(), |at| at.status().counts)
    }

    /// Returns how often an instance's process has read the upstreams' entries.
    pub fn listing_reads(&self, node: usize) -> u64 {
        self.nodes[node].listing_reads
    }

    /// Returns the number of upstreams that an instance knows as listed.
    pub fn listed_upstreams(&self, node: usize) -> usize {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.status().listed_upstreams)
    }

    /// Returns the number of instances.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the number of upstreams.
    pub fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the site's time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now.as_us() / 1_000
    }

    /// Returns a pseudo-random number below `bound`.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        // Xorshift: good enough for tests and the same on all platforms.
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        (self.rng_state >> 11) % bound.max(1)
    }

    // Event processing.

    /// Processes the events of the next `ms` milliseconds.
    pub fn run_ms(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while let Some(entry) = self.scheduled_events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let at = entry.key().0;
            let scheduled = entry.remove();
            self.now = self.now.max(at);
            self.process(scheduled);
        }
        self.now = until;
    }

    fn schedule(&mut self, after: Duration, scheduled: ScheduledEvent) {
        self.next_event_number += 1;
        self.scheduled_events
            .insert((self.now + after, self.next_event_number), scheduled);
    }

    /// Delivers an event to this incarnation of a node after a while.
    fn schedule_event(&mut self, after: Duration, node: usize, incarnation: u64, event: RunEvent) {
        let event = ScheduledEvent::Event {
            node,
            incarnation,
            event,
        };
        self.schedule(after, event);
    }

    fn process(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Event {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.deliver(node, event);
                }
            }
            ScheduledEvent::Wake(node) => {
                if self.nodes[node].wakes_at.is_some_and(|at| at <= self.now) {
                    self.nodes[node].wakes_at = None;
                }
                self.deliver(node, RunEvent::Tick);
            }
            ScheduledEvent::Order {
                node,
                incarnation,
                order,
                upstream,
                run_order,
                is_answered,
                held_by,
            } => {
                let current = self.upstreams[upstream].incarnation;
                if held_by.is_none_or(|holder| holder == current) {
                    self.execute_order(node, incarnation, order, upstream, &run_order, is_answered);
                }
            }
            ScheduledEvent::OrderTimeout {
                node,
                incarnation,
                order,
            } => {
                self.answer_order(node, incarnation, order, OrderAnswer::Lost, Duration::ZERO);
            }
            ScheduledEvent::Crash { upstream, run } => self.crash(upstream, run),
            ScheduledEvent::Restart(upstream) => self.restart_upstream(upstream),
            ScheduledEvent::Advance(upstream) => self.advance(upstream),
            ScheduledEvent::RenewWaitOver(upstream) => self.answer_renews(upstream, false),
            ScheduledEvent::ReadStore(node) => {
                self.write_heartbeat(node);
                self.read_store(node);
                self.schedule(STORE_READ_INTERVAL, ScheduledEvent::ReadStore(node));
            }
        }
    }

    fn deliver(&mut self, node: usize, event: RunEvent) {
        if self.nodes[node].is_frozen {
            if !matches!(event, RunEvent::Tick) {
                self.nodes[node].frozen_events.push(event);
            }
            return;
        }
        let now = self.nodes[node].clock(self.now);
        let mut actions = Vec::new();
        let Some(dispatcher) = &mut self.nodes[node].dispatcher else {
            return;
        };
        let _span = tracing::info_span!("at", ms = self.now.as_us() / 1_000, node).entered();
        dispatcher.handle(now, event, &mut actions);
        let wake = dispatcher.next_wakeup();
        for action in actions {
            self.execute(node, action);
        }
        if let Some(wake) = wake {
            let at = self.now + wake.since(now);
            let planned = &mut self.nodes[node].wakes_at;
            if planned.is_none_or(|planned| at < planned || planned <= self.now) {
                *planned = Some(at);
                self.schedule(wake.since(now), ScheduledEvent::Wake(node));
            }
        }
    }

    fn execute(&mut self, node: usize, action: RunAction) {
        match action {
            RunAction::Answer { request, answer } => self.record_answer(node, request, answer),
            RunAction::Order {
                order,
                addressed_order,
            } => {
                let found = self.upstreams.iter();
                let mut found = found.zip(0..);
                let upstream =
                    found.find(|(state, _)| state.listed.address == addressed_order.address);
                if let Some((_, upstream)) = upstream {
                    self.send_order(node, order, upstream, addressed_order.order);
                }
            }
            RunAction::SendPeer { instance, message } => self.send_peer(node, &instance, message),
            RunAction::RemoveMember { name, row_version } => {
                let member = self.roster.get(&name);
                if member.is_some_and(|member| member.row_version == row_version) {
                    self.store_version += 1;
                    self.roster.swap_remove(&name);
                }
            }
            RunAction::ReadListing { is_on, .. } => self.nodes[node].reads_listing = is_on,
            RunAction::SetPeers(_) | RunAction::RegisterAgain => {}
        }
    }

    fn record_answer(&mut self, node: usize, request: RequestId, answer: RunAnswer) {
        let Some((id, asked_at)) = self.requests.get(&(node, request)).cloned() else {
            return;
        };
        let latest = self
            .requests
            .iter()
            .rfind(|(_, (requested, _))| *requested == id);
        if latest.is_some_and(|(key, _)| *key != (node, request)) {
            // The caller no longer waits for the answer to an earlier submission.
            return;
        }
        if matches!(answer, RunAnswer::NotRun { .. }) {
            *self.not_run_answers.entry(id.clone()).or_default() += 1;
            self.check_not_run_answers(&id);
        }
        let answer = SiteAnswer {
            asked_at,
            answered_at: self.now,
            answer,
        };
        self.answers.insert(id, answer);
    }

    /// Records a violation if a task of the job has started although every submission was answered
    /// as not run.
    ///
    /// A submission whose answer was lost does not count as answered.
    fn check_not_run_answers(&mut self, id: &str) {
        let all_not_run = self.not_run_answers.get(id) == self.submissions.get(id);
        if all_not_run && self.started_jobs.contains(id) {
            let violation =
                format!("{id}: every submission was answered as not run, but a task has started");
            self.violations.push(violation);
        }
    }

    fn send_peer(&mut self, from: usize, to: &str, message: Box<TimedRunMessage>) {
        self.messages += 1;
        let Some(node) = self.nodes.iter().position(|node| &*node.name == to) else {
            return;
        };
        if self.cut_pairs.contains(&(from, node)) {
            return;
        }
        let newest = self.nodes[from].started_at.max(self.nodes[node].started_at);
        if self.now.since(newest) < CONNECT_DELAY {
            let instance = Arc::from(to);
            let event = RunEvent::PeerNotSent { instance, message };
            let incarnation = self.nodes[from].incarnation;
            return self.schedule_event(Duration::ZERO, from, incarnation, event);
        }
        let sender = PeerIdentity {
            instance: self.nodes[from].name.clone(),
            incarnation: self.nodes[from].incarnation(),
        };
        if let Some(held) = self.held_messages.get_mut(&(from, node)) {
            held.push(HeldMessage { sender, message });
            return;
        }
        let event = RunEvent::PeerMessage { sender, message };
        let incarnation = self.nodes[node].incarnation;
        self.schedule_event(PEER_DELAY, node, incarnation, event);
    }

    fn send_order(&mut self, node: usize, order: OrderId, upstream: usize, run_order: RunOrder) {
        self.orders += 1;
        let incarnation = self.nodes[node].incarnation;
        let wait = match &run_order {
            RunOrder::Renew { wait, .. } => *wait + RENEW_GRACE,
            _ => ORDER_TIMEOUT,
        };
        self.pending_orders.insert((node, incarnation, order));
        self.schedule(
            wait,
            ScheduledEvent::OrderTimeout {
                node,
                incarnation,
                order,
            },
        );
        let draw = self.random_below(100);
        let late = u64::from(self.order_fault.late_percent);
        let unanswered = late + u64::from(self.order_fault.unanswered_percent);
        let is_late = draw < late;
        let delay = match is_late {
            true => Duration::from_millis(2_000 + self.random_below(8_000)),
            false => ORDER_DELAY,
        };
        let held_by = is_late.then_some(self.upstreams[upstream].incarnation);
        let path = self.upstream_paths.get(&(node, upstream));
        match path {
            Some(PathLoss::Orders) => return,
            Some(PathLoss::Refused) => {
                let refused = OrderAnswer::NoListener;
                return self.answer_order(node, incarnation, order, refused, ORDER_DELAY);
            }
            _ => {}
        }
        let is_answered = draw >= unanswered;
        let order = ScheduledEvent::Order {
            node,
            incarnation,
            order,
            upstream,
            run_order,
            is_answered,
            held_by,
        };
        self.schedule(delay, order);
    }

    fn execute_order(
        &mut self,
        node: usize,
        incarnation: u64,
        order: OrderId,
        upstream: usize,
        run_order: &RunOrder,
        is_answered: bool,
    ) {
        match self.upstreams[upstream].fault {
            Some(UpstreamFault::Down) => return,
            Some(UpstreamFault::Crashed) => {
                let refused = OrderAnswer::NoListener;
                return self.answer_order(node, incarnation, order, refused, ORDER_DELAY);
            }
            _ => {}
        }
        self.advance(upstream);
        let now = self.now;
        let state = &mut self.upstreams[upstream];
        let clock_ms = Some(state.clock_ms(now));
        let result = match run_order {
            RunOrder::Start {
                run,
                lease_until_ms,
                fence,
                ..
            } => {
                let result = self.start_run(upstream, *run, *lease_until_ms, *fence);
                result.map(|()| OrderAnswer::Done { clock_ms })
            }
            RunOrder::Stop { run, fence } => {
                let result = state.stop(*run, *fence);
                result.map(|()| OrderAnswer::Done { clock_ms })
            }
            RunOrder::Renew {
                lease_until_ms,
                fence,
                acknowledged_end,
                wait,
            } => {
                let result = state.renew(now, *lease_until_ms, *fence, *acknowledged_end);
                if result.is_ok() && state.ended.is_empty() && !wait.is_zero() {
                    state.renews.push(WaitingRenew {
                        node,
                        incarnation,
                        order,
                        until: now + *wait,
                        is_answer_lost: !is_answered,
                    });
                    self.schedule(*wait, ScheduledEvent::RenewWaitOver(upstream));
                    return self.advance(upstream);
                }
                result.map(|()| OrderAnswer::Renewed(state.report(now)))
            }
        };
        let answer = result.unwrap_or_else(|refusal| OrderAnswer::Refused { refusal, clock_ms });
        if is_answered && !self.is_answer_lost(node, upstream) {
            self.answer_order(node, incarnation, order, answer, ORDER_DELAY);
        }
        self.advance(upstream);
        self.answer_renews(upstream, false);
    }

    fn start_run(
        &mut self,
        upstream: usize,
        run: RunId,
        lease_until_ms: u64,
        fence: u64,
    ) -> Result<(), OrderRefusal> {
        let Some((job, work)) = self.jobs.get(run.task.job.as_str()).cloned() else {
            self.violations.push(format!(
                "{run} was ordered, but its job was never submitted"
            ));
            return Err(OrderRefusal::Invalid);
        };
        let request = StartRequest {
            run,
            resources: job.steps[run.task.step as usize].resources,
            work,
            lease_until_ms,
            fence,
        };
        let was_running = self.upstreams[upstream].runs.contains_key(&run);
        self.upstreams[upstream].start(self.now, &request)?;
        let job = run.task.job.to_string();
        if !was_running && run.task.index == 0 && self.deadly_jobs.contains(&job) {
            self.schedule(CRASH_DELAY, ScheduledEvent::Crash { upstream, run });
        }
        self.started_jobs.insert(job.clone());
        self.check_not_run_answers(&job);
        for other in 0..self.upstreams.len() {
            self.advance(other);
        }
        let runs = self.upstreams.iter().flat_map(|state| state.runs.keys());
        let same = runs.filter(|other| other.task == run.task).count();
        if same > 1 && !was_running {
            let at = self.now_ms();
            self.violations.push(format!(
                "{run} started at {at} ms while another run of its task was in progress"
            ));
        }
        Ok(())
    }

    fn crash(&mut self, upstream: usize, run: RunId) {
        if self.upstreams[upstream].runs.contains_key(&run) {
            *self.crashes.entry(run.task.job.to_string()).or_default() += 1;
            self.crash_upstream(upstream);
        }
    }

    /// Ends the connections of waiting renew orders.
    fn end_connections(&mut self, renews: Vec<WaitingRenew>, answer: &OrderAnswer) {
        for renew in renews {
            self.answer_order(
                renew.node,
                renew.incarnation,
                renew.order,
                answer.clone(),
                ORDER_DELAY,
            );
        }
    }

    fn answer_order(
        &mut self,
        node: usize,
        incarnation: u64,
        order: OrderId,
        answer: OrderAnswer,
        after: Duration,
    ) {
        if !self.pending_orders.swap_remove(&(node, incarnation, order)) {
            return;
        }
        let event = RunEvent::OrderAnswered { order, answer };
        self.schedule_event(after, node, incarnation, event);
    }

    /// Ends the runs of an upstream that are over, and answers the renew orders that wait for that.
    fn advance(&mut self, upstream: usize) {
        let has_ended_runs = self.upstreams[upstream].advance(self.now);
        if let Some(at) = self.upstreams[upstream].next_end_at() {
            self.schedule(at.since(self.now), ScheduledEvent::Advance(upstream));
        }
        if has_ended_runs {
            self.answer_renews(upstream, true);
        }
    }

    /// Answers the waiting renew orders of an upstream: all of them, or those whose wait is over.
    fn answer_renews(&mut self, upstream: usize, all: bool) {
        let now = self.now;
        let state = &mut self.upstreams[upstream];
        if state.fault.is_some_and(UpstreamFault::is_down) {
            return;
        }
        let due: Vec<WaitingRenew> = state
            .renews
            .extract_if(.., |renew| all || renew.until <= now)
            .collect();
        let report = state.report(now);
        for renew in due.into_iter().filter(|renew| !renew.is_answer_lost) {
            if self.is_answer_lost(renew.node, upstream) {
                continue;
            }
            let answer = OrderAnswer::Renewed(report.clone());
            self.answer_order(
                renew.node,
                renew.incarnation,
                renew.order,
                answer,
                ORDER_DELAY,
            );
        }
    }

    /// Returns whether answers from an upstream to an instance are lost, as on every broken path.
    fn is_answer_lost(&self, node: usize, upstream: usize) -> bool {
        self.upstream_paths.contains_key(&(node, upstream))
    }

    /// Writes the heartbeat of a node to the store, if it can.
    fn write_heartbeat(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let is_cut_off = state.dispatcher.is_none() || state.is_frozen || state.is_cut_from_store;
        if is_cut_off || self.is_store_down {
            return;
        }
        state.heartbeats += 1;
        self.store_version += 1;
        let member = Member {
            name: state.name.clone(),
            incarnation: state.incarnation(),
            data_centre: state.data_centre.clone(),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            leaving: state.is_leaving,
            row_version: self.store_version,
        };
        self.roster.insert(member.name.clone(), member);
    }

    /// Delivers the roster and the listings that a node has not read yet.
    fn read_store(&mut self, node: usize) {
        if self.is_store_down || self.nodes[node].is_cut_from_store {
            return;
        }
        if self.nodes[node].heartbeats == 0 || !self.roster.contains_key(&self.nodes[node].name) {
            self.write_heartbeat(node);
        }
        let roster = Roster {
            version: self.store_version,
            members: self.roster.values().cloned().collect(),
        };
        self.deliver(node, RunEvent::RosterRead(roster));
        let is_alive = self.nodes[node].dispatcher.is_some();
        if !is_alive || !self.nodes[node].reads_listing {
            return;
        }
        self.nodes[node].listing_reads += 1;
        let delivered = &mut self.delivered_listings[node];
        let changes = self.upstreams.iter().filter(|state| {
            let is_down = state.fault.is_some_and(UpstreamFault::is_down);
            !is_down && delivered.insert(state.listed.id.clone())
        });
        let changes = changes.map(|state| ListingChange {
            id: state.listed.id.clone(),
            version: state.listing_version,
            upstream: Some(state.listed.clone()),
        });
        let changes = changes.chain(std::mem::take(&mut self.nodes[node].unread_removals));
        let read = ListingRead {
            all_ids: None,
            version: self.store_version,
            changes: changes.collect(),
        };
        self.deliver(node, RunEvent::ListingRead(read));
    }

    /// Records that an upstream's entry has changed, so that instances read it again.
    fn list_again(&mut self, upstream: usize) {
        self.store_version += 1;
        let state = &mut self.upstreams[upstream];
        state.listing_version = self.store_version;
        for delivered in &mut self.delivered_listings {
            delivered.swap_remove(&state.listed.id);
        }
    }
}

fn init_logging() {
    let Ok(filter) = std::env::var("RUN_SITE_LOG") else {
        return;
    };
    let subscriber = tracing_subscriber::fmt().without_time().with_target(false);
    // Fails when another site of the process has already installed a subscriber, which then serves
    // both.
    subscriber.with_env_filter(filter).try_init().ok();
}
