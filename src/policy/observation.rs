//! What the holder of the duty sees of the fleet, beside the journal.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::journal::member::{MemberPhase, PoolMember};
use crate::model::id::{Generation, InstanceId, PoolId, Revision, ZoneId};

/// Demand for a pool and what one instance of it runs, in slots.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolDemand {
    /// Slots wanted now, running and waiting work together.
    pub wanted: f64,

    /// Slots of one instance.
    pub slots_per_instance: f64,
}

impl PoolDemand {
    /// Slots by which `instances` exceed the demand; negative if the demand is larger.
    pub fn headroom(&self, instances: u32) -> f64 {
        f64::from(instances) * self.slots_per_instance - self.wanted
    }
}

/// Health, progress and demand as last reported. Reports lag; absence of a report is never progress.
#[derive(Debug, Clone, Default)]
pub struct FleetObservation {
    /// Instances that fail their health checks.
    pub unhealthy: BTreeSet<InstanceId>,
    /// Instances that the instance list should contain and does not.
    pub missing: BTreeSet<InstanceId>,
    /// Availability zones that cannot be reached.
    pub unreachable_zones: BTreeSet<ZoneId>,
    /// Instances on which certainly no work runs and none can start under their current phase.
    pub idle: BTreeSet<InstanceId>,
    /// Highest operation (drain, reboot or resume) that each instance reports as carried out.
    pub completed_operations: BTreeMap<InstanceId, Revision>,
    /// Generation of the pool membership that each instance reports as joined.
    pub joined_generations: BTreeMap<InstanceId, Generation>,
    /// Expected time until the work that runs on an instance ends by itself.
    pub drain_times: BTreeMap<InstanceId, Duration>,
    /// Lowest revision that all sessions which may place work have folded.
    pub acknowledged_revision: Revision,
    /// Demand for each pool.
    pub demand: BTreeMap<PoolId, PoolDemand>,
}

impl FleetObservation {
    /// Whether an instance answers, is listed and its zone is reachable.
    pub fn is_up(&self, instance: &InstanceId, zone: &ZoneId) -> bool {
        !self.unhealthy.contains(instance)
            && !self.missing.contains(instance)
            && !self.unreachable_zones.contains(zone)
    }

    /// Whether an instance serves its pool as far as is seen.
    pub fn is_serving(&self, instance: &InstanceId, member: &PoolMember) -> bool {
        member.phase == MemberPhase::Serving && self.is_up(instance, &member.place.zone)
    }

    /// Whether an instance has carried out an operation.
    pub fn has_completed(&self, instance: &InstanceId, operation: Revision) -> bool {
        self.completed_operations
            .get(instance)
            .is_some_and(|done| *done >= operation)
    }

    /// Whether an instance has joined its pool and all sessions know of it.
    pub fn has_joined(&self, instance: &InstanceId, generation: Generation) -> bool {
        let joined_generations = self
            .joined_generations
            .get(instance)
            .is_some_and(|observed| *observed >= generation);
        joined_generations && self.acknowledged_revision.get() >= generation.get()
    }
}
