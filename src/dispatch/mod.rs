//! Scheduling decisions for the jobs of one pool and capacity decisions for the whole fleet, free of I/O.
//!
//! `pool_scheduler` holds the state of one pool and turns events into commands; most other modules are parts
//! of it. `fleet_planner` takes the decisions that concern several pools.

pub mod admission_forecast;
pub mod advice_pace;
pub mod allowance_split;
pub mod command;
pub mod delay_cost;
pub mod ended_jobs;
pub mod evacuated_zones;
pub mod fleet_planner;
pub mod flush_queue;
pub mod free_index;
pub mod hold_reason;
pub mod inflow_forecast;
pub mod instance_workers;
pub mod job_record;
pub mod job_spec;
pub mod job_state;
pub mod limit_turns;
pub mod link_budget;
pub mod load_digest;
pub mod millis;
pub mod open_losses;
pub mod placement;
pub mod poll_pace;
pub mod pool_plan;
pub mod pool_scheduler;
pub mod pool_size;
pub mod queue_work;
pub mod rate_limiter;
pub mod run_loss;
pub mod scheduler_timing;
pub mod shed_order;
pub mod site_config;
pub mod speed_control;
pub mod start_priority;
pub mod step_advice;
pub mod takeover;
pub mod task_checkpoint;
pub mod task_id;
pub mod turn_phase;
pub mod wave_plan;
pub mod work_average;
pub mod work_forecast;
pub mod worker_entry;
pub mod worker_health;
pub mod worker_lease;
pub mod worker_report;
pub mod worker_state;
