//! The move planner: budgets (property P1), one pool per instance (P2), graceful stops (P9), loss of the
//! coordinator at every step.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/simulation.rs"]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use figloft::journal::entry::EntryChange;
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::PlanPhase;
use figloft::model::id::InstanceId;
use figloft::policy::forecast;
use figloft::policy::move_planner::{MovePlanner, PlannerSettings};
use figloft::policy::move_times::MoveTimes;
use figloft::policy::wait_reason::WaitReason;
use fleet::{add_instances, fold, id, record, service, with_coordinator};
use proptest::prelude::*;
use serde_json::json;
use simulation::FleetSimulation;

/// Two pools with services, one spare pool, and a plan that reboots all instances and moves two from `a` to
/// `b`.
fn small_fleet(permille: u32, max_parallel: Option<u32>) -> FleetState {
    let mut state = with_coordinator();
    let changes = vec![
        record(&state, "pool", "a", json!({})),
        record(&state, "pool", "b", json!({})),
        record(&state, "pool", "spare", json!({"spare": true})),
        record(&state, "service", "sa", service("a", permille, None)),
        record(&state, "service", "sb", service("b", permille, Some(2))),
    ];
    fold(&mut state, changes);
    add_instances(&mut state, "a", 10, 0);
    add_instances(&mut state, "b", 8, 10);
    add_instances(&mut state, "spare", 4, 18);
    let mut plan = json!({
        "drain_timeout_ms": 120_000,
        "waves": [
            {"pool": "spare", "action": "reboot"},
            {"pool": "a", "action": "reboot"},
            {"pool": "b", "action": "reboot"},
            {"pool": "a", "action": "move", "to": "b", "count": 2},
        ],
    });
    if let Some(max) = max_parallel {
        plan["max_parallel"] = json!(max);
    }
    let change = record(&state, "plan", "p", plan);
    fold(&mut state, vec![change]);
    state
}

fn set_plan_phase(state: &mut FleetState, phase: PlanPhase) {
    let change = EntryChange::SetPlanPhase {
        plan: id("p"),
        phase,
        reason: Arc::from("operator"),
    };
    fold(state, vec![change]);
}

fn count_in(state: &FleetState, pool: &str) -> usize {
    state
        .members
        .values()
        .filter(|member| member.pool.as_str() == pool)
        .count()
}

fn assert_done(simulation: &FleetSimulation) {
    assert!(simulation.is_finished());
    assert_eq!(simulation.state.plans[&id("p")].phase, PlanPhase::Complete);
    assert_eq!(count_in(&simulation.state, "a"), 8);
    assert_eq!(count_in(&simulation.state, "b"), 10);
    assert_eq!(count_in(&simulation.state, "spare"), 4);
}

/// Guards against plans that stall, reboot an instance twice or leave loans and budget tokens behind.
#[test]
fn a_plan_completes_and_leaves_the_fleet_complete() {
    let mut simulation = FleetSimulation::new(small_fleet(200, None), 1);
    simulation.run(5000);
    assert_done(&simulation);
    assert!(simulation.instances.values().all(|fake| fake.reboots <= 1));
    let rebooted = simulation
        .instances
        .values()
        .filter(|fake| fake.reboots == 1)
        .count();
    assert_eq!(rebooted, 22);
}

/// Guards against a plan that cannot proceed although a spare instance can replace the one taken out of
/// service.
#[test]
fn the_spare_pool_lets_a_service_without_slack_move() {
    let mut simulation = FleetSimulation::new(small_fleet(50, None), 2);
    simulation.run(20_000);
    assert_done(&simulation);
}

