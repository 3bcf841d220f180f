//! Crowds of clients that do not keep to the limits, at a process with little memory and few descriptors.
//!
//! Each crowd writes and reads nothing. What is checked does not depend on the machine's speed: the process
//! goes on, its memory and descriptors stay within those of its machine, and an ordinary caller is served.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use almondhead_platform::READY_PATH;
use almondhead_platform_standins::ProcessSite;
use almondhead_platform_standins::ResourceLimits;
use almondhead_platform_standins::SiteLayout;
use almondhead_platform_standins::submit;
use almondhead_testsupport::run_site::run_job;
use almondhead_testsupport::site::TestResult;
use futures_lite::AsyncWriteExt;
use futures_lite::future::or;
use serde_json::json;
use smol::Task;
use smol::Timer;
use smol::net::TcpStream;

/// The memory of the machine, in MiB.
const MEMORY_MB: u64 = 160;

/// The descriptors of the machine.
const DESCRIPTORS: u64 = 256;

/// The longest body that the settings of these tests allow, in bytes.
const BODY_BYTES: usize = 1_048_576;

/// How long a crowd stays.
const CROWD_DURATION: Duration = Duration::from_secs(4);

/// How long an ordinary caller goes on trying.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(30);

/// How long an ordinary caller waits for an answer.
const CALLER_WAIT: Duration = Duration::from_millis(1_500);

/// Lets one crowd come at a time.
static TURN: Mutex<()> = Mutex::new(());

const MEBIBYTE: usize = 1_048_576;

/// What each client of a crowd writes.
struct Crowd {
    connections: usize,
    /// Written first, with the number of the client in place of `CLIENT`.
    opening: String,
    /// Written again and again after it.
    block: Vec<u8>,
    /// The number of bytes after which a client writes no more.
    bytes: usize,
}

impl Crowd {
    /// Clients that send requests without a pause and read no answer.
    fn of_requests(connections: usize, request: &str, mebibytes: usize) -> Self {
        Crowd {
            connections,
            opening: String::new(),
            block: request.repeat(500).into_bytes(),
            bytes: mebibytes * MEBIBYTE,
        }
    }

    /// Clients that send the head of one submission and some bytes of its body.
    fn of_bodies(connections: usize, framing: &str, block: Vec<u8>, bytes: usize) -> Self {
        let head = "POST /look/0000000000000001 HTTP/1.1\r\nHost: 127.0.0.1\r\n";
        Crowd {
            connections,
            opening: format!("{head}{framing}\r\n\r\n"),
            block,
            bytes,
        }
    }
}

/// The head of a request without the headers that callers usually send.
fn bare_get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n")
}

/// Starts a site of one instance on a small machine; `body_bytes` replaces the default of the setting.
async fn start(body_bytes: Option<usize>) -> Result<ProcessSite, Box<dyn std::error::Error>> {
    let layout = SiteLayout {
        limits: body_bytes.map(|body_bytes| json!({ "body_bytes": body_bytes })),
        resources: ResourceLimits {
            descriptors: Some(DESCRIPTORS),
            memory_mb: Some(MEMORY_MB),
        },
        ..SiteLayout::default()
    };
    ProcessSite::start_with_layout(layout, 1, 2).await
}

/// Connects and writes until the server takes no more or the client has written all, then stays.
async fn abuse(address: SocketAddr, opening: String, block: Vec<u8>, bytes: usize) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    // An error means that the server has closed the connection, which it may.
    let mut is_open = stream.write_all(opening.as_bytes()).await.is_ok();
    let mut written = 0;
    while is_open && written < bytes {
        is_open = stream.write_all(&block).await.is_ok();
        written += block.len();
    }
    std::future::pending::<()>().await;
}

fn spawn_crowd(address: SocketAddr, crowd: &Crowd) -> Vec<Task<()>> {
    let clients = (0..crowd.connections).map(|client| {
        let number = format!("{:016x}", 0xa000 + client);
        let opening = crowd.opening.replace("CLIENT", &number);
        let block = crowd.block.clone();
        smol::spawn(abuse(address, opening, block, crowd.bytes))
    });
    clients.collect()
}

