//! The simulated site.

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
use super::upstream::StartAsked;
use super::upstream::UpstreamFault;
use super::upstream::WaitingRenew;

/// The size of a simulated site.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// The data centres.
    pub data_centres: u32,
    /// The instances of each.
    pub instances: u32,
    /// The upstreams of each.
    pub upstreams: u32,
    /// The processor of each upstream, in thousandths of a core.
    pub cpu_millicores: u32,
    /// The speeds of the upstreams, in turn.
    pub speeds: Vec<f64>,
    /// The queues.
    pub queues: Vec<JobQueueSettings>,
    /// The seed of what is left to chance.
    pub seed: u64,
}

impl SitePlan {
    /// Data centres with so many instances and upstreams each, all upstreams alike, and the one
    /// queue `look`.
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

/// What happens to orders.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderFault {
    /// The share of orders that get no answer and are carried out late, in hundredths.
    pub late_percent: u32,
    /// The share of orders that are carried out at once and get no answer, in hundredths.
    pub unanswered_percent: u32,
}

/// An answer with its time.
#[derive(Clone, Debug)]
pub struct SiteAnswer {
    /// When the caller sent the request.
    pub asked_at: Timestamp,
    /// When the answer left.
    pub answered_at: Timestamp,
    /// The answer.
    pub answer: RunAnswer,
}

/// What a broken path between an instance and an upstream loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathLoss {
    /// Orders do not arrive.
    Orders,
    /// Orders are carried out, and their answers do not arrive.
    Answers,
}

/// A message that waits on its path.
struct HeldMessage {
    sender: PeerIdentity,
    message: Box<TimedRunMessage>,
}

enum Happening {
    Event {
        node: usize,
        incarnation: u64,
        event: RunEvent,
    },
    Wake(usize),
    Order {
        node: usize,
        incarnation: u64,
        order: OrderId,
        upstream: usize,
        what: RunOrder,
        is_answered: bool,
    },
    OrderTimeout {
        node: usize,
        incarnation: u64,
        order: OrderId,
    },
    Advance(usize),
    RenewWaitOver(usize),
    ReadStore(usize),
}

/// A whole site on a clock of its own.
pub struct RunSite {
    now: Timestamp,
    next_number: u64,
    happenings: BTreeMap<(Timestamp, u64), Happening>,
    nodes: Vec<SimNode>,
    upstreams: Vec<SimUpstream>,
    intended: Arc<IntendedState>,
    store_version: u64,
    roster: IndexMap<Arc<str>, Member>,
    listed_to: Vec<IndexSet<Arc<str>>>,
    cut_pairs: IndexSet<(usize, usize)>,
    /// What waits on paths between instances that hold messages up.
    held_messages: IndexMap<(usize, usize), Vec<HeldMessage>>,
    upstream_paths: IndexMap<(usize, usize), PathLoss>,
    is_store_down: bool,
    order_fault: OrderFault,
    caller_wait: Option<Duration>,
    random: u64,
    jobs: IndexMap<String, (Arc<JobSpec>, Duration)>,
    asked: IndexMap<(usize, RequestId), (String, Timestamp)>,
    next_request: u64,
    answers: IndexMap<String, SiteAnswer>,
    waiting_orders: IndexSet<(usize, u64, OrderId)>,
    started_jobs: IndexSet<String>,
    /// How often callers have submitted each job.
    attempts: IndexMap<String, u32>,
    /// How often they were told that it has not run.
    refused: IndexMap<String, u32>,
    violations: Vec<String>,
    orders: u64,
    messages: u64,
}

const PEER_DELAY: Duration = Duration::from_micros(900);
const ORDER_DELAY: Duration = Duration::from_micros(400);
const ORDER_TIMEOUT: Duration = Duration::from_millis(60);
const RENEW_GRACE: Duration = Duration::from_millis(80);
/// How long after the start of a process the connections to and from it are open.
const CONNECT_TIME: Duration = Duration::from_millis(20);
/// As the process reads the roster and the list.
const STORE_PERIOD: Duration = Duration::from_millis(550);

