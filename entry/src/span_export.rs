//! Exports ended spans as JSON lines.

use std::fmt;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use derive_more::Display;
use derive_more::Error;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::SpanData;
use opentelemetry_sdk::trace::SpanExporter;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Exports each span as one JSON object on one line.
pub(crate) struct JsonLinesExporter {
    output: Mutex<Box<dyn Write + Send>>,
}

/// Why the file for spans cannot be opened.
#[derive(Debug, Display, Error)]
#[display("open trace output {}: {source}", file.display())]
pub struct SpanExportError {
    file: PathBuf,
    source: io::Error,
}

/// The JSON object of one span.
#[derive(Serialize)]
struct SpanLine {
    trace_id: String,
    span_id: String,
    parent_span_id: String,
    name: String,
    started_at_unix_us: u64,
    ended_at_unix_us: u64,
    attributes: Map<String, Value>,
}

impl JsonLinesExporter {
    pub(crate) fn to_stderr() -> Self {
        JsonLinesExporter::new(Box::new(io::stderr()))
    }

    pub(crate) fn to_file(file: &Path) -> Result<Self, SpanExportError> {
        let opened = OpenOptions::new().create(true).append(true).open(file);
        let output = opened.map_err(|source| SpanExportError {
            file: file.to_owned(),
            source,
        })?;
        Ok(JsonLinesExporter::new(Box::new(output)))
    }

    fn new(output: Box<dyn Write + Send>) -> Self {
        JsonLinesExporter {
            output: Mutex::new(output),
        }
    }

    fn write(&self, batch: Vec<SpanData>) -> io::Result<()> {
        let mut text = Vec::new();
        for span in batch {
            serde_json::to_writer(&mut text, &SpanLine::from(span))?;
            text.push(b'\n');
        }
        let mut output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        output.write_all(&text)?;
        output.flush()
    }
}

impl fmt::Debug for JsonLinesExporter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("JsonLinesExporter").finish_non_exhaustive()
    }
}

impl SpanExporter for JsonLinesExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.write(batch)
            .map_err(|error| OTelSdkError::InternalFailure(error.to_string()))
    }
}

impl From<SpanData> for SpanLine {
    fn from(span: SpanData) -> Self {
        let attributes = span
            .attributes
            .into_iter()
            .map(|pair| (pair.key.to_string(), pair.value.to_string().into()))
            .collect();
        SpanLine {
            trace_id: span.span_context.trace_id().to_string(),
            span_id: span.span_context.span_id().to_string(),
            parent_span_id: span.parent_span_id.to_string(),
            name: span.name.into_owned(),
            started_at_unix_us: unix_us(span.start_time),
            ended_at_unix_us: unix_us(span.end_time),
            attributes,
        }
    }
}

fn unix_us(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
