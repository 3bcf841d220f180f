//! What tests can do to a simulated site.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::id::RequestId;
use almondhead_lib::runs::evacuation::EvacuatedDataCentres;
use almondhead_lib::runs::event::RequestKind;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::job_spec::JobSpec;
use almondhead_lib::runs::listed_upstream::ListingChange;
use almondhead_lib::runs::listed_upstream::ListingRead;
use almondhead_lib::runs::run_dispatcher::IntendedDecoder;
use almondhead_lib::runs::run_order::OrderAnswer;
use bytes::Bytes;

use super::node::QueueNamesDecoder;
use super::site::HeldMessage;
use super::site::OrderFault;
use super::site::PEER_DELAY;
use super::site::PathLoss;
use super::site::RunSite;
use super::site::ScheduledEvent;
use super::site_store::STORE_READ_INTERVAL;
use super::upstream::UpstreamFault;

/// How long an upstream stays down that a deadly task has crashed.
const CRASH_TIME: Duration = Duration::from_secs(3);

/// How long after it was thawed an instance reads that callers have left: each connection is polled
/// by a task of its own.
const DISCONNECT_READ_DELAY: Duration = Duration::from_millis(2);

impl RunSite {
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
        self.departures.swap_remove(id);
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

    /// Requests through an instance that a job be cancelled.
    pub fn cancel(&mut self, node: usize, queue: &str, id: &str) {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let event = RunEvent::Requested {
            request,
            host: "site.example".to_owned(),
            path: format!("/{queue}/{id}"),
            kind: RequestKind::Cancel,
            wait: None,
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
            self.record_departure(id.to_owned());
            self.deliver(node, RunEvent::RequestDropped { request });
        }
    }

    /// Kills an instance.
    pub fn kill(&mut self, node: usize) {
        self.record_departures(node);
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
    /// [`DISCONNECT_READ_DELAY`] later that callers have left. If its inputs lag, it reads all of this
    /// after the lag.
    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].is_frozen = false;
        // What was not read before the pause waits for the whole lag again.
        let now = self.now;
        for input in &mut self.nodes[node].waiting_inputs {
            input.arrived_at = now;
        }
        self.read_inputs(node);
        let events = std::mem::take(&mut self.nodes[node].frozen_events);
        let incarnation = self.nodes[node].incarnation;
        for event in events {
            match &event {
                RunEvent::RequestDropped { .. } => {
                    self.schedule_event(DISCONNECT_READ_DELAY, node, incarnation, event);
                }
                _ => self.deliver(node, event),
            }
        }
        self.handle(node, RunEvent::Tick);
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

    /// Lets no message from one instance to another be sent, or lets them be sent again.
    pub fn refuse_messages(&mut self, from: usize, to: usize, is_refused: bool) {
        match is_refused {
            true => self.refused_pairs.insert((from, to)),
            false => self.refused_pairs.swap_remove(&(from, to)),
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

    /// Delays the messages from one instance to another that are sent from now on, as a link with a
    /// long queue does.
    pub fn delay_messages(&mut self, from: usize, to: usize, delay: Duration) {
        self.message_delays.insert((from, to), delay);
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

    /// Lets no stop be answered from now on, and carries each out seconds late; or ends that.
    pub fn delay_stops(&mut self, is_on: bool) {
        self.delays_stops = is_on;
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
        self.crash_by(upstream, UpstreamFault::Crashed);
    }

    pub(super) fn crash_by(&mut self, upstream: usize, fault: UpstreamFault) {
        self.set_upstream_fault(upstream, Some(fault));
        self.schedule(CRASH_TIME, ScheduledEvent::Restart(upstream));
    }

    /// Makes each run of a job's first task crash its upstream [`CRASH_DELAY`] after its start.
    pub fn set_deadly(&mut self, id: &str) {
        self.set_deadly_by(id, UpstreamFault::Crashed);
    }

    /// Does the same by this fault.
    pub fn set_deadly_by(&mut self, id: &str, fault: UpstreamFault) {
        self.deadly_jobs.insert(id.to_owned(), fault);
    }

    /// Restarts an upstream under the same name, as a new incarnation without its runs, which lists
    /// itself at once.
    pub fn restart_upstream(&mut self, upstream: usize) {
        let labels = self.upstreams[upstream].listed.labels.clone();
        let labels: Vec<&str> = labels.iter().map(|label| &**label).collect();
        self.restart_upstream_as(upstream, &labels);
    }

    /// Restarts an upstream as another kind: with these labels in place of its own.
    pub fn restart_upstream_as(&mut self, upstream: usize, labels: &[&str]) {
        let state = &mut self.upstreams[upstream];
        state.fault = None;
        state.reset(self.now);
        let mut listed = (*state.listed).clone();
        listed.born_unix_ms = listed.born_unix_ms.map(|born| born + 1_000);
        listed.labels = labels.iter().map(|label| Arc::from(*label)).collect();
        state.listed = Arc::new(listed);
        self.list_again(upstream);
    }

    /// Makes all upstreams start whatever they are ordered to, also beyond their capacity.
    pub fn stop_guarding_capacity(&mut self) {
        for upstream in &mut self.upstreams {
            upstream.guards_capacity = false;
        }
    }

    /// Changes the processor capacity of an upstream that goes on running, in thousandths of a core.
    pub fn set_capacity(&mut self, upstream: usize, cpu_millicores: u32) {
        let state = &mut self.upstreams[upstream];
        let mut listed = (*state.listed).clone();
        listed.capacity.cpu_millicores = cpu_millicores;
        state.listed = Arc::new(listed);
        state.capacity_changed_at = self.now;
        self.list_again(upstream);
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

    /// Requests in the store that a data centre is evacuated, or withdraws the request.
    pub fn evacuate(&mut self, data_centre: &str, is_evacuated: bool) {
        self.store_version += 1;
        self.evacuated.version = self.store_version;
        let names = &mut self.evacuated.names;
        names.retain(|name| &**name != data_centre);
        if is_evacuated {
            names.push(Arc::from(data_centre));
        }
    }

    /// Delivers a set of evacuated data centres to one instance as read from the store.
    pub fn deliver_evacuated(&mut self, node: usize, version: u64, data_centres: &[&str]) {
        let names = data_centres.iter().map(|name| Arc::from(*name)).collect();
        let set = EvacuatedDataCentres { version, names };
        self.deliver(node, RunEvent::EvacuationRead(set));
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
                as_of: Some(self.nodes[node].clock(self.now)),
            };
            self.deliver(node, RunEvent::ListingRead(read));
        }
    }

    /// Lists a removed upstream again.
    pub fn relist(&mut self, upstream: usize) {
        self.list_again(upstream);
    }
}
