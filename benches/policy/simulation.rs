//! One run: a row's decision code against the same seeded demand and faults.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::journal::entry::EntryChange;
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::{MemberPhase, PlanPhase};
use figloft::model::id::InstanceId;
use figloft::model::priority::WorkPriority;
use figloft::model::unix_time::UnixMillis;
use figloft::policy::budget_ledger::{BudgetLedger, ServiceBudget};
use figloft::policy::lending::LendingPolicy;
use figloft::policy::move_planner::MovePlanner;
use figloft::policy::observation::{FleetObservation, PoolDemand};
use figloft::policy::worker_command::{self, DrainLimits};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::demand::{self, BenchJob};
use crate::dispatch::Dispatch;
use crate::fleet;
use crate::machine::Machine;
use crate::measure::{Measures, Meter};
use crate::setup::{self, BenchUser, FaultLevel, RowKind, SLOTS};

/// Shortest run, in seconds.
const SHORTEST_S: f64 = 4.0 * 3600.0;
/// Longest run, in seconds.
const LONGEST_S: f64 = 20.0 * 3600.0;
/// When the plan is written, in seconds.
const PLAN_AT_S: f64 = 600.0;
/// Seconds between losses of the holder, with faults on.
const HOLDER_S: f64 = 1800.0;
/// Seconds without a holder.
const TAKEOVER_S: f64 = 8.0;
/// Jobs that may wait in one queue.
const MAX_WAITING: usize = 5000;
/// Entry sessions, zones that watch the journal.
const SESSIONS: f64 = 7.0;
const ZONES: u64 = 4;

/// Priorities for which a caller waits.
const CALLERS: [WorkPriority; 2] = [WorkPriority::Urgent, WorkPriority::Bench];
/// Overnight jobs that each team always has waiting in each queue.
const OVERNIGHT_WAITING: usize = 3;

struct Simulation {
    user: BenchUser,
    faults: FaultLevel,
    kind: RowKind,
    state: FleetState,
    planner: MovePlanner,
    machines: BTreeMap<InstanceId, Machine>,
    lending: Option<LendingPolicy>,
    dispatch: Dispatch,
    overnight_random: StdRng,
    random: StdRng,
    fault_random: StdRng,
    seconds: f64,
    start: Instant,
    meter: Meter,
    store_calls: f64,
    job_events: f64,
    done_at: Option<f64>,
    has_trace: bool,
}

/// Runs one row.
pub fn run(user: BenchUser, faults: FaultLevel, seed: u64, kind: RowKind, has_trace: bool) -> Measures {
    let state = setup::fleet_state(user);
    let mut fault_random = StdRng::seed_from_u64(seed + 1_000_000);
    let mut machines = BTreeMap::new();
    for (instance, member) in &state.members {
        let machine = Machine {
            joined: member.generation,
            reboot_factor: fault_random.random_range(0.9..1.1),
            ..Machine::default()
        };
        machines.insert(instance.clone(), machine);
    }
    let mut simulation = Simulation {
        user,
        faults,
        kind,
        planner: MovePlanner::new(kind.planner()),
        state,
        machines,
        lending: kind.lending().map(LendingPolicy::new),
        dispatch: Dispatch::new(user),
        overnight_random: StdRng::seed_from_u64(seed + 2_000_000),
        random: StdRng::seed_from_u64(seed),
        fault_random,
        seconds: 0.0,
        start: Instant::now(),
        meter: Meter::default(),
        store_calls: 0.0,
        job_events: 0.0,
        done_at: None,
        has_trace,
    };
    simulation.meter.has_trace = has_trace;
    while simulation.goes_on() {
        simulation.second();
    }
    simulation.finish()
}

impl Simulation {
    fn goes_on(&self) -> bool {
        let is_done = self.done_at.is_some() && self.seconds >= SHORTEST_S;
        !is_done && self.seconds < LONGEST_S
    }

    fn second(&mut self) {
        self.seconds += 1.0;
        if self.seconds == PLAN_AT_S {
            let change = setup::plan_change(&self.state);
            self.land(vec![change]);
        }
        self.arrive();
        self.fail();
        self.run_tasks();
        self.control();
        self.dispatch();
        self.measure();
    }

