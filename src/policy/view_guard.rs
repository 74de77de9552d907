//! Decides whether this session's configuration view is certainly recent, which other sessions are active,
//! and whether this session may accept changes.
//!
//! Three sources confirm that the folded revision was the newest at some time: a call to the store, a peer
//! whose confirmed view is not newer, and answers of all active sessions that none of them has reached the
//! store since.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{Revision, SessionId};
use crate::policy::expiry_rule::ExpiryRule;
use crate::policy::session_view::{EndEvidence, SessionView, ViewAnswer};

/// Time without a message or renewal after which the coordinator removes a session as lost.
pub const FORGET_TIMEOUT: Duration = Duration::from_secs(30);

/// Inputs of the guard. Times are those at which this session sent the call or the ping.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the variants describe their fields")]
pub enum ViewEvent {
    /// Journal entries were folded up to a revision; `forgotten` are all sessions that the journal removed as
    /// lost.
    Folded {
        revision: Revision,
        forgotten: BTreeSet<SessionId>,
    },
    /// A call to the store showed that the folded revision was the newest.
    StoreConfirmed { sent_at: Instant },
    /// A call to the store succeeded.
    StoreContact,
    /// Time has passed.
    Tick,
    /// The store listed the registered sessions with their numbers of renewals.
    SessionsListed { renewals: BTreeMap<SessionId, u64> },
    /// A session sent a message.
    Heard { session: SessionId },
    /// A session introduced itself and this one acknowledged it.
    Introduced { session: SessionId },
    /// A session acknowledged this one.
    Acknowledged { by: SessionId },
    /// A session answered a ping.
    Answered {
        from: SessionId,
        ping_sent_at: Instant,
        answer: ViewAnswer,
    },
    /// There is evidence that a session has ended.
    Ended {
        session: SessionId,
        evidence: EndEvidence,
    },
}

/// Effects of an event that the caller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the variants describe their fields")]
pub enum ViewAction {
    /// All registered sessions have acknowledged this one; it may accept changes.
    AcceptChanges,
    /// A session is no longer active.
    SessionEnded {
        session: SessionId,
        evidence: EndEvidence,
    },
    /// This session was removed as lost by the others; it must drain and exit.
    DrainSelf,
}

/// State of this session's view and of the other sessions.
#[derive(Debug, Clone)]
pub struct ViewGuard {
    own_session: SessionId,
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
    pub fn new(own_session: SessionId, rule: ExpiryRule) -> Self {
        Self {
            own_session,
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

    /// Handles an event and returns the actions that follow from it.
    pub fn handle_event(&mut self, now: Instant, event: ViewEvent) -> Vec<ViewAction> {
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

    /// Whether work under an API key may be admitted.
    pub fn may_admit_keyed(&self, now: Instant) -> bool {
        self.may_admit_with_grant(now, Duration::ZERO)
    }

    /// Whether work may be admitted under a key with an offline grant: operators allow its use while the view
    /// is older than the freshness by up to `grant`. The grant does not extend allowances.
    pub fn may_admit_with_grant(&self, now: Instant, grant: Duration) -> bool {
        let age = self.confirmed_age(now);
        !self.is_forgotten && age.is_some_and(|age| age <= self.rule.freshness() + grant)
    }

    /// Creates the answer to another session's ping.
    pub fn answer(&self, now: Instant) -> ViewAnswer {
        ViewAnswer {
            revision: self.revision,
            view_age: self.confirmed_age(now),
            store_contact_age: self.store_contact.map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Age of the view: time since the folded revision was certainly the newest; absent if that was never
    /// confirmed.
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Revision that this session has folded.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Rule for the time after which other sessions have stopped acting on an old view.
    pub fn rule(&self) -> &ExpiryRule {
        &self.rule
    }

    /// Whether this session was removed as lost and must exit.
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
    /// `not_introduced`; the message names the sessions that have not acknowledged this one.
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

    /// Active registered sessions that have not acknowledged this one.
    pub fn unacknowledged_by(&self) -> BTreeSet<SessionId> {
        self.active()
            .filter(|(_, view)| view.is_registered() && !view.acknowledged)
            .map(|(session, _)| session.clone())
            .collect()
    }

    /// Other sessions that are known and have not ended.
    pub fn active_sessions(&self) -> BTreeSet<SessionId> {
        self.active().map(|(session, _)| session.clone()).collect()
    }

    /// Active sessions that have not reported a revision at or above the given one.
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

    /// Evidence that a session has ended; absent if it is active or unknown.
    pub fn end_evidence(&self, session: &SessionId) -> Option<EndEvidence> {
        self.sessions.get(session)?.ended
    }

    /// Time at which the allowance of a session may be given to others. `lowered_at` is the time at which
    /// this session folded the entry that takes the allowance away. A session that left has no work running.
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

    /// Registered sessions that have acknowledged this one but sent no message and no renewal for
    /// [`FORGET_TIMEOUT`].
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

    /// Records a message of another session. If a refused connection had marked it as ended, the refusal was
    /// temporary and the session is active again.
    fn record_contact(&mut self, now: Instant, session: &SessionId) -> Option<&mut SessionView> {
        if *session == self.own_session {
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
        self.is_registered |= renewals.contains_key(&self.own_session);
        for (session, count) in renewals {
            if *session != self.own_session {
                let view = self.sessions.entry(session.clone()).or_default();
                view.record_renewals(now, *count);
            }
        }
        // A record is removed only after its session has drained or was removed as lost.
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
        if *session == self.own_session {
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

    /// Second source of confirmation: the confirmed view of a peer whose revision is not above this
    /// session's.
    fn confirm_through_peers(&mut self) {
        let confirmed = self
            .sessions
            .values()
            .filter_map(|view| view.confirmed_for(self.revision))
            .max();
        self.confirmed_at = self.confirmed_at.max(confirmed);
    }

    /// Third source of confirmation: all active sessions answered pings, and none of them has reached the
    /// store since or has a newer revision, so no change can have been accepted. This requires the
    /// introduction, because only then every session that may accept changes is known. Without other sessions
    /// the view is confirmed at once, because no other session can accept changes.
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
