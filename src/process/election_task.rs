//! Takes part in the election of the coordinator, and does the maintenance of journal and sessions that only
//! the coordinator does.

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

/// Store key that names the coordinator.
const LEADER_KEY: &str = "duty/coordinator";

/// Time between steps of the election.
const ELECTION_INTERVAL: Duration = Duration::from_millis(250);

/// Time between checks for sessions to remove and for entries to compact.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);

/// Entries after a snapshot at which the next one is due. At 38,000 changes a day this is about once an hour.
const COMPACTION_THRESHOLD: u64 = 1500;

/// Takes part in the election until the daemon stops.
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

/// Removes inactive sessions and compacts the journal while this session leads. Runs in a separate task, so
/// that a slow store does not delay the renewal of the leader lease.
pub(super) async fn run_maintenance(state: Arc<ControlState>) {
    let mut last_snapshot = Revision::default();
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        if lock(&state.leader_lease).term(state.clock.now()).is_none() {
            continue;
        }
        forget_inactive_sessions(&state).await;
        if state.reader.log().revision().get() >= last_snapshot.get() + COMPACTION_THRESHOLD {
            // A failed compaction is tried again after the next interval.
            last_snapshot = compact(&state, last_snapshot).await.unwrap_or(last_snapshot);
        }
    }
}

/// Passes the coordinator that the folded state names to the leader lease.
pub(super) fn handle_folded(state: &ControlState, current: &FleetState) {
    let leader = current.duty.as_ref();
    let event = LeaderEvent::LeaderObserved {
        leader: leader.map(|leader| (leader.session.clone(), leader.term)),
    };
    let actions = handle_event(state, event);
    // Only the term is published; a revocation is not sent from here, so that the store's lease expires by
    // itself.
    for action in actions {
        publish_term(state, &action);
    }
}

/// Handles an event and executes the resulting actions, whose outcomes are events again.
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
    leader_lease.handle_event(state.clock.now(), event)
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
            // If the call fails, the lease expires by itself.
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
    // Session and lease identify this attempt, so that a read can tell after a timeout whether the write
    // succeeded.
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
        // A failed removal is tried again after the next interval.
        drop(state.forget(session, actor).await);
    }
}

/// Compacts the journal if enough entries follow the newest snapshot. Returns the revision of the newest
/// snapshot.
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
