//! Decides from the sessions' reports when no work of any session runs on a draining instance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::model::id::{InstanceId, Revision, SessionId};

/// What a session last reported.
#[derive(Debug, Clone, Default)]
struct SessionWork {
    revision: Revision,
    in_flight: BTreeMap<InstanceId, u32>,
    ended_at: Option<Instant>,
}

/// An event about a session.
#[derive(Debug, Clone)]
pub enum DrainEvent {
    /// A session is registered in the store; it counts from now on.
    Registered(SessionId),
    /// A session reports the work that it has in flight on instances, at a revision that it has folded.
    Reported {
        /// The session.
        session: SessionId,
        /// Revision that the session had folded before it counted.
        revision: Revision,
        /// Requests and tasks in flight; instances without any may be absent.
        in_flight: BTreeMap<InstanceId, u32>,
    },
    /// A session left after its last work had ended.
    Left(SessionId),
    /// A session has certainly ended; work that it sent may still run.
    Ended(SessionId),
}

/// The sessions' in-flight counts. An instance is drained when each session reports zero at or above the
/// revision of the drain, or has certainly ended and its longest deadline has passed.
#[derive(Debug, Clone)]
pub struct DrainTracker {
    max_deadline: Duration,
    sessions: BTreeMap<SessionId, SessionWork>,
    /// Sessions that ended and whose work has ended too; late reports of them change nothing.
    finished: BTreeSet<SessionId>,
}

impl DrainTracker {
    /// Creates a watch without sessions. Work of an ended session may run on for `longest_deadline`.
    pub fn new(max_deadline: Duration) -> Self {
        Self {
            max_deadline,
            sessions: BTreeMap::new(),
            finished: BTreeSet::new(),
        }
    }

    /// Raises the longest deadline; it is never lowered, because started work keeps its own.
    pub fn raise_deadline(&mut self, deadline: Duration) {
        self.max_deadline = self.max_deadline.max(deadline);
    }

    /// Takes an event.
    pub fn on_event(&mut self, now: Instant, event: DrainEvent) {
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

    /// Lowest revision folded by all sessions that may place work; zero while no session is known.
    pub fn acknowledged_revision(&self) -> Revision {
        let live = self.sessions.values().filter(|work| work.ended_at.is_none());
        live.map(|work| work.revision).min().unwrap_or_default()
    }

    /// Whether no session has work on an instance whose drain landed with entry `since`.
    pub fn is_drained(&mut self, now: Instant, instance: &InstanceId, since: Revision) -> bool {
        self.remove_finished(now);
        let is_idle = |work: &SessionWork| {
            work.revision >= since && work.in_flight.get(instance).is_none_or(|count| *count == 0)
        };
        !self.sessions.is_empty() && self.sessions.values().all(is_idle)
    }
}
