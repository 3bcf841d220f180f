//! The events that the dispatcher handles.

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

/// An input of [`crate::dispatcher::Dispatcher::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submitted or resubmitted a job to this entry instance.
    Submitted {
        /// The request to answer.
        request: RequestId,
        /// The address of the job.
        address: JobAddress,
        /// The job.
        submission: Arc<Submission>,
    },
    /// A caller asked for the answer of a job that was submitted before.
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
    /// A caller's connection closed before its request was answered.
    RequestDropped {
        /// The request, which needs no answer any more.
        request: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The platform's table answered a claim or a read of a claim, or failed to.
    ClaimEnded {
        /// The claim's number.
        claim: u64,
        /// The answer.
        end: ClaimOutcome,
    },
    /// An authenticated message from another entry instance arrived.
    PeerMessage {
        /// Who sent it.
        sender: PeerIdentity,
        /// The message.
        message: PeerMessage,
    },
    /// A message of [`crate::action::Action::SendPeer`] was dropped before a byte of it was sent.
    PeerNotSent {
        /// The instance to which it was addressed.
        instance: Arc<str>,
        /// The message.
        message: PeerMessage,
    },
    /// The wall clock was read; the document gives times of leaving as Unix times.
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
        /// Its text as submitted, which siblings may request.
        text: Bytes,
    },
    /// The list of live and leaving instances changed.
    MembershipChanged(Membership),
    /// The process was asked to stop: it finishes its open jobs and accepts no new ones.
    StopRequested,
    /// The time returned by [`crate::dispatcher::Dispatcher::next_wakeup`] has come.
    Tick,
}

/// An incarnation of an entry instance, as the sender of a message or the home of a job.
#[value]
#[derive(Hash)]
pub struct PeerIdentity {
    /// The instance's name.
    pub instance: Arc<str>,
    /// The incarnation.
    pub incarnation: Incarnation,
}

/// The result of a claim or a read of an idempotency key.
#[value]
pub enum ClaimOutcome {
    /// The key is claimed for this incarnation; the job may start.
    Acquired,
    /// The key was claimed before by the incarnation that is the job's home.
    AlreadyClaimed {
        /// The home, which may be this incarnation.
        home: PeerIdentity,
        /// The number that the home gave the claim that took effect.
        claim: u64,
    },
    /// The key is not claimed; only the result of [`crate::action::Action::FindHome`].
    Unclaimed,
    /// The table could not be reached; whether the key is claimed is unknown.
    Unavailable,
}
