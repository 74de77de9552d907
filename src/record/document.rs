//! Records as operators write them, and their conversion to the typed model.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind, Result};
use crate::record::key::KeyRecord;
use crate::record::plan::PlanRecord;
use crate::record::policy::PolicyRecord;
use crate::record::pool::PoolRecord;
use crate::record::queue::QueueRecord;
use crate::record::service::{self, ServiceRecord};
use crate::record::team::TeamRecord;

/// Kind of an operator's record, written as a lower-case word.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    derive_more::FromStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum RecordKind {
    /// A service with its availability budget.
    #[display("service")]
    Service,
    /// A pool of instances.
    #[display("pool")]
    Pool,
    /// A team with its share and limit.
    #[display("team")]
    Team,
    /// A team's key, stored as a hash.
    #[display("key")]
    Key,
    /// A queue of jobs.
    #[display("queue")]
    Queue,
    /// A move plan.
    #[display("plan")]
    Plan,
    /// The weights of the measures that scheduling decisions trade off.
    #[display("policy")]
    Policy,
}

impl RecordKind {
    /// All kinds, ordered so that a record refers only to records of earlier kinds.
    pub const ALL: [Self; 7] = [
        Self::Pool,
        Self::Service,
        Self::Team,
        Self::Key,
        Self::Queue,
        Self::Plan,
        Self::Policy,
    ];
}

/// Name of a record, written `kind/id`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{kind}/{id}")]
pub struct RecordName {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Id, unique within the kind.
    pub id: Arc<str>,
}

impl FromStr for RecordName {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let fault = || {
            let message = format!("{text:?} must be KIND/ID, for example team/lodges");
            Error::new(ErrorKind::BadRequest, message)
        };
        let (kind, id) = text.split_once('/').ok_or_else(fault)?;
        let Ok(kind) = kind.parse() else {
            return Err(fault());
        };
        let id = Arc::from(id);
        Ok(Self { kind, id })
    }
}

/// A record as it was written. Unknown fields and unknown schema versions are preserved, so that an older
/// daemon does not lose what a newer one wrote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordDocument {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Schema version of `fields`.
    pub schema: u32,
    /// Id, unique within the kind.
    pub id: Arc<str>,
    /// All fields but `kind`, `schema` and `id`, by name.
    #[serde(flatten)]
    pub fields: BTreeMap<Arc<str>, serde_json::Value>,
}

/// A parsed record, with one variant per [`RecordKind`]. The types are the same for all schema versions.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    missing_docs,
    reason = "each variant is described by the record type that it holds"
)]
pub enum RecordModel {
    Service(ServiceRecord),
    Pool(PoolRecord),
    Team(TeamRecord),
    Key(KeyRecord),
    Queue(QueueRecord),
    Plan(PlanRecord),
    Policy(PolicyRecord),
}

impl RecordDocument {
    /// Kind and id of the record, which identify it.
    pub fn name(&self) -> RecordName {
        RecordName {
            kind: self.kind,
            id: Arc::clone(&self.id),
        }
    }

    /// Converts the document to the typed model.
    ///
    /// # Errors
    /// `bad_record` if the schema version is not supported or a field is missing or invalid.
    pub fn read(&self) -> Result<RecordModel> {
        match (self.kind, self.schema) {
            (RecordKind::Service, 1) => Ok(RecordModel::Service(service::read_v1(self)?)),
            (RecordKind::Service, 2) => Ok(RecordModel::Service(self.deserialize_fields()?)),
            (RecordKind::Pool, 1 | 2) => Ok(RecordModel::Pool(self.deserialize_fields()?)),
            (RecordKind::Team, 1 | 2) => Ok(RecordModel::Team(self.deserialize_fields()?)),
            (RecordKind::Key, 1 | 2) => Ok(RecordModel::Key(self.deserialize_fields()?)),
            (RecordKind::Queue, 1 | 2) => Ok(RecordModel::Queue(self.deserialize_fields()?)),
            (RecordKind::Plan, 1 | 2) => Ok(RecordModel::Plan(self.deserialize_fields()?)),
            (RecordKind::Policy, 1 | 2) => Ok(RecordModel::Policy(self.deserialize_fields()?)),
            (kind, schema) => {
                let message = format!("record {kind}/{}: schema {schema} is not 1 or 2", self.id);
                Err(Error::new(ErrorKind::BadRecord, message))
            }
        }
    }

    /// Deserializes the id and the other fields into `T`.
    ///
    /// # Errors
    /// `bad_record` if a field is missing or invalid.
    pub fn deserialize_fields<T: DeserializeOwned>(&self) -> Result<T> {
        let mut object = serde_json::Map::new();
        object.insert("id".to_owned(), serde_json::Value::String(self.id.to_string()));
        for (field, value) in &self.fields {
            object.insert(field.to_string(), value.clone());
        }
        serde_json::from_value(serde_json::Value::Object(object))
            .map_err(|e| self.bad_record_error(&e.to_string()))
    }

    /// Creates a `bad_record` error whose message starts with the record's name.
    pub fn bad_record_error(&self, detail: &str) -> Error {
        Error::new(ErrorKind::BadRecord, format!("record {}: {detail}", self.name()))
    }
}
