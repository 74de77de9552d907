//! The settings file that the platform writes for each process.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::dispatch::scheduler_timing::{DEFAULT_LEASE, SchedulerTiming};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::ZoneId;

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "FIGLOFT_SETTINGS";

/// Share of the longest allowed lease that is asked for where it is below the usual one.
const LEASE_FRACTION: f64 = 0.95;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the instance.
    pub node: Arc<str>,
    /// Availability zone.
    pub zone: ZoneId,
    /// Own address without a port.
    pub bind_ip: IpAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for readiness checks.
    pub readiness_address: SocketAddr,
    /// The store.
    pub store_address: SocketAddr,
    /// The machine API, if there is one.
    pub instance_api: Option<SocketAddr>,
    /// The advice service, if there is one.
    pub advice_address: Option<SocketAddr>,
    /// Shortest lease of the store.
    pub min_store_lease: Duration,
    /// Processor share of the instance.
    pub cpu_share: f64,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Time for which the state of a job that is over has to be known.
    pub retention: Duration,
    /// Bounds for the schedulers.
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
}

impl Default for InstanceLimits {
    fn default() -> Self {
        Self { cpu_share: 0.25 }
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

/// Bounds that matter here; some are spelled with an underscore on the wire.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct PlatformBounds {
    grace_s: f64,
    hold_max_ms: u64,
    stop_ms: u64,
    #[serde(rename = "early_ms")]
    early_ms: u64,
    #[serde(rename = "status_s")]
    status_s: f64,
}

impl Default for PlatformBounds {
    fn default() -> Self {
        Self {
            grace_s: 6.0,
            hold_max_ms: 6_000,
            stop_ms: 900,
            early_ms: 250,
            status_s: 120.0,
        }
    }
}

impl NodeSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// `bad_record` that names the file and the fault.
    pub fn read(path: &Path) -> Result<Self> {
        let fault = |text: String| Error::new(ErrorKind::BadRecord, format!("{}: {text}", path.display()));
        let text = std::fs::read(path).map_err(|error| fault(error.to_string()))?;
        Self::parse(&text).map_err(|error| fault(error.message().to_owned()))
    }

    /// Decodes a settings file.
    ///
    /// # Errors
    /// `bad_record` that names the fault.
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
            grace_period: Duration::from_secs_f64(bounds.grace_s),
            retention: Duration::from_secs_f64(bounds.status_s),
            timing,
        })
    }
}
