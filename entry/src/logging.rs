//! Logs as JSON lines on the standard output stream, written beside the process's work.

use std::sync::OnceLock;

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::filter::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload;
use tracing_subscriber::reload::Handle;
use tracing_subscriber::util::SubscriberInitExt;

/// The most lines that wait for the stream; further ones are dropped rather than waited for.
const MAX_WAITING_LINES: usize = 4_096;

type FilterHandle = Handle<EnvFilter, tracing_subscriber::Registry>;

static FILTER: OnceLock<FilterHandle> = OnceLock::new();

/// Starts logging by `filter`, whose syntax the settings have checked.
///
/// Lines that wait are written when the guard is dropped.
pub(crate) fn start(filter: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_WAITING_LINES)
        .finish(std::io::stdout());
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
            // Set once: logging starts once a process.
            FILTER.set(handle).ok();
        }
        Err(error) => eprintln!("start logging: {error}"),
    }
    guard
}

/// Changes which lines are written.
pub(crate) fn set_filter(filter: &str) {
    if let Some(handle) = FILTER.get()
        && let Err(error) = handle.reload(parse(filter))
    {
        tracing::warn!(%error, "filter of the logs not changed");
    }
}

fn parse(filter: &str) -> EnvFilter {
    EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"))
}
