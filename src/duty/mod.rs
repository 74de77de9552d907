//! Shells of the duties: they own the store client, the calls to workers and the clock, and run the decisions.
//!
//! `platform_node` starts one process. `duty_board` claims duties under the lease that `node_lease` keeps;
//! `pool_duty` and `fleet_duty` carry them, each with a `duty_writer` for what it stores.

pub mod archive_lease;
pub mod config_follower;
pub mod duty_board;
pub mod duty_metrics;
pub mod duty_writer;
pub mod fleet_duty;
pub mod flush_record;
pub mod job_keys;
pub mod node_lease;
pub mod node_parts;
pub mod order_executor;
pub mod platform_node;
pub mod pool_duty;
pub mod pool_load;
pub mod prefix_follower;
pub mod tenure_writer;
