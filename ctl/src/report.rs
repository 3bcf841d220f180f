//! Output of command results as text or as JSON.

use std::fmt::Display;
use std::io;
use std::io::Write;

use almondhead_macros::key;
use clap::ValueEnum;
use clap::builder::PossibleValue;
use serde::Serialize;

use crate::error::CtlError;

/// The output format of results.
#[key]
pub(crate) enum Format {
    /// Human-readable lines.
    Human,
    /// One JSON value.
    Json,
}

impl ValueEnum for Format {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Human, Self::Json]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(match self {
            Self::Human => PossibleValue::new("human").help("Lines for people"),
            Self::Json => PossibleValue::new("json").help("One JSON value"),
        })
    }
}

/// Writes a result to standard output in the given format.
pub(crate) fn write_report<R: Display + Serialize>(
    format: Format,
    report: &R,
) -> Result<(), CtlError> {
    match format {
        Format::Human => write_text(&report.to_string()),
        Format::Json => {
            let json = serde_json::to_string_pretty(report);
            let json = json.expect("reports have text keys only");
            write_text(&format!("{json}\n"))
        }
    }
}

/// Writes a text to standard output and flushes it.
pub(crate) fn write_text(text: &str) -> Result<(), CtlError> {
    let mut stdout = io::stdout().lock();
    let written = stdout.write_all(text.as_bytes());
    let flushed = written.and_then(|()| stdout.flush());
    flushed.map_err(|source| CtlError::WriteResult { source })
}
