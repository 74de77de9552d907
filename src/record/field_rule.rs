//! What each field of a record accepts, per kind and schema version. The tables drive the checks of record files
//! and of the admin API, and the fault messages are derived from them.

use crate::record::document::RecordKind;

/// Longest text field, in bytes.
pub const MAX_TEXT_LENGTH: usize = 1024;
/// Most entries of a list field.
pub const MAX_LIST_LENGTH: usize = 1024;
/// Longest accepted duration, in milliseconds: one day.
const MAX_DURATION_MS: u64 = 86_400_000;

/// Form of a field's value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FieldType {
    /// A name, referring to a record of the given kind if there is one.
    Name(Option<RecordKind>),
    /// A list of names.
    NameList(Option<RecordKind>),
    /// A whole number from the first to the second bound.
    Count(u64, u64),
    /// A number from the first to the second bound.
    Number(f64, f64),
    /// `true` or `false`.
    Bool,
    /// Text that is not empty.
    Text,
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// Slots and connections of a backend server, for example `8x64`.
    Capacity,
    /// SHA-256 in hexadecimal.
    Hash,
    /// Fields of their own.
    Object(&'static [FieldRule]),
    /// A list of groups.
    ObjectList(&'static [FieldRule]),
}

impl FieldType {
    /// What the field accepts, for fault messages.
    pub fn accepted(&self) -> String {
        match self {
            Self::Name(None) => {
                "a name of 1 to 63 of a-z A-Z 0-9 . _ - that starts with a letter or digit".into()
            }
            Self::Name(Some(kind)) => format!("the id of a {kind} record"),
            Self::NameList(None) => format!("a list of up to {MAX_LIST_LENGTH} names"),
            Self::NameList(Some(kind)) => format!("a list of ids of {kind} records"),
            Self::Count(min, max) => format!("a whole number from {min} to {max}"),
            Self::Number(min, max) => format!("a number from {min} to {max}"),
            Self::Bool => "true or false".into(),
            Self::Text => format!("text of 1 to {MAX_TEXT_LENGTH} bytes"),
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::Capacity => "SLOTSxCONNECTIONS, for example 8x64".into(),
            Self::Hash => "64 hexadecimal digits (SHA-256)".into(),
            Self::Object(rules) => format!("fields {}", field_names(rules)),
            Self::ObjectList(rules) => format!(
                "a list of 1 to {MAX_LIST_LENGTH} groups with fields {}",
                field_names(rules)
            ),
        }
    }
}

fn field_names(rules: &[FieldRule]) -> String {
    let names: Vec<&str> = rules.iter().map(|rule| rule.name).collect();
    names.join(", ")
}

/// Rule of one field.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FieldRule {
    /// Name of the field.
    pub name: &'static str,
    /// Whether the field must be present.
    pub is_required: bool,
    /// Form of its value.
    pub value_type: FieldType,
}

const fn required(name: &'static str, value_type: FieldType) -> FieldRule {
    FieldRule {
        name,
        is_required: true,
        value_type,
    }
}

const fn optional(name: &'static str, value_type: FieldType) -> FieldRule {
    FieldRule {
        name,
        is_required: false,
        value_type,
    }
}

const ANY_COUNT: FieldType = FieldType::Count(0, u32::MAX as u64);
const POSITIVE_COUNT: FieldType = FieldType::Count(1, u32::MAX as u64);
const DURATION_MS: FieldType = FieldType::Count(1, MAX_DURATION_MS);
const WEIGHT: FieldType = FieldType::Number(0.0, 1e9);

const BUDGET: &[FieldRule] = &[
    required("max_unavailable_permille", FieldType::Count(0, 1000)),
    optional("max_unavailable_per_zone", ANY_COUNT),
];

const SERVICE_V1: &[FieldRule] = &[
    required("pool", FieldType::Name(Some(RecordKind::Pool))),
    required("availability", FieldType::Number(0.0, 100.0)),
    required("timeout_s", FieldType::Number(0.001, 86_400.0)),
    required("capacity", FieldType::Capacity),
    optional("repeatable", FieldType::Bool),
];

const SERVICE_V2: &[FieldRule] = &[
    required("pool", FieldType::Name(Some(RecordKind::Pool))),
    required("budget", FieldType::Object(BUDGET)),
    required("slots_per_backend", POSITIVE_COUNT),
    required("connections_per_backend", POSITIVE_COUNT),
    required("max_deadline_ms", DURATION_MS),
    optional("idempotent", FieldType::Bool),
];

const POOL: &[FieldRule] = &[
    optional("spare", FieldType::Bool),
    optional("min_instances", ANY_COUNT),
    optional("lendable", FieldType::Bool),
];

const TEAM: &[FieldRule] = &[
    required("organisation", FieldType::Text),
    required("share", POSITIVE_COUNT),
    required("limit", ANY_COUNT),
];

const KEY: &[FieldRule] = &[
    required("team", FieldType::Name(Some(RecordKind::Team))),
    required("secret_sha256", FieldType::Hash),
    optional("withdrawn", FieldType::Bool),
    optional("offline_grant_ms", FieldType::Count(0, MAX_DURATION_MS)),
];

const QUEUE: &[FieldRule] = &[
    required("pool", FieldType::Name(Some(RecordKind::Pool))),
    optional("open", FieldType::Bool),
    optional("teams", FieldType::NameList(Some(RecordKind::Team))),
    required("max_waiting", ANY_COUNT),
    required("task_lease_ms", DURATION_MS),
];

const WAVE: &[FieldRule] = &[
    required("pool", FieldType::Name(Some(RecordKind::Pool))),
    required("action", FieldType::Choice(&["move", "reboot"])),
    optional("to", FieldType::Name(Some(RecordKind::Pool))),
    optional("zones", FieldType::NameList(None)),
    optional("count", POSITIVE_COUNT),
];

const PLAN: &[FieldRule] = &[
    required("waves", FieldType::ObjectList(WAVE)),
    optional("max_parallel", POSITIVE_COUNT),
    required("drain_timeout_ms", DURATION_MS),
];

const POLICY: &[FieldRule] = &[
    required("rollout_time", WEIGHT),
    required("share_closeness", WEIGHT),
    required("buffer_cost", WEIGHT),
    required("move_count", WEIGHT),
];

/// Schema versions that this figloft version reads.
pub const SUPPORTED_SCHEMAS: [u32; 2] = [1, 2];

/// Rules of a record's fields, without `kind`, `schema` and `id`; absent if the schema version has no reader.
pub fn field_rules(kind: RecordKind, schema: u32) -> Option<&'static [FieldRule]> {
    if !SUPPORTED_SCHEMAS.contains(&schema) {
        return None;
    }
    let rules = match kind {
        RecordKind::Service if schema == 1 => SERVICE_V1,
        RecordKind::Service => SERVICE_V2,
        RecordKind::Pool => POOL,
        RecordKind::Team => TEAM,
        RecordKind::Key => KEY,
        RecordKind::Queue => QUEUE,
        RecordKind::Plan => PLAN,
        RecordKind::Policy => POLICY,
    };
    Some(rules)
}
