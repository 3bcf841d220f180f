//! Submissions to the document store: accepted, beaten by another, and with the platform's answers
//! lost.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use almondhead_lib::revision::Head;
use almondhead_net::Bytes;
use almondhead_net::CasResult;
use almondhead_net::DocumentStore;
use almondhead_net::DocumentStoreError;
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
use almondhead_net::Submission;
use almondhead_net::SubmitOutcome;
use smol::block_on;
use smol::future::yield_now;
use smol::future::zip;

/// A platform whose compare-and-sets take effect while some of their answers are lost.
#[derive(Default)]
struct FaultyPlatform {
    memory: Arc<MemoryPlatform>,
    /// Number of compare-and-sets whose answers are still to be lost.
    lost_answers: AtomicU32,
    /// Number of reads that are still to fail once an answer was lost.
    failing_reads: AtomicU32,
    /// Number of answers lost so far.
    lost_count: AtomicU32,
}

fn bad_answer(operation: PlatformOperation) -> PlatformError {
    PlatformError::BadAnswer {
        operation,
        peer: ([127, 0, 0, 1], 1).into(),
        status: 500,
    }
}

/// Decrements a counter; returns false if it is zero already.
fn decrement(counter: &AtomicU32) -> bool {
    let decremented = counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
        left.checked_sub(1)
    });
    decremented.is_ok()
}

