//! Decisions that concern several pools: allowances, maintenance waves and moves of instances between pools.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use crate::dispatch::allowance_split::PoolDemand;
use crate::dispatch::limit_turns::{DividedLimit, LimitTurns};
use crate::dispatch::pool_plan::{PoolPlan, PoolReport, WorkerUsage};
use crate::dispatch::pool_size::{PoolNeed, PoolSizer, SizingInput};
use crate::dispatch::site_config::SiteConfig;
use crate::dispatch::wave_plan::{
    InstanceEntry, InstanceOutcome, InstanceState, WavePlan, WaveProgress, WaveRequest,
};
use crate::model::id::{InstanceId, OrganisationId, PlanVersion, PoolId, WorkerId, ZoneId};
use crate::model::resource::ResourceSet;

/// Plans of a pool whose allowances are kept until the pool reports a later one. A pool without a leader confirms
/// none; the ceilings then bound what it may use.
const MAX_FOLLOWED_PLANS: usize = 32;

/// Number that identifies a maintenance wave.
pub type WaveNumber = u64;

/// A command that the fleet leader has to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetCommand {
    /// Store the plan of a pool, for the pool leader to read.
    PublishPlan(PoolId, PoolPlan),
    /// Store the progress of a wave and publish its state.
    StoreWave(WaveNumber, WaveProgress),
    /// Start the maintenance of an instance.
    StartMaintenance(InstanceId, WaveNumber),
    /// Move an instance to this pool.
    MoveInstance(InstanceId, PoolId),
}

/// State of the fleet leader.
#[derive(Debug, Clone, Default)]
pub struct FleetPlanner {
    config: SiteConfig,
    instances: BTreeMap<InstanceId, InstanceEntry>,
    has_instance_list: bool,
    reports: BTreeMap<PoolId, PoolReport>,
    plans: BTreeMap<PoolId, PoolPlan>,
    /// Allowances of the plans that this leader published and that a pool may still follow: the plan that its
    /// report names and later ones.
    followed: BTreeMap<PoolId, BTreeMap<PlanVersion, BTreeMap<OrganisationId, ResourceSet>>>,
    limit_turns: LimitTurns,
    waves: BTreeMap<WaveNumber, WavePlan>,
    unsaved_waves: BTreeSet<WaveNumber>,
    sizer: PoolSizer,
    /// Workers that ended because their instance was moved or is under maintenance. Their discovery entries
    /// remain for some seconds, in which they must neither get work nor count as capacity.
    departed: BTreeMap<WorkerId, DepartedWorker>,
    /// Zones under evacuation.
    closed_zones: BTreeSet<ZoneId>,
}

/// A worker that ended because its instance was moved or is under maintenance.
#[derive(Debug, Clone)]
struct DepartedWorker {
    pool: PoolId,
    at: Instant,
}

impl FleetPlanner {
    /// Creates a planner without configuration, instances or reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the configuration.
    pub fn set_config(&mut self, config: &SiteConfig) {
        self.config = config.clone();
    }

    /// Sets the plan that the previous leader stored for a pool; called at the start of a term.
    pub fn set_plan(&mut self, pool: PoolId, plan: PoolPlan) {
        self.plans.insert(pool, plan);
    }

    /// Replaces the zones under evacuation.
    pub fn set_closed_zones(&mut self, zones: &BTreeSet<ZoneId>) {
        if self.closed_zones != *zones {
            self.closed_zones.clone_from(zones);
        }
    }

    /// Zones that the list of instances names; empty if there is no list.
    pub fn known_zones(&self) -> BTreeSet<&ZoneId> {
        let entries = self.instances.values();
        entries.filter_map(|entry| entry.zone.as_ref()).collect()
    }

    /// Replaces the report of a pool. Departed workers that it no longer contains are forgotten.
    pub fn set_report(&mut self, pool: PoolId, report: PoolReport) {
        self.departed
            .retain(|worker, departed| departed.pool != pool || report.workers.contains_key(worker));
        if let Some(followed) = self.followed.get_mut(&pool) {
            *followed = followed.split_off(&report.plan);
        }
        self.reports.insert(pool, report);
    }

    /// Replaces the instances by the platform's list, read at `read_at`.
    pub fn set_instances(&mut self, read_at: Instant, instances: BTreeMap<InstanceId, InstanceEntry>) {
        // A worker that is listed as up again has restarted under the same id.
        let has_restarted = |worker: &WorkerId| {
            let mut up = instances
                .values()
                .filter(|entry| entry.state == InstanceState::Up);
            up.any(|entry| entry.worker.as_ref() == Some(worker))
        };
        self.departed
            .retain(|worker, departed| read_at <= departed.at || !has_restarted(worker));
        self.instances = instances;
        self.has_instance_list = true;
        for wave in self.waves.values_mut() {
            wave.set_instances(read_at, &self.instances);
        }
    }

