//! Conversion between peer messages and their generated protobuf types.
//!
//! Decoding is strict: a missing part, an unspecified enum value or a list over its bound fails the
//! whole message with an error that names the field.

mod address;
mod batch;
mod cancellation;
mod crash;
mod delegation;
mod evacuation;
mod field;
mod listing;
mod outcome;
mod run;
mod run_load;
mod submission;

use std::sync::Arc;

use crate::id::BatchId;
use crate::id::Incarnation;
use crate::peer_message::ForwardedRequest;
use crate::peer_message::LoadDigest;
use crate::peer_message::PeerMessage;
use crate::peer_message::ServiceLoad;
use crate::peer_proto as proto;
use crate::peer_proto::forward_request::Request;
use crate::peer_proto::peer_message::Kind;

pub use self::field::DecodeError;
pub use self::field::MAX_BATCHES_PER_CANCEL;
pub use self::field::MAX_NAME_BYTES;
pub use self::field::MAX_SERVICES;
pub use self::field::MAX_TASKS;
pub use self::listing::MAX_LABELS;

use self::field::bounded;
use self::field::name;
use self::field::required;

impl From<PeerMessage> for proto::PeerMessage {
    fn from(message: PeerMessage) -> Self {
        proto::PeerMessage {
            kind: Some(encode_kind(message)),
        }
    }
}

fn encode_kind(message: PeerMessage) -> Kind {
    match message {
        PeerMessage::ForwardRequest {
            correlation,
            home,
            address,
            request,
        } => Kind::ForwardRequest(proto::ForwardRequest {
            correlation,
            home: home.0,
            address: Some(address.into()),
            request: Some(encode_request(request)),
        }),
        PeerMessage::RequestAnswer {
            correlation,
            answer,
        } => Kind::RequestAnswer(proto::RequestAnswer {
            correlation,
            answer: Some(answer.into()),
        }),
        PeerMessage::HomeGone { correlation } => Kind::HomeGone(proto::HomeGone { correlation }),
        PeerMessage::TaskBatch(batch) => Kind::TaskBatch(batch.into()),
        PeerMessage::BatchAnswer {
            batch,
            ends,
            digest,
        } => Kind::BatchAnswer(proto::BatchAnswer {
            batch: batch.0,
            ends: ends.into_iter().map(Into::into).collect(),
            digest: Some(digest.into()),
        }),
        PeerMessage::BatchRefused { batch, digest } => Kind::BatchRefused(proto::BatchRefused {
            batch: batch.0,
            digest: Some(digest.into()),
        }),
        PeerMessage::CancelBatches { batches } => Kind::CancelBatches(proto::CancelBatches {
            batches: batches.into_iter().map(|batch| batch.0).collect(),
        }),
        PeerMessage::Digest(digest) => Kind::Digest(digest.into()),
        PeerMessage::DocumentRequest { have_revision } => {
            Kind::DocumentRequest(proto::DocumentRequest { have_revision })
        }
        PeerMessage::DocumentBody { revision, text } => {
            Kind::DocumentBody(proto::DocumentBody { revision, text })
        }
        PeerMessage::Run(message) => Kind::Run((*message).into()),
    }
}

impl TryFrom<proto::PeerMessage> for PeerMessage {
    type Error = DecodeError;

    fn try_from(message: proto::PeerMessage) -> Result<Self, DecodeError> {
        decode_kind(required("kind", message.kind)?)
    }
}

fn decode_kind(kind: Kind) -> Result<PeerMessage, DecodeError> {
    let message = match kind {
        Kind::ForwardRequest(forward) => PeerMessage::ForwardRequest {
            correlation: forward.correlation,
            home: Incarnation(forward.home),
            address: required("address", forward.address)?.try_into()?,
            request: decode_request(required("request", forward.request)?)?,
        },
        Kind::RequestAnswer(answer) => PeerMessage::RequestAnswer {
            correlation: answer.correlation,
            answer: required("answer", answer.answer)?.try_into()?,
        },
        Kind::HomeGone(gone) => PeerMessage::HomeGone {
            correlation: gone.correlation,
        },
        Kind::TaskBatch(batch) => PeerMessage::TaskBatch(batch.try_into()?),
        Kind::BatchAnswer(answer) => PeerMessage::BatchAnswer {
            batch: BatchId(answer.batch),
            ends: bounded("ends", answer.ends, MAX_TASKS)?
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
            digest: required("digest", answer.digest)?.try_into()?,
        },
        Kind::BatchRefused(refused) => PeerMessage::BatchRefused {
            batch: BatchId(refused.batch),
            digest: required("digest", refused.digest)?.try_into()?,
        },
        Kind::CancelBatches(cancel) => PeerMessage::CancelBatches {
            batches: bounded("batches", cancel.batches, MAX_BATCHES_PER_CANCEL)?
                .into_iter()
                .map(BatchId)
                .collect(),
        },
        Kind::Digest(digest) => PeerMessage::Digest(digest.try_into()?),
        Kind::DocumentRequest(request) => PeerMessage::DocumentRequest {
            have_revision: request.have_revision,
        },
        Kind::DocumentBody(body) => PeerMessage::DocumentBody {
            revision: body.revision,
            text: body.text,
        },
        Kind::Run(message) => PeerMessage::Run(Box::new(message.try_into()?)),
    };
    Ok(message)
}

fn encode_request(request: ForwardedRequest) -> Request {
    match request {
        ForwardedRequest::Submit(submission) => {
            Request::Submit(Arc::unwrap_or_clone(submission).into())
        }
        ForwardedRequest::LookUp => Request::LookUp(proto::LookUp {}),
        ForwardedRequest::Cancel => Request::Cancel(proto::Cancel {}),
    }
}

fn decode_request(request: Request) -> Result<ForwardedRequest, DecodeError> {
    let request = match request {
        Request::Submit(submission) => ForwardedRequest::Submit(Arc::new(submission.try_into()?)),
        Request::LookUp(proto::LookUp {}) => ForwardedRequest::LookUp,
        Request::Cancel(proto::Cancel {}) => ForwardedRequest::Cancel,
    };
    Ok(request)
}

impl From<LoadDigest> for proto::LoadDigest {
    fn from(digest: LoadDigest) -> Self {
        proto::LoadDigest {
            revision: digest.revision,
            leaving: digest.leaving,
            services: digest.services.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::LoadDigest> for LoadDigest {
    type Error = DecodeError;

    fn try_from(digest: proto::LoadDigest) -> Result<Self, DecodeError> {
        Ok(LoadDigest {
            revision: digest.revision,
            leaving: digest.leaving,
            services: bounded("services", digest.services, MAX_SERVICES)?
                .into_iter()
                .map(TryInto::try_into)
                .collect::<Result<_, _>>()?,
        })
    }
}

impl From<ServiceLoad> for proto::ServiceLoad {
    fn from(load: ServiceLoad) -> Self {
        proto::ServiceLoad {
            service: load.service.to_string(),
            free_slots: load.free_slots,
            slots: load.slots,
            queued_tasks: load.queued_tasks,
        }
    }
}

impl TryFrom<proto::ServiceLoad> for ServiceLoad {
    type Error = DecodeError;

    fn try_from(load: proto::ServiceLoad) -> Result<Self, DecodeError> {
        Ok(ServiceLoad {
            service: name("service", load.service)?,
            free_slots: load.free_slots,
            slots: load.slots,
            queued_tasks: load.queued_tasks,
        })
    }
}
