//! Fake instances that carry out the planner's side effects on a virtual clock.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use figloft::journal::entry::EntryChange;
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::MemberPhase;
use figloft::model::id::{Generation, InstanceId, Revision};
use figloft::model::unix_time::UnixMillis;
use figloft::policy::budget_ledger::BudgetLedger;
use figloft::policy::move_planner::{MovePlanner, PlannerSettings, PlannerStep};
use figloft::policy::observation::FleetObservation;
use figloft::policy::worker_command::{self, DrainLimits, WorkerCommand};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fleet;

/// One fake instance.
#[derive(Debug, Clone, Default)]
pub struct FakeInstance {
    /// Highest operation carried out.
    pub done: Revision,
    pub joined: Generation,
    pub is_drained: bool,
    /// Seconds until the running work ends by itself.
    pub work_left: f64,
    /// Reboot under way: its operation and the seconds left.
    pub reboot: Option<(Revision, f64)>,
    pub reboots: u32,
    /// Seconds until a failed instance is back.
    pub down_left: f64,
}

/// A fleet under a planner.
#[derive(Debug, Clone)]
pub struct FakeWorld {
    pub state: FleetState,
    pub planner: MovePlanner,
    pub settings: PlannerSettings,
    pub instances: BTreeMap<InstanceId, FakeInstance>,
    pub seconds: f64,
    pub random: StdRng,
    /// Chance that an order is lost.
    pub loss: f64,
    start: Instant,
}

/// Seconds of a reboot.
pub const REBOOT_S: f64 = 300.0;
/// Seconds of one step.
pub const STEP_S: f64 = 5.0;

impl FakeWorld {
    pub fn new(state: FleetState, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut instances = BTreeMap::new();
        for (instance, member) in &state.members {
            let fake = FakeInstance {
                joined: member.generation,
                work_left: random.random_range(0.0..200.0),
                ..FakeInstance::default()
            };
            instances.insert(instance.clone(), fake);
        }
        let settings = PlannerSettings::default();
        Self {
            state,
            planner: MovePlanner::new(settings.clone()),
            settings,
            instances,
            seconds: 0.0,
            random,
            loss: 0.0,
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.seconds)
    }

    pub fn wall(&self) -> UnixMillis {
        UnixMillis::new((self.seconds * 1000.0) as u64)
    }

    /// What a holder sees: the truth, with all sessions at the newest revision.
    pub fn seen(&self) -> FleetObservation {
        let mut seen = FleetObservation {
            acknowledged_revision: self.state.revision,
            ..FleetObservation::default()
        };
        for (instance, fake) in &self.instances {
            if fake.down_left > 0.0 || fake.reboot.is_some() {
                seen.unhealthy.insert(instance.clone());
            }
            if fake.is_drained && fake.work_left <= 0.0 {
                seen.idle.insert(instance.clone());
            }
            seen.completed_operations.insert(instance.clone(), fake.done);
            seen.joined_generations.insert(instance.clone(), fake.joined);
            let left = Duration::from_secs_f64(fake.work_left.max(0.0));
            seen.drain_times.insert(instance.clone(), left);
        }
        seen
    }

    /// Plans a step without folding it.
    pub fn plan(&mut self) -> PlannerStep {
        let seen = self.seen();
        let (now, wall) = (self.now(), self.wall());
        self.planner.plan(now, wall, &self.state, &seen)
    }

    /// Folds changes and checks that no budget is pushed beyond its bound by them.
    pub fn land(&mut self, changes: Vec<EntryChange>) {
        if changes.is_empty() {
            return;
        }
        let seen = self.seen();
        let before = BudgetLedger::new(&self.state, &seen);
        for change in &changes {
            self.check_graceful(change);
        }
        fleet::fold(&mut self.state, changes);
        let after = BudgetLedger::new(&self.state, &seen);
        for (service, budget) in after.services() {
            let slack_before = before.service(service).expect("service").slack();
            let slack = budget.slack();
            assert!(
                slack >= slack_before.min(0),
                "service {service}: slack {slack_before} to {slack}"
            );
        }
    }

