//! The step and the sent state that failed exchanges report.

use std::net::SocketAddr;
use std::time::Duration;

use almondhead_net::ExchangeError;
use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_net::Protocol;
use almondhead_net::Sent;
use almondhead_net::Step;
use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::ProxyCounters;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::RawServer;
use almondhead_testsupport::UpstreamSettings;
use almondhead_testsupport::UpstreamStandIn;
use almondhead_testsupport::free_address;

const TIMEOUT: Duration = Duration::from_millis(400);
const BODY_LIMIT_BYTES: usize = 12;

fn settings(protocol: Protocol) -> HttpSettings {
    HttpSettings {
        protocol,
        response_body_bytes: BODY_LIMIT_BYTES,
        ..HttpSettings::default()
    }
}

fn task(address: SocketAddr) -> HttpRequest {
    let mut request = HttpRequest::new(Method::POST, address, "/v1/tasks");
    request.headers.insert("task-id", "a".parse().unwrap());
    request.with_body(vec![b' '; 500])
}

async fn failure(protocol: Protocol, request: HttpRequest) -> ExchangeError {
    let client = HttpClient::new(settings(protocol));
    let peer = request.address;
    let error = client.send(request, TIMEOUT).await.unwrap_err();
    assert_eq!(error.peer, peer);
    error
}

struct AnswerCase {
    name: &'static str,
    answer: &'static str,
    close: bool,
    step: Step,
    /// Part of the error's text.
    error_text: &'static str,
}

const ANSWER_CASES: [AnswerCase; 8] = [
    AnswerCase {
        name: "closed without an answer",
        answer: "",
        close: true,
        step: Step::Exchange,
        error_text: "closed",
    },
    AnswerCase {
        name: "head cut",
        answer: "HTTP/1.1 200 OK\r\nContent-Le",
        close: true,
        step: Step::Exchange,
        error_text: "closed",
    },
    AnswerCase {
        name: "not HTTP",
        answer: "220 mail.example ESMTP\r\n\r\n",
        close: false,
        step: Step::Exchange,
        error_text: "HTTP",
    },
    AnswerCase {
        name: "body cut",
        answer: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
        close: true,
        step: Step::ReadBody,
        error_text: "body",
    },
    AnswerCase {
        name: "chunked body cut",
        answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        close: true,
        step: Step::ReadBody,
        error_text: "body",
    },
    AnswerCase {
        name: "body that ends with the connection",
        answer: "HTTP/1.1 200 OK\r\n\r\nabc",
        close: true,
        step: Step::ReadBody,
        error_text: "no stated length",
    },
    AnswerCase {
        name: "chunked body above the limit",
        answer: concat!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "a\r\n0123456789\r\na\r\n0123456789\r\n",
        ),
        close: false,
        step: Step::ReadBody,
        error_text: "longer than 12 bytes",
    },
    AnswerCase {
        name: "body above the limit",
        answer: "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n",
        close: false,
        step: Step::ReadBody,
        error_text: "longer than 12 bytes",
    },
];

#[test]
fn broken_answers_are_errors() {
    smol::block_on(async {
        for case in ANSWER_CASES {
            let server = RawServer::start(case.answer, case.close).await.unwrap();
            let error = failure(Protocol::Http1, task(server.address())).await;
            assert_eq!(
                (error.step, error.sent),
                (case.step, Sent::MayHaveArrived),
                "{}: {error}",
                case.name
            );
            let text = error.to_string();
            assert!(text.contains(case.error_text), "{}: {text}", case.name);
            assert_eq!(server.heads().len(), 1, "{}", case.name);
        }
    });
}

struct ProxyCase {
    name: &'static str,
    faults: ProxyFaults,
    step: Step,
    /// Number of times that the upstream starts the task, over HTTP/1.1.
    starts: u64,
    counter: fn(&ProxyCounters) -> u64,
}

