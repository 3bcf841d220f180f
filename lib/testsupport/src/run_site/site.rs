//! The simulated site: its event queue, what tests can do to it and what they can observe.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::RequestId;
use almondhead_lib::runs::evacuation::EvacuatedDataCentres;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::intended_state::IntendedState;
use almondhead_lib::runs::intended_state::RequestLimits;
use almondhead_lib::runs::job_spec::JobSpec;
use almondhead_lib::runs::listed_upstream::ListedUpstream;
use almondhead_lib::runs::resources::Resources;
use almondhead_lib::runs::roster::Member;
use almondhead_lib::runs::run_action::RunAction;
use almondhead_lib::runs::run_answer::RunAnswer;
use almondhead_lib::runs::run_id::OrderId;
use almondhead_lib::runs::run_id::RunId;
use almondhead_lib::runs::run_message::TimedRunMessage;
use almondhead_lib::runs::run_order::OrderAnswer;
use almondhead_lib::runs::run_order::RunOrder;
use almondhead_lib::time::Timestamp;
use indexmap::IndexMap;
use indexmap::IndexSet;

use super::node::SimNode;
use super::node::work_service;
use super::plan::SitePlan;
use super::site_messages::MessageFault;
use super::site_store::STORE_READ_INTERVAL;
use super::upstream::SimUpstream;
use super::upstream::UpstreamFault;

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
pub(super) struct HeldMessage {
    pub(super) sender: PeerIdentity,
    pub(super) message: Box<TimedRunMessage>,
}

/// An event of the simulation that is due at a certain time.
pub(super) enum ScheduledEvent {
    /// Delivers an event to the dispatcher of a node, unless the incarnation has changed.
    Event {
        node: usize,
        incarnation: u64,
        event: RunEvent,
    },
    /// Wakes the dispatcher of a node at the time that it asked for.
    Wake(usize),
    /// Lets a node read the inputs that have waited for its lag.
    ReadInputs { node: usize, incarnation: u64 },
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
    pub(super) now: Timestamp,
    pub(super) next_event_number: u64,
    /// The events to come, by due time and then by order of scheduling.
    pub(super) scheduled_events: BTreeMap<(Timestamp, u64), ScheduledEvent>,
    pub(super) nodes: Vec<SimNode>,
    pub(super) upstreams: Vec<SimUpstream>,
    pub(super) intended: Arc<IntendedState>,
    pub(super) store_version: u64,
    /// The evacuated data centres; of version zero until the first request, and not delivered until then.
    pub(super) evacuated: EvacuatedDataCentres,
    pub(super) roster: IndexMap<Arc<str>, Member>,
    /// The ids of the upstreams whose current listing each node has read.
    pub(super) delivered_listings: Vec<IndexSet<Arc<str>>>,
    /// The (sender, receiver) pairs of nodes whose messages are lost.
    pub(super) cut_pairs: IndexSet<(usize, usize)>,
    /// The messages held back, by (sender, receiver); a pair without an entry is not held back.
    pub(super) held_messages: IndexMap<(usize, usize), Vec<HeldMessage>>,
    /// The delays of messages beyond [`PEER_DELAY`], by (sender, receiver).
    pub(super) message_delays: IndexMap<(usize, usize), Duration>,
    /// The broken paths, by (node, upstream).
    pub(super) upstream_paths: IndexMap<(usize, usize), PathLoss>,
    pub(super) is_store_down: bool,
    pub(super) order_fault: OrderFault,
    /// Whether all stops are carried out late.
    pub(super) delays_stops: bool,
    /// When the callers left that have not come back; see [`RunSite::long_leases`].
    pub(super) departures: IndexMap<String, Timestamp>,
    pub(super) long_leases: Vec<String>,
    pub(super) caller_retry_pause: Duration,
    pub(super) message_fault: MessageFault,
    /// The (sender, receiver) pairs of nodes that have no connection.
    pub(super) refused_pairs: IndexSet<(usize, usize)>,
    pub(super) caller_wait: Option<Duration>,
    pub(super) rng_state: u64,
    /// The submitted jobs with the run time of their tasks at speed 1, by the job's id.
    pub(super) jobs: IndexMap<String, (Arc<JobSpec>, Duration)>,
    /// The job's id and the time of each submission, by node and request.
    pub(super) requests: IndexMap<(usize, RequestId), (String, Timestamp)>,
    pub(super) next_request: u64,
    pub(super) answers: IndexMap<String, SiteAnswer>,
    /// The orders without an answer, by node, its incarnation and the order's id.
    pub(super) pending_orders: IndexSet<(usize, u64, OrderId)>,
    /// The ids of the jobs of which at least one run has started.
    pub(super) started_jobs: IndexSet<String>,
    /// The number of submissions of each job.
    pub(super) submissions: IndexMap<String, u32>,
    /// The number of submissions of each job that were answered as not run.
    pub(super) not_run_answers: IndexMap<String, u32>,
    /// The jobs whose first task crashes upstreams, and the fault of these.
    pub(super) deadly_jobs: IndexMap<String, UpstreamFault>,
    /// The number of crashes by deadly job.
    pub(super) crashes: IndexMap<String, usize>,
    pub(super) violations: Vec<String>,
    /// The number of orders sent so far.
    pub(super) orders: u64,
    /// The number of peer messages sent so far.
    pub(super) messages: u64,
}

