//! Decisions about callers that keep no limits, without a network.

use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::request::body_budget::{BodyBudget, BudgetRefusal};
use figloft::request::body_pace::BodyPace;
use figloft::request::connection_choice::{self, ConnectionPhase, ConnectionView};
use figloft::request::refusal_burst::RefusalBursts;

const BODY: u64 = 262_144;

fn owner(name: &str) -> Arc<str> {
    name.into()
}

/// Guards against bodies of all callers that together exceed the memory, and against memory that stays reserved
/// after the answer.
#[test]
fn bodies_of_all_owners_stay_within_the_budget() {
    let mut budget = BodyBudget::for_memory(16 * BODY);
    for name in ["a", "b"] {
        assert_eq!(budget.reserve(&Some(owner(name)), 2 * BODY), Ok(()));
    }
    assert_eq!(budget.reserve(&Some(owner("c")), 1), Err(BudgetRefusal::Full));
    budget.release(&Some(owner("a")), 2 * BODY);
    assert_eq!(budget.reserve(&Some(owner("c")), 1), Ok(()));
    assert_eq!((budget.used(), budget.peak()), (2 * BODY + 1, 4 * BODY));
}

/// Guards against one organisation that takes the whole budget, also through callers without a key.
#[test]
fn one_owner_gets_half_of_the_budget() {
    for greedy in [Some(owner("a")), None] {
        let mut budget = BodyBudget::for_memory(16 * BODY);
        assert_eq!(budget.reserve(&greedy, BODY), Ok(()));
        assert_eq!(budget.reserve(&greedy, BODY), Ok(()));
        assert_eq!(budget.reserve(&greedy, 1), Err(BudgetRefusal::OwnerShare));
        assert_eq!(budget.reserve(&Some(owner("b")), BODY), Ok(()));
    }
}

/// Guards against a small machine on which the largest legal body is never accepted.
#[test]
fn single_body_always_fits() {
    let mut budget = BodyBudget::for_memory(BODY);
    assert_eq!(budget.reserve(&Some(owner("a")), BODY), Ok(()));
    assert_eq!(budget.reserve(&Some(owner("b")), 1), Err(BudgetRefusal::Full));
}

/// Guards against bodies that stay open when their callers send nothing or next to nothing, and against the
/// refusal of a body that arrives evenly or after a pause.
#[test]
fn slow_bodies_end_after_the_grace_period() {
    let mut silent = BodyPace::default();
    silent.add(0, Duration::from_millis(1_900));
    assert_eq!(silent.time_left(), Duration::from_millis(100));
    let mut trickle = BodyPace::default();
    for _ in 0..30 {
        trickle.add(10, Duration::from_millis(100));
    }
    assert_eq!(trickle.time_left(), Duration::ZERO);
    let mut steady = BodyPace::default();
    for _ in 0..60 {
        steady.add(BODY / 60, Duration::from_millis(50));
    }
    assert!(steady.time_left() > Duration::from_mins(1));
}

/// Guards against a flood of log lines, and against refusals that no line counts.
#[test]
fn refusals_of_one_reason_give_one_line_a_second() {
    let mut bursts = RefusalBursts::default();
    let start = Instant::now();
    let key = ("callers", "body_budget");
    assert_eq!(bursts.record(key, start), Some(1));
    for _ in 0..50 {
        assert_eq!(bursts.record(key, start + Duration::from_millis(999)), None);
    }
    assert_eq!(bursts.record(("callers", "late_body"), start), Some(1));
    assert_eq!(bursts.record(key, start + Duration::from_secs(1)), Some(51));
}

fn view(id: u64, phase: ConnectionPhase, last_progress: Instant) -> ConnectionView {
    ConnectionView {
        id,
        phase,
        last_progress,
    }
}

/// Guards against the loss of an accepted request to a crowd of new connections, and against a crowd without heads
/// that outlasts ordinary connections.
#[test]
fn cheapest_connection_is_closed_first() {
    let start = Instant::now();
    let later = |seconds| start + Duration::from_secs(seconds);
    let mut connections = vec![
        view(1, ConnectionPhase::Accepted, start),
        view(2, ConnectionPhase::Transfer, later(1)),
        view(3, ConnectionPhase::Transfer, later(2)),
        view(4, ConnectionPhase::Idle, later(3)),
        view(5, ConnectionPhase::Head, later(5)),
        view(6, ConnectionPhase::Head, later(4)),
    ];
    for closed in [6, 5, 4, 2, 3] {
        let choice = connection_choice::connection_to_close(connections.iter().copied());
        assert_eq!(choice, Some(closed));
        connections.retain(|connection| connection.id != closed);
    }
    assert_eq!(
        connection_choice::connection_to_close(connections.into_iter()),
        None
    );
}

/// Guards against connections that use up the descriptors or the memory of the smallest machine, and against a
/// machine so small that no load balancer is served.
#[test]
fn connections_follow_memory_and_descriptors() {
    assert_eq!(connection_choice::caller_connections(160_000_000, 4_100), 406);
    assert_eq!(connection_choice::caller_connections(160_000_000, 500), 150);
    assert_eq!(connection_choice::caller_connections(1_000_000, 100), 16);
}
