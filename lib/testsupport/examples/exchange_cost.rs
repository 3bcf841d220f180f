//! Measures what an exchange with an upstream costs the process that sends it.
//!
//! Prints one line a setting: requests a second, response time over the task's own run time, and
//! processor time of this process for each request. The upstream runs as a process of its own.

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
/// The unit of processor time in `/proc/self/stat`, in microseconds.
const CLOCK_TICK_US: u64 = 10_000;
/// The place of user time in `/proc/self/stat`, counted after the program's name.
const USER_TIME_FIELD: usize = 11;

struct Setting {
    protocol: Protocol,
    at_a_time: usize,
    run_ms: u64,
}

fn processor_time_us() -> Result<u64, Box<dyn Error>> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = stat.rsplit_once(") ").ok_or("no program name")?;
    let times = fields.split(' ').skip(USER_TIME_FIELD).take(2);
    let mut ticks = 0;
    for time in times {
        ticks += time.parse::<u64>()?;
    }
    Ok(ticks * CLOCK_TICK_US)
}

async fn send_all(
    client: &HttpClient,
    address: SocketAddr,
    run_ms: u64,
    left: &AtomicUsize,
) -> Vec<Duration> {
    let mut times = Vec::new();
    while left
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
            left.checked_sub(1)
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
        connections: setting.at_a_time,
        ..HttpSettings::default()
    }));
    let left = Arc::new(AtomicUsize::new(REQUESTS));
    let started_at = Instant::now();
    let processor_us = processor_time_us()?;
    let senders = (0..setting.at_a_time).map(|_| {
        let client = Arc::clone(&client);
        let left = Arc::clone(&left);
        let run_ms = setting.run_ms;
        smol::spawn(async move { send_all(&client, address, run_ms, &left).await })
    });
    let senders = senders.collect::<Vec<_>>();
    let mut times = Vec::with_capacity(REQUESTS);
    for sender in senders {
        times.extend(sender.await);
    }
    let elapsed = started_at.elapsed();
    let processor_us = processor_time_us()? - processor_us;
    times.sort();
    let over = |share: usize| {
        let time = times[times.len() * share / 1000];
        time.saturating_sub(Duration::from_millis(setting.run_ms))
            .as_micros()
    };
    println!(
        "{:?} at_a_time={} run_ms={}: {:.0} requests/s, over run time p50 {} us p99 {} us, processor {:.1} us a request",
        setting.protocol,
        setting.at_a_time,
        setting.run_ms,
        times.len() as f64 / elapsed.as_secs_f64(),
        over(500),
        over(990),
        processor_us as f64 / times.len() as f64,
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    // An example lies in target/PROFILE/examples, beside which the programs are.
    let program = workspace_binary("standin-upstream");
    let mut upstream = ProcessHandle::start(&program, ["--slots", "1000"])?;
    smol::block_on(async {
        let address = upstream.wait_for_address(TIMEOUT).await?;
        for protocol in [Protocol::Http1, Protocol::Http2] {
            for (at_a_time, run_ms) in [(1, 0), (8, 0), (64, 0), (8, 10), (64, 10)] {
                let setting = Setting {
                    protocol,
                    at_a_time,
                    run_ms,
                };
                measure(address, &setting).await?;
            }
        }
        Ok(())
    })
}
