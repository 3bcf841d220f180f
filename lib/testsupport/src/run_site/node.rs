//! A node of the simulated site: an instance and the dispatcher of its current incarnation.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::id::Incarnation;
use almondhead_lib::id::RequestId;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::intended_state::IntendedState;
use almondhead_lib::runs::intended_state::RequestLimits;
use almondhead_lib::runs::intended_state::RunService;
use almondhead_lib::runs::listed_upstream::ListingChange;
use almondhead_lib::runs::overload::OverloadPolicy;
use almondhead_lib::runs::run_dispatcher::IntendedDecoder;
use almondhead_lib::runs::run_dispatcher::RunDispatcher;
use almondhead_lib::runs::run_settings::RunLimits;
use almondhead_lib::runs::run_settings::RunSettings;
use almondhead_lib::time::Timestamp;
use indexmap::IndexSet;

use super::job::run_queue;

/// Decodes the stored form of a simulated site's intended state: its version, then the names of its
/// queues, separated by spaces.
#[derive(Debug)]
pub(super) struct QueueNamesDecoder;

impl IntendedDecoder for QueueNamesDecoder {
    fn decode(&self, body: &[u8]) -> Option<IntendedState> {
        let text = std::str::from_utf8(body).ok()?;
        let mut words = text.split_whitespace();
        let version = words.next()?.parse().ok()?;
        let queues = words.map(|name| Arc::new(run_queue(name, 0, 3)));
        Some(IntendedState {
            version,
            queues: queues.collect(),
            services: vec![work_service()],
            limits: RequestLimits::default(),
        })
    }
}

/// Returns the only service of a simulated site.
pub(super) fn work_service() -> RunService {
    RunService {
        name: Arc::from("work"),
        enforces_capacity: true,
    }
}

/// An input that has reached a process and waits to be read.
pub(super) struct WaitingInput {
    pub(super) arrived_at: Timestamp,
    pub(super) event: RunEvent,
}

/// A simulated instance.
pub(super) struct SimNode {
    pub(super) name: Arc<str>,
    pub(super) data_centre: Arc<str>,
    /// The processor capacity that its row in the roster names.
    pub(super) processor_millicores: Option<u32>,
    pub(super) overload: OverloadPolicy,
    /// The durations and bounds of its processes.
    pub(super) limits: RunLimits,
    /// The number of processes started so far for this instance.
    pub(super) incarnation: u64,
    /// None while the instance is killed.
    pub(super) dispatcher: Option<RunDispatcher>,
    /// The site's time when the current process started.
    pub(super) started_at: Timestamp,
    pub(super) is_frozen: bool,
    pub(super) is_cut_from_store: bool,
    pub(super) is_leaving: bool,
    /// The events that arrived while it was frozen.
    pub(super) frozen_events: Vec<RunEvent>,
    /// How long after its arrival an input is read.
    pub(super) input_lag: Duration,
    /// The inputs that have arrived and wait for the lag, in the order of arrival.
    pub(super) waiting_inputs: VecDeque<WaitingInput>,
    /// The site's time of the next planned read of inputs.
    pub(super) reads_at: Option<Timestamp>,
    /// The requests whose callers have disconnected.
    pub(super) disconnected: IndexSet<RequestId>,
    /// The version of the evacuated data centres that its process has read.
    pub(super) evacuation_version: u64,
    /// Whether its process reads the upstreams' entries.
    pub(super) reads_listing: bool,
    /// The removals of entries while its process did not read them.
    pub(super) unread_removals: Vec<ListingChange>,
    /// How often its process has read them.
    pub(super) listing_reads: u64,
    /// The rate in bytes a millisecond at which its link carries messages to it; unlimited if none.
    pub(super) link_bytes_per_ms: Option<u64>,
    /// When its link has carried all messages sent to it so far.
    pub(super) link_free_at: Timestamp,
    /// The intended states sent to it by other instances so far.
    pub(super) received_states: u64,
    /// The messages to and from other instances so far.
    pub(super) messages: u64,
    /// The number of heartbeats written to the store so far.
    pub(super) heartbeats: u64,
    /// The site's time of the next scheduled wake-up.
    pub(super) wakes_at: Option<Timestamp>,
}

impl SimNode {
    pub(super) fn new(name: &str, data_centre: &str) -> Self {
        SimNode {
            name: Arc::from(name),
            data_centre: Arc::from(data_centre),
            processor_millicores: None,
            overload: OverloadPolicy::default(),
            limits: RunLimits::default(),
            incarnation: 0,
            dispatcher: None,
            started_at: Timestamp::ZERO,
            is_frozen: false,
            is_cut_from_store: false,
            is_leaving: false,
            frozen_events: Vec::new(),
            input_lag: Duration::ZERO,
            waiting_inputs: VecDeque::new(),
            reads_at: None,
            disconnected: IndexSet::new(),
            evacuation_version: 0,
            reads_listing: true,
            unread_removals: Vec::new(),
            listing_reads: 0,
            link_bytes_per_ms: None,
            link_free_at: Timestamp::ZERO,
            received_states: 0,
            messages: 0,
            heartbeats: 0,
            wakes_at: None,
        }
    }

    /// Returns the incarnation's id, derived from the instance's name and the number of its
    /// process.
    pub(super) fn incarnation(&self) -> Incarnation {
        let name = self.name.bytes();
        let name = name.fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte));
        Incarnation(name.wrapping_mul(1_000).wrapping_add(self.incarnation))
    }

    /// Starts a new process with an empty dispatcher.
    pub(super) fn start(&mut self, now: Timestamp) {
        self.incarnation += 1;
        self.started_at = now;
        self.is_leaving = false;
        self.frozen_events.clear();
        self.waiting_inputs.clear();
        self.reads_at = None;
        self.disconnected.clear();
        self.evacuation_version = 0;
        self.reads_listing = true;
        self.unread_removals.clear();
        self.listing_reads = 0;
        let settings = RunSettings {
            instance: self.name.clone(),
            data_centre: self.data_centre.clone(),
            incarnation: self.incarnation(),
            overload: self.overload,
            limits: self.limits,
        };
        self.dispatcher = Some(RunDispatcher::new(settings, Box::new(QueueNamesDecoder)));
    }

    /// Returns the time on the process's own clock, which starts at zero with the process.
    pub(super) fn clock(&self, now: Timestamp) -> Timestamp {
        Timestamp::ZERO + now.since(self.started_at)
    }

    /// Returns when the next input is due to be read.
    pub(super) fn next_input_due(&self) -> Option<Timestamp> {
        let next = self.waiting_inputs.front()?;
        Some(next.arrived_at + self.input_lag)
    }

    /// Takes the next input if it is due.
    pub(super) fn next_input(&mut self, now: Timestamp) -> Option<RunEvent> {
        let due = self.next_input_due().filter(|_| !self.is_frozen)?;
        let next = match due <= now {
            true => self.waiting_inputs.pop_front()?,
            false => return None,
        };
        Some(next.event)
    }
}
