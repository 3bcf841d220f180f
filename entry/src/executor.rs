//! The executor on which every task of the process runs.

use std::future::Future;

use trillium_smol::async_global_executor;
use trillium_smol::async_global_executor::GlobalExecutorConfig;

/// Starts the executor's threads; must be called once, before anything is spawned.
pub(crate) fn start(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads);
    async_global_executor::init_with_config(config);
}

/// Spawns a future that runs to its end in the background.
pub(crate) fn spawn(future: impl Future<Output = ()> + Send + 'static) {
    async_global_executor::spawn(future).detach();
}

/// A task that is cancelled when it is dropped.
pub(crate) type BackgroundTask = async_global_executor::Task<()>;

/// Spawns a future that runs in the background until its task is dropped.
pub(crate) fn spawn_task(future: impl Future<Output = ()> + Send + 'static) -> BackgroundTask {
    async_global_executor::spawn(future)
}

/// Runs a future and blocks this thread until it ends.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    async_global_executor::block_on(future)
}
