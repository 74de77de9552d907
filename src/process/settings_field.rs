//! The fields of the settings file, with their descriptions, accepted values, and functions to read and write
//! them.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde_yaml_ng::Value;

use crate::process::settings::{DaemonSettings, LogLevel, MIN_SECRET_LENGTH};

/// One field of the settings file.
pub struct SettingField {
    /// Section of the YAML file that contains the field.
    pub section: &'static str,
    /// Key within the section.
    pub name: &'static str,
    /// Description, written as a comment into the defaults file.
    pub description: &'static str,
    /// Accepted values in words, written into the defaults file and into error messages.
    pub accepted: &'static str,
    /// Stores a YAML value in the settings; returns `None` if the value is not accepted.
    pub set: fn(&mut DaemonSettings, &Value) -> Option<()>,
    /// Renders the value in the settings as YAML.
    pub get: fn(&DaemonSettings) -> String,
}

impl fmt::Debug for SettingField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.section, self.name)
    }
}

fn number(value: &Value, min: u64, max: u64) -> Option<u64> {
    value.as_u64().filter(|number| (min..=max).contains(number))
}

fn millis(value: &Value, min: u64, max: u64) -> Option<Duration> {
    number(value, min, max).map(Duration::from_millis)
}

fn secret(value: &Value) -> Option<Arc<str>> {
    let text = value.as_str()?;
    (text.len() >= MIN_SECRET_LENGTH).then(|| Arc::from(text))
}

macro_rules! field {
    ($section:literal, $name:literal, $description:literal, $accepted:literal,
     |$settings:ident, $value:ident| $target:expr => $parsed:expr, $shown:expr) => {
        SettingField {
            section: $section,
            name: $name,
            description: $description,
            accepted: $accepted,
            set: |$settings, $value| {
                $target = $parsed?;
                Some(())
            },
            get: |$settings| $shown.to_string(),
        }
    };
}

