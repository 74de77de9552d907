//! Parsing and validation of operators' record files.

use std::collections::BTreeSet;
use std::sync::Arc;

use figloft::record::check;
use figloft::record::document::{RecordDocument, RecordKind};
use figloft::record::fault::RecordFault;
use figloft::record::field_rule;
use figloft::record::source::RecordSource;
use proptest::prelude::*;

const SAMPLES: [&str; 2] = [
    include_str!("../examples/guardanieve.yaml"),
    include_str!("../examples/dialworks.yaml"),
];

fn source(text: &str) -> RecordSource {
    let mut source = RecordSource::default();
    source.add_bytes(&Arc::from("f.yaml"), text.as_bytes());
    source
}

fn faults(text: &str) -> Vec<RecordFault> {
    source(text).check(&[])
}

fn lines(text: &str) -> Vec<String> {
    faults(text).iter().map(ToString::to_string).collect()
}

/// Guards against sample files that cannot be applied as they are, or that show only one schema version.
#[test]
fn samples_are_free_of_faults_and_use_both_schema_versions() {
    for sample in SAMPLES {
        assert_eq!(lines(sample), [""; 0]);
        let documents = source(sample).documents;
        let schemas: BTreeSet<u32> = documents.iter().map(|document| document.schema).collect();
        assert_eq!(schemas, BTreeSet::from(field_rule::SUPPORTED_SCHEMAS));
        let count = |kind| documents.iter().filter(|document| document.kind == kind).count();
        assert_eq!(count(RecordKind::Service), 5);
        assert_eq!(count(RecordKind::Team), 6);
        assert_eq!(
            count(RecordKind::Key),
            0,
            "secrets and their hashes stay out of the samples"
        );
        let spare = documents
            .iter()
            .filter(|d| d.fields.get("spare") == Some(&serde_json::Value::Bool(true)));
        assert_eq!(spare.count(), 1);
    }
}

/// Guards against fields without an explanatory comment in the sample files.
#[test]
fn each_field_of_the_samples_is_commented_once() {
    for sample in SAMPLES {
        for document in source(sample).documents {
            for field in document.fields.keys() {
                let start = format!("{field}:");
                let is_commented = |line: &str| {
                    line.trim_start_matches([' ', '-']).starts_with(&start) && line.contains('#')
                };
                assert!(sample.lines().any(is_commented), "{field} of {}", document.name());
            }
        }
    }
}

/// Guards against reporting only the first fault, so that operators must correct a file one fault at a time.
/// All faults are reported together, each with its line.
#[test]
fn all_faults_are_listed_with_line_field_and_what_is_accepted() {
    let text = "\
kind: service
schema: 2
id: quotation
pool: nowhere
budget:
  max_unavailable_permille: 1001
slots_per_backend: -8
max_deadline_ms: 2000
colour: blue
---
kind: team
schema: 9
id: lodges
---
kind: palace
id: 7
---
kind: service
schema: 1
id: old
pool: p
availability: 101
timeout_s: 2
capacity: 8
";
    let expected = [
        (
            "f.yaml:1: error: service/quotation: connections_per_backend: is missing",
            "whole number",
        ),
        (
            "f.yaml:6: error: service/quotation: budget.max_unavailable_permille: 1001",
            "0 to 1000",
        ),
        (
            "f.yaml:7: error: service/quotation: slots_per_backend: -8",
            "1 to",
        ),
        (
            "f.yaml:9: warning: service/quotation: colour: is unknown and kept",
            "idempotent",
        ),
        ("f.yaml:12: error: team/lodges: schema: 9 has no reader", "1 to 2"),
        ("f.yaml:15: error: palace/?: kind: is not accepted", "policy"),
        ("f.yaml:15: error: palace/?: schema: is missing", "1 or 2"),
        ("f.yaml:16: error: palace/?: id: is not accepted", "name"),
        ("f.yaml:22: error: service/old: availability: 101", "0 to 100"),
        ("f.yaml:24: error: service/old: capacity: 8", "8x64"),
    ];
    let found = lines(text);
    for (start, accepted) in expected {
        let line = found.iter().find(|line| line.starts_with(start));
        let line = line.unwrap_or_else(|| panic!("no {start:?} in {found:#?}"));
        assert!(line.contains(accepted), "{line}");
    }
}

/// Guards against references to missing records, which would otherwise be noticed only when work arrives.
#[test]
fn references_are_checked_within_the_files_and_against_records_in_force() {
    let queue = "kind: queue\nschema: 2\nid: q\npool: p\nteams: [a, b]\nmax_waiting: 1\ntask_lease_ms: 1\n";
    let found = lines(queue);
    assert_eq!(found.len(), 3, "{found:#?}");
    assert!(
        found[1].contains("f.yaml:5: error: queue/q: teams[0]: team/a does not exist"),
        "{found:#?}"
    );
    let others = "kind: pool\nschema: 1\nid: p\n---\nkind: team\nschema: 1\nid: a\norganisation: o\nshare: 1\nlimit: 1\n";
    let existing = source(others).documents;
    let found = source(queue).check(&existing);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].field.as_ref(), "teams[1]");
}

