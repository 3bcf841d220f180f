//! The outputs of the dispatcher of leased runs.

use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;

use super::run_answer::RunAnswer;
use super::run_id::OrderId;
use super::run_message::TimedRunMessage;
use super::run_order::AddressedOrder;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::time::Timestamp;

/// An operation that [`RunDispatcher`](super::run_dispatcher::RunDispatcher) leaves to its caller,
/// since it does no I/O.
#[value]
pub enum RunAction {
    /// Answer a caller's request.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: RunAnswer,
    },
    /// Send an order to an upstream.
    Order {
        /// The number that identifies the order in
        /// [`RunEvent::OrderAnswered`](super::event::RunEvent::OrderAnswered).
        order: OrderId,
        /// The order with the upstream that it is for.
        addressed_order: AddressedOrder,
    },
    /// Send a message to another instance.
    SendPeer {
        /// The instance's name.
        instance: Arc<str>,
        /// The message.
        message: Box<TimedRunMessage>,
    },
    /// Replace the set of instances that messages can be sent to.
    SetPeers(Vec<PeerAddress>),
    /// Remove a dead member from the roster if its row still has this version.
    RemoveMember {
        /// The member's name.
        name: Arc<str>,
        /// The version of its row.
        row_version: u64,
    },
    /// Read the upstreams' entries from now on, or stop reading them.
    ReadListing {
        /// Whether to read them.
        is_on: bool,
        /// The version of the store up to which all changes are known; none if none are.
        known_version: Option<u64>,
    },
    /// Send a mark behind all inputs that have reached this process, and return it as
    /// [`RunEvent::InputsRead`](super::event::RunEvent::InputsRead).
    ReadInputs {
        /// The present time.
        as_of: Timestamp,
    },
    /// Register this instance again: it was removed from the roster while it was running.
    RegisterAgain,
}

/// The identity of another instance and where it accepts messages.
#[value]
pub struct PeerAddress {
    /// The instance's name.
    pub name: Arc<str>,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
}
