//! Fair shares by water filling, and the deviation of usage from them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::model::amount::ShareWeight;
use figloft::model::id::TeamId;
use figloft::policy::share::{TeamDemand, WaterFill};
use figloft::policy::share_window::ShareWindow;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn team(index: usize) -> TeamId {
    format!("t{index}").parse().expect("name")
}

fn demand((weight, demand, limit): (u32, u64, u64)) -> TeamDemand {
    TeamDemand {
        weight: ShareWeight::new(weight),
        demand,
        limit,
    }
}

fn filled(capacity: u64, teams: &[(u32, u64, u64)]) -> WaterFill {
    let mut fill = WaterFill::new(capacity);
    for (index, values) in teams.iter().enumerate() {
        fill.set_team(&team(index), demand(*values));
    }
    fill
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against shares above a limit or the capacity, idle capacity despite unmet demand, and a team
    /// whose demand is not met while another team gets more per weight.
    #[test]
    fn shares_are_weighted_max_min(
        capacity in 0..500_u64,
        teams in vec((1..10_u32, 0..100_u64, 0..100_u64), 1..20),
    ) {
        let mut fill = filled(capacity, &teams);
        let shares: Vec<f64> = (0..teams.len()).map(|index| fill.entitlement(&team(index))).collect();
        let caps: Vec<f64> = teams.iter().map(|values| demand(*values).cap() as f64).collect();
        let sum: f64 = shares.iter().sum();
        let wanted: f64 = caps.iter().sum();
        prop_assert!((sum - wanted.min(capacity as f64)).abs() < 1e-6, "sum {sum}");
        for (a, (weight, _, _)) in teams.iter().enumerate() {
            prop_assert!(shares[a] <= caps[a] + 1e-9);
            let is_full = shares[a] > caps[a] - 1e-9;
            for (b, (other_weight, _, _)) in teams.iter().enumerate() {
                let level = shares[a] / f64::from(*weight);
                let other = shares[b] / f64::from(*other_weight);
                prop_assert!(is_full || level > other - 1e-9, "team {a} is below team {b}");
            }
        }
    }

    /// Guards against incremental changes whose result differs from a computation from scratch.
    #[test]
    fn changes_give_the_same_shares_as_a_new_computation(
        capacity in 0..500_u64,
        changes in vec((0..6_usize, (0..5_u32, 0..100_u64, 0..100_u64)), 1..40),
    ) {
        let mut fill = WaterFill::new(capacity);
        let mut current = BTreeMap::new();
        for (index, values) in changes {
            fill.set_team(&team(index), demand(values));
            current.insert(index, values);
            let mut fresh = WaterFill::new(capacity);
            for (index, values) in &current {
                fresh.set_team(&team(*index), demand(*values));
            }
            prop_assert_eq!(fill.entitlements(), fresh.entitlements());
        }
    }
}

/// Guards against a team of weight 0 that takes capacity from the others.
#[test]
fn a_team_of_weight_zero_is_entitled_to_nothing() {
    let mut fill = filled(10, &[(0, 50, 50), (1, 5, 50)]);
    assert!(fill.entitlement(&team(0)).abs() < f64::EPSILON);
    assert!((fill.entitlement(&team(1)) - 5.0).abs() < f64::EPSILON);
}

/// Guards against deviations that include usage from before the window or time at which capacity was free.
#[test]
fn the_window_drops_old_usage_and_leaves_free_time_out() {
    let start = Instant::now();
    let mut window = ShareWindow::new(Duration::from_mins(10));
    let at = |seconds| start + Duration::from_secs(seconds);
    let short = BTreeMap::from([(team(0), (5.0, 10.0)), (team(1), (15.0, 10.0))]);
    let exact = BTreeMap::from([(team(0), (10.0, 10.0)), (team(1), (10.0, 10.0))]);
    window.record(at(0), &short);
    window.record(at(10), &short);
    assert!((window.team_usage(&team(0)).deviation() - 0.5).abs() < 1e-9);
    window.skip(at(500));
    window.record(at(510), &exact);
    assert!((window.team_usage(&team(0)).deviation() - 0.25).abs() < 1e-9);
    window.record(at(700), &exact);
    assert!(
        window.team_usage(&team(0)).deviation() < 1e-9,
        "the first 10 s are over"
    );
    assert!(window.mean_deviation() < 1e-9);
}