/// The most memory that a process has had so far, in MiB.
fn peak_memory_mb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes / 1_024)
}

fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Submits jobs, each over a new connection, until one is completed.
async fn serve_ordinary(site: &ProcessSite, first_job: u64) {
    let address = site.instances[0].caller_address;
    let until = Instant::now() + ORDINARY_TIMEOUT;
    for job in first_job.. {
        let path = format!("/look/{job:016x}");
        let answer = submit(address, &path, &run_job(1, 6_800, 60), CALLER_WAIT).await;
        let state = answer.as_ref().ok().and_then(|at| at.state.as_deref());
        if state == Some("completed") {
            return;
        }
        assert!(Instant::now() < until, "the last answer was {answer:?}");
        Timer::after(Duration::from_millis(200)).await;
    }
}

/// Lets a crowd come to an address of the instance, and checks what must hold while it is there and after.
async fn withstand(site: &mut ProcessSite, address: SocketAddr, crowd: Crowd) {
    let process = site.instances[0].process.id();
    let clients = spawn_crowd(address, &crowd);
    let mut descriptors = 0;
    let sample = async {
        loop {
            descriptors = descriptors.max(open_descriptors(process));
            Timer::after(Duration::from_millis(20)).await;
        }
    };
    or(sample, async {
        Timer::after(CROWD_DURATION).await;
    })
    .await;
    let instance = &mut site.instances[0].process;
    assert!(
        instance.is_running(),
        "the process ended: {:?}",
        last_lines(instance.output())
    );
    drop(clients);
    serve_ordinary(site, 0x1000).await;
    let peak_mb = peak_memory_mb(process).expect("a running process");
    assert!(peak_mb <= MEMORY_MB, "{peak_mb} MiB of {MEMORY_MB}");
    assert!(
        descriptors < DESCRIPTORS as usize,
        "{descriptors} descriptors"
    );
    assert!(site.instances[0].process.is_running());
}

fn last_lines(output: Vec<String>) -> Vec<String> {
    let first = output.len().saturating_sub(3);
    output[first..].to_vec()
}

/// Lets a crowd come to the callers' address of a new site.
fn withstand_callers(body_bytes: Option<usize>, crowd: Crowd) -> TestResult {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let mut site = start(body_bytes).await?;
        let address = site.instances[0].caller_address;
        withstand(&mut site, address, crowd).await;
        Ok(())
    })
}

/// Guards against memory that grows with the requests that callers send ahead of their answers.
#[test]
fn requests_sent_ahead_are_bounded() -> TestResult {
    let request = bare_get("/look/0000000000000001");
    withstand_callers(None, Crowd::of_requests(20, &request, 16))
}

/// Guards against memory that grows with requests for readiness at the callers' address.
#[test]
fn readiness_sent_ahead_is_bounded() -> TestResult {
    withstand_callers(None, Crowd::of_requests(20, &bare_get(READY_PATH), 16))
}

/// Guards against a readiness port that a crowd keeps from the platform or that exhausts the process.
#[test]
fn readiness_port_is_bounded() -> TestResult {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let mut site = start(None).await?;
        let address = site.instances[0].ready_address;
        let crowd = Crowd::of_requests(200, &bare_get(READY_PATH), 4);
        withstand(&mut site, address, crowd).await;
        site.wait_until_ready(0).await
    })
}

/// Guards against memory that is taken for bodies when they are announced.
#[test]
fn announced_bodies_take_no_memory() -> TestResult {
    let framing = format!("Content-Length: {BODY_BYTES}");
    let crowd = Crowd::of_bodies(200, &framing, vec![b' '; 1_000], 1_000);
    withstand_callers(Some(BODY_BYTES), crowd)
}

/// Guards against bodies each of which is within the limit, and which together exceed the memory.
#[test]
fn bodies_within_the_limit_are_bounded_together() -> TestResult {
    let framing = format!("Content-Length: {BODY_BYTES}");
    let crowd = Crowd::of_bodies(200, &framing, vec![b' '; 16_000], BODY_BYTES - 16_000);
    withstand_callers(Some(BODY_BYTES), crowd)
}

