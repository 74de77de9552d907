//! Planning for a fleet of the size expected in two years.

#[path = "support/fleet.rs"]
mod fleet;

use std::time::Instant;

use figloft::model::id::Revision;
use figloft::model::unix_time::UnixMillis;
use figloft::policy::move_planner::{MovePlanner, PlannerSettings};
use figloft::policy::observation::FleetObservation;
use fleet::{add_instances, fold, id, record, service, with_coordinator};
use serde_json::json;

/// Guards against a planning step for 23,000 instances whose journal entry exceeds the maximum value size of
/// the store, 1 MB. The planning time is printed but not checked.
#[test]
fn one_step_for_the_future_fleet_fits_into_one_entry() {
    let mut state = with_coordinator();
    let mut changes = vec![record(&state, "pool", "spare", json!({"spare": true}))];
    let mut waves = Vec::new();
    for pool in 0..226 {
        let name = format!("p{pool}");
        changes.push(record(&state, "pool", &name, json!({})));
        changes.push(record(&state, "service", &name, service(&name, 100, Some(8))));
        waves.push(json!({"pool": name, "action": "reboot"}));
    }
    let plan = json!({"drain_timeout_ms": 600_000, "waves": waves});
    changes.push(record(&state, "plan", "p", plan));
    fold(&mut state, changes);
    for pool in 0..226 {
        add_instances(&mut state, &format!("p{pool}"), 102, pool * 102);
    }
    add_instances(&mut state, "spare", 40, 226 * 102);
    let observed = FleetObservation {
        acknowledged_revision: Revision::new(u64::MAX),
        ..FleetObservation::default()
    };
    let mut planner = MovePlanner::new(PlannerSettings::default());
    let started_at = Instant::now();
    let step = planner.plan(started_at, UnixMillis::new(0), &state, &observed);
    println!(
        "planning {} instances: {:?}",
        state.members.len(),
        started_at.elapsed()
    );
    let entry = fleet::entry(&state, step.changes);
    let bytes = serde_json::to_vec(&entry).expect("entry serialises").len();
    assert!(bytes < 1_000_000, "{bytes} bytes");
    assert!(!entry.changes.is_empty());
    let wave_count = state.plans[&id("p")].done.len();
    assert_eq!(wave_count, 226);
}
