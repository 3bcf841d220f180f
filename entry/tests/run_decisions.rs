//! Metrics that count by reason which requests are refused, jobs given up and tasks retried.

use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::runs::job_spec::JobSpec;
use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_platform_standins::CallerAnswer;
use almondhead_platform_standins::ProcessSite;
use almondhead_platform_standins::submit;
use almondhead_testsupport::run_site::run_job;
use almondhead_testsupport::site::TestResult;

async fn submit_job(
    site: &ProcessSite,
    id: &str,
    job: &JobSpec,
    wait_ms: u64,
) -> Result<CallerAnswer, Box<dyn std::error::Error>> {
    let path = format!("/look/{id}");
    let wait = Duration::from_millis(wait_ms);
    Ok(submit(site.instances[0].caller_address, &path, job, wait).await?)
}

/// Returns the lines of the operators' metrics whose value is not zero.
async fn nonzero_metrics(site: &ProcessSite) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let operator_address = site.instances[0].operator_address;
    let request = HttpRequest::new(Method::GET, operator_address, "/metrics");
    let client = HttpClient::new(HttpSettings::default());
    let scraped = client.send(request, Duration::from_secs(1)).await?;
    let text = String::from_utf8(scraped.body.to_vec())?;
    let lines = text.lines().filter(|line| !line.ends_with(" 0"));
    Ok(lines.map(str::to_owned).collect())
}

fn assert_counted(lines: &[String], line: &str) {
    assert!(lines.iter().any(|other| other == line), "{line}: {lines:?}");
}

#[test]
fn job_longer_than_its_caller_waits_is_counted() -> TestResult {
    smol::block_on(async {
        let site = ProcessSite::start(1, 2).await?;
        let job = JobSpec {
            payload: Arc::from("5000"),
            ..run_job(1, 6_800, 60)
        };
        let answer = submit_job(&site, "0000000000000001", &job, 1_000).await?;
        assert_eq!(answer.status, 504);
        let lines = nonzero_metrics(&site).await?;
        assert_counted(
            &lines,
            r#"almondhead_jobs_given_up_total{reason="no_time_left"} 1"#,
        );
        let retried = r#"almondhead_tasks_started_over_total{reason="too_slow"}"#;
        assert!(
            lines.iter().any(|line| line.starts_with(retried)),
            "{lines:?}"
        );
        Ok(())
    })
}

#[test]
fn failing_task_is_counted() -> TestResult {
    smol::block_on(async {
        let site = ProcessSite::start(1, 2).await?;
        for upstream in &site.upstreams {
            upstream.set_fails_all(true);
        }
        let answer = submit_job(&site, "0000000000000002", &run_job(1, 6_800, 60), 1_500).await?;
        assert_eq!(answer.state.as_deref(), Some("failed"));
        // The third failure ends the job.
        assert_counted(
            &nonzero_metrics(&site).await?,
            r#"almondhead_tasks_started_over_total{reason="failed"} 2"#,
        );
        Ok(())
    })
}

#[test]
fn refusal_is_counted_by_its_reason() -> TestResult {
    smol::block_on(async {
        let site = ProcessSite::start(1, 2).await?;
        let job = JobSpec {
            durable: true,
            ..run_job(1, 6_800, 60)
        };
        let answer = submit_job(&site, "0000000000000003", &job, 1_500).await?;
        assert_eq!(answer.status, 503);
        assert_counted(
            &nonzero_metrics(&site).await?,
            r#"almondhead_run_refusals_total{reason="unsupported"} 1"#,
        );
        Ok(())
    })
}
