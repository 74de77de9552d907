//! Availability budgets: how many instances of each service are unavailable, and whether one more may go.
//!
//! Each instance counts once, as available or not. An instance on loan counts as missing from its home pool,
//! and as additional capacity in the pool that it serves. A new member counts once it has served for the first
//! time.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;

use crate::journal::fleet_state::FleetState;
use crate::journal::member::{MemberPhase, PoolMember};
use crate::model::amount::InstanceCount;
use crate::model::id::{InstanceId, PoolId, RackId, ServiceId, ZoneId};
use crate::policy::observation::FleetObservation;
use crate::record::service::AvailabilityBudget;

/// Why an instance may not be taken out of service.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum BudgetRefusal {
    /// The instance is in no pool.
    #[display("the instance is in no pool")]
    NotMember,
    /// The budget of the service is used.
    #[display("service {service}: {unavailable} of {base} instances are unavailable, {allowed} may be")]
    Service {
        /// The service.
        service: ServiceId,
        /// Instances unavailable now; below zero if lent instances more than replace the missing ones.
        unavailable: i64,
        /// Instances of the service.
        base: u32,
        /// Instances that may be unavailable.
        allowed: u32,
    },
    /// The budget of the service in an availability zone is used.
    #[display("service {service}: {unavailable} instances are unavailable in zone {zone}, {allowed} may be")]
    Zone {
        /// The service.
        service: ServiceId,
        /// The zone.
        zone: ZoneId,
        /// Instances unavailable in the zone now.
        unavailable: u32,
        /// Instances that may be unavailable in the zone.
        allowed: u32,
    },
    /// The budget of the service in a rack is used.
    #[display("service {service}: {unavailable} instances are unavailable in rack {rack}, {allowed} may be")]
    Rack {
        /// The service.
        service: ServiceId,
        /// The rack.
        rack: RackId,
        /// Instances unavailable in the rack now.
        unavailable: u32,
        /// Instances that may be unavailable in the rack.
        allowed: u32,
    },
}

/// The budget of one service and its use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceBudget {
    /// Budget of the service's record.
    pub budget: AvailabilityBudget,
    /// Instances whose home is the service's pool.
    pub base: u32,
    /// Instances that serve in the pool, lent ones included.
    pub available: u32,
    /// Home instances that do not serve in the pool, by zone.
    pub unavailable_by_zone: BTreeMap<ZoneId, u32>,
    /// Home instances that do not serve in the pool, by zone and rack.
    pub unavailable_by_rack: BTreeMap<(ZoneId, RackId), u32>,
}

impl ServiceBudget {
    fn new(budget: AvailabilityBudget) -> Self {
        Self {
            budget,
            base: 0,
            available: 0,
            unavailable_by_zone: BTreeMap::new(),
            unavailable_by_rack: BTreeMap::new(),
        }
    }

    /// Instances that may be unavailable.
    pub fn allowed(&self) -> u32 {
        self.budget.max_unavailable(self.base)
    }

    /// Instances that are unavailable; below zero if lent instances more than replace the missing ones.
    pub fn unavailable(&self) -> i64 {
        i64::from(self.base) - i64::from(self.available)
    }

    /// Instances that may still go; below zero if the budget is exceeded.
    pub fn slack(&self) -> i64 {
        i64::from(self.allowed()) - self.unavailable()
    }

    /// Whether the budget holds over the service, each zone and each rack.
    pub fn is_within_limits(&self) -> bool {
        let zone_cap = self.budget.max_unavailable_per_zone.map(InstanceCount::get);
        let rack_cap = self.budget.max_unavailable_per_rack.map(InstanceCount::get);
        self.slack() >= 0
            && zone_cap.is_none_or(|cap| self.unavailable_by_zone.values().all(|out| *out <= cap))
            && rack_cap.is_none_or(|cap| self.unavailable_by_rack.values().all(|out| *out <= cap))
    }

    fn count_unavailable(&mut self, member: &PoolMember) {
        let place = &member.place;
        *self.unavailable_by_zone.entry(place.zone.clone()).or_default() += 1;
        let rack = (place.zone.clone(), place.rack.clone());
        *self.unavailable_by_rack.entry(rack).or_default() += 1;
    }
}

/// The use of all availability budgets, from the journal and from what is seen.
#[derive(Debug, Clone, Default)]
pub struct BudgetLedger {
    services: BTreeMap<ServiceId, ServiceBudget>,
    services_of_pool: BTreeMap<PoolId, Vec<ServiceId>>,
    /// Instances that do not serve the pool that they are in.
    unavailable: BTreeSet<InstanceId>,
}

