//! Registers this daemon's session in the store, renews its record and discovers other sessions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::error::{ErrorKind, Result};
use crate::model::id::SessionId;
use crate::policy::session_view::EndEvidence;
use crate::policy::view_guard::ViewEvent;
use crate::process::control_loop::ControlState;

/// Time between renewals of the session record.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Renewals between two listings of the sessions, for a session that neither watches for its zone nor waits
/// for its introduction. Listing is only the fallback to discover sessions: new ones introduce themselves.
const RENEWALS_PER_LIST: u32 = 5;

/// Time between checks at startup whether all peers have acknowledged this session.
const INTRODUCTION_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Checks after which a session serves although some peers have not acknowledged it. The reachable ones have
/// by then.
const MAX_INTRODUCTION_POLLS: u32 = 30;

/// Registers the session, waits until it is ready, then renews its record and lists sessions until the daemon
/// stops.
pub(super) async fn run(state: Arc<ControlState>) {
    register(&state).await;
    state.hub.set_registered();
    wait_until_ready(&state).await;
    let mut renewals_since_list = 0;
    loop {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        // The zone's watcher renews its record with each watch call.
        if !state.is_zone_watcher() {
            renew(&state).await;
        }
        renewals_since_list += 1;
        let must_list = state.is_zone_watcher() || !is_introduced(&state);
        if (must_list || renewals_since_list >= RENEWALS_PER_LIST) && list_sessions(&state).await.is_ok() {
            renewals_since_list = 0;
        }
    }
}

async fn register(state: &ControlState) {
    while state.registry.register(state.record.clone()).await.is_err() {
        tokio::time::sleep(RENEWAL_INTERVAL / 4).await;
    }
    state.view.handle_event(ViewEvent::StoreContact);
}

/// Waits for the peers' acknowledgements. Each one carries the revision of that peer; the session serves
/// nothing from an older state.
async fn wait_until_ready(state: &ControlState) {
    while list_sessions(state).await.is_err() {
        tokio::time::sleep(RENEWAL_INTERVAL / 4).await;
    }
    for _ in 0..MAX_INTRODUCTION_POLLS {
        if is_introduced(state) {
            break;
        }
        tokio::time::sleep(INTRODUCTION_POLL_INTERVAL).await;
    }
    state.is_ready.store(true, Ordering::Release);
}

/// Renews the session record and returns whether that succeeded. A failed renewal is tried again with the
/// next one; peers notice that the renewal count does not increase. A lost lease means that the session was
/// removed.
pub(super) async fn renew(state: &ControlState) -> bool {
    match state.registry.renew().await {
        Ok(()) => {
            state.view.handle_event(ViewEvent::StoreContact);
            true
        }
        Err(error) => {
            if error.kind() == ErrorKind::LeaseLost {
                state.view.handle_event(ViewEvent::Ended {
                    session: state.record.id.clone(),
                    evidence: EndEvidence::Forgotten,
                });
            }
            false
        }
    }
}

async fn list_sessions(state: &ControlState) -> Result<()> {
    let list = state.registry.list().await?;
    state.view.handle_event(ViewEvent::StoreContact);
    let read = list.sessions.iter();
    let read = read.map(|(session, record)| (session.clone(), record.renewals));
    let unread = list.undecodable.iter().map(|session| (session.clone(), 0));
    let renewals: BTreeMap<SessionId, u64> = read.chain(unread).collect();
    state.view.handle_event(ViewEvent::SessionsListed { renewals });
    for record in list.sessions.values() {
        state.hub.add_session(record);
    }
    Ok(())
}

fn is_introduced(state: &ControlState) -> bool {
    state.view.read(|guard, _| guard.is_introduced())
}
