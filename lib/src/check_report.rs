//! The collection of the problems that one check finds.

use crate::check::Problem;
use crate::document_limits::MAX_PROBLEMS;

/// The maximum number of characters of a document's text that a reason quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// The problems found so far, and the line starts of the text that turn offsets into lines.
pub(crate) struct Report {
    line_starts: Vec<usize>,
    problems: Vec<LocatedProblem>,
    omitted_count: usize,
}

/// A problem and the byte offset of its value, by which problems are sorted.
struct LocatedProblem {
    offset: usize,
    problem: Problem,
}

impl Report {
    /// Creates an empty report on a text.
    pub(crate) fn new(text: &str) -> Self {
        let bytes = text.bytes().enumerate();
        let line_starts = bytes
            .filter(|(_, byte)| *byte == b'\n')
            .map(|(index, _)| index + 1)
            .collect();
        Report {
            line_starts,
            problems: Vec::new(),
            omitted_count: 0,
        }
    }

    /// Adds a problem with the value that starts at byte `offset`; only counts it above the limit.
    pub(crate) fn add(&mut self, offset: usize, path: String, reason: String) {
        if self.problems.len() >= MAX_PROBLEMS {
            self.omitted_count += 1;
            return;
        }
        let line = self.line_of(offset);
        let problem = Problem { path, line, reason };
        self.problems.push(LocatedProblem { offset, problem });
    }

    /// The line that contains a byte offset, counted from one.
    pub(crate) fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset) + 1
    }

    /// Whether no problem has been added.
    pub(crate) fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// The problems in the order of the text, then the number of problems above the limit, if any.
    pub(crate) fn into_problems(mut self) -> Vec<Problem> {
        self.problems.sort_by_key(|located| located.offset);
        let mut problems: Vec<Problem> = self
            .problems
            .into_iter()
            .map(|located| located.problem)
            .collect();
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

/// The text in quotes, cut after [`MAX_QUOTED_CHARS`] characters.
pub(crate) fn quoted(text: &str) -> String {
    if text.chars().count() <= MAX_QUOTED_CHARS {
        return format!("{text:?}");
    }
    let start: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    format!("{start:?}...")
}
