//! The coordinator duty: taking, renewing and losing it.

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
    assert_eq!(lease.on_event(now, TICK), [LeaderAction::Poll]);
    let free = LeaderEvent::Polled { is_held: false };
    assert_eq!(lease.on_event(now, free), [LeaderAction::GrantLease]);
    let granted = LeaderEvent::Granted {
        lease: LEASE,
        sent_at: now,
    };
    assert_eq!(
        lease.on_event(now, granted),
        [LeaderAction::WriteKey { lease: LEASE }]
    );
    assert_eq!(
        lease.on_event(now, LeaderEvent::KeyWritten),
        [LeaderAction::AppendTerm]
    );
    assert_eq!(lease.term(now), None);
    let landed = LeaderEvent::TermCommitted { term: TERM };
    assert_eq!(
        lease.on_event(now, landed),
        [LeaderAction::StartLeading { term: TERM }]
    );
    lease
}

/// Guards against a holder that acts after its lease may have ended: it was paused or cut from the store.
#[test]
fn a_holder_without_renewal_stops_before_its_lease_ends() {
    let start = Instant::now();
    let mut lease = leader(start);
    assert_eq!(lease.term(start), Some(TERM));
    assert_eq!(
        lease.on_event(start, TICK),
        [LeaderAction::Renew { lease: LEASE }]
    );
    assert!(lease.on_event(start, LeaderEvent::Failed).is_empty());
    assert!(lease.on_event(start + RENEW_INTERVAL / 2, TICK).is_empty());
    let end = start + LEADER_TTL;
    assert_eq!(lease.term(start + LEADER_TTL.mul_f64(0.96)), None);
    let actions = lease.on_event(end, TICK);
    assert_eq!(
        actions,
        [LeaderAction::StopLeading, LeaderAction::Revoke { lease: LEASE }]
    );
}

/// Guards against a renewal whose delayed answer makes the duty seem to last longer than the lease.
#[test]
fn a_renewal_counts_from_its_sending() {
    let start = Instant::now();
    let mut lease = leader(start);
    let sent_at = start + RENEW_INTERVAL;
    assert_eq!(
        lease.on_event(sent_at, TICK),
        [LeaderAction::Renew { lease: LEASE }]
    );
    let late = start + Duration::from_secs(5);
    lease.on_event(late, LeaderEvent::Renewed { sent_at });
    assert_eq!(lease.term(sent_at + LEADER_TTL / 2), Some(TERM));
    assert_eq!(lease.term(sent_at + LEADER_TTL), None);
}

/// Guards against a late coordinator that goes on although another session has a later term.
#[test]
fn a_later_term_ends_the_duty_at_once() {
    let now = Instant::now();
    let mut lease = leader(now);
    let own = LeaderEvent::LeaderObserved {
        leader: Some((id("a"), TERM)),
    };
    assert!(lease.on_event(now, own).is_empty());
    let other = LeaderEvent::LeaderObserved {
        leader: Some((id("b"), TERM.next())),
    };
    assert!(lease.on_event(now, other).contains(&LeaderAction::StopLeading));
    assert_eq!(lease.term(now), None);
}

/// Guards against two candidates, a failure on the way, and a candidate that may not accept changes.
#[test]
fn a_candidate_starts_again_after_a_failure() {
    let now = Instant::now();
    let mut lease = LeaderLease::new(id("a"));
    let barred = LeaderEvent::Tick {
        may_lead: false,
        polls_often: true,
    };
    assert!(lease.on_event(now, barred).is_empty());
    lease.on_event(now, TICK);
    assert!(
        lease
            .on_event(now, LeaderEvent::Polled { is_held: true })
            .is_empty()
    );
    assert!(lease.on_event(now, TICK).is_empty());
    let later = now + Duration::from_secs(1);
    assert_eq!(lease.on_event(later, TICK), [LeaderAction::Poll]);
    lease.on_event(later, LeaderEvent::Polled { is_held: false });
    let granted = LeaderEvent::Granted {
        lease: LEASE,
        sent_at: later,
    };
    lease.on_event(later, granted.clone());
    let actions = lease.on_event(later, LeaderEvent::Failed);
    assert_eq!(actions, [LeaderAction::Revoke { lease: LEASE }]);
    assert!(lease.on_event(later, LeaderEvent::KeyWritten).is_empty());
    assert_eq!(
        lease.on_event(later, granted),
        [LeaderAction::Revoke { lease: LEASE }]
    );
}

/// Guards against a drain that leaves the duty until the lease ends by its time.
#[test]
fn a_drain_gives_the_duty_up() {
    let now = Instant::now();
    let mut lease = leader(now);
    let actions = lease.on_event(now, LeaderEvent::Release);
    assert_eq!(
        actions,
        [LeaderAction::StopLeading, LeaderAction::Revoke { lease: LEASE }]
    );
}
