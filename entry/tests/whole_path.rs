//! End-to-end submissions: from a caller through a real entry process to upstreams and back.

use std::fs;
use std::time::Duration;

use almondhead_net::Method;
use serde_json::Value;
use serde_json::json;

use almondhead_testsupport::site::SERVICE;
use almondhead_testsupport::site::SOUTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::Starts;
use almondhead_testsupport::site::TEAM;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::job;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site::with_header;

#[test]
fn one_task_is_answered_whole() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        let request = site.request(0, Method::POST, "/v1/tasks");
        let request = with_header(request, "request-id", "call-7");
        let answer = site.send(request.with_body(job(1, 5).to_string())).await?;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        assert_eq!(answer.header("request-id"), Some("call-7"));
        assert!(answer.header("content-length").is_some());
        let body = json_of(&answer)?;
        assert_eq!(body["outcome"], "complete");
        assert_eq!(body["results"][0]["echo"]["index"], 0);
        let starts = Starts {
            tasks: 1,
            max_starts_per_task: 1,
        };
        assert_eq!(site.starts(), starts);
        Ok(())
    })
}

#[test]
fn large_job_is_answered_whole() -> TestResult {
    smol::block_on(async {
        let site = Site::start(3).await?;
        let session = site.open_session(0).await?;
        let path = format!("/v1/sessions/{session}/jobs/1");
        let body = job(480, 5).to_string();
        let request = site.request(0, Method::PUT, &path).with_body(body.clone());
        let answer = site.send(request).await?;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        let results = json_of(&answer)?["results"].clone();
        let indices: Vec<Option<u64>> = results
            .as_array()
            .into_iter()
            .flatten()
            .map(|result| result["echo"]["index"].as_u64())
            .collect();
        let expected: Vec<Option<u64>> = (0..480).map(Some).collect();
        assert_eq!(indices, expected);

        let again = site.request(0, Method::PUT, &path).with_body(body);
        assert_eq!(site.send(again).await?.body, answer.body);
        let look_up = site.request(0, Method::GET, &path);
        assert_eq!(site.send(look_up).await?.body, answer.body);
        let starts = Starts {
            tasks: 480,
            max_starts_per_task: 1,
        };
        assert_eq!(site.starts(), starts);
        Ok(())
    })
}

#[test]
fn keyed_job_runs_once() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        let submit = || {
            let request = site.request(0, Method::POST, "/v1/jobs");
            with_header(request, "idempotency-key", "charge-1").with_body(job(2, 5).to_string())
        };
        let first = site.send(submit()).await?;
        assert_eq!(first.status, 200, "{:?}", first.body);
        assert_eq!(site.send(submit()).await?.body, first.body);
        let path = format!("/v1/jobs/charge-1?team={TEAM}");
        let look_up = site.request(0, Method::GET, &path);
        assert_eq!(site.send(look_up).await?.body, first.body);
        assert_eq!(site.starts().tasks, 2);
        assert_eq!(site.starts().max_starts_per_task, 1);
        Ok(())
    })
}

/// An invalid request, and the field that its answer must name.
struct InvalidRequest {
    body: String,
    field: &'static str,
}

fn invalid_requests() -> Vec<InvalidRequest> {
    let changed = |name: &str, value: Value| {
        let mut body = job(1, 1);
        body[name] = value;
        body.to_string()
    };
    let invalid = |body: String, field| InvalidRequest { body, field };
    vec![
        invalid(String::new(), ""),
        invalid("[]".to_owned(), ""),
        invalid("{\"service\":".to_owned(), ""),
        invalid(job(1, 1).to_string().replace('}', ""), ""),
        invalid(changed("service", json!(7)), "/service"),
        invalid(changed("service", json!("")), "/service"),
        invalid(changed("team", Value::Null), "/team"),
        invalid(changed("team", json!("x".repeat(201))), "/team"),
        invalid(changed("timeout_ms", json!(0)), "/timeout_ms"),
        invalid(changed("timeout_ms", json!(-5)), "/timeout_ms"),
        invalid(changed("timeout_ms", json!(1.5)), "/timeout_ms"),
        invalid(changed("timeout_ms", json!("1000")), "/timeout_ms"),
        invalid(changed("idempotent", json!("yes")), "/idempotent"),
        invalid(changed("declared_run_ms", json!(1e30)), "/declared_run_ms"),
        invalid(changed("needs", json!([])), "/needs"),
        invalid(changed("needs", json!({"cores": -1})), "/needs/cores"),
        invalid(changed("needs", json!({"discs": 1})), "/needs/discs"),
        invalid(changed("inputs", json!([])), "/inputs"),
        invalid(changed("inputs", json!("a")), "/inputs"),
        invalid(changed("inputs", json!([1, 2])), "/inputs"),
        invalid(changed("urgent", json!(true)), "/urgent"),
        invalid(
            format!(
                "{{\"service\":\"{SERVICE}\",\"service\":\"{SERVICE}\",\"team\":\"{TEAM}\",\"inputs\":[1]}}"
            ),
            "/service",
        ),
    ]
}

