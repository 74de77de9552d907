//! Decoder of the operators' configuration, which they write to the store.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use crate::dispatch::job_record::{AdviceRule, QueueRule};
use crate::dispatch::job_spec::MAX_DURATION;
use crate::dispatch::site_config::{OrganisationConfig, PoolConfig, QueueConfig, SiteConfig};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{ConfigVersion, OrganisationId, PoolId, QueueId};
use crate::platform::discovery::WireResources;

/// Maximum size of a request body in bytes, if the configuration sets none.
const DEFAULT_MAX_BODY_BYTES: u64 = 262_144;

/// Maximum number of attempts of a task, if its queue sets none.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// Upper bound of the factor from the estimated run time of a job to its objective.
const MAX_SLACK_FACTOR: f64 = 1_000.0;

#[derive(Debug, Deserialize)]
struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    #[serde(default)]
    limits: WireLimits,
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireRoute {
    name: Arc<str>,
    /// Host name under which callers reach the queue.
    host: Arc<str>,
    /// Path prefix under which callers reach the queue.
    prefix: Arc<str>,
    /// Pool that runs the tasks.
    service: Arc<str>,
    /// Maximum time for a response.
    #[serde(default)]
    timeout_ms: u64,
    /// Time added to the objective of a job.
    #[serde(default)]
    target_latency_ms: u64,
    /// Priority of the jobs; 0 is the highest.
    #[serde(default)]
    priority: u32,
    /// Failed runs of a task after which its job has failed.
    #[serde(default)]
    max_attempts: Option<u32>,
    /// Factor from the longest chain of estimated run times to the objective of a job.
    #[serde(default)]
    slack_factor: Option<f64>,
    /// Whether requests need no API key.
    #[serde(default)]
    public: bool,
    /// Set if only the advice service knows which workers may run a step.
    #[serde(default)]
    advice: Option<WireAdviceRule>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[expect(clippy::struct_field_names, reason = "the names are those on the wire")]
struct WireAdviceRule {
    /// Time that the advice service takes for a response.
    #[serde(default)]
    decide_ms: f64,
    /// Additional time for each worker in the request.
    #[serde(default)]
    each_ms: f64,
    /// Time for which a ticket is valid.
    #[serde(default)]
    valid_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireService {
    name: Arc<str>,
    /// Whether the machines of the pool are switched off.
    #[serde(default)]
    spare: bool,
    /// Whether the runners refuse what exceeds their capacity.
    #[serde(default)]
    enforce_capacity: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireLimits {
    #[serde(default)]
    max_body_bytes: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireTenant {
    name: Arc<str>,
    #[serde(default)]
    api_keys: Vec<Arc<str>>,
    /// Relative share of the fleet when it is fully used; also the rate of jobs per second to which the
    /// tenant is entitled.
    #[serde(default)]
    weight: f64,
    /// Maximum resources of its running tasks; an amount of zero sets no limit.
    #[serde(default)]
    cap: WireResources,
}

/// Decodes a configuration.
///
/// # Errors
/// `bad_record` if the JSON is malformed; otherwise the error of the first invalid id.
pub fn decode_config(value: &[u8]) -> Result<SiteConfig> {
    let wire: WireConfig = serde_json::from_slice(value)
        .map_err(|error| Error::new(ErrorKind::BadRecord, format!("configuration: {error}")))?;
    let mut config = SiteConfig {
        version: ConfigVersion::new(wire.version),
        max_body_bytes: wire.limits.max_body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES),
        ..SiteConfig::default()
    };
    for route in wire.routes {
        config.queues.push(decode_route(route)?);
    }
    config.sort_queues();
    for service in wire.services {
        let pool = PoolConfig {
            is_spare: service.spare,
            enforces_capacity: service.enforce_capacity,
        };
        config.pools.insert(PoolId::new(service.name)?, pool);
    }
    for tenant in wire.tenants {
        let id = OrganisationId::new(tenant.name)?;
        for key in tenant.api_keys {
            config.keys.insert(key, id.clone());
        }
        let organisation = OrganisationConfig {
            weight: tenant.weight,
            limit: tenant.cap.decode(),
        };
        config.organisations.insert(id, organisation);
    }
    Ok(config)
}

fn decode_route(route: WireRoute) -> Result<QueueConfig> {
    let millis = |value: f64| {
        let duration = Duration::try_from_secs_f64(value.max(0.0) / 1_000.0);
        duration.unwrap_or(MAX_DURATION).min(MAX_DURATION)
    };
    let advice = route.advice.map(|advice| AdviceRule {
        base_latency: millis(advice.decide_ms),
        latency_per_worker: millis(advice.each_ms),
        ticket_validity: millis(advice.valid_ms),
    });
    Ok(QueueConfig {
        id: QueueId::new(route.name)?,
        host: route.host,
        path_prefix: route.prefix,
        pool: PoolId::new(route.service)?,
        is_public: route.public,
        timeout: Duration::from_millis(route.timeout_ms).min(MAX_DURATION),
        rule: QueueRule {
            priority: route.priority,
            max_attempts: route.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS),
            slack_factor: route.slack_factor.unwrap_or(1.0).clamp(1.0, MAX_SLACK_FACTOR),
            target_latency: Duration::from_millis(route.target_latency_ms).min(MAX_DURATION),
            advice,
        },
    })
}
