//! All decisions of the coordinator: moves, allowances and lending, from the journal state and the reports of
//! sessions, workers and the instance list.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::journal::entry::EntryChange;
use crate::journal::fleet_state::FleetState;
use crate::journal::member::MemberPhase;
use crate::model::id::{InstanceId, PoolId, Revision, SessionId, TeamId, ZoneId};
use crate::model::unix_time::UnixMillis;
use crate::policy::allowance::{AllowanceEvent, AllowanceSettings, AllowanceSplit, TeamUsage};
use crate::policy::drain_tracker::{DrainEvent, DrainTracker};
use crate::policy::expiry_rule::ExpiryRule;
use crate::policy::lending::{LendingPolicy, LendingSettings, UnmetReason};
use crate::policy::move_planner::{MovePlanner, PlannerSettings};
use crate::policy::observation::{FleetObservation, PoolDemand};
use crate::policy::wait_reason::PlanWait;
use crate::policy::worker_command::{self, DrainLimits, WorkerCommand};
use crate::port::worker::task::WorkerStatus;

/// Millicores of one slot in pools without a service.
const SLOT_MILLICORES: u64 = 4000;

/// Number of further instances polled per round, beside those that are changing their phase.
const POLLED_PER_ROUND: usize = 64;

/// Report of one session to the coordinator.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionReport {
    /// Revision that the session had folded before it counted its work.
    pub folded: Revision,
    /// Number of requests and tasks in flight by instance; instances without any may be absent.
    pub in_flight: BTreeMap<InstanceId, u32>,
    /// Use and demand by team, in slots.
    pub teams: BTreeMap<TeamId, TeamUsage>,
    /// Slots for running and waiting work by pool, without overnight work.
    pub wanted: BTreeMap<PoolId, f64>,
    /// Instances that fail this session's health checks.
    pub unhealthy: BTreeSet<InstanceId>,
}

/// Inputs of the coordinator.
#[derive(Debug, Clone)]
pub enum CoordinatorEvent {
    /// A session is registered in the store. It may place work even if this session never heard from it.
    SessionRegistered(SessionId),
    /// A session sent a message, or its record in the store was renewed.
    SessionHeard(SessionId),
    /// A session sent its report.
    Reported(SessionId, SessionReport),
    /// A session left in an orderly way, after its last work had ended.
    Left(SessionId),
    /// A session has certainly ended; work that it sent may still be running.
    Ended(SessionId),
    /// Workers were polled; the status is absent for those that did not answer.
    WorkersPolled(Vec<(InstanceId, Option<WorkerStatus>)>),
    /// The instance list was read.
    InstancesListed(BTreeSet<InstanceId>),
    /// The availability zones that cannot be reached have changed to these.
    ZonesUnreachable(BTreeSet<ZoneId>),
}

/// Settings of the coordinator's decisions.
#[derive(Debug, Clone)]
pub struct CoordinatorSettings {
    /// Settings of the roll-out of plans.
    pub planner: PlannerSettings,
    /// Settings of lending; absent to disable it.
    pub lending: Option<LendingSettings>,
    /// When running tasks are checkpointed or stopped for a drain.
    pub drain: DrainLimits,
    /// Maximum age of a session's view with which it still starts work.
    pub freshness: Duration,
}

impl Default for CoordinatorSettings {
    fn default() -> Self {
        Self {
            planner: PlannerSettings::default(),
            lending: Some(LendingSettings::default()),
            drain: DrainLimits::default(),
            freshness: crate::policy::expiry_rule::DEFAULT_FRESHNESS,
        }
    }
}

/// Result of one round.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CoordinatorStep {
    /// Changes to append as one journal entry, valid only for the state that they were planned from.
    pub changes: Vec<EntryChange>,
    /// Instances and waves that wait, with the reasons.
    pub waits: Vec<PlanWait>,
    /// Pools whose shortage lending does not meet.
    pub unmet: BTreeMap<PoolId, UnmetReason>,
}

/// Decision state of one term. It is not persisted: each new coordinator starts with an empty one.
#[derive(Debug)]
pub struct CoordinatorPlan {
    settings: CoordinatorSettings,
    planner: MovePlanner,
    lending: Option<LendingPolicy>,
    allowances: AllowanceSplit,
    drain_tracker: DrainTracker,
    reports: BTreeMap<SessionId, SessionReport>,
    workers: BTreeMap<InstanceId, Option<WorkerStatus>>,
    listed: Option<BTreeSet<InstanceId>>,
    unreachable: BTreeSet<ZoneId>,
    max_task_time: Duration,
    last_polled: Option<InstanceId>,
}