#[test]
fn invalid_input_runs_nothing() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        for invalid in invalid_requests() {
            let request = site.request(0, Method::POST, "/v1/tasks");
            let answer = site.send(request.with_body(invalid.body.clone())).await?;
            let body = json_of(&answer)?;
            let context = format!("{} -> {body}", invalid.body);
            assert_eq!(answer.status, 400, "{context}");
            assert_eq!(
                answer.header("content-type"),
                Some("application/problem+json"),
                "{context}"
            );
            assert_eq!(body["outcome"], "not_run", "{context}");
            let errors = body["errors"].as_array().ok_or("no errors")?;
            let is_named = errors.iter().any(|error| error["field"] == invalid.field);
            assert!(is_named, "{context}");
        }
        assert_eq!(site.starts(), Starts::default());
        Ok(())
    })
}

#[test]
fn refusals_run_nothing() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        let changed = |name: &str, value: Value| {
            let mut body = job(1, 1);
            body[name] = value;
            body
        };
        let table = [
            (changed("service", json!("none")), 422, "unknown_service"),
            (changed("team", json!("none")), 422, "unknown_team"),
            (
                changed("needs", json!({"cores": 1_000})),
                422,
                "needs_never_met",
            ),
            (
                changed("inputs", json!(["x".repeat(70_000)])),
                413,
                "input_too_large",
            ),
        ];
        for (body, status, reason) in table {
            let answer = site.send_task(0, &body).await?;
            assert_eq!(answer.status, status, "{reason}: {:?}", answer.body);
            assert_eq!(json_of(&answer)?["reason"], reason);
            assert_eq!(json_of(&answer)?["outcome"], "not_run");
        }
        assert_eq!(site.starts(), Starts::default());
        Ok(())
    })
}

#[test]
fn invalid_paths_are_refused() -> TestResult {
    smol::block_on(async {
        let site = Site::start(1).await?;
        let session = site.open_session(0).await?;
        let forged = format!("{session}A");
        let table = [
            (Method::GET, "/v1/none".to_owned(), 404),
            (Method::DELETE, "/v1/tasks".to_owned(), 405),
            (Method::PUT, format!("/v1/sessions/{forged}/jobs/1"), 400),
            (Method::PUT, format!("/v1/sessions/{session}/jobs/x"), 400),
            (Method::PUT, format!("/v1/sessions/{session}/jobs/-1"), 400),
            (Method::GET, format!("/v1/sessions/{session}/jobs/9"), 404),
            (Method::GET, "/v1/jobs/key".to_owned(), 400),
            (Method::GET, format!("/v1/jobs/none?team={TEAM}"), 404),
            (Method::POST, "/v1/jobs".to_owned(), 400),
        ];
        for (method, path, status) in table {
            let request = site.request(0, method, &path);
            let answer = site.send(request.with_body(job(1, 1).to_string())).await?;
            assert_eq!(answer.status, status, "{path}: {:?}", answer.body);
            assert_eq!(json_of(&answer)?["outcome"], "not_run", "{path}");
        }
        assert_eq!(site.starts(), Starts::default());
        Ok(())
    })
}

#[test]
fn job_is_answered_through_another_data_centre() -> TestResult {
    smol::block_on(async {
        let mut site = Site::start(2).await?;
        let trace_file = site.directory.path().join("spans.jsonl");
        let traced = json!({ "trace_output": trace_file });
        let remote = site.start_entry("entry-b", SOUTH, traced).await?;
        site.wait_for_siblings(1).await?;
        let session = site.open_session(0).await?;
        let path = format!("/v1/sessions/{session}/jobs/1");
        let request = site.request(remote, Method::PUT, &path);
        let request = with_header(request, "traceparent", TRACEPARENT);
        let answer = site
            .send(request.with_body(job(480, 5).to_string()))
            .await?;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        let results = json_of(&answer)?["results"].as_array().map(Vec::len);
        assert_eq!(results, Some(480));
        assert_eq!(site.starts().tasks, 480);
        assert_eq!(site.starts().max_starts_per_task, 1);

        site.entries[remote].process.terminate()?;
        let ended = site.entries[remote].process.wait_for_exit(STOP_TIMEOUT);
        assert!(ended.await?.success());
        let spans = fs::read_to_string(trace_file)?;
        assert!(spans.lines().all(|line| line.contains(TRACE_ID)), "{spans}");
        for hop in ["caller", "forward"] {
            assert!(spans.contains(&format!("\"name\":\"{hop}\"")), "{spans}");
        }
        Ok(())
    })
}

const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const TRACEPARENT: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
