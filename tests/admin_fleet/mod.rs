//! A fleet state in memory behind the admin API, for tests of the API and of the operators' tool.
#![allow(dead_code, reason = "each test file uses its own part of these helpers")]

pub mod operator_harness;

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use figloft::error::{Error, ErrorKind, Result};
use figloft::journal::entry::{ENTRY_SCHEMA, EntryActor, EntryChange, JournalEntry};
use figloft::journal::member::{InstancePlace, MemberPhase};
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{Revision, SessionId, WriteNonce};
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;
use figloft::process::admin::api::{AdminAnswer, AdminApi, AdminRequest, OperatorToken};
use figloft::process::admin::message::{SessionState, SessionView};
use figloft::process::admin::source::{AdminSources, ChangeBuilder};
use figloft::record::document::RecordDocument;
use figloft::record::source::RecordSource;
use figloft::version::accepted::AcceptedVersion;
use serde_json::Value;

/// Operator token of the tests.
pub const TOKEN: &str = "a-token-for-tests-only";

/// Faults that a test injects into the store of a [`FakeFleet`].
#[derive(Debug, Default)]
pub struct FleetFaults {
    /// Error kind with which every append fails.
    pub append_error: Option<ErrorKind>,
    /// An entry that another writer commits just before the next append.
    pub concurrent_entry: Option<(EntryActor, Vec<EntryChange>)>,
}

/// A fleet whose journal is kept in memory, without a store.
#[derive(Debug, Clone, Default)]
pub struct FakeFleet {
    /// The accepted fleet state.
    pub version: AcceptedVersion,
    /// All committed entries, oldest first.
    pub entries: Arc<Mutex<Vec<JournalEntry>>>,
    /// Injected faults.
    pub faults: Arc<Mutex<FleetFaults>>,
    /// Sessions that the admin API lists; the state of each is derived from its revision.
    pub sessions: Arc<Mutex<Vec<SessionView>>>,
}

impl FakeFleet {
    /// A fleet with the records of a YAML text.
    pub fn with_records(text: &str) -> Self {
        let fleet = Self::default();
        let changes = documents(text).into_iter();
        let changes = changes.map(|document| EntryChange::PutRecord {
            document,
            expected: None,
        });
        fleet
            .commit(operator("setup"), changes.collect())
            .expect("records are accepted");
        fleet
    }

    /// Makes `session-1` the coordinator and adds serving instances.
    pub fn with_members(self, pool: &str, instances: &[&str]) -> Self {
        let session = "session-1".parse().expect("name");
        let mut changes = vec![EntryChange::TakeDuty { session }];
        self.commit(operator("setup"), std::mem::take(&mut changes))
            .expect("the coordinator role is free");
        for name in instances {
            let place = InstancePlace {
                region: "r".parse().expect("name"),
                zone: "zone-a".parse().expect("name"),
                rack: "k".parse().expect("name"),
                resources: ResourceSet::new(MilliCores::new(1), MemoryMib::new(1)),
                address: Arc::from("127.0.0.1:1"),
            };
            let instance: figloft::model::id::InstanceId = name.parse().expect("name");
            let join = EntryChange::JoinPool {
                instance: instance.clone(),
                pool: pool.parse().expect("name"),
                place,
            };
            let serve = EntryChange::SetPhase {
                instance,
                phase: MemberPhase::Serving,
                reason: Arc::from("setup"),
            };
            self.commit(operator("setup"), vec![join, serve])
                .expect("instance joins");
        }
        self
    }

    /// Commits an entry unless one of its changes would have no effect.
    pub fn commit(&self, actor: EntryActor, changes: Vec<EntryChange>) -> Result<Revision> {
        let current = self.version.current();
        let entry = JournalEntry {
            schema: ENTRY_SCHEMA,
            number: current.revision.next(),
            actor,
            written_at: UnixMillis::new(0),
            nonce: WriteNonce::new(1),
            term: current.duty.as_ref().map(|coordinator| coordinator.term),
            changes,
        };
        current.check(&entry)?;
        let mut next = (*current).clone();
        next.fold(&entry)?;
        self.version.publish(&Arc::new(next))?;
        self.entries.lock().expect("lock").push(entry);
        Ok(current.revision.next())
    }

