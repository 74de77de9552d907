//! The pages for callers and operators say what the program does.

mod admin_fleet;

use std::collections::BTreeMap;

use admin_fleet::FakeFleet;
use admin_fleet::operator_harness::OperatorHarness;
use figloft::error::KIND_TABLE;
use figloft::operator::outcome::OperatorExit;

const OPERATORS: &str = include_str!("../docs/operators.md");
const CALLERS: &str = include_str!("../docs/callers.md");

/// Guards against a page that tells callers another status, outcome or retry advice than the program gives.
#[test]
fn the_error_table_for_callers_is_the_programs_table() {
    let expected: Vec<String> = KIND_TABLE
        .iter()
        .map(|row| {
            format!(
                "| `{}` | {} | {} | {} | {} |",
                row.name, row.status, row.outcome, row.retry, row.meaning
            )
        })
        .collect();
    let lines = CALLERS
        .lines()
        .skip_while(|line| *line != "| kind | status | outcome | retry | meaning |");
    let shown: Vec<&str> = lines.skip(2).take_while(|line| line.starts_with('|')).collect();
    assert_eq!(shown, expected);
}

/// Lines of the page's `sh` blocks.
fn commands() -> Vec<&'static str> {
    let mut commands = Vec::new();
    let mut is_shell = false;
    for line in OPERATORS.lines() {
        match line.strip_prefix("```") {
            Some(language) => is_shell = language == "sh",
            None if is_shell => commands.push(line),
            None => {}
        }
    }
    commands
}

/// Splits a line into words; double quotes keep spaces.
fn words(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in line.split('"').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    words
}

/// Guards against commands on the page that do not exist, fail or print nothing.
#[test]
fn each_command_of_the_operators_page_works_in_order() {
    let fleet = FakeFleet::default()
        .with_members("warranty", &["warranty-01", "warranty-02"])
        .with_members("layout", &["layout-03"]);
    let harness = OperatorHarness::new("pages", fleet);
    harness.set_session_revision("session-1", 1_000_000);
    harness.set_session_revision("session-9", 1_000_000);
    let mut ids = BTreeMap::from([
        ("SESSION", "session-9".to_owned()),
        ("JOB", "job-1".into()),
        ("REQUEST", "request-1".into()),
    ]);
    let commands = commands();
    assert!(commands.len() > 30, "the page has {} commands", commands.len());
    for line in commands {
        let mut line = line.to_owned();
        for (placeholder, id) in &ids {
            line = line.replace(placeholder, id);
        }
        let words = words(&line);
        let (program, arguments) = words.split_first().expect("a command has words");
        assert_eq!(program, "figloft", "{line}");
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        let written = harness.run(&arguments);
        let is_expected = match arguments[0] {
            "diff" => matches!(written.exit, OperatorExit::Success | OperatorExit::Differs),
            _ => written.exit == OperatorExit::Success,
        };
        assert!(is_expected, "{line}: {:?} {}", written.exit, written.log);
        assert!(!written.out.is_empty(), "{line}");
        if arguments.starts_with(&["key", "give"]) {
            let id = written
                .out
                .strip_prefix("key ")
                .and_then(|rest| rest.split(' ').next());
            ids.insert("KEY", id.expect("the key's id is shown").to_owned());
        }
    }
}
