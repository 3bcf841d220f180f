//! What the process may use of its machine.

use almondhead_macros::value;
use rustix::process::Resource;
use rustix::process::getrlimit;
use rustix::system::sysinfo;

/// The memory and the descriptors of the machine, of which the process may use all.
#[value]
#[derive(Copy)]
pub struct Machine {
    /// The memory in bytes.
    pub memory_bytes: u64,
    /// The number of descriptors that may be open at a time.
    pub descriptors: u64,
}

impl Machine {
    /// Returns the memory of the system and the limits of the process, whichever are lower.
    pub fn detect() -> Self {
        let system = sysinfo();
        let total_bytes = system.totalram.saturating_mul(u64::from(system.mem_unit));
        let limit = |resource| getrlimit(resource).current.unwrap_or(u64::MAX);
        Machine {
            memory_bytes: total_bytes
                .min(limit(Resource::Data))
                .min(limit(Resource::As)),
            descriptors: limit(Resource::Nofile),
        }
    }
}
