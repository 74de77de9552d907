//! Computes each team's entitlement in the whole fleet from the demand reports of all sessions.

use std::collections::BTreeMap;

use crate::connection::peer_demand::DemandReport;
use crate::journal::fleet_state::FleetState;
use crate::model::id::TeamId;
use crate::policy::share::{TeamDemand, WaterFill};

/// For each team, in slots: what it runs in other sessions, and its entitlement in the whole fleet.
pub type TeamShares = BTreeMap<TeamId, (u64, f64)>;

/// Divides the slots that are in use now among the teams: weighted max-min fairness, capped by each team's
/// demand and limit.
pub fn team_shares<'a>(
    state: &FleetState,
    own: &'a DemandReport,
    peers: impl Iterator<Item = &'a DemandReport>,
) -> TeamShares {
    let mut remote: BTreeMap<&TeamId, u64> = BTreeMap::new();
    let mut wanted: BTreeMap<&TeamId, u64> = BTreeMap::new();
    let mut capacity = 0;
    let lines = own.lines.iter().map(|line| (line, false));
    let lines = lines.chain(peers.flat_map(|report| &report.lines).map(|line| (line, true)));
    for (line, is_remote) in lines {
        let Some(team) = &line.team else { continue };
        let running = line.running.total();
        capacity += running;
        *wanted.entry(team).or_insert(0) += running + line.waiting.total();
        if is_remote {
            *remote.entry(team).or_insert(0) += running;
        }
    }
    let mut fill = WaterFill::new(capacity);
    for team in state.records.teams.values() {
        let demand = TeamDemand {
            weight: team.share,
            demand: wanted.get(&team.id).copied().unwrap_or(0),
            limit: u64::from(team.limit.get()),
        };
        fill.set_team(&team.id, demand);
    }
    let entitled = fill.entitlements().into_iter();
    entitled
        .map(|(team, entitled)| {
            let running = remote.get(&team).copied().unwrap_or(0);
            (team, (running, entitled))
        })
        .collect()
}
