//! The outcome that a caller gets when an upstream or its network fails, checked against the
//! upstream's own record of starts.

use std::time::Duration;

use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::RawServer;
use almondhead_testsupport::UpstreamFaults;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::document;
use almondhead_testsupport::site::job;
use almondhead_testsupport::site::json_of;
use serde_json::Value;
use serde_json::json;
use smol::Timer;

/// A fault, the answer that the caller must get, and how many tasks must have started.
struct Case<F> {
    name: &'static str,
    fault: F,
    outcome: &'static str,
    reason: &'static str,
    starts: usize,
}

fn short_job() -> Value {
    let mut body = job(1, 1);
    body["timeout_ms"] = json!(1_000);
    body
}

fn upstream_cases() -> Vec<Case<UpstreamFaults>> {
    let none = UpstreamFaults::default();
    let case = |name, fault, outcome, reason, starts| Case {
        name,
        fault,
        outcome,
        reason,
        starts,
    };
    vec![
        case(
            "fails",
            UpstreamFaults {
                fail_everything: true,
                ..none.clone()
            },
            "failed",
            "task_failed",
            1,
        ),
        case(
            "loses the answer",
            UpstreamFaults {
                lose_answer: true,
                ..none.clone()
            },
            "failed",
            "unknown",
            1,
        ),
        case(
            "cuts the body",
            UpstreamFaults {
                cut_body: true,
                ..none.clone()
            },
            "failed",
            "unknown",
            1,
        ),
        case(
            "answers for another task",
            UpstreamFaults {
                wrong_task_id: true,
                ..none.clone()
            },
            "failed",
            "unknown",
            1,
        ),
        case(
            "answers too late",
            UpstreamFaults {
                delay_ms: 3_000,
                ..none.clone()
            },
            "failed",
            "deadline_passed",
            1,
        ),
        case(
            "refuses with proof",
            UpstreamFaults {
                refuse_all: true,
                ..none
            },
            "not_run",
            "",
            0,
        ),
    ]
}

#[test]
fn upstream_faults_are_distinguished() -> TestResult {
    smol::block_on(async {
        for case in upstream_cases() {
            let site = Site::start(1).await?;
            site.upstreams[0].set_faults(case.fault);
            let answer = site.send_task(0, &short_job()).await?;
            check_outcome(case.name, &json_of(&answer)?, case.outcome, case.reason);
            let starts = site.starts();
            assert_eq!(starts.tasks, case.starts, "{}", case.name);
            assert!(starts.max_starts_per_task <= 1, "{}", case.name);
        }
        Ok(())
    })
}

fn proxy_cases() -> Vec<Case<ProxyFaults>> {
    let case = |name, fault, outcome, starts| Case {
        name,
        fault,
        outcome,
        reason: "",
        starts,
    };
    let none = ProxyFaults::default();
    vec![
        case(
            "request is cut in its head",
            ProxyFaults {
                cut_request_after_bytes: Some(20),
                ..none.clone()
            },
            "failed",
            0,
        ),
        case(
            "answer is cut in its head",
            ProxyFaults {
                cut_answer_after_bytes: Some(20),
                ..none.clone()
            },
            "failed",
            1,
        ),
        case(
            "request never arrives",
            ProxyFaults {
                black_hole_requests: true,
                ..none.clone()
            },
            "failed",
            0,
        ),
        case(
            "answer never arrives",
            ProxyFaults {
                black_hole_answers: true,
                ..none
            },
            "failed",
            1,
        ),
    ]
}

#[test]
fn network_faults_are_distinguished() -> TestResult {
    smol::block_on(async {
        for case in proxy_cases() {
            let mut site = Site::without_entries(1).await?;
            let proxy = FaultProxy::start(site.upstreams[0].address()).await?;
            proxy.set_faults(case.fault);
            site.install(1, &document(&[proxy.address()])).await?;
            site.start_entry("entry-a", NORTH, json!({})).await?;
            let answer = site.send_task(0, &short_job()).await?;
            check_outcome(case.name, &json_of(&answer)?, case.outcome, case.reason);
            assert!(proxy.counters().connections > 0, "{}", case.name);
            assert_eq!(site.starts().tasks, case.starts, "{}", case.name);
        }
        Ok(())
    })
}

#[test]
fn unreachable_upstream_runs_nothing() -> TestResult {
    smol::block_on(async {
        let mut site = Site::without_entries(1).await?;
        let proxy = FaultProxy::start(site.upstreams[0].address()).await?;
        proxy.refuse().await;
        site.install(1, &document(&[proxy.address()])).await?;
        site.start_entry("entry-a", NORTH, json!({})).await?;
        let answer = site.send_task(0, &short_job()).await?;
        check_outcome("refused connection", &json_of(&answer)?, "not_run", "");
        assert_eq!(site.starts().tasks, 0);
        Ok(())
    })
}

#[test]
fn unproven_answers_leave_the_outcome_unknown() -> TestResult {
    smol::block_on(async {
        let heads = [
            "200 OK\r\nContent-Length: 2",
            "200 OK\r\nTask-Id: another\r\nContent-Length: 2",
            "503 Service Unavailable\r\nContent-Length: 2",
            "503 Service Unavailable\r\nTask-Not-Run: another\r\nContent-Length: 2",
            "200 OK\r\nTask-Not-Run: another\r\nContent-Length: 2",
            "302 Found\r\nLocation: /v1/tasks\r\nContent-Length: 2",
        ];
        for head in heads {
            let mut site = Site::without_entries(0).await?;
            let answer = format!("HTTP/1.1 {head}\r\n\r\n{{}}");
            let upstream = RawServer::start(answer, true).await?;
            site.install(1, &document(&[upstream.address()])).await?;
            site.start_entry("entry-a", NORTH, json!({})).await?;
            let answer = site.send_task(0, &short_job()).await?;
            check_outcome(head, &json_of(&answer)?, "failed", "unknown");
            Timer::after(SETTLE_TIME).await;
            assert_eq!(upstream.heads().len(), 1, "{head}");
        }
        Ok(())
    })
}

/// Time in which a request that is wrongly repeated would arrive.
const SETTLE_TIME: Duration = Duration::from_millis(100);

fn check_outcome(name: &str, body: &Value, outcome: &str, reason: &str) {
    assert_eq!(body["outcome"], outcome, "{name}: {body}");
    if !reason.is_empty() {
        assert_eq!(body["reason"], reason, "{name}: {body}");
    }
}
