//! Parses operators' record files. A file is a YAML stream in which each document is one record. All faults
//! are reported together, each with file, line and field.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;

use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};
use saphyr_parser::{Event, Parser};
use serde_json::{Map, Value};

use crate::record::check;
use crate::record::document::{RecordDocument, RecordKind, RecordName};
use crate::record::fault::RecordFault;

/// Maximum size of a record file, in bytes. For comparison: the sample file of a user with 200 pools has
/// about 100 KB.
pub const MAX_FILE_LENGTH: usize = 4 << 20;
/// Maximum nesting depth of a record file; valid records need four levels.
const MAX_DEPTH: usize = 16;

/// Records parsed from one or more files, with the line of each field and the faults found while parsing.
#[derive(Debug, Clone, Default)]
pub struct RecordSource {
    /// Records whose kind, schema and id could be read, in file order. Only the first of several records with
    /// the same name is kept; the others are faults.
    pub documents: Vec<RecordDocument>,
    places: BTreeMap<RecordName, RecordPlace>,
    faults: Vec<RecordFault>,
}

#[derive(Debug, Clone)]
struct RecordPlace {
    file: Arc<str>,
    lines: BTreeMap<String, usize>,
}

impl RecordSource {
    /// Reads and parses files from disk. Files that cannot be read become faults, which
    /// [`RecordSource::check`] returns.
    pub fn read<P: AsRef<Path>>(paths: &[P]) -> Self {
        let mut source = Self::default();
        for path in paths {
            let name: Arc<str> = Arc::from(path.as_ref().display().to_string());
            match std::fs::read(path) {
                Ok(bytes) => source.add_bytes(&name, &bytes),
                Err(error) => {
                    let fault =
                        RecordFault::new("file", "", format!("cannot be read: {error}")).with_place(&name, 1);
                    source.faults.push(fault);
                }
            }
        }
        source
    }

    /// Parses the content of one file and adds its records; `file` is the name shown in faults.
    pub fn add_bytes(&mut self, file: &Arc<str>, bytes: &[u8]) {
        if bytes.len() > MAX_FILE_LENGTH {
            let fault = RecordFault::new("file", "", format!("has {} bytes", bytes.len()))
                .with_accepted(format!("at most {MAX_FILE_LENGTH} bytes"));
            self.faults.push(fault.with_place(file, 1));
            return;
        }
        match std::str::from_utf8(bytes) {
            Ok(text) => self.add_text(file, text),
            Err(error) => {
                let line = bytes[..error.valid_up_to()].split(|byte| *byte == b'\n').count();
                let fault = RecordFault::new("file", "", "is not UTF-8").with_accepted("UTF-8 text");
                self.faults.push(fault.with_place(file, line));
            }
        }
    }

    fn add_text(&mut self, file: &Arc<str>, text: &str) {
        if let Err(fault) = check_structure(text) {
            self.faults.push(fault.0.with_place(file, fault.1));
            return;
        }
        match MarkedYaml::load_from_str(text) {
            Ok(nodes) => nodes.iter().for_each(|node| self.add_node(file, node)),
            Err(error) => {
                let fault = RecordFault::new("file", "", error.info()).with_accepted("YAML documents");
                self.faults.push(fault.with_place(file, error.marker().line()));
            }
        }
    }

    fn add_node(&mut self, file: &Arc<str>, node: &MarkedYaml<'_>) {
        if matches!(&node.data, YamlData::Value(Scalar::Null)) {
            return;
        }
        let mut lines = BTreeMap::new();
        let value = to_json("", node, &mut lines);
        let line = node.span.start.line();
        match parse_document(value) {
            Ok(document) => self.add_document(file, line, lines, document),
            Err(faults) => {
                for fault in faults {
                    let line = lines.get(fault.field.as_ref()).copied().unwrap_or(line);
                    self.faults.push(fault.with_place(file, line));
                }
            }
        }
    }

    fn add_document(
        &mut self,
        file: &Arc<str>,
        line: usize,
        mut lines: BTreeMap<String, usize>,
        document: RecordDocument,
    ) {
        let name = document.name();
        if let Some(first) = self.places.get(&name) {
            let first_line = first.lines.get("").copied().unwrap_or(1);
            let problem = format!("already written at {}:{first_line}", first.file);
            let fault =
                RecordFault::new(name.to_string(), "id", problem).with_accepted("one record of each name");
            self.faults.push(fault.with_place(file, line));
            return;
        }
        lines.insert(String::new(), line);
        let file = Arc::clone(file);
        self.places.insert(name, RecordPlace { file, lines });
        self.documents.push(document);
    }

    /// Checks the records together with the `existing` ones, which they may refer to and replace. Returns the
    /// faults of the files in order of place. Faults of existing records are included only if a record of the
    /// files causes them.
    pub fn check(&self, existing: &[RecordDocument]) -> Vec<RecordFault> {
        let own: BTreeSet<RecordName> = self.documents.iter().map(RecordDocument::name).collect();
        let others = existing.iter().filter(|document| !own.contains(&document.name()));
        let existing_faults: Vec<RecordFault> = check::check_all(existing);
        let all = others.chain(&self.documents);
        let found = check::check_all(all)
            .into_iter()
            .filter(|fault| !existing_faults.contains(fault));
        let mut faults = self.faults.clone();
        faults.extend(found.map(|fault| self.add_place(fault)));
        faults.sort_by(|a, b| a.place.cmp(&b.place));
        faults
    }

