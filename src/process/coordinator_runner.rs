//! Runs the coordinator's rounds while this session leads, and collects the sessions' reports for them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use slog::{debug, info, warn};

use crate::connection::peer_call::{PeerReply, PeerRequest};
use crate::model::id::{InstanceId, LeaderTerm, PoolId, SessionId, TeamId};
use crate::model::priority::WorkPriority;
use crate::policy::allowance::TeamUsage;
use crate::policy::coordinator_plan::{CoordinatorEvent, CoordinatorSettings, SessionReport};
use crate::policy::session_view::EndEvidence;
use crate::port::worker::client::WorkerClient;
use crate::process::admin::wait_board::WaitBoard;
use crate::process::control_loop::ControlLoop;
use crate::process::coordinator::{Coordinator, ROUND_INTERVAL};
use crate::process::job_runner::JobRunner;
use crate::process::job_usage::JobUsage;
use crate::request::entry_context::EntryContext;
use crate::version::journal_writer::JournalWriter;

/// Timeout for the report of a session. A session that answers later is asked again in the next round.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Dependencies of the coordinator, besides the control loop.
#[derive(Debug, Clone)]
pub struct CoordinatorContext {
    /// Client for calls to workers.
    pub workers: WorkerClient,
    /// Longest age of a confirmed view with which a session admits keyed work.
    pub freshness: Duration,
    /// Runs the jobs of this session, which are part of its report.
    pub runner: JobRunner,
    /// Receives the reasons why plans wait, which operators can read.
    pub waits: WaitBoard,
}

/// Runs rounds while this session is the coordinator, until the task is aborted.
pub async fn run_coordinator(
    context: Arc<EntryContext>,
    control: ControlLoop,
    coordinator_context: CoordinatorContext,
) {
    let session = control.session().clone();
    let clock = Arc::clone(&context.clock);
    let writer = JournalWriter::new(control.reader().clone(), session.clone(), Arc::clone(&clock));
    let settings = CoordinatorSettings {
        freshness: coordinator_context.freshness,
        ..CoordinatorSettings::default()
    };
    let coordinator = Coordinator::new(
        session,
        clock,
        context.version.clone(),
        writer,
        coordinator_context.workers.clone(),
    )
    .with_settings(settings);
    let mut term = None;
    let mut interval = tokio::time::interval(ROUND_INTERVAL);
    loop {
        interval.tick().await;
        let current = control.term();
        if current != term {
            switch_term(&context, &coordinator, current).await;
            coordinator_context.waits.set(Vec::new());
            term = current;
        }
        if term.is_some() {
            update_sessions(&context, &control, &coordinator, &coordinator_context.runner).await;
            run_round(&context, &coordinator, &coordinator_context.waits).await;
        }
    }
}

async fn switch_term(context: &EntryContext, coordinator: &Coordinator, term: Option<LeaderTerm>) {
    let Some(term) = term else {
        info!(context.log, "no longer the coordinator");
        coordinator.stop_term().await;
        return;
    };
    info!(context.log, "became the coordinator"; "term" => %term);
    if let Err(error) = coordinator.start_term(term).await {
        warn!(context.log, "coordinator could not start its term"; "detail" => %error);
    }
}

async fn run_round(context: &EntryContext, coordinator: &Coordinator, waits: &WaitBoard) {
    match coordinator.run_round().await {
        Ok(report) => {
            if let Some(revision) = report.committed {
                info!(context.log, "coordinator changed the fleet";
                    "revision" => %revision, "changes" => report.step.changes.len());
            }
            waits.set(report.step.waits);
            for (command, error) in report.failed {
                debug!(context.log, "worker command failed"; "effect" => %command, "detail" => %error);
            }
        }
        Err(error) => warn!(context.log, "coordinator round failed"; "detail" => %error),
    }
}

