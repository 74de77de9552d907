//! Conversion of operators' records from their written form to the model.

use figloft::record::document::{RecordDocument, RecordModel};
use figloft::record::service::ServiceRecord;

fn document(json: &str) -> RecordDocument {
    serde_json::from_str(json).expect("sample document parses")
}

fn service(json: &str) -> ServiceRecord {
    match document(json).read().expect("record reads") {
        RecordModel::Service(record) => record,
        other => panic!("read as {other:?}"),
    }
}

/// Guards against different interpretations of the two schema versions, whose records can be in use together.
#[test]
fn both_schema_versions_read_into_the_same_model() {
    let old = service(
        r#"{"kind":"service","schema":1,"id":"quotation","pool":"p1",
            "availability":92.5,"timeout_s":1.5,"capacity":"8x64","repeatable":true}"#,
    );
    let new = service(
        r#"{"kind":"service","schema":2,"id":"quotation","pool":"p1",
            "budget":{"max_unavailable_permille":75},"slots_per_backend":8,"connections_per_backend":64,
            "max_deadline_ms":1500,"idempotent":true}"#,
    );
    assert_eq!(old, new);
}

/// Guards against dropping the fields of a newer version when an older one stores the record again.
#[test]
fn unknown_fields_and_schema_versions_survive_a_round_trip() {
    let text = r#"{"kind":"team","schema":9,"id":"t","colour":"blue","nested":{"a":[1,2]}}"#;
    let read = document(text);
    assert!(read.read().is_err(), "schema 9 has no reader");
    let written: serde_json::Value = serde_json::to_value(&read).expect("document serialises");
    let original: serde_json::Value = serde_json::from_str(text).expect("text parses");
    assert_eq!(written, original);
}

/// Guards against an invalid percentage or capacity being silently read as zero.
#[test]
fn out_of_range_fields_name_what_is_accepted() {
    let text = |availability: &str, capacity: &str| {
        format!(
            r#"{{"kind":"service","schema":1,"id":"s","pool":"p","availability":{availability},
                "timeout_s":1,"capacity":"{capacity}"}}"#
        )
    };
    let percentage = document(&text("101", "8x64"))
        .read()
        .expect_err("101 percent is refused");
    assert!(percentage.message().contains("0 to 100"), "{percentage}");
    let capacity = document(&text("90", "8"))
        .read()
        .expect_err("capacity without connections is refused");
    assert!(capacity.message().contains("8x64"), "{capacity}");
}
