//! Sample traffic: requests, requests with tickets, and jobs, by a fixed number of callers with fixed seeds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;

use crate::error::WorkOutcome;
use crate::trial::caller::{self, CallerAnswer, CallerRequest, TrialCaller};
use crate::trial::ledger::{CallEnd, CallReport};

/// Longest run time of a request, in milliseconds.
const MAX_REQUEST_MS: u64 = 60;
/// Longest run time of a job, in milliseconds.
const MAX_JOB_MS: u64 = 1200;
/// Longest pause of a caller between two calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;
/// One caller out of this many uses the key of the crowd.
const CROWD_PART: u64 = 3;
/// Time between two looks at a job.
const JOB_POLL: Duration = Duration::from_millis(100);
/// Looks at a job after which it counts as lost.
const MAX_JOB_POLLS: u32 = 300;

/// A service of the traffic.
#[derive(Debug, Clone)]
pub struct TrafficService {
    /// Id.
    pub id: Arc<str>,
    /// Whether figloft may send a request again by itself.
    pub is_idempotent: bool,
}

/// A queue of the traffic.
#[derive(Debug, Clone)]
pub struct TrafficQueue {
    /// Id.
    pub id: Arc<str>,
    /// Keys of teams that may use it; empty for an open queue.
    pub keys: Vec<Arc<str>>,
}

/// Where the traffic goes.
#[derive(Debug, Clone)]
pub struct TrafficPlan {
    /// Callers' addresses of the entry instances.
    pub entries: Vec<SocketAddr>,
    /// Keys, one for each team.
    pub keys: Vec<Arc<str>>,
    /// Key of the team with the lowest limit, used by every third caller, so that its limit is reached.
    pub crowd_key: Option<Arc<str>>,
    /// Services.
    pub services: Vec<TrafficService>,
    /// Queues; empty if the daemon serves none.
    pub queues: Vec<TrafficQueue>,
    /// Callers at once.
    pub callers: u64,
    /// Seed of the callers' choices.
    pub seed: u64,
}

/// Counters that progress lines show.
#[derive(Debug, Default)]
pub struct TrafficProgress {
    /// Calls that ended.
    pub ended: AtomicU64,
    /// Calls that were answered.
    pub answered: AtomicU64,
}

/// One caller.
#[derive(Debug)]
struct CallerLoop {
    number: u64,
    plan: Arc<TrafficPlan>,
    caller: TrialCaller,
    random: StdRng,
    reports: Vec<CallReport>,
}

/// Runs all callers until `stop` becomes true, and returns what they saw.
pub async fn run(
    plan: TrafficPlan,
    progress: Arc<TrafficProgress>,
    stop: watch::Receiver<bool>,
) -> Vec<CallReport> {
    let plan = Arc::new(plan);
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..plan.callers {
        let caller = CallerLoop {
            number,
            plan: Arc::clone(&plan),
            caller: TrialCaller::new(),
            random: StdRng::seed_from_u64(plan.seed ^ (number << 32)),
            reports: Vec::new(),
        };
        tasks.spawn(caller.run(Arc::clone(&progress), stop.clone()));
    }
    tasks.join_all().await.into_iter().flatten().collect()
}

