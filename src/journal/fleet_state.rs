//! The fleet state that results from the journal.

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

/// An operator's record with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The record as the operator wrote it.
    pub document: RecordDocument,
    /// Number of the entry that wrote the record.
    pub changed_at: Revision,
}

/// Operators' records by kind, parsed from the documents of a [`FleetState`].
#[derive(Debug, Clone, Default, PartialEq)]
#[expect(missing_docs, reason = "each map is named after the kind of its records")]
pub struct RecordSet {
    pub services: BTreeMap<ServiceId, ServiceRecord>,
    pub pools: BTreeMap<PoolId, PoolRecord>,
    pub teams: BTreeMap<TeamId, TeamRecord>,
    pub keys: BTreeMap<KeyId, KeyRecord>,
    pub queues: BTreeMap<QueueId, QueueRecord>,
    pub plans: BTreeMap<PlanId, PlanRecord>,
    /// Weights of the measures between which decisions trade; the default if there is no policy record.
    pub policy: PolicyRecord,
    /// Records that this version cannot parse, with the reason. Their documents are kept, and operators see
    /// them in the status.
    pub undecodable: BTreeMap<RecordName, Error>,
}

impl RecordSet {
    /// Parses a document and replaces the record of the same name.
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

    /// Removes a record; removing the policy restores the default.
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

/// The state of the fleet after applying all journal entries up to `revision`. A snapshot stores it in this
/// form.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredState")]
pub struct FleetState {
    /// Number of the last applied entry; zero before the first.
    pub revision: Revision,
    /// Operators' records as written.
    #[serde(with = "record_list")]
    pub documents: BTreeMap<RecordName, StoredRecord>,
    /// Parsed records, derived from `documents` and not stored.
    #[serde(skip)]
    pub records: Arc<RecordSet>,
    /// Membership of each instance in its only pool.
    pub members: BTreeMap<InstanceId, PoolMember>,
    /// Operators' requests for single instances, carried out by the coordinator. A request for `drained`
    /// stays as long as the instance is to be out of service; a request for `serving` is removed once the
    /// instance serves.
    #[serde(default)]
    pub instance_requests: BTreeMap<InstanceId, InstanceRequest>,
    /// Budget tokens that were taken and not returned yet.
    pub tokens: BTreeMap<InstanceId, BudgetToken>,
    /// Loans of instances to other pools.
    pub loans: BTreeMap<InstanceId, InstanceLoan>,
    /// How many requests and tasks each session may have running for each team. No entry means none.
    pub allowances: BTreeMap<TeamId, BTreeMap<SessionId, SlotCount>>,
    /// The current coordinator and its term; absent if the role was given up.
    pub duty: Option<CoordinatorTerm>,
    /// Term of the newest coordinator so far, also after it gave up the role.
    pub highest_term: LeaderTerm,
    /// Progress of each move plan.
    pub plans: BTreeMap<PlanId, PlanProgress>,
    /// Jobs rejected because they cannot run, with the instances on which they failed.
    pub rejected_jobs: BTreeMap<JobId, BTreeSet<InstanceId>>,
    /// Sessions that an operator declared ended; nothing waits for them.
    pub forgotten_sessions: BTreeSet<SessionId>,
}

/// The stored form of [`FleetState`]. Conversion to a state rebuilds the parsed records.
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

/// Serialises records as a list, because keys of JSON objects must be strings.
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
    /// Sum of a team's allowances over all sessions.
    pub fn allowance_sum(&self, team: &TeamId) -> u64 {
        let Some(sessions) = self.allowances.get(team) else {
            return 0;
        };
        sessions.values().map(|slots| u64::from(slots.get())).sum()
    }

    /// How many requests and tasks a session may have running for a team; zero if nothing is allotted.
    pub fn allowance(&self, team: &TeamId, session: &SessionId) -> SlotCount {
        let slots = self
            .allowances
            .get(team)
            .and_then(|sessions| sessions.get(session));
        slots.copied().unwrap_or_default()
    }

    /// The pool to which an instance returns after a loan, or its current pool if it is not lent. `None` if
    /// it is in no pool.
    pub fn home_pool(&self, instance: &InstanceId) -> Option<&PoolId> {
        match self.loans.get(instance) {
            Some(loan) => Some(&loan.home),
            None => self.members.get(instance).map(|member| &member.pool),
        }
    }

    /// The service whose backend servers run in a pool; `None` if there is none.
    pub fn service_of_pool(&self, pool: &PoolId) -> Option<&ServiceRecord> {
        self.records
            .services
            .values()
            .find(|service| service.pool == *pool)
    }
}
