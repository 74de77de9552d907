//! Leader election of the coordinator: decides when a session claims, renews and gives up the role.

use std::time::{Duration, Instant};

use crate::model::id::{LeaderTerm, LeaseId, SessionId};

/// Time to live of the leader lease. Another session takes an unrenewed role over within 8 s.
pub const LEADER_TTL: Duration = Duration::from_secs(6);

/// Interval between renewals; two of them may fail before the lease expires.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Poll interval of a session that watches the store for its zone, or that suspects that the coordinator
/// failed.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Poll interval of all other sessions, longer to limit the load on the store.
pub const SLOW_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Percentage by which a session assumes its lease to expire earlier than granted, because clocks run at
/// different rates.
const CLOCK_DRIFT_PERCENT: u32 = 5;

/// Inputs of the state machine. `sent_at` is always the time at which the call to the store was sent: the
/// lease runs from then at the earliest.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the variants describe their fields")]
pub enum LeaderEvent {
    /// Time has passed. `may_lead` is false while this session drains or may not accept changes; it then does
    /// not lead. `polls_often` selects [`POLL_INTERVAL`] over [`SLOW_POLL_INTERVAL`].
    Tick { may_lead: bool, polls_often: bool },
    /// The leader key was read; `is_held` says whether it exists.
    Polled { is_held: bool },
    /// The store granted a lease.
    Granted { lease: LeaseId, sent_at: Instant },
    /// The leader key was written under this session's lease.
    KeyWritten,
    /// This session's `TakeDuty` entry was committed; its number is the term.
    TermCommitted { term: LeaderTerm },
    /// The lease was renewed.
    Renewed { sent_at: Instant },
    /// The last action failed; the lease may or may not exist in the store.
    Failed,
    /// The store reported that the lease has expired.
    LeaseEnded,
    /// The folded journal state names this session and term as the coordinator; absent if there is none yet.
    LeaderObserved { leader: Option<(SessionId, LeaderTerm)> },
    /// This session drains and gives up the role.
    Release,
}

/// Effects that the caller carries out, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the variants describe their fields")]
pub enum LeaderAction {
    /// Read the leader key.
    Poll,
    /// Request a lease of [`LEADER_TTL`].
    GrantLease,
    /// Create the leader key under the lease; fails if the key exists.
    WriteKey { lease: LeaseId },
    /// Append `TakeDuty` to the journal before any other entry, so that the next conditional append of the
    /// previous coordinator conflicts.
    AppendTerm,
    /// Renew the lease.
    Renew { lease: LeaseId },
    /// Revoke the lease. A failure can be ignored, because the lease expires on its own.
    Revoke { lease: LeaseId },
    /// Start to act as the coordinator under the term.
    StartLeading { term: LeaderTerm },
    /// Stop to act as the coordinator.
    StopLeading,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderPhase {
    Idle {
        since: Option<Instant>,
    },
    Polling,
    AcquiringLease,
    WritingKey {
        lease: LeaseId,
        valid_until: Instant,
    },
    AppendingTerm {
        lease: LeaseId,
        valid_until: Instant,
    },
    Leading {
        lease: LeaseId,
        valid_until: Instant,
        term: LeaderTerm,
        renew_at: Instant,
    },
}

/// Leader election as a state machine of one session. Until it leads, at most one action whose result is
/// reported as an event is outstanding.
#[derive(Debug, Clone)]
pub struct LeaderLease {
    own_session: SessionId,
    phase: LeaderPhase,
}

impl LeaderLease {
    /// Creates the state of a session that does not lead.
    pub fn new(own_session: SessionId) -> Self {
        Self {
            own_session,
            phase: LeaderPhase::Idle { since: None },
        }
    }

    /// The term if this session certainly leads at `now`. The coordinator checks it before each effect,
    /// because its process may have been paused.
    pub fn term(&self, now: Instant) -> Option<LeaderTerm> {
        match self.phase {
            LeaderPhase::Leading {
                valid_until, term, ..
            } if now < valid_until => Some(term),
            _ => None,
        }
    }

    /// Handles an event and returns the actions that follow from it.
    pub fn handle_event(&mut self, now: Instant, event: LeaderEvent) -> Vec<LeaderAction> {
        match event {
            LeaderEvent::Tick {
                may_lead,
                polls_often,
            } => self.handle_tick(now, may_lead, polls_often),
            LeaderEvent::Polled { is_held } => self.handle_poll(now, is_held),
            LeaderEvent::Granted { lease, sent_at } => self.handle_grant(lease, sent_at),
            LeaderEvent::KeyWritten => self.handle_key_written(),
            LeaderEvent::TermCommitted { term } => self.handle_term_committed(now, term),
            LeaderEvent::Renewed { sent_at } => self.handle_renewal(sent_at),
            LeaderEvent::Failed => self.handle_failure(now),
            LeaderEvent::LeaseEnded => self.step_down(now, false),
            LeaderEvent::LeaderObserved { leader } => self.handle_observed_leader(now, leader.as_ref()),
            LeaderEvent::Release => self.step_down(now, true),
        }
    }

