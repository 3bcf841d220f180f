//! An output that collects what is written to it for a short time.

use std::io;
use std::io::BufWriter;
use std::io::Write;
use std::thread;
use std::time::Duration;

/// The minimum time between two batches. A line that is written on its own costs a wake-up of the
/// writing thread and several system calls.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum size of a batch in bytes; more is written at once.
const BATCH_BYTES: usize = 64 * 1024;

/// An output for a thread that writes lines and flushes once no more are waiting.
///
/// A flush writes the batch and then blocks its thread for [`BATCH_INTERVAL`], so that further
/// lines collect meanwhile.
#[derive(Debug)]
pub(crate) struct BatchedOutput<W: Write>(BufWriter<W>);

impl<W: Write> BatchedOutput<W> {
    pub(crate) fn new(output: W) -> Self {
        BatchedOutput(BufWriter::with_capacity(BATCH_BYTES, output))
    }
}

impl<W: Write> Write for BatchedOutput<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()?;
        thread::sleep(BATCH_INTERVAL);
        Ok(())
    }
}
