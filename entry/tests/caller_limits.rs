//! The limits of the caller interface, and callers that disconnect.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use almondhead_net::Method;
use almondhead_testsupport::UpstreamFaults;
use almondhead_testsupport::site::NORTH;
use almondhead_testsupport::site::Site;
use almondhead_testsupport::site::TestResult;
use almondhead_testsupport::site::job;
use almondhead_testsupport::site::json_of;
use serde_json::json;
use smol::Timer;

/// Longer than each time limit of the site.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts an entry with low limits and one upstream.
async fn start_limited_site() -> Result<Site, Box<dyn std::error::Error>> {
    let mut site = Site::without_entries(1).await?;
    let document = site.document();
    site.install(1, &document).await?;
    let limits = json!({
        "body_bytes": 100_000,
        "head_bytes": 4_096,
        "tasks_per_job": 480,
        "connections": 40,
        "body_ms": 300,
        "idle_ms": 1_500,
    });
    site.start_entry("entry-a", NORTH, json!({ "limits": limits }))
        .await?;
    Ok(site)
}

/// Sends bytes and reads until the connection is closed.
fn exchange(address: SocketAddr, request: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(EXCHANGE_TIMEOUT))?;
    // The entry may refuse before it has read everything.
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Returns a request with the given `Content-Length`, which may differ from the length of its body.
fn raw_task(body: &str, content_length_bytes: usize) -> String {
    let head = "POST /v1/tasks HTTP/1.1\r\nHost: a\r\nContent-Length: ";
    format!("{head}{content_length_bytes}\r\n\r\n{body}")
}

#[test]
fn long_bodies_are_refused() -> TestResult {
    smol::block_on(async {
        let site = start_limited_site().await?;
        let mut long = job(1, 1);
        long["inputs"] = json!(["x".repeat(200_000)]);
        let answer = site.send_task(0, &long).await?;
        assert_eq!(answer.status, 413, "{:?}", answer.body);
        assert_eq!(json_of(&answer)?["reason"], "body_too_long");

        let chunk = format!("{:x}\r\n{}\r\n", 50_000, "x".repeat(50_000)).repeat(4);
        let head = "POST /v1/tasks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n";
        let request = format!("{head}Connection: close\r\n\r\n{chunk}0\r\n\r\n");
        let answer = exchange(site.entries[0].caller_address, request.as_bytes())?;
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        assert_eq!(site.starts().tasks, 0);
        Ok(())
    })
}

#[test]
fn too_many_tasks_are_refused() -> TestResult {
    smol::block_on(async {
        let site = start_limited_site().await?;
        let session = site.open_session(0).await?;
        for (number, tasks, status) in [(1, 480, 200), (2, 481, 400)] {
            let path = format!("/v1/sessions/{session}/jobs/{number}");
            let request = site.request(0, Method::PUT, &path);
            let answer = site
                .send(request.with_body(job(tasks, 1).to_string()))
                .await?;
            assert_eq!(answer.status, status, "{:?}", answer.body);
        }
        assert_eq!(site.starts().tasks, 480);
        Ok(())
    })
}

#[test]
fn slow_and_cut_bodies_run_nothing() -> TestResult {
    smol::block_on(async {
        let site = start_limited_site().await?;
        let address = site.entries[0].caller_address;
        let body = job(1, 1).to_string();
        let request = raw_task(&body, body.len() + 1);
        let started_at = Instant::now();
        let answer = exchange(address, request.as_bytes())?;
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        assert!(started_at.elapsed() < EXCHANGE_TIMEOUT);

        let mut cut = TcpStream::connect(address)?;
        cut.write_all(request.as_bytes())?;
        drop(cut);
        Timer::after(Duration::from_millis(500)).await;
        assert_eq!(site.starts().tasks, 0);
        Ok(())
    })
}

