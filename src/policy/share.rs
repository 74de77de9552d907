//! Weighted max-min fair shares with limits, computed by water filling.
//!
//! Each team is entitled to `min(cap, weight × level)`. The cap is the lower of the team's demand and its
//! limit. The level is the largest one at which the sum of all teams fits into the capacity.

use std::collections::{BTreeMap, BTreeSet};

use crate::model::amount::ShareWeight;
use crate::model::id::TeamId;

/// Demand, limit and weight of a team. Amounts are in slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[expect(missing_docs, reason = "weight and limit need no explanation")]
pub struct TeamDemand {
    pub weight: ShareWeight,
    /// Running and waiting work.
    pub demand: u64,
    pub limit: u64,
}

impl TeamDemand {
    /// Maximum number of slots that the team can use.
    pub fn cap(&self) -> u64 {
        self.demand.min(self.limit)
    }

    /// Level at which the team reaches its cap; infinite for weight 0, unless the cap is 0.
    fn saturation_level(&self) -> f64 {
        match (self.cap(), self.weight.get()) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (cap, weight) => cap as f64 / f64::from(weight),
        }
    }
}

/// Water filling over teams. A change costs O(log teams). The level is computed in one ordered pass over the
/// teams, when it is needed for the first time after a change. A team of weight 0 is entitled to nothing.
#[derive(Debug, Clone, Default)]
pub struct WaterFill {
    capacity: u64,
    teams: BTreeMap<TeamId, TeamDemand>,
    /// Teams by the bits of their saturation level. Non-negative floats have the order of their bits.
    by_saturation_level: BTreeSet<(u64, TeamId)>,
    /// Absent after a change until it is needed again.
    level: Option<f64>,
}

impl WaterFill {
    /// Creates a water filling without teams. The capacity is in slots.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Sets the capacity in slots.
    pub fn set_capacity(&mut self, capacity: u64) {
        if capacity != self.capacity {
            self.capacity = capacity;
            self.level = None;
        }
    }

    /// Capacity in slots.
    pub fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Sets a team's weight, demand and limit.
    pub fn set_team(&mut self, team: &TeamId, demand: TeamDemand) {
        if self.teams.get(team) == Some(&demand) {
            return;
        }
        self.remove_team(team);
        let key = (demand.saturation_level().to_bits(), team.clone());
        self.by_saturation_level.insert(key);
        self.teams.insert(team.clone(), demand);
        self.level = None;
    }

    /// Removes a team.
    pub fn remove_team(&mut self, team: &TeamId) {
        if let Some(old) = self.teams.remove(team) {
            self.by_saturation_level
                .remove(&(old.saturation_level().to_bits(), team.clone()));
            self.level = None;
        }
    }

    /// The level: slots per unit of weight for teams below their cap. Infinite if all teams reach their cap.
    pub fn level(&mut self) -> f64 {
        if let Some(level) = self.level {
            return level;
        }
        let level = self.compute_level();
        self.level = Some(level);
        level
    }

    fn compute_level(&self) -> f64 {
        let mut remaining = self.capacity as f64;
        let mut weight: f64 = self.teams.values().map(|team| f64::from(team.weight.get())).sum();
        for (_, team) in &self.by_saturation_level {
            let demand = &self.teams[team];
            let level = demand.saturation_level();
            if level.is_infinite() {
                break;
            }
            if level * weight >= remaining {
                return remaining / weight;
            }
            remaining -= demand.cap() as f64;
            weight -= f64::from(demand.weight.get());
        }
        f64::INFINITY
    }

    /// Entitlement of a team in slots; 0 for an unknown team.
    pub fn entitlement(&mut self, team: &TeamId) -> f64 {
        let level = self.level();
        let Some(demand) = self.teams.get(team) else {
            return 0.0;
        };
        if demand.weight.get() == 0 {
            return 0.0;
        }
        (f64::from(demand.weight.get()) * level).min(demand.cap() as f64)
    }

    /// Entitlements of all teams, in slots.
    pub fn entitlements(&mut self) -> BTreeMap<TeamId, f64> {
        let teams: Vec<TeamId> = self.teams.keys().cloned().collect();
        let entitled = teams.into_iter().map(|team| {
            let slots = self.entitlement(&team);
            (team, slots)
        });
        entitled.collect()
    }
}
