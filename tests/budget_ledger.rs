//! Availability budgets (property P1).

#[path = "support/fleet.rs"]
mod fleet;

use figloft::journal::entry::EntryChange;
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::{BudgetToken, MemberPhase};
use figloft::model::id::InstanceId;
use figloft::model::unix_time::UnixMillis;
use figloft::policy::budget_ledger::{BudgetLedger, BudgetRefusal};
use figloft::policy::observation::FleetObservation;
use fleet::{add_instances, fold, id, record, service, with_coordinator};
use proptest::prelude::*;

fn fleet_of_ten(permille: u32, per_zone: Option<u32>) -> FleetState {
    let mut state = with_coordinator();
    let changes = vec![
        record(&state, "pool", "a", serde_json::json!({})),
        record(&state, "pool", "spare", serde_json::json!({"spare": true})),
        record(&state, "service", "s", service("a", permille, per_zone)),
    ];
    fold(&mut state, changes);
    add_instances(&mut state, "a", 10, 0);
    add_instances(&mut state, "spare", 2, 12);
    state
}

fn take_token(state: &FleetState, instance: &InstanceId) -> EntryChange {
    let place = &state.members[instance].place;
    EntryChange::TakeToken {
        token: BudgetToken {
            plan: None,
            service: Some(id("s")),
            instance: instance.clone(),
            zone: place.zone.clone(),
            rack: place.rack.clone(),
            taken_at: UnixMillis::new(0),
        },
    }
}

/// Guards against counting an instance twice that has a budget token and is also unhealthy.
#[test]
fn an_unhealthy_instance_with_a_token_counts_once() {
    let mut state = fleet_of_ten(200, None);
    let failed: InstanceId = id("a-0");
    let change = take_token(&state, &failed);
    fold(&mut state, vec![change]);
    let mut observed = FleetObservation::default();
    observed.unhealthy.insert(failed.clone());
    observed.missing.insert(failed);
    let ledger = BudgetLedger::new(&state, &observed);
    assert_eq!(ledger.service(&id("s")).expect("service").unavailable(), 1);
    ledger.check(&state, &id("a-1")).expect("one more may go");
}

/// Guards against planned stops while unhealthy or unlisted instances or an unreachable zone use up the
/// budget.
#[test]
fn observed_failures_count_against_the_budget() {
    let state = fleet_of_ten(200, None);
    let mut observed = FleetObservation::default();
    observed.unhealthy.insert(id("a-0"));
    observed.missing.insert(id("a-1"));
    let refusal = BudgetLedger::new(&state, &observed).check(&state, &id("a-2"));
    assert!(matches!(
        refusal,
        Err(BudgetRefusal::Service { unavailable: 2, .. })
    ));
    let mut observed = FleetObservation::default();
    observed.unreachable_zones.insert(id("z0"));
    let ledger = BudgetLedger::new(&state, &observed);
    assert_eq!(ledger.slack(&id("a")), Some(-2));
    ledger
        .check(&state, &id("a-0"))
        .expect("an unreachable instance costs nothing more");
}

/// Guards against exceeding the budget of a zone while the service as a whole still has slack.
#[test]
fn a_zone_has_its_own_budget() {
    let state = fleet_of_ten(500, Some(1));
    let mut ledger = BudgetLedger::new(&state, &FleetObservation::default());
    ledger.reserve(&state, &id("a-0")).expect("the first may go");
    assert!(matches!(
        ledger.check(&state, &id("a-1")),
        Err(BudgetRefusal::Zone { .. })
    ));
    ledger.check(&state, &id("a-4")).expect("another zone has slack");
}

/// Guards against counting a lent instance for its home pool, or not counting it for the pool that it serves.
#[test]
fn a_lent_instance_counts_for_the_pool_that_it_is_in() {
    let mut state = fleet_of_ten(50, None);
    let lent: InstanceId = id("spare-0");
    let before = BudgetLedger::new(&state, &FleetObservation::default());
    assert!(before.check(&state, &id("a-0")).is_err());
    let place = state.members[&lent].place.clone();
    let phase = |phase| EntryChange::SetPhase {
        instance: lent.clone(),
        phase,
        reason: "test".into(),
    };
    let changes = vec![
        EntryChange::LendInstance {
            instance: lent.clone(),
            to: id("a"),
            plan: None,
        },
        phase(MemberPhase::Drained),
        EntryChange::JoinPool {
            instance: lent.clone(),
            pool: id("a"),
            place,
        },
        phase(MemberPhase::Serving),
    ];
    fold(&mut state, changes);
    let ledger = BudgetLedger::new(&state, &FleetObservation::default());
    assert_eq!(ledger.slack(&id("a")), Some(1));
    assert_eq!(ledger.service(&id("s")).expect("service").base, 10);
    ledger
        .check(&state, &id("a-0"))
        .expect("the lent instance replaces it");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against reservations that exceed a budget which was kept before, with any set of unhealthy
    /// instances.
    #[test]
    fn reservations_never_exceed_a_budget(
        permille in 0u32..500,
        per_zone in proptest::option::of(0u32..4),
        unhealthy in proptest::collection::btree_set(0usize..10, 0..5),
        reservations in proptest::collection::vec(0usize..10, 0..20),
    ) {
        let state = fleet_of_ten(permille, per_zone);
        let observed = FleetObservation {
            unhealthy: unhealthy.iter().map(|n| id(&format!("a-{n}"))).collect(),
            ..FleetObservation::default()
        };
        let mut ledger = BudgetLedger::new(&state, &observed);
        let was_within_limits = ledger.service(&id("s")).expect("service").is_within_limits();
        let before = ledger.service(&id("s")).expect("service").available;
        for n in reservations {
            let reserved = ledger.reserve(&state, &id(&format!("a-{n}")));
            prop_assert!(!unhealthy.contains(&n) || reserved.is_ok());
        }
        let budget = ledger.service(&id("s")).expect("service");
        prop_assert!(!was_within_limits || budget.is_within_limits());
        prop_assert!(was_within_limits || budget.slack() >= 0 || budget.available == before);
    }
}
