//! Decoder of the settings file that the platform writes for each process.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::dispatch::evacuated_zones::START_MARGIN;
use crate::dispatch::scheduler_timing::{DEFAULT_LEASE, SchedulerTiming};
use crate::error::{Error, ErrorKind, Result};
use crate::model::amount::ByteCount;
use crate::model::id::ZoneId;

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "FIGLOFT_SETTINGS";

/// Fraction of the platform's maximum lease that is requested if it is shorter than [`DEFAULT_LEASE`].
const LEASE_FRACTION: f64 = 0.95;

/// Minimum bound on starts in a zone under evacuation. With less the view of the zones would need several
/// confirmations a second, and a slow answer would stop all starts.
const MIN_EVACUATION_BOUND: Duration = START_MARGIN.saturating_add(Duration::from_secs(1));

const BYTES_PER_MEGABYTE: u64 = 1_000_000;

const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Settings of the node that this process runs.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the node; part of its session id and its log messages.
    pub node: Arc<str>,
    /// Availability zone in which the node runs.
    pub zone: ZoneId,
    /// IP address of the node, on which the metrics server listens.
    pub bind_ip: IpAddr,
    /// Address on which the node serves callers.
    pub caller_address: SocketAddr,
    /// Address on which the node answers readiness checks.
    pub readiness_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Address of the platform's machine API; without it, the fleet leader cannot list, move or maintain
    /// instances.
    pub instance_api: Option<SocketAddr>,
    /// Address of the advice service; without it, requests for advice fail.
    pub advice_address: Option<SocketAddr>,
    /// Minimum time to live that the store grants to a lease.
    pub min_store_lease: Duration,
    /// Processor share of the node. With a smaller share it claims leadership later.
    pub cpu_share: f64,
    /// Bytes per second of the node's link; absent if the platform names no limit.
    pub link_rate: Option<ByteCount>,
    /// Memory of the node's machine; absent if the platform names no limit.
    pub memory: Option<ByteCount>,
    /// Number of descriptors that the node may open; absent if the platform names no limit.
    pub max_descriptors: Option<u64>,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Time for which callers may read the state of a finished job.
    pub retention: Duration,
    /// Time from the request to evacuate a zone within which the last start there has to have happened. Without it
    /// such requests are not watched.
    pub evacuation_bound: Option<Duration>,
    /// Durations on which the pool schedulers rely.
    pub timing: SchedulerTiming,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct SettingsFile {
    node: Arc<str>,
    zone: Arc<str>,
    bind_ip: IpAddr,
    listen_addrs: ListenAddresses,
    #[serde(default)]
    limits: InstanceLimits,
    #[serde(default)]
    bounds: PlatformBounds,
    advice: Option<SocketAddr>,
    platform: StoreSection,
    cloud_api: Option<MachineApiSection>,
}

