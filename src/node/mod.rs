//! Shells of the duties: they own the store client, the calls to workers and the clock, and run the decisions.
//!
//! `platform_node` starts one process. `leader_election` claims duties under the lease that `node_lease` keeps;
//! `pool_leader` and `fleet_leader` carry them, each with a `writer_handle` for what it stores.

pub mod command_executor;
pub mod config_watcher;
pub mod fenced_writer;
pub mod fleet_leader;
pub mod flush_write;
pub mod leader_election;
pub mod node_context;
pub mod node_lease;
pub mod node_metrics;
pub mod platform_node;
pub mod pool_leader;
pub mod pool_records;
pub mod prefix_watcher;
pub mod retention_lease;
pub mod store_keys;
pub mod writer_handle;
