//! Decides when a session takes, renews and loses the coordinator duty.

use std::time::{Duration, Instant};

use crate::model::id::{LeaderTerm, LeaseId, SessionId};

/// Time after which an unrenewed duty is free. Another session takes it within 8 s.
pub const LEADER_TTL: Duration = Duration::from_secs(6);

/// Time between renewals, so that two may fail.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(2);

/// Time between polls of a session that watches the duty for its zone, or that suspects the holder.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time between polls of other sessions, which keeps their calls to the store few.
pub const SLOW_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The own validity ends this much before the lease's time, in percent: clocks run at different rates.
const CLOCK_DRIFT_PERCENT: u32 = 5;

/// What the state machine is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderEvent {
    /// Time has passed. A session that may not accept changes takes no duty.
    Tick {
        /// Whether this session may accept changes and does not drain.
        may_lead: bool,
        /// Whether this session polls often.
        polls_often: bool,
    },
    /// The duty's key was read.
    Polled {
        /// Whether the key exists.
        is_held: bool,
    },
    /// A lease was granted to a call sent at this time.
    Granted {
        /// The lease.
        lease: LeaseId,
        /// Sending time of the call.
        sent_at: Instant,
    },
    /// The duty's key was written under the own lease.
    KeyWritten,
    /// The own `TakeDuty` entry landed.
    TermCommitted {
        /// Its number.
        term: LeaderTerm,
    },
    /// The lease was renewed by a call sent at this time.
    Renewed {
        /// Sending time of the call.
        sent_at: Instant,
    },
    /// The last action failed; the store may know the lease or not.
    Failed,
    /// The lease has ended in the store.
    LeaseEnded,
    /// The folded state names this holder.
    LeaderObserved {
        /// Session and term of the holder.
        leader: Option<(SessionId, LeaderTerm)>,
    },
    /// The session gives the duty up, for its drain.
    Release,
}

/// What the shell does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaderAction {
    /// Read the duty's key.
    Poll,
    /// Grant a lease.
    GrantLease,
    /// Write the duty's key, which must be absent, under the lease.
    WriteKey {
        /// The lease.
        lease: LeaseId,
    },
    /// Append `TakeDuty` before anything else, so that the former holder's next write loses its race.
    AppendTerm,
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: LeaseId,
    },
    /// Revoke the lease; a failure does no harm, since it ends by its time.
    Revoke {
        /// The lease.
        lease: LeaseId,
    },
    /// Start to act under the term.
    StartLeading {
        /// The term.
        term: LeaderTerm,
    },
    /// Stop to act.
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

/// State of the duty as one session sees it. At most one action that is answered by an event is outstanding
/// before the duty is held.
#[derive(Debug, Clone)]
pub struct LeaderLease {
    own: SessionId,
    phase: LeaderPhase,
}

impl LeaderLease {
    /// Creates the state of a session without the duty.
    pub fn new(own: SessionId) -> Self {
        Self {
            own,
            phase: LeaderPhase::Idle { since: None },
        }
    }

    /// The term if the duty is certainly held at this time. A paused holder asks again before each effect.
    pub fn term(&self, now: Instant) -> Option<LeaderTerm> {
        match self.phase {
            LeaderPhase::Leading {
                valid_until, term, ..
            } if now < valid_until => Some(term),
            _ => None,
        }
    }

    /// Takes an event.
    pub fn on_event(&mut self, now: Instant, event: LeaderEvent) -> Vec<LeaderAction> {
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

    /// A failed renewal is tried again in time; any other failure starts from the beginning.
    fn handle_failure(&mut self, now: Instant) -> Vec<LeaderAction> {
        match self.phase {
            LeaderPhase::Leading { .. } => Vec::new(),
            _ => self.step_down(now, true),
        }
    }

    /// Another session's later term ends the duty at once, whatever the lease says.
    fn handle_observed_leader(
        &mut self,
        now: Instant,
        leader: Option<&(SessionId, LeaderTerm)>,
    ) -> Vec<LeaderAction> {
        let LeaderPhase::Leading { term, .. } = self.phase else {
            return Vec::new();
        };
        match leader {
            Some((session, newest_term)) if *session != self.own && *newest_term > term => {
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
