//! All decisions of the holder of the coordinator duty: moves, allowances and lending, from the journal and
//! from what sessions, workers and the instance list report.

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

/// Cores of one slot in pools without a service, in thousandths.
const SLOT_MILLICORES: u64 = 4000;

/// Serving instances whose workers are polled in one round, besides those that are under way.
const POLLED_PER_ROUND: usize = 64;

/// What one session reports to the holder.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionReport {
    /// Revision that the session had folded before it counted.
    pub folded: Revision,
    /// Requests and tasks in flight by instance; instances without any may be absent.
    pub in_flight: BTreeMap<InstanceId, u32>,
    /// Use by team.
    pub teams: BTreeMap<TeamId, TeamUsage>,
    /// Slots wanted by pool, running and waiting work together, without work that can wait overnight.
    pub wanted: BTreeMap<PoolId, f64>,
    /// Instances that fail the session's health checks.
    pub unhealthy: BTreeSet<InstanceId>,
}

/// An event for the holder.
#[derive(Debug, Clone)]
pub enum CoordinatorEvent {
    /// A session is registered in the store; it may place work although nothing was heard of it.
    SessionRegistered(SessionId),
    /// A session was heard, or its record in the store was renewed.
    SessionHeard(SessionId),
    /// A session's report.
    Reported(SessionId, SessionReport),
    /// A session left after its last work had ended.
    Left(SessionId),
    /// A session has certainly ended, possibly with work still running.
    Ended(SessionId),
    /// Answers of polled workers; absent for those that did not answer.
    WorkersPolled(Vec<(InstanceId, Option<WorkerStatus>)>),
    /// Instances in the instance list.
    InstancesListed(BTreeSet<InstanceId>),
    /// Availability zones that cannot be reached.
    ZonesUnreachable(BTreeSet<ZoneId>),
}

/// Settings of the holder's decisions.
#[derive(Debug, Clone)]
pub struct CoordinatorSettings {
    /// Settings of moves.
    pub planner: PlannerSettings,
    /// Settings of lending; absent to keep pools fixed.
    pub lending: Option<LendingSettings>,
    /// When running tasks are saved or stopped.
    pub drain: DrainLimits,
    /// Age up to which a session's view counts as confirmed.
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
    /// Changes for one journal entry, valid only on the state that they were planned from.
    pub changes: Vec<EntryChange>,
    /// Reasons for waits of moves.
    pub waits: Vec<PlanWait>,
    /// Shortages that lending does not meet.
    pub unmet: BTreeMap<PoolId, UnmetReason>,
}

/// The decisions of one term of the duty. A new holder starts with an empty one.
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
    /// Creates the decisions of a new term.
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

    /// The planner, for forecasts.
    pub fn planner(&self) -> &MovePlanner {
        &self.planner
    }

    /// Takes an event.
    pub fn on_event(&mut self, now: Instant, event: CoordinatorEvent) {
        match event {
            CoordinatorEvent::SessionRegistered(session) => {
                self.drain_tracker.on_event(now, DrainEvent::Registered(session));
            }
            CoordinatorEvent::SessionHeard(session) => {
                self.drain_tracker
                    .on_event(now, DrainEvent::Registered(session.clone()));
                self.allowances
                    .handle_event(now, AllowanceEvent::Activity(session));
            }
            CoordinatorEvent::Reported(session, report) => self.take_report(now, session, report),
            CoordinatorEvent::Left(session) => {
                self.reports.remove(&session);
                self.drain_tracker
                    .on_event(now, DrainEvent::Left(session.clone()));
                self.allowances.handle_event(now, AllowanceEvent::Left(session));
            }
            CoordinatorEvent::Ended(session) => {
                self.reports.remove(&session);
                self.drain_tracker.on_event(now, DrainEvent::Ended(session));
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
        self.drain_tracker.on_event(now, drain);
        let allowance = AllowanceEvent::Reported {
            session: session.clone(),
            folded: report.folded,
            teams: report.teams.clone(),
        };
        self.allowances.handle_event(now, allowance);
        self.reports.insert(session, report);
    }

    /// Instances whose workers to poll next: all that are under way, and some of the others in turn.
    pub fn instances_to_poll(&mut self, state: &FleetState) -> Vec<InstanceId> {
        let is_under_way = |phase| !matches!(phase, MemberPhase::Serving | MemberPhase::Quarantined);
        let under_way = state
            .members
            .iter()
            .filter(|(_, member)| is_under_way(member.phase));
        let mut polled: BTreeSet<InstanceId> = under_way.map(|(instance, _)| instance.clone()).collect();
        let after = self.last_polled.clone();
        let later = state
            .members
            .keys()
            .filter(|instance| after.as_ref().is_none_or(|last| *instance > last));
        let next: Vec<InstanceId> = later.take(POLLED_PER_ROUND).cloned().collect();
        // The end of the fleet is reached when fewer are left; the next round starts again.
        let is_end = next.len() < POLLED_PER_ROUND;
        self.last_polled = if is_end { None } else { next.last().cloned() };
        polled.extend(next);
        polled.into_iter().collect()
    }

    /// Plans the next entry.
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
        // Both plan from the same state, so that only one of them changes memberships in an entry.
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

    /// Side effects that are due on a state that has landed.
    pub fn due_commands(
        &mut self,
        now: Instant,
        wall_time: UnixMillis,
        state: &FleetState,
    ) -> Vec<WorkerCommand> {
        let observed = self.observe(now, state);
        worker_command::due_commands(state, &observed, wall_time, self.settings.drain)
    }

    /// Follows the longest deadline and lease time of the records. It never falls in a term, because started
    /// work keeps its own.
    fn update_max_task_time(&mut self, state: &FleetState) {
        let services = state
            .records
            .services
            .values()
            .map(|service| service.max_deadline_ms);
        let queues = state.records.queues.values().map(|queue| queue.task_lease_ms);
        // A session may start work for a key with an offline grant that much longer.
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

    /// What is seen now.
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
