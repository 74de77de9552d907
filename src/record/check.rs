//! Validates records: each field against its rule, and the references between records.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::model::id::PoolId;
use crate::record::document::{RecordDocument, RecordKind, RecordModel, RecordName};
use crate::record::fault::RecordFault;
use crate::record::field_rule::{self, FieldRule, FieldType};
use crate::record::plan::{PlanRecord, WaveAction};

/// Maximum length of a refused value in a fault message, in characters; the rest is cut off.
const MAX_VALUE_CHARS: usize = 60;

/// Collects the faults of one record, and its references as pairs of field path and target.
struct RecordChecker {
    record: Arc<str>,
    faults: Vec<RecordFault>,
    references: Vec<(Arc<str>, RecordName)>,
}

impl RecordChecker {
    fn new(document: &RecordDocument) -> Self {
        Self {
            record: Arc::from(document.name().to_string()),
            faults: Vec::new(),
            references: Vec::new(),
        }
    }

    fn fault(&mut self, field: &str, problem: String, value_type: &FieldType) {
        let fault =
            RecordFault::new(Arc::clone(&self.record), field, problem).with_accepted(value_type.accepted());
        self.faults.push(fault);
    }

    fn check_fields<'a>(
        &mut self,
        path: &str,
        rules: &[FieldRule],
        fields: impl Iterator<Item = (&'a str, &'a Value)>,
    ) {
        let fields: BTreeMap<&str, &Value> = fields.collect();
        for rule in rules {
            let field = join_path(path, rule.name);
            match fields.get(rule.name) {
                None if !rule.is_required => {}
                None => self.fault(&field, "is missing".to_owned(), &rule.value_type),
                Some(value) => self.check_value(&field, &rule.value_type, value),
            }
        }
        for name in fields
            .keys()
            .filter(|name| !rules.iter().any(|rule| rule.name == **name))
        {
            let known: Vec<&str> = rules.iter().map(|rule| rule.name).collect();
            let fault = RecordFault::new(
                Arc::clone(&self.record),
                join_path(path, name),
                "is unknown and kept as written",
            )
            .with_accepted(known.join(", "))
            .as_warning();
            self.faults.push(fault);
        }
    }

    fn check_value(&mut self, field: &str, value_type: &FieldType, value: &Value) {
        match (value_type, value) {
            (FieldType::Object(rules), Value::Object(object)) => {
                self.check_fields(field, rules, object_fields(object));
            }
            (FieldType::ObjectList(rules), Value::Array(list)) if is_valid_list_length(list.len()) => {
                for (index, item) in list.iter().enumerate() {
                    self.check_value(&format!("{field}[{index}]"), &FieldType::Object(rules), item);
                }
            }
            (FieldType::NameList(kind), Value::Array(list)) if list.len() <= field_rule::MAX_LIST_LENGTH => {
                for (index, item) in list.iter().enumerate() {
                    self.check_value(&format!("{field}[{index}]"), &FieldType::Name(*kind), item);
                }
            }
            (FieldType::Name(kind), Value::String(text)) if is_valid_name(text) => {
                if let Some(kind) = kind {
                    let id = Arc::from(text.as_str());
                    self.references
                        .push((Arc::from(field), RecordName { kind: *kind, id }));
                }
            }
            _ if accepts_scalar(value_type, value) => {}
            _ => self.fault(
                field,
                format!("{} is not accepted", truncated_text(value)),
                value_type,
            ),
        }
    }

    /// Checks the rules of a plan that involve several fields: a wave must not move instances to their own
    /// pool.
    fn check_plan(&mut self, plan: &PlanRecord) {
        for (index, wave) in plan.waves.iter().enumerate() {
            if let WaveAction::Move { to } = &wave.action
                && *to == wave.pool
            {
                let value_type = FieldType::Name(Some(RecordKind::Pool));
                self.fault(
                    &format!("waves[{index}].to"),
                    format!("{to} is the pool that the wave leaves"),
                    &value_type,
                );
            }
        }
    }
}

fn object_fields(object: &Map<String, Value>) -> impl Iterator<Item = (&str, &Value)> {
    object.iter().map(|(name, value)| (name.as_str(), value))
}

fn is_valid_list_length(length: usize) -> bool {
    (1..=field_rule::MAX_LIST_LENGTH).contains(&length)
}

fn is_valid_name(text: &str) -> bool {
    text.parse::<PoolId>().is_ok()
}

