//! The store: client, in-memory stand-in with switchable faults, and the stand-in's HTTP server.

pub mod call;
pub mod call_budget;
pub mod client;
pub mod fault;
pub mod http_client;
pub mod memory_engine;
pub mod memory_store;
pub mod server;
