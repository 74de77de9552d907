//! Reads the settings file, reporting all errors at once, and renders the defaults file.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::path::Path;
use std::sync::Arc;

use serde_yaml_ng::Value;

use crate::process::settings::DaemonSettings;
use crate::process::settings_field::FIELDS;

/// An error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingError {
    /// Line number, from 1; 0 if the file cannot be read.
    pub line: usize,
    /// Field as `section.name`, a section, or `file` for the file as a whole.
    pub field: Arc<str>,
    /// Description of the problem.
    pub problem: Arc<str>,
    /// Accepted values in words.
    pub accepted: Arc<str>,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}: {}: {} (accepted: {})",
            self.line, self.field, self.problem, self.accepted
        )
    }
}

/// Reads a settings file.
///
/// # Errors
/// All errors in the file.
pub fn read_settings(path: &Path) -> Result<DaemonSettings, Vec<SettingError>> {
    match std::fs::read_to_string(path) {
        Ok(text) => parse_settings(&text),
        Err(error) => Err(vec![setting_error(
            0,
            "file",
            &format!("cannot be read: {error}"),
            "a readable UTF-8 file",
        )]),
    }
}

/// Parses settings from YAML. Absent fields keep their defaults.
///
/// # Errors
/// All errors in the text.
pub fn parse_settings(text: &str) -> Result<DaemonSettings, Vec<SettingError>> {
    let root: Value = match serde_yaml_ng::from_str(text) {
        Ok(root) => root,
        Err(error) => {
            let line = error.location().map_or(1, |location| location.line());
            return Err(vec![setting_error(
                line,
                "file",
                &error.to_string(),
                "YAML sections of fields",
            )]);
        }
    };
    let mut reader = SettingReader {
        lines: index_lines(text),
        settings: DaemonSettings::default(),
        errors: Vec::new(),
    };
    reader.read_root(&root);
    reader.check_combinations();
    if reader.errors.is_empty() {
        return Ok(reader.settings);
    }
    reader.errors.sort_by_key(|error| error.line);
    Err(reader.errors)
}

struct SettingReader {
    lines: BTreeMap<String, usize>,
    settings: DaemonSettings,
    errors: Vec<SettingError>,
}

impl SettingReader {
    fn read_root(&mut self, root: &Value) {
        match root {
            Value::Null => {}
            Value::Mapping(sections) => {
                for (name, section) in sections {
                    self.read_section(&key_name(name), section);
                }
            }
            _ => self.add_error("file", "is not a mapping", "sections of fields"),
        }
    }

    fn read_section(&mut self, name: &str, section: &Value) {
        if !FIELDS.iter().any(|field| field.section == name) {
            self.add_error(name, "is not a section", &section_names());
            return;
        }
        match section {
            Value::Null => {}
            Value::Mapping(fields) => {
                for (field, value) in fields {
                    self.read_field(name, &key_name(field), value);
                }
            }
            _ => self.add_error(name, "is not a mapping", &field_names(name)),
        }
    }

    fn read_field(&mut self, section: &str, name: &str, value: &Value) {
        let path = format!("{section}.{name}");
        let field = FIELDS
            .iter()
            .find(|field| field.section == section && field.name == name);
        let Some(field) = field else {
            self.add_error(&path, "is not a field", &field_names(section));
            return;
        };
        if (field.set)(&mut self.settings, value).is_none() {
            let problem = format!("{} is not accepted", render_value(value));
            self.add_error(&path, &problem, field.accepted);
        }
    }

    /// Checks constraints between fields.
    fn check_combinations(&mut self) {
        let retry = self.settings.retry;
        if retry.first_backoff > retry.max_backoff {
            let accepted = "at least retries.first_backoff_ms";
            self.add_error(
                "retries.longest_backoff_ms",
                "is below the first back-off",
                accepted,
            );
        }
    }

    fn add_error(&mut self, field: &str, problem: &str, accepted: &str) {
        let section = field.split('.').next().unwrap_or_default();
        let line = self.lines.get(field).or_else(|| self.lines.get(section));
        let line = line.copied().unwrap_or(1);
        self.errors.push(setting_error(line, field, problem, accepted));
    }
}

fn setting_error(line: usize, field: &str, problem: &str, accepted: &str) -> SettingError {
    SettingError {
        line,
        field: field.into(),
        problem: problem.into(),
        accepted: accepted.into(),
    }
}

fn key_name(key: &Value) -> String {
    key.as_str().map_or_else(|| render_value(key), str::to_owned)
}

fn render_value(value: &Value) -> String {
    let text = serde_yaml_ng::to_string(value).unwrap_or_default();
    text.trim_end().chars().take(60).collect()
}

fn section_names() -> String {
    let mut names: Vec<&str> = FIELDS.iter().map(|field| field.section).collect();
    names.dedup();
    format!("one of {}", names.join(", "))
}

fn field_names(section: &str) -> String {
    let fields = FIELDS.iter().filter(|field| field.section == section);
    let names: Vec<&str> = fields.map(|field| field.name).collect();
    format!("fields {}", names.join(", "))
}

/// Line numbers of sections and of fields in block style. A field in flow style is not included and is
/// reported at the line of its section.
fn index_lines(text: &str) -> BTreeMap<String, usize> {
    let mut lines = BTreeMap::new();
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let Some((name, _)) = line.split_once(':') else {
            continue;
        };
        let trimmed = name.trim();
        if trimmed.is_empty() || trimmed.starts_with('#') {
            continue;
        }
        if name.starts_with(char::is_whitespace) {
            lines.entry(format!("{section}.{trimmed}")).or_insert(index + 1);
        } else {
            trimmed.clone_into(&mut section);
            lines.entry(section.clone()).or_insert(index + 1);
        }
    }
    lines
}

/// Renders the default settings as a commented YAML file.
pub fn render_defaults() -> String {
    let settings = DaemonSettings::default();
    let mut text = String::from(
        "# Settings of figloftd. Every field is shown with its default, which applies if the field is left out.\n",
    );
    let mut section = "";
    for field in FIELDS {
        if field.section != section {
            section = field.section;
            let _ = write!(text, "\n{section}:\n");
        }
        let _ = writeln!(text, "  # {}", field.description);
        let _ = writeln!(text, "  # Accepted: {}.", field.accepted);
        let _ = writeln!(text, "  {}: {}", field.name, (field.get)(&settings));
    }
    text
}
