//! The inputs of the dispatcher of leased runs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::evacuation::EvacuatedDataCentres;
use super::intended_state::IntendedState;
use super::job_spec::JobSpec;
use super::listed_upstream::ListingRead;
use super::roster::Roster;
use super::run_id::OrderId;
use super::run_message::TimedRunMessage;
use super::run_order::OrderAnswer;
use crate::event::PeerIdentity;
use crate::id::RequestId;
use crate::time::Timestamp;

/// An input of [`RunDispatcher`](super::run_dispatcher::RunDispatcher).
#[derive(Clone, Debug)]
pub enum RunEvent {
    /// A caller sent a request.
    Requested {
        /// The request to answer.
        request: RequestId,
        /// The requested host.
        host: String,
        /// The requested path.
        path: String,
        /// What the caller asks for.
        kind: RequestKind,
        /// How long the caller waits for the answer; `None` when it names no time.
        wait: Option<Duration>,
    },
    /// A caller disconnected before it was answered.
    RequestDropped {
        /// The request.
        request: RequestId,
    },
    /// An intended state was read from the platform's store.
    IntendedRead {
        /// The state.
        state: Arc<IntendedState>,
        /// The stored bytes, for passing it on to other instances.
        body: Bytes,
    },
    /// The operators' rows were read, after the events with what has changed: nothing else had been
    /// written when the read was requested.
    OperatorsRead {
        /// When the read was requested.
        as_of: Timestamp,
    },
    /// The evacuated data centres were read from the platform's store, all of them.
    EvacuationRead(EvacuatedDataCentres),
    /// The upstreams' entries were read from the platform's store.
    ListingRead(ListingRead),
    /// A version of the roster was read.
    RosterRead(Roster),
    /// The platform's store became reachable.
    StoreRegained,
    /// The platform's store became unreachable.
    StoreLost,
    /// A message from another instance arrived.
    PeerMessage {
        /// Who sent it.
        sender: PeerIdentity,
        /// The message.
        message: Box<TimedRunMessage>,
    },
    /// A message was dropped before any byte of it was sent.
    PeerNotSent {
        /// The instance that it was addressed to.
        instance: Arc<str>,
        /// The message.
        message: Box<TimedRunMessage>,
    },
    /// An order to an upstream was answered, or its answer was given up.
    OrderAnswered {
        /// The order.
        order: OrderId,
        /// The answer, or why there is none.
        answer: OrderAnswer,
    },
    /// A mark came back: every request, disconnection and message that had reached this process before
    /// [`RunAction::ReadInputs`](super::run_action::RunAction::ReadInputs) asked for it was handed over
    /// as an earlier event.
    InputsRead {
        /// The time that the action names.
        as_of: Timestamp,
    },
    /// This process was asked to stop: it finishes what runs and takes over no upstreams.
    StopRequested {
        /// The time until the process exits.
        grace: Duration,
    },
    /// The time of
    /// [`RunDispatcher::next_wakeup`](super::run_dispatcher::RunDispatcher::next_wakeup) has come.
    Tick,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// Run a job and return how it ended.
    Submit(Arc<JobSpec>),
    /// Return the state of a job, or the number of jobs that wait in a queue.
    LookUp,
    /// Cancel a job.
    Cancel,
}
