//! Bodies of the admin API, shared by the daemon and the operators' tool.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::ErrorBody;
use crate::journal::entry::JournalEntry;
use crate::journal::fleet_state::StoredRecord;
use crate::journal::member::{BudgetToken, InstancePlace, InstanceRequest, MemberPhase, PlanPhase};
use crate::model::amount::{ShareWeight, SlotCount};
use crate::model::id::{
    Generation, InstanceId, KeyId, PlanId, PoolId, QueueId, RackId, Revision, ServiceId, SessionId, TeamId,
    ZoneId,
};
use crate::record::document::{RecordDocument, RecordName};
use crate::record::fault::RecordFault;

/// Header with the operator's name for the audit trail.
pub const OPERATOR_HEADER: &str = "x-figloft-operator";

/// One change of an operator's record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RecordChange {
    /// Writes a record.
    Put {
        /// The record.
        document: RecordDocument,
        /// Revision of the record that the operator saw; absent for a new record.
        #[serde(default)]
        expected: Option<Revision>,
    },
    /// Deletes a record.
    Delete {
        /// Name of the record.
        name: RecordName,
        /// Revision of the record that the operator saw.
        expected: Revision,
    },
}

impl RecordChange {
    /// Name of the changed record.
    pub fn name(&self) -> RecordName {
        match self {
            Self::Put { document, .. } => document.name(),
            Self::Delete { name, .. } => name.clone(),
        }
    }

    /// Revision of the record that the operator saw.
    pub fn expected(&self) -> Option<Revision> {
        match self {
            Self::Put { expected, .. } => *expected,
            Self::Delete { expected, .. } => Some(*expected),
        }
    }
}

/// Body of `POST /v1/changes`: all changes are accepted together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// The changes.
    pub changes: Vec<RecordChange>,
    /// Whether the changes are only checked.
    #[serde(default)]
    pub dry_run: bool,
}

/// Answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// Revision that contains the change; for a dry run the revision that it was checked against.
    pub revision: Revision,
    /// Warnings about the records.
    #[serde(default)]
    pub warnings: Vec<RecordFault>,
}

/// A record that changed since the operator read it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordConflict {
    /// Name of the record.
    pub name: RecordName,
    /// Revision that the operator saw.
    pub expected: Option<Revision>,
    /// The operator's version; absent for a deletion.
    pub yours: Option<RecordDocument>,
    /// The accepted version; absent if the record was deleted.
    pub accepted: Option<StoredRecord>,
}

/// Body of a refusal by the admin API.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The error.
    #[serde(flatten)]
    pub error: ErrorBody,
    /// Faults of the records.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<RecordFault>,
    /// Records that changed meanwhile, with both versions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<RecordConflict>,
}

/// A record that this version cannot read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadRecord {
    /// Name of the record.
    pub name: RecordName,
    /// Why it cannot be read.
    pub reason: Arc<str>,
}

/// Answer to `GET /v1/records`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordList {
    /// Accepted revision.
    pub revision: Revision,
    /// Records as written.
    pub records: Vec<StoredRecord>,
}

/// Body of actions that carry only a reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReasonBody {
    /// Reason, for the audit trail.
    #[serde(default)]
    pub reason: Option<Arc<str>>,
}

/// Body of `POST /v1/keys`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyRequest {
    /// Team of the key.
    pub team: TeamId,
    /// Id of the key; drawn if absent.
    #[serde(default)]
    pub id: Option<KeyId>,
    /// Milliseconds for which a partitioned zone may accept the key beyond the freshness limit.
    #[serde(default)]
    pub offline_grant_ms: u64,
}

/// Answer to `POST /v1/keys`. The key is shown once; only its hash is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyAnswer {
    /// Id of the key.
    pub id: KeyId,
    /// What callers present, `<key id>:<secret>`.
    pub key: Arc<str>,
    /// Revision from which the key is accepted.
    pub revision: Revision,
}

