//! Requests advice on the workers that may run a step, and keeps the tickets with which its tasks start.
//!
//! A request names the workers that can take a task now, those that are known to be admitted first. The others follow, so
//! that in the end each worker is known to be admitted or refused.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::dispatch::advice_pace::AdvicePace;
use crate::dispatch::command::{AdviceAnswer, AdviceRequest, PoolCommand};
use crate::dispatch::hold_reason::HoldReason;
use crate::dispatch::job_record::AdviceRule;
use crate::dispatch::job_spec::StepSpec;
use crate::dispatch::placement::{self, PlacementRequest};
use crate::dispatch::pool_scheduler::{PoolScheduler, gang_starts};
use crate::dispatch::step_advice::{StepAdvice, WorkerAdvice};
use crate::dispatch::task_id::{StepId, TaskId};
use crate::dispatch::worker_state::WorkerState;
use crate::model::amount::MilliCores;
use crate::model::id::{QueueId, WorkerId};
use crate::model::unix_time::UnixMillis;

/// Upper bound of the workers that the service accepts in one request.
const MAX_NAMED_WORKERS: usize = 100;

/// Upper bound of the requests of one queue that wait or are in flight. The second one is sent when the first one is
/// answered, so that the service is not idle meanwhile.
const MAX_QUEUE_REQUESTS: usize = 2;

/// Multiple of the room that the waiting tasks need for which tickets are renewed. Other jobs may take a part of it
/// before the tickets arrive.
const RENEWED_ROOM_FACTOR: u64 = 2;

/// How soon a worker could take a task of the step; sooner ones are asked about first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WorkerReadiness {
    /// It can take a task now.
    Ready,
    /// It has room, and something else keeps it from taking tasks for some time.
    Held,
    /// It has no room, or no place by the step's spread.
    Full,
}

/// Worker that a request may name. The order of the fields is that in which workers are asked about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct AdviceCandidate {
    readiness: WorkerReadiness,
    advice: WorkerAdvice,
    free: Reverse<MilliCores>,
    /// Number of tasks of the step that it has room for.
    room: Reverse<u64>,
    id: WorkerId,
}

/// Requests for advice by queue.
#[derive(Debug, Default)]
pub(super) struct AdviceQueues {
    /// Requests that wait or are in flight, also for jobs that have ended since: the number of workers named.
    pending: BTreeMap<StepId, (QueueId, usize)>,
    paces: BTreeMap<QueueId, AdvicePace>,
}

impl AdviceQueues {
    fn pace(&self, queue: &QueueId) -> AdvicePace {
        self.paces.get(queue).copied().unwrap_or_default()
    }

    fn count_pending(&self, queue: &QueueId) -> usize {
        self.pending.values().filter(|(other, _)| other == queue).count()
    }

    /// Records the end of a request; `latency` is absent without an answer.
    fn end_request(&mut self, step: &StepId, rule: Option<&AdviceRule>, latency: Option<Duration>) {
        let Some((queue, workers)) = self.pending.remove(step) else {
            return;
        };
        if let Some(rule) = rule {
            self.paces
                .entry(queue)
                .or_default()
                .record(rule, workers, latency);
        }
    }
}

impl PoolScheduler {
    /// Whether tickets are available with which the waiting tasks of a step can start: some task of them, or all members
    /// of a gang. Requests tickets if not. With `wanted`, only a ticket for this worker counts.
    pub(super) fn ensure_tickets(
        &mut self,
        now: Instant,
        step: &StepId,
        spec: &StepSpec,
        waiting: &[u32],
        wanted: Option<&WorkerId>,
        commands: &mut Vec<PoolCommand>,
    ) -> bool {
        let Some(first) = waiting.first().map(|index| step.task(*index)) else {
            return false;
        };
        // A worker that cannot take the task now may not do so before it is given up.
        let wanted = wanted.filter(|id| self.is_ready(now, id, &first, spec));
        let workers = &self.workers;
        if let Some(advice) = self.advice.get_mut(step) {
            advice.expire(now, |id| find_incarnation(workers, id));
            if self.has_tickets(now, &first, spec, waiting.len() as u64, wanted) {
                return true;
            }
        }
        let tasks = waiting.len() as u64;
        if let Some(request) = self.request_tickets(now, &first, spec, tasks, wanted) {
            commands.push(PoolCommand::RequestAdvice(request));
        }
        false
    }

