//! Amounts of resources that a task requires or an instance provides.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::model::amount::{AcceleratorCount, MemoryMib, MilliCores};

/// Amounts of processor capacity, memory and accelerators. An absent number of accelerators is read as 0.
#[expect(missing_docs, reason = "the types of the fields name the units")]
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[display("{cores} millicores, {memory} MiB, {accelerators} accelerators")]
pub struct ResourceSet {
    pub cores: MilliCores,
    pub memory: MemoryMib,
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

    /// Replaces the number of accelerators.
    #[must_use]
    pub const fn with_accelerators(mut self, accelerators: AcceleratorCount) -> Self {
        self.accelerators = accelerators;
        self
    }

    /// The amounts in a fixed order, for decisions that are the same for each resource.
    pub fn to_array(self) -> [u64; 3] {
        [
            self.cores.get(),
            self.memory.get(),
            u64::from(self.accelerators.get()),
        ]
    }

    /// The reverse of [`Self::to_array`]; a number of accelerators that exceeds its type becomes the type's maximum.
    pub fn from_array([cores, memory, accelerators]: [u64; 3]) -> Self {
        let accelerators = u32::try_from(accelerators).unwrap_or(u32::MAX);
        Self::new(MilliCores::new(cores), MemoryMib::new(memory))
            .with_accelerators(AcceleratorCount::new(accelerators))
    }

    /// Whether `other` fits into this set in every dimension.
    pub fn covers(&self, other: &Self) -> bool {
        self.cores >= other.cores && self.memory >= other.memory && self.accelerators >= other.accelerators
    }

    /// Whether the amounts fit into `bound` in each dimension that `limit` limits; a limit of 0 stands for none.
    pub fn fits_within(&self, bound: &Self, limit: &Self) -> bool {
        let amounts = self.to_array().into_iter().zip(bound.to_array());
        amounts
            .zip(limit.to_array())
            .all(|((amount, bound), limit)| limit == 0 || amount <= bound)
    }

    /// The sum in each dimension.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cores: self.cores + other.cores,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// The larger amount in each dimension.
    #[must_use]
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The difference in each dimension, zero where `other` is larger.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cores: self.cores.saturating_sub(other.cores),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The amounts for `count` sets; a product that exceeds its type becomes the type's maximum.
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
