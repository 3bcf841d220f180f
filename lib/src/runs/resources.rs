//! Amounts of processor, memory and accelerators: what a task demands, and what an upstream has.

use std::ops::AddAssign;
use std::ops::SubAssign;

use almondhead_macros::key;

/// An amount of processor, memory and accelerators.
#[key]
#[derive(Default)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_millicores: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Whether this amount fits into `other` in each part.
    pub fn fits(self, other: Resources) -> bool {
        self.cpu_millicores <= other.cpu_millicores
            && self.memory_mb <= other.memory_mb
            && self.accelerators <= other.accelerators
    }

    /// What is left of this without `used`, zero in each part that `used` exceeds.
    #[must_use]
    pub fn minus(self, used: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores.saturating_sub(used.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }

    /// The larger of both in each part.
    #[must_use]
    pub fn largest(self, other: Resources) -> Resources {
        Resources {
            cpu_millicores: self.cpu_millicores.max(other.cpu_millicores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpu_millicores = self.cpu_millicores.saturating_add(other.cpu_millicores);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = self.minus(other);
    }
}
