//! Decisions about jobs on a pool of workers, and about the pools of the fleet, without input or output.
//!
//! `pool_scheduler` holds the state of one pool and turns events into orders; the other modules are its parts.
//! `fleet_planner` decides what concerns several pools.

pub mod allowance_split;
pub mod command;
pub mod ended_jobs;
pub mod fleet_planner;
pub mod inflow_forecast;
pub mod job_record;
pub mod job_spec;
pub mod job_state;
pub mod millis;
pub mod placement;
pub mod pool_plan;
pub mod pool_scheduler;
pub mod pool_size;
pub mod rate_limiter;
pub mod scheduler_timing;
pub mod site_config;
pub mod speed_control;
pub mod start_priority;
pub mod takeover;
pub mod task_id;
pub mod wave_plan;
pub mod work_average;
pub mod work_forecast;
pub mod worker_entry;
pub mod worker_health;
pub mod worker_lease;
pub mod worker_report;
pub mod worker_state;
