//! The way of a message between instances, from sealing to opening.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::event::PeerIdentity;
use almondhead_lib::id::Incarnation;
use almondhead_lib::peer_envelope::Envelope;
use almondhead_lib::peer_envelope::EnvelopeSealer;
use almondhead_lib::peer_envelope::OpenError;
use almondhead_lib::peer_message::PeerMessage;
use almondhead_lib::runs::run_message::RunMessage;
use almondhead_lib::runs::run_message::TimedRunMessage;
use almondhead_lib::time::Timestamp;

/// Asserts that a message is the same after it was encoded, sealed, opened and decoded.
///
/// # Panics
///
/// Panics if the message is rejected or differs.
#[track_caller]
pub fn assert_arrives_as_sent(message: RunMessage) {
    for echo in [None, Some(Timestamp::from_us(6))] {
        let envelope = envelope_of(message.clone(), echo);
        assert_eq!(opened(&envelope).expect("a valid envelope"), envelope);
    }
}

/// Returns what arrives of a message; none when the receiver rejects it.
///
/// # Panics
///
/// Panics if the message is too large to be sent.
pub fn arrival_of(message: RunMessage) -> Option<RunMessage> {
    let envelope = opened(&envelope_of(message, None)).ok()?;
    match envelope.message {
        PeerMessage::Run(timed) => Some(timed.message),
        _ => None,
    }
}

fn envelope_of(message: RunMessage, echo: Option<Timestamp>) -> Envelope {
    Envelope {
        sender: PeerIdentity {
            instance: Arc::from("entry-0"),
            incarnation: Incarnation(7),
        },
        message: PeerMessage::Run(Box::new(TimedRunMessage {
            receiver: Incarnation(9),
            sent_at: Timestamp::from_us(5),
            echo,
            input_age: Duration::from_millis(11),
            message,
        })),
    }
}

fn opened(envelope: &Envelope) -> Result<Envelope, OpenError> {
    let sealer = EnvelopeSealer::new(b"a key");
    let sealed = sealer.seal(envelope).expect("a small envelope");
    sealer.open(sealed)
}
