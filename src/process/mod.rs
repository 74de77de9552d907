//! What lives for the whole process: settings, start, drain, duties, metrics, logs and the admin API.

pub mod admin;
pub mod command;
pub mod control_loop;
pub mod control_settings;
pub mod coordinator;
pub mod daemon;
pub mod drain;
pub mod duty_task;
pub mod health;
pub mod job_adoption;
pub mod job_answer;
pub mod job_desk;
pub mod job_dispatch;
pub mod job_runner;
pub mod job_task;
pub mod log;
pub mod peer_dialler;
pub mod peer_hub;
pub mod peer_listener;
pub mod session_task;
pub mod settings;
pub mod settings_field;
pub mod settings_file;
pub mod team_counter;
pub mod view_state;
pub mod watch_task;