/// Tells the coordinator which sessions are registered, which have ended, and what each one reports.
async fn update_sessions(
    context: &EntryContext,
    control: &ControlLoop,
    coordinator: &Coordinator,
    runner: &JobRunner,
) {
    let own = control.session().clone();
    coordinator
        .handle_event(CoordinatorEvent::Reported(own, session_report(context, runner)))
        .await;
    // A registered session may place work even if this session cannot reach it, so drains wait for it too.
    for session in control.read_view(|guard, _| guard.active_sessions()) {
        coordinator
            .handle_event(CoordinatorEvent::SessionRegistered(session))
            .await;
    }
    let hub = control.hub();
    let events = hub.sessions().into_iter().map(|(session, info)| async move {
        let evidence = control.read_view(|guard, _| guard.end_evidence(&session));
        match evidence {
            Some(EndEvidence::Left) => Some(CoordinatorEvent::Left(session)),
            Some(_) => Some(CoordinatorEvent::Ended(session)),
            None if info.is_connected => request_report(control, session).await,
            None => None,
        }
    });
    for event in join_all(events).await.into_iter().flatten() {
        coordinator.handle_event(event).await;
    }
}

async fn request_report(control: &ControlLoop, session: SessionId) -> Option<CoordinatorEvent> {
    let reply = control
        .hub()
        .call(&session, PeerRequest::Report, REPORT_TIMEOUT)
        .await;
    match reply {
        Ok(PeerReply::Report(report)) => Some(CoordinatorEvent::Reported(session, report)),
        _ => None,
    }
}

/// Returns the report of this session. The admission controller already applies the reported revision, so
/// that no work starts afterwards on an instance that does not serve at that revision, or above an allowance
/// that it lowers.
pub fn session_report(context: &EntryContext, runner: &JobRunner) -> SessionReport {
    let state = context.current_state();
    let (running, waiting) = context.admission.demand();
    let mut teams: BTreeMap<TeamId, TeamUsage> = BTreeMap::new();
    let mut wanted: BTreeMap<PoolId, f64> = BTreeMap::new();
    for (kind, count) in running.iter().chain(&waiting) {
        teams.entry(kind.1.clone()).or_default().wanted += count;
        let Some(service) = state.records.services.get(&kind.0) else {
            continue;
        };
        if kind.2 != WorkPriority::Overnight {
            *wanted.entry(service.pool.clone()).or_default() += f64::from(*count);
        }
    }
    for (team, count) in context.admission.running_by_team() {
        teams.entry(team).or_default().running = count;
    }
    let mut in_flight = context.admission.in_flight_counts();
    add_job_usage(
        &runner.with_scheduler(|scheduler| JobUsage::from_scheduler(scheduler)),
        &mut in_flight,
        &mut teams,
        &mut wanted,
    );
    SessionReport {
        folded: state.revision,
        in_flight,
        teams,
        wanted,
        unhealthy: context.admission.ejected_servers(),
    }
}

/// Adds tasks and waiting jobs to a report. A lowered allowance is acknowledged only when requests and tasks
/// together are within it, so that the report needs both.
fn add_job_usage(
    jobs: &JobUsage,
    in_flight: &mut BTreeMap<InstanceId, u32>,
    teams: &mut BTreeMap<TeamId, TeamUsage>,
    wanted: &mut BTreeMap<PoolId, f64>,
) {
    for (instance, count) in &jobs.in_flight {
        *in_flight.entry(instance.clone()).or_insert(0) += count;
    }
    for (team, count) in jobs.running_by_team() {
        let team = teams.entry(team).or_default();
        team.running += count;
        team.wanted += count;
    }
    for ((_, team, _), count) in &jobs.waiting {
        let team = teams.entry(team.clone()).or_default();
        team.wanted = team
            .wanted
            .saturating_add(u32::try_from(*count).unwrap_or(u32::MAX));
    }
    let running = jobs.running.iter().map(|(kind, count)| (kind, f64::from(*count)));
    let waiting = jobs.waiting.iter().map(|(kind, count)| (kind, *count as f64));
    for ((pool, _, priority), count) in running.chain(waiting) {
        if *priority != WorkPriority::Overnight {
            *wanted.entry(pool.clone()).or_default() += count;
        }
    }
}
