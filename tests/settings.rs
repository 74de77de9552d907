//! The daemon's settings file.

use std::path::Path;

use figloft::process::settings::DaemonSettings;
use figloft::process::settings_field::FIELDS;
use figloft::process::settings_file;

/// Guards against a defaults file that differs from the actual defaults or omits a field.
#[test]
fn the_defaults_file_states_the_defaults() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/figloftd.yaml");
    let text = std::fs::read_to_string(&path).expect("the defaults file exists");
    assert_eq!(
        text,
        settings_file::render_defaults(),
        "write it with figloftd --print-defaults"
    );
    let read = settings_file::read_settings(&path).expect("the defaults file is accepted");
    assert_eq!(read, DaemonSettings::default());
    for field in FIELDS {
        let lines: Vec<&str> = text.lines().collect();
        let name = format!("  {}: ", field.name);
        let found = lines
            .windows(2)
            .any(|pair| pair[0].starts_with("  # ") && pair[1].starts_with(&name));
        assert!(found, "{}.{} has no comment", field.section, field.name);
    }
}

/// Guards against settings errors that are reported one per start, or with the wrong line.
#[test]
fn every_error_is_reported_at_once_with_its_line() {
    let text = "instance:\n  zone: \"-bad\"\nlisten:\n  callers: here\n  colour: blue\nviews:\n  x: 1\nview:\n  freshness_ms: 3001\nretries:\n  first_backoff_ms: 900\nsecrets:\n  peer_key: short\n";
    let errors = settings_file::parse_settings(text).expect_err("the settings are refused");
    let places: Vec<(usize, &str)> = errors
        .iter()
        .map(|error| (error.line, error.field.as_ref()))
        .collect();
    let expected = [
        (2, "instance.zone"),
        (4, "listen.callers"),
        (5, "listen.colour"),
        (6, "views"),
        (9, "view.freshness_ms"),
        (10, "retries.longest_backoff_ms"),
        (13, "secrets.peer_key"),
    ];
    assert_eq!(places, expected);
    assert!(
        errors[4].to_string().contains("from 500 to 3000"),
        "{}",
        errors[4]
    );
}

/// Guards against malformed text that is treated as empty settings.
#[test]
fn malformed_text_is_refused() {
    for text in [
        "[1, 2]",
        "listen: [",
        "listen: 5",
        "listen:\n  callers: 127.0.0.1:1\n  callers: 127.0.0.1:2\n",
    ] {
        assert!(
            !settings_file::parse_settings(text).expect_err(text).is_empty(),
            "{text}"
        );
    }
    assert_eq!(
        settings_file::parse_settings("").expect("empty settings are the defaults"),
        DaemonSettings::default()
    );
}
