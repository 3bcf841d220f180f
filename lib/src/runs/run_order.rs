//! Orders to upstreams, and what came back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondhead_macros::value;

use super::run_id::RunId;

/// An order with the upstream that it is for.
#[value]
pub struct AddressedOrder {
    /// The name of the upstream's life.
    pub upstream: Arc<str>,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The order.
    pub order: RunOrder,
}

/// An order to an upstream.
#[value]
pub enum RunOrder {
    /// Start a run.
    Start {
        /// The run.
        run: RunId,
        /// The job's text.
        spec: Arc<str>,
        /// How long the upstream may keep running without another order, on its own clock.
        lease_until_ms: u64,
        /// The ownership under which the order is given.
        fence: u64,
    },
    /// Stop a run, or keep it from ever starting.
    Stop {
        /// The run.
        run: RunId,
        /// The ownership under which the order is given.
        fence: u64,
    },
    /// Renew the lease of all that runs, and list it.
    Renew {
        /// How long the upstream may keep running without another order, on its own clock; none
        /// to look without renewing.
        lease_until_ms: Option<u64>,
        /// The ownership under which the order is given.
        fence: u64,
        /// The number of the last end that was taken note of; those up to it are forgotten.
        acknowledged_end: u64,
        /// How long the answer may wait for an end.
        wait: Duration,
    },
}

/// What came back of an order.
#[value]
pub enum OrderAnswer {
    /// It was carried out.
    Done {
        /// The upstream's clock.
        clock_ms: Option<u64>,
    },
    /// A hold was carried out.
    Renewed(RenewReport),
    /// It was refused; nothing was done.
    Refused {
        /// Why.
        refusal: OrderRefusal,
        /// The upstream's clock.
        clock_ms: Option<u64>,
    },
    /// Nothing of it was sent.
    NotSent,
    /// No answer: it may have been carried out, or may be later.
    Lost,
}

/// Why an upstream refused an order.
#[value]
#[derive(Copy, derive_more::Display)]
pub enum OrderRefusal {
    /// Another owner holds the upstream under a higher fence.
    #[display("fence")]
    Fence,
    /// A run with a number as high has been there.
    #[display("old_run")]
    OldRun,
    /// The lease that it offers is over already.
    #[display("lease_over")]
    LeaseExpired,
    /// The task does not fit into what is free.
    #[display("no_room")]
    NoCapacity,
    /// The upstream lives another life now.
    #[display("other_life")]
    OtherIncarnation,
    /// The upstream is not well and did nothing.
    #[display("unhealthy")]
    Unhealthy,
    /// The order makes no sense to it.
    #[display("invalid")]
    Invalid,
}

/// What an upstream lists.
#[value]
pub struct RenewReport {
    /// Its clock.
    pub clock_ms: u64,
    /// When this life of it began, in milliseconds since the Unix epoch, where it says so.
    pub born_unix_ms: Option<u64>,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// What has ended and was not taken note of yet.
    pub ended: Vec<EndedRow>,
}

/// A run that runs.
#[value]
#[derive(Copy)]
pub struct RunningRow {
    /// The run.
    pub run: RunId,
    /// How much of its work is done.
    pub percent: u8,
}

/// A run that has ended.
#[value]
#[derive(Copy)]
pub struct EndedRow {
    /// The upstream's number of the end.
    pub number: u64,
    /// The run; none when the upstream names it in a way that is not ours.
    pub run: Option<RunId>,
    /// How it ended.
    pub how: RunOutcome,
}

/// How a run ended, as its upstream says.
#[value]
#[derive(Copy, derive_more::Display)]
pub enum RunOutcome {
    /// The task is done.
    #[display("done")]
    Done,
    /// It failed, through its own fault or the upstream's.
    #[display("failed")]
    Failed,
    /// It was stopped by order.
    #[display("stopped")]
    Stopped,
    /// Its lease ran out.
    #[display("lapsed")]
    LeaseExpired,
    /// It ended for another reason that is not its own.
    #[display("other")]
    Other,
}