    fn handle_tick(&mut self, now: Instant, may_lead: bool, polls_often: bool) -> Vec<LeaderAction> {
        match self.phase {
            LeaderPhase::Idle { since } if may_lead => {
                let interval = if polls_often {
                    POLL_INTERVAL
                } else {
                    SLOW_POLL_INTERVAL
                };
                let is_due = since.is_none_or(|at| now.saturating_duration_since(at) >= interval);
                if !is_due {
                    return Vec::new();
                }
                self.phase = LeaderPhase::Polling;
                vec![LeaderAction::Poll]
            }
            LeaderPhase::Leading { valid_until, .. } if now >= valid_until || !may_lead => {
                self.step_down(now, true)
            }
            LeaderPhase::Leading {
                lease,
                valid_until,
                term,
                renew_at,
            } if now >= renew_at => {
                let renew_at = now + RENEW_INTERVAL;
                self.phase = LeaderPhase::Leading {
                    lease,
                    valid_until,
                    term,
                    renew_at,
                };
                vec![LeaderAction::Renew { lease }]
            }
            _ => Vec::new(),
        }
    }

    fn handle_poll(&mut self, now: Instant, is_held: bool) -> Vec<LeaderAction> {
        if self.phase != LeaderPhase::Polling {
            return Vec::new();
        }
        if is_held {
            self.become_idle(now);
            return Vec::new();
        }
        self.phase = LeaderPhase::AcquiringLease;
        vec![LeaderAction::GrantLease]
    }

    fn handle_grant(&mut self, lease: LeaseId, sent_at: Instant) -> Vec<LeaderAction> {
        if self.phase != LeaderPhase::AcquiringLease {
            return vec![LeaderAction::Revoke { lease }];
        }
        let valid_until = lease_deadline(sent_at);
        self.phase = LeaderPhase::WritingKey { lease, valid_until };
        vec![LeaderAction::WriteKey { lease }]
    }

    fn handle_key_written(&mut self) -> Vec<LeaderAction> {
        let LeaderPhase::WritingKey { lease, valid_until } = self.phase else {
            return Vec::new();
        };
        self.phase = LeaderPhase::AppendingTerm { lease, valid_until };
        vec![LeaderAction::AppendTerm]
    }

    fn handle_term_committed(&mut self, now: Instant, term: LeaderTerm) -> Vec<LeaderAction> {
        let LeaderPhase::AppendingTerm { lease, valid_until } = self.phase else {
            return Vec::new();
        };
        if now >= valid_until {
            return self.step_down(now, true);
        }
        let renew_at = now;
        self.phase = LeaderPhase::Leading {
            lease,
            valid_until,
            term,
            renew_at,
        };
        vec![LeaderAction::StartLeading { term }]
    }

    fn handle_renewal(&mut self, sent_at: Instant) -> Vec<LeaderAction> {
        if let LeaderPhase::Leading {
            valid_until: until, ..
        } = &mut self.phase
        {
            *until = (*until).max(lease_deadline(sent_at));
        }
        Vec::new()
    }

    /// A failed renewal is retried at the next interval; any other failure restarts the election.
    fn handle_failure(&mut self, now: Instant) -> Vec<LeaderAction> {
        match self.phase {
            LeaderPhase::Leading { .. } => Vec::new(),
            _ => self.step_down(now, true),
        }
    }

    /// Steps down at once if another session has a later term, even if the lease is still valid.
    fn handle_observed_leader(
        &mut self,
        now: Instant,
        leader: Option<&(SessionId, LeaderTerm)>,
    ) -> Vec<LeaderAction> {
        let LeaderPhase::Leading { term, .. } = self.phase else {
            return Vec::new();
        };
        match leader {
            Some((session, newest_term)) if *session != self.own_session && *newest_term > term => {
                self.step_down(now, true)
            }
            _ => Vec::new(),
        }
    }

    fn step_down(&mut self, now: Instant, revoke: bool) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        let lease = match self.phase {
            LeaderPhase::Idle { .. } | LeaderPhase::Polling | LeaderPhase::AcquiringLease => None,
            LeaderPhase::WritingKey { lease, .. } | LeaderPhase::AppendingTerm { lease, .. } => Some(lease),
            LeaderPhase::Leading { lease, .. } => {
                actions.push(LeaderAction::StopLeading);
                Some(lease)
            }
        };
        if let Some(lease) = lease.filter(|_| revoke) {
            actions.push(LeaderAction::Revoke { lease });
        }
        self.become_idle(now);
        actions
    }

    fn become_idle(&mut self, now: Instant) {
        self.phase = LeaderPhase::Idle { since: Some(now) };
    }
}

fn lease_deadline(sent_at: Instant) -> Instant {
    sent_at + LEADER_TTL * (100 - CLOCK_DRIFT_PERCENT) / 100
}
