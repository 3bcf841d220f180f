//! Logs as JSON lines on standard output, written by a background thread.

use std::sync::OnceLock;

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::filter::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload;
use tracing_subscriber::reload::Handle;
use tracing_subscriber::util::SubscriberInitExt;

use crate::batched_output::BatchedOutput;

/// Maximum number of lines that wait to be written; further ones are dropped, so that logging never
/// blocks.
const MAX_BUFFERED_LINES: usize = 4_096;

type FilterHandle = Handle<EnvFilter, tracing_subscriber::Registry>;

/// The handle by which the filter is changed; set once logging has started.
static FILTER: OnceLock<FilterHandle> = OnceLock::new();

/// Starts logging with `filter`, whose syntax was checked with the settings.
///
/// Waiting lines are written when the returned guard is dropped.
pub(crate) fn start(filter: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(BatchedOutput::new(std::io::stdout()));
    let (filter, handle) = reload::Layer::new(parse(filter));
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer);
    let started = tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init();
    match started {
        Ok(()) => {
            // Fails only when it is already set; logging starts once per process.
            FILTER.set(handle).ok();
        }
        Err(error) => eprintln!("start logging: {error}"),
    }
    guard
}

/// Replaces the filter that selects the lines to write.
pub(crate) fn set_filter(filter: &str) {
    if let Some(handle) = FILTER.get()
        && let Err(error) = handle.reload(parse(filter))
    {
        tracing::warn!(%error, "log filter not changed");
    }
}

fn parse(filter: &str) -> EnvFilter {
    EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"))
}