/// Guards against two services in one pool, whose budgets would both count the same instances, against a wave
/// that moves instances to their own pool, and against a policy record that never takes effect.
#[test]
fn contradictions_between_records_are_faults() {
    let service = |id: &str| {
        format!(
            "---\nkind: service\nschema: 1\nid: {id}\npool: p\navailability: 90\ntimeout_s: 1\ncapacity: 8x64\n"
        )
    };
    let plan =
        "---\nkind: plan\nschema: 2\nid: m\ndrain_timeout_ms: 1\nwaves:\n- {pool: p, action: move, to: p}\n";
    let policy = "---\nkind: policy\nschema: 1\nid: other\nrollout_time: 1\nshare_closeness: 1\nbuffer_cost: 1\nmove_count: 1\n";
    let text = format!(
        "kind: pool\nschema: 1\nid: p\n{}{}{plan}{policy}",
        service("a"),
        service("b")
    );
    let found = lines(&text).join("\n");
    assert!(
        found.contains("service/b: pool: pool p already runs service/a"),
        "{found}"
    );
    assert!(
        found.contains("plan/m: waves[0].to: p is the pool that the wave leaves"),
        "{found}"
    );
    assert!(
        found.contains("policy/other: id: other would not be in force"),
        "{found}"
    );
}

/// Guards against accepting a move without a target pool, which the rules for single fields do not detect.
#[test]
fn a_move_names_its_target() {
    let text = "kind: pool\nschema: 1\nid: p\n---\nkind: plan\nschema: 2\nid: m\ndrain_timeout_ms: 1\nwaves:\n- pool: p\n  action: move\n";
    let found = lines(text);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains("plan/m"), "{found:#?}");
}

/// Guards against silently keeping only one of two records, or of two fields, with the same name.
#[test]
fn repeated_records_and_fields_are_faults() {
    let pool = "kind: pool\nschema: 1\nid: p\n";
    let found = lines(&format!("{pool}---\n{pool}"));
    assert!(
        found[0].contains("f.yaml:5: error: pool/p: id: already written at f.yaml:1"),
        "{found:#?}"
    );
    assert!(!lines(&format!("{pool}id: q\n")).is_empty());
}

/// Guards against files that exhaust the memory or the stack through aliases, deep nesting or size.
#[test]
fn files_that_expand_without_bound_are_refused() {
    let aliases = "a: &a [x, x]\nb: &b [*a, *a]\n";
    assert!(lines(aliases)[0].contains("alias"));
    let deep = format!("{}{}", "[".repeat(20), "]".repeat(20));
    assert!(lines(&deep)[0].contains("nested"), "{:?}", lines(&deep));
    let unclosed = "[".repeat(100_000);
    assert!(
        lines(&unclosed)[0].contains("recursion limit"),
        "{:?}",
        lines(&unclosed)
    );
    let long = "#".repeat(figloft::record::source::MAX_FILE_LENGTH + 1);
    assert!(lines(&long)[0].contains("bytes"));
}

/// Checks that a record without errors can be converted to the model.
fn check_agrees_with_reader(document: &RecordDocument) {
    let (faults, _) = check::check_document(document);
    if !faults.iter().any(RecordFault::is_error) {
        document.read().expect("a record without faults reads");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(41), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against panics on arbitrary bytes.
    #[test]
    fn hostile_bytes_get_faults_or_records(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut source = RecordSource::default();
        source.add_bytes(&Arc::from("f.yaml"), &bytes);
        drop(source.check(&[]));
    }

    /// Guards against panics on samples in which one part is replaced by random text, and against records
    /// that pass the checks but cannot be converted.
    #[test]
    fn damaged_samples_get_faults_or_read(
        which in 0..2_usize, at in 0..6000_usize, length in 0..40_usize, text in "[-\\[\\]{}:#&*!|>'\"%@` \n0-9a-z\u{0}\u{fffd}]{0,12}",
    ) {
        let sample = SAMPLES[which].as_bytes();
        let start = at.min(sample.len());
        let end = (start + length).min(sample.len());
        let damaged = [&sample[..start], text.as_bytes(), &sample[end..]].concat();
        let damaged = String::from_utf8_lossy(&damaged);
        let source = source(&damaged);
        drop(source.check(&[]));
        source.documents.iter().for_each(check_agrees_with_reader);
    }
}
