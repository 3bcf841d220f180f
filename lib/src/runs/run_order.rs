//! Orders to upstreams, and their answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use super::run_id::RunId;

/// An order with the address of its upstream.
#[value]
pub struct AddressedOrder {
    /// The name of the upstream; another one at its address refuses the order.
    pub upstream: Arc<str>,
    /// The address that takes orders.
    pub address: SocketAddr,
    /// The order.
    pub order: RunOrder,
}

/// An order to an upstream about its runs.
#[value]
pub enum RunOrder {
    /// Start a run.
    Start {
        /// The run.
        run: RunId,
        /// The job's text, passed on to the task.
        payload: Arc<str>,
        /// When the lease ends on the upstream's clock, in milliseconds; without another order the
        /// upstream stops the run then.
        lease_until_ms: u64,
        /// The fencing token of the owner.
        fence: u64,
    },
    /// Stop a run, or keep it from ever starting.
    Stop {
        /// The run.
        run: RunId,
        /// The fencing token of the owner.
        fence: u64,
    },
    /// Renew the leases of all runs, and list the runs and the new ends.
    Renew {
        /// When the lease ends on the upstream's clock, in milliseconds; none to list without renewing.
        lease_until_ms: Option<u64>,
        /// The fencing token of the owner.
        fence: u64,
        /// The number of the last end that the owner has handled; the upstream forgets those up to it.
        acknowledged_end: u64,
        /// How long the answer may wait for a new end.
        wait: Duration,
    },
}

impl RunOrder {
    /// When the lease that it grants ends on the upstream's clock, in milliseconds; none without a lease.
    pub(crate) fn lease_until_ms(&self) -> Option<u64> {
        match self {
            RunOrder::Start { lease_until_ms, .. } => Some(*lease_until_ms),
            RunOrder::Renew { lease_until_ms, .. } => *lease_until_ms,
            RunOrder::Stop { .. } => None,
        }
    }
}

/// The outcome of sending an order.
#[value]
pub enum OrderAnswer {
    /// It was carried out.
    Done {
        /// The upstream's clock.
        clock_ms: Option<u64>,
    },
    /// A renew order was carried out.
    Renewed(RenewReport),
    /// It was refused; nothing was done.
    Refused {
        /// Why.
        refusal: OrderRefusal,
        /// The upstream's clock.
        clock_ms: Option<u64>,
    },
    /// It was not sent, so it is certainly not carried out.
    NotSent,
    /// It was not sent: the connection was refused. No process listens at the upstream's address, or
    /// the network between refuses connections.
    NoListener,
    /// No answer came in time: it may have been carried out, or may be carried out later.
    Lost,
    /// The upstream closed the connection without an answer: it may have been carried out, or may be
    /// carried out later as long as the upstream's process goes on.
    Closed,
    /// The connection was reset without an answer, by the upstream or by the network between: it may
    /// have been carried out, or may be carried out later.
    Reset,
}

/// Why an upstream refused an order.
#[value]
#[derive(Copy, derive_more::Display)]
pub enum OrderRefusal {
    /// Another instance owns the upstream under a higher fence.
    #[display("fence")]
    Fence,
    /// The upstream has already had a run of the task with this number or a higher one.
    #[display("old_run")]
    OldRun,
    /// The lease that it grants has already expired.
    #[display("lease_over")]
    LeaseExpired,
    /// The task does not fit into the free capacity.
    #[display("no_room")]
    NoCapacity,
    /// Another incarnation of the upstream, or another upstream, answers at the address.
    #[display("other_life")]
    OtherIncarnation,
    /// The upstream is unhealthy or overloaded, and has done nothing.
    #[display("unhealthy")]
    Unhealthy,
    /// The upstream considers the order invalid.
    #[display("invalid")]
    Invalid,
}

/// An upstream's report in the answer to a renew order.
#[value]
pub struct RenewReport {
    /// The upstream's clock.
    pub clock_ms: u64,
    /// When the upstream's current incarnation began, in milliseconds since the Unix epoch, where it
    /// reports that.
    pub born_unix_ms: Option<u64>,
    /// The runs that go on.
    pub running: Vec<RunningRow>,
    /// The ends that the owner has not acknowledged yet.
    pub ended: Vec<EndedRow>,
}

/// A run that an upstream lists as running.
#[value]
#[derive(Copy)]
pub struct RunningRow {
    /// The run.
    pub run: RunId,
    /// How much of its work is done, rounded down.
    pub percent: u8,
}

/// A run that an upstream lists as ended.
#[value]
#[derive(Copy)]
pub struct EndedRow {
    /// The upstream's number of the end, rising from end to end.
    pub number: u64,
    /// The run; none when its name on the upstream cannot be parsed.
    pub run: Option<RunId>,
    /// How it ended.
    pub how: RunOutcome,
}

/// How a run ended, as its upstream reports it.
#[value]
#[derive(Copy, derive_more::Display)]
pub enum RunOutcome {
    /// The task is done.
    #[display("done")]
    Done,
    /// It failed, through its own fault or the upstream's.
    #[display("failed")]
    Failed,
    /// A stop order ended it.
    #[display("stopped")]
    Stopped,
    /// Its lease expired.
    #[display("lapsed")]
    LeaseExpired,
    /// It ended for another reason, not through the task itself.
    #[display("other")]
    Other,
}