impl CoordinatorPlan {
    /// Creates the state of a new term.
    ///
    /// # Errors
    /// `bad_record` if the freshness is out of range.
    pub fn new(now: Instant, settings: CoordinatorSettings) -> crate::error::Result<Self> {
        let rule = ExpiryRule::new(settings.freshness, Duration::ZERO)?;
        Ok(Self {
            planner: MovePlanner::new(settings.planner.clone()),
            lending: settings.lending.clone().map(LendingPolicy::new),
            allowances: AllowanceSplit::new(now, AllowanceSettings::new(rule)),
            drain_tracker: DrainTracker::new(Duration::ZERO),
            settings,
            reports: BTreeMap::new(),
            workers: BTreeMap::new(),
            listed: None,
            unreachable: BTreeSet::new(),
            max_task_time: Duration::ZERO,
            last_polled: None,
        })
    }

    /// The planner of moves, whose learned times serve forecasts.
    pub fn planner(&self) -> &MovePlanner {
        &self.planner
    }

    /// Handles an event.
    pub fn handle_event(&mut self, now: Instant, event: CoordinatorEvent) {
        match event {
            CoordinatorEvent::SessionRegistered(session) => {
                self.drain_tracker
                    .handle_event(now, DrainEvent::Registered(session));
            }
            CoordinatorEvent::SessionHeard(session) => {
                self.drain_tracker
                    .handle_event(now, DrainEvent::Registered(session.clone()));
                self.allowances
                    .handle_event(now, AllowanceEvent::Activity(session));
            }
            CoordinatorEvent::Reported(session, report) => self.take_report(now, session, report),
            CoordinatorEvent::Left(session) => {
                self.reports.remove(&session);
                self.drain_tracker
                    .handle_event(now, DrainEvent::Left(session.clone()));
                self.allowances.handle_event(now, AllowanceEvent::Left(session));
            }
            CoordinatorEvent::Ended(session) => {
                self.reports.remove(&session);
                self.drain_tracker.handle_event(now, DrainEvent::Ended(session));
            }
            CoordinatorEvent::WorkersPolled(answers) => self.workers.extend(answers),
            CoordinatorEvent::InstancesListed(listed) => self.listed = Some(listed),
            CoordinatorEvent::ZonesUnreachable(zones) => self.unreachable = zones,
        }
    }

    fn take_report(&mut self, now: Instant, session: SessionId, report: SessionReport) {
        let drain = DrainEvent::Reported {
            session: session.clone(),
            revision: report.folded,
            in_flight: report.in_flight.clone(),
        };
        self.drain_tracker.handle_event(now, drain);
        let allowance = AllowanceEvent::Reported {
            session: session.clone(),
            folded: report.folded,
            teams: report.teams.clone(),
        };
        self.allowances.handle_event(now, allowance);
        self.reports.insert(session, report);
    }

    /// Instances whose workers to poll in this round: all that are changing their phase, and a part of the
    /// others in round-robin order.
    pub fn instances_to_poll(&mut self, state: &FleetState) -> Vec<InstanceId> {
        let is_changing_phase = |phase| !matches!(phase, MemberPhase::Serving | MemberPhase::Quarantined);
        let changing = state
            .members
            .iter()
            .filter(|(_, member)| is_changing_phase(member.phase));
        let mut polled: BTreeSet<InstanceId> = changing.map(|(instance, _)| instance.clone()).collect();
        let after = self.last_polled.clone();
        let later = state
            .members
            .keys()
            .filter(|instance| after.as_ref().is_none_or(|last| *instance > last));
        let next: Vec<InstanceId> = later.take(POLLED_PER_ROUND).cloned().collect();
        // Fewer than a full round means the end of the fleet; the next round starts from the beginning.
        let is_end = next.len() < POLLED_PER_ROUND;
        self.last_polled = if is_end { None } else { next.last().cloned() };
        polled.extend(next);
        polled.into_iter().collect()
    }

