//! Conditions under which an instance counts as drained (property P9).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::model::id::{InstanceId, Revision, SessionId};
use figloft::policy::drain_tracker::{DrainEvent, DrainTracker};

fn report(session: &str, revision: u64, count: u32) -> DrainEvent {
    let instance: InstanceId = "i".parse().expect("name");
    DrainEvent::Reported {
        session: session.parse().expect("name"),
        revision: Revision::new(revision),
        in_flight: BTreeMap::from([(instance, count)]),
    }
}

fn session(name: &str) -> SessionId {
    name.parse().expect("name")
}

/// Guards against stopping an instance to which a session that has not folded the drain may still send work.
#[test]
fn a_report_from_before_the_drain_does_not_count() {
    let now = Instant::now();
    let instance = "i".parse().expect("name");
    let mut tracker = DrainTracker::new(Duration::from_mins(1));
    tracker.handle_event(now, DrainEvent::Registered(session("a")));
    tracker.handle_event(now, DrainEvent::Registered(session("b")));
    tracker.handle_event(now, report("a", 7, 0));
    assert!(!tracker.is_drained(now, &instance, Revision::new(7)));
    tracker.handle_event(now, report("b", 6, 0));
    assert!(!tracker.is_drained(now, &instance, Revision::new(7)));
    tracker.handle_event(now, report("b", 7, 1));
    assert!(!tracker.is_drained(now, &instance, Revision::new(7)));
    tracker.handle_event(now, report("b", 7, 0));
    assert!(tracker.is_drained(now, &instance, Revision::new(7)));
}

/// Guards against interrupting requests that are still running after the session that sent them has ended.
#[test]
fn an_ended_session_counts_until_the_maximum_deadline() {
    let now = Instant::now();
    let instance = "i".parse().expect("name");
    let mut tracker = DrainTracker::new(Duration::from_mins(1));
    tracker.handle_event(now, report("a", 9, 0));
    tracker.handle_event(now, report("b", 3, 2));
    tracker.handle_event(now, DrainEvent::Ended(session("b")));
    assert_eq!(tracker.acknowledged_revision(), Revision::new(9));
    let early = now + Duration::from_secs(59);
    assert!(!tracker.is_drained(early, &instance, Revision::new(7)));
    let late = now + Duration::from_mins(1);
    assert!(tracker.is_drained(late, &instance, Revision::new(7)));
    tracker.handle_event(late, report("b", 3, 2));
    assert!(tracker.is_drained(late, &instance, Revision::new(7)));
}
