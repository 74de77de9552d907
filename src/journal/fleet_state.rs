//! The state folded from the journal.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::journal::member::{
    BudgetToken, CoordinatorTerm, InstanceLoan, InstanceRequest, PlanProgress, PoolMember,
};
use crate::model::amount::SlotCount;
use crate::model::id::{
    InstanceId, JobId, KeyId, LeaderTerm, PlanId, PoolId, QueueId, Revision, ServiceId, SessionId, TeamId,
};
use crate::record::document::{RecordDocument, RecordKind, RecordModel, RecordName};
use crate::record::key::KeyRecord;
use crate::record::plan::PlanRecord;
use crate::record::policy::PolicyRecord;
use crate::record::pool::PoolRecord;
use crate::record::queue::QueueRecord;
use crate::record::service::ServiceRecord;
use crate::record::team::TeamRecord;

/// A record with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The record as written.
    pub document: RecordDocument,
    /// Number of the entry that wrote it.
    pub changed_at: Revision,
}

/// All records read into their models, kept beside the documents.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RecordSet {
    /// Services.
    pub services: BTreeMap<ServiceId, ServiceRecord>,
    /// Pools.
    pub pools: BTreeMap<PoolId, PoolRecord>,
    /// Teams.
    pub teams: BTreeMap<TeamId, TeamRecord>,
    /// Keys.
    pub keys: BTreeMap<KeyId, KeyRecord>,
    /// Queues.
    pub queues: BTreeMap<QueueId, QueueRecord>,
    /// Plans.
    pub plans: BTreeMap<PlanId, PlanRecord>,
    /// Weights of the measures.
    pub policy: PolicyRecord,
    /// Records that this version cannot read, with the reason. They are kept and reported.
    pub undecodable: BTreeMap<RecordName, Error>,
}

impl RecordSet {
    /// Reads a document into the set, replacing the record of the same name.
    pub fn put(&mut self, document: &RecordDocument) {
        let name = document.name();
        self.remove(&name);
        match document.read() {
            Ok(RecordModel::Service(record)) => drop(self.services.insert(record.id.clone(), record)),
            Ok(RecordModel::Pool(record)) => drop(self.pools.insert(record.id.clone(), record)),
            Ok(RecordModel::Team(record)) => drop(self.teams.insert(record.id.clone(), record)),
            Ok(RecordModel::Key(record)) => drop(self.keys.insert(record.id.clone(), record)),
            Ok(RecordModel::Queue(record)) => drop(self.queues.insert(record.id.clone(), record)),
            Ok(RecordModel::Plan(record)) => drop(self.plans.insert(record.id.clone(), record)),
            Ok(RecordModel::Policy(record)) => self.policy = record,
            Err(error) => drop(self.undecodable.insert(name, error)),
        }
    }

    /// Removes a record.
    pub fn remove(&mut self, name: &RecordName) {
        let id = name.id.as_ref();
        match name.kind {
            RecordKind::Service => self.services.retain(|key, _| key.as_str() != id),
            RecordKind::Pool => self.pools.retain(|key, _| key.as_str() != id),
            RecordKind::Team => self.teams.retain(|key, _| key.as_str() != id),
            RecordKind::Key => self.keys.retain(|key, _| key.as_str() != id),
            RecordKind::Queue => self.queues.retain(|key, _| key.as_str() != id),
            RecordKind::Plan => self.plans.retain(|key, _| key.as_str() != id),
            RecordKind::Policy => self.policy = PolicyRecord::default(),
        }
        self.undecodable.remove(name);
    }
}

