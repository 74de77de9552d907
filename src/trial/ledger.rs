//! What callers were told and what really ran, as two independent records.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

use crate::error::{ErrorKind, WorkOutcome};
use crate::model::amount::SlotCount;
use crate::model::id::{InstanceId, ServiceId, TeamId};
use crate::model::unix_time::UnixMillis;

/// How a piece of work ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// A complete answer that carries the given label.
    Answered(Arc<str>),
    /// An error answer.
    Refused(ErrorKind, WorkOutcome),
    /// The job ended, with what figloft says about it.
    JobEnded(WorkOutcome),
    /// The connection ended without a complete answer, or the job never ended.
    NoAnswer,
}

/// One piece of work as its caller saw it. Labels are unique, so that runs can be matched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CallReport {
    /// Label that the caller sent.
    pub label: Arc<str>,
    /// Whether the work may run more than once.
    pub may_repeat: bool,
    /// Ends of all attempts with this label, in order.
    pub ends: Vec<CallEnd>,
}

/// One run as the stand-in that ran it recorded it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WorkRun {
    /// Label of the work.
    pub label: Arc<str>,
    /// Team for which it ran; absent for work without a key.
    pub team: Option<TeamId>,
    /// Instance that ran it.
    pub instance: InstanceId,
    /// Start.
    pub started: UnixMillis,
    /// End; absent if it still runs.
    pub ended: Option<UnixMillis>,
    /// Whether the run reached its own end.
    pub is_whole: bool,
}

/// A time in which a stand-in instance was out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct InstanceOutage {
    /// Instance.
    pub instance: InstanceId,
    /// Begin.
    pub from: UnixMillis,
    /// End; absent if it lasts.
    pub until: Option<UnixMillis>,
}

/// Availability budget of a service, with the instances that it counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BudgetScope {
    /// Service.
    pub service: ServiceId,
    /// Instances that serve it.
    pub instances: Vec<InstanceId>,
    /// Instances that may be out of service at once.
    pub max_unavailable: u32,
}

/// Everything that a verdict is drawn from.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct TrialLedger {
    /// Callers' reports.
    pub calls: Vec<CallReport>,
    /// Stand-ins' records.
    pub runs: Vec<WorkRun>,
    /// Outages of instances.
    pub outages: Vec<InstanceOutage>,
    /// Budgets.
    pub budgets: Vec<BudgetScope>,
    /// Upper limits of the teams.
    pub limits: BTreeMap<TeamId, SlotCount>,
}
