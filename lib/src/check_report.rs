//! The collector of problems during one check.

use crate::check::Problem;
use crate::document_limits::MAX_PROBLEMS;

/// The most characters of a document's text that a reason quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// The problems found so far, with what is needed to turn offsets into lines.
pub(crate) struct Report {
    line_starts: Vec<usize>,
    found: Vec<Found>,
    omitted_count: usize,
}

struct Found {
    offset: usize,
    problem: Problem,
}

impl Report {
    /// An empty report on a text.
    pub(crate) fn new(text: &str) -> Self {
        let breaks = text.bytes().enumerate();
        let line_starts = breaks
            .filter(|(_, byte)| *byte == b'\n')
            .map(|(index, _)| index + 1)
            .collect();
        Report {
            line_starts,
            found: Vec::new(),
            omitted_count: 0,
        }
    }

    /// Adds a problem of the value that starts at a byte offset of the text.
    pub(crate) fn add(&mut self, offset: usize, path: String, reason: String) {
        if self.found.len() >= MAX_PROBLEMS {
            self.omitted_count += 1;
            return;
        }
        let line = self.line_of(offset);
        let problem = Problem { path, line, reason };
        self.found.push(Found { offset, problem });
    }

    /// The line of a byte offset, counted from one.
    pub(crate) fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset) + 1
    }

    /// Whether no problem was added.
    pub(crate) fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// The problems in the order of the text.
    pub(crate) fn into_problems(mut self) -> Vec<Problem> {
        self.found.sort_by_key(|found| found.offset);
        let mut problems: Vec<Problem> =
            self.found.into_iter().map(|found| found.problem).collect();
        if self.omitted_count > 0 {
            problems.push(Problem {
                path: String::new(),
                line: 1,
                reason: format!("{} more problems are not listed", self.omitted_count),
            });
        }
        problems
    }
}

/// A text in quotes, shortened when long.
pub(crate) fn quoted(text: &str) -> String {
    if text.chars().count() <= MAX_QUOTED_CHARS {
        return format!("{text:?}");
    }
    let start: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    format!("{start:?}...")
}
