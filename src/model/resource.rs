//! Resources that a task needs or an instance has.

use serde::{Deserialize, Serialize};

use crate::model::amount::{AcceleratorCount, MemoryMib, MilliCores};

/// Processor, memory and accelerator amounts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ResourceSet {
    /// Processor capacity in thousandths of a core.
    pub cores: MilliCores,
    /// Memory in mebibytes.
    pub memory: MemoryMib,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: AcceleratorCount,
}

impl ResourceSet {
    /// Creates a set without accelerators.
    pub const fn new(cores: MilliCores, memory: MemoryMib) -> Self {
        Self {
            cores,
            memory,
            accelerators: AcceleratorCount::new(0),
        }
    }

    /// Sets the number of accelerators.
    #[must_use]
    pub const fn with_accelerators(mut self, accelerators: AcceleratorCount) -> Self {
        self.accelerators = accelerators;
        self
    }

    /// Whether `other` fits into this set.
    pub fn covers(&self, other: &Self) -> bool {
        self.cores >= other.cores && self.memory >= other.memory && self.accelerators >= other.accelerators
    }

    /// The sum of both sets.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cores: self.cores + other.cores,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// The difference of both sets, zero where `other` is larger.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.saturating_sub(other.cores),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Several times this set.
    #[must_use]
    pub fn saturating_mul(&self, count: u64) -> Self {
        let accelerators = u64::from(self.accelerators.get()).saturating_mul(count);
        Self {
            cores: MilliCores::new(self.cores.get().saturating_mul(count)),
            memory: MemoryMib::new(self.memory.get().saturating_mul(count)),
            accelerators: AcceleratorCount::new(u32::try_from(accelerators).unwrap_or(u32::MAX)),
        }
    }
}
