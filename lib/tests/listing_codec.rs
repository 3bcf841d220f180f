//! The wire form of changes of the upstreams' entries.

use std::sync::Arc;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::peer_envelope::Envelope;
use almondhead_lib::peer_envelope::EnvelopeSealer;
use almondhead_lib::peer_message::PeerMessage;
use almondhead_lib::runs::listed_upstream::ListedUpstream;
use almondhead_lib::runs::listed_upstream::ListingChange;
use almondhead_lib::runs::listing_relay::ListingUpdate;
use almondhead_lib::runs::resources::Resources;
use almondhead_lib::runs::run_message::RunMessage;
use almondhead_lib::runs::run_message::TimedRunMessage;
use almondhead_lib::time::Timestamp;

fn upstream(id: &str, born_unix_ms: Option<u64>) -> Arc<ListedUpstream> {
    Arc::new(ListedUpstream {
        id: Arc::from(id),
        service: Arc::from("work"),
        address: "10.0.0.7:8080".parse().expect("an address"),
        data_centre: Arc::from("dc-0"),
        draining: true,
        capacity: Resources {
            cpu_millicores: 16_000,
            memory_mb: 65_536,
            accelerators: 2,
        },
        labels: vec![Arc::from("kind-a"), Arc::from("rack-3")],
        born_unix_ms,
    })
}

#[test]
fn update_arrives_as_it_was_sent() {
    let update = ListingUpdate {
        after: 41,
        version: 47,
        changes: vec![
            ListingChange {
                id: Arc::from("up-1"),
                version: 42,
                upstream: Some(upstream("up-1", Some(1_764_849_600_000))),
            },
            ListingChange {
                id: Arc::from("up-2"),
                version: 43,
                upstream: None,
            },
            ListingChange {
                id: Arc::from("up-3"),
                version: 47,
                upstream: Some(upstream("up-3", None)),
            },
        ],
    };
    let envelope = Envelope {
        sender: PeerIdentity {
            instance: Arc::from("entry-0"),
            incarnation: Incarnation(7),
        },
        message: PeerMessage::Run(Box::new(TimedRunMessage {
            receiver: Incarnation(9),
            sent_at: Timestamp::from_us(5),
            echo: None,
            message: RunMessage::Listing(update),
        })),
    };
    let sealer = EnvelopeSealer::new(b"a key");
    let sealed = sealer.seal(&envelope).expect("a small envelope");
    assert_eq!(sealer.open(sealed).expect("a valid envelope"), envelope);
}
