//! Creates the job runner of this session and connects it with callers, peers and the journal.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Response;
use rand::RngCore;
use slog::{info, warn};

use crate::connection::peer_call::{PeerReply, PeerRequest};
use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::EntryActor;
use crate::model::id::SessionId;
use crate::process::control_loop::ControlLoop;
use crate::process::daemon::DaemonClients;
use crate::process::job_runner::{JobLinks, JobNotice, JobRunner};
use crate::process::job_scheduler::JobScheduler;
use crate::process::team_counter::TeamCounter;
use crate::request::entry_context::EntryContext;
use crate::request::http_server::{EntryHandler, EntryRequest};
use crate::request::job_api::{JobApi, MAX_BODY_BYTES, QUEUE_PREFIX, RemoteAction, RemoteJobCall};
use crate::request::key_check;
use crate::request::response;
use crate::request::response_stream::ResponseStream;

/// Timeout of a call to another session about a job.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a job request no longer delays a drain. Above the 5 s that a submission waits for the
/// store.
const JOB_REQUEST_LIMIT: Duration = Duration::from_secs(10);
/// Time for the body of a job request to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks for ended sessions whose jobs must be adopted.
const ADOPTION_INTERVAL: Duration = Duration::from_secs(1);

/// Creates the job runner of this session. `counter` makes its tasks count against the same allowances as
/// requests.
pub fn job_runner(
    context: &Arc<EntryContext>,
    control: &ControlLoop,
    clients: &DaemonClients,
    counter: TeamCounter,
) -> JobRunner {
    let session = control.session().clone();
    let scheduler = JobScheduler::new(session.clone(), counter, rand::rng().next_u64());
    let fresh = (control.clone(), Arc::clone(&context.clock));
    let notify = (control.clone(), Arc::clone(context));
    let links = JobLinks {
        is_fresh: Arc::new(move || fresh.0.may_admit_keyed(fresh.1.now())),
        notify: Arc::new(move |notice| handle_notice(&notify.0, &notify.1, notice)),
    };
    JobRunner::new(
        session,
        scheduler,
        clients.store.clone(),
        clients.workers.clone(),
        context.version.clone(),
        Arc::clone(&context.clock),
        links,
    )
}

fn handle_notice(control: &ControlLoop, context: &Arc<EntryContext>, notice: JobNotice) {
    match notice {
        JobNotice::Propose(change) => {
            let (control, context) = (control.clone(), Arc::clone(context));
            let actor = EntryActor::System(control.session().clone());
            tokio::spawn(async move {
                let proposed = control.apply(actor, move |_| Ok(vec![change.clone()])).await;
                if let Err(error) = proposed {
                    warn!(context.log, "proposed change not accepted"; "detail" => %error);
                }
            });
        }
        JobNotice::Verdict(verdict) => {
            info!(context.log, "verdict about a worker"; "verdict" => ?verdict);
        }
    }
}

/// Creates the job API, and registers the handler of peer calls about this session's jobs.
pub fn job_api(context: &Arc<EntryContext>, control: &ControlLoop, runner: &JobRunner) -> JobApi {
    let local_runner = runner.clone();
    control.hub().add_request_handler(move |_, request| {
        let PeerRequest::Job { verb, job } = request else {
            return None;
        };
        let reply = match verb {
            RemoteAction::View => local_runner.view(job).ok_or_else(|| {
                Error::new(
                    ErrorKind::NotFound,
                    format!("job {job} does not belong to this session"),
                )
            }),
            RemoteAction::Cancel => local_runner.cancel(job),
        };
        Some(Box::pin(std::future::ready(reply.map(PeerReply::Job))))
    });
    let keys = Arc::clone(context);
    let check_key = Arc::new(move |headers: &http::HeaderMap| {
        keys.check_open()?;
        let key = key_check::check_key(&keys.current_state(), headers)?;
        keys.check_view(&key)?;
        Ok(key.team)
    });
    JobApi::new(
        runner.clone(),
        context.version.clone(),
        Arc::clone(&context.clock),
        check_key,
    )
    .with_remote_call(remote_jobs(control))
}

fn remote_jobs(control: &ControlLoop) -> RemoteJobCall {
    let hub = control.hub().clone();
    Arc::new(move |session, verb, job| {
        let hub = hub.clone();
        Box::pin(async move {
            let request = PeerRequest::Job { verb, job };
            match hub.call(&session, request, PEER_CALL_TIMEOUT).await? {
                PeerReply::Job(view) => Ok(view),
                other => Err(Error::new(
                    ErrorKind::BadMessage,
                    format!("session {session} answered a job call with {other:?}"),
                )),
            }
        })
    })
}