/// All fields, in the order in which the defaults file lists them.
pub const FIELDS: &[SettingField] = &[
    field!("instance", "zone", "Availability zone of this instance.",
        "a name of 1 to 63 of a-z A-Z 0-9 . _ - that starts with a letter or digit",
        |s, v| s.zone => v.as_str()?.parse().ok(), s.zone),
    field!("listen", "callers", "Address for callers; also serves /healthz and /readyz.",
        "IP:PORT, port 0 for a free one", |s, v| s.caller_address => v.as_str()?.parse().ok(), s.caller_address),
    field!("listen", "admin", "Address for operators.",
        "IP:PORT, port 0 for a free one", |s, v| s.admin_address => v.as_str()?.parse().ok(), s.admin_address),
    field!("listen", "peers", "Address for other daemons, under which they reach this one.",
        "IP:PORT, port 0 for a free one", |s, v| s.peer_address => v.as_str()?.parse().ok(), s.peer_address),
    field!("store", "address", "Address of the store.",
        "IP:PORT", |s, v| s.store_address => v.as_str()?.parse().ok(), s.store_address),
    field!("store", "timeout_ms", "Time-out of a call to the store, in milliseconds.",
        "a whole number from 100 to 10000",
        |s, v| s.store_timeout => millis(v, 100, 10_000), s.store_timeout.as_millis()),
    field!("secrets", "peer_key", "Secret shared by all daemons, with which they authenticate each other.",
        "text of at least 16 bytes", |s, v| s.peer_key => secret(v), s.peer_key),
    field!("secrets", "operator_token", "Secret that operators present to the admin API.",
        "text of at least 16 bytes", |s, v| s.operator_token => secret(v), s.operator_token),
    field!("view", "freshness_ms",
        "Longest age of a confirmed view at which keyed work is admitted, in milliseconds.",
        "a whole number from 500 to 3000",
        |s, v| s.freshness => millis(v, 500, 3000), s.freshness.as_millis()),
    field!(
        "view",
        "longest_task_ms",
        "Longest deadline of a request and longest lease of a task, in milliseconds; slots of an ended session become free after it.",
        "a whole number from 1000 to 3600000",
        |s, v| s.max_task_time => millis(v, 1000, 3_600_000),
        s.max_task_time.as_millis()
    ),
    field!("requests", "workers", "Threads that serve callers.",
        "a whole number from 1 to 64",
        |s, v| s.worker_threads => number(v, 1, 64).map(|n| n as usize), s.worker_threads),
    field!("requests", "keep_alive_ms", "Time after which an idle connection of a caller is closed, in milliseconds.",
        "a whole number from 1000 to 25000",
        |s, v| s.keep_alive => millis(v, 1000, 25_000), s.keep_alive.as_millis()),
    field!("requests", "head_timeout_ms", "Time within which the head of a request must arrive, in milliseconds.",
        "a whole number from 100 to 25000",
        |s, v| s.head_timeout => millis(v, 100, 25_000), s.head_timeout.as_millis()),
    field!("requests", "max_waiting", "Requests that may wait for a slot, per service.",
        "a whole number from 0 to 100000",
        |s, v| s.max_waiting => number(v, 0, 100_000).map(|n| n as u32), s.max_waiting),
    field!("requests", "wait_share_permille",
        "Share of a request's time that it may spend waiting for a slot, in thousandths.",
        "a whole number from 1 to 1000",
        |s, v| s.wait_share_permille => number(v, 1, 1000).map(|n| n as u32), s.wait_share_permille),
    field!("backends", "connect_timeout_ms",
        "Time within which a connection to a backend server must be open, in milliseconds.",
        "a whole number from 10 to 10000",
        |s, v| s.connect_timeout => millis(v, 10, 10_000), s.connect_timeout.as_millis()),
    field!("backends", "idle_connections", "Idle connections kept per backend server; they count against its limit.",
        "a whole number from 0 to 64",
        |s, v| s.idle_connections => number(v, 0, 64).map(|n| n as u32), s.idle_connections),
    field!("retries", "ratio_permille", "Retries per first attempt, in thousandths.",
        "a whole number from 0 to 1000",
        |s, v| s.retry.ratio_permille => number(v, 0, 1000).map(|n| n as u32), s.retry.ratio_permille),
    field!("retries", "burst", "Largest number of unused retries that may accumulate.",
        "a whole number from 0 to 1000",
        |s, v| s.retry.burst => number(v, 0, 1000).map(|n| n as u32), s.retry.burst),
    field!("retries", "first_backoff_ms", "Back-off before the first retry, in milliseconds; doubled for each further one.",
        "a whole number from 1 to 10000",
        |s, v| s.retry.first_backoff => millis(v, 1, 10_000), s.retry.first_backoff.as_millis()),
    field!("retries", "longest_backoff_ms", "Longest back-off, in milliseconds.",
        "a whole number from 1 to 10000",
        |s, v| s.retry.max_backoff => millis(v, 1, 10_000), s.retry.max_backoff.as_millis()),
    field!("drain", "notice_ms",
        "Time for which the load balancer may still send new work after the daemon stopped reporting ready, in milliseconds.",
        "a whole number from 0 to 600000",
        |s, v| s.drain_notice => millis(v, 0, 600_000), s.drain_notice.as_millis()),
    field!("drain", "linger_ms",
        "Time without a new request after which the server stops, once nothing is in flight, in milliseconds.",
        "a whole number from 0 to 60000",
        |s, v| s.drain_linger => millis(v, 0, 60_000), s.drain_linger.as_millis()),
    field!(
        "limits",
        "memory_mb",
        "Memory of the process in megabytes; a quarter of it is for bodies and a quarter for connections of callers.",
        "a whole number from 16 to 1048576",
        |s, v| s.memory_mb => number(v, 16, 1_048_576),
        s.memory_mb
    ),
    field!(
        "limits",
        "max_fds",
        "Descriptors that the process may open; half of them less 200 for files is for connections of callers.",
        "a whole number from 256 to 1048576",
        |s, v| s.max_descriptors => number(v, 256, 1_048_576),
        s.max_descriptors
    ),
    field!("log", "level", "Minimum level of the log lines that are written.",
        "one of error, warning, info, debug",
        |s, v| s.log_level => v.as_str()?.parse::<LogLevel>().ok(), s.log_level),
];
