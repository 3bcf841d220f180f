//! The proxy's faults take effect, are counted, and end on healing.

use std::time::Duration;

use almondhead_net::ExchangeError;
use almondhead_net::HttpClient;
use almondhead_net::HttpRequest;
use almondhead_net::HttpResponse;
use almondhead_net::HttpSettings;
use almondhead_net::Method;
use almondhead_net::Step;
use almondhead_testsupport::FaultProxy;
use almondhead_testsupport::ProxyFaults;
use almondhead_testsupport::RawServer;
use almondhead_testsupport::free_address;

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
const TIMEOUT: Duration = Duration::from_millis(500);

async fn get(proxy: &FaultProxy) -> Result<HttpResponse, ExchangeError> {
    let client = HttpClient::new(HttpSettings::default());
    let request = HttpRequest::new(Method::GET, proxy.address(), "/");
    client.send(request, TIMEOUT).await
}

#[test]
fn connections_are_accepted_again_after_healing() {
    smol::block_on(async {
        let server = RawServer::start(ANSWER, false).await.unwrap();
        let proxy = FaultProxy::start(server.address()).await.unwrap();
        proxy.refuse().await;
        assert_eq!(get(&proxy).await.unwrap_err().step, Step::Connect);
        proxy.heal().await.unwrap();
        get(&proxy).await.unwrap();
        let counters = proxy.counters();
        assert_eq!(counters.connections, 1);
        assert_eq!(counters.answer_bytes, ANSWER.len() as u64);
    });
}

#[test]
fn black_hole_forwards_held_data_after_healing() {
    smol::block_on(async {
        let server = RawServer::start(ANSWER, false).await.unwrap();
        let proxy = FaultProxy::start(server.address()).await.unwrap();
        proxy.set_faults(ProxyFaults::black_hole());
        let heal = async {
            while proxy.counters().black_holed == 0 {
                smol::Timer::after(Duration::from_millis(5)).await;
            }
            assert_eq!(server.heads().len(), 0);
            proxy.heal().await.unwrap();
        };
        let (answer, ()) = smol::future::zip(get(&proxy), heal).await;
        assert_eq!(answer.unwrap().body, "a");
    });
}

#[test]
fn delay_applies_to_both_directions() {
    smol::block_on(async {
        let server = RawServer::start(ANSWER, false).await.unwrap();
        let proxy = FaultProxy::start(server.address()).await.unwrap();
        proxy.set_faults(ProxyFaults {
            delay_ms: 20,
            ..ProxyFaults::default()
        });
        get(&proxy).await.unwrap();
        assert_eq!(proxy.counters().delayed, 2);
    });
}

#[test]
fn unreachable_server_closes_the_connection() {
    smol::block_on(async {
        let proxy = FaultProxy::start(free_address().unwrap()).await.unwrap();
        assert_eq!(get(&proxy).await.unwrap_err().step, Step::Exchange);
        assert_eq!(proxy.counters().unreachable, 1);
    });
}