    /// Adds a wave with its stored progress; a wave that is known already is left unchanged.
    pub fn set_wave(
        &mut self,
        now: Instant,
        number: WaveNumber,
        request: WaveRequest,
        progress: WaveProgress,
    ) {
        if let Entry::Vacant(entry) = self.waves.entry(number) {
            entry.insert(WavePlan::new(now, request, progress));
            self.unsaved_waves.insert(number);
        }
    }

    /// Handles the outcome of [`FleetCommand::StartMaintenance`].
    pub fn handle_maintenance_outcome(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        number: WaveNumber,
        outcome: InstanceOutcome,
    ) {
        if outcome == InstanceOutcome::Done {
            self.mark_departed(now, instance);
        }
        if let Some(wave) = self.waves.get_mut(&number)
            && wave.handle_outcome(now, instance, outcome)
        {
            self.unsaved_waves.insert(number);
        }
    }

    /// Handles the outcome of [`FleetCommand::MoveInstance`].
    pub fn handle_move_outcome(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        to: &PoolId,
        outcome: InstanceOutcome,
    ) {
        if outcome == InstanceOutcome::Done {
            self.mark_departed(now, instance);
        }
        self.sizer.handle_move_outcome(now, instance, to, outcome);
    }

    fn mark_departed(&mut self, now: Instant, instance: &InstanceId) {
        let Some(entry) = self.instances.get(instance) else {
            return;
        };
        let Some(worker) = &entry.worker else {
            return;
        };
        let report = self.reports.get(&entry.pool);
        if report.is_some_and(|report| report.workers.contains_key(worker)) {
            let departed = DepartedWorker {
                pool: entry.pool.clone(),
                at: now,
            };
            self.departed.insert(worker.clone(), departed);
        }
    }

    /// Target and available workers of the pools at the last decision.
    pub fn needs(&self) -> &BTreeMap<PoolId, PoolNeed> {
        self.sizer.needs()
    }

    /// Limits of organisations for which pools competed at the last decision.
    pub fn divided_limits(&self) -> &BTreeMap<OrganisationId, DividedLimit> {
        self.limit_turns.divided()
    }

    /// Whether a pool had fewer workers than it needs at the last decision.
    pub fn has_shortage(&self) -> bool {
        self.sizer.has_shortage()
    }

    /// Number of workers that each pool could have within seconds: the available ones, all instances that no other
    /// pool needs, and those that are on the way somewhere or under maintenance.
    pub fn growth(&self) -> BTreeMap<PoolId, u32> {
        let is_spare = |pool: &PoolId| self.config.pools.get(pool).is_some_and(|pool| pool.is_spare);
        let is_free = |(id, entry): &(&InstanceId, &InstanceEntry)| {
            let is_available = match entry.state {
                InstanceState::Up => is_spare(&entry.pool) || self.sizer.evacuating().contains(*id),
                InstanceState::Moving | InstanceState::Maintenance => true,
                InstanceState::Down => false,
            };
            is_available && !self.sizer.is_moving(id)
        };
        let free = self.instances.iter().filter(is_free).count();
        let surplus = |need: &PoolNeed| need.available.saturating_sub(need.target);
        let free = free as u32 + self.needs().values().map(surplus).sum::<u32>();
        let workers = |need: &PoolNeed| need.available + free - surplus(need);
        self.needs()
            .iter()
            .map(|(pool, need)| (pool.clone(), workers(need)))
            .collect()
    }

    /// Latest report of a pool.
    pub fn report(&self, pool: &PoolId) -> Option<&PoolReport> {
        self.reports.get(pool)
    }

    /// Whether the platform's list of instances is missing or expected to change soon, or whether a pool lacks workers:
    /// an instance may have become free since the list was read.
    pub fn needs_instance_list(&self) -> bool {
        !self.has_instance_list
            || self.sizer.is_busy()
            || self.sizer.has_shortage()
            || self.waves.values().any(WavePlan::is_active)
    }

    /// Returns the commands to execute at `now`. Without a list of instances only plans are published.
    pub fn decide(&mut self, now: Instant) -> Vec<FleetCommand> {
        let mut commands = Vec::new();
        if self.has_instance_list {
            let usages = self.worker_usages();
            self.advance_waves(now, &usages, &mut commands);
            self.resize_pools(now, &usages, &mut commands);
        }
        self.publish_plans(now, &mut commands);
        commands
    }

