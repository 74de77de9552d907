//! What the admin API reads from and writes to, as closures, so that the daemon, the trial and tests supply their
//! own.

use std::fmt;
use std::sync::Arc;

use futures_util::future::BoxFuture;

use crate::error::{Error, ErrorKind, Result};
use crate::journal::entry::{EntryActor, EntryChange, JournalEntry};
use crate::journal::fleet_state::FleetState;
use crate::model::id::{
    InstanceId, JobId, OperatorId, PlanId, QueueId, RequestId, Revision, SessionId, TeamId,
};
use crate::process::admin::message::{PlanForecast, QueueLoad, SessionView, TeamLoad};
use crate::record::document::RecordName;
use crate::version::accepted::AcceptedVersion;
use crate::version::audit_trail::AuditTrail;
use crate::version::journal_reader::JournalReader;
use crate::version::journal_writer::JournalWriter;

/// Builds the changes of one journal entry from the newest state; called again after a lost race. No changes mean
/// that nothing is written.
pub type ChangeBuilder = Box<dyn Fn(&FleetState) -> Result<Vec<EntryChange>> + Send + Sync>;
/// Appends an entry to the journal.
pub type AppendCall =
    Arc<dyn Fn(EntryActor, ChangeBuilder) -> BoxFuture<'static, Result<Revision>> + Send + Sync>;
/// Reads entries of the journal and its archive, newest first.
pub type AuditCall = Arc<dyn Fn(AuditQuery) -> BoxFuture<'static, Result<Vec<JournalEntry>>> + Send + Sync>;
/// Lines that explain something by its id; empty if nothing is known of it.
pub type ExplainCall<Id> = Arc<dyn Fn(Id) -> BoxFuture<'static, Vec<Arc<str>>> + Send + Sync>;

/// Sessions with whether a revision is in force in each.
pub type SessionsCall = Arc<dyn Fn(Revision) -> Vec<SessionView> + Send + Sync>;
/// Forgets a session on an operator's word.
pub type ForgetCall =
    Arc<dyn Fn(SessionId, EntryActor) -> BoxFuture<'static, Result<Revision>> + Send + Sync>;
/// What is known by an id; absent if nothing is.
pub type LookupCall<Id, Known> = Arc<dyn Fn(&Id) -> Option<Known> + Send + Sync>;

/// Which entries of the audit trail to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditQuery {
    /// Accepted revision.
    pub newest: Revision,
    /// Only entries below this number.
    pub before: Option<Revision>,
    /// Most entries.
    pub limit: usize,
    /// Only entries of this operator.
    pub by: Option<OperatorId>,
    /// Only entries that change this record.
    pub record: Option<RecordName>,
}

impl AuditQuery {
    /// Whether an entry passes the filters.
    pub fn passes(&self, entry: &JournalEntry) -> bool {
        let is_by = match (&self.by, &entry.actor) {
            (None, _) => true,
            (Some(by), EntryActor::Operator(operator)) => by == operator,
            (Some(_), EntryActor::System(_)) => false,
        };
        let changes_record = |record: &RecordName| {
            entry.changes.iter().any(|change| match change {
                EntryChange::PutRecord { document, .. } => document.name() == *record,
                EntryChange::DeleteRecord { name, .. } => name == record,
                _ => false,
            })
        };
        is_by && self.record.as_ref().is_none_or(changes_record)
    }
}

/// Sources of the admin API.
#[derive(Clone)]
pub struct AdminSources {
    /// The newest accepted state.
    pub version: AcceptedVersion,
    /// Appends operators' changes.
    pub append: AppendCall,
    /// Sessions known to this daemon, with whether a revision is in force in each.
    pub sessions: SessionsCall,
    /// Forgets a session in this daemon at once, and in the journal if the store answers.
    pub forget: ForgetCall,
    /// Reads the audit trail.
    pub audit: AuditCall,
    /// Forecast of a plan.
    pub forecast: LookupCall<PlanId, PlanForecast>,
    /// Why an instance waits.
    pub waits: LookupCall<InstanceId, Vec<Arc<str>>>,
    /// Load of a team.
    pub team_load: LookupCall<TeamId, TeamLoad>,
    /// Load of a queue.
    pub queue_load: LookupCall<QueueId, QueueLoad>,
    /// What is known of a job.
    pub explain_job: ExplainCall<JobId>,
    /// What is known of a request.
    pub explain_request: ExplainCall<RequestId>,
}

