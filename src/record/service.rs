//! Services and their availability budgets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::Result;
use crate::model::amount::{ConnectionCount, InstanceCount, SlotCount};
use crate::model::id::{PoolId, ServiceId};
use crate::record::document::RecordDocument;

/// Limits on the instances of a service that may be unavailable at the same time. Planned and unplanned
/// unavailability count together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvailabilityBudget {
    /// Maximum unavailable share of the service's instances, in thousandths.
    pub max_unavailable_permille: u32,
    /// Maximum number of unavailable instances in one availability zone; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable_per_zone: Option<InstanceCount>,
    /// Maximum number of unavailable instances in one rack; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable_per_rack: Option<InstanceCount>,
}

impl AvailabilityBudget {
    /// Maximum number of unavailable instances out of `total`, rounded down. Only the permille limit is
    /// applied.
    pub fn max_unavailable(&self, total: u32) -> u32 {
        (u64::from(total) * u64::from(self.max_unavailable_permille) / 1000) as u32
    }
}

/// A service, whose requests are forwarded to the backend servers on the instances of one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Id, unique among services.
    pub id: ServiceId,
    /// Pool whose instances run the backend servers. A pool runs at most one service.
    pub pool: PoolId,
    /// Limits on the unavailable instances.
    pub budget: AvailabilityBudget,
    /// Number of requests that one backend server handles concurrently.
    pub slots_per_backend: SlotCount,
    /// Number of connections that one backend server accepts.
    pub connections_per_backend: ConnectionCount,
    /// Maximum deadline of a request, in milliseconds.
    pub max_deadline_ms: u64,
    /// Whether a request without a ticket may be retried when the outcome of an attempt is unknown.
    #[serde(default)]
    pub idempotent: bool,
}

impl ServiceRecord {
    /// Maximum deadline of a request, as a duration.
    pub fn max_deadline(&self) -> Duration {
        Duration::from_millis(self.max_deadline_ms)
    }
}

/// Schema version 1: `availability` is the percentage of instances that must be up, `timeout_s` is in seconds
/// and `capacity` holds slots and connections as `"8x64"`.
#[derive(Debug, Deserialize)]
struct ServiceRecordV1 {
    id: ServiceId,
    pool: PoolId,
    availability: f64,
    timeout_s: f64,
    capacity: String,
    #[serde(default)]
    repeatable: bool,
}

/// Converts a service record of schema version 1 to the model.
///
/// # Errors
/// `bad_record` if a field is missing or out of range.
pub fn read_v1(document: &RecordDocument) -> Result<ServiceRecord> {
    let v1: ServiceRecordV1 = document.deserialize_fields()?;
    if !(0.0..=100.0).contains(&v1.availability) {
        return Err(document.bad_record_error("availability must be a percentage from 0 to 100"));
    }
    if !(v1.timeout_s > 0.0 && v1.timeout_s <= 86_400.0) {
        return Err(document.bad_record_error("timeout_s must be above 0 and at most 86400 seconds"));
    }
    let Some((slots, connections)) = parse_capacity(&v1.capacity) else {
        return Err(document.bad_record_error("capacity must be SLOTSxCONNECTIONS, for example 8x64"));
    };
    let max_unavailable_permille = ((100.0 - v1.availability) * 10.0).round() as u32;
    Ok(ServiceRecord {
        id: v1.id,
        pool: v1.pool,
        budget: AvailabilityBudget {
            max_unavailable_permille,
            max_unavailable_per_zone: None,
            max_unavailable_per_rack: None,
        },
        slots_per_backend: slots,
        connections_per_backend: connections,
        max_deadline_ms: (v1.timeout_s * 1000.0).round() as u64,
        idempotent: v1.repeatable,
    })
}

fn parse_capacity(text: &str) -> Option<(SlotCount, ConnectionCount)> {
    let (slots, connections) = text.split_once('x')?;
    Some((slots.trim().parse().ok()?, connections.trim().parse().ok()?))
}
