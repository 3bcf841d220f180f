//! An entry that was frozen (`SIGSTOP`) starts no task past the deadline once it is thawed.

use std::time::Duration;

use almondhead_net::HttpClient;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::job;
use almondhead_testsupport::site::json_of;
use serde_json::json;
use smol::Timer;

const SLOTS: usize = 8;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn thawed_entry_starts_nothing_late() -> TestResult {
    smol::block_on(async {
        let mut site = Site::start(1).await?;
        let session = site.open_session(0).await?;
        let path = format!("/v1/sessions/{session}/jobs/1");
        let mut body = job(4 * SLOTS, 400);
        body["timeout_ms"] = json!(1_800);
        let request = site.request(0, Method::PUT, &path);
        let request = request.with_body(body.to_string());
        let answer = smol::spawn(async move {
            let client = HttpClient::new(HttpSettings::default());
            client.send(request, ANSWER_TIMEOUT).await
        });
        site.wait_for_status(0, "running_attempts", SLOTS as u64)
            .await?;
        let process = &mut site.entries[0].process;
        process.freeze()?;
        Timer::after(Duration::from_secs(3)).await;
        let started_before = site.starts().tasks;
        site.entries[0].process.thaw()?;
        let answer = json_of(&answer.await?)?;
        assert_eq!(answer["outcome"], "failed", "{answer}");
        Timer::after(Duration::from_secs(1)).await;
        assert_eq!(site.starts().tasks, started_before);
        assert!(
            started_before < 4 * SLOTS,
            "all tasks had started before the freeze"
        );
        assert_eq!(site.starts().max_starts_per_task, 1);

        let next = site.send_task(0, &job(1, 1)).await?;
        assert_eq!(next.status, 200, "{:?}", next.body);
        Ok(())
    })
}
