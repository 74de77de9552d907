//! Connects the request path with the control loop: admission by the age of the view, calls between peers
//! about tickets and allowances, the split of slots within the zone, and demand reports.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use slog::info;

use crate::clock::SharedClock;
use crate::connection::peer_call::{PeerReply, PeerRequest};
use crate::connection::peer_demand::{DemandLine, DemandReport, PriorityCounts};
use crate::error::{Error, ErrorKind, Result};
use crate::journal::fleet_state::FleetState;
use crate::model::amount::SlotCount;
use crate::model::id::{PoolId, SessionId, TeamId};
use crate::model::priority::WorkPriority;
use crate::policy::session_view::EndEvidence;
use crate::policy::zone_split::{PeerStatus, ZoneSplitter};
use crate::process::admin::message::TeamLoad;
use crate::process::control_loop::ControlLoop;
use crate::process::coordinator_runner;
use crate::process::job_runner::JobRunner;
use crate::process::job_usage::JobUsage;
use crate::process::peer_hub::PeerHub;
use crate::process::team_share;
use crate::request::admission_controller::WorkKind;
use crate::request::entry_context::{EntryContext, KeyedGuard};
use crate::request::ticket_registry::{TicketCall, TicketLink, TicketReply};

/// Timeout of a ticket call to another session, which takes one message in each direction.
const TICKET_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between updates of the request path from the control loop.
const SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// Time between demand reports. They are sent with pings, every 500 ms, so a shorter interval would have no
/// effect.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// Longest chain of handovers along which the holder of a ticket table is looked up.
const MAX_HANDOVER_HOPS: u32 = 16;

/// Creates the guard that admits keyed work by the age of the view at the time of the check.
pub fn keyed_guard(control: &ControlLoop, clock: &SharedClock) -> KeyedGuard {
    let control = control.clone();
    let clock = Arc::clone(clock);
    KeyedGuard::new(move |grant| control.may_admit_with_grant(clock.now(), grant))
}

/// Creates the link that sends ticket calls over the peer links to the current holder of the ticket table.
pub fn ticket_link(hub: &PeerHub) -> TicketLink {
    let hub = hub.clone();
    TicketLink::new(move |session, call| {
        let hub = hub.clone();
        Box::pin(async move { call_ticket_holder(&hub, session, call).await })
    })
}

/// Calls the holder of the session's ticket table. A handover itself goes to the named session.
async fn call_ticket_holder(hub: &PeerHub, session: SessionId, call: TicketCall) -> Result<TicketReply> {
    let mut holder = session;
    if !matches!(call, TicketCall::HandOver(_)) {
        for _ in 0..MAX_HANDOVER_HOPS {
            match hub.ticket_holder(&holder) {
                Some(next) => holder = next,
                None => break,
            }
        }
    }
    match hub
        .call(&holder, PeerRequest::Ticket(call), TICKET_CALL_TIMEOUT)
        .await?
    {
        PeerReply::Ticket(reply) => Ok(reply),
        other => Err(Error::new(
            ErrorKind::BadMessage,
            format!("unexpected reply of session {holder} to a ticket call: {other:?}"),
        )),
    }
}

/// Registers handlers for peers' calls about tickets, session reports and allowance usage.
pub fn register_peer_handlers(hub: &PeerHub, context: &Arc<EntryContext>, runner: &JobRunner) {
    let (context, runner) = (Arc::clone(context), runner.clone());
    hub.add_request_handler(
        move |_, request| -> Option<BoxFuture<'static, Result<PeerReply>>> {
            match request {
                PeerRequest::Ticket(call) => {
                    let context = Arc::clone(&context);
                    let call = call.clone();
                    Some(Box::pin(async move {
                        context
                            .tickets
                            .handle_peer_call(call)
                            .await
                            .map(PeerReply::Ticket)
                    }))
                }
                PeerRequest::Report => {
                    let report = coordinator_runner::session_report(&context, &runner);
                    Some(Box::pin(std::future::ready(Ok(PeerReply::Report(report)))))
                }
                PeerRequest::AllowanceUse => {
                    let reply = allowance_usage(&context, &runner);
                    Some(Box::pin(std::future::ready(Ok(reply))))
                }
                _ => None,
            }
        },
    );
}

/// Running work by team. The admission controller already applies the reported revision, so that no work
/// above its allowances starts afterwards.
fn allowance_usage(context: &EntryContext, runner: &JobRunner) -> PeerReply {
    let state = context.current_state();
    let mut running = context.admission.running_by_team();
    let tasks = runner
        .with_scheduler(|scheduler| JobUsage::from_scheduler(scheduler))
        .running_by_team();
    for (team, count) in tasks {
        *running.entry(team).or_insert(0) += count;
    }
    PeerReply::AllowanceUse {
        revision: state.revision,
        running: running
            .into_iter()
            .map(|(team, count)| (team, SlotCount::new(count)))
            .collect(),
    }
}

/// Updates slots, task counts, readiness and tickets from the control loop until the task is aborted.
pub async fn sync_with_control(context: Arc<EntryContext>, control: ControlLoop) {
    let mut splitter = ZoneSplitter::new(control.session().clone());
    let mut ended_at = BTreeMap::new();
    let mut interval = tokio::time::interval(SYNC_INTERVAL);
    loop {
        interval.tick().await;
        let state = context.current_state();
        handle_ended_sessions(&context, &control, &mut ended_at);
        let peers = zone_peer_status(&control, &ended_at);
        let is_introduced = control.read_view(|guard, _| guard.is_introduced());
        let split = splitter.update(context.clock.now(), &peers, is_introduced);
        context.admission.set_split(split, &state);
        context.admission.recount_tasks();
        context.set_ready(control.is_ready() && is_introduced);
    }
}

