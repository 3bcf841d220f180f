//! A job's answer is complete or failed, never partial.

use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::UpstreamFaults;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site_faults::Caller;
use almondhead_testsupport::site_faults::marked_job;
use almondhead_testsupport::site_faults::put_job;
use almondhead_testsupport::site_faults::wait_until;
use serde_json::json;

const LARGE_INPUT_BYTES: usize = 40_000;
const LARGE_TASKS: usize = 200;
/// How much of the answer has been written when the entry is killed.
const MIN_WRITTEN_BYTES: u64 = 200_000;

/// A fault of one task among many, and the reason that the job's answer must give.
struct Fault {
    name: &'static str,
    faults: UpstreamFaults,
    reason: &'static str,
}

fn faults() -> [Fault; 4] {
    let one = || UpstreamFaults {
        limit_tasks: Some(1),
        ..UpstreamFaults::default()
    };
    [
        Fault {
            name: "task-fails",
            faults: UpstreamFaults {
                fail_everything: true,
                ..one()
            },
            reason: "task_failed",
        },
        Fault {
            name: "body-cut",
            faults: UpstreamFaults {
                cut_body: true,
                ..one()
            },
            reason: "unknown",
        },
        Fault {
            name: "answer-lost",
            faults: UpstreamFaults {
                lose_answer: true,
                ..one()
            },
            reason: "unknown",
        },
        Fault {
            name: "wrong-id",
            faults: UpstreamFaults {
                wrong_task_id: true,
                ..one()
            },
            reason: "unknown",
        },
    ]
}

#[test]
fn one_bad_task_fails_the_job() -> TestResult {
    smol::block_on(async {
        for (index, fault) in faults().into_iter().enumerate() {
            // Each fault has its own site: a task of the previous failed job that is still in
            // flight would trigger the fault.
            let site = Site::start(1).await?;
            let session = site.open_session(0).await?;
            let address = site.entries[0].caller_address;
            site.upstreams[0].set_faults(fault.faults);
            let body = marked_job(fault.name, 48, 20);
            let answer = site.send(put_job(address, &session, 1, &body)).await?;
            assert_eq!(answer.status, 502, "{}: {:?}", fault.name, answer.body);
            let failed = json_of(&answer)?;
            assert_eq!(failed["outcome"], "failed", "{failed}");
            assert_eq!(failed["reason"], fault.reason, "{}: {failed}", fault.name);
            assert!(failed["results"].is_null(), "{failed}");
            let again = put_job(address, &session, 1, &body);
            assert_eq!(site.send(again).await?.body, answer.body);
            let body = marked_job("after", 48, 20);
            let whole = site.send(put_job(address, &session, 2, &body)).await?;
            assert_eq!(whole.status, 200, "{}: {:?}", fault.name, whole.body);
            let counters = site.upstreams[0].report().counters;
            let counted = [
                counters.failed,
                counters.cut_bodies,
                counters.lost_answers,
                counters.wrong_task_ids,
            ];
            let mut expected = [0; 4];
            expected[index] = 1;
            assert_eq!(counted, expected, "{}", fault.name);
            site.check_at_most_once()?;
        }
        Ok(())
    })
}

#[test]
fn connection_cut_during_answer_fails_the_job() -> TestResult {
    smol::block_on(async {
        let (site, proxy) = Site::start_behind_proxy().await?;
        let session = site.open_session(0).await?;
        let address = site.entries[0].caller_address;
        for (cut_answer_after_bytes, number) in [0, 20, 160, 220].into_iter().zip(1..) {
            proxy.set_faults(ProxyFaults {
                cut_answer_after_bytes: Some(cut_answer_after_bytes),
                ..ProxyFaults::default()
            });
            let body = marked_job(&format!("cut-{number}"), 1, 20);
            let request = put_job(address, &session, number, &body);
            let failed = json_of(&site.send(request).await?)?;
            assert_eq!(failed["outcome"], "failed", "{failed}");
            assert!(failed["results"].is_null(), "{failed}");
            assert_eq!(proxy.counters().cuts, number);
        }
        site.check_at_most_once()
    })
}

#[test]
fn killed_entry_sends_no_truncated_answer() -> TestResult {
    smol::block_on(async {
        let mut site = Site::without_entries(4).await?;
        let installed = site.document();
        site.install(1, &installed).await?;
        let limits = json!({ "limits": { "body_bytes": 64 * 1_024 * 1_024 } });
        site.start_entry("entry-a", NORTH, limits).await?;
        let session = site.open_session(0).await?;
        let proxy = FaultProxy::start(site.entries[0].caller_address).await?;
        let caller = Caller::new();
        let mut body = marked_job("large", LARGE_TASKS, 400);
        for input in body["inputs"].as_array_mut().into_iter().flatten() {
            input["padding"] = json!("x".repeat(LARGE_INPUT_BYTES));
        }
        let cut = caller.send(put_job(proxy.address(), &session, 1, &body));
        site.wait_for_starts("large", LARGE_TASKS as u64).await?;
        proxy.set_faults(ProxyFaults {
            delay_ms: 50,
            ..ProxyFaults::default()
        });
        let written = || proxy.counters().answer_bytes >= MIN_WRITTEN_BYTES;
        wait_until("part of the answer", written).await?;
        site.entries[0].process.kill9()?;
        let cut = cut.await;
        assert!(cut.is_err(), "{:?}", cut.map(|answer| answer.status));
        let passed_on = proxy.counters().answer_bytes;
        let whole = LARGE_TASKS * LARGE_INPUT_BYTES;
        assert!(passed_on < whole as u64, "{passed_on} bytes of {whole}");
        site.check_at_most_once()
    })
}
