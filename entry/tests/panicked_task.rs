//! Tasks of a process that panic.

use almondhead_entry::task_supervisor::TaskSupervisor;
use futures_lite::future::poll_once;

/// Guards against a process that goes on to answer and to hold its row after its dispatcher has
/// panicked: review/1 and review/5.
#[test]
fn panic_of_a_task_is_reported() {
    smol::block_on(async {
        let (supervisor, failure) = TaskSupervisor::new();
        supervisor.clone().watch(async {}).await;
        assert_eq!(poll_once(failure.wait()).await, None);
        supervisor
            .clone()
            .watch(async { panic!("first {}", 1) })
            .await;
        supervisor.watch(async { panic!("second") }).await;
        assert_eq!(failure.wait().await, "first 1");
    });
}
