//! The wire form of messages about evacuated data centres.

use std::sync::Arc;

use almondhead_lib::runs::delegation::report::DelegationReport;
use almondhead_lib::runs::evacuation::EvacuatedDataCentres;
use almondhead_lib::runs::run_digest::RunDigest;
use almondhead_lib::runs::run_message::PeerReport;
use almondhead_lib::runs::run_message::RunMessage;
use almondhead_testsupport::round_trip::assert_arrives_as_sent;

/// Guards against an empty set that loses its version on the way: a removal would not spread.
#[test]
fn messages_arrive_as_they_were_sent() {
    assert_arrives_as_sent(RunMessage::EvacuationRequest { have_version: 41 });
    for names in [vec![], vec![Arc::from("dc-0"), Arc::from("dc-2")]] {
        let set = EvacuatedDataCentres { version: 42, names };
        assert_arrives_as_sent(RunMessage::Evacuations(set));
    }
    assert_arrives_as_sent(RunMessage::Report(PeerReport {
        digest: RunDigest {
            evacuation_version: 42,
            ..RunDigest::default()
        },
        held: vec![1],
        highest_taken: 2,
        open: vec![3],
        highest_sent: 4,
        delegation: DelegationReport::default(),
    }));
}
