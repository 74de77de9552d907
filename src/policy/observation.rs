//! Observed state of the fleet: what the coordinator knows beside the journal.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::journal::member::{MemberPhase, PoolMember};
use crate::model::id::{Generation, InstanceId, PoolId, Revision, ZoneId};

/// Demand for a pool and capacity of one of its instances, in slots.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolDemand {
    /// Slots for running and waiting work together.
    pub wanted: f64,

    /// Slots of one instance.
    pub slots_per_instance: f64,
}

impl PoolDemand {
    /// Slots by which the capacity of `instances` exceeds the demand; negative if the demand is larger.
    pub fn headroom(&self, instances: u32) -> f64 {
        f64::from(instances) * self.slots_per_instance - self.wanted
    }
}

/// Health, progress and demand as last reported. Reports lag behind; a missing report never counts as
/// progress.
#[derive(Debug, Clone, Default)]
pub struct FleetObservation {
    /// Instances that fail their health checks.
    pub unhealthy: BTreeSet<InstanceId>,
    /// Fleet members that are absent from the instance list.
    pub missing: BTreeSet<InstanceId>,
    /// Availability zones that cannot be reached.
    pub unreachable_zones: BTreeSet<ZoneId>,
    /// Instances on which no work runs and none can start in their present phase.
    pub idle: BTreeSet<InstanceId>,
    /// Highest operation (drain, reboot or resume) that each instance reports as completed. The number of an
    /// operation is that of the journal entry that set the phase.
    pub completed_operations: BTreeMap<InstanceId, Revision>,
    /// Generation of the pool membership that each instance reports to have joined.
    pub joined_generations: BTreeMap<InstanceId, Generation>,
    /// Expected time until the work on an instance has ended without intervention.
    pub drain_times: BTreeMap<InstanceId, Duration>,
    /// Highest revision that all sessions which may place work have folded.
    pub acknowledged_revision: Revision,
    /// Demand by pool; pools without reports are absent.
    pub demand: BTreeMap<PoolId, PoolDemand>,
}

impl FleetObservation {
    /// Whether an instance is healthy and listed, and its zone is reachable.
    pub fn is_up(&self, instance: &InstanceId, zone: &ZoneId) -> bool {
        !self.unhealthy.contains(instance)
            && !self.missing.contains(instance)
            && !self.unreachable_zones.contains(zone)
    }

    /// Whether an instance is in service and up.
    pub fn is_serving(&self, instance: &InstanceId, member: &PoolMember) -> bool {
        member.phase == MemberPhase::Serving && self.is_up(instance, &member.place.zone)
    }

    /// Whether an instance has completed an operation or a later one.
    pub fn has_completed(&self, instance: &InstanceId, operation: Revision) -> bool {
        self.completed_operations
            .get(instance)
            .is_some_and(|done| *done >= operation)
    }

    /// Whether an instance has joined its pool and all sessions have folded the membership.
    pub fn has_joined(&self, instance: &InstanceId, generation: Generation) -> bool {
        let joined_generations = self
            .joined_generations
            .get(instance)
            .is_some_and(|observed| *observed >= generation);
        joined_generations && self.acknowledged_revision.get() >= generation.get()
    }
}
