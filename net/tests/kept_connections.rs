//! Reuse of connections, their limit, and late or unsolicited answers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use almondhead_net::ExchangeError;
use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_net::Protocol;
use almondhead_net::Sent;
use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::RawServer;
use almondhead_testsupport::UpstreamSettings;
use almondhead_testsupport::UpstreamStandIn;

const TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);
const CONNECTIONS: usize = 4;
const TASKS: usize = 40;

struct Site {
    upstream: UpstreamStandIn,
    proxy: FaultProxy,
    client: HttpClient,
}

impl Site {
    async fn start(protocol: Protocol) -> Self {
        let settings = UpstreamSettings {
            slots: TASKS,
            ..UpstreamSettings::default()
        };
        let upstream = UpstreamStandIn::start(settings).await.unwrap();
        let proxy = FaultProxy::start(upstream.address()).await.unwrap();
        let client = HttpClient::new(HttpSettings {
            protocol,
            connections: CONNECTIONS,
            ..HttpSettings::default()
        });
        Self {
            upstream,
            proxy,
            client,
        }
    }

    async fn run(&self, task_id: &str, timeout: Duration) -> Result<HttpResponse, ExchangeError> {
        let request = task(self.proxy.address(), task_id);
        self.client.send(request, timeout).await
    }

    async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let started_at = Instant::now();
        while !condition(self) {
            assert!(started_at.elapsed() < TIMEOUT);
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    }
}

fn task(address: SocketAddr, task_id: &str) -> HttpRequest {
    let mut request = HttpRequest::new(Method::POST, address, "/v1/tasks");
    request.headers.insert("task-id", task_id.parse().unwrap());
    request.with_body(r#"{"run_ms":10}"#)
}

async fn run_many(site: &Site) {
    let ids = (0..TASKS).map(|number| format!("task-{number}"));
    let ids = ids.collect::<Vec<_>>();
    let runs = ids.iter().map(|id| async {
        let answer = site.run(id, TIMEOUT).await.unwrap();
        assert_eq!(answer.header("task-id"), Some(id.as_str()));
    });
    let runs = runs.map(Box::pin).collect::<Vec<_>>();
    join_all(runs).await;
    let report = site.upstream.report();
    assert_eq!(report.tasks.len(), TASKS);
    assert!(report.tasks.iter().all(|task| task.starts == 1));
}

async fn join_all(runs: Vec<impl Future<Output = ()> + Unpin>) {
    let mut runs = runs;
    smol::future::poll_fn(|context| {
        runs.retain_mut(|run| std::pin::Pin::new(run).poll(context).is_pending());
        if runs.is_empty() {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
}

#[test]
fn http1_connections_stay_within_the_limit() {
    smol::block_on(async {
        let site = Site::start(Protocol::Http1).await;
        run_many(&site).await;
        let counters = site.proxy.counters();
        assert_eq!(counters.connections, CONNECTIONS as u64);
        assert_eq!(counters.open_peak, CONNECTIONS as u64);
    });
}

#[test]
fn http2_shares_one_connection() {
    smol::block_on(async {
        let site = Site::start(Protocol::Http2).await;
        run_many(&site).await;
        assert_eq!(site.proxy.counters().connections, 1);
    });
}

#[test]
fn connection_closed_while_idle_is_replaced() {
    smol::block_on(async {
        for protocol in [Protocol::Http1, Protocol::Http2] {
            let site = Site::start(protocol).await;
            site.run("a", TIMEOUT).await.unwrap();
            site.proxy.cut_all();
            smol::Timer::after(Duration::from_millis(50)).await;
            site.run("b", TIMEOUT).await.unwrap();
            let counters = site.proxy.counters();
            assert_eq!((counters.cuts, counters.connections), (1, 2));
            assert_eq!(site.upstream.starts("b"), 1);
        }
    });
}

#[test]
fn late_answer_is_not_given_to_another_request() {
    smol::block_on(async {
        for protocol in [Protocol::Http1, Protocol::Http2] {
            let site = Site::start(protocol).await;
            site.run("warm", TIMEOUT).await.unwrap();
            site.proxy.set_faults(ProxyFaults {
                black_hole_answers: true,
                ..ProxyFaults::default()
            });
            let error = site.run("late", SHORT_TIMEOUT).await.unwrap_err();
            assert_eq!(error.sent, Sent::MayHaveArrived);
            assert_eq!(site.proxy.counters().black_holed, 1);
            site.proxy.heal().await.unwrap();
            let answer = site.run("next", TIMEOUT).await.unwrap();
            assert_eq!(answer.header("task-id"), Some("next"));
            assert_eq!(site.upstream.starts("late"), 1);
        }
    });
}

#[test]
fn unsolicited_answer_is_not_given_to_a_request() {
    smol::block_on(async {
        let twice = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na".repeat(2);
        let server = RawServer::start(twice, false).await.unwrap();
        let client = HttpClient::new(HttpSettings::default());
        for _ in 0..3 {
            let request = HttpRequest::new(Method::GET, server.address(), "/");
            assert_eq!(client.send(request, TIMEOUT).await.unwrap().body, "a");
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        assert_eq!(server.heads().len(), 3);
    });
}

#[test]
fn reordered_answers_reach_their_requests() {
    smol::block_on(async {
        let site = Site::start(Protocol::Http1).await;
        site.proxy.set_faults(ProxyFaults {
            hold_answers: true,
            ..ProxyFaults::default()
        });
        let run = async |id: &'static str| {
            let answer = site.run(id, TIMEOUT).await.unwrap();
            assert_eq!(answer.header("task-id"), Some(id));
        };
        let release = async {
            site.wait_until(|site| site.proxy.counters().held == 3)
                .await;
            site.proxy.release_reversed().await;
        };
        let first_two = smol::future::zip(run("a"), run("b"));
        smol::future::zip(smol::future::zip(first_two, run("c")), release).await;
        assert_eq!(site.proxy.counters().released, 3);
    });
}

#[test]
fn dropped_exchange_closes_its_connection() {
    smol::block_on(async {
        let site = Site::start(Protocol::Http1).await;
        let abandoned = site.run("a", TIMEOUT);
        let started = async {
            site.wait_until(|site| site.upstream.starts("a") == 1).await;
            Err("dropped")
        };
        let ended = smol::future::or(async { Ok(abandoned.await) }, started).await;
        assert!(ended.is_err());
        site.wait_until(|site| site.proxy.counters().open == 0)
            .await;
    });
}

#[test]
fn expect_header_is_not_sent() {
    smol::block_on(async {
        let server = RawServer::start("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false)
            .await
            .unwrap();
        let client = HttpClient::new(HttpSettings::default());
        let request = task(server.address(), "a");
        client.send(request, TIMEOUT).await.unwrap();
        let head = server.heads()[0].to_lowercase();
        assert!(!head.contains("expect"), "{head}");
        assert!(head.contains("content-length: 13"), "{head}");
        assert!(
            head.contains(&format!("host: {}", server.address())),
            "{head}"
        );
    });
}

#[test]
fn timeout_closes_all_idle_connections() {
    smol::block_on(async {
        let site = Site::start(Protocol::Http1).await;
        run_many(&site).await;
        // All existing connections stop delivering; new ones work.
        site.proxy.set_faults(ProxyFaults::black_hole());
        site.run("silent", SHORT_TIMEOUT).await.unwrap_err();
        site.proxy.set_faults(ProxyFaults::default());
        site.run("after", TIMEOUT).await.unwrap();
        let counters = site.proxy.counters();
        assert_eq!(counters.connections, CONNECTIONS as u64 + 1);
    });
}
