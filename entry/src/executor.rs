//! The executor on which every task of the process runs.

use std::future::Future;
use std::sync::OnceLock;

use trillium_smol::async_global_executor;
use trillium_smol::async_global_executor::GlobalExecutorConfig;

use crate::task_supervisor::TaskFailure;
use crate::task_supervisor::TaskSupervisor;

/// Watches the tasks of the process; set when the executor is started.
static SUPERVISOR: OnceLock<TaskSupervisor> = OnceLock::new();

/// Starts the executor's threads; must be called once, before anything is spawned.
///
/// Returns what receives the panic of a task.
pub(crate) fn start(threads: usize) -> TaskFailure {
    let (supervisor, failure) = TaskSupervisor::new();
    // Fails only when the executor is started twice, which the first supervisor survives.
    SUPERVISOR.set(supervisor).ok();
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads);
    async_global_executor::init_with_config(config);
    failure
}

/// Spawns a future that runs to its end in the background.
pub(crate) fn spawn(future: impl Future<Output = ()> + Send + 'static) {
    spawn_task(future).detach();
}

/// A task that is cancelled when it is dropped.
pub(crate) type BackgroundTask = async_global_executor::Task<()>;

/// Spawns a future that runs in the background until its task is dropped.
pub(crate) fn spawn_task(future: impl Future<Output = ()> + Send + 'static) -> BackgroundTask {
    match SUPERVISOR.get() {
        Some(supervisor) => async_global_executor::spawn(supervisor.clone().watch(future)),
        None => async_global_executor::spawn(future),
    }
}

/// Runs a future and blocks this thread until it ends.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    async_global_executor::block_on(future)
}