impl Platform for FaultyPlatform {
    fn read<'a>(&'a self, table: &'a str, key: &'a str) -> PlatformFuture<'a, Option<Row>> {
        if self.lost_count.load(Ordering::SeqCst) > 0 && decrement(&self.failing_reads) {
            return Box::pin(async { Err(bad_answer(PlatformOperation::Read)) });
        }
        self.memory.read(table, key)
    }

    fn insert_if_absent<'a>(
        &'a self,
        table: &'a str,
        rows: Vec<NewRow>,
    ) -> PlatformFuture<'a, Vec<InsertResult>> {
        self.memory.insert_if_absent(table, rows)
    }

    fn compare_and_set<'a>(
        &'a self,
        table: &'a str,
        key: &'a str,
        expected: Option<u64>,
        value: Bytes,
    ) -> PlatformFuture<'a, CasResult> {
        Box::pin(async move {
            let result = self
                .memory
                .compare_and_set(table, key, expected, value)
                .await;
            if decrement(&self.lost_answers) {
                self.lost_count.fetch_add(1, Ordering::SeqCst);
                return Err(bad_answer(PlatformOperation::CompareAndSet));
            }
            result
        })
    }

    fn put_object<'a>(&'a self, name: &'a str, body: Bytes) -> PlatformFuture<'a, ()> {
        Box::pin(async move {
            yield_now().await;
            self.memory.put_object(name, body).await
        })
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

struct Site {
    platform: Arc<FaultyPlatform>,
    store: DocumentStore,
}

fn site() -> Site {
    let platform = Arc::new(FaultyPlatform::default());
    let store = DocumentStore::new(platform.clone());
    Site { platform, store }
}

fn submission(token: &str, expected_revision: Option<u64>) -> Submission {
    Submission {
        text: format!("text of {token}"),
        expected_revision,
        writer_token: token.to_owned(),
        author: "operator".to_owned(),
        submitted_at_unix_ms: 1,
        note: String::new(),
    }
}

async fn accepted(store: &DocumentStore, token: &str, expected: Option<u64>) -> Head {
    match store.submit(&submission(token, expected)).await {
        Ok(SubmitOutcome::Accepted { head }) => head,
        other => panic!("{token}: {other:?}"),
    }
}

#[test]
fn sequential_submissions_are_accepted() {
    block_on(async {
        let store = site().store;
        assert_eq!(store.head().await.unwrap(), None);
        let first = accepted(&store, "a", Some(0)).await;
        let second = accepted(&store, "b", Some(1)).await;
        let third = accepted(&store, "c", None).await;
        assert_eq!(third.revision, 3);
        assert_eq!(store.load(&second).await.unwrap(), "text of b");
        assert_eq!(store.revision(1).await.unwrap(), Some(first.clone()));
        assert_eq!(store.revision(4).await.unwrap(), None);
        assert_eq!(
            store.history(9).await.unwrap(),
            [third.clone(), second, first]
        );
        assert_eq!(store.history(1).await.unwrap(), [third]);
    });
}

#[test]
fn stale_expected_revision_is_refused() {
    block_on(async {
        let store = site().store;
        accepted(&store, "a", None).await;
        let winner = accepted(&store, "b", Some(1)).await;
        let result = store.submit(&submission("c", Some(1))).await.unwrap();
        let winner = Some(winner);
        assert_eq!(
            result,
            SubmitOutcome::Conflict {
                winner: winner.clone()
            }
        );
        assert_eq!(store.head().await.unwrap(), winner);
    });
}

#[test]
fn one_of_concurrent_submissions_wins() {
    block_on(async {
        let store = site().store;
        accepted(&store, "start", None).await;
        let (one, other) = (submission("b", None), submission("c", None));
        let results = zip(store.submit(&one), store.submit(&other)).await;
        let head = store.head().await.unwrap().expect("there is a head");
        assert_eq!((head.revision, head.writer_token.as_str()), (2, "b"));
        let winner = Some(head.clone());
        assert_eq!(results.0.unwrap(), SubmitOutcome::Accepted { head });
        assert_eq!(results.1.unwrap(), SubmitOutcome::Conflict { winner });
    });
}

#[test]
fn lost_answer_is_resolved_by_reading_back() {
    block_on(async {
        let site = site();
        site.platform.lost_answers.store(1, Ordering::SeqCst);
        let head = accepted(&site.store, "a", None).await;
        assert_eq!(site.platform.lost_count.load(Ordering::SeqCst), 1);
        assert_eq!(site.store.head().await.unwrap(), Some(head));
    });
}

#[test]
fn lost_answer_with_failed_read_is_retried() {
    block_on(async {
        let site = site();
        site.platform.lost_answers.store(1, Ordering::SeqCst);
        site.platform.failing_reads.store(1, Ordering::SeqCst);
        let head = accepted(&site.store, "a", None).await;
        assert_eq!(site.platform.failing_reads.load(Ordering::SeqCst), 0);
        assert_eq!(head.revision, 1);
    });
}

#[test]
fn lost_answer_is_resolved_after_head_was_replaced() {
    block_on(async {
        let site = site();
        let other = DocumentStore::new(site.platform.memory.clone());
        accepted(&other, "a", None).await;
        site.platform.lost_answers.store(1, Ordering::SeqCst);
        site.platform.failing_reads.store(1, Ordering::SeqCst);
        let overtake = async {
            while other.head().await.unwrap().map(|head| head.revision) != Some(2) {
                yield_now().await;
            }
            accepted(&other, "c", Some(2)).await
        };
        let (overtaken, newest) = zip(accepted(&site.store, "b", Some(1)), overtake).await;
        assert_eq!(site.platform.lost_count.load(Ordering::SeqCst), 1);
        assert_eq!(site.platform.failing_reads.load(Ordering::SeqCst), 0);
        assert_eq!(overtaken.revision, 2);
        assert_eq!(other.head().await.unwrap(), Some(newest));
    });
}

#[test]
fn outcome_is_unknown_if_no_answer_arrives() {
    block_on(async {
        let site = site();
        site.platform.lost_answers.store(u32::MAX, Ordering::SeqCst);
        site.platform
            .failing_reads
            .store(u32::MAX, Ordering::SeqCst);
        let result = site.store.submit(&submission("a", None)).await;
        assert!(
            matches!(result, Err(DocumentStoreError::Unknown { .. })),
            "{result:?}"
        );
    });
}
