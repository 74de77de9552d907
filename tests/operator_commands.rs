//! The operators' tool against the admin API over HTTP.

mod admin_fleet;

use std::net::TcpListener;

use admin_fleet::FakeFleet;
use admin_fleet::operator_harness::OperatorHarness;
use clap::Parser;
use figloft::cli::operator_args::OperatorArgs;
use figloft::model::id::Revision;
use figloft::operator::outcome::OperatorExit;
use serde_json::Value;

const TEAM: &str = "kind: team\nschema: 2\nid: lodges\norganisation: o\nshare: 3\nlimit: 10\n";

/// Guards against an operator who takes an accepted change for one that is in force everywhere.
#[test]
fn apply_names_the_sessions_that_it_waits_for() {
    let harness = OperatorHarness::new("waits", FakeFleet::default());
    let file = harness.write_file("team.yaml", TEAM);
    harness.set_session_revision("session-1", 99);
    harness.set_session_revision("session-2", 0);
    let behind = harness.run(&["apply", "--wait-ms", "0", &file]);
    assert_eq!(behind.exit, OperatorExit::NotInForce);
    assert!(
        behind
            .out
            .contains("waits for 1 of 2 sessions: session-2 (zone-a)"),
        "{}",
        behind.out
    );
    harness.set_session_revision("session-2", 99);
    let changed = harness.write_file("team.yaml", &TEAM.replace("10", "12"));
    let in_force = harness.run(&["apply", "--wait-ms", "0", &changed]);
    assert_eq!(in_force.exit, OperatorExit::Success, "{}", in_force.log);
    assert!(
        in_force.out.contains("- limit: 10\n  + limit: 12"),
        "{}",
        in_force.out
    );
    assert!(
        in_force.out.contains("in force on all 2 sessions"),
        "{}",
        in_force.out
    );
    assert!(
        harness
            .run(&["apply", "--wait-ms", "0", &changed])
            .out
            .contains("nothing to change")
    );
}

/// Guards against one operator overwriting the other's change: one success, one conflict that shows both versions.
#[test]
fn of_two_operators_who_edit_the_same_record_one_gets_a_conflict() {
    let harness = OperatorHarness::new("race", FakeFleet::with_records(TEAM));
    harness.set_session_revision("session-1", 99);
    let shown = harness.run(&["get", "team/lodges"]).out;
    let base = shown
        .lines()
        .find_map(|line| line.strip_prefix("# revision "))
        .expect("revision is shown");
    let first = harness.write_file("first.yaml", &shown.replace("limit: 10", "limit: 11"));
    let second = harness.write_file("second.yaml", &shown.replace("limit: 10", "limit: 12"));
    assert_eq!(
        harness.run(&["apply", "--base", base, &first]).exit,
        OperatorExit::Success
    );
    let conflict = harness.run(&["apply", "--base", base, &second]);
    assert_eq!(conflict.exit, OperatorExit::Conflict);
    assert!(
        conflict
            .log
            .contains("conflict: team/lodges was read at revision 1 and is now at revision 2"),
        "{}",
        conflict.log
    );
    assert!(
        conflict.log.contains("- limit: 11\n  + limit: 12"),
        "{}",
        conflict.log
    );
}

/// Guards against files with faults that reach the daemon, and against faults hidden in the JSON form.
#[test]
fn faults_end_apply_before_anything_is_sent() {
    let harness = OperatorHarness::new("faults", FakeFleet::default());
    let file = harness.write_file(
        "team.yaml",
        &TEAM.replace("share: 3", "share: -3").replace("limit", "limits"),
    );
    let refused = harness.run(&["--format", "json", "apply", &file]);
    assert_eq!(refused.exit, OperatorExit::Faults);
    let body: Value = serde_json::from_str(&refused.out).expect("one line of JSON");
    let fields: Vec<&str> = body["faults"]
        .as_array()
        .expect("faults")
        .iter()
        .filter_map(|f| f["field"].as_str())
        .collect();
    assert_eq!(fields, ["limit", "share", "limits"]);
    assert_eq!(harness.fleet.version.current().revision, Revision::default());
}

/// Guards against `get` output that `apply` reads as something else.
#[test]
fn records_survive_get_and_apply_unchanged() {
    let samples = include_str!("../examples/guardanieve.yaml");
    let harness = OperatorHarness::new("round-trip", FakeFleet::with_records(samples));
    let shown = harness.run(&["get"]).out;
    let file = harness.write_file("all.yaml", &shown);
    let difference = harness.run(&["diff", &file]);
    assert_eq!(
        (difference.exit, difference.log.as_str()),
        (OperatorExit::Success, "")
    );
    assert!(difference.out.contains("0 records differ"), "{}", difference.out);
    let changed = harness.write_file("all.yaml", &shown.replace("limit: 160", "limit: 150"));
    assert_eq!(harness.run(&["diff", &changed]).exit, OperatorExit::Differs);
}

/// Guards against keys whose secret is lost or stored, and against a withdrawal that reports nothing.
#[test]
fn a_key_is_given_once_and_withdrawn() {
    let harness = OperatorHarness::new("key", FakeFleet::with_records(TEAM));
    harness.set_session_revision("session-1", 99);
    let given = harness.run(&["--format", "json", "key", "give", "lodges", "--id", "lodges-1"]);
    let body: Value = serde_json::from_str(&given.out).expect("one line of JSON");
    let secret = body["key"]
        .as_str()
        .expect("key")
        .strip_prefix("lodges-1:")
        .expect("key has its id");
    assert_eq!(
        (secret.len(), &body["force"]["in_force"]),
        (64, &Value::Bool(true))
    );
    assert!(!harness.run(&["get"]).out.contains(secret));
    let withdrawn = harness.run(&["key", "withdraw", "lodges-1"]);
    assert!(
        withdrawn
            .out
            .contains("key lodges-1 withdrawn: revision 3 is in force"),
        "{}",
        withdrawn.out
    );
}

