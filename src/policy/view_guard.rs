//! Decides whether the own configuration view is certainly recent, which sessions still count, and whether
//! this session may accept changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{Revision, SessionId};
use crate::policy::expiry_rule::ExpiryRule;
use crate::policy::session_view::{EndEvidence, SessionView, ViewAnswer};

/// A session that was neither heard nor renewed for this time is forgotten by the coordinator.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(30);

/// What the guard is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewEvent {
    /// Entries were folded up to a revision; the sessions are those forgotten in the journal.
    Folded {
        /// The folded revision.
        revision: Revision,
        /// Sessions forgotten in the journal.
        forgotten: BTreeSet<SessionId>,
    },
    /// A call to the store, sent at this time, showed that the folded revision was the newest.
    StoreConfirmed {
        /// Sending time of the call.
        sent_at: Instant,
    },
    /// A call to the store succeeded.
    StoreContact,
    /// Time has passed.
    Tick,
    /// The store listed the registered sessions, with their numbers of renewals.
    SessionsListed {
        /// Renewals by session.
        renewals: BTreeMap<SessionId, u64>,
    },
    /// A session sent a message.
    Heard {
        /// The session.
        session: SessionId,
    },
    /// A session introduced itself and was acknowledged.
    Introduced {
        /// The session.
        session: SessionId,
    },
    /// A session acknowledged this one.
    Acknowledged {
        /// The session.
        by: SessionId,
    },
    /// A session answered a ping.
    Answered {
        /// The session.
        from: SessionId,
        /// Sending time of the ping.
        ping_sent_at: Instant,
        /// Its answer.
        answer: ViewAnswer,
    },
    /// There is evidence that a session has ended.
    Ended {
        /// The session.
        session: SessionId,
        /// The evidence.
        evidence: EndEvidence,
    },
}

/// What follows from an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewAction {
    /// All registered sessions have acknowledged this one; it may accept changes.
    AcceptChanges,
    /// A session no longer counts.
    SessionEnded {
        /// The session.
        session: SessionId,
        /// The evidence.
        evidence: EndEvidence,
    },
    /// This session was forgotten; it must drain and exit.
    DrainSelf,
}

/// State of the view of one session.
#[derive(Debug, Clone)]
pub struct ViewGuard {
    own: SessionId,
    rule: ExpiryRule,
    revision: Revision,
    confirmed_at: Option<Instant>,
    store_contact: Option<Instant>,
    sessions: BTreeMap<SessionId, SessionView>,
    is_registered: bool,
    is_introduced: bool,
    is_forgotten: bool,
}

impl ViewGuard {
    /// Creates the guard of a session that has not yet registered.
    pub fn new(own: SessionId, rule: ExpiryRule) -> Self {
        Self {
            own,
            rule,
            revision: Revision::default(),
            confirmed_at: None,
            store_contact: None,
            sessions: BTreeMap::new(),
            is_registered: false,
            is_introduced: false,
            is_forgotten: false,
        }
    }

    /// Takes an event.
    pub fn on_event(&mut self, now: Instant, event: ViewEvent) -> Vec<ViewAction> {
        let mut actions = Vec::new();
        match event {
            ViewEvent::Folded { revision, forgotten } => {
                self.revision = self.revision.max(revision);
                for session in forgotten {
                    self.end_session(&session, EndEvidence::Forgotten, &mut actions);
                }
            }
            ViewEvent::StoreConfirmed { sent_at } => self.confirm_at(sent_at),
            ViewEvent::StoreContact => self.store_contact = Some(now),
            ViewEvent::Tick => {}
            ViewEvent::SessionsListed { renewals } => self.handle_session_list(now, &renewals, &mut actions),
            ViewEvent::Heard { session } if !self.sessions.contains_key(&session) => {}
            ViewEvent::Heard { session } | ViewEvent::Introduced { session } => {
                self.record_contact(now, &session);
            }
            ViewEvent::Acknowledged { by } => {
                if let Some(view) = self.record_contact(now, &by) {
                    view.acknowledged = true;
                }
            }
            ViewEvent::Answered {
                from,
                ping_sent_at,
                answer,
            } => {
                if let Some(view) = self.record_contact(now, &from) {
                    view.record_answer(now, ping_sent_at, answer);
                }
            }
            ViewEvent::Ended { session, evidence } => self.end_session(&session, evidence, &mut actions),
        }
        self.check_introduction(&mut actions);
        self.confirm_through_peers();
        self.confirm_without_store(now);
        actions
    }

