//! The contract that each implementation of `Platform` must meet.

use std::time::Duration;

use almondhead_net::Bytes;
use almondhead_net::CasResult;
use almondhead_net::HttpPlatform;
use almondhead_net::HttpSettings;
use almondhead_net::InsertResult;
use almondhead_net::InstanceRole;
use almondhead_net::InstanceState;
use almondhead_net::ListedInstance;
use almondhead_net::MemoryPlatform;
use almondhead_net::NewRow;
use almondhead_net::Platform;
use almondhead_net::Row;
use almondhead_testsupport::PlatformSettings;
use almondhead_testsupport::PlatformStandIn;

const TIMEOUT: Duration = Duration::from_secs(5);
/// A key with every kind of character that must be encoded in a path.
const KEY: &str = "a/b%20?c=ä ..";

fn row(key: &str, value: &'static str) -> NewRow {
    NewRow {
        key: key.to_owned(),
        value: Bytes::from(value),
    }
}

fn stored(revision: u64, value: &'static str) -> Row {
    let value = Bytes::from(value);
    Row { revision, value }
}

async fn check_rows(platform: &dyn Platform) {
    assert_eq!(platform.read("t", KEY).await.unwrap(), None);
    let rows = vec![row(KEY, "one"), row("insert", "two"), row(KEY, "three")];
    let results = platform.insert_if_absent("t", rows).await.unwrap();
    let expected = [
        InsertResult::Inserted,
        InsertResult::Inserted,
        InsertResult::Present(stored(1, "one")),
    ];
    assert_eq!(results, expected);
    assert_eq!(
        platform.read("t", "insert").await.unwrap(),
        Some(stored(1, "two"))
    );
    assert_eq!(platform.read("other", KEY).await.unwrap(), None);
}

async fn check_compare_and_set(platform: &dyn Platform) {
    let set = |expected, value| platform.compare_and_set("heads", KEY, expected, value);
    let written = set(None, Bytes::from("one")).await.unwrap();
    assert_eq!(written, CasResult::Written { revision: 1 });
    let written = set(Some(1), Bytes::from("two")).await.unwrap();
    assert_eq!(written, CasResult::Written { revision: 2 });
    for expected in [None, Some(1), Some(3)] {
        let conflict = set(expected, Bytes::from("three")).await.unwrap();
        assert_eq!(conflict, CasResult::Conflict(Some(stored(2, "two"))));
    }
    let absent = platform
        .compare_and_set("heads", "absent", Some(1), Bytes::new())
        .await;
    assert_eq!(absent.unwrap(), CasResult::Conflict(None));
}

async fn check_objects(platform: &dyn Platform) {
    assert_eq!(platform.get_object(KEY).await.unwrap(), None);
    let body = Bytes::from(vec![0xff; 300_000]);
    platform.put_object(KEY, body.clone()).await.unwrap();
    assert_eq!(platform.get_object(KEY).await.unwrap(), Some(body));
}

async fn check_instances(platform: &dyn Platform) {
    let mut instance = ListedInstance {
        name: "entry-1".to_owned(),
        role: InstanceRole::Entry,
        data_centre: "surco".to_owned(),
        state: InstanceState::Live,
        incarnation: Some("c0ffee".to_owned()),
        peer_address: None,
        address: Some(([127, 0, 0, 1], 8080).into()),
    };
    platform.announce(instance.clone()).await.unwrap();
    instance.state = InstanceState::Leaving;
    platform.announce(instance.clone()).await.unwrap();
    let list = platform.list_instances().await.unwrap();
    assert_eq!(list.instances, [instance]);
    assert!(list.listed_at_ms > 0);
}

async fn check(platform: &dyn Platform) {
    check_rows(platform).await;
    check_compare_and_set(platform).await;
    check_objects(platform).await;
    check_instances(platform).await;
}

#[test]
fn memory_platform_meets_the_contract() {
    smol::block_on(check(&MemoryPlatform::default()));
}

#[test]
fn http_platform_meets_the_contract() {
    smol::block_on(async {
        let server = PlatformStandIn::start(PlatformSettings::default())
            .await
            .unwrap();
        let platform = HttpPlatform::new(server.address(), HttpSettings::default(), TIMEOUT);
        check(&platform).await;
    });
}
