//! Each caller gets the complete answer to its own request, even if answers are late or reordered.

use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::UpstreamFaults;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site::with_header;
use almondhead_testsupport::site_faults::Caller;
use almondhead_testsupport::site_faults::marked_job;
use almondhead_testsupport::site_faults::post_task;
use almondhead_testsupport::site_faults::wait_until;
use serde_json::json;

const CALLS: usize = 8;

/// Returns a request for one task that carries a name as its request id and its marker.
fn named_call(address: std::net::SocketAddr, name: &str, run_ms: u64) -> HttpRequest {
    let request = post_task(address, &marked_job(name, 1, run_ms));
    with_header(request, "request-id", name)
}

/// Checks that an answer is complete and belongs to the call of this name.
fn check_own(answer: &HttpResponse, name: &str) -> TestResult {
    assert_eq!(answer.status, 200, "{name}: {:?}", answer.body);
    assert_eq!(answer.header("request-id"), Some(name));
    let body = json_of(answer)?;
    let marker = &body["results"][0]["echo"]["marker"];
    assert_eq!(*marker, format!("{name}/0"), "{body}");
    Ok(())
}

#[test]
fn reordered_answers_reach_their_callers() -> TestResult {
    smol::block_on(async {
        let (site, upstream_proxy) = Site::start_behind_proxy().await?;
        let caller_proxy = FaultProxy::start(site.entries[0].caller_address).await?;
        for (proxy, side) in [(&upstream_proxy, "upstream"), (&caller_proxy, "caller")] {
            proxy.set_faults(ProxyFaults {
                hold_answers: true,
                ..ProxyFaults::default()
            });
            let names: Vec<String> = (0..CALLS).map(|call| format!("{side}-{call}")).collect();
            let calls: Vec<_> = names
                .iter()
                .map(|name| Caller::new().send(named_call(caller_proxy.address(), name, 5)))
                .collect();
            let held = || proxy.counters().held == CALLS as u64;
            wait_until("all answers are held", held).await?;
            proxy.release_reversed().await;
            for (call, name) in calls.into_iter().zip(&names) {
                check_own(&call.await?, name)?;
            }
            assert_eq!(proxy.counters().released, CALLS as u64);
        }
        site.check_at_most_once()
    })
}

#[test]
fn late_answers_reach_no_other_caller() -> TestResult {
    smol::block_on(async {
        let (site, _proxy) = Site::start_behind_proxy().await?;
        let address = site.entries[0].caller_address;
        site.upstreams[0].set_faults(UpstreamFaults {
            delay_ms: 900,
            limit_tasks: Some(CALLS as u64),
            ..UpstreamFaults::default()
        });
        let caller = Caller::new();
        let late: Vec<_> = (0..CALLS)
            .map(|call| {
                let mut body = marked_job(&format!("late-{call}"), 1, 5);
                body["timeout_ms"] = json!(400);
                caller.send(post_task(address, &body))
            })
            .collect();
        for call in late {
            let answer = json_of(&call.await?)?;
            assert_eq!(answer["reason"], "deadline_passed", "{answer}");
        }
        for round in 0..4 {
            let names: Vec<String> = (0..CALLS).map(|call| format!("{round}-{call}")).collect();
            let calls: Vec<_> = names
                .iter()
                .map(|name| caller.send(named_call(address, name, 200)))
                .collect();
            for (call, name) in calls.into_iter().zip(&names) {
                check_own(&call.await?, name)?;
            }
        }
        let counters = site.upstreams[0].report().counters;
        assert_eq!(counters.delayed, CALLS as u64);
        site.check_at_most_once()
    })
}

#[test]
fn mismatched_or_truncated_answer_reaches_no_caller() -> TestResult {
    smol::block_on(async {
        let (site, _proxy) = Site::start_behind_proxy().await?;
        let address = site.entries[0].caller_address;
        let one = || UpstreamFaults {
            limit_tasks: Some(1),
            ..UpstreamFaults::default()
        };
        let table = [
            UpstreamFaults {
                wrong_task_id: true,
                ..one()
            },
            UpstreamFaults {
                cut_body: true,
                ..one()
            },
        ];
        for (faults, row) in table.into_iter().zip(0..) {
            site.upstreams[0].set_faults(faults);
            let answer = site.send(named_call(address, "hit", 5)).await?;
            let failed = json_of(&answer)?;
            assert_eq!(failed["outcome"], "failed", "{row}: {failed}");
            assert_eq!(failed["reason"], "unknown", "{row}: {failed}");
            assert!(failed["results"].is_null(), "{failed}");
            let name = format!("next-{row}");
            check_own(&site.send(named_call(address, &name, 5)).await?, &name)?;
        }
        let counters = site.upstreams[0].report().counters;
        assert_eq!(counters.wrong_task_ids, 1);
        assert_eq!(counters.cut_bodies, 1);
        Ok(())
    })
}
