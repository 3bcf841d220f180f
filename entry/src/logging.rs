//! Logs as JSON lines on the standard error stream.

use tracing_subscriber::filter::EnvFilter;

/// Starts logging by `filter`, whose syntax the settings have checked.
pub(crate) fn start(filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_writer(std::io::stderr)
        .with_env_filter(filter)
        .try_init();
    if let Err(error) = started {
        eprintln!("start logging: {error}");
    }
}
