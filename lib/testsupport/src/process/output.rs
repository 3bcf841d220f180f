//! The collected output of a process.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::locking::lock;

/// The lines that a process wrote to its standard output and standard error, in order of arrival.
#[derive(Clone, Default)]
pub(crate) struct Output(Arc<Mutex<Lines>>);

#[derive(Default)]
struct Lines {
    lines: Vec<String>,
    open_streams: usize,
}

impl Output {
    /// Collects the lines of `stream` in a thread of its own, until the stream ends.
    pub(crate) fn collect(&self, stream: impl Read + Send + 'static) {
        let output = self.clone();
        lock(&self.0).open_streams += 1;
        thread::spawn(move || {
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                lock(&output.0).lines.push(line);
            }
            lock(&output.0).open_streams -= 1;
        });
    }

    /// Returns whether all streams have ended, so that no more lines are to come.
    pub(crate) fn is_complete(&self) -> bool {
        lock(&self.0).open_streams == 0
    }

    /// Returns the first line that contains `text`.
    pub(crate) fn find(&self, text: &str) -> Option<String> {
        let output = lock(&self.0);
        let mut lines = output.lines.iter();
        lines.find(|line| line.contains(text)).cloned()
    }

    pub(crate) fn lines(&self) -> Vec<String> {
        lock(&self.0).lines.clone()
    }
}
