//! Carries out the actions of the coordinator duty, and what only its holder does to journal and sessions.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::error::Result;
use crate::journal::entry::{EntryActor, EntryChange};
use crate::journal::fleet_state::FleetState;
use crate::model::id::{LeaderTerm, LeaseId, Revision};
use crate::policy::leader_lease::{LEADER_TTL, LeaderAction, LeaderEvent};
use crate::policy::view_guard::ViewGuard;
use crate::port::store::call::{PutExpect, StoreError};
use crate::port::store::client::StoreClient;
use crate::process::control_loop::ControlState;
use crate::process::peer_hub::lock;
use crate::version::journal_compactor::JournalCompactor;
use crate::version::snapshot_store;

/// Key of the duty in the store.
const LEADER_KEY: &str = "duty/coordinator";

/// Time between ticks of the duty.
const ELECTION_INTERVAL: Duration = Duration::from_millis(250);

/// Time between looks for sessions to forget and for work of the compactor.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);

/// Entries after a snapshot before the next one. At 38,000 changes a day, a snapshot is due about hourly.
const COMPACTION_THRESHOLD: u64 = 1500;

/// Runs until the daemon stops.
pub(super) async fn run(state: Arc<ControlState>) {
    loop {
        tokio::time::sleep(ELECTION_INTERVAL).await;
        let may_change = state.view.read(|guard, _| guard.check_may_change()).is_ok();
        let event = LeaderEvent::Tick {
            may_lead: may_change && !state.is_draining.load(Ordering::Acquire),
            polls_often: state.is_zone_watcher(),
        };
        process_event(&state, event).await;
    }
}

/// Forgets sessions and compacts the journal while the duty is held. A task of its own, so that a slow store
/// delays no renewal of the duty.
pub(super) async fn run_maintenance(state: Arc<ControlState>) {
    let mut last_snapshot = Revision::default();
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        if lock(&state.leader_lease).term(state.clock.now()).is_none() {
            continue;
        }
        forget_inactive_sessions(&state).await;
        if state.reader.log().revision().get() >= last_snapshot.get() + COMPACTION_THRESHOLD {
            // After a failure the next look tries again.
            last_snapshot = compact(&state, last_snapshot).await.unwrap_or(last_snapshot);
        }
    }
}

/// Tells the duty which holder the folded state names.
pub(super) fn handle_folded(state: &ControlState, current: &FleetState) {
    let leader = current.duty.as_ref();
    let event = LeaderEvent::LeaderObserved {
        leader: leader.map(|leader| (leader.session.clone(), leader.term)),
    };
    let actions = handle_event(state, event);
    // A revocation is skipped here: the lease ends by its time.
    for action in actions {
        publish_term(state, &action);
    }
}

async fn process_event(state: &ControlState, event: LeaderEvent) {
    let mut actions: VecDeque<LeaderAction> = handle_event(state, event).into();
    while let Some(action) = actions.pop_front() {
        publish_term(state, &action);
        if let Some(event) = execute(state, action).await {
            actions.extend(handle_event(state, event));
        }
    }
}

fn handle_event(state: &ControlState, event: LeaderEvent) -> Vec<LeaderAction> {
    let mut leader_lease = lock(&state.leader_lease);
    leader_lease.on_event(state.clock.now(), event)
}

fn publish_term(state: &ControlState, action: &LeaderAction) {
    match action {
        LeaderAction::StartLeading { term } => drop(state.leader_term.send_replace(Some(*term))),
        LeaderAction::StopLeading => drop(state.leader_term.send_replace(None)),
        _ => {}
    }
}

async fn execute(state: &ControlState, action: LeaderAction) -> Option<LeaderEvent> {
    let client = state.reader.client();
    let sent_at = state.clock.now();
    match action {
        LeaderAction::Poll => Some(poll_key(client).await),
        LeaderAction::GrantLease => Some(grant_lease(client, sent_at).await),
        LeaderAction::WriteKey { lease } => Some(write_key(state, client, lease).await),
        LeaderAction::AppendTerm => Some(append_term(state).await),
        LeaderAction::Renew { lease } => Some(renew_lease(client, lease, sent_at).await),
        LeaderAction::Revoke { lease } => {
            // Without an answer the lease ends by its time.
            drop(client.revoke_lease(lease).await);
            None
        }
        LeaderAction::StartLeading { .. } | LeaderAction::StopLeading => None,
    }
}

async fn poll_key(client: &StoreClient) -> LeaderEvent {
    match client.get(LEADER_KEY).await {
        Ok(stored) => LeaderEvent::Polled {
            is_held: stored.is_some(),
        },
        Err(_) => LeaderEvent::Failed,
    }
}

async fn grant_lease(client: &StoreClient, sent_at: Instant) -> LeaderEvent {
    match client.grant_lease(LEADER_TTL).await {
        Ok(lease) => LeaderEvent::Granted { lease, sent_at },
        Err(_) => LeaderEvent::Failed,
    }
}

async fn write_key(state: &ControlState, client: &StoreClient, lease: LeaseId) -> LeaderEvent {
    // Session and lease together name this try, which decides a lost answer.
    let value = Bytes::from(format!("{} {lease}", state.record.id));
    let result = client
        .put(LEADER_KEY, value.clone(), PutExpect::Absent, Some(lease))
        .await;
    let is_written = match result {
        Ok(_) => true,
        Err(StoreError::TimedOut) => {
            let current = client.get(LEADER_KEY).await;
            current.is_ok_and(|current| current.is_some_and(|stored| stored.value == value))
        }
        Err(_) => false,
    };
    if is_written {
        LeaderEvent::KeyWritten
    } else {
        LeaderEvent::Failed
    }
}

async fn append_term(state: &ControlState) -> LeaderEvent {
    let session = state.record.id.clone();
    let actor = EntryActor::System(session.clone());
    let build = move |_: &FleetState| {
        let session = session.clone();
        Ok(vec![EntryChange::TakeDuty { session }])
    };
    match state.apply(actor, build).await {
        Ok(number) => LeaderEvent::TermCommitted {
            term: LeaderTerm::new(number.get()),
        },
        Err(_) => LeaderEvent::Failed,
    }
}

async fn renew_lease(client: &StoreClient, lease: LeaseId, sent_at: Instant) -> LeaderEvent {
    match client.renew_lease(lease).await {
        Ok(()) => LeaderEvent::Renewed { sent_at },
        Err(StoreError::LeaseEnded) => LeaderEvent::LeaseEnded,
        Err(_) => LeaderEvent::Failed,
    }
}

async fn forget_inactive_sessions(state: &ControlState) {
    let sessions = state.view.read(ViewGuard::forgettable_sessions);
    for session in sessions {
        let actor = EntryActor::System(state.record.id.clone());
        // The next look tries again.
        drop(state.forget(session, actor).await);
    }
}

/// Compacts the journal if enough entries follow the newest snapshot. Returns that snapshot's revision.
async fn compact(state: &ControlState, last_snapshot: Revision) -> Result<Revision> {
    let client = state.reader.client().clone();
    let head = snapshot_store::read_pointer(&client).await?;
    let newest = head.map_or(last_snapshot, |(head, _)| head.revision);
    let current = state.reader.log().current();
    if current.revision.get() < newest.get() + COMPACTION_THRESHOLD {
        return Ok(newest);
    }
    let compactor = JournalCompactor::new(client, Arc::clone(&state.clock));
    let report = compactor.compact(&current).await?;
    Ok(report.revision)
}
