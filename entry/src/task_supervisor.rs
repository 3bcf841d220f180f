//! Reports tasks that panic, so that the process can end.

use std::any::Any;
use std::panic::AssertUnwindSafe;

use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::future::FutureExt;

/// Watches the tasks of a process; clones report to the same [`TaskFailure`].
///
/// The executor catches panics, and would go on without the task while others wait for what it no
/// longer does.
#[derive(Clone, Debug)]
pub struct TaskSupervisor {
    failed: Sender<String>,
}

/// Receives the first panic of a watched task.
#[derive(Debug)]
pub struct TaskFailure {
    failed: Receiver<String>,
}

impl TaskSupervisor {
    /// Creates a supervisor and the receiver of its report.
    pub fn new() -> (Self, TaskFailure) {
        let (sender, failed) = async_channel::bounded(1);
        (TaskSupervisor { failed: sender }, TaskFailure { failed })
    }

    /// Runs a task to its end, and reports it if it panics.
    pub async fn watch(self, task: impl Future<Output = ()>) {
        let Err(panic) = AssertUnwindSafe(task).catch_unwind().await else {
            return;
        };
        let message = message_of(&*panic);
        tracing::error!(panic = message, "task panicked");
        // Fails when another task has panicked before.
        self.failed.try_send(message.to_owned()).ok();
    }
}

impl TaskFailure {
    /// Waits for the first panic and returns its message; never returns once no supervisor is left.
    pub async fn wait(&self) -> String {
        match self.failed.recv().await {
            Ok(message) => message,
            Err(_) => std::future::pending().await,
        }
    }
}

fn message_of(panic: &(dyn Any + Send)) -> &str {
    let literal = panic.downcast_ref::<&str>().copied();
    let formatted = || panic.downcast_ref::<String>().map(String::as_str);
    literal.or_else(formatted).unwrap_or("no message")
}