    /// Request for the tickets of so many waiting tasks, of which `first` is one; `None` if none may be sent now, or
    /// there is no worker to ask about.
    fn request_tickets(
        &mut self,
        now: Instant,
        first: &TaskId,
        spec: &StepSpec,
        tasks: u64,
        wanted: Option<&WorkerId>,
    ) -> Option<AdviceRequest> {
        let step = &first.step;
        let known = self.advice.get(step);
        if known.is_some_and(|advice| !advice.may_request(now)) {
            return None;
        }
        let (queue, rule) = self.advice_rule(step)?;
        let pending = self.advice_queues.count_pending(&queue);
        if pending >= MAX_QUEUE_REQUESTS || self.advice_queues.pending.contains_key(step) {
            return None;
        }
        let pace = self.advice_queues.pace(&queue);
        let max_workers = pace.max_workers(&rule);
        let candidates = self.advice_candidates(now, first, spec, wanted);
        let workers = if spec.is_gang {
            self.name_for_gang(step, candidates, tasks, max_workers)
        } else {
            name_for_tasks(candidates, tasks, max_workers, pending == 0)
        };
        if workers.is_empty() {
            return None;
        }
        let processes = workers
            .iter()
            .map(|id| (id.clone(), find_incarnation(&self.workers, id)))
            .collect();
        let advice = self.advice.entry(step.clone());
        let advice = advice.or_insert_with(|| StepAdvice::new(now));
        advice.begin_request(now, processes, |id| self.workers.contains_key(id));
        let in_flight = (queue.clone(), workers.len());
        self.advice_queues.pending.insert(step.clone(), in_flight);
        Some(AdviceRequest {
            step: step.clone(),
            queue,
            timeout: pace.timeout(&rule, workers.len()),
            default_validity: rule.ticket_validity,
            workers,
        })
    }

    /// Queue of a step's job, and its rule for advice.
    fn advice_rule(&self, step: &StepId) -> Option<(QueueId, AdviceRule)> {
        let record = &self.jobs.get(&step.job)?.record;
        Some((record.queue.clone(), record.rule.advice?))
    }

    /// Request for a place of any worker, whether it has a ticket or not.
    fn open_request<'a>(&'a self, task: &'a TaskId, spec: &'a StepSpec) -> Option<PlacementRequest<'a>> {
        Some(PlacementRequest {
            max_pending: u32::MAX,
            ..self.placement_request(task, spec, false)?
        })
    }

    /// Whether the worker can take the task now if it has a ticket.
    fn is_ready(&self, now: Instant, id: &WorkerId, task: &TaskId, spec: &StepSpec) -> bool {
        let worker = self.workers.get(id);
        let request = self.open_request(task, spec);
        worker
            .zip(request)
            .is_some_and(|(worker, request)| placement::is_candidate(now, worker, &request))
    }

    /// Whether a worker with a ticket can take the task, or all `members` of its gang.
    fn has_tickets(
        &self,
        now: Instant,
        task: &TaskId,
        spec: &StepSpec,
        members: u64,
        wanted: Option<&WorkerId>,
    ) -> bool {
        let (Some(advice), Some(request)) = (self.advice.get(&task.step), self.open_request(task, spec))
        else {
            return false;
        };
        if let Some(wanted) = wanted {
            return advice.tickets().contains_key(wanted);
        }
        let mut ready = advice.tickets().keys().filter_map(|id| {
            let worker = self.workers.get(id)?;
            placement::is_candidate(now, worker, &request).then_some(worker)
        });
        if !spec.is_gang {
            return ready.next().is_some();
        }
        let room = ready.map(|worker| gang_starts::count_room(worker, &task.step, spec));
        room.fold(0, u64::saturating_add) >= members
    }

    /// Workers that may be named, the best first. Those that were refused are left out, and those with a ticket too unless
    /// the step is a gang, whose tickets come with one answer.
    fn advice_candidates(
        &self,
        now: Instant,
        task: &TaskId,
        spec: &StepSpec,
        wanted: Option<&WorkerId>,
    ) -> Vec<AdviceCandidate> {
        let Some(request) = self.open_request(task, spec) else {
            return Vec::new();
        };
        let advice = self.advice.get(&task.step);
        let mut candidates = Vec::new();
        for (id, worker) in &self.workers {
            let known = advice.map_or(WorkerAdvice::Unknown, |advice| {
                advice.worker(now, id, worker.incarnation)
            });
            let has_ticket = advice.is_some_and(|advice| advice.tickets().contains_key(id));
            let is_left_out = known == WorkerAdvice::Refused
                || (has_ticket && !spec.is_gang)
                || wanted.is_some_and(|wanted| wanted != id)
                || self.evacuating.contains(id)
                || !placement::is_eligible(worker, spec);
            if is_left_out {
                continue;
            }
            if let Some(readiness) = find_readiness(now, worker, &request) {
                candidates.push(AdviceCandidate {
                    readiness,
                    advice: known,
                    free: Reverse(worker.free().cores),
                    room: Reverse(gang_starts::count_room(worker, &task.step, spec)),
                    id: id.clone(),
                });
            }
        }
        candidates.sort_unstable();
        candidates
    }

    /// Chooses the workers to name for a gang. If the admitted ones have room for all members, they get their tickets with
    /// one answer, which are then valid at the same time; otherwise unknown workers are asked about.
    fn name_for_gang(
        &mut self,
        step: &StepId,
        candidates: Vec<AdviceCandidate>,
        members: u64,
        max_workers: usize,
    ) -> Vec<WorkerId> {
        let is_admitted = |candidate: &&AdviceCandidate| {
            candidate.readiness == WorkerReadiness::Ready && candidate.advice == WorkerAdvice::Admitted
        };
        let mut room = 0_u64;
        let mut named = Vec::new();
        for candidate in candidates.iter().filter(is_admitted).take(MAX_NAMED_WORKERS) {
            room = room.saturating_add(candidate.room.0);
            named.push(candidate.id.clone());
            if room >= members {
                return named;
            }
        }
        let unknown = candidates
            .into_iter()
            .filter(|candidate| candidate.advice != WorkerAdvice::Admitted);
        let named: Vec<_> = unknown.map(|candidate| candidate.id).take(max_workers).collect();
        if named.is_empty() {
            self.gang_starts.note_lack_of_room(step);
        }
        named
    }

    /// Handles the answer of the advice service; `answer` is absent if the request failed.
    pub fn handle_advice(&mut self, now: Instant, step: &StepId, answer: Option<AdviceAnswer>) {
        let rule = self.advice_rule(step).map(|(_, rule)| rule);
        let latency = answer.as_ref().map(|answer| answer.latency);
        self.advice_queues.end_request(step, rule.as_ref(), latency);
        let workers = &self.workers;
        let incarnation = |id: &WorkerId| find_incarnation(workers, id);
        let advice = self.advice.get_mut(step);
        let Some(summary) = advice.and_then(|advice| advice.finish_request(now, answer, incarnation)) else {
            return;
        };
        let answer = summary.admitted.map_or_else(
            || format!("no answer about {} workers", summary.named),
            |admitted| format!("{admitted} of {} workers admitted", summary.named),
        );
        let inputs = format!("step {step}: {answer} after {} ms", summary.elapsed.as_millis());
        self.note("advice", Some(step.job.clone()), None, inputs);
    }
}