    fn append(&self, actor: EntryActor, builder: &ChangeBuilder) -> Result<Revision> {
        let concurrent_entry = {
            let mut faults = self.faults.lock().expect("lock");
            if let Some(kind) = faults.append_error {
                return Err(Error::new(kind, "injected by the test"));
            }
            faults.concurrent_entry.take()
        };
        if let Some((writer, changes)) = concurrent_entry {
            self.commit(writer, changes)?;
        }
        let changes = builder(&self.version.current())?;
        if changes.is_empty() {
            return Ok(self.version.current().revision);
        }
        self.commit(actor, changes)
    }

    /// The admin API of this fleet.
    pub fn api(&self) -> AdminApi {
        let (append, audit, sessions, forget) = (self.clone(), self.clone(), self.clone(), self.clone());
        let sources = AdminSources::new(
            self.version.clone(),
            Arc::new(move |actor, builder| {
                let result = append.append(actor, &builder);
                Box::pin(async move { result })
            }),
        )
        .with_sessions(move |revision| {
            let mut views = sessions.sessions.lock().expect("lock").clone();
            for view in &mut views {
                view.state = if view.revision < revision {
                    SessionState::Behind
                } else {
                    SessionState::InForce
                };
            }
            views
        })
        .with_forget(Arc::new(move |session, actor| {
            let result = forget.append(actor, &forget_builder(session));
            Box::pin(async move { result })
        }))
        .with_audit(Arc::new(move |query| {
            let entries = audit.entries.lock().expect("lock");
            let page = entries.iter().rev();
            let page = page.filter(|entry| query.before.is_none_or(|before| entry.number < before));
            let page = page
                .filter(|entry| query.passes(entry))
                .take(query.limit)
                .cloned()
                .collect();
            Box::pin(async move { Ok(page) })
        }))
        .with_explain_job(Arc::new(|job| {
            Box::pin(async move { explanation(job.as_str() == "job-1") })
        }))
        .with_explain_request(Arc::new(|request| {
            Box::pin(async move { explanation(request.as_str() == "request-1") })
        }));
        AdminApi::new(OperatorToken::new(TOKEN).expect("token is long enough"), sources)
    }
}

fn forget_builder(session: SessionId) -> ChangeBuilder {
    Box::new(move |_| {
        Ok(vec![EntryChange::ForgetSession {
            session: session.clone(),
        }])
    })
}

fn explanation(is_known: bool) -> Vec<Arc<str>> {
    if is_known {
        vec![Arc::from("waits for a slot")]
    } else {
        Vec::new()
    }
}

/// The actor of an operator's entry.
pub fn operator(name: &str) -> EntryActor {
    EntryActor::Operator(name.parse().expect("name"))
}

/// The documents of a YAML record text.
pub fn documents(text: &str) -> Vec<RecordDocument> {
    let mut source = RecordSource::default();
    source.add_bytes(&Arc::from("test.yaml"), text.as_bytes());
    source.documents
}

/// An admin API request by operator `ada` with the valid token.
pub fn request(method: &str, target: &str, body: impl Into<Bytes>) -> AdminRequest {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    AdminRequest {
        method: method.parse().expect("method"),
        path: path.to_owned(),
        query: query.to_owned(),
        authorization: Some(format!("Bearer {TOKEN}")),
        operator: Some("ada".to_owned()),
        body: body.into(),
    }
}

/// Status and JSON body of a response.
pub fn status_and_json(response: &AdminAnswer) -> (u16, Value) {
    (
        response.status,
        serde_json::from_slice(&response.body).expect("the body is JSON"),
    )
}

/// Runs a future to its end.
pub fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime starts");
    runtime.block_on(future)
}
