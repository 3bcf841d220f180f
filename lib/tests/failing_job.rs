//! A job that fails on every upstream does not get an upstream ejected.

use std::sync::Arc;

use almondhead_lib::event::Event;
use almondhead_lib::upstream::Upstream;
use almondhead_testsupport::core_fakes::CoreFakes;
use almondhead_testsupport::core_fakes::DOCUMENT;
use almondhead_testsupport::core_fakes::UpstreamEnd;
use bytes::Bytes;

const WEST: usize = 2;

/// Installs a document with four upstreams in the west, of eight slots each.
fn install_four(fakes: &mut CoreFakes) {
    let parsed = almondhead_lib::check::check_document(DOCUMENT);
    let mut document = parsed.expect("a valid document");
    let template = document.upstreams[2].clone();
    let copies = (0..4).map(|index| Upstream {
        name: format!("w{index}"),
        slots: 8,
        ..template.clone()
    });
    document.upstreams = copies.collect();
    let installed = Event::DocumentInstalled {
        revision: 2,
        document: Arc::new(document),
        text: Bytes::new(),
    };
    fakes.handle(WEST, installed);
}

#[test]
fn failed_job_counts_once_against_its_upstream() {
    let mut fakes = CoreFakes::new();
    install_four(&mut fakes);
    let job = fakes.submit_in_session(WEST, 16);
    let first = fakes.attempts[0].attempt.target.name.clone();
    let at_first = |fakes: &CoreFakes| {
        let mut attempts = fakes.attempts.iter();
        attempts.position(|open| open.attempt.target.name == first)
    };
    let mut failed = 0;
    while let Some(index) = at_first(&fakes) {
        fakes.end_attempt(index, UpstreamEnd::Fail);
        failed += 1;
    }
    assert_eq!(failed, 4, "a quarter of the tasks ran there");
    assert_eq!(fakes.jobs[job].failed_answers, 1);
    assert_eq!(fakes.dispatchers[WEST].status().ejected_upstreams, 0);
}
