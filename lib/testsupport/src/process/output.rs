//! What a process wrote.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::locking::lock;

/// The lines that a process wrote to its standard output and standard error, as they came.
#[derive(Clone, Default)]
pub(crate) struct Output(Arc<Mutex<Vec<String>>>);

impl Output {
    /// Collects the lines of `stream` until it ends.
    pub(crate) fn collect(&self, stream: impl Read + Send + 'static) {
        let lines = Arc::clone(&self.0);
        thread::spawn(move || {
            for line in BufReader::new(stream).lines().map_while(Result::ok) {
                lock(&lines).push(line);
            }
        });
    }

    /// Returns the first line that contains `text`.
    pub(crate) fn find(&self, text: &str) -> Option<String> {
        let lines = lock(&self.0);
        lines.iter().find(|line| line.contains(text)).cloned()
    }

    pub(crate) fn lines(&self) -> Vec<String> {
        lock(&self.0).clone()
    }
}