impl BudgetLedger {
    /// Counts all budgets.
    pub fn new(state: &FleetState, observed: &FleetObservation) -> Self {
        let mut ledger = Self::default();
        for (id, record) in &state.records.services {
            ledger
                .services
                .insert(id.clone(), ServiceBudget::new(record.budget));
            let services = ledger.services_of_pool.entry(record.pool.clone()).or_default();
            services.push(id.clone());
        }
        for (instance, member) in &state.members {
            let has_served = member.phase != MemberPhase::Joining
                || member.phase_since.get() != member.generation.get()
                || state.loans.contains_key(instance);
            if !has_served {
                ledger.unavailable.insert(instance.clone());
                continue;
            }
            let is_serving = observed.is_serving(instance, member) && !state.tokens.contains_key(instance);
            ledger.count(state, instance, member, is_serving);
        }
        ledger
    }

    fn count(&mut self, state: &FleetState, instance: &InstanceId, member: &PoolMember, is_serving: bool) {
        if !is_serving {
            self.unavailable.insert(instance.clone());
        }
        let home = state.loans.get(instance).map_or(&member.pool, |loan| &loan.home);
        let serves_home = is_serving && *home == member.pool;
        for service in self.services_of_pool.get(home).into_iter().flatten() {
            let Some(budget) = self.services.get_mut(service) else {
                continue;
            };
            budget.base += 1;
            if !serves_home {
                budget.count_unavailable(member);
            }
        }
        if !is_serving {
            return;
        }
        for service in self.services_of_pool.get(&member.pool).into_iter().flatten() {
            if let Some(budget) = self.services.get_mut(service) {
                budget.available += 1;
            }
        }
    }

    /// The budget of a service.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceBudget> {
        self.services.get(service)
    }

    /// All services with their budgets.
    pub fn services(&self) -> &BTreeMap<ServiceId, ServiceBudget> {
        &self.services
    }

    /// Instances of a pool that may still go over all its services; absent for a pool without a service.
    pub fn slack(&self, pool: &PoolId) -> Option<i64> {
        let services = self.services_of_pool.get(pool)?;
        services
            .iter()
            .filter_map(|service| self.services.get(service))
            .map(ServiceBudget::slack)
            .min()
    }

    /// Whether an instance is counted as not serving the pool that it is in.
    pub fn is_unavailable(&self, instance: &InstanceId) -> bool {
        self.unavailable.contains(instance)
    }

    /// Whether an instance may be taken out of service. One that is already unavailable costs nothing more.
    ///
    /// # Errors
    /// The first budget that does not allow it.
    pub fn check(&self, state: &FleetState, instance: &InstanceId) -> Result<(), BudgetRefusal> {
        let Some(member) = state.members.get(instance) else {
            return Err(BudgetRefusal::NotMember);
        };
        if self.unavailable.contains(instance) {
            return Ok(());
        }
        let is_home = !state.loans.contains_key(instance);
        for service in self.services_of_pool.get(&member.pool).into_iter().flatten() {
            let Some(budget) = self.services.get(service) else {
                continue;
            };
            check_service(service, budget)?;
            if is_home {
                check_place(service, budget, member)?;
            }
        }
        Ok(())
    }

    /// Checks an instance and counts it as unavailable from now on.
    ///
    /// # Errors
    /// The first budget that does not allow it; nothing is counted then.
    pub fn reserve(&mut self, state: &FleetState, instance: &InstanceId) -> Result<(), BudgetRefusal> {
        self.check(state, instance)?;
        let Some(member) = state.members.get(instance) else {
            return Err(BudgetRefusal::NotMember);
        };
        if !self.unavailable.insert(instance.clone()) {
            return Ok(());
        }
        let is_home = !state.loans.contains_key(instance);
        for service in self.services_of_pool.get(&member.pool).into_iter().flatten() {
            let Some(budget) = self.services.get_mut(service) else {
                continue;
            };
            budget.available -= 1;
            if is_home {
                budget.count_unavailable(member);
            }
        }
        Ok(())
    }
}

fn check_service(service: &ServiceId, budget: &ServiceBudget) -> Result<(), BudgetRefusal> {
    if budget.slack() >= 1 {
        return Ok(());
    }
    Err(BudgetRefusal::Service {
        service: service.clone(),
        unavailable: budget.unavailable(),
        base: budget.base,
        allowed: budget.allowed(),
    })
}

fn check_place(
    service: &ServiceId,
    budget: &ServiceBudget,
    member: &PoolMember,
) -> Result<(), BudgetRefusal> {
    let place = &member.place;
    if let Some(cap) = budget.budget.max_unavailable_per_zone {
        let unavailable = budget
            .unavailable_by_zone
            .get(&place.zone)
            .copied()
            .unwrap_or_default();
        if unavailable >= cap.get() {
            return Err(BudgetRefusal::Zone {
                service: service.clone(),
                zone: place.zone.clone(),
                unavailable,
                allowed: cap.get(),
            });
        }
    }
    if let Some(cap) = budget.budget.max_unavailable_per_rack {
        let rack = (place.zone.clone(), place.rack.clone());
        let unavailable = budget.unavailable_by_rack.get(&rack).copied().unwrap_or_default();
        if unavailable >= cap.get() {
            return Err(BudgetRefusal::Rack {
                service: service.clone(),
                rack: place.rack.clone(),
                unavailable,
                allowed: cap.get(),
            });
        }
    }
    Ok(())
}