fn proxy_cases() -> Vec<ProxyCase> {
    let none = ProxyFaults::default();
    vec![
        ProxyCase {
            name: "cut before the request's first byte",
            faults: ProxyFaults {
                cut_request_after_bytes: Some(0),
                ..none.clone()
            },
            step: Step::Exchange,
            starts: 0,
            counter: |counters| counters.cuts,
        },
        ProxyCase {
            name: "cut amid the request's body",
            faults: ProxyFaults {
                cut_request_after_bytes: Some(200),
                ..none.clone()
            },
            step: Step::Exchange,
            starts: 0,
            counter: |counters| counters.cuts,
        },
        ProxyCase {
            name: "cut amid the answer's head",
            faults: ProxyFaults {
                cut_answer_after_bytes: Some(20),
                ..none.clone()
            },
            step: Step::Exchange,
            starts: 1,
            counter: |counters| counters.cuts,
        },
        ProxyCase {
            name: "request lost",
            faults: ProxyFaults {
                black_hole_requests: true,
                ..none.clone()
            },
            step: Step::Exchange,
            starts: 0,
            counter: |counters| counters.black_holed,
        },
        ProxyCase {
            name: "answer lost",
            faults: ProxyFaults {
                black_hole_answers: true,
                ..none
            },
            step: Step::Exchange,
            starts: 1,
            counter: |counters| counters.black_holed,
        },
    ]
}

async fn check_proxy_cases(protocol: Protocol) {
    for case in proxy_cases() {
        let upstream = UpstreamStandIn::start(UpstreamSettings::default())
            .await
            .unwrap();
        let proxy = FaultProxy::start(upstream.address()).await.unwrap();
        proxy.set_faults(case.faults);
        let error = failure(protocol, task(proxy.address())).await;
        assert_eq!(
            (error.step, error.sent),
            (case.step, Sent::MayHaveArrived),
            "{}: {error}",
            case.name
        );
        assert!((case.counter)(&proxy.counters()) > 0, "{}", case.name);
        // Over HTTP/2 a fault of answers hits the answer to the SETTINGS frame instead of the
        // task's, so the number of starts differs.
        if protocol == Protocol::Http1 {
            assert_eq!(upstream.starts("a"), case.starts, "{}", case.name);
        }
    }
}

#[test]
fn proxy_faults_on_http1() {
    smol::block_on(check_proxy_cases(Protocol::Http1));
}

#[test]
fn proxy_faults_on_http2() {
    smol::block_on(check_proxy_cases(Protocol::Http2));
}

#[test]
fn nothing_is_sent_without_a_connection() {
    smol::block_on(async {
        for protocol in [Protocol::Http1, Protocol::Http2] {
            let unused = free_address().unwrap();
            let error = failure(protocol, task(unused)).await;
            assert_eq!((error.step, error.sent), (Step::Connect, Sent::Nothing));

            let mut invalid = task(unused);
            invalid.path = "no path".to_owned();
            let error = failure(protocol, invalid).await;
            assert_eq!((error.step, error.sent), (Step::Build, Sent::Nothing));
        }
    });
}

#[test]
fn nothing_is_sent_while_all_connections_are_in_use() {
    smol::block_on(async {
        let upstream = UpstreamStandIn::start(UpstreamSettings::default())
            .await
            .unwrap();
        for protocol in [Protocol::Http1, Protocol::Http2] {
            let client = HttpClient::new(HttpSettings {
                connections: 1,
                streams: 1,
                protocol,
                ..HttpSettings::default()
            });
            let request = task(upstream.address()).with_body(r#"{"run_ms":1000}"#);
            let first = client.send(request, 3 * TIMEOUT);
            let second = client.send(task(upstream.address()), TIMEOUT);
            let (first, second) = smol::future::zip(first, second).await;
            let error = second.unwrap_err();
            assert_eq!(
                (error.step, error.sent),
                (Step::AwaitConnection, Sent::Nothing)
            );
            assert_eq!(first.unwrap().status, 200);
        }
        assert_eq!(upstream.report().counters.requests, 2);
    });
}
