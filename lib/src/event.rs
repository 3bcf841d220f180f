//! What comes into the dispatcher.

use std::sync::Arc;

use almondhead_macros::value;
use bytes::Bytes;

use crate::document::Document;
use crate::id::AttemptId;
use crate::id::Incarnation;
use crate::id::JobAddress;
use crate::id::RequestId;
use crate::membership::Membership;
use crate::outcome::AttemptEnd;
use crate::peer_message::PeerMessage;
use crate::submission::Submission;

/// Something that happened, handed to [`crate::dispatcher::Dispatcher::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submitted a job, or submitted it again, to this entry instance.
    Submitted {
        /// The request to answer.
        request: RequestId,
        /// The name under which the caller addresses the job.
        address: JobAddress,
        /// The job.
        submission: Arc<Submission>,
    },
    /// A caller asked for the answer of a job submitted before.
    LookedUp {
        /// The request to answer.
        request: RequestId,
        /// The job's address.
        address: JobAddress,
    },
    /// A caller asked to cancel a job.
    Cancelled {
        /// The request to answer.
        request: RequestId,
        /// The job's address.
        address: JobAddress,
    },
    /// A caller's connection closed before its answer.
    RequestDropped {
        /// The request that needs no answer any more.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// The platform's table answered a claim.
    ClaimEnded {
        /// The claim's number.
        claim: u64,
        /// How.
        end: ClaimEnd,
    },
    /// A message of another entry instance came in, already authenticated.
    PeerMessage {
        /// Who sent it.
        sender: PeerIdentity,
        /// The message.
        message: PeerMessage,
    },
    /// A message of [`crate::action::Action::SendPeer`] was dropped before a byte of it was sent.
    PeerNotSent {
        /// The instance that it was for.
        instance: Arc<str>,
        /// The message.
        message: PeerMessage,
    },
    /// The wall clock was read, for times that the document names.
    WallClockRead {
        /// Milliseconds since the Unix epoch.
        unix_ms: u64,
    },
    /// A higher revision of the document was read.
    DocumentInstalled {
        /// The revision.
        revision: u64,
        /// The document.
        document: Arc<Document>,
        /// Its text as submitted, to pass on to siblings.
        text: Bytes,
    },
    /// What is known of live and leaving instances changed.
    MembershipChanged(Membership),
    /// This process was asked to stop: finish what runs, take no new jobs.
    StopRequested,
    /// A time that [`crate::dispatcher::Dispatcher::next_wakeup`] named has come.
    Tick,
}

/// Who sent a peer message.
#[value]
#[derive(Hash)]
pub struct PeerIdentity {
    /// The instance's name.
    pub instance: Arc<str>,
    /// The incarnation that sent the message.
    pub incarnation: Incarnation,
}

/// How a claim of an idempotency key ended.
#[value]
pub enum ClaimEnd {
    /// The key is ours; the job may start.
    Acquired,
    /// The key was claimed before, by the incarnation that is the job's home.
    AlreadyClaimed {
        /// The home, which may be this incarnation.
        home: PeerIdentity,
        /// The home's number of the claim that took effect.
        claim: u64,
    },
    /// Nobody claimed the key; only [`crate::action::Action::FindHome`] ends so.
    Unclaimed,
    /// The table could not be reached, and the key is not known to be ours.
    Unavailable,
}
