//! The admin API on the real journal writer and the store's stand-in.

mod admin_fleet;

use std::sync::Arc;

use admin_fleet::{TOKEN, documents, request, status_and_json};
use figloft::clock::{SharedClock, SystemClock};
use figloft::journal::entry::EntryChange;
use figloft::port::store::client::StoreClient;
use figloft::port::store::fault::{FaultSpan, StoreFault};
use figloft::port::store::memory_store::MemoryStore;
use figloft::process::admin::api::{AdminApi, AdminRequest, OperatorToken};
use figloft::process::admin::source::AdminSources;
use figloft::version::accepted::AcceptedVersion;
use figloft::version::entry_log::EntryLog;
use figloft::version::journal_reader::JournalReader;
use figloft::version::journal_writer::JournalWriter;
use serde_json::{Value, json};

const TEAM: &str = "kind: team\nschema: 2\nid: lodges\norganisation: o\nshare: 3\nlimit: 10\n";

/// The admin API of a daemon.
fn desk(store: &MemoryStore, session: &str) -> (AdminApi, JournalWriter) {
    let clock: SharedClock = Arc::new(SystemClock);
    let log = EntryLog::new(AcceptedVersion::default());
    let reader = JournalReader::new(StoreClient::memory(store.port()), log, Arc::clone(&clock));
    let writer = JournalWriter::new(reader.clone(), session.parse().expect("name"), clock);
    let sources = AdminSources::of_journal(writer.clone(), &reader);
    let token = OperatorToken::new(TOKEN).expect("token is long enough");
    (AdminApi::new(token, sources), writer)
}

fn edit(operator: &str, limit: u32) -> AdminRequest {
    let mut document = documents(TEAM).remove(0);
    document.fields.insert("limit".into(), json!(limit));
    let body = json!({"changes": [{"put": {"document": document, "expected": 1}}]});
    let mut sent = request("POST", "/v1/changes", body.to_string());
    sent.operator = Some(operator.to_owned());
    sent
}

async fn store_with_team() -> MemoryStore {
    let store = MemoryStore::new(Arc::new(SystemClock));
    let (_, writer) = desk(&store, "setup");
    let document = documents(TEAM).remove(0);
    let build = move |_: &_| {
        let document = document.clone();
        Ok(vec![EntryChange::PutRecord {
            document,
            expected: None,
        }])
    };
    writer
        .append(admin_fleet::operator("setup"), build)
        .await
        .expect("team is written");
    store
}

/// Guards against two operators at two daemons who both succeed, or both fail, or cannot tell who was first.
#[tokio::test]
async fn operators_who_race_at_two_daemons_get_one_success_and_one_conflict() {
    for _ in 0..20 {
        let store = store_with_team().await;
        let ((here, _), (there, _)) = (desk(&store, "s-1"), desk(&store, "s-2"));
        let (one, other) = tokio::join!(here.answer(edit("ada", 11)), there.answer(edit("bayo", 12)));
        let mut answers = [
            ("ada", 11, status_and_json(&one)),
            ("bayo", 12, status_and_json(&other)),
        ];
        answers.sort_by_key(|(_, _, (status, _))| *status);
        let [(winner, kept, (200, _)), (_, refused, (409, body))] = &answers else {
            panic!("{answers:?}");
        };
        assert_eq!(body["conflicts"][0]["yours"]["limit"], json!(refused));
        assert_eq!(body["conflicts"][0]["accepted"]["document"]["limit"], json!(kept));
        let audit = status_and_json(
            &there
                .answer(request("GET", "/v1/audit?record=team/lodges", ""))
                .await,
        )
        .1;
        let operators: Vec<&Value> = audit["entries"]
            .as_array()
            .expect("entries")
            .iter()
            .map(|entry| &entry["actor"]["operator"])
            .collect();
        assert_eq!(operators, [&json!(winner), &json!("setup")]);
    }
}

/// Guards against a change reported as refused although its write took effect, and against landing it twice.
#[tokio::test]
async fn a_lost_answer_of_the_store_is_one_success() {
    let store = store_with_team().await;
    let (api, _) = desk(&store, "s-1");
    store.set_fault(StoreFault::AnswerLost, FaultSpan::NextCalls(1));
    let (status, body) = status_and_json(&api.answer(edit("ada", 11)).await);
    assert_eq!((status, &body["revision"]), (200, &json!(2)), "{body}");
}

/// Guards against a silent store that looks like a refusal of the change itself.
#[tokio::test]
async fn without_the_store_a_change_is_refused_as_unavailable() {
    let store = store_with_team().await;
    let (api, _) = desk(&store, "s-1");
    store.set_fault(StoreFault::Down, FaultSpan::UntilCleared);
    let (status, body) = status_and_json(&api.answer(edit("ada", 11)).await);
    assert_eq!((status, &body["error"]), (503, &json!("store_unavailable")));
    store.clear_faults();
    assert_eq!(status_and_json(&api.answer(edit("ada", 11)).await).0, 200);
}
