//! Services and their availability budgets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::Result;
use crate::model::amount::{ConnectionCount, InstanceCount, SlotCount};
use crate::model::id::{PoolId, ServiceId};
use crate::record::document::RecordDocument;

/// How much of a service may be unavailable at any moment, for planned and unplanned reasons together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvailabilityBudget {
    /// Thousandths of the service's instances that may be unavailable.
    pub max_unavailable_permille: u32,
    /// Instances that may be unavailable in one availability zone; no bound if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable_per_zone: Option<InstanceCount>,
    /// Instances that may be unavailable in one rack; no bound if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_unavailable_per_rack: Option<InstanceCount>,
}

impl AvailabilityBudget {
    /// Number of instances that may be unavailable out of `total`, rounded down.
    pub fn max_unavailable(&self, total: u32) -> u32 {
        (u64::from(total) * u64::from(self.max_unavailable_permille) / 1000) as u32
    }
}

/// A service: the pool whose instances run its backend servers, its budget and its capacity per server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Id of the service.
    pub id: ServiceId,
    /// Pool whose instances run the backend servers.
    pub pool: PoolId,
    /// Availability budget.
    pub budget: AvailabilityBudget,
    /// Requests that one backend server runs at the same time.
    pub slots_per_backend: SlotCount,
    /// Connections that one backend server accepts.
    pub connections_per_backend: ConnectionCount,
    /// Longest deadline of a request, in milliseconds.
    pub max_deadline_ms: u64,
    /// Whether requests without a ticket may be sent again after an unknown outcome.
    #[serde(default)]
    pub idempotent: bool,
}

impl ServiceRecord {
    /// Longest deadline of a request.
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

/// Reads schema version 1 into the model.
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
