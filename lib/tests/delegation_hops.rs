//! A delegated job stays at the instance that it was delegated to.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::id::RequestId;
use almondhead_lib::runs::delegation::message::DelegatedJob;
use almondhead_lib::runs::event::RequestKind;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::intended_state::IntendedState;
use almondhead_lib::runs::overload::OverloadPolicy;
use almondhead_lib::runs::roster::Member;
use almondhead_lib::runs::roster::Roster;
use almondhead_lib::runs::run_action::RunAction;
use almondhead_lib::runs::run_digest::RunDigest;
use almondhead_lib::runs::run_dispatcher::IntendedDecoder;
use almondhead_lib::runs::run_dispatcher::RunDispatcher;
use almondhead_lib::runs::run_id::JobId;
use almondhead_lib::runs::run_message::RunEnds;
use almondhead_lib::runs::run_message::RunMessage;
use almondhead_lib::runs::run_message::TimedRunMessage;
use almondhead_lib::runs::run_settings::RunLimits;
use almondhead_lib::runs::run_settings::RunSettings;
use almondhead_lib::time::Timestamp;
use almondhead_testsupport::run_site::run_job;
use almondhead_testsupport::run_site::run_queue;
use bytes::Bytes;

const NOW: Timestamp = Timestamp::from_us(1_000);

#[derive(Debug)]
struct NoDecoder;

impl IntendedDecoder for NoDecoder {
    fn decode(&self, _: &[u8]) -> Option<IntendedState> {
        None
    }
}

fn member(name: &str, capacity: u32) -> Member {
    Member {
        name: Arc::from(name),
        incarnation: Incarnation(1),
        data_centre: Arc::from("a"),
        peer_address: ([127, 0, 0, 1], 9_000).into(),
        leaving: false,
        processor_millicores: Some(capacity),
        row_version: 1,
    }
}

fn message_from(sender: &str, message: RunMessage) -> RunEvent {
    RunEvent::PeerMessage {
        sender: PeerIdentity {
            instance: Arc::from(sender),
            incarnation: Incarnation(1),
        },
        message: Box::new(TimedRunMessage {
            receiver: Incarnation(1),
            sent_at: NOW,
            echo: Some(NOW),
            input_age: Duration::ZERO,
            message,
        }),
    }
}

/// A small instance that can reach a large one and another small one.
fn small_instance() -> RunDispatcher {
    let settings = RunSettings {
        instance: Arc::from("small"),
        data_centre: Arc::from("a"),
        incarnation: Incarnation(1),
        overload: OverloadPolicy::ByArrival,
        limits: RunLimits::default(),
    };
    let mut instance = RunDispatcher::new(settings, Box::new(NoDecoder));
    let roster = Roster {
        version: 1,
        members: vec![
            member("small", 1),
            member("large", 1_000_000),
            member("other", 1),
        ],
    };
    let state = IntendedState {
        version: 1,
        queues: vec![Arc::new(run_queue("look", 0, 3))],
        ..IntendedState::default()
    };
    let heartbeat = RunMessage::Ends(RunEnds {
        batch: 0,
        ends: Vec::new(),
        digest: RunDigest::default(),
    });
    let events = [
        RunEvent::RosterRead(roster),
        RunEvent::IntendedRead {
            state: Arc::new(state),
            body: Bytes::new(),
        },
        message_from("large", heartbeat.clone()),
        message_from("other", heartbeat),
    ];
    for event in events {
        instance.handle(NOW, event, &mut Vec::new());
    }
    instance
}

/// The instances to which an event causes a job to be delegated.
fn receivers(event: RunEvent) -> Vec<String> {
    let mut actions = Vec::new();
    small_instance().handle(NOW, event, &mut actions);
    let receivers = actions.iter().filter_map(|action| match action {
        RunAction::SendPeer { instance, message } => {
            let is_job = matches!(message.message, RunMessage::Delegate(_));
            is_job.then(|| instance.to_string())
        }
        _ => None,
    });
    receivers.collect()
}

/// Guards against jobs that are passed on from instance to instance while their rosters differ.
#[test]
fn delegated_job_is_not_delegated_again() {
    let id = "00000000000000d1";
    let spec = Arc::new(run_job(1, 1_000, 60));
    let request = RunEvent::Requested {
        request: RequestId(1),
        host: "site.example".to_owned(),
        path: format!("/look/{id}"),
        kind: RequestKind::Submit(spec.clone()),
        wait: None,
    };
    assert_eq!(receivers(request), ["large"]);
    let delegated = RunMessage::Delegate(DelegatedJob {
        number: 1,
        job: JobId::parse(id).expect("a job id"),
        queue: Arc::from("look"),
        service: Arc::from("work"),
        wait: Duration::from_secs(1),
        spec,
    });
    let mut instance = small_instance();
    instance.handle(
        NOW,
        message_from("other", delegated.clone()),
        &mut Vec::new(),
    );
    assert_eq!(instance.status().open_jobs, 1);
    assert!(receivers(message_from("other", delegated)).is_empty());
}