/// Publishes this session's demand to the peers and passes the teams' shares to the job runner, until the
/// task is aborted.
pub async fn report_demand(context: Arc<EntryContext>, control: ControlLoop, runner: JobRunner) {
    let mut interval = tokio::time::interval(DEMAND_INTERVAL);
    loop {
        interval.tick().await;
        let report = demand_report(&context, &runner);
        update_job_scheduler(&context.version.current(), &control, &runner, &report);
        control.hub().publish_demand(report);
    }
}

/// Status of the other sessions in this session's zone. `ended_at` has the time at which the end of each
/// ended session was first noticed.
fn zone_peer_status(
    control: &ControlLoop,
    ended_at: &BTreeMap<SessionId, Instant>,
) -> BTreeMap<SessionId, PeerStatus> {
    let sessions = control.hub().sessions();
    let zone = &control.record().zone;
    let in_zone = sessions.into_iter().filter(|(_, info)| info.record.zone == *zone);
    control.read_view(|guard, now| {
        in_zone
            .map(|(session, _)| {
                let noticed_at = ended_at.get(&session).copied().unwrap_or(now);
                let status = match guard.end_evidence(&session) {
                    None => PeerStatus::Active,
                    Some(EndEvidence::Left) => PeerStatus::Left,
                    Some(_) => PeerStatus::Ended(guard.allowance_free_at(&session, noticed_at)),
                };
                (session, status)
            })
            .collect()
    })
}

/// Records newly ended sessions in `ended_at`, and ends the work that they had claimed here with an unknown
/// outcome.
fn handle_ended_sessions(
    context: &EntryContext,
    control: &ControlLoop,
    ended_at: &mut BTreeMap<SessionId, Instant>,
) {
    for session in control.hub().sessions().into_keys() {
        let Some(evidence) = control.read_view(|guard, _| guard.end_evidence(&session)) else {
            continue;
        };
        if ended_at.contains_key(&session) {
            continue;
        }
        info!(context.log, "session ended"; "peer" => %session, "evidence" => %evidence);
        context.tickets.on_session_gone(&session);
        ended_at.insert(session, context.clock.now());
    }
}

/// Running and waiting work of requests and jobs, by team and pool.
fn demand_report(context: &EntryContext, runner: &JobRunner) -> DemandReport {
    let state = context.version.current();
    let (running, waiting) = context.admission.demand();
    let mut lines: BTreeMap<(TeamId, PoolId), (PriorityCounts, PriorityCounts)> = BTreeMap::new();
    let line_key = |kind: &WorkKind| -> Option<((TeamId, PoolId), WorkPriority)> {
        let service = state.records.services.get(&kind.0)?;
        Some(((kind.1.clone(), service.pool.clone()), kind.2))
    };
    for (kind, count) in &running {
        if let Some((key, priority)) = line_key(kind) {
            lines.entry(key).or_default().0.add(priority, *count);
        }
    }
    for (kind, count) in &waiting {
        if let Some((key, priority)) = line_key(kind) {
            lines.entry(key).or_default().1.add(priority, *count);
        }
    }
    let jobs = runner.with_scheduler(|scheduler| JobUsage::from_scheduler(scheduler));
    for ((pool, team, priority), count) in jobs.running {
        lines.entry((team, pool)).or_default().0.add(priority, count);
    }
    for ((pool, team, priority), count) in jobs.waiting {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        lines.entry((team, pool)).or_default().1.add(priority, count);
    }
    let lines = lines
        .into_iter()
        .map(|((team, pool), (running, waiting))| DemandLine {
            team: Some(team),
            pool,
            running,
            waiting,
        });
    DemandReport {
        lines: lines.collect(),
    }
}

/// Tells the job scheduler how many sessions share the store's write rate, and the share of each team.
fn update_job_scheduler(
    state: &FleetState,
    control: &ControlLoop,
    runner: &JobRunner,
    own_demand: &DemandReport,
) {
    let sessions = control.read_view(|guard, _| guard.active_sessions().len() as u32) + 1;
    let mut peer_demand = control.hub().demand();
    peer_demand.remove(control.session());
    let shares = team_share::team_shares(state, own_demand, peer_demand.values());
    runner.with_scheduler(|scheduler| {
        scheduler.set_session_count(sessions);
        scheduler.set_shares(&shares);
    });
}

/// Number of running and waiting requests of a team on this session. The entitlement is not known here.
pub fn team_load(context: &EntryContext, team: &TeamId) -> TeamLoad {
    let (running, waiting) = context.admission.demand();
    let sum = |counts: &BTreeMap<WorkKind, u32>| {
        let of_team = counts.iter().filter(|(kind, _)| kind.1 == *team);
        of_team.map(|(_, count)| *count).sum()
    };
    TeamLoad {
        running: sum(&running),
        waiting: sum(&waiting),
        entitled: None,
    }
}

/// Hands the tickets over to a connected peer, preferably in the same zone, and returns that peer.
///
/// # Errors
/// `peer_unavailable` if no peer is connected or the peer does not accept them.
pub async fn hand_over_tickets(context: &EntryContext, control: &ControlLoop) -> Result<SessionId> {
    let sessions = control.hub().sessions();
    let zone = &control.record().zone;
    let connected = || sessions.iter().filter(|(_, info)| info.is_connected);
    let peer = connected()
        .find(|(_, info)| info.record.zone == *zone)
        .or_else(|| connected().next());
    let Some((peer, _)) = peer else {
        return Err(Error::new(ErrorKind::PeerUnavailable, "no peer is connected"));
    };
    context.tickets.hand_over(peer).await?;
    Ok(peer.clone())
}
