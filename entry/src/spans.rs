//! Tracing spans for each hop of a request, within the caller's W3C trace.

use std::sync::Arc;

use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::trace::Span;
use opentelemetry::trace::SpanContext;
use opentelemetry::trace::SpanId;
use opentelemetry::trace::SpanKind;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::TraceFlags;
use opentelemetry::trace::TraceId;
use opentelemetry::trace::TraceState;
use opentelemetry::trace::Tracer;
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::trace::SdkTracer;
use opentelemetry_sdk::trace::SdkTracerProvider;

use crate::settings::Settings;
use crate::settings::TraceOutput;
use crate::span_export::JsonLinesExporter;
use crate::span_export::SpanExportError;

/// One hop on the path of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Hop {
    /// A caller's request at the entry instance that received it.
    Caller,
    /// A job at its home.
    Home,
    /// A message to another entry instance, until its answer.
    Forward,
    /// One attempt to run a task at an upstream.
    Attempt,
}

/// Starts spans; when the settings disable them, only the trace context is propagated.
#[derive(Clone)]
pub(crate) struct Spans {
    tracer: Option<SdkTracer>,
    provider: Option<SdkTracerProvider>,
    instance: Arc<str>,
}

/// A span that ends when it is dropped.
pub(crate) struct HopSpan {
    span: Option<opentelemetry_sdk::trace::Span>,
    parent: Option<Arc<str>>,
}

impl Spans {
    /// Creates the exporter that the settings select.
    pub(crate) fn new(settings: &Settings) -> Result<Self, SpanExportError> {
        let instance = Arc::from(settings.instance.as_str());
        let exporter = match &settings.trace_output {
            TraceOutput::None => None,
            TraceOutput::Stderr => Some(JsonLinesExporter::to_stderr()),
            TraceOutput::File(file) => Some(JsonLinesExporter::to_file(file)?),
        };
        let provider = exporter.map(|exporter| {
            SdkTracerProvider::builder()
                .with_batch_exporter(exporter)
                .build()
        });
        let tracer = provider
            .as_ref()
            .map(|provider| provider.tracer("almondhead"));
        Ok(Spans {
            tracer,
            provider,
            instance,
        })
    }

    /// Returns whether spans are recorded.
    pub(crate) fn is_recording(&self) -> bool {
        self.tracer.is_some()
    }

    /// Starts the span of a hop as child of the span in `parent`, a `traceparent`.
    pub(crate) fn start(&self, hop: Hop, parent: Option<&str>) -> HopSpan {
        let span = self
            .tracer
            .as_ref()
            .map(|tracer| self.start_recorded(tracer, hop, parent));
        HopSpan {
            span,
            parent: parent.map(Arc::from),
        }
    }

    fn start_recorded(
        &self,
        tracer: &SdkTracer,
        hop: Hop,
        parent: Option<&str>,
    ) -> opentelemetry_sdk::trace::Span {
        let context = match parent.and_then(parse_traceparent) {
            Some(parent) => Context::new().with_remote_span_context(parent),
            None => Context::new(),
        };
        let instance = KeyValue::new("instance", self.instance.to_string());
        tracer
            .span_builder(hop.name())
            .with_kind(hop.kind())
            .with_attributes([instance])
            .start_with_context(tracer, &context)
    }

    /// Writes the buffered spans and stops recording.
    pub(crate) fn flush(&self) {
        if let Some(provider) = &self.provider
            && let Err(error) = provider.shutdown()
        {
            tracing::warn!(%error, "last spans not written");
        }
    }
}

impl HopSpan {
    /// Sets an attribute.
    pub(crate) fn set(&mut self, name: &'static str, value: &str) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(name, value.to_owned()));
        }
    }

    /// Returns the `traceparent` for the next hop: that of this span, or of its parent when spans
    /// are not recorded.
    pub(crate) fn traceparent(&self) -> Option<Arc<str>> {
        match &self.span {
            Some(span) => Some(Arc::from(format_traceparent(span.span_context()))),
            None => self.parent.clone(),
        }
    }
}

impl Hop {
    fn name(self) -> &'static str {
        match self {
            Hop::Caller => "caller",
            Hop::Home => "home",
            Hop::Forward => "forward",
            Hop::Attempt => "attempt",
        }
    }

    fn kind(self) -> SpanKind {
        match self {
            Hop::Caller | Hop::Home => SpanKind::Server,
            Hop::Forward | Hop::Attempt => SpanKind::Client,
        }
    }
}

const TRACE_ID_DIGITS: usize = 32;
const SPAN_ID_DIGITS: usize = 16;

/// Parses a W3C `traceparent`; none when it is malformed.
pub(crate) fn parse_traceparent(text: &str) -> Option<SpanContext> {
    let mut parts = text.split('-');
    let version = parts.next().filter(|part| is_hex(part, 2))?;
    let trace_id = parts.next().filter(|part| is_hex(part, TRACE_ID_DIGITS))?;
    let span_id = parts.next().filter(|part| is_hex(part, SPAN_ID_DIGITS))?;
    let flags = parts.next().filter(|part| is_hex(part, 2))?;
    if version == "ff" || (version == "00" && parts.next().is_some()) {
        return None;
    }
    let context = SpanContext::new(
        TraceId::from_hex(trace_id).ok()?,
        SpanId::from_hex(span_id).ok()?,
        TraceFlags::new(u8::from_str_radix(flags, 16).ok()?),
        true,
        TraceState::default(),
    );
    context.is_valid().then_some(context)
}

fn is_hex(part: &str, digits: usize) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    part.len() == digits && part.bytes().all(is_digit)
}

fn format_traceparent(context: &SpanContext) -> String {
    format!(
        "00-{}-{}-{:02x}",
        context.trace_id(),
        context.span_id(),
        context.trace_flags().to_u8()
    )
}