#[derive(Debug, Deserialize)]
struct ListenAddresses {
    front: SocketAddr,
    ready: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct InstanceLimits {
    cpu_share: f64,
    /// Rate of the link in megabits per second.
    link_mbps: Option<f64>,
    /// Memory in megabytes.
    memory_mb: Option<u64>,
    max_fds: Option<u64>,
}

impl Default for InstanceLimits {
    fn default() -> Self {
        Self {
            cpu_share: 0.25,
            link_mbps: None,
            memory_mb: None,
            max_fds: None,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct StoreSection {
    address: SocketAddr,
    #[serde(default = "default_least_lease")]
    ttl_min_ms: u64,
}

fn default_least_lease() -> u64 {
    1_000
}

#[derive(Debug, Deserialize)]
struct MachineApiSection {
    address: SocketAddr,
}

/// Time limits of the platform. Some of their names have an underscore in the file.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct PlatformBounds {
    /// Time between SIGTERM and SIGKILL.
    grace_s: f64,
    /// Maximum lease that a worker accepts.
    hold_max_ms: u64,
    /// Maximum time until a stop command has taken effect.
    stop_ms: u64,
    /// Maximum time before its due time at which an occurrence of a scheduled job may start.
    #[serde(rename = "early_ms")]
    early_ms: u64,
    /// Time for which the members of a gang wait for the others.
    gang_ms: u64,
    /// Time for which callers may read the state of a finished job.
    #[serde(rename = "status_s")]
    status_s: f64,
    /// Time after the request to evacuate a zone from which nothing may start there.
    evacuate_ms: Option<u64>,
}

impl Default for PlatformBounds {
    fn default() -> Self {
        Self {
            grace_s: 6.0,
            hold_max_ms: 6_000,
            stop_ms: 900,
            early_ms: 250,
            gang_ms: 3_000,
            status_s: 120.0,
            evacuate_ms: None,
        }
    }
}

fn link_rate(megabits_per_second: f64) -> ByteCount {
    ByteCount::new((megabits_per_second * BYTES_PER_MEGABIT) as u64)
}

fn memory_size(megabytes: u64) -> ByteCount {
    ByteCount::new(megabytes.saturating_mul(BYTES_PER_MEGABYTE))
}

fn duration(name: &str, seconds: f64) -> Result<Duration> {
    Duration::try_from_secs_f64(seconds).map_err(|error| {
        Error::new(
            ErrorKind::BadRecord,
            format!("bounds.{name} of {seconds} s: {error}"),
        )
    })
}

fn evacuation_bound(millis: u64) -> Result<Duration> {
    let bound = Duration::from_millis(millis);
    if bound < MIN_EVACUATION_BOUND {
        let message = format!(
            "bounds.evacuate-ms of {millis} is below the minimum of {}",
            MIN_EVACUATION_BOUND.as_millis()
        );
        return Err(Error::new(ErrorKind::BadRecord, message));
    }
    Ok(bound)
}

impl NodeSettings {
    /// Reads and decodes a settings file.
    ///
    /// # Errors
    /// `bad_record` with the path and the cause.
    pub fn read(path: &Path) -> Result<Self> {
        let bad_file =
            |cause: String| Error::new(ErrorKind::BadRecord, format!("{}: {cause}", path.display()));
        let text = std::fs::read(path).map_err(|error| bad_file(error.to_string()))?;
        Self::parse(&text).map_err(|error| bad_file(error.message().to_owned()))
    }

    /// Decodes a settings file.
    ///
    /// # Errors
    /// `bad_record` if the JSON is malformed or a bound is out of range; otherwise the error of the invalid zone name.
    pub fn parse(text: &[u8]) -> Result<Self> {
        let file: SettingsFile = serde_json::from_slice(text)
            .map_err(|error| Error::new(ErrorKind::BadRecord, error.to_string()))?;
        let bounds = &file.bounds;
        let max_requested_lease = Duration::from_millis(bounds.hold_max_ms).mul_f64(LEASE_FRACTION);
        let timing = SchedulerTiming {
            lease: DEFAULT_LEASE.min(max_requested_lease),
            stop_timeout: Duration::from_millis(bounds.stop_ms),
            max_lease: Duration::from_millis(bounds.hold_max_ms),
            max_early_start: Duration::from_millis(bounds.early_ms),
            gang_wait: Duration::from_millis(bounds.gang_ms),
        };
        Ok(Self {
            node: file.node,
            zone: ZoneId::new(file.zone)?,
            bind_ip: file.bind_ip,
            caller_address: file.listen_addrs.front,
            readiness_address: file.listen_addrs.ready,
            store_address: file.platform.address,
            instance_api: file.cloud_api.map(|api| api.address),
            advice_address: file.advice,
            min_store_lease: Duration::from_millis(file.platform.ttl_min_ms),
            cpu_share: file.limits.cpu_share,
            link_rate: file.limits.link_mbps.filter(|rate| *rate > 0.0).map(link_rate),
            memory: file
                .limits
                .memory_mb
                .filter(|megabytes| *megabytes > 0)
                .map(memory_size),
            max_descriptors: file.limits.max_fds.filter(|count| *count > 0),
            grace_period: duration("grace-s", bounds.grace_s)?,
            retention: duration("status_s", bounds.status_s)?,
            evacuation_bound: bounds.evacuate_ms.map(evacuation_bound).transpose()?,
            timing,
        })
    }
}
