//! What is known of the advice on one step: the workers about which the service was asked, and the tickets of those that
//! may run the step.
//!
//! The answer about a worker holds for the whole life of its process. A worker that was refused is not named again, so
//! that the requests get to all workers, and an admitted one is named again only for a new ticket.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::dispatch::command::AdviceAnswer;
use crate::model::id::WorkerId;
use crate::model::unix_time::UnixMillis;

/// Remaining validity that a ticket needs for a start, which reaches the worker somewhat later. Tickets that are valid
/// for less than twice this time are used for half of it.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// Pause before the service is asked again about a step, after a request without an answer or without news.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Factor of the pause after several rejected tickets in a row.
const MAX_PAUSE_FACTOR: u32 = 10;

/// Time for which a refusal holds without a doubt.
const MAX_REFUSAL_AGE: Duration = Duration::from_mins(1);

/// Process of a worker: its id, and its start time if that is known.
pub type WorkerProcess = (WorkerId, Option<UnixMillis>);

/// Ticket for the starts of a step on one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceTicket {
    /// Text that is sent with a start.
    pub ticket: Arc<str>,
    incarnation: Option<UnixMillis>,
    usable_until: Instant,
}

/// What the service has answered about a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkerAdvice {
    /// The worker may run the step.
    Admitted,
    /// The service has not been asked about this process of the worker.
    Unknown,
    /// The worker was refused long ago. It is asked about again, in case that the service did not know it yet, but after
    /// those that are unknown.
    Outdated,
    /// The worker may not run the step.
    Refused,
}

#[derive(Debug, Clone)]
struct WorkerAnswer {
    incarnation: Option<UnixMillis>,
    is_admitted: bool,
    answered_at: Instant,
}

/// Outcome of a request for advice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceSummary {
    /// Number of workers that the request named.
    pub named: usize,
    /// Number of those that were admitted; absent without an answer.
    pub admitted: Option<usize>,
    /// Time since the request was decided.
    pub elapsed: Duration,
}

/// State of the advice on one step.
#[derive(Debug, Clone)]
pub struct StepAdvice {
    tickets: BTreeMap<WorkerId, AdviceTicket>,
    answers: BTreeMap<WorkerId, WorkerAnswer>,
    /// Request in flight: its time and the workers that it names.
    pending: Option<(Instant, Vec<WorkerProcess>)>,
    retry_at: Instant,
    /// Consecutive tickets that a worker rejected.
    rejections: u32,
}

impl StepAdvice {
    /// Creates the state of a step about which the service has not been asked.
    pub fn new(now: Instant) -> Self {
        Self {
            tickets: BTreeMap::new(),
            answers: BTreeMap::new(),
            pending: None,
            retry_at: now,
            rejections: 0,
        }
    }

    /// The tickets, by worker. Those that have expired are included until [`Self::expire`] is called.
    pub fn tickets(&self) -> &BTreeMap<WorkerId, AdviceTicket> {
        &self.tickets
    }

    /// Forgets the tickets that have expired or belong to a former process of their worker.
    pub fn expire(&mut self, now: Instant, incarnation: impl Fn(&WorkerId) -> Option<UnixMillis>) {
        self.tickets
            .retain(|id, ticket| now < ticket.usable_until && incarnation(id) == ticket.incarnation);
    }

    /// Whether a request may be sent.
    pub fn may_request(&self, now: Instant) -> bool {
        self.pending.is_none() && now >= self.retry_at
    }

    /// What is known about a worker.
    pub fn worker(&self, now: Instant, id: &WorkerId, incarnation: Option<UnixMillis>) -> WorkerAdvice {
        match self.answers.get(id) {
            Some(answer) if answer.incarnation != incarnation => WorkerAdvice::Unknown,
            Some(answer) if answer.is_admitted => WorkerAdvice::Admitted,
            Some(answer) if now < answer.answered_at + MAX_REFUSAL_AGE => WorkerAdvice::Refused,
            Some(_) => WorkerAdvice::Outdated,
            None => WorkerAdvice::Unknown,
        }
    }

    /// Notes a request about these workers, and forgets the answers about workers that do not exist any more.
    pub fn begin_request(
        &mut self,
        now: Instant,
        workers: Vec<WorkerProcess>,
        exists: impl Fn(&WorkerId) -> bool,
    ) {
        self.pending = Some((now, workers));
        self.answers.retain(|id, _| exists(id));
    }

    /// Handles the answer to the request in flight; `answer` is absent if there was none, and `incarnation` tells the
    /// present process of a worker. Returns `None` if no request is in flight.
    pub fn finish_request(
        &mut self,
        now: Instant,
        answer: Option<AdviceAnswer>,
        incarnation: impl Fn(&WorkerId) -> Option<UnixMillis>,
    ) -> Option<AdviceSummary> {
        let (requested_at, mut named) = self.pending.take()?;
        let mut summary = AdviceSummary {
            named: named.len(),
            admitted: None,
            elapsed: now.saturating_duration_since(requested_at),
        };
        self.retry_at = now + RETRY_PAUSE;
        let Some(answer) = answer else {
            return Some(summary);
        };
        let margin = TICKET_MARGIN.min(answer.validity / 2);
        let usable_until = now + answer.validity.saturating_sub(margin);
        let mut admitted: BTreeMap<WorkerId, Arc<str>> = answer.tickets.into_iter().collect();
        summary.admitted = Some(admitted.len());
        let unnamed = admitted
            .keys()
            .filter(|id| named.iter().all(|(name, _)| name != *id));
        let unnamed: Vec<_> = unnamed.map(|id| (id.clone(), incarnation(id))).collect();
        named.extend(unnamed);
        for (id, incarnation) in named {
            let ticket = admitted.remove(&id);
            let advice = WorkerAnswer {
                incarnation,
                is_admitted: ticket.is_some(),
                answered_at: now,
            };
            if self.worker(now, &id, incarnation) == WorkerAdvice::Unknown {
                // The next request is about other workers.
                self.retry_at = now;
            }
            self.answers.insert(id.clone(), advice);
            if let Some(ticket) = ticket {
                let ticket = AdviceTicket {
                    ticket,
                    incarnation,
                    usable_until,
                };
                self.tickets.insert(id, ticket);
            }
        }
        Some(summary)
    }

    /// Forgets the ticket that a worker rejected, and what was answered about the worker: its process may be another one.
    pub fn reject_ticket(&mut self, now: Instant, id: &WorkerId) {
        self.tickets.remove(id);
        self.answers.remove(id);
        self.retry_at = self.retry_at.max(now + RETRY_PAUSE * self.rejections);
        self.rejections = (self.rejections + 1).min(MAX_PAUSE_FACTOR);
    }

    /// Notes that a worker took a ticket.
    pub fn accept_ticket(&mut self) {
        self.rejections = 0;
    }
}