impl CallerLoop {
    async fn run(mut self, progress: Arc<TrafficProgress>, stop: watch::Receiver<bool>) -> Vec<CallReport> {
        let mut count = 0;
        while !*stop.borrow() {
            let label: Arc<str> = Arc::from(format!("c{}-{count}", self.number));
            count += 1;
            let report = match self.random.random_range(0..10_u32) {
                0..=1 if !self.plan.queues.is_empty() => self.call_queue(label).await,
                2..=3 => self.call_with_ticket(label).await,
                _ => self.call_service(label).await,
            };
            let is_answered = report
                .ends
                .iter()
                .any(|end| matches!(end, CallEnd::Answered(_) | CallEnd::JobEnded(WorkOutcome::Ran)));
            progress.ended.fetch_add(1, Ordering::Relaxed);
            progress
                .answered
                .fetch_add(u64::from(is_answered), Ordering::Relaxed);
            self.reports.push(report);
            let pause = self.random.random_range(0..=MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        self.reports
    }

    fn entry(&mut self) -> SocketAddr {
        let entry = self.plan.entries.choose(&mut self.random).copied();
        entry.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn key(&mut self) -> Option<Arc<str>> {
        if self.number.is_multiple_of(CROWD_PART) {
            return self.plan.crowd_key.clone();
        }
        self.plan.keys.choose(&mut self.random).cloned()
    }

    /// A request to a random service, and whether it may run more than once.
    fn service_request(&mut self, label: &Arc<str>) -> (CallerRequest, bool) {
        let service = self.plan.services.choose(&mut self.random).cloned();
        let (id, is_idempotent) =
            service.map_or_else(|| (Arc::from("none"), false), |s| (s.id, s.is_idempotent));
        let run_ms = self.random.random_range(1..=MAX_REQUEST_MS);
        let request = CallerRequest {
            method: Method::POST,
            target: format!("/s/{id}/work?ms={run_ms}"),
            key: self.key(),
            ticket: None,
            label: Arc::clone(label),
            body: Bytes::from(label.to_string()),
        };
        (request, is_idempotent)
    }

    async fn call_service(&mut self, label: Arc<str>) -> CallReport {
        let (request, may_repeat) = self.service_request(&label);
        let entry = self.entry();
        let end = self.caller.send_work(entry, &request).await;
        CallReport {
            label,
            may_repeat,
            ends: vec![end],
        }
    }

    /// A request with a ticket, repeated once through another entry instance, as a cautious caller does.
    async fn call_with_ticket(&mut self, label: Arc<str>) -> CallReport {
        let (mut request, _) = self.service_request(&label);
        let order = CallerRequest {
            target: "/tickets".to_owned(),
            body: Bytes::new(),
            ..request.clone()
        };
        let issuer = self.entry();
        let answer = self.caller.send(issuer, &order).await;
        let mut ends = Vec::new();
        match read_ticket(answer.as_ref()) {
            Ok(ticket) => {
                request.ticket = Some(ticket);
                for _ in 0..2 {
                    let entry = self.entry();
                    ends.push(self.caller.send_work(entry, &request).await);
                }
            }
            Err(end) => ends.push(end),
        }
        CallReport {
            label,
            may_repeat: false,
            ends,
        }
    }

    async fn call_queue(&mut self, label: Arc<str>) -> CallReport {
        let queue = self.plan.queues.choose(&mut self.random).cloned();
        let Some(queue) = queue else {
            return self.call_service(label).await;
        };
        let repeatable = self.random.random_bool(0.5);
        let run_ms = self.random.random_range(1..=MAX_JOB_MS);
        let body = json!({
            "repeatable": repeatable,
            "resources": {"cores": 1000, "memory": 512},
            "payload": json!({"run_ms": run_ms}).to_string(),
        });
        let request = CallerRequest {
            method: Method::POST,
            target: format!("/q/{}/jobs", queue.id),
            key: queue.keys.choose(&mut self.random).cloned(),
            ticket: None,
            label: Arc::clone(&label),
            body: Bytes::from(body.to_string()),
        };
        let entry = self.entry();
        let answer = self.caller.send(entry, &request).await;
        let (label, end) = match read_job(answer.as_ref()) {
            Ok(job) => {
                let end = self.await_job(&queue, &request, &job).await;
                (Arc::from(job), end)
            }
            Err(end) => (label, end),
        };
        CallReport {
            label,
            may_repeat: repeatable,
            ends: vec![end],
        }
    }

    async fn await_job(&mut self, queue: &TrafficQueue, submission: &CallerRequest, job: &str) -> CallEnd {
        let request = CallerRequest {
            method: Method::GET,
            target: format!("/q/{}/jobs/{job}", queue.id),
            body: Bytes::new(),
            ..submission.clone()
        };
        for _ in 0..MAX_JOB_POLLS {
            tokio::time::sleep(JOB_POLL).await;
            let entry = self.entry();
            let answer = self.caller.send(entry, &request).await;
            if let Some(outcome) = answer.as_ref().and_then(read_job_end) {
                return CallEnd::JobEnded(outcome);
            }
        }
        CallEnd::NoAnswer
    }
}

/// Answer to a request for tickets.
#[derive(Deserialize)]
struct IssuedTickets {
    tickets: Vec<String>,
}

/// Answer to a submission.
#[derive(Deserialize)]
struct AcceptedJob {
    id: String,
}

/// The part of a job's state that callers need.
#[derive(Deserialize)]
struct JobState {
    end: Option<JobEnd>,
}

/// End of a job.
#[derive(Deserialize)]
struct JobEnd {
    outcome: WorkOutcome,
}

fn read_ticket(answer: Option<&CallerAnswer>) -> Result<String, CallEnd> {
    let answer = answer.ok_or(CallEnd::NoAnswer)?;
    if answer.status != StatusCode::OK {
        return Err(caller::read_end(answer));
    }
    let issued: Option<IssuedTickets> = serde_json::from_slice(&answer.body).ok();
    issued
        .and_then(|mut issued| issued.tickets.pop())
        .ok_or(CallEnd::NoAnswer)
}

fn read_job(answer: Option<&CallerAnswer>) -> Result<String, CallEnd> {
    let answer = answer.ok_or(CallEnd::NoAnswer)?;
    if answer.status != StatusCode::ACCEPTED {
        return Err(caller::read_end(answer));
    }
    let accepted: Option<AcceptedJob> = serde_json::from_slice(&answer.body).ok();
    accepted.map(|job| job.id).ok_or(CallEnd::NoAnswer)
}

fn read_job_end(answer: &CallerAnswer) -> Option<WorkOutcome> {
    let state: JobState = serde_json::from_slice(&answer.body).ok()?;
    state.end.map(|end| end.outcome)
}