/// Guards against bodies without an announced length that do not end.
#[test]
fn endless_bodies_are_bounded() -> TestResult {
    let chunk = format!("{:x}\r\n{}\r\n", 16_000, "x".repeat(16_000));
    let framing = "Transfer-Encoding: chunked";
    let crowd = Crowd::of_bodies(200, framing, chunk.into_bytes(), 16 * MEBIBYTE);
    withstand_callers(Some(BODY_BYTES), crowd)
}

/// Guards against a body that exceeds the memory once it is decoded.
#[test]
fn decoded_steps_are_bounded() -> TestResult {
    let steps = r#"{"Count":1},"#.repeat(600_000);
    let body = format!(r#"{{"Spec":"a","BestEffort":true,"Steps":[{steps}{{"Count":1}}]}}"#);
    let framing = format!("Content-Length: {}", body.len());
    let bytes = body.len();
    withstand_callers(
        None,
        Crowd::of_bodies(4, &framing, body.into_bytes(), bytes),
    )
}

/// Guards against idle connections that keep ordinary callers out, and against an accept loop that spins.
#[test]
fn idle_connections_give_way() -> TestResult {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let mut site = start(None).await?;
        let crowd = Crowd {
            connections: 300,
            opening: String::new(),
            block: Vec::new(),
            bytes: 0,
        };
        let address = site.instances[0].caller_address;
        let idle = spawn_crowd(address, &crowd);
        Timer::after(Duration::from_secs(2)).await;
        serve_ordinary(&site, 1).await;
        drop(idle);
        withstand(&mut site, address, crowd).await;
        Ok(())
    })
}

/// Guards against callers whose unread answers hold connections that others need.
#[test]
fn unread_answers_give_way() -> TestResult {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let mut site = start(None).await?;
        let crowd = Crowd::of_requests(300, &bare_get("/none"), 8);
        let address = site.instances[0].caller_address;
        let stalled = spawn_crowd(address, &crowd);
        Timer::after(Duration::from_secs(2)).await;
        serve_ordinary(&site, 1).await;
        drop(stalled);
        withstand(&mut site, address, crowd).await;
        Ok(())
    })
}

/// Guards against heads that take far more memory than they have bytes once they are parsed.
#[test]
fn parsed_heads_are_bounded() -> TestResult {
    let lines: String = (0..1_500).map(|line| format!("{line}:\r\n")).collect();
    let request = format!("GET /none HTTP/1.1\r\nHost: 127.0.0.1\r\n{lines}\r\n");
    let crowd = Crowd {
        connections: 200,
        opening: String::new(),
        block: request.into_bytes(),
        bytes: 4 * MEBIBYTE,
    };
    withstand_callers(None, crowd)
}

/// Guards against jobs each of which is within the limits, and whose tasks together exceed the memory.
#[test]
fn open_tasks_are_bounded() -> TestResult {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    smol::block_on(async {
        let mut site = start(None).await?;
        let address = site.instances[0].caller_address;
        let body =
            r#"{"Spec":"a","BestEffort":true,"Steps":[{"Count":2000,"Cpu":100,"EstimateMs":9}]}"#;
        let crowd = Crowd {
            connections: 120,
            opening: format!(
                "POST /look/CLIENT HTTP/1.1\r\nHost: {}\r\nX-Deadline-Ms: 600000\r\nContent-Length: {}\r\n\r\n{body}",
                address.ip(),
                body.len(),
            ),
            block: Vec::new(),
            bytes: 0,
        };
        withstand(&mut site, address, crowd).await;
        Ok(())
    })
}

/// Guards against an HTTP/2 preface after which no limit applies any more.
#[test]
fn preface_lifts_no_limit() -> TestResult {
    let request = format!("{}PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", bare_get("/none"));
    withstand_callers(None, Crowd::of_requests(20, &request, 16))
}