impl RunSite {
    /// A site whose instances start at once.
    ///
    /// The dispatchers' logs are written where the variable `RUN_SITE_LOG` holds a filter for them.
    pub fn start(plan: &SitePlan) -> Self {
        show_logs();
        let services = vec![work_service()];
        let queues = plan.queues.iter().cloned().map(Arc::new).collect();
        let mut site = RunSite {
            now: Timestamp::from_us(1_000),
            next_number: 0,
            happenings: BTreeMap::new(),
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
            listed_to: Vec::new(),
            cut_pairs: IndexSet::new(),
            held_messages: IndexMap::new(),
            upstream_paths: IndexMap::new(),
            is_store_down: false,
            order_fault: OrderFault::default(),
            caller_wait: Some(Duration::from_millis(1_500)),
            random: plan.seed.wrapping_mul(2).wrapping_add(1),
            jobs: IndexMap::new(),
            asked: IndexMap::new(),
            next_request: 1,
            answers: IndexMap::new(),
            waiting_orders: IndexSet::new(),
            started_jobs: IndexSet::new(),
            attempts: IndexMap::new(),
            refused: IndexMap::new(),
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
                site.listed_to.push(IndexSet::new());
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

    // What tests do to it.

    /// Submits a job through an instance; its answer is found under `id`.
    pub fn submit(&mut self, node: usize, queue: &str, id: &str, job: &JobSpec) {
        let work = job.steps[0].declared_run_time;
        self.submit_work(node, queue, id, job, work);
    }

    /// Submits a job whose tasks take `work` at usual speed, whatever they declare.
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
        *self.attempts.entry(id.to_owned()).or_default() += 1;
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.asked
            .insert((node, request), (id.to_owned(), self.now));
        let event = RunEvent::Requested {
            request,
            host: "site.example".to_owned(),
            path: format!("/{queue}/{id}"),
            kind: RequestKind::Submit(job),
            wait: self.caller_wait,
        };
        self.hand(node, event);
    }

    /// Changes how long callers say that they wait; none when they say nothing.
    pub fn set_caller_wait(&mut self, wait: Option<Duration>) {
        self.caller_wait = wait;
    }

    /// Lets the caller of a job go away.
    pub fn drop_caller(&mut self, id: &str) {
        let found = self.asked.iter().rfind(|(_, (asked, _))| asked == id);
        if let Some((node, request)) = found.map(|(key, _)| *key) {
            self.hand(node, RunEvent::RequestDropped { request });
        }
    }

    /// Kills an instance.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].dispatcher = None;
        self.nodes[node].is_frozen = false;
    }