    fn advance_waves(
        &mut self,
        now: Instant,
        usages: &BTreeMap<WorkerId, WorkerUsage>,
        commands: &mut Vec<FleetCommand>,
    ) {
        for (number, wave) in &mut self.waves {
            wave.choose_evacuations(now, &self.instances, usages, &self.closed_zones);
            let ready = wave.take_ready(now, &self.instances, |entry| {
                is_evacuated(entry, &self.config, usages)
            });
            commands.extend(
                ready
                    .into_iter()
                    .map(|id| FleetCommand::StartMaintenance(id, *number)),
            );
            if wave.mark_complete() {
                self.unsaved_waves.insert(*number);
            }
        }
        for number in std::mem::take(&mut self.unsaved_waves) {
            if let Some(wave) = self.waves.get(&number) {
                commands.push(FleetCommand::StoreWave(number, wave.progress().clone()));
            }
        }
    }

    fn resize_pools(
        &mut self,
        now: Instant,
        usages: &BTreeMap<WorkerId, WorkerUsage>,
        commands: &mut Vec<FleetCommand>,
    ) {
        let pools: Vec<PoolId> = self.config.active_pools().cloned().collect();
        let spare = self.config.pools.iter().find(|(_, pool)| pool.is_spare);
        let reserved = self
            .waves
            .values()
            .flat_map(WavePlan::evacuating)
            .cloned()
            .collect();
        let input = SizingInput {
            pools: &pools,
            spare: spare.map(|(pool, _)| pool),
            reports: &self.reports,
            instances: &self.instances,
            reserved: &reserved,
            closed_zones: &self.closed_zones,
        };
        let config = &self.config;
        let moves = self
            .sizer
            .decide(now, input, |entry| is_evacuated(entry, config, usages));
        commands.extend(
            moves
                .into_iter()
                .map(|planned| FleetCommand::MoveInstance(planned.instance, planned.to)),
        );
    }

    fn worker_usages(&self) -> BTreeMap<WorkerId, WorkerUsage> {
        let usages = self.reports.values().flat_map(|report| &report.workers);
        usages.map(|(id, usage)| (id.clone(), usage.clone())).collect()
    }

    fn publish_plans(&mut self, now: Instant, commands: &mut Vec<FleetCommand>) {
        let pools: Vec<PoolId> = self.config.active_pools().cloned().collect();
        let allowances = self.allowances(now, &pools);
        for pool in &pools {
            let evacuating = self.evacuating_workers(pool);
            let granted = allowances.get(pool).cloned().unwrap_or_default();
            let ceilings = self.ceilings(pool, &granted);
            let maintenance_due = self.maintenance_due_workers(pool);
            let old = self.plans.entry(pool.clone()).or_default();
            let is_same = old.evacuating == evacuating
                && old.allowances == granted
                && old.maintenance_due == maintenance_due;
            if is_same && old.version.get() > 0 {
                continue;
            }
            let plan = PoolPlan {
                version: old.version.next(),
                allowances: granted,
                ceilings,
                evacuating,
                maintenance_due,
            };
            let followed = self.followed.entry(pool.clone()).or_default();
            followed.insert(plan.version, plan.allowances.clone());
            if followed.len() > MAX_FOLLOWED_PLANS {
                followed.pop_first();
            }
            *old = plan.clone();
            commands.push(FleetCommand::PublishPlan(pool.clone(), plan));
        }
    }

    /// Workers of a pool whose maintenance in a wave has not started.
    fn maintenance_due_workers(&self, pool: &PoolId) -> BTreeSet<WorkerId> {
        let instances = self.waves.values().flat_map(WavePlan::not_started);
        let entries = instances.filter_map(|id| self.instances.get(id));
        let of_pool = entries.filter(|entry| entry.pool == *pool);
        of_pool.filter_map(|entry| entry.worker.clone()).collect()
    }

    fn evacuating_workers(&self, pool: &PoolId) -> BTreeSet<WorkerId> {
        let in_waves = self.waves.values().flat_map(WavePlan::evacuating);
        let instances = in_waves.chain(self.sizer.evacuating());
        let entries = instances.filter_map(|id| self.instances.get(id));
        let of_pool = entries.filter(|entry| entry.pool == *pool);
        let workers = of_pool.filter_map(|entry| entry.worker.clone());
        let departed = self
            .departed
            .iter()
            .filter(|(_, departed)| departed.pool == *pool);
        workers
            .chain(departed.map(|(worker, _)| worker.clone()))
            .collect()
    }

