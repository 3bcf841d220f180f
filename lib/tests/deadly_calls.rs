//! Called tasks whose upstreams never answer.

use std::sync::Arc;

use almondhead_lib::event::Event;
use almondhead_lib::outcome::FailReason;
use almondhead_lib::outcome::JobAnswer;
use almondhead_lib::upstream::Upstream;
use almondhead_testsupport::core_fakes::CoreFakes;
use almondhead_testsupport::core_fakes::DOCUMENT;
use almondhead_testsupport::core_fakes::UpstreamEnd;
use bytes::Bytes;

const WEST: usize = 2;

/// The attempts of a task that may each have crashed an upstream; a third one is not started.
const MAX_LOST_ATTEMPTS: usize = 2;

/// Guards against an idempotent request that is passed on from one upstream that it crashes to the
/// next, as long as the service's budget of retries lasts.
#[test]
fn deadly_call_given_up() {
    let mut fakes = CoreFakes::new();
    let parsed = almondhead_lib::check::check_document(DOCUMENT);
    let mut document = parsed.expect("a valid document");
    let template = document.upstreams[2].clone();
    let copies = (0..8).map(|index| Upstream {
        name: format!("w{index}"),
        slots: 8,
        ..template.clone()
    });
    document.upstreams = copies.collect();
    document.services[0].retry_unknown = true;
    let installed = Event::DocumentInstalled {
        revision: 2,
        document: Arc::new(document),
        text: Bytes::new(),
    };
    fakes.handle(WEST, installed);
    let job = fakes.submit_idempotent(WEST);
    let mut lost = 0;
    while !fakes.attempts.is_empty() {
        fakes.end_attempt(0, UpstreamEnd::Lose);
        lost += 1;
    }
    assert_eq!(lost, MAX_LOST_ATTEMPTS);
    let answer = fakes.last_answer(job);
    let is_unknown = matches!(
        answer,
        JobAnswer::Failed {
            reason: FailReason::Unknown,
            ..
        }
    );
    assert!(is_unknown, "{answer:?}");
}
