//! A planned stop aborts no request that siblings forward, even while a document is installed.

use std::net::SocketAddr;
use std::time::Duration;

use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::json_of;
use almondhead_testsupport::site_faults::Caller;
use almondhead_testsupport::site_faults::marked_job;
use almondhead_testsupport::site_faults::put_job;
use almondhead_testsupport::site_faults::wait_until;
use serde_json::Value;
use serde_json::json;
use smol::Task;
use smol::Timer;

const CALLERS: usize = 12;
const MAX_JOBS_PER_CALLER: u64 = 400;
const TASKS: usize = 3;
const BEFORE_STOP: Duration = Duration::from_millis(500);
const SIGNAL_INTERVAL: Duration = Duration::from_millis(200);
const STOP_NOTICE_MS: u64 = 1_500;
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// The answer to the job with this marker.
struct JobAnswer {
    marker: String,
    body: Value,
}

/// Submits jobs of one session at an entry until one is not complete, and returns the answers.
fn submit_until_refused(
    name: &'static str,
    number: usize,
    address: SocketAddr,
    session: String,
) -> Task<Result<Vec<JobAnswer>, String>> {
    smol::spawn(async move {
        let caller = Caller::new();
        let mut answers = Vec::new();
        for job in 0..MAX_JOBS_PER_CALLER {
            let marker = format!("{name}-{number}-{job}");
            let body = marked_job(&marker, TASKS, 30 + 5 * number as u64);
            let answer = caller.send(put_job(address, &session, job, &body)).await;
            let answer = answer.map_err(|error| format!("{marker} was not answered: {error}"))?;
            let body = json_of(&answer).map_err(|error| error.to_string())?;
            let is_last = body["outcome"] != "complete";
            answers.push(JobAnswer { marker, body });
            if is_last {
                break;
            }
        }
        Ok(answers)
    })
}

#[test]
fn stop_aborts_no_forwarded_request() -> TestResult {
    smol::block_on(async {
        let mut site = Site::without_entries(4).await?;
        let installed = site.document();
        site.install(1, &installed).await?;
        let notice = json!({ "stop_notice_ms": STOP_NOTICE_MS });
        site.start_entry("entry-a", NORTH, notice).await?;
        site.start_entry("entry-b", NORTH, json!({})).await?;
        site.wait_for_siblings(1).await?;
        let mut callers = Vec::new();
        for number in 0..CALLERS {
            for (name, entry) in [("direct", 0), ("forwarded", 1)] {
                let session = site.open_session(0).await?;
                let address = site.entries[entry].caller_address;
                callers.push(submit_until_refused(name, number, address, session));
            }
        }
        Timer::after(BEFORE_STOP).await;
        let mut newer = site.document();
        newer.teams[0].weight = 2;
        site.install(2, &newer).await?;
        site.entries[0].process.terminate()?;
        Timer::after(SIGNAL_INTERVAL).await;
        site.entries[0].process.terminate()?;
        let status = site.entries[0].process.wait_for_exit(STOP_TIMEOUT).await?;
        assert!(status.success(), "{status}");
        let forwards = site.status_of(1, "messages").await?["forwards"].as_u64();
        assert!(forwards.is_some_and(|forwards| forwards > 0));

        let mut complete = 0;
        for caller in callers {
            for answer in caller.await? {
                let starts = site.starts_of(&answer.marker);
                if answer.body["outcome"] == "complete" {
                    complete += 1;
                    assert_eq!(starts, TASKS as u64, "{}", answer.marker);
                    continue;
                }
                let context = format!("{}: {}", answer.marker, answer.body);
                assert_eq!(answer.body["outcome"], "not_run", "{context}");
                assert_eq!(answer.body["reason"], "leaving", "{context}");
                assert_eq!(starts, 0, "{context}");
            }
        }
        assert!(complete > 0, "no job was complete before the stop");
        site.check_at_most_once()
    })
}

#[test]
fn stop_finishes_batches_of_siblings() -> TestResult {
    smol::block_on(async {
        let mut site = Site::without_entries(4).await?;
        let installed = site.document();
        site.install(1, &installed).await?;
        site.start_entry("entry-a", NORTH, json!({})).await?;
        site.start_entry("entry-b", NORTH, json!({})).await?;
        site.wait_for_siblings(1).await?;
        let session = site.open_session(1).await?;
        let body = marked_job("overflow", 32, 2_500);
        let address = site.entries[1].caller_address;
        let running = Caller::new().send(put_job(address, &session, 1, &body));
        site.wait_for_starts("overflow", 32).await?;
        let batches = site.status_of(1, "messages").await?["batches"].as_u64();
        assert!(batches.is_some_and(|batches| batches > 0), "{batches:?}");
        site.entries[0].process.terminate()?;
        let answer = running.await?;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        let process = &mut site.entries[0].process;
        wait_until("the stopped entry ends", || !process.is_running()).await?;
        assert!(process.wait_for_exit(STOP_TIMEOUT).await?.success());
        assert_eq!(site.starts_of("overflow"), 32);
        site.check_at_most_once()
    })
}