    fn arrive(&mut self) {
        let now = self.now();
        for queue in 0..5 {
            for job in demand::arrivals(self.user, queue, self.seconds, &mut self.random) {
                if self.dispatch.waiting(queue, &CALLERS) >= MAX_WAITING {
                    self.meter.measures.refusals += 1;
                    continue;
                }
                self.dispatch.push(now, queue, job, false);
                self.job_events += 1.0;
            }
            for team in 0..6 {
                while self.dispatch.overnight(queue, team) < OVERNIGHT_WAITING {
                    let job = demand::overnight(team, self.seconds, &mut self.overnight_random);
                    self.dispatch.push(now, queue, job, false);
                }
            }
        }
    }

    fn fail(&mut self) {
        if self.faults == FaultLevel::None {
            return;
        }
        let count = self.machines.len();
        if self.fault_random.random_bool(1.0 / 900.0) {
            let index = self.fault_random.random_range(0..count);
            self.fail_one(index);
        }
        if self.faults == FaultLevel::Waves && self.seconds as u64 % 2700 == 1500 {
            let first = self.fault_random.random_range(0..count);
            for index in first..first + 4 {
                self.fail_one(index % count);
            }
        }
    }

    fn fail_one(&mut self, index: usize) {
        let until = self.seconds + self.fault_random.random_range(120.0..420.0);
        if let Some(machine) = self.machines.values_mut().nth(index) {
            machine.down_until = machine.down_until.max(until);
        }
    }

    fn run_tasks(&mut self) {
        let now = self.now();
        for machine in self.machines.values_mut() {
            let before: Vec<usize> = machine.tasks.iter().map(|(_, job)| job.team).collect();
            let again = machine.pass(self.seconds);
            for team in before {
                self.dispatch.ended(team);
            }
            for (_, job) in &machine.tasks {
                self.dispatch.running[job.team] += 1;
            }
            self.job_events += again.len() as f64;
            for (queue, job) in again {
                self.dispatch.push(now, queue, job, true);
            }
        }
    }

    fn observe(&self) -> FleetObservation {
        let mut seen = FleetObservation {
            acknowledged_revision: self.state.revision,
            ..FleetObservation::default()
        };
        for (instance, machine) in &self.machines {
            if !machine.is_up(self.seconds) {
                seen.unhealthy.insert(instance.clone());
                continue;
            }
            if machine.is_drained && machine.tasks.is_empty() {
                seen.idle.insert(instance.clone());
            }
            seen.completed_operations.insert(instance.clone(), machine.done);
            seen.joined_generations.insert(instance.clone(), machine.joined);
            let left = Duration::from_secs_f64(machine.work_left().max(0.0));
            seen.drain_times.insert(instance.clone(), left);
        }
        for queue in 0..5 {
            let demand = PoolDemand {
                wanted: self.wanted(queue),
                slots_per_instance: f64::from(SLOTS),
            };
            seen.demand.insert(fleet::id(&setup::pool_name(queue)), demand);
        }
        seen
    }