/// Guards against a plan submitted together with other records, and against actions that report no state.
#[test]
fn a_plan_goes_from_submission_to_abort() {
    let samples = include_str!("../examples/dialworks.yaml");
    let plan = &samples[samples.find("---\n# The move to the Ikeja").expect("plan")
        ..samples.find("---\n# Weights").expect("policy")];
    let others = samples.replace(plan, "");
    let harness = OperatorHarness::new(
        "plan",
        FakeFleet::with_records(&others).with_members("adeola", &["i-1", "i-2"]),
    );
    harness.set_session_revision("session-1", 99);
    let mixed = harness.write_file(
        "mixed.yaml",
        &format!(
            "{plan}{}",
            TEAM.replace("lodges", "new").replace("kind", "---\nkind")
        ),
    );
    assert_eq!(harness.run(&["plan", "submit", &mixed]).exit, OperatorExit::Usage);
    let file = harness.write_file("plan.yaml", plan);
    let submitted = harness.run(&["plan", "submit", &file]);
    assert_eq!(submitted.exit, OperatorExit::Success, "{}", submitted.log);
    assert!(
        submitted.out.contains("wave 1: adeola reboot, 0 of 4 done"),
        "{}",
        submitted.out
    );
    for (action, exit) in [
        ("resume", OperatorExit::Conflict),
        ("pause", OperatorExit::Success),
        ("abort", OperatorExit::Success),
    ] {
        assert_eq!(
            harness.run(&["plan", action, "ikeja-move"]).exit,
            exit,
            "{action}"
        );
    }
    assert!(
        harness
            .run(&["plan", "show"])
            .out
            .contains("plan ikeja-move aborted")
    );
}

/// Guards against commands of the help that fail, in either format.
#[test]
fn each_reading_command_answers_in_both_formats() {
    let samples = include_str!("../examples/dialworks.yaml");
    let harness = OperatorHarness::new(
        "reading",
        FakeFleet::with_records(samples).with_members("spare", &["i-1"]),
    );
    harness.set_session_revision("session-1", 99);
    assert_eq!(
        harness.run(&["instance", "drain", "i-1", "--reason", "fan"]).exit,
        OperatorExit::Success
    );
    let commands: [(&[&str], &str); 12] = [
        (&["pool"], "adeola"),
        (&["pool", "spare"], "drained: fan"),
        (&["instance", "list"], "zone-a"),
        (&["team"], "Marina Watch Dealers"),
        (&["team", "dealers"], "64"),
        (&["queue"], "archive-renders"),
        (&["session", "list"], "session-1"),
        (&["status"], "request: i-1 drained"),
        (&["status", "--watch", "--times", "1"], "plan ikeja-move running"),
        (&["audit"], "drain of i-1 requested: fan"),
        (&["explain", "move", "i-1"], "an operator wants it drained"),
        (&["explain", "team", "dealers"], "share 10 of 100, limit 64"),
    ];
    for (words, part) in commands {
        let text = harness.run(words);
        assert_eq!(text.exit, OperatorExit::Success, "{words:?}: {}", text.log);
        assert!(text.out.contains(part), "{words:?}: {}", text.out);
        let json = harness.run(&[&["--format", "json"], words].concat());
        let value: Value = serde_json::from_str(&json.out).unwrap_or_else(|e| panic!("{words:?}: {e}"));
        assert!(!value.is_null());
    }
    let missing = harness.run(&["team", "nobody"]);
    assert_eq!(
        (missing.exit, missing.log.as_str()),
        (
            OperatorExit::Refused,
            "figloft: not_found: team nobody does not exist\n"
        )
    );
}

/// Guards against a daemon that is gone being taken for a refusal, and against not trying the next one.
#[test]
fn the_next_daemon_is_asked_when_one_is_gone() {
    let harness = OperatorHarness::new("gone", FakeFleet::with_records(TEAM));
    let gone = TcpListener::bind("127.0.0.1:0")
        .expect("listener binds")
        .local_addr()
        .expect("address")
        .to_string();
    let alone = harness.run_at(&gone, &["team"]);
    assert_eq!(alone.exit, OperatorExit::Unavailable);
    assert!(
        alone.log.contains(&format!("no daemon answers at {gone}")),
        "{}",
        alone.log
    );
    let both = format!("{gone},{}", harness.server.address());
    assert_eq!(harness.run_at(&both, &["team"]).exit, OperatorExit::Success);
}

/// Guards against completions and help that drift from the commands.
#[test]
fn completions_and_help_cover_the_commands() {
    let harness = OperatorHarness::new("completions", FakeFleet::default());
    let script = harness.run(&["completions", "bash"]).out;
    assert!(script.contains("withdraw") && script.contains("explain"));
    let help = OperatorArgs::try_parse_from(["figloft", "--help"])
        .expect_err("help ends parsing")
        .to_string();
    for exit in [OperatorExit::Success, OperatorExit::Unknown] {
        assert!(help.contains(&format!("\n  {}  ", exit.code())), "{help}");
    }
}
