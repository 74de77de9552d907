//! Newtypes for sizes, counts and rates, so that different units cannot be mixed up.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

macro_rules! amounts {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, FromStr,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        /// The sum, or the largest amount if it exceeds that: some amounts come from other programs.
        impl std::ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl std::ops::AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
                amounts.fold(Self::default(), std::ops::Add::add)
            }
        }

        impl $name {
            /// Wraps a number of this unit.
            pub const fn new(amount: $inner) -> Self {
                Self(amount)
            }

            /// The difference, or zero if `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }

            /// The number without its unit.
            pub const fn get(self) -> $inner {
                self.0
            }
        }
    )*};
}

amounts! {
    /// Memory in mebibytes.
    MemoryMib(u64);
    /// Processor capacity in thousandths of a core.
    MilliCores(u64);
    /// Number of accelerators.
    AcceleratorCount(u32);
    /// Number of tasks or requests that may run concurrently.
    SlotCount(u32);
    /// Number of connections.
    ConnectionCount(u32);
    /// Number of instances.
    InstanceCount(u32);
    /// Share weight of a team while capacity is exhausted; only the ratio between teams matters.
    ShareWeight(u32);
    /// Requests or events per second.
    RatePerSecond(u32);
    /// Size in bytes.
    ByteCount(u64);
}
