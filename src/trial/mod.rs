//! The self-contained trial: a fleet with stand-ins in one process.

pub mod caller;
pub mod command;
pub mod daemons;
pub mod ledger;
pub mod observer;
pub mod run;
pub mod sample;
pub mod setup;
pub mod stand_ins;
pub mod summary;
pub mod traffic;
pub mod verdict;
