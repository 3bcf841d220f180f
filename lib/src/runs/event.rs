//! What comes into the dispatcher of leased runs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::intended_state::IntendedState;
use super::job_spec::JobSpec;
use super::listed_upstream::ListingChange;
use super::roster::Roster;
use super::run_id::OrderId;
use super::run_message::TimedRunMessage;
use super::run_order::OrderAnswer;
use crate::event::PeerIdentity;
use crate::id::RequestId;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum RunEvent {
    /// A caller sent a request.
    Requested {
        /// The request to answer.
        request: RequestId,
        /// The host that it names.
        host: String,
        /// Its path.
        path: String,
        /// What it asks.
        kind: RequestKind,
        /// How long its caller waits for the answer.
        wait: Option<Duration>,
    },
    /// A caller went away before its answer.
    RequestDropped {
        /// The request.
        request: RequestId,
    },
    /// An intended state was read.
    IntendedRead {
        /// The state.
        state: Arc<IntendedState>,
        /// Its bytes as stored, to pass on.
        body: Bytes,
    },
    /// The list of upstreams changed.
    UpstreamsListed(Vec<ListingChange>),
    /// The list of instances was read.
    RosterRead(Roster),
    /// The platform's store answers again, or for the first time.
    StoreRegained,
    /// The platform's store does not answer.
    StoreLost,
    /// A message of another instance.
    PeerMessage {
        /// Who sent it.
        sender: PeerIdentity,
        /// The message.
        message: Box<TimedRunMessage>,
    },
    /// A message was dropped before a byte of it was sent.
    PeerNotSent {
        /// The instance that it was for.
        instance: Arc<str>,
        /// The message.
        message: Box<TimedRunMessage>,
    },
    /// An order was answered, or not.
    OrderAnswered {
        /// The order.
        order: OrderId,
        /// What came back.
        answer: OrderAnswer,
    },
    /// This process was asked to stop: finish what runs, own nothing new.
    StopRequested {
        /// How long it may take.
        grace: Duration,
    },
    /// A time that the dispatcher named has come.
    Tick,
}

/// What a caller asks.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// Run a job and tell how it ended.
    Submit(Arc<JobSpec>),
    /// Tell a job's state, or how many jobs of a queue wait.
    LookUp,
    /// Cancel a job.
    Cancel,
}