#[test]
fn long_heads_close_the_connection() -> TestResult {
    smol::block_on(async {
        let site = start_limited_site().await?;
        let long = "x".repeat(10_000);
        let request = format!("POST /v1/tasks HTTP/1.1\r\nHost: a\r\nLong: {long}\r\n\r\n");
        let answer = exchange(site.entries[0].caller_address, request.as_bytes())?;
        assert_eq!(answer, "", "the connection must close without an answer");
        assert_eq!(site.starts().tasks, 0);
        Ok(())
    })
}

#[test]
fn connections_are_bounded() -> TestResult {
    smol::block_on(async {
        let site = start_limited_site().await?;
        let address = site.entries[0].caller_address;
        let open_connections: Vec<TcpStream> = (0..60)
            .map(|_| TcpStream::connect(address))
            .collect::<Result<_, _>>()?;
        Timer::after(Duration::from_millis(300)).await;
        let answer = exchange(address, b"GET /v1/none HTTP/1.1\r\nHost: a\r\n\r\n")?;
        assert_eq!(answer, "", "the connection must close without an answer");
        drop(open_connections);
        Timer::after(Duration::from_millis(300)).await;
        let answer = site.send_task(0, &job(1, 1)).await?;
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        Ok(())
    })
}

#[test]
fn idle_connections_are_closed() -> TestResult {
    smol::block_on(async {
        let site = start_limited_site().await?;
        let address = site.entries[0].caller_address;
        for start in ["", "POST /v1/tasks HTTP/1.1\r\nHost"] {
            let started_at = Instant::now();
            assert_eq!(exchange(address, start.as_bytes())?, "");
            assert!(started_at.elapsed() < EXCHANGE_TIMEOUT, "{start}");
        }
        let longer_than_idle = site.send_task(0, &job(1, 3_000)).await?;
        assert_eq!(longer_than_idle.status, 200, "{:?}", longer_than_idle.body);
        Ok(())
    })
}

#[test]
fn endless_sender_is_disconnected() -> TestResult {
    smol::block_on(async {
        let site = start_limited_site().await?;
        let body = job(1, 2_000).to_string();
        let mut stream = TcpStream::connect(site.entries[0].caller_address)?;
        stream.set_write_timeout(Some(EXCHANGE_TIMEOUT))?;
        stream.write_all(raw_task(&body, body.len()).as_bytes())?;
        let junk = [b'x'; 64 * 1024];
        let sent = (0..1_000).take_while(|_| stream.write_all(&junk).is_ok());
        assert!(sent.count() < 1_000, "the entry read everything");
        Ok(())
    })
}

#[test]
fn dropped_request_frees_its_task() -> TestResult {
    smol::block_on(async {
        let site = start_limited_site().await?;
        let body = job(1, 10_000).to_string();
        let request = raw_task(&body, body.len());
        let mut stream = TcpStream::connect(site.entries[0].caller_address)?;
        stream.write_all(request.as_bytes())?;
        site.wait_for_status(0, "running_attempts", 1).await?;
        drop(stream);
        site.wait_for_status(0, "running_attempts", 0).await?;
        let stops: u64 = site.upstreams[0]
            .report()
            .tasks
            .iter()
            .map(|task| task.stops)
            .sum();
        assert_eq!(stops, 1);
        Ok(())
    })
}

/// Guards against a task that runs on for nobody because its stop overtook its start on the way to the
/// upstream.
#[test]
fn stop_that_overtakes_its_start_is_repeated() -> TestResult {
    smol::block_on(async {
        let site = start_limited_site().await?;
        site.upstreams[0].set_faults(UpstreamFaults {
            start_delay_ms: 150,
            ..UpstreamFaults::default()
        });
        let body = job(1, 10_000).to_string();
        let request = raw_task(&body, body.len());
        let mut stream = TcpStream::connect(site.entries[0].caller_address)?;
        stream.write_all(request.as_bytes())?;
        site.wait_for_status(0, "running_attempts", 1).await?;
        drop(stream);
        site.wait_for_status(0, "running_attempts", 0).await?;
        let report = site.upstreams[0].report();
        assert_eq!(report.counters.late_starts, 1);
        let stops: u64 = report.tasks.iter().map(|task| task.stops).sum();
        assert_eq!(stops, 1);
        Ok(())
    })
}