    /// Starts a process of an instance that was killed.
    pub fn start_node(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].start(now);
        self.listed_to[node].clear();
        let state = self.intended.clone();
        let body = Bytes::new();
        self.hand(node, RunEvent::StoreRegained);
        self.hand(node, RunEvent::IntendedRead { state, body });
        self.read_store(node);
        self.at(STORE_PERIOD, Happening::ReadStore(node));
    }

    /// Asks an instance to stop.
    pub fn stop_node(&mut self, node: usize) {
        self.nodes[node].is_leaving = true;
        let grace = Duration::from_millis(5_000);
        self.hand(node, RunEvent::StopRequested { grace });
        self.beat(node);
    }

    /// Stops an instance's processor; what comes for it waits.
    pub fn freeze(&mut self, node: usize) {
        self.nodes[node].is_frozen = true;
    }

    /// Lets a frozen instance go on.
    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].is_frozen = false;
        let waiting = std::mem::take(&mut self.nodes[node].waiting);
        let left = waiting.iter().filter_map(|event| match event {
            RunEvent::RequestDropped { request } => Some(*request),
            _ => None,
        });
        let left: IndexSet<RequestId> = left.collect();
        for event in waiting {
            // The process sees that a connection has ended before it hands its request over.
            let is_ended =
                matches!(&event, RunEvent::Requested { request, .. } if left.contains(request));
            if !is_ended {
                self.hand(node, event);
            }
        }
        self.hand(node, RunEvent::Tick);
    }

    /// Cuts two instances off from each other, or joins them again.
    pub fn cut(&mut self, one: usize, other: usize, is_cut: bool) {
        self.cut_one_way(one, other, is_cut);
        self.cut_one_way(other, one, is_cut);
    }

    /// Loses the messages from one instance to another, or lets them through again.
    pub fn cut_one_way(&mut self, from: usize, to: usize, is_cut: bool) {
        match is_cut {
            true => self.cut_pairs.insert((from, to)),
            false => self.cut_pairs.swap_remove(&(from, to)),
        };
    }

    /// Holds the messages from one instance to another up, or delivers what was held.
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
            self.at(
                PEER_DELAY,
                Happening::Event {
                    node,
                    incarnation,
                    event,
                },
            );
        }
    }

    /// Breaks the path between an instance and an upstream, or mends it.
    pub fn set_upstream_path(&mut self, node: usize, upstream: usize, loss: Option<PathLoss>) {
        match loss {
            Some(loss) => self.upstream_paths.insert((node, upstream), loss),
            None => self.upstream_paths.swap_remove(&(node, upstream)),
        };
    }

    /// Cuts an instance off from the store, or joins it again.
    pub fn cut_from_store(&mut self, node: usize, is_cut: bool) {
        self.nodes[node].is_cut_from_store = is_cut;
        let event = match is_cut {
            true => RunEvent::StoreLost,
            false => RunEvent::StoreRegained,
        };
        self.hand(node, event);
    }

    /// Takes the store down for all, or brings it back.
    pub fn set_store_down(&mut self, is_down: bool) {
        self.is_store_down = is_down;
        for node in 0..self.nodes.len() {
            let event = match is_down {
                true => RunEvent::StoreLost,
                false => RunEvent::StoreRegained,
            };
            self.hand(node, event);
        }
    }

    /// Changes what happens to orders from now on.
    pub fn set_order_fault(&mut self, fault: OrderFault) {
        self.order_fault = fault;
    }

    /// Changes what is wrong with an upstream.
    pub fn set_upstream_fault(&mut self, upstream: usize, fault: Option<UpstreamFault>) {
        self.upstreams[upstream].fault = fault;
        if fault == Some(UpstreamFault::Dark) {
            self.upstreams[upstream].forget_all(self.now);
        }
    }

    /// Starts an upstream anew under the same name.
    pub fn restart_upstream(&mut self, upstream: usize) {
        let state = &mut self.upstreams[upstream];
        state.fault = None;
        state.forget_all(self.now);
        let mut listed = (*state.listed).clone();
        listed.born_unix_ms = listed.born_unix_ms.map(|born| born + 1_000);
        state.listed = Arc::new(listed);
    }

    /// Lets an upstream say that it is leaving.
    pub fn drain_upstream(&mut self, upstream: usize) {
        let state = &mut self.upstreams[upstream];
        let mut listed = (*state.listed).clone();
        listed.draining = true;
        state.listed = Arc::new(listed);
        for seen in &mut self.listed_to {
            seen.swap_remove(&state.listed.id);
        }
    }

    /// Lets one instance read a version of the intended state with these queues.
    ///
    /// # Panics
    ///
    /// When a queue's name holds blanks or is none.
    pub fn read_intended(&mut self, node: usize, version: u64, queues: &[&str]) {
        let body = Bytes::from(format!("{version} {}", queues.join(" ")));
        let state = QueueNamesDecoder.decode(&body).expect("a valid state");
        let state = Arc::new(state);
        self.hand(node, RunEvent::IntendedRead { state, body });
    }

    /// Gives an upstream a label.
    pub fn label_upstream(&mut self, upstream: usize, label: &str) {
        let state = &mut self.upstreams[upstream];
        let mut listed = (*state.listed).clone();
        listed.labels.push(Arc::from(label));
        state.listed = Arc::new(listed);
        for seen in &mut self.listed_to {
            seen.swap_remove(&state.listed.id);
        }
    }

    /// Takes an upstream's entry out of the list at some instances' next readings, as when it
    /// lapsed, while the upstream lives on.
    pub fn delist(&mut self, upstream: usize) {
        let id = self.upstreams[upstream].listed.id.clone();
        for node in 0..self.nodes.len() {
            let removed = ListingChange::Removed(id.clone());
            self.hand(node, RunEvent::UpstreamsListed(vec![removed]));
        }
    }

    /// Lists an upstream again that was delisted.
    pub fn relist(&mut self, upstream: usize) {
        let id = self.upstreams[upstream].listed.id.clone();
        for seen in &mut self.listed_to {
            seen.swap_remove(&id);
        }
    }

    // What tests see.

    /// The answer to a job.
    pub fn answer(&self, id: &str) -> Option<&SiteAnswer> {
        self.answers.get(id)
    }

    /// The answers by job.
    pub fn answers(&self) -> impl Iterator<Item = (&String, &SiteAnswer)> {
        self.answers.iter()
    }

    /// What must not happen and did.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// The orders and the messages between instances so far.
    pub fn traffic(&self) -> (u64, u64) {
        (self.orders, self.messages)
    }

    /// How many tasks an upstream has started.
    pub fn starts_at(&self, upstream: usize) -> u64 {
        self.upstreams[upstream].starts
    }

    /// How many runs there are now.
    pub fn running(&self) -> usize {
        self.upstreams.iter().map(|state| state.runs.len()).sum()
    }

    /// The upstreams that an instance owns and that take tasks.
    pub fn usable_upstreams(&self, node: usize) -> usize {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(0, |dispatcher| dispatcher.status().usable_upstreams)
    }

    /// What the home of an instance has decided.
    pub fn counts(&self, node: usize) -> RunCounts {
        let dispatcher = self.nodes[node].dispatcher.as_ref();
        dispatcher.map_or(RunCounts::default(), |at| at.status().counts)
    }

    /// The number of instances.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// The number of upstreams.
    pub fn upstreams(&self) -> usize {
        self.upstreams.len()
    }

    /// The time since the start in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now.as_us() / 1_000
    }

    /// A number below `bound`, by chance.
    pub fn chance(&mut self, bound: u64) -> u64 {
        // Xorshift: enough for tests, and the same everywhere.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % bound.max(1)
    }

    // Its course.

    /// Goes on for some milliseconds.
    pub fn run_ms(&mut self, ms: u64) {
        let until = self.now + Duration::from_millis(ms);
        while let Some(entry) = self.happenings.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let at = entry.key().0;
            let happening = entry.remove();
            self.now = self.now.max(at);
            self.happen(happening);
        }
        self.now = until;
    }

    fn at(&mut self, after: Duration, happening: Happening) {
        self.next_number += 1;
        self.happenings
            .insert((self.now + after, self.next_number), happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Event {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.hand(node, event);
                }
            }
            Happening::Wake(node) => {
                if self.nodes[node].wakes_at.is_some_and(|at| at <= self.now) {
                    self.nodes[node].wakes_at = None;
                }
                self.hand(node, RunEvent::Tick);
            }
            Happening::Order {
                node,
                incarnation,
                order,
                upstream,
                what,
                is_answered,
            } => self.carry_out(node, incarnation, order, upstream, &what, is_answered),
            Happening::OrderTimeout {
                node,
                incarnation,
                order,
            } => {
                self.answer_order(node, incarnation, order, OrderAnswer::Lost, Duration::ZERO);
            }
            Happening::Advance(upstream) => self.advance(upstream),
            Happening::RenewWaitOver(upstream) => self.answer_renews(upstream, false),
            Happening::ReadStore(node) => {
                self.beat(node);
                self.read_store(node);
                self.at(STORE_PERIOD, Happening::ReadStore(node));
            }
        }
    }

    fn hand(&mut self, node: usize, event: RunEvent) {
        if self.nodes[node].is_frozen {
            if !matches!(event, RunEvent::Tick) {
                self.nodes[node].waiting.push(event);
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
                self.at(wake.since(now), Happening::Wake(node));
            }
        }
    }

    fn execute(&mut self, node: usize, action: RunAction) {
        match action {
            RunAction::Answer { request, answer } => self.note_answer(node, request, answer),
            RunAction::Order {
                order,
                addressed_order,
            } => {
                let found = self.upstreams.iter();
                let mut found = found.zip(0..);
                let upstream =
                    found.find(|(state, _)| state.listed.address == addressed_order.address);
                if let Some((_, upstream)) = upstream {
                    self.give(node, order, upstream, addressed_order.order);
                }
            }
            RunAction::SendPeer { instance, message } => self.send(node, &instance, message),
            RunAction::RemoveMember { name, row_version } => {
                let member = self.roster.get(&name);
                if member.is_some_and(|member| member.row_version == row_version) {
                    self.store_version += 1;
                    self.roster.swap_remove(&name);
                }
            }
            RunAction::SetPeers(_) | RunAction::RegisterAgain => {}
        }
    }

    fn note_answer(&mut self, node: usize, request: RequestId, answer: RunAnswer) {
        let Some((id, asked_at)) = self.asked.get(&(node, request)).cloned() else {
            return;
        };
        let latest = self.asked.iter().rfind(|(_, (asked, _))| *asked == id);
        if latest.is_some_and(|(key, _)| *key != (node, request)) {
            // Nobody waits for the answer of an earlier attempt.
            return;
        }
        if matches!(answer, RunAnswer::NotRun { .. }) {
            *self.refused.entry(id.clone()).or_default() += 1;
            self.check_refused(&id);
        }
        let answer = SiteAnswer {
            asked_at,
            answered_at: self.now,
            answer,
        };
        self.answers.insert(id, answer);
    }

    /// Notes a job of which something ran although every attempt was told that it has not.
    ///
    /// An attempt whose answer got lost was not told so.
    fn check_refused(&mut self, id: &str) {
        let all_refused = self.refused.get(id) == self.attempts.get(id);
        if all_refused && self.started_jobs.contains(id) {
            let violation = format!("{id} was said not to have run");
            self.violations.push(violation);
        }
    }

    fn send(&mut self, from: usize, to: &str, message: Box<TimedRunMessage>) {
        self.messages += 1;
        let Some(node) = self.nodes.iter().position(|node| &*node.name == to) else {
            return;
        };
        if self.cut_pairs.contains(&(from, node)) {
            return;
        }
        let newest = self.nodes[from].started_at.max(self.nodes[node].started_at);
        if self.now.since(newest) < CONNECT_TIME {
            let instance = Arc::from(to);
            let event = RunEvent::PeerNotSent { instance, message };
            let incarnation = self.nodes[from].incarnation;
            return self.at(
                Duration::ZERO,
                Happening::Event {
                    node: from,
                    incarnation,
                    event,
                },
            );
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
        self.at(
            PEER_DELAY,
            Happening::Event {
                node,
                incarnation,
                event,
            },
        );
    }

    fn give(&mut self, node: usize, order: OrderId, upstream: usize, what: RunOrder) {
        self.orders += 1;
        let incarnation = self.nodes[node].incarnation;
        let wait = match &what {
            RunOrder::Renew { wait, .. } => *wait + RENEW_GRACE,
            _ => ORDER_TIMEOUT,
        };
        self.waiting_orders.insert((node, incarnation, order));
        self.at(
            wait,
            Happening::OrderTimeout {
                node,
                incarnation,
                order,
            },
        );
        let chance = self.chance(100);
        let late = u64::from(self.order_fault.late_percent);
        let unanswered = late + u64::from(self.order_fault.unanswered_percent);
        let delay = match chance < late {
            true => Duration::from_millis(2_000 + self.chance(8_000)),
            false => ORDER_DELAY,
        };
        let path = self.upstream_paths.get(&(node, upstream));
        if path == Some(&PathLoss::Orders) {
            return;
        }
        let is_answered = chance >= unanswered;
        let order = Happening::Order {
            node,
            incarnation,
            order,
            upstream,
            what,
            is_answered,
        };
        self.at(delay, order);
    }

    fn carry_out(
        &mut self,
        node: usize,
        incarnation: u64,
        order: OrderId,
        upstream: usize,
        what: &RunOrder,
        is_answered: bool,
    ) {
        if self.upstreams[upstream].fault == Some(UpstreamFault::Dark) {
            return;
        }
        self.advance(upstream);
        let now = self.now;
        let state = &mut self.upstreams[upstream];
        let clock_ms = Some(state.clock_ms(now));
        let done = match what {
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
                        is_lost: !is_answered,
                    });
                    self.at(*wait, Happening::RenewWaitOver(upstream));
                    return self.advance(upstream);
                }
                result.map(|()| OrderAnswer::Renewed(state.report(now)))
            }
        };
        let answer = done.unwrap_or_else(|refusal| OrderAnswer::Refused { refusal, clock_ms });
        if is_answered && !self.is_deaf(node, upstream) {
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
            self.violations.push(format!("{run} was never asked for"));
            return Err(OrderRefusal::Invalid);
        };
        let asked = StartAsked {
            run,
            demand: job.steps[run.task.step as usize].demand,
            work,
            lease_until_ms,
            fence,
        };
        let was_there = self.upstreams[upstream].runs.contains_key(&run);
        self.upstreams[upstream].start(self.now, &asked)?;
        let job = run.task.job.to_string();
        self.started_jobs.insert(job.clone());
        self.check_refused(&job);
        for other in 0..self.upstreams.len() {
            self.advance(other);
        }
        let runs = self.upstreams.iter().flat_map(|state| state.runs.keys());
        let same = runs.filter(|other| other.task == run.task).count();
        if same > 1 && !was_there {
            let at = self.now_ms();
            self.violations.push(format!("{run} ran twice at {at} ms"));
        }
        Ok(())
    }

    fn answer_order(
        &mut self,
        node: usize,
        incarnation: u64,
        order: OrderId,
        answer: OrderAnswer,
        after: Duration,
    ) {
        if !self.waiting_orders.swap_remove(&(node, incarnation, order)) {
            return;
        }
        let event = RunEvent::OrderAnswered { order, answer };
        self.at(
            after,
            Happening::Event {
                node,
                incarnation,
                event,
            },
        );
    }

    /// Ends what is over at an upstream, and answers the holds that wait for it.
    fn advance(&mut self, upstream: usize) {
        let brought = self.upstreams[upstream].advance(self.now);
        if let Some(at) = self.upstreams[upstream].next_end_at() {
            self.at(at.since(self.now), Happening::Advance(upstream));
        }
        if brought {
            self.answer_renews(upstream, true);
        }
    }

    fn answer_renews(&mut self, upstream: usize, all: bool) {
        let now = self.now;
        let state = &mut self.upstreams[upstream];
        if state.fault == Some(UpstreamFault::Dark) {
            return;
        }
        let due: Vec<WaitingRenew> = state
            .renews
            .extract_if(.., |renew| all || renew.until <= now)
            .collect();
        let report = state.report(now);
        for renew in due.into_iter().filter(|renew| !renew.is_lost) {
            if self.is_deaf(renew.node, upstream) {
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

    /// Whether an instance gets no answers of an upstream.
    fn is_deaf(&self, node: usize, upstream: usize) -> bool {
        self.upstream_paths.contains_key(&(node, upstream))
    }

    fn beat(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        let is_silent = state.dispatcher.is_none() || state.is_frozen || state.is_cut_from_store;
        if is_silent || self.is_store_down {
            return;
        }
        state.beat += 1;
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

    fn read_store(&mut self, node: usize) {
        if self.is_store_down || self.nodes[node].is_cut_from_store {
            return;
        }
        if self.nodes[node].beat == 0 || !self.roster.contains_key(&self.nodes[node].name) {
            self.beat(node);
        }
        let roster = Roster {
            version: self.store_version,
            members: self.roster.values().cloned().collect(),
        };
        self.hand(node, RunEvent::RosterRead(roster));
        let seen = &mut self.listed_to[node];
        let news = self.upstreams.iter().filter(|state| {
            let is_dark = state.fault == Some(UpstreamFault::Dark);
            !is_dark && seen.insert(state.listed.id.clone())
        });
        let news: Vec<ListingChange> = news
            .map(|state| ListingChange::Listed(state.listed.clone()))
            .collect();
        if !news.is_empty() {
            self.hand(node, RunEvent::UpstreamsListed(news));
        }
    }
}

fn show_logs() {
    let Ok(filter) = std::env::var("RUN_SITE_LOG") else {
        return;
    };
    let lines = tracing_subscriber::fmt().without_time().with_target(false);
    // Set once a process: other sites of the same test write to the same place.
    lines.with_env_filter(filter).try_init().ok();
}
