//! Determines which instances a wave has yet to start, and summarises the members of each pool.

use std::collections::BTreeMap;

use crate::journal::fleet_state::FleetState;
use crate::journal::member::{MemberPhase, PlanProgress, PoolMember};
use crate::model::id::{InstanceId, PoolId};
use crate::policy::observation::FleetObservation;
use crate::record::plan::{PlanRecord, PlanWave, WaveAction};

/// An instance with its membership.
pub type MemberRef<'a> = (&'a InstanceId, &'a PoolMember);

/// Members of one pool.
#[derive(Debug, Clone, Default)]
pub struct PoolSummary<'a> {
    /// Instances whose home is the pool, without lent ones.
    pub home: Vec<MemberRef<'a>>,
    /// Instances whose home is the pool and that are lent out or on the way back.
    pub lent_out: Vec<MemberRef<'a>>,
    /// Number of instances that serve the pool, including borrowed ones.
    pub serving: u32,
    /// Number of home instances with a move in progress.
    pub in_progress: u32,
    /// Borrowed instances that are in the pool or on the way to it.
    pub lent_in: Vec<MemberRef<'a>>,
}

/// Members of all pools, from which the scope of each wave follows.
#[derive(Debug, Clone, Default)]
pub struct PlanScope<'a> {
    pools: BTreeMap<&'a PoolId, PoolSummary<'a>>,
}

impl<'a> PlanScope<'a> {
    /// Groups the members of the fleet by pool.
    pub fn new(state: &'a FleetState, observed: &FleetObservation) -> Self {
        let mut scope = Self::default();
        for (instance, member) in &state.members {
            let summary = scope.pools.entry(&member.pool).or_default();
            if observed.is_serving(instance, member) {
                summary.serving += 1;
            }
            let loan = state.loans.get(instance);
            if loan.is_none() {
                summary.home.push((instance, member));
                summary.in_progress += u32::from(state.tokens.contains_key(instance));
            }
            if let Some(loan) = loan {
                let home = scope.pools.entry(&loan.home).or_default();
                home.lent_out.push((instance, member));
            }
            if let Some(loan) = loan
                && loan.to != loan.home
            {
                let target = scope.pools.entry(&loan.to).or_default();
                target.lent_in.push((instance, member));
            }
        }
        scope
    }

    /// Members of a pool; absent if no instance is or will be in it.
    pub fn pool(&self, pool: &PoolId) -> Option<&PoolSummary<'a>> {
        self.pools.get(pool)
    }

    /// Whether a wave waits for instances of its pool that are lent to other pools.
    pub fn awaits_loans(&self, plan: &PlanRecord, progress: &PlanProgress, index: usize) -> bool {
        let (Some(wave), Some(done)) = (plan.waves.get(index), progress.done.get(index)) else {
            return false;
        };
        let lent_out = self
            .pools
            .get(&wave.pool)
            .map_or(&[][..], |summary| &summary.lent_out);
        let is_left = |(instance, member): &MemberRef<'a>| {
            in_zones(wave, member)
                && !rebooted_elsewhere(plan, progress, wave, instance)
                && !done.contains(*instance)
        };
        let unstarted = self.unstarted(plan, progress, index).len();
        let room = Self::startable_count(wave, progress, index, unstarted + lent_out.len());
        room > unstarted && lent_out.iter().any(is_left)
    }

    /// Instances that a wave has yet to start and that are not lent out.
    pub fn unstarted(&self, plan: &PlanRecord, progress: &PlanProgress, index: usize) -> Vec<MemberRef<'a>> {
        let (Some(wave), Some(done)) = (plan.waves.get(index), progress.done.get(index)) else {
            return Vec::new();
        };
        if matches!(&wave.action, WaveAction::Move { to } if *to == wave.pool) {
            return Vec::new();
        }
        let home = self
            .pools
            .get(&wave.pool)
            .map_or(&[][..], |summary| &summary.home);
        let is_left = |(instance, member): &&MemberRef<'a>| {
            in_zones(wave, member)
                && !rebooted_elsewhere(plan, progress, wave, instance)
                && !done.contains(*instance)
                && !progress.started.contains_key(*instance)
        };
        home.iter().filter(is_left).copied().collect()
    }

    /// Number of instances that a wave may still start, given the number of unstarted ones: a wave may be
    /// limited to a count.
    pub fn startable_count(
        wave: &PlanWave,
        progress: &PlanProgress,
        index: usize,
        unstarted: usize,
    ) -> usize {
        let Some(count) = wave.count else {
            return unstarted;
        };
        let done = progress
            .done
            .get(index)
            .map_or(0, std::collections::BTreeSet::len);
        let in_progress = progress
            .started
            .values()
            .filter(|wave| **wave as usize == index)
            .count();
        unstarted.min((count.get() as usize).saturating_sub(done + in_progress))
    }
}

/// Whether a wave of the plan has already rebooted an instance in its previous pool; it needs no second
/// reboot.
fn rebooted_elsewhere(
    plan: &PlanRecord,
    progress: &PlanProgress,
    wave: &PlanWave,
    instance: &InstanceId,
) -> bool {
    let mut waves = plan.waves.iter().zip(&progress.done);
    wave.action == WaveAction::Reboot
        && waves.any(|(other, done)| {
            other.action == WaveAction::Reboot && other.pool != wave.pool && done.contains(instance)
        })
}

fn in_zones(wave: &PlanWave, member: &PoolMember) -> bool {
    wave.zones.is_empty() || wave.zones.contains(&member.place.zone)
}

/// Whether a plan can start an instance: it is in service or quarantined.
pub fn is_startable(member: &PoolMember) -> bool {
    matches!(member.phase, MemberPhase::Serving | MemberPhase::Quarantined)
}