/// The one-way delay of a message between instances.
pub(super) const PEER_DELAY: Duration = Duration::from_micros(900);

/// How long a mark takes through the inputs of an instance that is not behind: it comes after the word
/// of callers who have left, which a thawed instance reads last.
const MARK_DELAY: Duration = Duration::from_millis(3);

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
            evacuated: EvacuatedDataCentres::default(),
            roster: IndexMap::new(),
            delivered_listings: Vec::new(),
            cut_pairs: IndexSet::new(),
            held_messages: IndexMap::new(),
            message_delays: IndexMap::new(),
            upstream_paths: IndexMap::new(),
            is_store_down: false,
            order_fault: OrderFault::default(),
            delays_stops: false,
            departures: IndexMap::new(),
            long_leases: Vec::new(),
            caller_retry_pause: plan.caller_retry_pause,
            message_fault: MessageFault::default(),
            refused_pairs: IndexSet::new(),
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
            deadly_jobs: IndexMap::new(),
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
                let mut node = SimNode::new(&name, &format!("dc-{data_centre}"));
                let capacities = plan.processor_millicores.iter().cycle();
                node.processor_millicores = capacities.copied().nth(number as usize);
                node.overload = plan.overload;
                node.limits.caller_retry_pause = plan.caller_retry_pause;
                site.nodes.push(node);
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

    /// Returns a pseudo-random number below `bound`.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        // Xorshift: good enough for tests and the same on all platforms.
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        (self.rng_state >> 11) % bound.max(1)
    }

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

    pub(super) fn schedule(&mut self, after: Duration, scheduled: ScheduledEvent) {
        self.next_event_number += 1;
        self.scheduled_events
            .insert((self.now + after, self.next_event_number), scheduled);
    }

    /// Delivers an event to this incarnation of a node after a while.
    pub(super) fn schedule_event(
        &mut self,
        after: Duration,
        node: usize,
        incarnation: u64,
        event: RunEvent,
    ) {
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
                self.handle(node, RunEvent::Tick);
            }
            ScheduledEvent::ReadInputs { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation {
                    self.read_inputs(node);
                }
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

    /// Lets the dispatcher of a node handle an event, unless its process is frozen.
    pub(super) fn handle(&mut self, node: usize, event: RunEvent) {
        if self.nodes[node].is_frozen {
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
            RunAction::ReadInputs { as_of } => {
                let incarnation = self.nodes[node].incarnation;
                let event = RunEvent::InputsRead { as_of };
                self.schedule_event(MARK_DELAY, node, incarnation, event);
            }
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
    pub(super) fn check_not_run_answers(&mut self, id: &str) {
        let all_not_run = self.not_run_answers.get(id) == self.submissions.get(id);
        if all_not_run && self.started_jobs.contains(id) {
            let violation =
                format!("{id}: every submission was answered as not run, but a task has started");
            self.violations.push(violation);
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
