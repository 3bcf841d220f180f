//! The wire form of cancellations at owners.

use almondhead_lib::peer_proto as proto;
use almondhead_lib::runs::run_message::Cancellation;
use almondhead_lib::runs::run_message::CancelledTask;
use almondhead_lib::runs::run_message::RunMessage;
use almondhead_testsupport::round_trip::assert_arrives_as_sent;

#[test]
fn cancellation_arrives_as_it_was_sent() {
    let task = CancelledTask {
        batch: 12,
        step: 1,
        index: 7,
    };
    assert_arrives_as_sent(RunMessage::Cancel(Cancellation {
        batches: vec![10, 11],
        tasks: vec![task],
    }));
}

/// Guards against a cancellation that is refused because an older program names batches only.
#[test]
fn cancellation_of_an_older_program_names_batches_only() {
    let cancel = proto::CancelRuns {
        batches: vec![10],
        ..proto::CancelRuns::default()
    };
    let cancellation = Cancellation::try_from(cancel).expect("a cancellation");
    assert_eq!(cancellation.batches, [10]);
    assert!(cancellation.tasks.is_empty());
}
