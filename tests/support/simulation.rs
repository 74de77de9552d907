//! Simulation of a fleet under a move planner: fake instances execute the worker commands on a virtual clock.
#![allow(dead_code, reason = "each test file uses its own part of these helpers")]

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

/// State of one simulated instance.
#[derive(Debug, Clone, Default)]
pub struct FakeInstance {
    /// Highest operation that the instance has completed.
    pub completed_operation: Revision,
    pub joined_generation: Generation,
    pub is_drained: bool,
    /// Seconds until the running work ends by itself.
    pub work_left: f64,
    /// Reboot in progress: its operation and the seconds left.
    pub reboot: Option<(Revision, f64)>,
    pub reboots: u32,
    /// Seconds until a failed instance is up again; at 0 or below the instance is up.
    pub down_left: f64,
}

/// A fleet whose instances are simulated and whose plans are run by a [`MovePlanner`].
#[derive(Debug, Clone)]
pub struct FleetSimulation {
    pub state: FleetState,
    pub planner: MovePlanner,
    pub settings: PlannerSettings,
    pub instances: BTreeMap<InstanceId, FakeInstance>,
    pub seconds: f64,
    pub random: StdRng,
    /// Probability that a command to an instance is lost.
    pub command_loss: f64,
    start: Instant,
}

/// Duration of a reboot in seconds.
pub const REBOOT_S: f64 = 300.0;
/// Virtual time of one step in seconds.
pub const STEP_S: f64 = 5.0;

impl FleetSimulation {
    pub fn new(state: FleetState, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut instances = BTreeMap::new();
        for (instance, member) in &state.members {
            let fake = FakeInstance {
                joined_generation: member.generation,
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
            command_loss: 0.0,
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.seconds)
    }

    pub fn wall_time(&self) -> UnixMillis {
        UnixMillis::new((self.seconds * 1000.0) as u64)
    }

    /// The coordinator's observation: the actual state of the instances, with all sessions at the newest revision.
    pub fn observe(&self) -> FleetObservation {
        let mut observed = FleetObservation {
            acknowledged_revision: self.state.revision,
            ..FleetObservation::default()
        };
        for (instance, fake) in &self.instances {
            if fake.down_left > 0.0 || fake.reboot.is_some() {
                observed.unhealthy.insert(instance.clone());
            }
            if fake.is_drained && fake.work_left <= 0.0 {
                observed.idle.insert(instance.clone());
            }
            observed
                .completed_operations
                .insert(instance.clone(), fake.completed_operation);
            observed
                .joined_generations
                .insert(instance.clone(), fake.joined_generation);
            let left = Duration::from_secs_f64(fake.work_left.max(0.0));
            observed.drain_times.insert(instance.clone(), left);
        }
        observed
    }

    /// Plans a step without applying its changes.
    pub fn plan(&mut self) -> PlannerStep {
        let observed = self.observe();
        let (now, wall_time) = (self.now(), self.wall_time());
        self.planner.plan(now, wall_time, &self.state, &observed)
    }

    /// Applies changes as one entry. Checks that they push no budget beyond its limit and mark no
    /// instance as drained that still has work running.
    pub fn commit(&mut self, changes: Vec<EntryChange>) {
        if changes.is_empty() {
            return;
        }
        let observed = self.observe();
        let before = BudgetLedger::new(&self.state, &observed);
        for change in &changes {
            self.check_graceful(change);
        }
        fleet::fold(&mut self.state, changes);
        let after = BudgetLedger::new(&self.state, &observed);
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

    /// Sends the due commands to the instances; each is lost with probability `command_loss`.
    pub fn issue_commands(&mut self) {
        let observed = self.observe();
        let commands =
            worker_command::due_commands(&self.state, &observed, self.wall_time(), DrainLimits::default());
        for command in commands {
            if self.random.random_bool(self.command_loss) {
                continue;
            }
            self.execute(&command);
        }
    }

    fn execute(&mut self, command: &WorkerCommand) {
        let instance = command.instance();
        let fake = self.instances.get_mut(instance).expect("instance");
        if fake.down_left > 0.0 || fake.reboot.is_some() {
            return;
        }
        match command {
            WorkerCommand::Drain { operation, .. } if *operation > fake.completed_operation => {
                fake.completed_operation = *operation;
                fake.is_drained = true;
            }
            WorkerCommand::Checkpoint { .. } => fake.work_left = fake.work_left.min(20.0),
            WorkerCommand::Stop { .. } => fake.work_left = 0.0,
            WorkerCommand::Reboot { operation, .. } if *operation > fake.completed_operation => {
                assert!(
                    fake.is_drained && fake.work_left <= 0.0,
                    "{instance} reboots with work running"
                );
                fake.reboot = Some((*operation, REBOOT_S));
                fake.reboots += 1;
            }
            WorkerCommand::Join { generation, .. } => {
                fake.joined_generation = fake.joined_generation.max(*generation);
            }
            WorkerCommand::Resume { operation, .. } if *operation > fake.completed_operation => {
                fake.completed_operation = *operation;
                fake.is_drained = false;
                fake.work_left = 100.0;
            }
            _ => {}
        }
    }

    /// Advances the virtual clock by one step; work, outages and reboots progress with it.
    pub fn advance(&mut self) {
        self.seconds += STEP_S;
        for fake in self.instances.values_mut() {
            fake.down_left -= STEP_S;
            if fake.is_drained {
                fake.work_left -= STEP_S;
            }
            if let Some((operation, left)) = fake.reboot {
                fake.reboot = (left > STEP_S).then_some((operation, left - STEP_S));
                if fake.reboot.is_none() {
                    fake.completed_operation = operation;
                }
            }
        }
    }

    /// Plans, commits and executes one step; false once all plans have ended and nothing is in progress.
    pub fn step(&mut self) -> bool {
        let step = self.plan();
        self.commit(step.changes);
        self.issue_commands();
        self.advance();
        !self.is_finished()
    }

    /// Whether each plan has ended and each instance serves in its home pool, with no tokens or loans left.
    pub fn is_finished(&self) -> bool {
        use figloft::journal::member::PlanPhase;
        let ended = |phase| matches!(phase, PlanPhase::Complete | PlanPhase::Aborted);
        let serving = |phase| phase == MemberPhase::Serving;
        self.state.plans.values().all(|plan| ended(plan.phase))
            && self.state.members.values().all(|member| serving(member.phase))
            && self.state.tokens.is_empty()
            && self.state.loans.is_empty()
    }

    /// Runs until [`Self::is_finished`] and returns the virtual seconds taken; panics after `max_steps`.
    pub fn run(&mut self, max_steps: usize) -> f64 {
        for _ in 0..max_steps {
            if !self.step() {
                return self.seconds;
            }
        }
        let waits: BTreeSet<String> = self.plan().waits.iter().map(|wait| format!("{wait:?}")).collect();
        panic!("not finished after {max_steps} steps; waits: {waits:#?}");
    }

    /// Simulates a change of coordinator: the new one's planner knows only what the journal holds.
    pub fn replace_coordinator(&mut self) {
        self.planner = MovePlanner::new(self.settings.clone());
    }
}
