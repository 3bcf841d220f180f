//! The memory and the connections that all callers' requests may take together.
//!
//! A process shares its machine's memory and descriptors between callers, other instances, the store and
//! upstreams. Callers are not under its control, so their connections get a part of both, and the rest
//! is kept for what the process itself opens.

use std::net::Shutdown;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use slotmap::SlotMap;
use smol::net::TcpStream;

use crate::log_limit::LogLimit;
use crate::machine::Machine;

/// The part of the machine's memory that callers' connections may take: a quarter. Growing buffers are counted
/// twice, and the jobs and the state of the process need as much again.
const MEMORY_DIVISOR: u64 = 4;

/// The part of the machine's descriptors that callers' connections may take: half.
const DESCRIPTOR_DIVISOR: u64 = 2;

/// The part of the callers' connections that each other listener may have.
const INTERNAL_DIVISOR: usize = 8;

/// What a connection takes without any input: its task, its first buffers and the system's.
const CONNECTION_BYTES: u64 = 16 * 1_024;

/// The part of the memory that connections without any input may take.
const IDLE_MEMORY_DIVISOR: u64 = 2;

/// How long a connection has been without a request to answer when it may be closed for another one.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// The connections beyond a limit, in parts of it, that may be open until those closed for them are gone.
const CLOSING_DIVISOR: usize = 4;

slotmap::new_key_type! {
    /// An open connection of a caller.
    pub(crate) struct ConnectionKey;
}

/// Whom a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// Callers.
    Callers,
    /// The platform's readiness checks.
    Readiness,
    /// Operators.
    Operators,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a request, receives one, or cannot write its answer.
    Receiving,
    /// Its request is being answered.
    Answering,
}

/// The limits of a [`ConnectionBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BudgetLimits {
    /// The bytes that all connections may take.
    bytes: u64,
    /// The connections of callers.
    callers: usize,
    /// The connections of each other listener.
    internal: usize,
}

impl BudgetLimits {
    fn of(machine: Machine, max_connections: usize) -> Self {
        let bytes = machine.memory_bytes / MEMORY_DIVISOR;
        let by_memory = bytes / IDLE_MEMORY_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = machine.descriptors / DESCRIPTOR_DIVISOR;
        let connections = usize::try_from(by_memory.min(by_descriptors)).unwrap_or(usize::MAX);
        let connections = connections.min(max_connections).max(1);
        BudgetLimits {
            bytes,
            callers: connections,
            internal: (connections / INTERNAL_DIVISOR).max(1),
        }
    }

    fn connections(&self, audience: Audience) -> usize {
        match audience {
            Audience::Callers => self.callers,
            Audience::Readiness | Audience::Operators => self.internal,
        }
    }
}

/// The connections of all HTTP listeners of the process, and what they take.
pub(crate) struct ConnectionBudget {
    limits: BudgetLimits,
    state: Mutex<State>,
    log_limit: LogLimit,
}

#[derive(Default)]
struct State {
    connections: SlotMap<ConnectionKey, Connection>,
    /// The bytes of the connections that stay open.
    kept_bytes: u64,
    /// The bytes of those that have been told to close.
    closing_bytes: u64,
    /// The tasks that read on once some of those are gone.
    waiting: Vec<Waker>,
}

struct Connection {
    audience: Audience,
    stream: TcpStream,
    taken_bytes: u64,
    phase: Phase,
    /// Since when it is in its phase.
    since: Instant,
    is_closing: bool,
}

/// Why a connection is closed for others.
#[derive(Clone, Copy, Debug)]
enum Shortage {
    Connections,
    Memory,
}

impl ConnectionBudget {
    /// Creates the budget of a process; `max_connections` limits the connections of each listener further.
    pub(crate) fn new(machine: Machine, max_connections: usize) -> Arc<Self> {
        let limits = BudgetLimits::of(machine, max_connections);
        tracing::info!(
            memory_bytes = machine.memory_bytes,
            descriptors = machine.descriptors,
            caller_bytes = limits.bytes,
            caller_connections = limits.callers,
            internal_connections = limits.internal,
            "budget of connections"
        );
        Arc::new(ConnectionBudget {
            limits,
            state: Mutex::default(),
            log_limit: LogLimit::default(),
        })
    }

