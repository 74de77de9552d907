//! Interfaces to the outside systems, and the stand-ins used by tests and the trial.

pub mod backend;
pub mod list;
pub mod store;
pub mod worker;