    /// Slots wanted by callers; overnight work can wait and takes what is left.
    fn wanted(&self, queue: usize) -> f64 {
        let tasks = self.machines.values().flat_map(|machine| &machine.tasks);
        let running = tasks.filter(|(of, job)| *of == queue && job.priority != WorkPriority::Overnight);
        (self.dispatch.waiting(queue, &CALLERS) + running.count()) as f64
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.seconds)
    }

    fn control(&mut self) {
        if self.faults != FaultLevel::None {
            let since = self.seconds % HOLDER_S;
            if since == 0.0 {
                self.planner = MovePlanner::new(self.kind.planner());
                self.lending = self.kind.lending().map(LendingPolicy::new);
            }
            if since < TAKEOVER_S {
                return;
            }
        }
        let seen = self.observe();
        let now = self.now();
        let wall = UnixMillis::new((self.seconds * 1000.0) as u64);
        let step = self.planner.plan(now, wall, &self.state, &seen);
        let is_quiet = step.changes.is_empty();
        self.land_checked(step.changes, &seen);
        // Both plan from the same state, so that only one of them changes memberships at a time.
        if is_quiet && let Some(lending) = &mut self.lending {
            let lent = lending.step(now, wall, &self.state, &seen);
            self.land_checked(lent.changes, &seen);
        }
        let rule = self.drain_rule();
        for effect in worker_command::due_commands(&self.state, &seen, wall, rule) {
            if let Some(machine) = self.machines.get_mut(effect.instance()) {
                machine.carry_out(&effect, self.seconds);
            }
        }
    }

    fn drain_rule(&self) -> DrainLimits {
        match self.kind {
            RowKind::Static | RowKind::Greedy => DrainLimits {
                checkpoint_threshold: None,
                ..DrainLimits::default()
            },
            RowKind::Previous | RowKind::Current => DrainLimits::default(),
        }
    }

    fn land_checked(&mut self, changes: Vec<EntryChange>, seen: &FleetObservation) {
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            self.check_graceful(change);
        }
        let before = BudgetLedger::new(&self.state, seen);
        self.land(changes);
        let after = BudgetLedger::new(&self.state, seen);
        for (service, budget) in after.services() {
            let slack = before.service(service).map_or(0, ServiceBudget::slack);
            self.meter.measures.budget_violations += u32::from(budget.slack() < slack.min(0));
        }
    }

    fn check_graceful(&mut self, change: &EntryChange) {
        let EntryChange::SetPhase {
            instance,
            phase: MemberPhase::Drained,
            ..
        } = change
        else {
            return;
        };
        let has_work = self
            .machines
            .get(instance)
            .is_some_and(|machine| !machine.tasks.is_empty());
        self.meter.measures.graceful_violations += u32::from(has_work);
    }

    fn land(&mut self, changes: Vec<EntryChange>) {
        for change in &changes {
            if self.has_trace {
                trace(self.kind, self.seconds, change);
            }
            let is_lending = matches!(change, EntryChange::LendInstance { plan: None, .. });
            self.meter.measures.lending_moves += u32::from(is_lending);
            let is_move = match change {
                EntryChange::StartMove { .. } => true,
                EntryChange::LendInstance { plan, .. } => plan.is_some(),
                _ => false,
            };
            self.meter.measures.moves += u32::from(is_move);
        }
        fleet::fold(&mut self.state, changes);
        self.store_calls += 1.0 + ZONES as f64;
        let is_complete = self
            .state
            .plans
            .values()
            .any(|plan| plan.phase == PlanPhase::Complete);
        if is_complete && self.done_at.is_none() {
            self.done_at = Some(self.seconds);
        }
    }

    fn dispatch(&mut self) {
        let slots = self.serving_slots();
        self.dispatch.set_shares(slots);
        let now = self.now();
        for queue in 0..5 {
            self.preempt(now, queue);
            self.fill(now, queue);
        }
    }

    /// Instances that serve a pool, least loaded first.
    fn serving(&self, queue: usize) -> Vec<InstanceId> {
        let pool = self.dispatch.pool(queue);
        let serving = self
            .state
            .members
            .iter()
            .filter(|(_, member)| member.pool == *pool && member.phase == MemberPhase::Serving);
        serving.map(|(instance, _)| instance.clone()).collect()
    }

    /// Saves overnight tasks for urgent jobs that would have to wait.
    fn preempt(&mut self, now: Instant, queue: usize) {
        let waiting = self.dispatch.waiting(queue, &[WorkPriority::Urgent]);
        if waiting == 0 {
            return;
        }
        let members = self.serving(queue);
        let free: usize = members
            .iter()
            .map(|instance| self.machines[instance].free(self.seconds))
            .sum();
        let mut short = waiting.saturating_sub(free);
        for instance in members {
            let Some(machine) = self.machines.get_mut(&instance) else {
                continue;
            };
            while short > 0 {
                let overnight = |(_, job): &(usize, BenchJob)| job.priority == WorkPriority::Overnight;
                let Some(index) = machine.tasks.iter().position(overnight) else {
                    break;
                };
                let (queue, job) = machine.tasks.swap_remove(index);
                self.dispatch.ended(job.team);
                self.dispatch.push(now, queue, job, true);
                short -= 1;
            }
        }
    }

    fn fill(&mut self, now: Instant, queue: usize) {
        for instance in self.serving(queue) {
            let Some(machine) = self.machines.get_mut(&instance) else {
                continue;
            };
            for _ in 0..machine.free(self.seconds) {
                let Some(mut job) = self.dispatch.take(now, queue) else {
                    return;
                };
                let is_first = !std::mem::replace(&mut job.has_started, true);
                match job.priority {
                    _ if !is_first => {}
                    WorkPriority::Urgent => {
                        let wait = self.seconds - job.arrived;
                        self.meter.urgent_waits.push(wait);
                        if self.has_trace && wait > 3.5 {
                            let running = self.dispatch.running[job.team];
                            eprintln!(
                                "urgent {} waited {wait} s in p{queue}, team t{} runs {running}",
                                self.seconds, job.team
                            );
                        }
                    }
                    WorkPriority::Bench => {
                        self.meter.bench_wait += self.seconds - job.arrived;
                        self.meter.bench_jobs += 1;
                    }
                    WorkPriority::Overnight => {}
                }
                self.job_events += 1.0;
                machine.tasks.push((queue, job));
            }
        }
    }

    fn serving_slots(&self) -> f64 {
        let serving = self.state.members.iter().filter(|(instance, member)| {
            let machine = &self.machines[*instance];
            let is_spare = member.pool.as_str() == "spare";
            member.phase == MemberPhase::Serving && machine.is_up(self.seconds) && !is_spare
        });
        // Tasks that still run on draining instances use capacity too.
        let is_serving = |instance: &InstanceId| {
            self.state
                .members
                .get(instance)
                .is_some_and(|member| member.phase == MemberPhase::Serving)
        };
        let others = self.machines.iter().filter(|(instance, _)| !is_serving(instance));
        let draining: usize = others.map(|(_, machine)| machine.tasks.len()).sum();
        serving.count() as f64 * f64::from(SLOTS) + draining as f64
    }

    fn measure(&mut self) {
        let running = self.dispatch.running.map(f64::from);
        let limits = self.user.teams();
        let over = running
            .iter()
            .zip(limits)
            .filter(|(running, (_, limit))| **running > f64::from(*limit));
        self.meter.measures.limit_violations += over.count() as u32;
        let weights = limits.map(|(share, _)| f64::from(share));
        let wanted = self.dispatch.wanted();
        self.meter
            .second(&running, &wanted, &weights, self.serving_slots());
        if self.seconds >= PLAN_AT_S && self.done_at.is_none() {
            self.meter.measures.buffer_h += self.held_back() / 3600.0;
        }
        let per_session = (self.job_events / SESSIONS).min(10.0);
        self.store_calls += SESSIONS * (per_session + 0.5) + ZONES as f64 / 5.0;
        self.job_events = 0.0;
    }

    /// Healthy instances that serve no demand: the idle spare pool and planned stops.
    fn held_back(&self) -> f64 {
        let held = self.state.members.iter().filter(|(instance, member)| {
            let is_down = self.machines[*instance].down_until > self.seconds;
            let is_spare = member.pool.as_str() == "spare";
            !is_down && (is_spare || member.phase != MemberPhase::Serving)
        });
        held.count() as f64
    }

    fn finish(mut self) -> Measures {
        self.meter.measures.is_complete = self.done_at.is_some();
        self.meter.measures.rollout_s = self.done_at.unwrap_or(LONGEST_S) - PLAN_AT_S;
        let interrupted: u32 = self.machines.values().map(|machine| machine.interrupted).sum();
        self.meter.measures.graceful_violations += interrupted;
        let wrong = self
            .machines
            .values()
            .filter(|machine| machine.reboots != 1)
            .count() as u32;
        self.meter.measures.plan_violations = if self.done_at.is_some() { wrong } else { 0 };
        self.meter.finish(self.seconds, self.store_calls as u64)
    }
}

fn trace(kind: RowKind, seconds: f64, change: &EntryChange) {
    let name = kind.name();
    match change {
        EntryChange::StartMove { instance, .. } => eprintln!("{name} {seconds} starts {instance}"),
        EntryChange::CompleteMove { instance, .. } => eprintln!("{name} {seconds} completes {instance}"),
        EntryChange::LendInstance { instance, to, plan } => {
            let reason = plan.as_ref().map_or("demand", |plan| plan.as_str());
            eprintln!("{name} {seconds} lends {instance} to {to} for {reason}");
        }
        _ => {}
    }
}
