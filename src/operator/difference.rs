//! Differences between records of files and accepted records.

use std::collections::BTreeSet;
use std::sync::Arc;

use derive_more::Display;
use serde::Serialize;
use serde_json::Value;

use crate::journal::fleet_state::StoredRecord;
use crate::model::id::Revision;
use crate::record::document::{RecordDocument, RecordName};

/// How a record differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DifferenceKind {
    /// The record is not accepted yet.
    #[display("new")]
    New,
    /// Fields differ.
    #[display("changed")]
    Changed,
    /// The record would be deleted.
    #[display("deleted")]
    Deleted,
}

/// One field of a record in both versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FieldDifference {
    /// Field.
    pub field: Arc<str>,
    /// Accepted value.
    pub accepted: Option<Value>,
    /// The operator's value.
    pub yours: Option<Value>,
}

/// Difference of one record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RecordDifference {
    /// Name of the record.
    pub name: RecordName,
    /// How it differs.
    pub kind: DifferenceKind,
    /// Revision of the accepted record.
    pub revision: Option<Revision>,
    /// Fields that differ.
    pub fields: Vec<FieldDifference>,
}

impl RecordDifference {
    /// Compares a record with the accepted one; absent if they are equal.
    pub fn of(accepted: Option<&StoredRecord>, yours: Option<&RecordDocument>) -> Option<Self> {
        let name = yours
            .map(RecordDocument::name)
            .or_else(|| accepted.map(|stored| stored.document.name()))?;
        let kind = match (accepted, yours) {
            (None, _) => DifferenceKind::New,
            (Some(_), None) => DifferenceKind::Deleted,
            (Some(_), Some(_)) => DifferenceKind::Changed,
        };
        let fields = field_differences(accepted.map(|stored| &stored.document), yours);
        if kind == DifferenceKind::Changed && fields.is_empty() {
            return None;
        }
        Some(Self {
            name,
            kind,
            revision: accepted.map(|stored| stored.changed_at),
            fields,
        })
    }

    /// The difference as text, one line for each side of a field.
    pub fn text(&self) -> String {
        let mut lines = vec![format!("{} {}", self.kind, self.name)];
        for field in &self.fields {
            if let Some(value) = &field.accepted {
                lines.push(format!("  - {}: {value}", field.field));
            }
            if let Some(value) = &field.yours {
                lines.push(format!("  + {}: {value}", field.field));
            }
        }
        lines.join("\n")
    }
}

fn field_differences(
    accepted: Option<&RecordDocument>,
    yours: Option<&RecordDocument>,
) -> Vec<FieldDifference> {
    let names = [accepted, yours].into_iter().flatten();
    let mut names: BTreeSet<Arc<str>> = names
        .flat_map(|document| document.fields.keys().cloned())
        .collect();
    names.insert(Arc::from("schema"));
    let value = |document: Option<&RecordDocument>, name: &str| match (document, name) {
        (Some(document), "schema") => Some(Value::from(document.schema)),
        (Some(document), name) => document.fields.get(name).cloned(),
        (None, _) => None,
    };
    let differences = names.into_iter().map(|field| FieldDifference {
        accepted: value(accepted, &field),
        yours: value(yours, &field),
        field,
    });
    differences
        .filter(|field| field.accepted != field.yours)
        .collect()
}