/// Whether a revision is in force in a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionState {
    /// The session has folded the revision.
    #[display("in force")]
    InForce,
    /// The session may still act on an older revision.
    #[display("behind")]
    Behind,
    /// The session has not reported the revision, but its older view has certainly expired: it refuses keyed work.
    #[display("expired")]
    Expired,
}

/// A session as seen by the answering daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionView {
    /// Id.
    pub session: SessionId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Peer address, `ip:port`.
    pub address: Arc<str>,
    /// Address of the session's admin API, if it is known.
    #[serde(default)]
    pub admin: Option<Arc<str>>,
    /// Revision that the session has folded, as last heard.
    pub revision: Revision,
    /// Whether the revision that was asked for, or the accepted one, is in force in the session.
    pub state: SessionState,
    /// Whether the answering session has an open link to it.
    pub is_connected: bool,
    /// Whether the session is the answering one.
    #[serde(default)]
    pub is_self: bool,
    /// Milliseconds since the session's view was confirmed; absent if unknown.
    #[serde(default)]
    pub confirmed_ms_ago: Option<u64>,
}

/// Answer to `GET /v1/sessions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionList {
    /// Revision accepted by the answering daemon.
    pub revision: Revision,
    /// Holder of the coordinator duty.
    pub coordinator: Option<SessionId>,
    /// Sessions that count, without forgotten ones.
    pub sessions: Vec<SessionView>,
}

impl SessionList {
    /// Sessions that may still act on a revision older than the one asked for.
    pub fn behind(&self) -> Vec<&SessionView> {
        let sessions = self.sessions.iter();
        sessions
            .filter(|session| session.state == SessionState::Behind)
            .collect()
    }
}

/// Answer to `POST /v1/sessions/{id}/forget`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForgetAnswer {
    /// Revision that contains the change; absent if the store did not answer and only this daemon knows of it.
    pub revision: Option<Revision>,
}

/// An instance in its pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceView {
    /// Id.
    pub instance: InstanceId,
    /// Pool.
    pub pool: PoolId,
    /// Phase in the pool.
    pub phase: MemberPhase,
    /// Revision that set the phase.
    pub phase_since: Revision,
    /// Generation of the membership.
    pub generation: Generation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack.
    pub rack: RackId,
    /// Address of the worker or backend server.
    pub address: Arc<str>,
    /// Token of the availability budget that is taken for it.
    pub token: Option<BudgetToken>,
    /// Operator's request that the coordinator carries out.
    pub request: Option<InstanceRequest>,
}

/// A pool with the number of its instances in each phase.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolView {
    /// Id.
    pub pool: PoolId,
    /// Whether this is the spare pool.
    pub spare: bool,
    /// Service whose backend servers run in the pool.
    pub service: Option<ServiceId>,
    /// Instances.
    pub instances: u32,
    /// Instances by phase.
    pub phases: BTreeMap<MemberPhase, u32>,
}

/// A service and the use of its availability budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceView {
    /// Id.
    pub service: ServiceId,
    /// Pool.
    pub pool: PoolId,
    /// Instances of the pool.
    pub instances: u32,
    /// Instances that do not serve, or for which a token is taken.
    pub unavailable: u32,
    /// Instances that may be unavailable at once.
    pub max_unavailable: u32,
}

/// A team, its limit and what is granted and used of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamView {
    /// Id.
    pub team: TeamId,
    /// Organisation.
    pub organisation: Arc<str>,
    /// Weight of the share.
    pub share: ShareWeight,
    /// Upper limit.
    pub limit: SlotCount,
    /// Sum of the allowances of all sessions.
    pub granted: u64,
    /// Allowance of each session.
    pub allowances: BTreeMap<SessionId, SlotCount>,
    /// Keys that are not withdrawn.
    pub keys: BTreeSet<KeyId>,
    /// Measured load; absent if the daemon does not know it.
    #[serde(default)]
    pub load: Option<TeamLoad>,
}

/// Measured load of a team over the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamLoad {
    /// Requests and tasks that run.
    pub running: u32,
    /// Jobs and requests that wait.
    pub waiting: u32,
    /// Slots that the team is entitled to now.
    #[serde(default)]
    pub entitled: Option<f64>,
}

