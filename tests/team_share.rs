//! Tests of the entitlements that are computed from demand reports.

use figloft::connection::peer_demand::{DemandLine, DemandReport, PriorityCounts};
use figloft::journal::fleet_state::FleetState;
use figloft::model::priority::WorkPriority;
use figloft::process::team_share;
use figloft::record::document::RecordDocument;

fn counts(bench: u32) -> PriorityCounts {
    let mut counts = PriorityCounts::default();
    counts.add(WorkPriority::Bench, bench);
    counts
}

fn report(lines: &[(&str, u32, u32)]) -> DemandReport {
    let line = |(team, running, waiting): &(&str, u32, u32)| DemandLine {
        team: Some(team.parse().expect("name")),
        pool: "p".parse().expect("name"),
        running: counts(*running),
        waiting: counts(*waiting),
    };
    DemandReport {
        lines: lines.iter().map(line).collect(),
    }
}

fn state(teams: &[(&str, u32, u32)]) -> FleetState {
    let mut state = FleetState::default();
    let mut records = figloft::journal::fleet_state::RecordSet::default();
    for (id, share, limit) in teams {
        let fields = serde_json::json!({
            "kind": "team", "schema": 2, "id": id, "organisation": "o", "share": share, "limit": limit});
        let document: RecordDocument = serde_json::from_value(fields).expect("document");
        records.put(&document);
    }
    state.records = std::sync::Arc::new(records);
    state
}

/// Guards against entitlements that ignore the demand of other sessions, or exceed a team's limit or demand.
#[test]
fn entitlements_follow_weights_limits_and_demand_of_all_sessions() {
    let state = state(&[("a", 2, 100), ("b", 1, 100), ("c", 1, 2), ("idle", 9, 100)]);
    let own = report(&[("a", 6, 50), ("c", 2, 50)]);
    let peer = report(&[("a", 6, 50), ("b", 6, 50)]);
    let shares = team_share::team_shares(&state, &own, [&peer].into_iter());
    let share = |team: &str| shares[&team.parse().expect("name")];
    assert_eq!(share("c"), (0, 2.0));
    assert_eq!(share("idle"), (0, 0.0));
    assert_eq!((share("a").0, share("b").0), (6, 6));
    assert!(
        (share("a").1 - 12.0).abs() < 1e-9 && (share("b").1 - 6.0).abs() < 1e-9,
        "{shares:?}"
    );
}
