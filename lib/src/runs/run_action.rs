//! What the dispatcher of leased runs wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use almondhead_macros::value;

use super::run_answer::RunAnswer;
use super::run_id::OrderId;
use super::run_message::TimedRunMessage;
use super::run_order::AddressedOrder;
use crate::id::Incarnation;
use crate::id::RequestId;

/// Something to be done.
#[value]
pub enum RunAction {
    /// Answer a caller.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: RunAnswer,
    },
    /// Give an order to an upstream.
    Order {
        /// The number to answer under.
        order: OrderId,
        /// The order.
        order_to: AddressedOrder,
    },
    /// Send a message to another instance.
    SendPeer {
        /// The instance's name.
        instance: Arc<str>,
        /// The message.
        message: Box<TimedRunMessage>,
    },
    /// Replace the instances that messages can be sent to.
    SetPeers(Vec<PeerAddress>),
    /// Remove a member that has died from the roster, if its row is still this version.
    RemoveMember {
        /// The member's name.
        name: Arc<str>,
        /// The version of its row.
        row_version: u64,
    },
    /// Register this instance again: it was removed while it lived.
    RegisterAgain,
}

/// Where another instance takes messages.
#[value]
pub struct PeerAddress {
    /// The instance's name.
    pub name: Arc<str>,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
}