    /// Counts a new connection, and closes the one that has been without a request for longest where there
    /// are too many; none if there is no such connection.
    pub(crate) fn open(
        self: &Arc<Self>,
        audience: Audience,
        stream: TcpStream,
    ) -> Option<OpenConnection> {
        let max = self.limits.connections(audience);
        let now = Instant::now();
        let mut state = self.lock();
        let of_audience = state.connections.values();
        let of_audience = of_audience.filter(|connection| connection.audience == audience);
        let (open, closing) = of_audience.fold((0, 0), |(open, closing), connection| {
            (open + 1, closing + usize::from(connection.is_closing))
        });
        if open >= max + max / CLOSING_DIVISOR {
            return None;
        }
        let mut woken = Vec::new();
        if open - closing >= max {
            let idle = state.longest_idle(audience, now)?;
            self.close(&mut state, idle, Shortage::Connections);
            woken = state.take_waiting();
        }
        state.kept_bytes += CONNECTION_BYTES;
        let key = state.connections.insert(Connection {
            audience,
            stream,
            taken_bytes: CONNECTION_BYTES,
            phase: Phase::Receiving,
            since: now,
            is_closing: false,
        });
        drop(state);
        wake_all(woken);
        Some(OpenConnection {
            budget: Arc::clone(self),
            key,
        })
    }

    /// Tells a connection to close: its task is woken by the end of its stream, or with those that wait.
    fn close(&self, state: &mut State, key: ConnectionKey, shortage: Shortage) {
        let connection = &mut state.connections[key];
        connection.is_closing = true;
        state.kept_bytes -= connection.taken_bytes;
        state.closing_bytes += connection.taken_bytes;
        // Fails when the caller has closed it already.
        connection.stream.shutdown(Shutdown::Both).ok();
        if let Some(suppressed) = self.log_limit.permit() {
            let (audience, phase) = (connection.audience, connection.phase);
            let taken_bytes = connection.taken_bytes;
            tracing::warn!(
                ?shortage,
                ?audience,
                ?phase,
                taken_bytes,
                suppressed,
                "connection closed for others"
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Takes the wakers of the tasks that wait, to be woken without the lock: some may have been told to close,
    /// and others can read on.
    fn take_waiting(&mut self) -> Vec<Waker> {
        std::mem::take(&mut self.waiting)
    }

    /// The connection that has been without a request to answer for longest, if that is long enough.
    fn longest_idle(&self, audience: Audience, now: Instant) -> Option<ConnectionKey> {
        let idle = self.connections.iter().filter(|(_, connection)| {
            connection.audience == audience
                && !connection.is_closing
                && connection.phase == Phase::Receiving
                && now.duration_since(connection.since) >= MIN_IDLE
        });
        let longest = idle.min_by_key(|(_, connection)| connection.since);
        longest.map(|(key, _)| key)
    }

    /// The connection that takes most.
    fn largest(&self) -> Option<ConnectionKey> {
        let kept = self.connections.iter();
        let kept = kept.filter(|(_, connection)| !connection.is_closing);
        let largest = kept.max_by_key(|(_, connection)| connection.taken_bytes);
        largest.map(|(key, _)| key)
    }
}

/// One open connection; it is counted until it is dropped.
pub(crate) struct OpenConnection {
    budget: Arc<ConnectionBudget>,
    key: ConnectionKey,
}

impl OpenConnection {
    /// Whether the connection has been told to close.
    pub(crate) fn is_closing(&self) -> bool {
        self.budget.lock().connections[self.key].is_closing
    }

    /// Ready when the connection may receive more; until connections that were closed for their memory have
    /// given it back, it waits.
    pub(crate) fn poll_receive(&self, context: &Context<'_>) -> Poll<()> {
        let mut state = self.budget.lock();
        let taken_bytes = state.kept_bytes + state.closing_bytes;
        if state.closing_bytes == 0 || taken_bytes <= self.budget.limits.bytes {
            return Poll::Ready(());
        }
        state.waiting.push(context.waker().clone());
        Poll::Pending
    }

    /// Records how much the connection's input takes; the connections that take most are closed where all
    /// together take too much.
    pub(crate) fn set_input_bytes(&self, input_bytes: u64) {
        let mut state = self.budget.lock();
        let connection = &mut state.connections[self.key];
        if connection.is_closing {
            return;
        }
        let before = connection.taken_bytes;
        connection.taken_bytes = input_bytes.saturating_add(CONNECTION_BYTES);
        let after = connection.taken_bytes;
        state.kept_bytes = state.kept_bytes - before + after;
        let mut woken = Vec::new();
        while state.kept_bytes > self.budget.limits.bytes
            && let Some(largest) = state.largest()
        {
            self.budget.close(&mut state, largest, Shortage::Memory);
            woken.append(&mut state.take_waiting());
        }
        drop(state);
        wake_all(woken);
    }

    /// Records what the connection is doing from now on.
    pub(crate) fn enter(&self, phase: Phase) {
        let mut state = self.budget.lock();
        let connection = &mut state.connections[self.key];
        connection.phase = phase;
        connection.since = Instant::now();
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        let Some(connection) = state.connections.remove(self.key) else {
            return;
        };
        match connection.is_closing {
            true => state.closing_bytes -= connection.taken_bytes,
            false => state.kept_bytes -= connection.taken_bytes,
        }
        let woken = state.take_waiting();
        drop(state);
        wake_all(woken);
    }
}

fn wake_all(wakers: Vec<Waker>) {
    for waker in wakers {
        waker.wake();
    }
}
