//! What lives for one caller's request.

pub mod answer;
pub mod answer_stream;
pub mod backend_probe;
pub mod caller_api;
pub mod entry_metrics;
pub mod entry_shell;
pub mod flight;
pub mod forward;
pub mod gate;
pub mod gate_refusal;
pub mod header_rule;
pub mod http_entry;
pub mod job_api;
pub mod job_intake;
pub mod key_check;
pub mod queue_api;
pub mod ticket_desk;
pub mod ticket_run;
pub mod work_request;
