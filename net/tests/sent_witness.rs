//! Checks what each exchange reports as sent against the upstream's record of starts.

use std::time::Duration;

use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_net::Protocol;
use almondhead_net::Sent;
use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::UpstreamSettings;
use almondhead_testsupport::UpstreamStandIn;

const TASKS: usize = 240;
const TIMEOUT: Duration = Duration::from_millis(60);
/// Longer than any request stays in flight.
const SETTLE_TIME: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Counts {
    answered: usize,
    nothing_sent: usize,
    may_have_arrived: usize,
}

/// Injects the fault for the task of this number.
async fn inject_fault(proxy: &FaultProxy, number: usize) {
    proxy.heal().await.unwrap();
    let bytes = (number * 37 % 400) as u64;
    match number % 8 {
        0 => proxy.cut_all(),
        1 => proxy.set_faults(ProxyFaults {
            cut_request_after_bytes: Some(bytes),
            ..ProxyFaults::default()
        }),
        2 => proxy.set_faults(ProxyFaults {
            cut_answer_after_bytes: Some(bytes),
            ..ProxyFaults::default()
        }),
        3 => {
            proxy.cut_all();
            proxy.refuse().await;
        }
        4 => proxy.set_faults(ProxyFaults {
            black_hole_answers: true,
            ..ProxyFaults::default()
        }),
        _ => {}
    }
}

async fn check(protocol: Protocol) {
    let upstream = UpstreamStandIn::start(UpstreamSettings::default())
        .await
        .unwrap();
    let proxy = FaultProxy::start(upstream.address()).await.unwrap();
    let client = HttpClient::new(HttpSettings {
        protocol,
        connections: 2,
        ..HttpSettings::default()
    });
    let mut outcomes = Vec::with_capacity(TASKS);
    for number in 0..TASKS {
        inject_fault(&proxy, number).await;
        let id = format!("task-{number}");
        let mut request = HttpRequest::new(Method::POST, proxy.address(), "/v1/tasks");
        request.headers.insert("task-id", id.parse().unwrap());
        let outcome = client.send(request.with_body("{}"), TIMEOUT).await;
        outcomes.push((id, outcome));
    }
    proxy.heal().await.unwrap();
    smol::Timer::after(SETTLE_TIME).await;

    let mut counts = Counts::default();
    for (id, outcome) in outcomes {
        let starts = upstream.starts(&id);
        match outcome {
            Ok(answer) => {
                assert_eq!(answer.header("task-id"), Some(id.as_str()));
                assert_eq!(starts, 1, "{id}");
                counts.answered += 1;
            }
            Err(error) if error.sent == Sent::Nothing => {
                assert_eq!(starts, 0, "{id}: {error}");
                counts.nothing_sent += 1;
            }
            Err(error) => {
                assert!(starts <= 1, "{id}: {error}");
                counts.may_have_arrived += 1;
            }
        }
    }
    assert!(counts.answered > 0 && counts.nothing_sent > 0 && counts.may_have_arrived > 0);
    assert!(proxy.counters().cuts > 0 && proxy.counters().black_holed > 0);
}

#[test]
fn sent_state_matches_starts_over_http1() {
    smol::block_on(check(Protocol::Http1));
}

#[test]
fn sent_state_matches_starts_over_http2() {
    smol::block_on(check(Protocol::Http2));
}
