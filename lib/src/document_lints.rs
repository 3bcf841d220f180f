//! Warnings about a valid document: entries without effect and limits that contradict each other.

use crate::check::Problem;
use crate::check::parse_value;
use crate::check_cursor::Cursor;
use crate::document::Document;
use crate::lint_leaving::lint_leaving;
use crate::lint_limits::lint_limits;
use crate::lint_report::LintReport;
use crate::lint_unmatched::lint_unmatched;

/// Returns the warnings about a document in the order of its text.
///
/// `document` must be what [`check_document`](crate::check::check_document) returned for `text`;
/// `now_unix_ms` is the time against which times of leaving are compared. A document with warnings
/// is valid and may be submitted. At most
/// [`MAX_PROBLEMS`](crate::document_limits::MAX_PROBLEMS) are listed, followed by one that counts
/// the rest.
pub fn lint_document(text: &str, document: &Document, now_unix_ms: u64) -> Vec<Problem> {
    let Some(tree) = parse_value(text) else {
        return Vec::new();
    };
    let mut report = LintReport::new(text, Cursor::root(&tree));
    lint_unmatched(document, &mut report);
    lint_leaving(document, now_unix_ms, &mut report);
    lint_limits(document, &mut report);
    report.into_warnings()
}
