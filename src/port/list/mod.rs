//! The instance list: a lagging list of live and leaving instances.

pub mod client;
pub mod lagging;