fn accepts_scalar(value_type: &FieldType, value: &Value) -> bool {
    match (value_type, value) {
        (FieldType::Count(min, max), Value::Number(number)) => number
            .as_u64()
            .is_some_and(|count| (*min..=*max).contains(&count)),
        (FieldType::Number(min, max), Value::Number(number)) => number
            .as_f64()
            .is_some_and(|number| (*min..=*max).contains(&number)),
        (FieldType::Bool, Value::Bool(_)) => true,
        (FieldType::Text, Value::String(text)) => (1..=field_rule::MAX_TEXT_LENGTH).contains(&text.len()),
        (FieldType::Choice(words), Value::String(text)) => words.contains(&text.as_str()),
        (FieldType::Capacity, Value::String(text)) => is_capacity(text),
        (FieldType::Hash, Value::String(text)) => text.len() == 64 && hex::decode(text).is_ok(),
        _ => false,
    }
}

fn is_capacity(text: &str) -> bool {
    let is_count = |part: &str| part.trim().parse::<u32>().is_ok_and(|count| count > 0);
    text.split_once('x')
        .is_some_and(|(slots, connections)| is_count(slots) && is_count(connections))
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn truncated_text(value: &Value) -> String {
    let text = value.to_string();
    let mut shown: String = text.chars().take(MAX_VALUE_CHARS).collect();
    if shown.len() < text.len() {
        shown.push('…');
    }
    shown
}

/// Checks one record without regard to others. Returns its faults and its references, each as the path of the
/// referring field and the target's name.
pub fn check_document(document: &RecordDocument) -> (Vec<RecordFault>, Vec<(Arc<str>, RecordName)>) {
    let mut checker = RecordChecker::new(document);
    if !is_valid_name(&document.id) {
        checker.fault(
            "id",
            format!(
                "{} is not accepted",
                truncated_text(&Value::from(document.id.as_ref()))
            ),
            &FieldType::Name(None),
        );
    }
    let Some(rules) = field_rule::field_rules(document.kind, document.schema) else {
        checker.fault(
            "schema",
            format!("{} has no reader", document.schema),
            &FieldType::Count(1, 2),
        );
        return (checker.faults, checker.references);
    };
    let fields = document.fields.iter().map(|(name, value)| (name.as_ref(), value));
    checker.check_fields("", rules, fields);
    if checker.faults.iter().any(RecordFault::is_error) {
        return (checker.faults, checker.references);
    }
    match document.read() {
        Ok(RecordModel::Plan(plan)) => checker.check_plan(&plan),
        Ok(RecordModel::Policy(policy)) if policy.id.as_ref() != "default" => {
            checker.fault(
                "id",
                format!("{} would not be in force", policy.id),
                &FieldType::Choice(&["default"]),
            );
        }
        Ok(_) => {}
        Err(error) => {
            let fault = RecordFault::new(Arc::clone(&checker.record), "", error.message());
            checker.faults.push(fault);
        }
    }
    (checker.faults, checker.references)
}

/// Checks a complete set of records: each by itself, that referenced records exist, and that no two services
/// use the same pool. Returns the faults without their place in a file.
pub fn check_all<'a>(documents: impl IntoIterator<Item = &'a RecordDocument>) -> Vec<RecordFault> {
    let documents: Vec<&RecordDocument> = documents.into_iter().collect();
    let names: BTreeSet<RecordName> = documents.iter().map(|document| document.name()).collect();
    let mut faults = Vec::new();
    let mut service_pools: BTreeMap<Arc<str>, Arc<str>> = BTreeMap::new();
    for document in documents {
        let (own, references) = check_document(document);
        faults.extend(own);
        for (field, target) in references {
            let record: Arc<str> = Arc::from(document.name().to_string());
            if document.kind == RecordKind::Service
                && let Some(other) = service_pools.insert(Arc::clone(&target.id), Arc::clone(&record))
            {
                let problem = format!("pool {} already runs {other}", target.id);
                let fault = RecordFault::new(Arc::clone(&record), Arc::clone(&field), problem)
                    .with_accepted("a pool that runs no other service");
                faults.push(fault);
            }
            if !names.contains(&target) {
                faults.push(missing_target(&record, &field, &target, &names));
            }
        }
    }
    faults
}

fn missing_target(
    record: &Arc<str>,
    field: &Arc<str>,
    target: &RecordName,
    names: &BTreeSet<RecordName>,
) -> RecordFault {
    let known: Vec<&str> = names
        .iter()
        .filter(|name| name.kind == target.kind)
        .map(|name| name.id.as_ref())
        .take(16)
        .collect();
    let accepted = match known.as_slice() {
        [] => format!("the id of a {} record; there is none", target.kind),
        known => format!("the id of a {} record, such as {}", target.kind, known.join(", ")),
    };
    RecordFault::new(
        Arc::clone(record),
        Arc::clone(field),
        format!("{target} does not exist"),
    )
    .with_accepted(accepted)
}
