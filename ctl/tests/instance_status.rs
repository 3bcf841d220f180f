//! `almondctl status`: ready, outdated, unreachable and leaving entry instances.

mod common;

use std::net::SocketAddr;

use almondhead_net::InstanceRole;
use almondhead_net::InstanceState;
use almondhead_net::ListedInstance;
use almondhead_testsupport::Outage;
use almondhead_testsupport::PlatformFaults;
use almondhead_testsupport::RawServer;
use almondhead_testsupport::free_address;
use common::EXAMPLE;
use common::almondctl_at;
use common::platform;
use smol::block_on;

async fn operator_listener(status: &str, revision: u64) -> RawServer {
    let body = format!("# HELP x\nalmondhead_document_revision {revision}\n");
    let length = body.len();
    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
    RawServer::start(answer, true).await.unwrap()
}

fn entry(name: &str, address: SocketAddr, state: InstanceState) -> ListedInstance {
    ListedInstance {
        name: name.to_owned(),
        role: InstanceRole::Entry,
        data_centre: "surco".to_owned(),
        state,
        incarnation: None,
        peer_address: None,
        address: Some(address),
    }
}

#[test]
fn leaving_instance_need_not_be_ready() {
    block_on(async {
        let platform = platform().await;
        let address = platform.address();
        almondctl_at(address, &["submit", EXAMPLE])
            .await
            .stdout_of(0);
        let ready = operator_listener("200 OK", 1).await;
        platform
            .announce(entry("a", ready.address(), InstanceState::Live))
            .await;
        let gone = free_address().unwrap();
        platform
            .announce(entry("b", gone, InstanceState::Leaving))
            .await;
        let stdout = almondctl_at(address, &["status"]).await.stdout_of(0);
        let lines: Vec<&str> = stdout.lines().collect();
        assert!(lines[0].starts_with("revision 1 by"), "{stdout}");
        assert!(lines[1].ends_with(": ready, revision 1"), "{stdout}");
        assert!(
            lines[2].contains("leaving: not ready, GET /readyz: connect"),
            "{stdout}"
        );
        platform
            .announce(entry("b", gone, InstanceState::Live))
            .await;
        almondctl_at(address, &["status"]).await.stdout_of(1);
    });
}

#[test]
fn outdated_revision_exits_with_1() {
    block_on(async {
        let platform = platform().await;
        let address = platform.address();
        for _ in 0..2 {
            almondctl_at(address, &["submit", EXAMPLE])
                .await
                .stdout_of(0);
        }
        let outdated = operator_listener("200 OK", 1).await;
        platform
            .announce(entry("a", outdated.address(), InstanceState::Live))
            .await;
        let stdout = almondctl_at(address, &["status"]).await.stdout_of(1);
        assert!(stdout.contains("ready, revision 1"), "{stdout}");
    });
}

#[test]
fn named_listeners_are_probed_without_platform() {
    block_on(async {
        let platform = platform().await;
        platform.set_faults(PlatformFaults {
            outage: Outage::Refusing,
            ..PlatformFaults::default()
        });
        let ready = operator_listener("200 OK", 7).await;
        let unready = operator_listener("503 Service Unavailable", 0).await;
        let (one, other) = (ready.address().to_string(), unready.address().to_string());
        let run = almondctl_at(
            platform.address(),
            &["status", "--at", &one, "--at", &other],
        )
        .await;
        assert!(run.stderr.contains("read the head"), "{}", run.stderr);
        let stdout = run.stdout_of(4);
        assert!(stdout.contains(": ready, revision 7"), "{stdout}");
        assert!(
            stdout.contains(": not ready, GET /readyz: status 503"),
            "{stdout}"
        );
    });
}
