//! The request path: receives callers' HTTP requests, admits them, forwards them to backend servers and
//! streams the responses back. Also holds the callers' job APIs.

pub mod admission_controller;
pub mod admission_error;
pub mod admission_gate;
pub mod backend_probe;
pub mod body_budget;
pub mod body_pace;
pub mod caller_api;
pub mod caller_limits;
pub mod connection_choice;
pub mod connection_guard;
pub mod early_cancellations;
pub mod entry_context;
pub mod entry_metrics;
pub mod evacuations_api;
pub mod explain_api;
pub mod first_record;
pub mod forward;
pub mod header_rule;
pub mod http_server;
pub mod in_flight;
pub mod job_api;
pub mod job_canceller;
pub mod key_check;
pub mod queue_api;
pub mod refusal_burst;
pub mod response;
pub mod response_stream;
pub mod submission_batcher;
pub mod ticket_registry;
pub mod ticket_run;
pub mod work_request;