/// Creates the handler of the paths of queues. All other requests go to `fallback`.
pub fn job_handler(context: Arc<EntryContext>, api: JobApi, fallback: EntryHandler) -> EntryHandler {
    Arc::new(move |request| {
        if !request.parts.uri.path().starts_with(QUEUE_PREFIX) {
            return fallback(request);
        }
        let (context, api) = (Arc::clone(&context), api.clone());
        Box::pin(async move {
            let guard = context.in_flight.track(context.clock.now() + JOB_REQUEST_LIMIT);
            let http_response = handle_job_request(&context, &api, &request).await;
            let http_response = http_response.unwrap_or_else(|error| response::error_response(&error));
            http_response.map(|stream| stream.with_in_flight_guard(guard))
        })
    })
}

async fn handle_job_request(
    context: &EntryContext,
    api: &JobApi,
    request: &EntryRequest,
) -> Result<Response<ResponseStream>> {
    context.check_open()?;
    let limits = context.limits.as_ref();
    // The body counts against the memory for bodies until the job is stored.
    let (held, collected);
    let body = if let Some(limits) = limits {
        let deadline = Instant::now() + BODY_TIMEOUT;
        let key = key_check::check_key(&context.current_state(), &request.parts.headers).ok();
        let owner = key.map(|key| key.team.as_str().into());
        held = limits
            .read_body(&request.body, owner, MAX_BODY_BYTES as u64, deadline)
            .await?;
        &held.bytes
    } else {
        collected = request.body.collect(MAX_BODY_BYTES as u64).await?;
        &collected
    };
    let parts = &request.parts;
    let job_response = api
        .handle(&parts.method, parts.uri.path(), &parts.headers, body)
        .await?;
    let mut http_response =
        response::text_response(job_response.status, "application/json", job_response.body);
    response::set_outcome(&mut http_response, job_response.outcome);
    Ok(http_response)
}

/// Adopts the jobs of ended sessions until the task is aborted. The adopter is the live session with the
/// lowest id in the zone of the ended one or, if that zone has none, in the fleet. If two sessions try, the
/// compare-and-swap of the log's owner in the store decides.
pub async fn adopt_jobs(context: Arc<EntryContext>, control: ControlLoop, runner: JobRunner) {
    let mut adopted = std::collections::BTreeSet::new();
    let mut interval = tokio::time::interval(ADOPTION_INTERVAL);
    loop {
        interval.tick().await;
        for ended in sessions_to_adopt(&control) {
            if adopted.contains(&ended) {
                continue;
            }
            match runner.adopt(&ended).await {
                Ok(count) => {
                    info!(context.log, "jobs adopted"; "peer" => %ended, "jobs" => count);
                    adopted.insert(ended);
                }
                Err(error) if error.kind() == ErrorKind::Conflict => drop(adopted.insert(ended)),
                Err(error) => warn!(context.log, "jobs not adopted"; "peer" => %ended, "detail" => %error),
            }
        }
    }
}

fn sessions_to_adopt(control: &ControlLoop) -> Vec<SessionId> {
    let own = control.record();
    let sessions = control.hub().sessions();
    let is_ended = |session: &SessionId| {
        control
            .read_view(|guard, _| guard.end_evidence(session))
            .is_some()
    };
    let (ended, live): (Vec<_>, Vec<_>) = sessions.iter().partition(|(session, _)| is_ended(session));
    let is_lowest = |zone: Option<&crate::model::id::ZoneId>| {
        let candidates = live
            .iter()
            .filter(|(_, info)| zone.is_none_or(|zone| info.record.zone == *zone));
        candidates
            .map(|(session, _)| *session)
            .all(|session| own.id < *session)
    };
    let adoptable = ended.into_iter().filter(|(_, info)| {
        let zone = &info.record.zone;
        let has_live_zone_peer =
            own.zone == *zone || live.iter().any(|(_, other)| other.record.zone == *zone);
        if has_live_zone_peer {
            own.zone == *zone && is_lowest(Some(zone))
        } else {
            is_lowest(None)
        }
    });
    adoptable.map(|(session, _)| session.clone()).collect()
}
