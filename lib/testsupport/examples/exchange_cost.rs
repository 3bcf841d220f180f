//! Measures the cost of requests to an upstream for the process that sends them.
//!
//! Prints a line for each setting: requests per second, response time beyond the task's run time,
//! and processor time of this process per request. The upstream runs in a separate process.

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_net::Protocol;
use almondhead_testsupport::ProcessHandle;
use almondhead_testsupport::workspace_binary;

const REQUESTS: usize = 8_000;
const TIMEOUT: Duration = Duration::from_secs(10);
/// The unit of the processor times in `/proc/self/stat`, in microseconds.
const CLOCK_TICK_US: u64 = 10_000;
/// The index of the user time in `/proc/self/stat`, counted from the field after the program's
/// name.
const USER_TIME_FIELD: usize = 11;

/// The parameters of one measurement.
struct Setting {
    protocol: Protocol,
    /// The number of requests in flight.
    concurrency: usize,
    /// The run time of each task in milliseconds.
    run_ms: u64,
}

/// Returns the user and system time of this process so far, in microseconds.
fn processor_time_us() -> Result<u64, Box<dyn Error>> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = stat
        .rsplit_once(") ")
        .ok_or("find the program name in /proc/self/stat: there is none")?;
    let times = fields.split(' ').skip(USER_TIME_FIELD).take(2);
    let mut ticks = 0;
    for time in times {
        ticks += time.parse::<u64>()?;
    }
    Ok(ticks * CLOCK_TICK_US)
}

/// Sends requests one after the other until `remaining` is 0; returns their response times.
async fn send_all(
    client: &HttpClient,
    address: SocketAddr,
    run_ms: u64,
    remaining: &AtomicUsize,
) -> Vec<Duration> {
    let mut times = Vec::new();
    while remaining
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |remaining| {
            remaining.checked_sub(1)
        })
        .is_ok()
    {
        let mut request = HttpRequest::new(Method::POST, address, "/v1/tasks");
        request
            .headers
            .insert("task-id", "a".parse().expect("is a header value"));
        let body = format!(r#"{{"run_ms":{run_ms},"input":"{}"}}"#, "x".repeat(470));
        let sent_at = Instant::now();
        let answer = client.send(request.with_body(body), TIMEOUT).await;
        assert_eq!(answer.expect("the upstream answers").status, 200);
        times.push(sent_at.elapsed());
    }
    times
}

async fn measure(address: SocketAddr, setting: &Setting) -> Result<(), Box<dyn Error>> {
    let client = Arc::new(HttpClient::new(HttpSettings {
        protocol: setting.protocol,
        connections: setting.concurrency,
        ..HttpSettings::default()
    }));
    let remaining = Arc::new(AtomicUsize::new(REQUESTS));
    let started_at = Instant::now();
    let processor_us = processor_time_us()?;
    let senders = (0..setting.concurrency).map(|_| {
        let client = Arc::clone(&client);
        let remaining = Arc::clone(&remaining);
        let run_ms = setting.run_ms;
        smol::spawn(async move { send_all(&client, address, run_ms, &remaining).await })
    });
    let senders = senders.collect::<Vec<_>>();
    let mut times = Vec::with_capacity(REQUESTS);
    for sender in senders {
        times.extend(sender.await);
    }
    let elapsed = started_at.elapsed();
    let processor_us = processor_time_us()? - processor_us;
    times.sort();
    let beyond_run_time_us = |permille: usize| {
        let time = times[times.len() * permille / 1000];
        time.saturating_sub(Duration::from_millis(setting.run_ms))
            .as_micros()
    };
    println!(
        "{:?} concurrency={} run_ms={}: {:.0} requests/s, beyond run time p50 {} us p99 {} us, processor {:.1} us per request",
        setting.protocol,
        setting.concurrency,
        setting.run_ms,
        times.len() as f64 / elapsed.as_secs_f64(),
        beyond_run_time_us(500),
        beyond_run_time_us(990),
        processor_us as f64 / times.len() as f64,
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    // The example is in target/PROFILE/examples; the programs are one directory up.
    let program = workspace_binary("standin-upstream");
    let mut upstream = ProcessHandle::start(&program, ["--slots", "1000"])?;
    smol::block_on(async {
        let address = upstream.wait_for_address(TIMEOUT).await?;
        for protocol in [Protocol::Http1, Protocol::Http2] {
            for (concurrency, run_ms) in [(1, 0), (8, 0), (64, 0), (8, 10), (64, 10)] {
                let setting = Setting {
                    protocol,
                    concurrency,
                    run_ms,
                };
                measure(address, &setting).await?;
            }
        }
        Ok(())
    })
}
