//! Processor time and memory of the entry processes, read from `/proc`.

use std::fs;
use std::io;

use almondhead_macros::message;

/// Clock ticks per second, the unit of processor time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The page size in kibibytes.
const PAGE_KIB: u64 = 4;

/// The resource usage of the entry processes.
#[message]
#[derive(Copy, Default)]
pub(crate) struct ProcessCosts {
    /// The processor time in seconds since the start of each process, summed over the processes.
    pub(crate) processor_s: f64,
    /// The largest resident memory of a process in kibibytes.
    pub(crate) largest_resident_kib: u64,
}

impl ProcessCosts {
    /// Adds the usage of the process with this id.
    pub(crate) fn add(&mut self, process: u32) -> io::Result<()> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat"))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let number = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
        let ticks = number(11).unwrap_or(0.0) + number(12).unwrap_or(0.0);
        self.processor_s += ticks / TICKS_PER_SECOND;
        let statm = fs::read_to_string(format!("/proc/{process}/statm"))?;
        let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<u64>().ok());
        let resident_kib = pages.unwrap_or(0) * PAGE_KIB;
        self.largest_resident_kib = self.largest_resident_kib.max(resident_kib);
        Ok(())
    }
}
