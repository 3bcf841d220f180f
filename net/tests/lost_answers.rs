//! A write whose answer is lost is resolved by reading the row back.

use std::net::SocketAddr;

use almondhead_net::Bytes;
use almondhead_net::CasResult;
use almondhead_net::InsertResult;
use almondhead_net::InstanceList;
use almondhead_net::ListedInstance;
use almondhead_net::MemoryPlatform;
use almondhead_net::NewRow;
use almondhead_net::Platform;
use almondhead_net::PlatformError;
use almondhead_net::PlatformFuture;
use almondhead_net::PlatformOperation;
use almondhead_net::Row;
use almondhead_net::compare_and_set_resolved;
use almondhead_net::insert_resolved;

/// The true outcome of a write whose answer is lost.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// The write took effect.
    Applied,
    /// Another writer's value was written instead.
    Overtaken,
    /// The write has not taken effect yet.
    Pending,
}

/// A platform that loses the answer to each write.
struct LossyPlatform {
    memory: MemoryPlatform,
    fate: Fate,
}

impl LossyPlatform {
    async fn write(&self, key: &str, expected: Option<u64>, ours: Bytes) {
        let value = match self.fate {
            Fate::Applied => ours,
            Fate::Overtaken => Bytes::from("theirs"),
            Fate::Pending => return,
        };
        let written = self.memory.compare_and_set("t", key, expected, value).await;
        assert!(matches!(written, Ok(CasResult::Written { .. })));
    }
}

fn lost_answer<T>(operation: PlatformOperation) -> Result<T, PlatformError> {
    Err(PlatformError::BadAnswer {
        operation,
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        status: 500,
    })
}

impl Platform for LossyPlatform {
    fn read<'a>(&'a self, table: &'a str, key: &'a str) -> PlatformFuture<'a, Option<Row>> {
        self.memory.read(table, key)
    }

    fn insert_if_absent<'a>(
        &'a self,
        _table: &'a str,
        rows: Vec<NewRow>,
    ) -> PlatformFuture<'a, Vec<InsertResult>> {
        Box::pin(async {
            for row in rows {
                self.write(&row.key, None, row.value).await;
            }
            lost_answer(PlatformOperation::Insert)
        })
    }

    fn compare_and_set<'a>(
        &'a self,
        _table: &'a str,
        key: &'a str,
        expected: Option<u64>,
        value: Bytes,
    ) -> PlatformFuture<'a, CasResult> {
        Box::pin(async move {
            self.write(key, expected, value).await;
            lost_answer(PlatformOperation::CompareAndSet)
        })
    }

    fn put_object<'a>(&'a self, name: &'a str, body: Bytes) -> PlatformFuture<'a, ()> {
        self.memory.put_object(name, body)
    }

    fn get_object<'a>(&'a self, name: &'a str) -> PlatformFuture<'a, Option<Bytes>> {
        self.memory.get_object(name)
    }

    fn list_instances(&self) -> PlatformFuture<'_, InstanceList> {
        self.memory.list_instances()
    }

    fn announce(&self, instance: ListedInstance) -> PlatformFuture<'_, ()> {
        self.memory.announce(instance)
    }
}

fn theirs(revision: u64) -> Row {
    let value = Bytes::from("theirs");
    Row { revision, value }
}

fn lossy_platform(fate: Fate) -> LossyPlatform {
    let memory = MemoryPlatform::default();
    LossyPlatform { memory, fate }
}

#[test]
fn insert_without_answer_is_read_back() {
    let cases = [
        (Fate::Applied, Some(InsertResult::Inserted)),
        (Fate::Overtaken, Some(InsertResult::Present(theirs(1)))),
        (Fate::Pending, None),
    ];
    for (fate, expected) in cases {
        let platform = lossy_platform(fate);
        let row = NewRow {
            key: "key".to_owned(),
            value: Bytes::from("ours"),
        };
        let outcome = smol::block_on(insert_resolved(&platform, "t", vec![row]));
        match (outcome, expected) {
            (Ok(results), Some(expected)) => assert_eq!(results, [expected], "{fate:?}"),
            (Err(error), None) => assert!(error.may_have_applied()),
            (outcome, _) => panic!("{fate:?}: {outcome:?}"),
        }
    }
}

#[test]
fn compare_and_set_without_answer_is_read_back() {
    let cases = [
        (Fate::Applied, Some(CasResult::Written { revision: 2 })),
        (Fate::Overtaken, Some(CasResult::Conflict(Some(theirs(2))))),
        (Fate::Pending, None),
    ];
    for (fate, expected) in cases {
        let platform = lossy_platform(fate);
        let outcome = smol::block_on(async {
            let first = platform
                .memory
                .compare_and_set("t", "key", None, "first".into());
            first.await.unwrap();
            compare_and_set_resolved(&platform, "t", "key", Some(1), "ours".into()).await
        });
        match (outcome, expected) {
            (Ok(result), Some(expected)) => assert_eq!(result, expected, "{fate:?}"),
            (Err(error), None) => assert!(error.may_have_applied()),
            (outcome, _) => panic!("{fate:?}: {outcome:?}"),
        }
    }
}
