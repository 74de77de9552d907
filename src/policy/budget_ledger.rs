//! Availability budgets: how many instances of each service are unavailable, and whether one more may be
//! taken out of service.
//!
//! Each instance counts once, as available or unavailable. An instance on loan counts as unavailable in its
//! home pool and as additional capacity in the pool that it serves. A new member counts only after it has
//! served for the first time.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;

use crate::journal::fleet_state::FleetState;
use crate::journal::member::{MemberPhase, PoolMember};
use crate::model::amount::InstanceCount;
use crate::model::id::{InstanceId, PoolId, RackId, ServiceId, ZoneId};
use crate::policy::observation::FleetObservation;
use crate::record::service::AvailabilityBudget;

/// Why an instance may not be taken out of service. `unavailable` is the present number of unavailable
/// instances, `allowed` the maximum under the budget.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[expect(
    missing_docs,
    reason = "the texts and the comment on the type describe the fields"
)]
pub enum BudgetRefusal {
    #[display("the instance is in no pool")]
    NotMember,
    /// The budget of the whole service is exhausted.
    #[display("service {service}: {unavailable} of {base} instances are unavailable, {allowed} may be")]
    Service {
        service: ServiceId,
        /// Negative if there are more borrowed than unavailable instances.
        unavailable: i64,
        /// Number of home instances, the base of the budget.
        base: u32,
        allowed: u32,
    },
    /// The budget of the service in an availability zone is exhausted.
    #[display("service {service}: {unavailable} instances are unavailable in zone {zone}, {allowed} may be")]
    Zone {
        service: ServiceId,
        zone: ZoneId,
        unavailable: u32,
        allowed: u32,
    },
    /// The budget of the service in a rack is exhausted.
    #[display("service {service}: {unavailable} instances are unavailable in rack {rack}, {allowed} may be")]
    Rack {
        service: ServiceId,
        rack: RackId,
        unavailable: u32,
        allowed: u32,
    },
}

/// Availability budget of one service and its present use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceBudget {
    /// Limits from the service's record.
    pub budget: AvailabilityBudget,
    /// Number of instances whose home is the service's pool.
    pub base: u32,
    /// Number of instances that serve the pool, including borrowed ones.
    pub available: u32,
    /// Number of home instances that do not serve the pool, by zone.
    pub unavailable_by_zone: BTreeMap<ZoneId, u32>,
    /// Number of home instances that do not serve the pool, by zone and rack.
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

    /// Maximum number of unavailable instances.
    pub fn allowed(&self) -> u32 {
        self.budget.max_unavailable(self.base)
    }

    /// Number of unavailable instances; negative if there are more borrowed than unavailable ones.
    pub fn unavailable(&self) -> i64 {
        i64::from(self.base) - i64::from(self.available)
    }

    /// Number of further instances that may become unavailable; negative if the budget is exceeded.
    pub fn slack(&self) -> i64 {
        i64::from(self.allowed()) - self.unavailable()
    }

    /// Whether the limits of the service, of each zone and of each rack are kept.
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

/// Use of all availability budgets, from the journal state and the observed health.
#[derive(Debug, Clone, Default)]
pub struct BudgetLedger {
    services: BTreeMap<ServiceId, ServiceBudget>,
    services_of_pool: BTreeMap<PoolId, Vec<ServiceId>>,
    /// Instances that are in a pool but do not serve it.
    unavailable: BTreeSet<InstanceId>,
}

impl BudgetLedger {
    /// Counts the use of all budgets.
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

    /// Budget of a service; absent if there is no record of it.
    pub fn service(&self, service: &ServiceId) -> Option<&ServiceBudget> {
        self.services.get(service)
    }

    /// All services with their budgets.
    pub fn services(&self) -> &BTreeMap<ServiceId, ServiceBudget> {
        &self.services
    }

    /// Minimum slack over all services of a pool; absent for a pool without a service.
    pub fn slack(&self, pool: &PoolId) -> Option<i64> {
        let services = self.services_of_pool.get(pool)?;
        services
            .iter()
            .filter_map(|service| self.services.get(service))
            .map(ServiceBudget::slack)
            .min()
    }

    /// Whether an instance counts as unavailable in its present pool.
    pub fn is_unavailable(&self, instance: &InstanceId) -> bool {
        self.unavailable.contains(instance)
    }

    /// Checks that an instance may be taken out of service. One that is already unavailable uses no further
    /// budget.
    ///
    /// # Errors
    /// The first budget that is exhausted.
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

    /// Checks an instance as [`Self::check`] does, then counts it as unavailable.
    ///
    /// # Errors
    /// The first budget that is exhausted; the count does not change then.
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
