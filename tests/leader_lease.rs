//! Leader election of the coordinator: claiming, renewing and losing the role.

use std::time::{Duration, Instant};

use figloft::model::id::{LeaderTerm, LeaseId, SessionId};
use figloft::policy::leader_lease::{LEADER_TTL, LeaderAction, LeaderEvent, LeaderLease, RENEW_INTERVAL};

const LEASE: LeaseId = LeaseId::new(9);
const TERM: LeaderTerm = LeaderTerm::new(5);
const TICK: LeaderEvent = LeaderEvent::Tick {
    may_lead: true,
    polls_often: true,
};

fn id(name: &str) -> SessionId {
    name.parse().expect("name")
}

fn leader(now: Instant) -> LeaderLease {
    let mut lease = LeaderLease::new(id("a"));
    assert_eq!(lease.handle_event(now, TICK), [LeaderAction::Poll]);
    let unheld = LeaderEvent::Polled { is_held: false };
    assert_eq!(lease.handle_event(now, unheld), [LeaderAction::GrantLease]);
    let granted = LeaderEvent::Granted {
        lease: LEASE,
        sent_at: now,
    };
    assert_eq!(
        lease.handle_event(now, granted),
        [LeaderAction::WriteKey { lease: LEASE }]
    );
    assert_eq!(
        lease.handle_event(now, LeaderEvent::KeyWritten),
        [LeaderAction::AppendTerm]
    );
    assert_eq!(lease.term(now), None);
    let committed = LeaderEvent::TermCommitted { term: TERM };
    assert_eq!(
        lease.handle_event(now, committed),
        [LeaderAction::StartLeading { term: TERM }]
    );
    lease
}

/// Guards against a coordinator that acts after its lease may have expired, because its process was paused or
/// it lost contact with the store.
#[test]
fn a_leader_without_renewal_stops_before_its_lease_expires() {
    let start = Instant::now();
    let mut lease = leader(start);
    assert_eq!(lease.term(start), Some(TERM));
    assert_eq!(
        lease.handle_event(start, TICK),
        [LeaderAction::Renew { lease: LEASE }]
    );
    assert!(lease.handle_event(start, LeaderEvent::Failed).is_empty());
    assert!(lease.handle_event(start + RENEW_INTERVAL / 2, TICK).is_empty());
    let end = start + LEADER_TTL;
    assert_eq!(lease.term(start + LEADER_TTL.mul_f64(0.96)), None);
    let actions = lease.handle_event(end, TICK);
    assert_eq!(
        actions,
        [LeaderAction::StopLeading, LeaderAction::Revoke { lease: LEASE }]
    );
}

/// Guards against a delayed renewal response that makes the session lead for longer than its lease lasts.
#[test]
fn a_renewal_counts_from_its_sending_time() {
    let start = Instant::now();
    let mut lease = leader(start);
    let sent_at = start + RENEW_INTERVAL;
    assert_eq!(
        lease.handle_event(sent_at, TICK),
        [LeaderAction::Renew { lease: LEASE }]
    );
    let late = start + Duration::from_secs(5);
    lease.handle_event(late, LeaderEvent::Renewed { sent_at });
    assert_eq!(lease.term(sent_at + LEADER_TTL / 2), Some(TERM));
    assert_eq!(lease.term(sent_at + LEADER_TTL), None);
}

/// Guards against a coordinator that goes on although another session has a later term.
#[test]
fn a_later_term_of_another_session_ends_leadership_at_once() {
    let now = Instant::now();
    let mut lease = leader(now);
    let own_term = LeaderEvent::LeaderObserved {
        leader: Some((id("a"), TERM)),
    };
    assert!(lease.handle_event(now, own_term).is_empty());
    let later_term = LeaderEvent::LeaderObserved {
        leader: Some((id("b"), TERM.next())),
    };
    assert!(
        lease
            .handle_event(now, later_term)
            .contains(&LeaderAction::StopLeading)
    );
    assert_eq!(lease.term(now), None);
}

/// Guards against a candidate that claims the role while it is held or while it may not accept changes, and
/// against one that goes on with the election after a failed step.
#[test]
fn a_candidate_restarts_the_election_after_a_failure() {
    let now = Instant::now();
    let mut lease = LeaderLease::new(id("a"));
    let not_eligible = LeaderEvent::Tick {
        may_lead: false,
        polls_often: true,
    };
    assert!(lease.handle_event(now, not_eligible).is_empty());
    lease.handle_event(now, TICK);
    assert!(
        lease
            .handle_event(now, LeaderEvent::Polled { is_held: true })
            .is_empty()
    );
    assert!(lease.handle_event(now, TICK).is_empty());
    let later = now + Duration::from_secs(1);
    assert_eq!(lease.handle_event(later, TICK), [LeaderAction::Poll]);
    lease.handle_event(later, LeaderEvent::Polled { is_held: false });
    let granted = LeaderEvent::Granted {
        lease: LEASE,
        sent_at: later,
    };
    lease.handle_event(later, granted.clone());
    let actions = lease.handle_event(later, LeaderEvent::Failed);
    assert_eq!(actions, [LeaderAction::Revoke { lease: LEASE }]);
    assert!(lease.handle_event(later, LeaderEvent::KeyWritten).is_empty());
    assert_eq!(
        lease.handle_event(later, granted),
        [LeaderAction::Revoke { lease: LEASE }]
    );
}

/// Guards against a draining coordinator that keeps the role until its lease expires.
#[test]
fn a_drain_releases_leadership() {
    let now = Instant::now();
    let mut lease = leader(now);
    let actions = lease.handle_event(now, LeaderEvent::Release);
    assert_eq!(
        actions,
        [LeaderAction::StopLeading, LeaderAction::Revoke { lease: LEASE }]
    );
}
