//! Runtime of a node, which is one figloft process on the platform: leader election and the event loops of
//! leaders.
//!
//! `platform_node` starts and stops the process. `leader_election` claims roles under the lease that
//! `node_lease` renews. `pool_leader` and `fleet_leader` connect the decision logic in `dispatch` to the
//! store, the workers and the clock; each stores its results through a `writer_handle`.
//!
//! Log messages, log keys and stored keys call a role a duty.

pub mod advice_line;
pub mod command_executor;
pub mod config_watcher;
pub mod digest_reader;
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
pub mod waiting_counts;
pub mod writer_handle;
pub mod zone_watcher;
