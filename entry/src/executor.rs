//! The executor on which every task of the process runs.

use std::future::Future;

use trillium_smol::async_global_executor;
use trillium_smol::async_global_executor::GlobalExecutorConfig;

/// Starts the executor's threads; to be called once, before anything else runs on it.
pub(crate) fn start(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads);
    async_global_executor::init_with_config(config);
}

/// Runs a future to its end beside the caller.
pub(crate) fn spawn(future: impl Future<Output = ()> + Send + 'static) {
    async_global_executor::spawn(future).detach();
}

/// Runs a future on this thread and waits for its end.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> T {
    async_global_executor::block_on(future)
}