    /// Whether keyed work may be admitted.
    pub fn may_admit_keyed(&self, now: Instant) -> bool {
        self.may_admit_with_grant(now, Duration::ZERO)
    }

    /// Whether work may be admitted for a key that operators allow to be used with a view that is older by
    /// the grant. The grant is no reason to start work under an allowance.
    pub fn may_admit_with_grant(&self, now: Instant, grant: Duration) -> bool {
        let age = self.confirmed_age(now);
        !self.is_forgotten && age.is_some_and(|age| age <= self.rule.freshness() + grant)
    }

    /// The answer to another session's ping.
    pub fn answer(&self, now: Instant) -> ViewAnswer {
        ViewAnswer {
            revision: self.revision,
            view_age: self.confirmed_age(now),
            store_contact_age: self.store_contact.map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Age of the view: the time since the folded revision was certainly the newest.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// The folded revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The rule from which times of other sessions follow.
    pub fn rule(&self) -> &ExpiryRule {
        &self.rule
    }

    /// Whether this session was forgotten and must exit.
    pub fn is_forgotten(&self) -> bool {
        self.is_forgotten
    }

    /// Whether all registered sessions have acknowledged this one.
    pub fn is_introduced(&self) -> bool {
        self.is_introduced
    }

    /// Checks that this session may accept changes.
    ///
    /// # Errors
    /// `not_introduced`, with the sessions that have not acknowledged this one.
    pub fn check_may_change(&self) -> Result<()> {
        if self.is_forgotten {
            let message = "this session was forgotten and drains";
            return Err(Error::new(ErrorKind::NotIntroduced, message));
        }
        if self.is_introduced {
            return Ok(());
        }
        if !self.is_registered {
            let message = "this session is not yet registered in the store";
            return Err(Error::new(ErrorKind::NotIntroduced, message));
        }
        let names: Vec<String> = self.unacknowledged_by().iter().map(ToString::to_string).collect();
        let message = format!(
            "waiting for the acknowledgement of session {}; if it has ended, use `figloft session forget`",
            names.join(", ")
        );
        Err(Error::new(ErrorKind::NotIntroduced, message))
    }

    /// Registered sessions that have not acknowledged this one.
    pub fn unacknowledged_by(&self) -> BTreeSet<SessionId> {
        self.active()
            .filter(|(_, view)| view.is_registered() && !view.acknowledged)
            .map(|(session, _)| session.clone())
            .collect()
    }

    /// Sessions that count: known and not ended, without this one.
    pub fn active_sessions(&self) -> BTreeSet<SessionId> {
        self.active().map(|(session, _)| session.clone()).collect()
    }

    /// Counted sessions that have not reported a revision at or above the given one.
    pub fn behind(&self, revision: Revision) -> BTreeSet<SessionId> {
        self.active()
            .filter(|(_, view)| view.revision() < Some(revision))
            .map(|(session, _)| session.clone())
            .collect()
    }

    /// Whether a session has acknowledged this one.
    pub fn is_acknowledged_by(&self, session: &SessionId) -> bool {
        self.sessions.get(session).is_some_and(|view| view.acknowledged)
    }

    /// Evidence that a session has ended.
    pub fn end_evidence(&self, session: &SessionId) -> Option<EndEvidence> {
        self.sessions.get(session)?.ended
    }

    /// When the allowance of a session is free again, if `lowered_at` is when the entry that takes it was
    /// folded here. A session that left has no work running.
    pub fn allowance_free_at(&self, session: &SessionId, lowered_at: Instant) -> Instant {
        let Some(view) = self.sessions.get(session) else {
            return self.rule.allowance_free_at(lowered_at);
        };
        if view.ended == Some(EndEvidence::Left) {
            return lowered_at;
        }
        let last_activity = view
            .last_activity()
            .map_or(lowered_at, |activity| activity.max(lowered_at));
        self.rule.allowance_free_at(last_activity)
    }

    /// Sessions that acknowledged this one and were neither heard nor renewed for 30 s.
    pub fn forgettable_sessions(&self, now: Instant) -> BTreeSet<SessionId> {
        self.active()
            .filter(|(_, view)| view.acknowledged && view.is_registered())
            .filter(|(_, view)| {
                view.last_activity()
                    .is_some_and(|activity| now.saturating_duration_since(activity) >= FORGET_TIMEOUT)
            })
            .map(|(session, _)| session.clone())
            .collect()
    }

    fn active(&self) -> impl Iterator<Item = (&SessionId, &SessionView)> {
        self.sessions.iter().filter(|(_, view)| view.ended.is_none())
    }

    fn confirm_at(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Notes a sign of life. A refused connection was then a passing state, so the session counts again.
    fn record_contact(&mut self, now: Instant, session: &SessionId) -> Option<&mut SessionView> {
        if *session == self.own {
            return None;
        }
        let view = self.sessions.entry(session.clone()).or_default();
        view.last_heard = view.last_heard.max(Some(now));
        if view.ended == Some(EndEvidence::ConnectionRefused) {
            view.ended = None;
        }
        Some(view)
    }

    fn handle_session_list(
        &mut self,
        now: Instant,
        renewals: &BTreeMap<SessionId, u64>,
        actions: &mut Vec<ViewAction>,
    ) {
        self.is_registered |= renewals.contains_key(&self.own);
        for (session, count) in renewals {
            if *session != self.own {
                let view = self.sessions.entry(session.clone()).or_default();
                view.record_renewals(now, *count);
            }
        }
        // A record is removed by its own session after its drain, or after the session was forgotten.
        let removed: Vec<SessionId> = self
            .active()
            .filter(|(session, view)| view.is_registered() && !renewals.contains_key(*session))
            .map(|(session, _)| session.clone())
            .collect();
        for session in removed {
            self.end_session(&session, EndEvidence::RecordRemoved, actions);
        }
    }

    fn end_session(&mut self, session: &SessionId, evidence: EndEvidence, actions: &mut Vec<ViewAction>) {
        if *session == self.own {
            if !self.is_forgotten && evidence == EndEvidence::Forgotten {
                self.is_forgotten = true;
                actions.push(ViewAction::DrainSelf);
            }
            return;
        }
        let view = self.sessions.entry(session.clone()).or_default();
        if view.ended.is_some() {
            return;
        }
        view.ended = Some(evidence);
        actions.push(ViewAction::SessionEnded {
            session: session.clone(),
            evidence,
        });
    }

    /// Source 2: a peer's confirmed view that this session's revision covers.
    fn confirm_through_peers(&mut self) {
        let confirmed = self
            .sessions
            .values()
            .filter_map(|view| view.confirmed_for(self.revision))
            .max();
        self.confirmed_at = self.confirmed_at.max(confirmed);
    }

    /// Source 3: all counted sessions answered, without contact to the store since and without a newer
    /// revision. It needs the introduction, since only then every session that may accept changes is known.
    /// Without any other session, nobody else can accept changes.
    fn confirm_without_store(&mut self, now: Instant) {
        if !self.is_introduced {
            return;
        }
        let answers: Option<Vec<Instant>> =
            self.active().map(|(_, view)| view.last_answered_ping()).collect();
        let Some(times) = answers else {
            return;
        };
        let since = times.into_iter().min().unwrap_or(now);
        let is_store_unreached = self
            .active()
            .all(|(_, view)| view.lacks_store_contact_since(since, self.revision));
        if is_store_unreached {
            self.confirm_at(since);
        }
    }

    fn check_introduction(&mut self, actions: &mut Vec<ViewAction>) {
        if !self.is_introduced && self.is_registered && self.unacknowledged_by().is_empty() {
            self.is_introduced = true;
            actions.push(ViewAction::AcceptChanges);
        }
    }
}