/// Start time of the present process of a worker, if that is known.
fn find_incarnation(workers: &BTreeMap<WorkerId, WorkerState>, id: &WorkerId) -> Option<UnixMillis> {
    workers.get(id).and_then(|worker| worker.incarnation)
}

/// How soon a worker could take a task; `None` if that is not foreseeable.
fn find_readiness(
    now: Instant,
    worker: &WorkerState,
    request: &PlacementRequest<'_>,
) -> Option<WorkerReadiness> {
    match placement::hold_reason(now, worker, request) {
        None => Some(WorkerReadiness::Ready),
        Some(HoldReason::NoRoom) => worker.is_usable(now).then_some(WorkerReadiness::Full),
        Some(HoldReason::Full | HoldReason::Isolated | HoldReason::Backoff | HoldReason::Probation) => {
            Some(WorkerReadiness::Held)
        }
        Some(_) => None,
    }
}

/// Chooses the workers to name for tasks that start one by one. Those that can take no task now are named only with
/// `may_wait`, so that they do not hold up requests about others.
fn name_for_tasks(
    mut candidates: Vec<AdviceCandidate>,
    tasks: u64,
    max_workers: usize,
    may_wait: bool,
) -> Vec<WorkerId> {
    let is_ready = |candidate: &AdviceCandidate| candidate.readiness == WorkerReadiness::Ready;
    if candidates.iter().any(is_ready) {
        candidates.retain(is_ready);
    } else if !may_wait {
        return Vec::new();
    } else if candidates
        .iter()
        .any(|candidate| candidate.advice == WorkerAdvice::Admitted)
    {
        // Their tickets are renewed, so that they can be used as soon as there is room.
        let is_full = |candidate: &AdviceCandidate| candidate.readiness == WorkerReadiness::Full;
        candidates.retain(|candidate| candidate.advice == WorkerAdvice::Admitted || !is_full(candidate));
    }
    let needed = tasks.saturating_mul(RENEWED_ROOM_FACTOR);
    let mut room = 0_u64;
    let mut named = Vec::new();
    for candidate in candidates.into_iter().take(max_workers) {
        let is_enough = room >= needed && candidate.advice != WorkerAdvice::Admitted;
        if is_enough {
            break;
        }
        if candidate.advice == WorkerAdvice::Admitted && candidate.readiness == WorkerReadiness::Ready {
            room = room.saturating_add(candidate.room.0);
        }
        named.push(candidate.id);
    }
    named
}
