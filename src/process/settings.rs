//! Settings of the daemon and their defaults. `settings_file` reads them from YAML.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::model::id::ZoneId;
use crate::policy::retry_budget::RetryLimits;

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_LENGTH: usize = 16;

/// Minimum level of the log lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::FromStr)]
pub enum LogLevel {
    /// Failures that need an operator.
    #[display("error")]
    Error,
    /// Failures from which figloft recovers by itself.
    #[display("warning")]
    Warning,
    /// State changes and failed requests.
    #[display("info")]
    Info,
    /// Every request.
    #[display("debug")]
    Debug,
}

/// Settings of the daemon. The accepted ranges are in [`FIELDS`](crate::process::settings_field::FIELDS).
#[derive(Debug, Clone, PartialEq)]
pub struct DaemonSettings {
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Listening address for callers; port 0 takes a free one, as for the other listening addresses.
    pub caller_address: SocketAddr,
    /// Listening address of the admin API.
    pub admin_address: SocketAddr,
    /// Listening address for other daemons, which also reach this one under it.
    pub peer_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Timeout of a call to the store.
    pub store_timeout: Duration,
    /// Secret shared by all daemons.
    pub peer_key: Arc<str>,
    /// Secret that operators present to the admin API.
    pub operator_token: Arc<str>,
    /// Longest age of a confirmed view at which keyed work is admitted.
    pub freshness: Duration,
    /// Longest deadline of a request and longest lease of a task. Slots of an ended session are free after
    /// it.
    pub max_task_time: Duration,
    /// Number of threads that serve callers.
    pub worker_threads: usize,
    /// Time after which an idle connection of a caller is closed.
    pub keep_alive: Duration,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Largest number of requests that wait for a slot, per service.
    pub max_waiting: u32,
    /// Share of a request's time that it may spend waiting for a slot, in thousandths.
    pub wait_share_permille: u32,
    /// Timeout for opening a connection to a backend server.
    pub connect_timeout: Duration,
    /// Largest number of idle connections kept per backend server; they count against its connection limit.
    pub idle_connections: u32,
    /// Retry limits, applied per service.
    pub retry: RetryLimits,
    /// Time for which the load balancer may still send new work after the daemon stopped reporting ready.
    pub drain_notice: Duration,
    /// Time without a new request, with none in flight, after which a draining server stops.
    pub drain_linger: Duration,
    /// Memory of the process in megabytes, from which the memory for bodies and connections follows.
    pub memory_mb: u64,
    /// Number of descriptors that the process may open, from which the number of connections follows.
    pub max_descriptors: u64,
    /// Minimum level of the log lines that are written.
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
            max_task_time: Duration::from_mins(1),
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
            memory_mb: 256,
            max_descriptors: 1_024,
            log_level: LogLevel::Info,
        }
    }
}