    /// The most that a pool may use of the limit of each organisation until it confirms the next plan.
    fn ceilings(
        &self,
        pool: &PoolId,
        granted: &BTreeMap<OrganisationId, ResourceSet>,
    ) -> BTreeMap<OrganisationId, ResourceSet> {
        let ceilings = granted.iter().map(|(organisation, granted)| {
            let present = self.possible_usage(pool, organisation);
            (organisation.clone(), present.component_max(granted))
        });
        ceilings.collect()
    }

    /// Upper bound of what a pool may use of the limit of an organisation under its present plan, or of what
    /// it uses already if that is more.
    fn possible_usage(&self, pool: &PoolId, organisation: &OrganisationId) -> ResourceSet {
        let plan = self.plans.get(pool);
        let report = self.reports.get(pool);
        let used = report
            .and_then(|report| report.usage.get(organisation))
            .copied()
            .unwrap_or_default();
        let Some(plan) = plan else {
            return used;
        };
        let find = |bounds: &BTreeMap<OrganisationId, ResourceSet>| {
            bounds.get(organisation).copied().unwrap_or_default()
        };
        let confirmed = report.map(|report| report.plan);
        let followed = self.followed.get(pool);
        let bound = match confirmed {
            Some(confirmed) if confirmed == plan.version => find(&plan.allowances),
            // While plans follow each other quickly, the newest one is never confirmed.
            Some(confirmed) if followed.is_some_and(|plans| plans.contains_key(&confirmed)) => {
                let later = followed.into_iter().flat_map(|plans| plans.range(confirmed..));
                later.fold(ResourceSet::default(), |most, (_, bounds)| {
                    most.component_max(&find(bounds))
                })
            }
            _ => find(&plan.ceilings),
        };
        bound.component_max(&used)
    }

    fn allowances(
        &mut self,
        now: Instant,
        pools: &[PoolId],
    ) -> BTreeMap<PoolId, BTreeMap<OrganisationId, ResourceSet>> {
        let mut turns = std::mem::take(&mut self.limit_turns);
        let limits = self.config.organisations.iter();
        let limits = limits
            .map(|(organisation, config)| (organisation, config.limit))
            .filter(|(_, limit)| *limit != ResourceSet::default());
        let mut allowances: BTreeMap<PoolId, BTreeMap<OrganisationId, ResourceSet>> = BTreeMap::new();
        for (organisation, limit) in limits {
            let demands = pools
                .iter()
                .map(|pool| (pool.clone(), self.pool_demand(pool, organisation)));
            for (pool, granted) in turns.split(now, organisation, limit, demands.collect()) {
                let of_pool = allowances.entry(pool).or_default();
                of_pool.insert(organisation.clone(), granted);
            }
        }
        turns.retain(|organisation| self.config.organisations.contains_key(organisation));
        self.limit_turns = turns;
        allowances
    }

    fn pool_demand(&self, pool: &PoolId, organisation: &OrganisationId) -> PoolDemand {
        let ceiling = self.possible_usage(pool, organisation);
        let plan = self.plans.get(pool);
        let allowed = plan.and_then(|plan| plan.allowances.get(organisation));
        let allowed = allowed.copied().unwrap_or_default();
        let Some(report) = self.reports.get(pool) else {
            return PoolDemand {
                ceiling,
                allowed,
                ..PoolDemand::default()
            };
        };
        let find = |amounts: &BTreeMap<OrganisationId, ResourceSet>| {
            amounts.get(organisation).copied().unwrap_or_default()
        };
        PoolDemand {
            ceiling,
            allowed,
            used: find(&report.usage),
            pinned: find(&report.pinned),
            wanted: find(&report.wanted),
            next_start: report.next_starts.get(organisation).copied(),
        }
    }
}

/// Whether nothing runs on an instance and the pool leader starts nothing on it.
fn is_evacuated(
    entry: &InstanceEntry,
    config: &SiteConfig,
    usages: &BTreeMap<WorkerId, WorkerUsage>,
) -> bool {
    let is_off = config.pools.get(&entry.pool).is_some_and(|pool| pool.is_spare);
    let Some(worker) = entry.worker.as_ref().filter(|_| !is_off) else {
        return entry.state == InstanceState::Up;
    };
    usages
        .get(worker)
        .is_some_and(|usage| usage.is_evacuating && usage.runs == 0)
}
