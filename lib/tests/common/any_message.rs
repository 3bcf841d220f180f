//! Arbitrary peer messages of every kind except leased runs.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::id::BatchId;
use almondhead_lib::id::Incarnation;
use almondhead_lib::id::JobAddress;
use almondhead_lib::id::SessionId;
use almondhead_lib::id::TaskId;
use almondhead_lib::outcome::AttemptEnd;
use almondhead_lib::outcome::FailReason;
use almondhead_lib::outcome::JobAnswer;
use almondhead_lib::outcome::NotRunReason;
use almondhead_lib::outcome::NotStartedCause;
use almondhead_lib::outcome::UnknownCause;
use almondhead_lib::peer_message::BatchTask;
use almondhead_lib::peer_message::ForwardedRequest;
use almondhead_lib::peer_message::LoadDigest;
use almondhead_lib::peer_message::PeerMessage;
use almondhead_lib::peer_message::ServiceLoad;
use almondhead_lib::peer_message::TaskBatch;
use almondhead_lib::peer_message::TaskEnd;
use almondhead_lib::submission::Needs;
use almondhead_lib::submission::Submission;
use bytes::Bytes;
use quickcheck::Arbitrary;
use quickcheck::Gen;

/// The number of kinds of [`PeerMessage`] that [`message_of_kind`] generates.
pub(crate) const KINDS: usize = 10;

/// An arbitrary message of the kind with this number, below [`KINDS`].
pub(crate) fn message_of_kind(g: &mut Gen, kind: usize) -> PeerMessage {
    match kind {
        0 => PeerMessage::ForwardRequest {
            correlation: u64::arbitrary(g),
            home: incarnation(g),
            address: address(g),
            request: request(g),
        },
        1 => PeerMessage::RequestAnswer {
            correlation: u64::arbitrary(g),
            answer: answer(g),
        },
        2 => PeerMessage::HomeGone {
            correlation: u64::arbitrary(g),
        },
        3 => PeerMessage::TaskBatch(batch(g)),
        4 => PeerMessage::BatchAnswer {
            batch: BatchId(u64::arbitrary(g)),
            ends: list(g, task_end),
            digest: digest(g),
        },
        5 => PeerMessage::BatchRefused {
            batch: BatchId(u64::arbitrary(g)),
            digest: digest(g),
        },
        6 => PeerMessage::CancelBatches {
            batches: list(g, |g| BatchId(u64::arbitrary(g))),
        },
        7 => PeerMessage::Digest(digest(g)),
        8 => PeerMessage::DocumentRequest {
            have_revision: u64::arbitrary(g),
        },
        9 => PeerMessage::DocumentBody {
            revision: u64::arbitrary(g),
            text: bytes(g),
        },
        other => panic!("no message kind {other}"),
    }
}

fn list<T>(g: &mut Gen, item: fn(&mut Gen) -> T) -> Vec<T> {
    let items = usize::arbitrary(g) % 5;
    (0..items).map(|_| item(g)).collect()
}

fn optional<T>(g: &mut Gen, item: fn(&mut Gen) -> T) -> Option<T> {
    bool::arbitrary(g).then(|| item(g))
}

fn bytes(g: &mut Gen) -> Bytes {
    Bytes::from(Vec::<u8>::arbitrary(g))
}

fn text(g: &mut Gen) -> Arc<str> {
    let characters = String::arbitrary(g);
    Arc::from(characters.chars().take(100).collect::<String>())
}

fn duration(g: &mut Gen) -> Duration {
    Duration::from_micros(u64::arbitrary(g))
}

fn incarnation(g: &mut Gen) -> Incarnation {
    Incarnation(u64::arbitrary(g))
}

fn address(g: &mut Gen) -> JobAddress {
    match u8::arbitrary(g) % 3 {
        0 => JobAddress::Session {
            session: SessionId {
                home: incarnation(g),
                instance: text(g),
                number: u64::arbitrary(g),
            },
            number: u64::arbitrary(g),
        },
        1 => JobAddress::Key {
            team: text(g),
            key: text(g),
        },
        _ => JobAddress::Single,
    }
}

fn request(g: &mut Gen) -> ForwardedRequest {
    match u8::arbitrary(g) % 3 {
        0 => ForwardedRequest::Submit(Arc::new(submission(g))),
        1 => ForwardedRequest::LookUp,
        _ => ForwardedRequest::Cancel,
    }
}

fn submission(g: &mut Gen) -> Submission {
    Submission {
        service: text(g),
        team: text(g),
        timeout: optional(g, duration),
        idempotent: bool::arbitrary(g),
        needs: needs(g),
        declared_run_time: optional(g, duration),
        inputs: list(g, bytes),
        traceparent: optional(g, text),
    }
}

fn needs(g: &mut Gen) -> Needs {
    Needs {
        cores: u32::arbitrary(g),
        memory_mib: u32::arbitrary(g),
        accelerators: u32::arbitrary(g),
    }
}

fn answer(g: &mut Gen) -> JobAnswer {
    const NOT_RUN: &[NotRunReason] = &[
        NotRunReason::UnknownService,
        NotRunReason::Overloaded,
        NotRunReason::TooManyJobs,
    ];
    const FAILED: &[FailReason] = &[
        FailReason::TaskFailed,
        FailReason::HomeGone,
        FailReason::NotTaken,
    ];
    match u8::arbitrary(g) % 3 {
        0 => JobAnswer::Complete {
            results: list(g, bytes),
        },
        1 => JobAnswer::NotRun {
            reason: *g.choose(NOT_RUN).unwrap(),
            retry_after: optional(g, duration),
        },
        _ => JobAnswer::Failed {
            reason: *g.choose(FAILED).unwrap(),
            task: optional(g, u32::arbitrary),
            retry_after: optional(g, duration),
        },
    }
}

fn batch(g: &mut Gen) -> TaskBatch {
    TaskBatch {
        batch: BatchId(u64::arbitrary(g)),
        receiver: incarnation(g),
        service: text(g),
        team: text(g),
        time_left: duration(g),
        needs: needs(g),
        remaining: u32::arbitrary(g),
        tasks: list(g, batch_task),
        traceparent: optional(g, text),
    }
}

fn batch_task(g: &mut Gen) -> BatchTask {
    BatchTask {
        task: task_id(g),
        input: bytes(g),
    }
}

fn task_id(g: &mut Gen) -> TaskId {
    TaskId {
        home: incarnation(g),
        job: u64::arbitrary(g),
        index: u32::arbitrary(g),
    }
}

fn task_end(g: &mut Gen) -> TaskEnd {
    let end = match u8::arbitrary(g) % 4 {
        0 => AttemptEnd::NotStarted(NotStartedCause::Refused),
        1 => AttemptEnd::Finished { body: bytes(g) },
        2 => AttemptEnd::TaskFailed {
            status: u16::arbitrary(g),
        },
        _ => AttemptEnd::Unknown(UnknownCause::SiblingLost),
    };
    TaskEnd {
        task: task_id(g),
        end,
    }
}

fn digest(g: &mut Gen) -> LoadDigest {
    LoadDigest {
        revision: u64::arbitrary(g),
        leaving: bool::arbitrary(g),
        services: list(g, service_load),
    }
}

fn service_load(g: &mut Gen) -> ServiceLoad {
    ServiceLoad {
        service: text(g),
        free_slots: u32::arbitrary(g),
        slots: u32::arbitrary(g),
        queued_tasks: u32::arbitrary(g),
    }
}
