//! Tables of the fields that each record kind and schema version accepts. Record files and the admin API are
//! checked against these tables, and the fault messages are derived from them.

use crate::record::document::RecordKind;

/// Maximum length of a text field, in bytes.
pub const MAX_TEXT_LENGTH: usize = 1024;
/// Maximum number of entries in a list field.
pub const MAX_LIST_LENGTH: usize = 1024;
/// Maximum accepted duration, in milliseconds: one day.
const MAX_DURATION_MS: u64 = 86_400_000;

/// Type and range of a field's value. All bounds are inclusive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FieldType {
    /// A name. With a kind, it is the id of a record of this kind, which must exist.
    Name(Option<RecordKind>),
    /// A list of names, possibly empty; the kind has the same meaning as for `Name`.
    NameList(Option<RecordKind>),
    /// A whole number between the two bounds.
    Count(u64, u64),
    /// A number between the two bounds.
    Number(f64, f64),
    /// `true` or `false`.
    Bool,
    /// Text that is not empty and has at most [`MAX_TEXT_LENGTH`] bytes.
    Text,
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// Slots and connections of a backend server, both positive, for example `8x64`.
    Capacity,
    /// A SHA-256 hash as 64 hexadecimal digits.
    Hash,
    /// A nested object with its own field rules.
    Object(&'static [FieldRule]),
    /// A list of 1 to [`MAX_LIST_LENGTH`] objects with the same field rules.
    ObjectList(&'static [FieldRule]),
}

impl FieldType {
    /// Describes the accepted values for fault messages.
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

/// Rule for one field of a record or nested object.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FieldRule {
    /// Name of the field as written in the record.
    pub name: &'static str,
    /// Whether the field must be present.
    pub is_required: bool,
    /// Accepted values.
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

/// Schema versions that this version of figloft can parse; other versions are refused.
pub const SUPPORTED_SCHEMAS: [u32; 2] = [1, 2];

/// Rules for the fields of a record other than `kind`, `schema` and `id`; `None` if the schema version is not
/// supported.
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
