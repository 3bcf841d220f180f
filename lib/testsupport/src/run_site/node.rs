//! An instance of the simulated site.

use std::sync::Arc;

use almondhead_lib::id::Incarnation;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::intended_state::IntendedState;
use almondhead_lib::runs::intended_state::RequestLimits;
use almondhead_lib::runs::intended_state::RunService;
use almondhead_lib::runs::run_dispatcher::IntendedDecoder;
use almondhead_lib::runs::run_dispatcher::RunDispatcher;
use almondhead_lib::runs::run_settings::RunLimits;
use almondhead_lib::runs::run_settings::RunSettings;
use almondhead_lib::time::Timestamp;

use super::job::run_queue;

/// The stored form of a simulated site's intended state: its version, then its queues' names.
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

/// The one service of a simulated site.
pub(super) fn work_service() -> RunService {
    RunService {
        name: Arc::from("work"),
        enforces_capacity: true,
    }
}

pub(super) struct SimNode {
    pub(super) name: Arc<str>,
    pub(super) data_centre: Arc<str>,
    /// Counts the runs of its process.
    pub(super) incarnation: u64,
    pub(super) dispatcher: Option<RunDispatcher>,
    pub(super) started_at: Timestamp,
    pub(super) is_frozen: bool,
    pub(super) is_cut_from_store: bool,
    pub(super) is_leaving: bool,
    /// What came while it was frozen.
    pub(super) waiting: Vec<RunEvent>,
    pub(super) beat: u64,
    /// The next time at which it is woken.
    pub(super) wakes_at: Option<Timestamp>,
}

impl SimNode {
    pub(super) fn new(name: &str, data_centre: &str) -> Self {
        SimNode {
            name: Arc::from(name),
            data_centre: Arc::from(data_centre),
            incarnation: 0,
            dispatcher: None,
            started_at: Timestamp::ZERO,
            is_frozen: false,
            is_cut_from_store: false,
            is_leaving: false,
            waiting: Vec::new(),
            beat: 0,
            wakes_at: None,
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        let name = self.name.bytes();
        let name = name.fold(7_u64, |sum, byte| sum.wrapping_mul(31) + u64::from(byte));
        Incarnation(name.wrapping_mul(1_000).wrapping_add(self.incarnation))
    }

    pub(super) fn start(&mut self, now: Timestamp) {
        self.incarnation += 1;
        self.started_at = now;
        self.is_leaving = false;
        self.waiting.clear();
        let settings = RunSettings {
            instance: self.name.clone(),
            data_centre: self.data_centre.clone(),
            incarnation: self.incarnation(),
            limits: RunLimits::default(),
        };
        self.dispatcher = Some(RunDispatcher::new(settings, Box::new(QueueNamesDecoder)));
    }

    /// Its own clock, which starts with its process.
    pub(super) fn clock(&self, now: Timestamp) -> Timestamp {
        Timestamp::ZERO + now.since(self.started_at)
    }
}
