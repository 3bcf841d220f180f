//! The collection of the warnings that one run of the lints finds.

use crate::check::Problem;
use crate::check_cursor::Cursor;
use crate::check_report::Report;

/// The warnings found so far, and the syntax tree that turns paths into positions.
pub(crate) struct LintReport<'t> {
    root: Cursor<'t>,
    report: Report,
}

impl<'t> LintReport<'t> {
    /// Creates an empty report on a text whose syntax tree has this root.
    pub(crate) fn new(text: &str, root: Cursor<'t>) -> Self {
        LintReport {
            root,
            report: Report::new(text),
        }
    }

    /// Adds a warning about the value at a JSON pointer.
    pub(crate) fn warn(&mut self, path: String, reason: String) {
        let value = self.root.at(&path);
        let offset = value.map_or(0, |cursor| cursor.offset());
        self.report.add(offset, path, reason);
    }

    /// Returns the warnings in the order of the text.
    pub(crate) fn into_warnings(self) -> Vec<Problem> {
        self.report.into_problems()
    }
}
