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
const STALL_AGE: Duration = Duration::from_millis(1500);

/// Time between looks of a session that does not watch.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// First delay after a failure.
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// Longest delay after failures.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Runs until the daemon stops.
pub(super) async fn run(state: Arc<ControlState>) {
    let mut delay = RetryDelay::new(FIRST_DELAY, MAX_DELAY);
    let mut overhead = Duration::ZERO;
    loop {
        if !state.is_zone_watcher() && !is_stalled(&state) {
            state.view.handle_event(ViewEvent::Tick);
            tokio::time::sleep(LOOK_EVERY).await;
            continue;
        }
        // A slow store takes its time out of the wait, so that answers do not become rarer.
        let wait = WATCH_WAIT.saturating_sub(overhead);
        let written_at = state.clock.now();
        let is_renewed = session_task::renew(&state).await;
        let answer = state.reader.watch_once(wait).await;
        overhead = state
            .clock
            .now()
            .saturating_duration_since(written_at)
            .saturating_sub(wait);
        if answer.is_ok() {
            delay.reset();
            tell_confirmed(&state, is_renewed.then_some(written_at));
        } else {
            state.view.handle_event(ViewEvent::Tick);
            let pause = delay.draw(&mut rand::rng());
            tokio::time::sleep(pause).await;
        }
    }
}

fn is_stalled(state: &ControlState) -> bool {
    let age = state.view.read(ViewGuard::confirmed_age);
    age.is_none_or(|age| age > STALL_AGE)
}

/// A read alone may be stale without a sign of it. One that must include the own renewal is as new as that.
fn tell_confirmed(state: &ControlState, written_at: Option<Instant>) {
    state.view.handle_event(ViewEvent::StoreContact);
    state.view.handle_folded(&state.reader.log().current());
    if let (Some(read_at), Some(written_at)) = (state.reader.confirmed_at(), written_at) {
        let sent_at = read_at.min(written_at);
        state.view.handle_event(ViewEvent::StoreConfirmed { sent_at });
    }
}
