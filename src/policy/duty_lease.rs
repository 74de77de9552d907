//! Decides when a session takes, renews and loses the coordinator duty.

use std::time::{Duration, Instant};

use crate::model::id::{LeaderTerm, LeaseId, SessionId};

/// Time after which an unrenewed duty is free. Another session takes it within 8 s.
pub const DUTY_TTL: Duration = Duration::from_secs(6);

/// Time between renewals, so that two may fail.
pub const RENEW_EVERY: Duration = Duration::from_secs(2);

/// Time between polls of a session that watches the duty for its zone, or that suspects the holder.
pub const POLL_EVERY: Duration = Duration::from_secs(1);

/// Time between polls of other sessions, which keeps their calls to the store few.
pub const SLOW_POLL_EVERY: Duration = Duration::from_secs(5);

/// The own validity ends this much before the lease's time, in percent: clocks run at different rates.
const DRIFT_PERCENT: u32 = 5;

/// What the state machine is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyEvent {
    /// Time has passed. A session that may not accept changes takes no duty.
    Tick {
        /// Whether this session may accept changes and does not drain.
        may_hold: bool,
        /// Whether this session polls often.
        is_watcher: bool,
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
    TermLanded {
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
    Folded {
        /// Session and term of the holder.
        holder: Option<(SessionId, LeaderTerm)>,
    },
    /// The session gives the duty up, for its drain.
    Release,
}

/// What the shell does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DutyAction {
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
    AppendTakeDuty,
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
    StartDuty {
        /// The term.
        term: LeaderTerm,
    },
    /// Stop to act.
    StopDuty,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DutyPhase {
    Idle {
        since: Option<Instant>,
    },
    Polling,
    Granting,
    Writing {
        lease: LeaseId,
        valid_until: Instant,
    },
    Appending {
        lease: LeaseId,
        valid_until: Instant,
    },
    Holding {
        lease: LeaseId,
        valid_until: Instant,
        term: LeaderTerm,
        renew_at: Instant,
    },
}

/// State of the duty as one session sees it. At most one action that is answered by an event is outstanding
/// before the duty is held.
#[derive(Debug, Clone)]
pub struct DutyLease {
    own: SessionId,
    phase: DutyPhase,
}

impl DutyLease {
    /// Creates the state of a session without the duty.
    pub fn new(own: SessionId) -> Self {
        Self {
            own,
            phase: DutyPhase::Idle { since: None },
        }
    }

    /// The term if the duty is certainly held at this time. A paused holder asks again before each effect.
    pub fn term(&self, now: Instant) -> Option<LeaderTerm> {
        match self.phase {
            DutyPhase::Holding {
                valid_until, term, ..
            } if now < valid_until => Some(term),
            _ => None,
        }
    }

    /// Takes an event.
    pub fn on_event(&mut self, now: Instant, event: DutyEvent) -> Vec<DutyAction> {
        match event {
            DutyEvent::Tick { may_hold, is_watcher } => self.tick(now, may_hold, is_watcher),
            DutyEvent::Polled { is_held } => self.polled(now, is_held),
            DutyEvent::Granted { lease, sent_at } => self.granted(lease, sent_at),
            DutyEvent::KeyWritten => self.key_written(),
            DutyEvent::TermLanded { term } => self.term_landed(now, term),
            DutyEvent::Renewed { sent_at } => self.renewed(sent_at),
            DutyEvent::Failed => self.failed(now),
            DutyEvent::LeaseEnded => self.stop(now, false),
            DutyEvent::Folded { holder } => self.folded(now, holder.as_ref()),
            DutyEvent::Release => self.stop(now, true),
        }
    }

    fn tick(&mut self, now: Instant, may_hold: bool, is_watcher: bool) -> Vec<DutyAction> {
        match self.phase {
            DutyPhase::Idle { since } if may_hold => {
                let period = if is_watcher { POLL_EVERY } else { SLOW_POLL_EVERY };
                let is_due = since.is_none_or(|at| now.saturating_duration_since(at) >= period);
                if !is_due {
                    return Vec::new();
                }
                self.phase = DutyPhase::Polling;
                vec![DutyAction::Poll]
            }
            DutyPhase::Holding { valid_until, .. } if now >= valid_until || !may_hold => self.stop(now, true),
            DutyPhase::Holding {
                lease,
                valid_until,
                term,
                renew_at,
            } if now >= renew_at => {
                let renew_at = now + RENEW_EVERY;
                self.phase = DutyPhase::Holding {
                    lease,
                    valid_until,
                    term,
                    renew_at,
                };
                vec![DutyAction::Renew { lease }]
            }
            _ => Vec::new(),
        }
    }

    fn polled(&mut self, now: Instant, is_held: bool) -> Vec<DutyAction> {
        if self.phase != DutyPhase::Polling {
            return Vec::new();
        }
        if is_held {
            self.idle(now);
            return Vec::new();
        }
        self.phase = DutyPhase::Granting;
        vec![DutyAction::GrantLease]
    }

    fn granted(&mut self, lease: LeaseId, sent_at: Instant) -> Vec<DutyAction> {
        if self.phase != DutyPhase::Granting {
            return vec![DutyAction::Revoke { lease }];
        }
        let valid_until = valid_until(sent_at);
        self.phase = DutyPhase::Writing { lease, valid_until };
        vec![DutyAction::WriteKey { lease }]
    }

    fn key_written(&mut self) -> Vec<DutyAction> {
        let DutyPhase::Writing { lease, valid_until } = self.phase else {
            return Vec::new();
        };
        self.phase = DutyPhase::Appending { lease, valid_until };
        vec![DutyAction::AppendTakeDuty]
    }

    fn term_landed(&mut self, now: Instant, term: LeaderTerm) -> Vec<DutyAction> {
        let DutyPhase::Appending { lease, valid_until } = self.phase else {
            return Vec::new();
        };
        if now >= valid_until {
            return self.stop(now, true);
        }
        let renew_at = now;
        self.phase = DutyPhase::Holding {
            lease,
            valid_until,
            term,
            renew_at,
        };
        vec![DutyAction::StartDuty { term }]
    }

    fn renewed(&mut self, sent_at: Instant) -> Vec<DutyAction> {
        if let DutyPhase::Holding {
            valid_until: until, ..
        } = &mut self.phase
        {
            *until = (*until).max(valid_until(sent_at));
        }
        Vec::new()
    }

    /// A failed renewal is tried again in time; any other failure starts from the beginning.
    fn failed(&mut self, now: Instant) -> Vec<DutyAction> {
        match self.phase {
            DutyPhase::Holding { .. } => Vec::new(),
            _ => self.stop(now, true),
        }
    }

    /// Another session's later term ends the duty at once, whatever the lease says.
    fn folded(&mut self, now: Instant, holder: Option<&(SessionId, LeaderTerm)>) -> Vec<DutyAction> {
        let DutyPhase::Holding { term, .. } = self.phase else {
            return Vec::new();
        };
        match holder {
            Some((session, newest)) if *session != self.own && *newest > term => self.stop(now, true),
            _ => Vec::new(),
        }
    }

    fn stop(&mut self, now: Instant, revoke: bool) -> Vec<DutyAction> {
        let mut actions = Vec::new();
        let lease = match self.phase {
            DutyPhase::Idle { .. } | DutyPhase::Polling | DutyPhase::Granting => None,
            DutyPhase::Writing { lease, .. } | DutyPhase::Appending { lease, .. } => Some(lease),
            DutyPhase::Holding { lease, .. } => {
                actions.push(DutyAction::StopDuty);
                Some(lease)
            }
        };
        if let Some(lease) = lease.filter(|_| revoke) {
            actions.push(DutyAction::Revoke { lease });
        }
        self.idle(now);
        actions
    }

    fn idle(&mut self, now: Instant) {
        self.phase = DutyPhase::Idle { since: Some(now) };
    }
}

fn valid_until(sent_at: Instant) -> Instant {
    sent_at + DUTY_TTL * (100 - DRIFT_PERCENT) / 100
}
