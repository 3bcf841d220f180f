//! The platform client during outages, lost answers and races.

use std::time::Duration;

use almondhead_net::Bytes;
use almondhead_net::CasResult;
use almondhead_net::HttpPlatform;
use almondhead_net::HttpSettings;
use almondhead_net::InsertResult;
use almondhead_net::NewRow;
use almondhead_net::Platform;
use almondhead_net::PlatformError;
use almondhead_net::Row;
use almondhead_net::compare_and_set_resolved;
use almondhead_net::insert_resolved;
use almondhead_testsupport::Outage;
use almondhead_testsupport::PlatformFaults;
use almondhead_testsupport::PlatformSettings;
use almondhead_testsupport::PlatformStandIn;

const TIMEOUT: Duration = Duration::from_millis(500);

struct Site {
    server: PlatformStandIn,
    platform: HttpPlatform,
}

impl Site {
    async fn start(faults: PlatformFaults) -> Self {
        let server = PlatformStandIn::start(PlatformSettings::default())
            .await
            .unwrap();
        let platform = HttpPlatform::new(server.address(), HttpSettings::default(), TIMEOUT);
        server.set_faults(faults);
        Self { server, platform }
    }

    async fn insert(&self, value: &'static str) -> Result<Vec<InsertResult>, PlatformError> {
        insert_resolved(&self.platform, "keys", vec![row(value)]).await
    }

    async fn set(
        &self,
        expected: Option<u64>,
        value: &'static str,
    ) -> Result<CasResult, PlatformError> {
        let value = Bytes::from(value);
        compare_and_set_resolved(&self.platform, "keys", "key", expected, value).await
    }
}

fn row(value: &'static str) -> NewRow {
    NewRow {
        key: "key".to_owned(),
        value: Bytes::from(value),
    }
}

fn losing_answers() -> PlatformFaults {
    PlatformFaults {
        apply_then_lose: true,
        ..PlatformFaults::default()
    }
}

fn with_outage(outage: Outage) -> PlatformFaults {
    PlatformFaults {
        outage,
        ..PlatformFaults::default()
    }
}

#[test]
fn lost_insert_is_resolved() {
    smol::block_on(async {
        let site = Site::start(losing_answers()).await;
        let raw = site
            .platform
            .insert_if_absent("other", vec![row("x")])
            .await;
        assert!(raw.unwrap_err().may_have_applied());
        assert_eq!(site.insert("ours").await.unwrap(), [InsertResult::Inserted]);
        let theirs = site.insert("theirs").await.unwrap();
        let stored = Row {
            revision: 1,
            value: Bytes::from("ours"),
        };
        assert_eq!(theirs, [InsertResult::Present(stored)]);
        assert_eq!(site.server.counters().lost_answers, 3);
    });
}

#[test]
fn lost_compare_and_set_is_resolved() {
    smol::block_on(async {
        let site = Site::start(losing_answers()).await;
        let written = site.set(None, "one").await.unwrap();
        assert_eq!(written, CasResult::Written { revision: 1 });
        let written = site.set(Some(1), "two").await.unwrap();
        assert_eq!(written, CasResult::Written { revision: 2 });
        let stored = Row {
            revision: 2,
            value: Bytes::from("two"),
        };
        let conflict = site.set(Some(1), "three").await.unwrap();
        assert_eq!(conflict, CasResult::Conflict(Some(stored)));
        assert_eq!(site.server.counters().lost_answers, 2);
    });
}

#[test]
fn refusing_outage_applies_nothing() {
    smol::block_on(async {
        let site = Site::start(with_outage(Outage::Refusing)).await;
        let error = site.insert("ours").await.unwrap_err();
        assert!(matches!(error, PlatformError::OutOfService { .. }));
        assert!(!error.may_have_applied());
        assert_eq!(site.server.counters().refused, 1);
        site.server.set_faults(PlatformFaults::default());
        assert_eq!(site.insert("ours").await.unwrap(), [InsertResult::Inserted]);
    });
}

#[test]
fn silent_outage_leaves_a_write_unresolved() {
    smol::block_on(async {
        let site = Site::start(with_outage(Outage::Silent)).await;
        let error = site.set(None, "ours").await.unwrap_err();
        assert!(error.may_have_applied(), "{error}");
        assert!(site.platform.list_instances().await.is_err());
        assert_eq!(site.server.counters().unanswered, 3);
        site.server.set_faults(PlatformFaults::default());
        let written = site.set(None, "ours").await.unwrap();
        assert_eq!(written, CasResult::Written { revision: 1 });
    });
}

#[test]
fn unreachable_platform_applies_nothing() {
    smol::block_on(async {
        let unused = almondhead_testsupport::free_address().unwrap();
        let platform = HttpPlatform::new(unused, HttpSettings::default(), TIMEOUT);
        let error = platform
            .insert_if_absent("keys", vec![row("ours")])
            .await
            .unwrap_err();
        assert!(!error.may_have_applied());
        assert!(error.to_string().contains(&unused.to_string()));
    });
}

#[test]
fn slow_answer_within_the_timeout_is_accepted() {
    smol::block_on(async {
        let site = Site::start(PlatformFaults {
            slow_ms: 50,
            ..PlatformFaults::default()
        })
        .await;
        assert_eq!(site.insert("ours").await.unwrap(), [InsertResult::Inserted]);
        assert_eq!(site.server.counters().slowed, 1);
    });
}

#[test]
fn racing_writers_have_one_winner() {
    smol::block_on(async {
        let site = Site::start(PlatformFaults::default()).await;
        let (first, second) =
            smol::future::zip(site.set(None, "first"), site.set(None, "second")).await;
        let results = [first.unwrap(), second.unwrap()];
        let won = |result: &&CasResult| matches!(result, CasResult::Written { revision: 1 });
        assert_eq!(results.iter().filter(won).count(), 1);
        assert_eq!(site.server.counters().rows_written, 1);
    });
}

#[test]
fn lagging_list_shows_changes_late() {
    smol::block_on(async {
        let site = Site::start(PlatformFaults {
            lag_ms: 150,
            ..PlatformFaults::default()
        })
        .await;
        let instance = serde_json::from_str(
            r#"{"name":"w1","role":"upstream","data_centre":"ate","state":"live"}"#,
        );
        site.server.announce(instance.unwrap()).await;
        let list = site.platform.list_instances().await.unwrap();
        assert_eq!(list.instances.len(), 0);
        smol::Timer::after(Duration::from_millis(200)).await;
        let list = site.platform.list_instances().await.unwrap();
        assert_eq!(list.instances.len(), 1);
        assert_eq!(site.server.counters().lists, 2);
    });
}