    fn check_graceful(&self, change: &EntryChange) {
        if let EntryChange::SetPhase {
            instance,
            phase: MemberPhase::Drained,
            ..
        } = change
        {
            let fake = &self.instances[instance];
            assert!(fake.work_left <= 0.0, "{instance} is drained with work running");
        }
    }

    /// Issues the due side effects.
    pub fn issue(&mut self) {
        let seen = self.seen();
        let effects = worker_command::due_commands(&self.state, &seen, self.wall(), DrainLimits::default());
        for effect in effects {
            if self.random.random_bool(self.loss) {
                continue;
            }
            self.carry_out(&effect);
        }
    }

    fn carry_out(&mut self, effect: &WorkerCommand) {
        let instance = effect.instance();
        let fake = self.instances.get_mut(instance).expect("instance");
        if fake.down_left > 0.0 || fake.reboot.is_some() {
            return;
        }
        match effect {
            WorkerCommand::Drain { operation, .. } if *operation > fake.done => {
                fake.done = *operation;
                fake.is_drained = true;
            }
            WorkerCommand::Checkpoint { .. } => fake.work_left = fake.work_left.min(20.0),
            WorkerCommand::Stop { .. } => fake.work_left = 0.0,
            WorkerCommand::Reboot { operation, .. } if *operation > fake.done => {
                assert!(
                    fake.is_drained && fake.work_left <= 0.0,
                    "{instance} reboots with work running"
                );
                fake.reboot = Some((*operation, REBOOT_S));
                fake.reboots += 1;
            }
            WorkerCommand::Join { generation, .. } => fake.joined = fake.joined.max(*generation),
            WorkerCommand::Resume { operation, .. } if *operation > fake.done => {
                fake.done = *operation;
                fake.is_drained = false;
                fake.work_left = 100.0;
            }
            _ => {}
        }
    }

    /// Moves the time on.
    pub fn pass(&mut self) {
        self.seconds += STEP_S;
        for fake in self.instances.values_mut() {
            fake.down_left -= STEP_S;
            if fake.is_drained {
                fake.work_left -= STEP_S;
            }
            if let Some((operation, left)) = fake.reboot {
                fake.reboot = (left > STEP_S).then_some((operation, left - STEP_S));
                if fake.reboot.is_none() {
                    fake.done = operation;
                }
            }
        }
    }

    /// One whole step; false once all plans have ended and nothing is under way.
    pub fn step(&mut self) -> bool {
        let step = self.plan();
        self.land(step.changes);
        self.issue();
        self.pass();
        !self.is_whole()
    }

    /// Whether each plan has ended and each instance serves in its home pool, without tokens.
    pub fn is_whole(&self) -> bool {
        use figloft::journal::member::PlanPhase;
        let ended = |phase| matches!(phase, PlanPhase::Complete | PlanPhase::Aborted);
        let serving = |phase| phase == MemberPhase::Serving;
        self.state.plans.values().all(|plan| ended(plan.phase))
            && self.state.members.values().all(|member| serving(member.phase))
            && self.state.tokens.is_empty()
            && self.state.loans.is_empty()
    }

    /// Runs to the end and returns the seconds taken.
    pub fn run(&mut self, max_steps: usize) -> f64 {
        for _ in 0..max_steps {
            if !self.step() {
                return self.seconds;
            }
        }
        let waits: BTreeSet<String> = self.plan().waits.iter().map(|wait| format!("{wait:?}")).collect();
        panic!("not whole after {max_steps} steps: {waits:#?}");
    }

    /// Replaces the planner by that of a new holder, which knows only the journal.
    pub fn change_holder(&mut self) {
        self.planner = MovePlanner::new(self.settings.clone());
    }
}
