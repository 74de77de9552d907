//! Tracks the in-flight work that sessions report, and decides when a draining instance has none left.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::model::id::{InstanceId, Revision, SessionId};

/// Last report of a session.
#[derive(Debug, Clone, Default)]
struct SessionWork {
    revision: Revision,
    in_flight: BTreeMap<InstanceId, u32>,
    ended_at: Option<Instant>,
}

/// Events about sessions.
#[derive(Debug, Clone)]
pub enum DrainEvent {
    /// A session is registered in the store. From now on, drains wait for its reports.
    Registered(SessionId),
    /// A session reported its in-flight work.
    Reported {
        /// The reporting session.
        session: SessionId,
        /// Revision that the session had folded before it counted its work.
        revision: Revision,
        /// Number of requests and tasks in flight by instance; instances without any may be absent.
        in_flight: BTreeMap<InstanceId, u32>,
    },
    /// A session left in an orderly way, after its last work had ended.
    Left(SessionId),
    /// A session has certainly ended; work that it sent may still be running.
    Ended(SessionId),
}

/// In-flight work of all sessions. An instance is drained when each session has either reported zero at or
/// above the revision of the drain, or has ended at least the maximum deadline ago.
#[derive(Debug, Clone)]
pub struct DrainTracker {
    max_deadline: Duration,
    sessions: BTreeMap<SessionId, SessionWork>,
    /// Sessions that have ended together with their work; late reports from them are ignored.
    finished: BTreeSet<SessionId>,
}

impl DrainTracker {
    /// Creates a tracker without sessions. Work of an ended session may go on for `max_deadline`.
    pub fn new(max_deadline: Duration) -> Self {
        Self {
            max_deadline,
            sessions: BTreeMap::new(),
            finished: BTreeSet::new(),
        }
    }

    /// Raises the maximum deadline. It is never lowered, because work in progress keeps its own deadline.
    pub fn raise_deadline(&mut self, deadline: Duration) {
        self.max_deadline = self.max_deadline.max(deadline);
    }

    /// Handles an event.
    pub fn handle_event(&mut self, now: Instant, event: DrainEvent) {
        match event {
            DrainEvent::Registered(session) => {
                if !self.finished.contains(&session) {
                    self.sessions.entry(session).or_default();
                }
            }
            DrainEvent::Reported {
                session,
                revision,
                in_flight,
            } => self.handle_report(session, revision, in_flight),
            DrainEvent::Left(session) => {
                self.sessions.remove(&session);
                self.finished.insert(session);
            }
            DrainEvent::Ended(session) => {
                let work = self.sessions.entry(session).or_default();
                work.ended_at.get_or_insert(now);
            }
        }
        self.remove_finished(now);
    }

    fn handle_report(
        &mut self,
        session: SessionId,
        revision: Revision,
        in_flight: BTreeMap<InstanceId, u32>,
    ) {
        if self.finished.contains(&session) {
            return;
        }
        let work = self.sessions.entry(session).or_default();
        if revision < work.revision {
            return;
        }
        work.revision = revision;
        work.in_flight = in_flight;
    }

    fn remove_finished(&mut self, now: Instant) {
        let deadline = self.max_deadline;
        let finished: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, work)| work.ended_at.is_some_and(|ended| ended + deadline <= now))
            .map(|(session, _)| session.clone())
            .collect();
        for session in finished {
            self.sessions.remove(&session);
            self.finished.insert(session);
        }
    }

    /// Highest revision that all sessions which may place work have folded; zero if no session is known.
    pub fn acknowledged_revision(&self) -> Revision {
        let live = self.sessions.values().filter(|work| work.ended_at.is_none());
        live.map(|work| work.revision).min().unwrap_or_default()
    }

    /// Whether no session has work on an instance whose drain was committed with entry `since`.
    pub fn is_drained(&mut self, now: Instant, instance: &InstanceId, since: Revision) -> bool {
        self.remove_finished(now);
        let is_idle = |work: &SessionWork| {
            work.revision >= since && work.in_flight.get(instance).is_none_or(|count| *count == 0)
        };
        !self.sessions.is_empty() && self.sessions.values().all(is_idle)
    }
}