/// The state after folding all entries up to `revision`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredState")]
pub struct FleetState {
    /// Number of the last folded entry.
    pub revision: Revision,
    /// Records as written.
    #[serde(with = "record_list")]
    pub documents: BTreeMap<RecordName, StoredRecord>,
    /// Records read into their models; derived from `documents`.
    #[serde(skip)]
    pub records: Arc<RecordSet>,
    /// The one pool of each instance.
    pub members: BTreeMap<InstanceId, PoolMember>,
    /// Operators' requests for single instances that the coordinator carries out. A request for `drained` stays
    /// while the instance is kept out of service; a request for `serving` ends when the instance serves.
    #[serde(default)]
    pub instance_requests: BTreeMap<InstanceId, InstanceRequest>,
    /// Tokens taken and not returned.
    pub tokens: BTreeMap<InstanceId, BudgetToken>,
    /// Instances lent to other pools.
    pub loans: BTreeMap<InstanceId, InstanceLoan>,
    /// What each session may have running for each team.
    pub allowances: BTreeMap<TeamId, BTreeMap<SessionId, SlotCount>>,
    /// Holder of the coordinator duty.
    pub duty: Option<CoordinatorTerm>,
    /// Highest duty term so far; changes with a lower one are void.
    pub highest_term: LeaderTerm,
    /// Progress of plans.
    pub plans: BTreeMap<PlanId, PlanProgress>,
    /// Jobs that cannot run, with the instances on which they failed.
    pub rejected_jobs: BTreeMap<JobId, BTreeSet<InstanceId>>,
    /// Sessions declared ended by an operator.
    pub forgotten_sessions: BTreeSet<SessionId>,
}

/// The serialised form, from which the derived parts are rebuilt.
#[derive(Deserialize)]
struct StoredState {
    revision: Revision,
    #[serde(with = "record_list")]
    documents: BTreeMap<RecordName, StoredRecord>,
    members: BTreeMap<InstanceId, PoolMember>,
    #[serde(default)]
    instance_requests: BTreeMap<InstanceId, InstanceRequest>,
    tokens: BTreeMap<InstanceId, BudgetToken>,
    #[serde(default)]
    loans: BTreeMap<InstanceId, InstanceLoan>,
    allowances: BTreeMap<TeamId, BTreeMap<SessionId, SlotCount>>,
    duty: Option<CoordinatorTerm>,
    highest_term: LeaderTerm,
    plans: BTreeMap<PlanId, PlanProgress>,
    rejected_jobs: BTreeMap<JobId, BTreeSet<InstanceId>>,
    forgotten_sessions: BTreeSet<SessionId>,
}

impl From<StoredState> for FleetState {
    fn from(stored: StoredState) -> Self {
        let mut records = RecordSet::default();
        for record in stored.documents.values() {
            records.put(&record.document);
        }
        Self {
            revision: stored.revision,
            documents: stored.documents,
            records: Arc::new(records),
            members: stored.members,
            instance_requests: stored.instance_requests,
            tokens: stored.tokens,
            loans: stored.loans,
            allowances: stored.allowances,
            duty: stored.duty,
            highest_term: stored.highest_term,
            plans: stored.plans,
            rejected_jobs: stored.rejected_jobs,
            forgotten_sessions: stored.forgotten_sessions,
        }
    }
}

/// Serialises the records as a list, because JSON objects need text keys.
mod record_list {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serializer};

    use super::StoredRecord;
    use crate::record::document::RecordName;

    pub(super) fn serialize<S: Serializer>(
        records: &BTreeMap<RecordName, StoredRecord>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(records.values())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<RecordName, StoredRecord>, D::Error> {
        let list = Vec::<StoredRecord>::deserialize(deserializer)?;
        Ok(list
            .into_iter()
            .map(|record| (record.document.name(), record))
            .collect())
    }
}

impl FleetState {
    /// Sum of the allowances of a team over all sessions.
    pub fn allowance_sum(&self, team: &TeamId) -> u64 {
        let Some(sessions) = self.allowances.get(team) else {
            return 0;
        };
        sessions.values().map(|slots| u64::from(slots.get())).sum()
    }

    /// What a session may have running for a team.
    pub fn allowance(&self, team: &TeamId, session: &SessionId) -> SlotCount {
        let slots = self
            .allowances
            .get(team)
            .and_then(|sessions| sessions.get(session));
        slots.copied().unwrap_or_default()
    }

    /// The pool to which an instance belongs when it is not lent; absent if it is in no pool.
    pub fn home_pool(&self, instance: &InstanceId) -> Option<&PoolId> {
        match self.loans.get(instance) {
            Some(loan) => Some(&loan.home),
            None => self.members.get(instance).map(|member| &member.pool),
        }
    }

    /// The service whose backend servers run in a pool.
    pub fn service_of_pool(&self, pool: &PoolId) -> Option<&ServiceRecord> {
        self.records
            .services
            .values()
            .find(|service| service.pool == *pool)
    }
}
