//! Sizes of pools.