    fn add_place(&self, fault: RecordFault) -> RecordFault {
        let place = self
            .places
            .iter()
            .find(|(name, _)| name.to_string() == *fault.record);
        let Some((_, place)) = place else {
            return fault;
        };
        let line = place.line_of(&fault.field);
        fault.with_place(&place.file, line)
    }
}

impl RecordPlace {
    /// Line of a field, or of the nearest enclosing field that the file contains.
    fn line_of(&self, field: &str) -> usize {
        let mut path = field;
        loop {
            if let Some(line) = self.lines.get(path) {
                return *line;
            }
            path = path.rfind(['.', '[']).map_or("", |end| &path[..end]);
        }
    }
}

/// Refuses aliases, which can expand to unbounded size, and deep nesting. Runs on parser events, before the
/// YAML tree is built in memory. The error is a fault and its line.
fn check_structure(text: &str) -> Result<(), (RecordFault, usize)> {
    let mut depth: usize = 0;
    for event in Parser::new_from_str(text) {
        let (event, span) = event.map_err(|error| {
            let fault = RecordFault::new("file", "", error.info()).with_accepted("YAML documents");
            (fault, error.marker().line())
        })?;
        match event {
            Event::Alias(_) => {
                let fault =
                    RecordFault::new("file", "", "has a YAML alias").with_accepted("values written out");
                return Err((fault, span.start.line()));
            }
            Event::SequenceStart(..) | Event::MappingStart(..) => depth += 1,
            Event::SequenceEnd | Event::MappingEnd => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            let fault = RecordFault::new("file", "", "is nested too deeply")
                .with_accepted(format!("at most {MAX_DEPTH} levels"));
            return Err((fault, span.start.line()));
        }
    }
    Ok(())
}

fn to_json(path: &str, node: &MarkedYaml<'_>, lines: &mut BTreeMap<String, usize>) -> Value {
    lines.entry(path.to_owned()).or_insert(node.span.start.line());
    match &node.data {
        YamlData::Value(scalar) => scalar_json(scalar),
        YamlData::Representation(text, ..) => Value::from(text.as_ref()),
        YamlData::Tagged(_, inner) => to_json(path, inner, lines),
        YamlData::Sequence(items) => {
            let items = items.iter().enumerate();
            items
                .map(|(index, item)| to_json(&format!("{path}[{index}]"), item, lines))
                .collect()
        }
        YamlData::Mapping(fields) => {
            let mut object = Map::new();
            for (key, value) in fields {
                let name = key_text(key);
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                lines.insert(path.clone(), key.span.start.line());
                let value = to_json(&path, value, lines);
                object.insert(name, value);
            }
            Value::Object(object)
        }
        YamlData::Alias(_) | YamlData::BadValue => Value::Null,
    }
}

fn scalar_json(scalar: &Scalar<'_>) -> Value {
    match scalar {
        Scalar::Null => Value::Null,
        Scalar::Boolean(flag) => Value::from(*flag),
        Scalar::Integer(number) => Value::from(*number),
        Scalar::FloatingPoint(number) => Value::from(number.into_inner()),
        Scalar::String(text) => Value::from(text.as_ref()),
    }
}

fn key_text(key: &MarkedYaml<'_>) -> String {
    match &key.data {
        YamlData::Value(Scalar::String(text)) => text.to_string(),
        YamlData::Value(scalar) => scalar_json(scalar).to_string(),
        _ => "?".to_owned(),
    }
}

/// Builds a document from a parsed YAML value. `kind`, `schema` and `id` are required; the other fields are
/// not checked here.
fn parse_document(value: Value) -> Result<RecordDocument, Vec<RecordFault>> {
    let Value::Object(mut fields) = value else {
        let fault = RecordFault::new("record", "", "is not a mapping")
            .with_accepted("fields kind, schema, id and more");
        return Err(vec![fault]);
    };
    let shown_id = fields.get("id").and_then(Value::as_str).unwrap_or("?").to_owned();
    let shown_kind = fields
        .get("kind")
        .and_then(Value::as_str)
        .unwrap_or("?")
        .to_owned();
    let record = format!("{shown_kind}/{shown_id}");
    let mut faults = Vec::new();
    let mut fault = |field: &str, accepted: String| {
        let problem = if fields.contains_key(field) {
            "is not accepted"
        } else {
            "is missing"
        };
        faults.push(RecordFault::new(record.as_str(), field, problem).with_accepted(accepted));
    };
    let kind: Option<RecordKind> = shown_kind.parse().ok();
    if kind.is_none() {
        let kinds: Vec<String> = RecordKind::ALL.iter().map(ToString::to_string).collect();
        fault("kind", format!("one of {}", kinds.join(", ")));
    }
    let schema = fields
        .get("schema")
        .and_then(Value::as_u64)
        .and_then(|schema| u32::try_from(schema).ok());
    if schema.is_none() {
        fault("schema", "1 or 2".to_owned());
    }
    let id = fields.get("id").and_then(Value::as_str).map(Arc::<str>::from);
    if id.is_none() {
        fault("id", "a name; quote it if it looks like a number".to_owned());
    }
    let (Some(kind), Some(schema), Some(id)) = (kind, schema, id) else {
        return Err(faults);
    };
    for name in ["kind", "schema", "id"] {
        fields.remove(name);
    }
    let fields = fields
        .into_iter()
        .map(|(name, value)| (Arc::from(name), value))
        .collect();
    Ok(RecordDocument {
        kind,
        schema,
        id,
        fields,
    })
}
