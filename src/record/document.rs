//! A record as written by an operator, and its reading into the model.

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

/// Kind of an operator's record.
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
    /// The weights of the users' measures.
    #[display("policy")]
    Policy,
}

impl RecordKind {
    /// All kinds, in the order in which they can refer to each other.
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

/// Name of a record: its kind and id.
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

/// A record in the form in which it was written. Unknown fields and unknown schema versions are kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordDocument {
    /// Kind of the record.
    pub kind: RecordKind,
    /// Schema version of `fields`.
    pub schema: u32,
    /// Id, unique within the kind.
    pub id: Arc<str>,
    /// All other fields.
    #[serde(flatten)]
    pub fields: BTreeMap<Arc<str>, serde_json::Value>,
}

/// The model of a record, the same for all schema versions.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordModel {
    /// A service.
    Service(ServiceRecord),
    /// A pool.
    Pool(PoolRecord),
    /// A team.
    Team(TeamRecord),
    /// A key.
    Key(KeyRecord),
    /// A queue.
    Queue(QueueRecord),
    /// A move plan.
    Plan(PlanRecord),
    /// Weights of the measures.
    Policy(PolicyRecord),
}

impl RecordDocument {
    /// The record's name.
    pub fn name(&self) -> RecordName {
        RecordName {
            kind: self.kind,
            id: Arc::clone(&self.id),
        }
    }

    /// Reads the document into the model.
    ///
    /// # Errors
    /// `bad_record` if the schema version has no reader or a field is missing or invalid.
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

    /// Reads the fields and the id as one structure.
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

    /// A `bad_record` error that names this record.
    pub fn bad_record_error(&self, detail: &str) -> Error {
        Error::new(ErrorKind::BadRecord, format!("record {}: {detail}", self.name()))
    }
}