/// Guards against a coordinator that needs more than the journal: the planner is replaced after every step,
/// and some entries of the lost coordinator are not committed.
#[test]
fn the_coordinator_may_be_lost_at_every_step() {
    let mut simulation = FleetSimulation::new(small_fleet(200, None), 3);
    simulation.command_loss = 0.3;
    let mut steps = 0;
    while !simulation.is_finished() {
        let step = simulation.plan();
        if steps % 3 != 0 {
            simulation.commit(step.changes);
        }
        simulation.replace_coordinator();
        if steps % 2 == 0 {
            simulation.issue_commands();
            simulation.issue_commands();
        }
        simulation.advance();
        steps += 1;
        assert!(steps < 10_000, "the plan does not end");
    }
    assert_done(&simulation);
    assert!(simulation.instances.values().all(|fake| fake.reboots <= 1));
}

/// Guards against planning that depends on more than the journal state and observations: two new coordinators
/// must plan the same step.
#[test]
fn planning_is_deterministic() {
    let mut simulation = FleetSimulation::new(small_fleet(200, None), 4);
    for _ in 0..200 {
        simulation.replace_coordinator();
        let first = simulation.plan();
        simulation.replace_coordinator();
        assert_eq!(simulation.plan(), first);
        simulation.commit(first.changes);
        simulation.issue_commands();
        simulation.advance();
    }
}

/// Guards against more instances out of service than the plan allows.
#[test]
fn max_parallel_bounds_the_instances_out_of_service() {
    let mut simulation = FleetSimulation::new(small_fleet(500, Some(3)), 5);
    let mut max_tokens = 0;
    while simulation.step() {
        max_tokens = max_tokens.max(simulation.state.tokens.len());
        assert!(max_tokens <= 3);
    }
    assert_eq!(max_tokens, 3);
    assert_done(&simulation);
}

/// Guards against drains that start while a plan is paused, and against moves that a pause leaves incomplete.
#[test]
fn a_paused_plan_completes_what_it_started_and_nothing_more() {
    let mut simulation = FleetSimulation::new(small_fleet(200, None), 6);
    for _ in 0..20 {
        simulation.step();
    }
    set_plan_phase(&mut simulation.state, PlanPhase::Paused);
    let started: Vec<InstanceId> = simulation.state.tokens.keys().cloned().collect();
    for _ in 0..200 {
        simulation.step();
        assert!(
            simulation
                .state
                .tokens
                .keys()
                .all(|instance| started.contains(instance))
        );
    }
    assert!(simulation.state.tokens.is_empty());
    set_plan_phase(&mut simulation.state, PlanPhase::Running);
    simulation.run(5000);
    assert_done(&simulation);
}

/// Guards against an abort, at any step, that leaves instances drained, on loan or in no pool.
#[test]
fn an_abort_at_any_step_leaves_the_fleet_complete() {
    for steps in (0..150).step_by(7) {
        let mut simulation = FleetSimulation::new(small_fleet(100, None), 7);
        for _ in 0..steps {
            simulation.step();
        }
        if simulation.state.plans[&id("p")].phase != PlanPhase::Running {
            continue;
        }
        set_plan_phase(&mut simulation.state, PlanPhase::Aborted);
        simulation.run(2000);
        assert_eq!(count_in(&simulation.state, "spare"), 4);
        assert_eq!(simulation.state.members.len(), 22);
    }
}

/// Guards against a roll-out that goes on during a burst of failures, or does not start again after it.
#[test]
fn a_burst_of_failures_stops_new_drains_until_it_is_over() {
    let mut simulation = FleetSimulation::new(small_fleet(300, None), 8);
    simulation.step();
    let started = simulation.state.tokens.len();
    let tokens = simulation.state.tokens.clone();
    let serving = simulation
        .instances
        .iter_mut()
        .filter(|(instance, _)| !tokens.contains_key(*instance));
    for (_, fake) in serving.take(3) {
        fake.down_left = 60.0;
    }
    for _ in 0..10 {
        let step = simulation.plan();
        let bursts = step
            .waits
            .iter()
            .filter(|wait| wait.reason == WaitReason::FailureBurst);
        assert!(bursts.count() > 0);
        simulation.commit(step.changes);
        assert!(simulation.state.tokens.len() <= started);
        simulation.issue_commands();
        simulation.advance();
    }
    simulation.run(5000);
    assert_done(&simulation);
}

