//! Waiting until a change is in force on every session.

use std::time::Duration;

use tokio::time::Instant;

use crate::cli::operator_args::{OutputFormat, WaitArgs};
use crate::model::id::Revision;
use crate::operator::client::AdminClient;
use crate::operator::outcome::{OperatorExit, OperatorResult};
use crate::operator::output::OperatorOutput;
use crate::operator::render;
use crate::process::admin::message::{SessionList, SessionState, SessionView};

/// Time between two looks at the sessions.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// How far a change is in force.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct ForceReport {
    /// Revision of the change.
    pub revision: Revision,
    /// Whether every session has it in force.
    pub in_force: bool,
    /// Number of sessions.
    pub sessions: usize,
    /// Sessions that cannot be heard and whose older view has certainly expired.
    pub expired: usize,
    /// Sessions that are waited for.
    pub waiting_for: Vec<SessionView>,
}

impl ForceReport {
    fn new(revision: Revision, list: &SessionList) -> Self {
        let waiting_for: Vec<SessionView> = list.behind().into_iter().cloned().collect();
        Self {
            revision,
            in_force: waiting_for.is_empty() && !list.sessions.is_empty(),
            sessions: list.sessions.len(),
            expired: list
                .sessions
                .iter()
                .filter(|session| session.state == SessionState::Expired)
                .count(),
            waiting_for,
        }
    }

    /// The report as one line.
    pub fn text(&self) -> String {
        if self.in_force {
            let expired = match self.expired {
                0 => String::new(),
                count => format!("; {count} of them cannot be heard and refuse keyed work"),
            };
            return format!(
                "revision {} is in force on all {} sessions{expired}",
                self.revision, self.sessions
            );
        }
        let names: Vec<String> = self.waiting_for.iter().map(render::session).collect();
        if names.is_empty() {
            return format!(
                "revision {} is accepted; the daemon knows no sessions yet",
                self.revision
            );
        }
        let names = names.join(", ");
        format!(
            "revision {} is accepted and waits for {} of {} sessions: {names}",
            self.revision,
            self.waiting_for.len(),
            self.sessions
        )
    }

    /// The exit code of a command that waited.
    pub fn exit(&self, wait: WaitArgs) -> OperatorExit {
        if self.in_force || wait.no_wait {
            OperatorExit::Success
        } else {
            OperatorExit::NotInForce
        }
    }
}

/// Waits until a revision is in force on every session, and names those that are waited for.
///
/// # Errors
/// The daemon's refusal, or that no daemon answered.
pub async fn wait_in_force(
    output: &mut OperatorOutput<'_>,
    client: &AdminClient,
    revision: Revision,
    wait: WaitArgs,
) -> OperatorResult<ForceReport> {
    let deadline = Instant::now() + Duration::from_millis(wait.wait_ms);
    let mut named = String::new();
    loop {
        let list: SessionList = client.get(&format!("/v1/sessions?revision={revision}")).await?;
        let report = ForceReport::new(revision, &list);
        if report.in_force || wait.no_wait || Instant::now() >= deadline {
            return Ok(report);
        }
        let line = report.text();
        if output.format == OutputFormat::Text && line != named {
            output.note(&line);
            named = line;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
