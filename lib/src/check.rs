//! The document checker, which reports all problems at once, each with its path, line and reason.

use std::fmt;

use almondhead_macros::message;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::parse_to_ast;
use jsonc_parser::parse_to_serde_value;

use crate::check_cursor::Cursor;
use crate::check_names::check_names;
use crate::check_report::Report;
use crate::check_shape::check_shape;
use crate::check_values::check_values;
use crate::document::Document;
use crate::document_limits::MAX_DOCUMENT_BYTES;
use crate::document_limits::MAX_SEPARATORS;

/// One problem in a document.
#[message]
#[derive(Eq)]
pub struct Problem {
    /// The JSON pointer of the value, such as `/upstreams/3/slots`; empty for the whole document.
    pub path: String,
    /// The line on which the value starts, counted from one.
    pub line: usize,
    /// What is wrong with the value, and what would be valid.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = match self.path.as_str() {
            "" => "document",
            path => path,
        };
        write!(formatter, "line {}: {path}: {}", self.line, self.reason)
    }
}

/// Parses and checks the text of a document, which is JSON with comments and trailing commas.
///
/// The structure is checked against the JSON Schema of [`crate::schema`]. Names, references and
/// values that depend on each other are checked even if the structure has problems elsewhere.
///
/// # Errors
///
/// All problems in the order of the text; never an empty list. A syntax error stops the parser, so
/// it is reported alone. At most [`MAX_PROBLEMS`](crate::document_limits::MAX_PROBLEMS) are listed,
/// followed by one that counts the rest.
pub fn check_document(text: &str) -> Result<Document, Vec<Problem>> {
    let mut report = Report::new(text);
    let Some(tree) = parse_tree(text, &mut report) else {
        return Err(report.into_problems());
    };
    let root = Cursor::root(&tree);
    check_shape(&root, &mut report);
    check_names(&root, &mut report);
    check_values(&root, &mut report);
    if !report.is_empty() {
        return Err(report.into_problems());
    }
    parse_to_serde_value(text, &strict_options()).map_err(|error| {
        report.add(0, String::new(), error.to_string());
        report.into_problems()
    })
}

fn parse_tree<'t>(text: &'t str, report: &mut Report) -> Option<Value<'t>> {
    if let Err(reason) = check_size(text) {
        report.add(0, String::new(), reason);
        return None;
    }
    match parse_to_ast(text, &CollectOptions::default(), &strict_options()) {
        Ok(parsed) => {
            if parsed.value.is_none() {
                report.add(0, String::new(), "the document is empty".to_owned());
            }
            parsed.value
        }
        Err(error) => {
            let reason = format!("syntax error: {}", error.kind());
            report.add(error.range().start, String::new(), reason);
            None
        }
    }
}

/// Parses a text; returns `None` if it exceeds the size limits, is empty or has a syntax error.
pub(crate) fn parse_value(text: &str) -> Option<Value<'_>> {
    check_size(text).ok()?;
    let parsed = parse_to_ast(text, &CollectOptions::default(), &strict_options());
    parsed.ok()?.value
}

fn check_size(text: &str) -> Result<(), String> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let bytes = text.len();
        return Err(format!(
            "the text has {bytes} bytes, more than the {MAX_DOCUMENT_BYTES} allowed"
        ));
    }
    let separators = text.bytes().filter(|&byte| byte == b',' || byte == b':');
    if separators.count() > MAX_SEPARATORS {
        return Err(format!(
            "the text has more than the {MAX_SEPARATORS} commas and colons allowed"
        ));
    }
    Ok(())
}

/// The parser options for JSON with comments and trailing commas, without any other extension.
pub(crate) fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
