//! Graceful shutdown of the daemon.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use slog::{info, warn};

use crate::error::{Error, ErrorKind, Result};
use crate::request::entry_context::EntryContext;
use crate::request::http_server::RunningServer;

/// Interval between checks for in-flight requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A step of the drain that another part of the daemon provides.
pub type DrainStep = Box<dyn FnOnce() -> BoxFuture<'static, Result<()>> + Send>;

/// Steps of a drain outside the request path. Each has a name, for the log.
#[derive(Default)]
pub struct DrainSteps {
    /// Hand queued jobs, tickets and allowances over to peers, right after new work is refused.
    pub hand_over: Vec<(&'static str, DrainStep)>,
    /// Close links and remove the session record, once no request is in flight.
    pub close: Vec<(&'static str, DrainStep)>,
}

impl fmt::Debug for DrainSteps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = |steps: &[(&'static str, DrainStep)]| -> Vec<&'static str> {
            steps.iter().map(|(name, _)| *name).collect()
        };
        f.debug_struct("DrainSteps")
            .field("hand_over", &names(&self.hand_over))
            .field("close", &names(&self.close))
            .finish()
    }
}

/// Drains the daemon and stops its server: reports "not ready" for `notice` while it still accepts work,
/// refuses new work, and stops the server once no request is in flight and none has arrived for `linger`. A
/// step that fails is logged and does not stop the others.
///
/// # Errors
/// `internal` if the server failed.
pub async fn drain(
    context: &Arc<EntryContext>,
    server: RunningServer,
    notice: Duration,
    linger: Duration,
    steps: DrainSteps,
) -> Result<()> {
    info!(context.log, "drain starts"; "notice_ms" => notice.as_millis() as u64);
    context.start_drain();
    tokio::time::sleep(notice).await;
    context.refuse_new_work();
    info!(context.log, "new work is refused");
    run_steps(context, steps.hand_over).await;
    wait_for_requests(context, linger).await;
    info!(context.log, "no request is in flight");
    run_steps(context, steps.close).await;
    let stopped = tokio::task::spawn_blocking(move || server.stop()).await;
    info!(context.log, "server stopped");
    match stopped {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(Error::new(ErrorKind::Internal, error.to_string())),
        Err(error) => Err(Error::new(ErrorKind::Internal, error.to_string())),
    }
}

async fn run_steps(context: &EntryContext, steps: Vec<(&'static str, DrainStep)>) {
    for (name, step) in steps {
        if let Err(error) = step().await {
            warn!(context.log, "drain step failed"; "step" => name, "detail" => %error);
        }
    }
}

/// Waits until no request is in flight and none has arrived for `linger`. Until then late requests are
/// refused with a response; a stopped server would give them none.
async fn wait_for_requests(context: &EntryContext, linger: Duration) {
    let started_at = context.clock.now();
    loop {
        let now = context.clock.now();
        let last = context
            .in_flight
            .last_arrival()
            .map_or(started_at, |last| last.max(started_at));
        if context.in_flight.unexpired_count(now) == 0 && now.saturating_duration_since(last) >= linger {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
