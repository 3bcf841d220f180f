//! A planned stop of an instance that dispatches leased runs, while callers wait several seconds.

use std::time::Duration;
use std::time::Instant;

use almondhead_platform_standins::ProcessSite;
use almondhead_platform_standins::submit;
use almondhead_testsupport::run_site::run_job;
use almondhead_testsupport::site::TestResult;
use futures_lite::future::zip;
use smol::Timer;

/// `stop_grace_ms` of the site's instances.
const STOP_GRACE: Duration = Duration::from_secs(6);

const CALLER_WAIT: Duration = Duration::from_secs(20);

const PATH: &str = "/look/00000000000000e1";

/// How long after the job was submitted its instance is stopped.
const STOP_DELAY: Duration = Duration::from_millis(300);

/// How long after their start instances need to learn of each other's upstreams.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Starts two instances and four upstreams whose tasks run for `run_time`.
async fn start(run_time: Duration) -> Result<ProcessSite, Box<dyn std::error::Error>> {
    let site = ProcessSite::start(2, 4).await?;
    for upstream in &site.upstreams {
        upstream.set_run_time(run_time);
    }
    Timer::after(DISCOVERY_TIME).await;
    Ok(site)
}

/// Guards against connections to callers that are closed together with the listener.
#[test]
fn job_within_the_grace_is_finished() -> TestResult {
    smol::block_on(async {
        let mut site = start(Duration::from_millis(3_500)).await?;
        let address = site.instances[0].caller_address;
        let job = run_job(4, 6_800, 3_500);
        let answered = submit(address, PATH, &job, CALLER_WAIT);
        let process = &mut site.instances[0].process;
        let stop = async {
            Timer::after(STOP_DELAY).await;
            process.terminate()
        };
        let (answer, stopped) = zip(answered, stop).await;
        stopped?;
        assert_eq!(answer?.state.as_deref(), Some("completed"));
        let starts = site.upstreams.iter().flat_map(|upstream| upstream.starts());
        assert_eq!(starts.map(|(_, times)| times).sum::<u64>(), 4);
        site.instances[0].process.wait_for_exit(STOP_GRACE).await?;
        Ok(())
    })
}

/// Guards against connections to callers that are closed, unanswered, by the exit of the process.
#[test]
fn job_beyond_the_grace_gets_its_answer() -> TestResult {
    smol::block_on(async {
        let mut site = start(Duration::from_secs(12)).await?;
        let address = site.instances[0].caller_address;
        let job = run_job(4, 6_800, 12_000);
        let answered = submit(address, PATH, &job, CALLER_WAIT);
        let process = &mut site.instances[0].process;
        let stop = async {
            Timer::after(STOP_DELAY).await;
            let stopped_at = Instant::now();
            process.terminate()?;
            process.wait_for_exit(STOP_GRACE).await?;
            Ok::<_, almondhead_testsupport::ProcessError>(stopped_at.elapsed())
        };
        let (answer, took) = zip(answered, stop).await;
        assert!(took? < STOP_GRACE);
        let answer = answer?;
        assert_eq!(answer.status, 504, "{answer:?}");
        Ok(())
    })
}

/// Guards against a stopping instance that refuses every caller whose wait extends beyond the exit,
/// however short its job.
#[test]
fn short_job_is_accepted_while_stopping() -> TestResult {
    smol::block_on(async {
        let mut site = start(Duration::from_millis(60)).await?;
        let address = site.instances[0].caller_address;
        site.instances[0].process.terminate()?;
        let stopping = site.instances[0]
            .process
            .wait_for_line("stopping", STOP_GRACE);
        stopping.await?;
        let job = run_job(4, 6_800, 60);
        let answer = submit(address, PATH, &job, CALLER_WAIT).await?;
        assert_eq!(answer.state.as_deref(), Some("completed"), "{answer:?}");
        Ok(())
    })
}