/// Guards against a wave that waits without a reason shown to the operator.
#[test]
fn every_unfinished_wave_makes_progress_or_has_a_wait_reason() {
    let mut simulation = FleetSimulation::new(small_fleet(200, None), 9);
    for _ in 0..2000 {
        let step = simulation.plan();
        let plan = &simulation.state.plans[&id("p")];
        if plan.phase == PlanPhase::Running {
            let explained = !step.waits.is_empty() || !step.changes.is_empty();
            assert!(explained, "no reason and no change at {} s", simulation.seconds);
        }
        simulation.commit(step.changes);
        simulation.issue_commands();
        simulation.advance();
    }
    assert_done(&simulation);
}

/// Guards against a forecast that is far from the actual roll-out time: by a factor of 2 before the start, by
/// 30% in the middle.
#[test]
fn the_forecast_is_near_the_roll_out_time() {
    let mut simulation = FleetSimulation::new(small_fleet(200, None), 10);
    simulation.settings = PlannerSettings {
        use_buffer: false,
        ..PlannerSettings::default()
    };
    let reboot = Duration::from_secs_f64(simulation::REBOOT_S);
    let times = MoveTimes::new(Duration::from_secs(100), reboot, Duration::from_secs(10));
    simulation.planner = MovePlanner::new(simulation.settings.clone()).with_times(times);
    let first = forecast::forecast_plan(
        &simulation.state,
        &simulation.observe(),
        simulation.planner.times(),
        &id("p"),
    );
    let mut forecasts = vec![(0.0, first.time_to_finish.expect("finish").as_secs_f64())];
    while simulation.step() {
        let next = forecast::forecast_plan(
            &simulation.state,
            &simulation.observe(),
            simulation.planner.times(),
            &id("p"),
        );
        forecasts.push((
            simulation.seconds,
            simulation.seconds + next.time_to_finish.expect("finish").as_secs_f64(),
        ));
    }
    let (_, before) = forecasts[0];
    assert!(
        before > 0.5 * simulation.seconds && before < 2.0 * simulation.seconds,
        "{before} of {}",
        simulation.seconds
    );
    let (_, midway) = forecasts[forecasts.len() / 2];
    assert!(
        (midway - simulation.seconds).abs() < 0.3 * simulation.seconds,
        "{midway} of {}",
        simulation.seconds
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against any sequence of failures, lost commands, coordinator changes, pauses and lost entries
    /// that breaks a budget (checked by `FleetSimulation::commit`), interrupts work or leaves the fleet incomplete.
    #[test]
    fn random_sequences_keep_the_invariants(
        seed in 0u64..1000,
        permille in 50u32..400,
        events in proptest::collection::vec((0u8..8, 0usize..22), 0..120),
    ) {
        let mut simulation = FleetSimulation::new(small_fleet(permille, None), seed);
        simulation.command_loss = 0.2;
        let names: Vec<InstanceId> = simulation.instances.keys().cloned().collect();
        for (event, index) in events {
            match event {
                0 => {
                    let fake = simulation.instances.get_mut(&names[index]).expect("instance");
                    fake.down_left = 120.0;
                }
                1 => simulation.replace_coordinator(),
                2 if simulation.state.plans[&id("p")].phase == PlanPhase::Running => {
                    set_plan_phase(&mut simulation.state, PlanPhase::Paused);
                }
                3 if simulation.state.plans[&id("p")].phase == PlanPhase::Paused => {
                    set_plan_phase(&mut simulation.state, PlanPhase::Running);
                }
                4 => {
                    simulation.plan();
                    simulation.advance();
                }
                _ => {}
            }
            for _ in 0..4 {
                simulation.step();
            }
        }
        if simulation.state.plans[&id("p")].phase == PlanPhase::Paused {
            set_plan_phase(&mut simulation.state, PlanPhase::Running);
        }
        simulation.run(20_000);
        assert_done(&simulation);
    }
}
