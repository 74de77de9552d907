//! The journal: the totally ordered log of all changes to durable control state, and the [`FleetState`] that
//! results from applying ("folding") its entries in order.
//!
//! This module defines the data and its encoding; [`crate::version`] reads and writes it in the store.
//!
//! [`FleetState`]: fleet_state::FleetState

pub mod codec;
pub mod entry;
pub mod fleet_state;
pub mod fold;
pub mod member;
