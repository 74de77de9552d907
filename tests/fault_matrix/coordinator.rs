//! What the holder of the coordinator duty does, and the probes of backend servers.

use std::sync::Arc;
use std::time::Duration;

use figloft::journal::entry::EntryActor;
use figloft::model::id::LeaderTerm;
use figloft::policy::allowance::{AllowanceEvent, AllowanceSettings, AllowanceSplit, TeamUsage};
use figloft::policy::expiry_rule::{DEFAULT_FRESHNESS, ExpiryRule};
use figloft::policy::session_view::EndEvidence;

use crate::backends::lock;
use crate::node::Node;
use crate::world::WORK_DEADLINE;

/// Time between rounds of the coordinator.
const ROUND: Duration = Duration::from_millis(500);

/// Time between looks at the backend servers.
const PROBE: Duration = Duration::from_millis(200);

/// Grants allowances while the duty is held. Each term begins with a new split, as in the daemon.
pub async fn run(node: Arc<Node>) {
    let mut split: Option<(LeaderTerm, AllowanceSplit)> = None;
    while node.resume().await {
        let term = lock(&node.duty).term(node.now());
        split = term.map(|term| match split.take() {
            Some((known, split)) if known == term => (known, split),
            _ => (
                term,
                AllowanceSplit::new(node.now(), AllowanceSettings::new(rule())),
            ),
        });
        if let Some((_, split)) = &mut split {
            tell_use(&node, split);
            append_grants(&node, split).await;
        }
        tokio::time::sleep(ROUND).await;
    }
}

fn rule() -> ExpiryRule {
    ExpiryRule::new(DEFAULT_FRESHNESS, WORK_DEADLINE).expect("rule")
}

async fn append_grants(node: &Node, split: &mut AllowanceSplit) {
    let state = node.accepted.current();
    let changes = split.step(node.now(), &state);
    let actor = EntryActor::System(node.session.clone());
    let seen = state.revision;
    // Changes computed from an older state are dropped and computed anew in the next round.
    let appended = node
        .writer
        .append(actor, |state| {
            Ok(if state.revision == seen {
                changes.clone()
            } else {
                Vec::new()
            })
        })
        .await;
    if appended.is_ok() && node.resume().await {
        node.take_state();
    }
}

fn tell_use(node: &Node, split: &mut AllowanceSplit) {
    let reports = std::mem::take(&mut *lock(&node.reports));
    let own = (node.session.clone(), node.session_use());
    for (session, report) in reports.into_iter().chain([own]) {
        let teams = report
            .running
            .into_iter()
            .map(|(team, running)| {
                (
                    team,
                    TeamUsage {
                        running,
                        wanted: running + 1,
                    },
                )
            })
            .collect();
        split.handle_event(
            node.now(),
            AllowanceEvent::Reported {
                session,
                folded: report.folded,
                teams,
            },
        );
    }
    let view = lock(&node.view);
    for other in node.shared.nodes() {
        if view.end_evidence(&other.session) == Some(EndEvidence::Left) {
            split.handle_event(node.now(), AllowanceEvent::Left(other.session.clone()));
        }
    }
}

/// Takes leaving notices and probes ejected servers.
pub async fn probe(node: Arc<Node>) {
    while node.resume().await {
        let state = node.accepted.current();
        for instance in state.members.keys() {
            if node.shared.backends.is_leaving(instance) {
                node.admission.mark_leaving(instance);
            }
        }
        for grant in node.admission.due_probes() {
            let is_healthy = node.shared.backends.is_healthy(&grant.instance);
            node.admission.on_probe(&grant.instance, is_healthy);
        }
        tokio::time::sleep(PROBE).await;
    }
}
