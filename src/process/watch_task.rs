//! Reads the journal: the zone's watcher all the time, other sessions when nothing else confirms their view.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::policy::view_guard::{ViewEvent, ViewGuard};
use crate::process::control_loop::ControlState;
use crate::process::session_task;
use crate::version::retry_delay::RetryDelay;

/// Wait of one watch call. A view is confirmed at the sending of a call, so that the view of the watcher is at
/// most two waits old, and that of its peers one ping older; both stay well below the freshness of 2.5 s.
const WATCH_WAIT: Duration = Duration::from_millis(400);

/// A session whose view is older than this reads the store itself. Views confirmed through the watcher are
/// younger than this: two waits and one ping.
const MAX_WATCHED_VIEW_AGE: Duration = Duration::from_millis(1500);

/// Time between looks of a session that does not watch.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// First delay after a failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay after failures.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Runs until the daemon stops.
pub(super) async fn run(state: Arc<ControlState>) {
    let mut delay = RetryDelay::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut store_latency = Duration::ZERO;
    loop {
        if !state.is_zone_watcher() && !is_view_stale(&state) {
            state.view.handle_event(ViewEvent::Tick);
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        // A slow store takes its time out of the wait, so that answers do not become rarer.
        let wait = WATCH_WAIT.saturating_sub(store_latency);
        let renewal_sent_at = state.clock.now();
        let is_renewed = session_task::renew(&state).await;
        let result = state.reader.watch_once(wait).await;
        store_latency = state
            .clock
            .now()
            .saturating_duration_since(renewal_sent_at)
            .saturating_sub(wait);
        if result.is_ok() {
            delay.reset();
            confirm_view(&state, is_renewed.then_some(renewal_sent_at));
        } else {
            state.view.handle_event(ViewEvent::Tick);
            let delay_time = delay.next_delay(&mut rand::rng());
            tokio::time::sleep(delay_time).await;
        }
    }
}

fn is_view_stale(state: &ControlState) -> bool {
    let age = state.view.read(ViewGuard::confirmed_age);
    age.is_none_or(|age| age > MAX_WATCHED_VIEW_AGE)
}

/// A read alone may be stale without a sign of it. One that must include the own renewal is as new as that.
fn confirm_view(state: &ControlState, renewal_sent_at: Option<Instant>) {
    state.view.handle_event(ViewEvent::StoreContact);
    state.view.handle_folded(&state.reader.log().current());
    if let (Some(read_at), Some(renewal_sent_at)) = (state.reader.confirmed_at(), renewal_sent_at) {
        let sent_at = read_at.min(renewal_sent_at);
        state.view.handle_event(ViewEvent::StoreConfirmed { sent_at });
    }
}
