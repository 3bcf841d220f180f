//! The upstream stand-in's faults, answers and record of starts.

use std::net::SocketAddr;
use std::time::Duration;

use almondhead_net::ExchangeError;
use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_net::Sent;
use almondhead_net::header::HeaderValue;
use almondhead_testsupport::UpstreamCounters;
use almondhead_testsupport::UpstreamFaults;
use almondhead_testsupport::UpstreamSettings;
use almondhead_testsupport::UpstreamStandIn;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn run_task(
    client: &HttpClient,
    address: SocketAddr,
    task_id: &'static str,
    input: &'static str,
) -> Result<HttpResponse, ExchangeError> {
    let mut request = HttpRequest::new(Method::POST, address, "/v1/tasks").with_body(input);
    request
        .headers
        .insert("task-id", HeaderValue::from_static(task_id));
    client.send(request, TIMEOUT).await
}

struct Case {
    name: &'static str,
    faults: UpstreamFaults,
    /// The status of the answer; none if the connection is closed before its end.
    status: Option<u16>,
    starts: u64,
    /// The counter that must be 1.
    counter: fn(&UpstreamCounters) -> u64,
}

fn answered_cases() -> Vec<Case> {
    let none = UpstreamFaults::default();
    vec![
        Case {
            name: "no fault",
            faults: none.clone(),
            status: Some(200),
            starts: 1,
            counter: |counters| counters.requests,
        },
        Case {
            name: "fails everything",
            faults: UpstreamFaults {
                fail_everything: true,
                ..none.clone()
            },
            status: Some(500),
            starts: 1,
            counter: |counters| counters.failed,
        },
        Case {
            name: "answers with another's id",
            faults: UpstreamFaults {
                wrong_task_id: true,
                ..none.clone()
            },
            status: Some(200),
            starts: 1,
            counter: |counters| counters.wrong_task_ids,
        },
        Case {
            name: "holds the answer back",
            faults: UpstreamFaults {
                delay_ms: 5,
                ..none.clone()
            },
            status: Some(200),
            starts: 1,
            counter: |counters| counters.delayed,
        },
        Case {
            name: "runs slowly",
            faults: UpstreamFaults {
                slow_factor: 5.0,
                ..none.clone()
            },
            status: Some(200),
            starts: 1,
            counter: |counters| counters.slowed,
        },
        Case {
            name: "refuses all",
            faults: UpstreamFaults {
                refuse_all: true,
                ..none.clone()
            },
            status: Some(503),
            starts: 0,
            counter: |counters| counters.refused,
        },
    ]
}

fn broken_cases() -> Vec<Case> {
    let none = UpstreamFaults::default();
    vec![
        Case {
            name: "loses the answer",
            faults: UpstreamFaults {
                lose_answer: true,
                ..none.clone()
            },
            status: None,
            starts: 1,
            counter: |counters| counters.lost_answers,
        },
        Case {
            name: "cuts the body",
            faults: UpstreamFaults {
                cut_body: true,
                ..none.clone()
            },
            status: None,
            starts: 1,
            counter: |counters| counters.cut_bodies,
        },
    ]
}

#[test]
fn each_fault_takes_effect_and_is_counted() {
    smol::block_on(async {
        for case in answered_cases().into_iter().chain(broken_cases()) {
            let upstream = UpstreamStandIn::start(UpstreamSettings::default())
                .await
                .unwrap();
            upstream.set_faults(case.faults);
            let client = HttpClient::new(HttpSettings::default());
            let answer = run_task(&client, upstream.address(), "a", r#"{"run_ms":1}"#).await;
            match (&answer, case.status) {
                (Ok(answer), Some(status)) => assert_eq!(answer.status, status, "{}", case.name),
                (Err(error), None) => assert_eq!(error.sent, Sent::MayHaveArrived, "{}", case.name),
                _ => panic!("{}: {answer:?}", case.name),
            }
            let refused = answer
                .as_ref()
                .is_ok_and(|answer| answer.header("task-not-run") == Some("a"));
            assert_eq!(refused, case.starts == 0, "{}", case.name);
            assert_eq!(upstream.starts("a"), case.starts, "{}", case.name);
            assert_eq!(
                (case.counter)(&upstream.report().counters),
                1,
                "{}",
                case.name
            );
        }
    });
}

#[test]
fn tasks_beyond_the_slots_are_refused() {
    smol::block_on(async {
        let settings = UpstreamSettings {
            slots: 1,
            ..UpstreamSettings::default()
        };
        let upstream = UpstreamStandIn::start(settings).await.unwrap();
        let client = HttpClient::new(HttpSettings::default());
        let (first, second) = smol::future::zip(
            run_task(&client, upstream.address(), "a", r#"{"run_ms":300}"#),
            run_task(&client, upstream.address(), "b", r#"{"run_ms":300}"#),
        )
        .await;
        let mut statuses = [first.unwrap().status, second.unwrap().status];
        statuses.sort();
        assert_eq!(statuses, [200, 503]);
        let counters = upstream.report().counters;
        assert_eq!((counters.over_limit, counters.running_peak), (1, 1));
    });
}

#[test]
fn stop_ends_a_running_task() {
    smol::block_on(async {
        let upstream = UpstreamStandIn::start(UpstreamSettings::default())
            .await
            .unwrap();
        let client = HttpClient::new(HttpSettings::default());
        let stop = async {
            while upstream.starts("a") == 0 {
                smol::Timer::after(Duration::from_millis(5)).await;
            }
            let request = HttpRequest::new(Method::POST, upstream.address(), "/v1/stop")
                .with_body(r#"{"task_ids":["a","unknown"]}"#);
            client.send(request, TIMEOUT).await.unwrap()
        };
        let task = run_task(&client, upstream.address(), "a", r#"{"run_ms":60000}"#);
        let (stopped, answer) = smol::future::zip(stop, task).await;
        assert_eq!(stopped.status, 200);
        assert_eq!(answer.unwrap().status, 409);
        let record = &upstream.report().tasks[0];
        assert_eq!((record.starts, record.finishes, record.stops), (1, 0, 1));
    });
}

#[test]
fn repeated_start_is_recorded() {
    smol::block_on(async {
        let upstream = UpstreamStandIn::start(UpstreamSettings::default())
            .await
            .unwrap();
        let client = HttpClient::new(HttpSettings::default());
        for _ in 0..2 {
            let answer = run_task(&client, upstream.address(), "a", "{}").await;
            assert_eq!(answer.unwrap().status, 200);
        }
        let counters = upstream.counters();
        assert_eq!((counters.starts, counters.repeated_starts), (2, 1));
        let record = &upstream.report().tasks[0];
        assert!(record.last_started_at_ms > 0);
        assert_eq!(record.traceparent, None);
    });
}
