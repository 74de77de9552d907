//! Settings of the daemon: a YAML file with sections of fields.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::model::id::ZoneId;
use crate::policy::retry_budget::RetryLimits;

/// Shortest accepted secret, in bytes.
pub const MIN_SECRET_LENGTH: usize = 16;

/// Lowest level of log lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::FromStr)]
pub enum LogLevel {
    /// Faults that need an operator.
    #[display("error")]
    Error,
    /// Faults from which figloft recovers by itself.
    #[display("warning")]
    Warning,
    /// Changes of state and failed requests.
    #[display("info")]
    Info,
    /// Each request.
    #[display("debug")]
    Debug,
}

/// Settings of the daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonSettings {
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators and metrics.
    pub admin_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Time-out of a call to the store.
    pub store_timeout: Duration,
    /// Secret shared by all daemons.
    pub peer_key: Arc<str>,
    /// Secret that operators present.
    pub operator_token: Arc<str>,
    /// Longest age of a confirmed view at which keyed work is admitted.
    pub freshness: Duration,
    /// Longest deadline of a request and longest lease of a task.
    pub max_task_duration: Duration,
    /// Threads that serve callers.
    pub worker_threads: usize,
    /// Time after which an idle connection of a caller is closed.
    pub keep_alive: Duration,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Requests that may wait per service.
    pub max_waiting: u32,
    /// Part of a request's time that it may wait for a slot, in thousandths.
    pub wait_share_permille: u32,
    /// Time within which a connection to a backend server must be open.
    pub connect_timeout: Duration,
    /// Idle connections kept per backend server.
    pub idle_connections: u32,
    /// Retry limits per service.
    pub retry: RetryLimits,
    /// Time for which the load balancer may send new work after readiness went off.
    pub drain_notice: Duration,
    /// Time without a new request after which the server stops, once nothing is in flight.
    pub drain_linger: Duration,
    /// Lowest level of log lines.
    pub log_level: LogLevel,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            zone: "z1".parse().expect("the default zone is a valid name"),
            caller_address: address(8080),
            admin_address: address(8081),
            peer_address: address(8082),
            store_address: address(8090),
            store_timeout: Duration::from_secs(1),
            peer_key: Arc::from("replace-this-peer-key"),
            operator_token: Arc::from("replace-this-operator-token"),
            freshness: Duration::from_millis(2500),
            max_task_duration: Duration::from_mins(1),
            worker_threads: 2,
            keep_alive: Duration::from_secs(20),
            head_timeout: Duration::from_secs(5),
            max_waiting: 200,
            wait_share_permille: 500,
            connect_timeout: Duration::from_secs(1),
            idle_connections: 8,
            retry: RetryLimits::default(),
            drain_notice: Duration::from_secs(5),
            drain_linger: Duration::from_secs(1),
            log_level: LogLevel::Info,
        }
    }
}
