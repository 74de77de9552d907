//! Reads the journal from the store: continuously in the zone's watcher, in other sessions only when nothing
//! else confirms their view.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::policy::view_guard::{ViewEvent, ViewGuard};
use crate::process::control_loop::ControlState;
use crate::process::session_task;
use crate::version::retry_delay::RetryDelay;

/// Time for which the store may hold a watch call. A view is confirmed as of the time at which the call was
/// sent, so the watcher's view is at most two waits old, and that of its peers one ping interval older. Both
/// stay well below the default freshness of 2.5 s.
const WATCH_WAIT: Duration = Duration::from_millis(400);

/// Age of the view above which a session reads the store itself. A view confirmed through the watcher is
/// younger: at most two waits and one ping interval.
const MAX_WATCHED_VIEW_AGE: Duration = Duration::from_millis(1500);

/// Time between checks of the view in a session that does not watch.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after the first failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest delay after repeated failures.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads the journal until the daemon stops.
pub(super) async fn run(state: Arc<ControlState>) {
    let mut delay = RetryDelay::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut store_latency = Duration::ZERO;
    loop {
        if !state.is_zone_watcher() && !is_view_stale(&state) {
            state.view.handle_event(ViewEvent::Tick);
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        // The latency of a slow store is taken off the wait, so that responses do not become less frequent.
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

/// Confirms the view after a read. A read alone may be stale without any indication, but one made after a
/// successful renewal must include it and is therefore at least as new as the renewal.
fn confirm_view(state: &ControlState, renewal_sent_at: Option<Instant>) {
    state.view.handle_event(ViewEvent::StoreContact);
    state.view.handle_folded(&state.reader.log().current());
    if let (Some(read_at), Some(renewal_sent_at)) = (state.reader.confirmed_at(), renewal_sent_at) {
        let sent_at = read_at.min(renewal_sent_at);
        state.view.handle_event(ViewEvent::StoreConfirmed { sent_at });
    }
}
