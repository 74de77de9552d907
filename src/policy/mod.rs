//! Decisions without input or output: plain structs that take events and the time and return actions.

pub mod admission;
pub mod blame;
pub mod budget_ledger;
pub mod drain_watch;
pub mod duty_lease;
pub mod job_event;
pub mod job_log;
pub mod job_queue;
pub mod observation;
pub mod placement;
pub mod retry_budget;
pub mod session_view;
pub mod share;
pub mod share_window;
pub mod size_model;
pub mod slot;
pub mod ticket_table;
pub mod time_rule;
pub mod view_guard;
pub mod zone_split;