/// A queue and its load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueView {
    /// Id.
    pub queue: QueueId,
    /// Pool that runs its jobs.
    pub pool: PoolId,
    /// Whether callers without a key may submit jobs.
    pub open: bool,
    /// Jobs that may wait.
    pub max_waiting: u32,
    /// Measured load; absent if the daemon does not know it.
    #[serde(default)]
    pub load: Option<QueueLoad>,
}

/// Measured load of a queue over the whole fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueLoad {
    /// Jobs that run.
    pub running: u32,
    /// Jobs that wait.
    pub waiting: u32,
}

/// Progress of one wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveView {
    /// Pool whose instances go.
    pub pool: PoolId,
    /// What happens to each of them.
    pub action: Arc<str>,
    /// Instances that the wave is for.
    pub instances: u32,
    /// Instances done.
    pub done: u32,
}

/// Expected end of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanForecast {
    /// Milliseconds until the plan is complete; absent if it cannot finish as things are.
    pub remaining_ms: Option<u64>,
    /// What holds the plan up now, one reason a line.
    #[serde(default)]
    pub reasons: Vec<Arc<str>>,
}

/// A plan and its progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanView {
    /// Id.
    pub plan: PlanId,
    /// Phase.
    pub phase: PlanPhase,
    /// Waves in order.
    pub waves: Vec<WaveView>,
    /// Forecast; absent if the daemon has none.
    #[serde(default)]
    pub forecast: Option<PlanForecast>,
}

/// Answer to `GET /v1/plans`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanList {
    /// Accepted revision.
    pub revision: Revision,
    /// Plans.
    pub plans: Vec<PlanView>,
}

/// Answer to `GET /v1/instances`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Accepted revision.
    pub revision: Revision,
    /// Instances.
    pub instances: Vec<InstanceView>,
}

/// An instance to add to a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewInstance {
    /// Id.
    pub instance: InstanceId,
    /// Pool.
    pub pool: PoolId,
    /// Where the instance is and what it has.
    #[serde(flatten)]
    pub place: InstancePlace,
}

/// Body of `POST /v1/instances`: all instances are added together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceAddition {
    /// The instances.
    pub instances: Vec<NewInstance>,
}

/// Answer to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// Accepted revision.
    pub revision: Revision,
    /// Holder of the coordinator duty.
    pub coordinator: Option<SessionId>,
    /// Sessions.
    pub sessions: Vec<SessionView>,
    /// Pools.
    pub pools: Vec<PoolView>,
    /// Services.
    pub services: Vec<ServiceView>,
    /// Teams.
    pub teams: Vec<TeamView>,
    /// Queues.
    pub queues: Vec<QueueView>,
    /// Plans.
    pub plans: Vec<PlanView>,
    /// Operators' requests for instances that are not carried out yet.
    pub requests: BTreeMap<InstanceId, InstanceRequest>,
    /// Records that this version cannot read.
    pub unread: Vec<UnreadRecord>,
}

/// Answer to `GET /v1/audit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditPage {
    /// Entries, newest first.
    pub entries: Vec<JournalEntry>,
    /// Number below which the next page begins; absent on the last page.
    pub next_before: Option<Revision>,
}

/// What `GET /v1/explain/{what}/{id}` explains.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    derive_more::Display,
    derive_more::FromStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum ExplainTopic {
    /// An instance: what is done with it and what it waits for.
    #[display("move")]
    Move,
    /// A job.
    #[display("job")]
    Job,
    /// A caller's request.
    #[display("request")]
    Request,
    /// A team: its share, limit and allowances.
    #[display("team")]
    Team,
}

/// Answer to `GET /v1/explain/{what}/{id}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainAnswer {
    /// What is explained.
    pub topic: ExplainTopic,
    /// Its id.
    pub id: Arc<str>,
    /// Accepted revision.
    pub revision: Revision,
    /// Facts, one a line.
    pub facts: Vec<Arc<str>>,
}
