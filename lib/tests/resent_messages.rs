//! Resending of messages between instances that found no connection.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::id::Incarnation;
use almondhead_lib::runs::event::RunEvent;
use almondhead_lib::runs::intended_state::IntendedState;
use almondhead_lib::runs::overload::OverloadPolicy;
use almondhead_lib::runs::roster::Member;
use almondhead_lib::runs::roster::Roster;
use almondhead_lib::runs::run_action::RunAction;
use almondhead_lib::runs::run_dispatcher::IntendedDecoder;
use almondhead_lib::runs::run_dispatcher::RunDispatcher;
use almondhead_lib::runs::run_message::Cancellation;
use almondhead_lib::runs::run_message::RunMessage;
use almondhead_lib::runs::run_message::TimedRunMessage;
use almondhead_lib::runs::run_settings::RunLimits;
use almondhead_lib::runs::run_settings::RunSettings;
use almondhead_lib::time::Timestamp;

const PEER: &str = "entry-b";
const OWN: Incarnation = Incarnation(1);
const EARLIER_INCARNATION: Incarnation = Incarnation(2);
const CURRENT_INCARNATION: Incarnation = Incarnation(3);

#[derive(Debug)]
struct NoDecoder;

impl IntendedDecoder for NoDecoder {
    fn decode(&self, _: &[u8]) -> Option<IntendedState> {
        None
    }
}

fn member(name: &str, incarnation: Incarnation) -> Member {
    Member {
        name: Arc::from(name),
        incarnation,
        data_centre: Arc::from("a"),
        peer_address: ([127, 0, 0, 1], 9_000).into(),
        leaving: false,
        processor_millicores: None,
        row_version: 1,
    }
}

/// An instance whose peer is in the later of two incarnations.
fn instance() -> RunDispatcher {
    let settings = RunSettings {
        instance: Arc::from("entry-a"),
        data_centre: Arc::from("a"),
        incarnation: OWN,
        overload: OverloadPolicy::ByArrival,
        limits: RunLimits::default(),
    };
    let mut instance = RunDispatcher::new(settings, Box::new(NoDecoder));
    let roster = Roster {
        version: 1,
        members: vec![member("entry-a", OWN), member(PEER, CURRENT_INCARNATION)],
    };
    let event = RunEvent::RosterRead(roster);
    instance.handle(Timestamp::ZERO, event, &mut Vec::new());
    instance
}

/// The incarnations to which a cancel for `receiver` that found no connection is sent again.
fn resent_to(receiver: Incarnation) -> Vec<Incarnation> {
    let mut instance = instance();
    let message = TimedRunMessage {
        receiver,
        sent_at: Timestamp::ZERO,
        echo: None,
        input_age: Duration::ZERO,
        message: RunMessage::Cancel(Cancellation {
            batches: vec![1],
            tasks: Vec::new(),
        }),
    };
    let event = RunEvent::PeerNotSent {
        instance: Arc::from(PEER),
        message: Box::new(message),
    };
    let mut actions = Vec::new();
    instance.handle(Timestamp::ZERO, event, &mut actions);
    let later = Timestamp::ZERO + Duration::from_millis(100);
    instance.handle(later, RunEvent::Tick, &mut actions);
    let sent = actions.into_iter().filter_map(|action| match action {
        RunAction::SendPeer { message, .. } => Some(*message),
        _ => None,
    });
    let cancels = sent.filter(|sent| matches!(sent.message, RunMessage::Cancel(_)));
    cancels.map(|sent| sent.receiver).collect()
}

#[test]
fn message_to_the_current_incarnation_is_resent() {
    assert_eq!(resent_to(CURRENT_INCARNATION), [CURRENT_INCARNATION]);
}

/// Guards against a message for an ended incarnation of an instance that is sent again to the next.
#[test]
fn message_to_an_earlier_incarnation_is_not_sent_to_the_next() {
    assert_eq!(resent_to(EARLIER_INCARNATION), []);
}
