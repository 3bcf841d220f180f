//! A planned stop aborts no request in flight.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::job;
use almondhead_testsupport::site::json_of;
use serde_json::json;
use smol::Task;
use smol::Timer;

const CALLERS: u64 = 20;
const MAX_CALLS_PER_CALLER: usize = 200;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between the start of the load, the first signal and the second.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(300);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
const STOP_NOTICE_MS: u64 = 1_000;

/// Submits one task after another until one is refused, and returns the answers. Panics where a
/// request fails without an answer.
fn submit_until_refused(
    client: &Arc<HttpClient>,
    address: SocketAddr,
    number: u64,
) -> Task<Vec<HttpResponse>> {
    let client = Arc::clone(client);
    smol::spawn(async move {
        let mut answers = Vec::new();
        for _ in 0..MAX_CALLS_PER_CALLER {
            let request = HttpRequest::new(Method::POST, address, "/v1/tasks");
            let request = request.with_body(job(1, 20 + number * 5).to_string());
            let sent = client.send(request, CALL_TIMEOUT).await;
            let answer = sent.expect("a planned stop aborts no request");
            let refused = answer.status != 200;
            answers.push(answer);
            if refused {
                break;
            }
        }
        answers
    })
}

#[test]
fn stop_under_load_aborts_nothing() -> TestResult {
    smol::block_on(async {
        let mut site = Site::without_entries(4).await?;
        let document = site.document();
        site.install(1, &document).await?;
        let notice = json!({ "stop_notice_ms": STOP_NOTICE_MS });
        site.start_entry("entry-a", NORTH, notice).await?;
        let client = Arc::new(HttpClient::new(HttpSettings {
            connections: 64,
            ..HttpSettings::default()
        }));
        let address = site.entries[0].caller_address;
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| submit_until_refused(&client, address, number))
            .collect();
        let session = site.open_session(0).await?;
        let long_job = site.request(0, Method::PUT, &format!("/v1/sessions/{session}/jobs/1"));
        let long_job = long_job.with_body(job(24, 2_000).to_string());
        let long_answer = smol::spawn({
            let client = Arc::clone(&client);
            async move { client.send(long_job, CALL_TIMEOUT).await }
        });

        Timer::after(SIGNAL_INTERVAL).await;
        let process = &mut site.entries[0].process;
        process.terminate()?;
        Timer::after(SIGNAL_INTERVAL).await;
        process.terminate()?;
        let status = process.wait_for_exit(STOP_TIMEOUT).await?;
        assert!(status.success(), "{status}");

        let long_answer = long_answer.await?;
        assert_eq!(long_answer.status, 200, "{:?}", long_answer.body);
        let mut completed = 0;
        for caller in callers {
            let answers = caller.await;
            let last = answers.last().ok_or("no answer")?;
            assert_eq!(json_of(last)?["reason"], "leaving", "{:?}", last.body);
            assert_eq!(json_of(last)?["outcome"], "not_run");
            completed += answers.len() - 1;
        }
        assert!(completed > 0, "no task was complete before the stop");
        assert_eq!(site.starts().tasks, completed + 24);
        assert_eq!(site.starts().max_starts_per_task, 1);
        Ok(())
    })
}
