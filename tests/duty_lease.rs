//! The coordinator duty: taking, renewing and losing it.

use std::time::{Duration, Instant};

use figloft::model::id::{LeaderTerm, LeaseId, SessionId};
use figloft::policy::duty_lease::{DUTY_TTL, DutyAction, DutyEvent, DutyLease, RENEW_EVERY};

const LEASE: LeaseId = LeaseId::new(9);
const TERM: LeaderTerm = LeaderTerm::new(5);
const TICK: DutyEvent = DutyEvent::Tick {
    may_hold: true,
    is_watcher: true,
};

fn id(name: &str) -> SessionId {
    name.parse().expect("name")
}

fn holder(now: Instant) -> DutyLease {
    let mut lease = DutyLease::new(id("a"));
    assert_eq!(lease.on_event(now, TICK), [DutyAction::Poll]);
    let free = DutyEvent::Polled { is_held: false };
    assert_eq!(lease.on_event(now, free), [DutyAction::GrantLease]);
    let granted = DutyEvent::Granted {
        lease: LEASE,
        sent_at: now,
    };
    assert_eq!(
        lease.on_event(now, granted),
        [DutyAction::WriteKey { lease: LEASE }]
    );
    assert_eq!(
        lease.on_event(now, DutyEvent::KeyWritten),
        [DutyAction::AppendTakeDuty]
    );
    assert_eq!(lease.term(now), None);
    let landed = DutyEvent::TermLanded { term: TERM };
    assert_eq!(
        lease.on_event(now, landed),
        [DutyAction::StartDuty { term: TERM }]
    );
    lease
}

/// Guards against a holder that acts after its lease may have ended: it was paused or cut from the store.
#[test]
fn a_holder_without_renewal_stops_before_its_lease_ends() {
    let start = Instant::now();
    let mut lease = holder(start);
    assert_eq!(lease.term(start), Some(TERM));
    assert_eq!(lease.on_event(start, TICK), [DutyAction::Renew { lease: LEASE }]);
    assert!(lease.on_event(start, DutyEvent::Failed).is_empty());
    assert!(lease.on_event(start + RENEW_EVERY / 2, TICK).is_empty());
    let end = start + DUTY_TTL;
    assert_eq!(lease.term(start + DUTY_TTL.mul_f64(0.96)), None);
    let actions = lease.on_event(end, TICK);
    assert_eq!(
        actions,
        [DutyAction::StopDuty, DutyAction::Revoke { lease: LEASE }]
    );
}

/// Guards against a renewal whose delayed answer makes the duty seem to last longer than the lease.
#[test]
fn a_renewal_counts_from_its_sending() {
    let start = Instant::now();
    let mut lease = holder(start);
    let sent_at = start + RENEW_EVERY;
    assert_eq!(
        lease.on_event(sent_at, TICK),
        [DutyAction::Renew { lease: LEASE }]
    );
    let late = start + Duration::from_secs(5);
    lease.on_event(late, DutyEvent::Renewed { sent_at });
    assert_eq!(lease.term(sent_at + DUTY_TTL / 2), Some(TERM));
    assert_eq!(lease.term(sent_at + DUTY_TTL), None);
}

/// Guards against a late coordinator that goes on although another session has a later term.
#[test]
fn a_later_term_ends_the_duty_at_once() {
    let now = Instant::now();
    let mut lease = holder(now);
    let own = DutyEvent::Folded {
        holder: Some((id("a"), TERM)),
    };
    assert!(lease.on_event(now, own).is_empty());
    let other = DutyEvent::Folded {
        holder: Some((id("b"), TERM.next())),
    };
    assert!(lease.on_event(now, other).contains(&DutyAction::StopDuty));
    assert_eq!(lease.term(now), None);
}

/// Guards against two candidates, a failure on the way, and a candidate that may not accept changes.
#[test]
fn a_candidate_starts_again_after_a_failure() {
    let now = Instant::now();
    let mut lease = DutyLease::new(id("a"));
    let barred = DutyEvent::Tick {
        may_hold: false,
        is_watcher: true,
    };
    assert!(lease.on_event(now, barred).is_empty());
    lease.on_event(now, TICK);
    assert!(
        lease
            .on_event(now, DutyEvent::Polled { is_held: true })
            .is_empty()
    );
    assert!(lease.on_event(now, TICK).is_empty());
    let later = now + Duration::from_secs(1);
    assert_eq!(lease.on_event(later, TICK), [DutyAction::Poll]);
    lease.on_event(later, DutyEvent::Polled { is_held: false });
    let granted = DutyEvent::Granted {
        lease: LEASE,
        sent_at: later,
    };
    lease.on_event(later, granted.clone());
    let actions = lease.on_event(later, DutyEvent::Failed);
    assert_eq!(actions, [DutyAction::Revoke { lease: LEASE }]);
    assert!(lease.on_event(later, DutyEvent::KeyWritten).is_empty());
    assert_eq!(
        lease.on_event(later, granted),
        [DutyAction::Revoke { lease: LEASE }]
    );
}

/// Guards against a drain that leaves the duty until the lease ends by its time.
#[test]
fn a_drain_gives_the_duty_up() {
    let now = Instant::now();
    let mut lease = holder(now);
    let actions = lease.on_event(now, DutyEvent::Release);
    assert_eq!(
        actions,
        [DutyAction::StopDuty, DutyAction::Revoke { lease: LEASE }]
    );
}