impl AdminSources {
    /// Creates sources that know the accepted state and how to change it, and nothing else.
    pub fn new(version: AcceptedVersion, append: AppendCall) -> Self {
        Self {
            version,
            append,
            sessions: Arc::new(|_| Vec::new()),
            forget: Arc::new(|session, _| Box::pin(async move { Err(unknown_session(&session)) })),
            audit: Arc::new(|_| Box::pin(async { Ok(Vec::new()) })),
            forecast: Arc::new(|_| None),
            waits: Arc::new(|_| None),
            team_load: Arc::new(|_| None),
            queue_load: Arc::new(|_| None),
            explain_job: Arc::new(|_| Box::pin(async { Vec::new() })),
            explain_request: Arc::new(|_| Box::pin(async { Vec::new() })),
        }
    }

    /// Sets how entries are appended.
    #[must_use]
    pub fn with_append(mut self, append: AppendCall) -> Self {
        self.append = append;
        self
    }

    /// Creates sources that read the journal of this process and refuse changes.
    pub fn of_reader(reader: &JournalReader) -> Self {
        let version = reader.log().accepted().clone();
        let trail = AuditTrail::new(reader.client().clone());
        let refuse: AppendCall = Arc::new(|_, _| {
            let error = Error::new(ErrorKind::StoreUnavailable, "this daemon accepts no changes");
            Box::pin(async move { Err(error) })
        });
        let audit: AuditCall = Arc::new(move |query| {
            let trail = trail.clone();
            Box::pin(async move {
                let filter = |entry: &JournalEntry| query.passes(entry);
                trail.read(query.newest, query.before, query.limit, filter).await
            })
        });
        Self::new(version, refuse).with_audit(audit)
    }

    /// Creates sources that change and read the journal of this process.
    pub fn of_journal(writer: JournalWriter, reader: &JournalReader) -> Self {
        Self::of_reader(reader).with_append(Arc::new(move |actor, builder| {
            let writer = writer.clone();
            Box::pin(async move { writer.append(actor, builder).await })
        }))
    }

    /// Sets the known sessions.
    #[must_use]
    pub fn with_sessions(
        mut self,
        sessions: impl Fn(Revision) -> Vec<SessionView> + Send + Sync + 'static,
    ) -> Self {
        self.sessions = Arc::new(sessions);
        self
    }

    /// Sets how a session is forgotten in this daemon.
    #[must_use]
    pub fn with_forget(mut self, forget: ForgetCall) -> Self {
        self.forget = forget;
        self
    }

    /// Sets how the audit trail is read.
    #[must_use]
    pub fn with_audit(mut self, audit: AuditCall) -> Self {
        self.audit = audit;
        self
    }

    /// Sets the forecast of plans.
    #[must_use]
    pub fn with_forecast(
        mut self,
        forecast: impl Fn(&PlanId) -> Option<PlanForecast> + Send + Sync + 'static,
    ) -> Self {
        self.forecast = Arc::new(forecast);
        self
    }

    /// Sets why instances wait.
    #[must_use]
    pub fn with_waits(
        mut self,
        waits: impl Fn(&InstanceId) -> Option<Vec<Arc<str>>> + Send + Sync + 'static,
    ) -> Self {
        self.waits = Arc::new(waits);
        self
    }

    /// Sets the load of teams.
    #[must_use]
    pub fn with_team_load(
        mut self,
        load: impl Fn(&TeamId) -> Option<TeamLoad> + Send + Sync + 'static,
    ) -> Self {
        self.team_load = Arc::new(load);
        self
    }

    /// Sets the load of queues.
    #[must_use]
    pub fn with_queue_load(
        mut self,
        load: impl Fn(&QueueId) -> Option<QueueLoad> + Send + Sync + 'static,
    ) -> Self {
        self.queue_load = Arc::new(load);
        self
    }

    /// Sets what is known of jobs.
    #[must_use]
    pub fn with_explain_job(mut self, explain: ExplainCall<JobId>) -> Self {
        self.explain_job = explain;
        self
    }

    /// Sets what is known of requests.
    #[must_use]
    pub fn with_explain_request(mut self, explain: ExplainCall<RequestId>) -> Self {
        self.explain_request = explain;
        self
    }
}

impl fmt::Debug for AdminSources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdminSources")
            .field("version", &self.version)
            .finish_non_exhaustive()
    }
}

fn unknown_session(session: &SessionId) -> Error {
    Error::new(
        ErrorKind::NotFound,
        format!("session {session} is not known to this daemon"),
    )
}