    /// Plans the next journal entry.
    pub fn step(&mut self, now: Instant, wall_time: UnixMillis, state: &FleetState) -> CoordinatorStep {
        self.update_max_task_time(state);
        self.workers
            .retain(|instance, _| state.members.contains_key(instance));
        let observed = self.observe(now, state);
        let planned = self.planner.plan(now, wall_time, state, &observed);
        let mut step = CoordinatorStep {
            changes: planned.changes,
            waits: planned.waits,
            unmet: BTreeMap::new(),
        };
        // The planner and lending work from the same state, so only one of them may change memberships per
        // entry.
        if let Some(lending) = &mut self.lending
            && step.changes.is_empty()
        {
            let lent = lending.step(now, wall_time, state, &observed);
            step.changes.extend(lent.changes);
            step.unmet = lent.unmet;
        }
        step.changes.extend(self.allowances.step(now, state));
        step
    }

    /// Worker commands that are due in a committed state.
    pub fn due_commands(
        &mut self,
        now: Instant,
        wall_time: UnixMillis,
        state: &FleetState,
    ) -> Vec<WorkerCommand> {
        let observed = self.observe(now, state);
        worker_command::due_commands(state, &observed, wall_time, self.settings.drain)
    }

    /// Raises the maximum task time to that of the records. It never falls within a term, because work in
    /// progress keeps the deadline or lease time it started with.
    fn update_max_task_time(&mut self, state: &FleetState) {
        let services = state
            .records
            .services
            .values()
            .map(|service| service.max_deadline_ms);
        let queues = state.records.queues.values().map(|queue| queue.task_lease_ms);
        // With an offline grant for its key, a session may start work that much later.
        let grants = state.records.keys.values().map(|key| key.offline_grant_ms);
        let max_time = services.chain(queues).max().unwrap_or_default() + grants.max().unwrap_or_default();
        let max_time = Duration::from_millis(max_time);
        if max_time <= self.max_task_time {
            return;
        }
        self.max_task_time = max_time;
        self.drain_tracker.raise_deadline(max_time);
        if let Ok(rule) = ExpiryRule::new(self.settings.freshness, max_time) {
            self.allowances.set_expiry_rule(rule);
        }
    }

    /// Combines all reports into the observed state of the fleet.
    pub fn observe(&mut self, now: Instant, state: &FleetState) -> FleetObservation {
        let mut observed = FleetObservation {
            unreachable_zones: self.unreachable.clone(),
            acknowledged_revision: self.drain_tracker.acknowledged_revision(),
            demand: self.demand(state),
            ..FleetObservation::default()
        };
        for report in self.reports.values() {
            observed.unhealthy.extend(report.unhealthy.iter().cloned());
        }
        if let Some(listed) = &self.listed {
            let missing = state
                .members
                .keys()
                .filter(|instance| !listed.contains(*instance));
            observed.missing.extend(missing.cloned());
        }
        for (instance, status) in &self.workers {
            let Some(status) = status else {
                observed.unhealthy.insert(instance.clone());
                continue;
            };
            observed
                .completed_operations
                .insert(instance.clone(), status.operation);
            observed
                .joined_generations
                .insert(instance.clone(), status.generation);
            let Some(member) = state.members.get(instance) else {
                continue;
            };
            let has_drained =
                status.operation >= member.phase_since && !status.accepting && status.running == 0;
            if has_drained && self.drain_tracker.is_drained(now, instance, member.phase_since) {
                observed.idle.insert(instance.clone());
            }
        }
        observed
    }

    fn demand(&self, state: &FleetState) -> BTreeMap<PoolId, PoolDemand> {
        let mut demand: BTreeMap<PoolId, PoolDemand> = BTreeMap::new();
        for report in self.reports.values() {
            for (pool, wanted) in &report.wanted {
                demand.entry(pool.clone()).or_default().wanted += wanted;
            }
        }
        demand.retain(|pool, demand| {
            demand.slots_per_instance = slots_per_instance(state, pool);
            demand.slots_per_instance > 0.0
        });
        demand
    }
}

/// Slots of one instance of a pool; 0 for a pool without instances.
fn slots_per_instance(state: &FleetState, pool: &PoolId) -> f64 {
    if let Some(service) = state.service_of_pool(pool) {
        return f64::from(service.slots_per_backend.get());
    }
    let member = state.members.values().find(|member| member.pool == *pool);
    member.map_or(0.0, |member| {
        (member.place.resources.cores.get() / SLOT_MILLICORES) as f64
    })
}
