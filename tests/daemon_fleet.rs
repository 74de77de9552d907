//! Complete daemons in one process: startup, allowances, tickets across sessions and ticket handover.

mod support;

use std::sync::Arc;
use std::time::Duration;

use figloft::clock::{SharedClock, SystemClock};
use figloft::journal::entry::{EntryActor, EntryChange};
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::{InstancePlace, MemberPhase};
use figloft::model::id::{InstanceId, SessionId};
use figloft::model::resource::ResourceSet;
use figloft::port::backend::stand_in::BackendStandIn;
use figloft::port::store::client::StoreClient;
use figloft::port::store::memory_store::MemoryStore;
use figloft::process::daemon::{Daemon, DaemonClients};
use figloft::process::log;
use figloft::process::settings::DaemonSettings;
use figloft::record::document::RecordDocument;
use figloft::record::key;
use figloft::version::accepted::AcceptedVersion;
use figloft::version::entry_log::EntryLog;
use figloft::version::journal_reader::JournalReader;
use figloft::version::journal_writer::JournalWriter;
use support::{RawClient, RawResponse, SECRET, key_header};

async fn start_daemon(store: &MemoryStore) -> Daemon {
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let settings = DaemonSettings {
        zone: "z".parse().expect("name is valid"),
        caller_address: address(0),
        admin_address: address(0),
        peer_address: address(0),
        drain_notice: Duration::ZERO,
        drain_linger: Duration::from_millis(50),
        ..DaemonSettings::default()
    };
    let clients = DaemonClients::http(StoreClient::memory(store.clone()));
    Daemon::start(settings, clients, &log::discard_logger())
        .await
        .expect("the daemon starts")
}

/// Writes records and one backend server to the journal, as an operator and an earlier coordinator would have
/// done.
async fn seed_journal(store: &MemoryStore, clock: &SharedClock, backend: &BackendStandIn) {
    let log = EntryLog::new(AcceptedVersion::default());
    let reader = JournalReader::new(StoreClient::memory(store.clone()), log, Arc::clone(clock));
    let session: SessionId = "seed".parse().expect("name is valid");
    let writer = JournalWriter::new(reader, session.clone(), Arc::clone(clock));
    let hash = key::hash_secret(SECRET);
    let records = [
        r#"{"kind":"pool","schema":2,"id":"p1"}"#.to_owned(),
        r#"{"kind":"service","schema":2,"id":"quotes","pool":"p1","budget":{"max_unavailable_permille":100},
            "slots_per_backend":8,"connections_per_backend":64,"max_deadline_ms":10000}"#
            .to_owned(),
        r#"{"kind":"team","schema":2,"id":"a","organisation":"o","share":1,"limit":20}"#.to_owned(),
        format!(r#"{{"kind":"key","schema":2,"id":"ka","team":"a","secret_sha256":"{hash}"}}"#),
    ];
    let documents = records.map(|json| serde_json::from_str::<RecordDocument>(&json).expect("a record"));
    let puts = documents.map(|document| EntryChange::PutRecord {
        document,
        expected: None,
    });
    let instance: InstanceId = "p1-0".parse().expect("name is valid");
    let place = InstancePlace {
        region: "r".parse().expect("name is valid"),
        zone: "z".parse().expect("name is valid"),
        rack: "k".parse().expect("name is valid"),
        resources: ResourceSet::default(),
        address: backend.address().to_string().into(),
    };
    let take_role = EntryChange::TakeDuty {
        session: session.clone(),
    };
    let members = vec![
        EntryChange::JoinPool {
            instance: instance.clone(),
            pool: "p1".parse().expect("name is valid"),
            place,
        },
        EntryChange::SetPhase {
            instance,
            phase: MemberPhase::Serving,
            reason: "test".into(),
        },
        EntryChange::ReleaseDuty {
            session: session.clone(),
        },
    ];
    for changes in [puts.to_vec(), vec![take_role], members] {
        let build = move |_: &FleetState| Ok(changes.clone());
        let actor = EntryActor::System(session.clone());
        writer.append(actor, build).await.expect("the entry is accepted");
    }
}

async fn send_request(daemon: std::net::SocketAddr, path: &str, headers: &str, body: &str) -> RawResponse {
    let mut client = RawClient::connect(daemon).await;
    let headers = format!("{}{headers}", key_header("ka"));
    client.send(path, &headers, body).await;
    client.read_response().await
}

/// Sends the request until it succeeds. The limit of attempts only ends a test that would hang.
async fn request_until_ok(
    daemon: std::net::SocketAddr,
    path: &str,
    headers: &str,
    body: &str,
) -> RawResponse {
    for _ in 0..1200 {
        let response = send_request(daemon, path, headers, body).await;
        if response.status == 200 {
            return response;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{path} never succeeded");
}

/// Guards against a fleet that grants no allowances, against a ticket that runs twice when it is presented to
/// another session than its issuer, and against tickets and responses lost when the issuer shuts down.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_ticket_keeps_its_response_when_its_issuer_shuts_down() {
    let clock: SharedClock = Arc::new(SystemClock);
    let store = MemoryStore::new(Arc::clone(&clock));
    let backend = BackendStandIn::start().await.expect("the stand-in starts");
    seed_journal(&store, &clock, &backend).await;
    let issuer = start_daemon(&store).await;
    let other = start_daemon(&store).await;
    request_until_ok(issuer.caller_address(), "/s/quotes/warm", "x-label: warm\r\n", "").await;
    request_until_ok(other.caller_address(), "/s/quotes/warm", "x-label: warm\r\n", "").await;

    let response = request_until_ok(issuer.caller_address(), "/tickets", "", "").await;
    let ticket = response.json()["tickets"][0]
        .as_str()
        .expect("a ticket")
        .to_owned();
    let headers = format!("x-figloft-ticket: {ticket}\r\nx-label: ticket\r\n");
    let first = request_until_ok(other.caller_address(), "/s/quotes/x", &headers, "body").await;
    assert_eq!(first.body, b"body");
    let through_issuer = request_until_ok(issuer.caller_address(), "/s/quotes/x", &headers, "body").await;
    assert_eq!(through_issuer.body, b"body");

    issuer.stop().await.expect("the issuer ends well");
    let after = request_until_ok(other.caller_address(), "/s/quotes/x", &headers, "body").await;
    assert_eq!(after.body, b"body");
    let runs = backend.records();
    let run_count = runs.iter().filter(|run| run.label.as_ref() == "ticket").count();
    assert_eq!(run_count, 1, "the ticket's work ran {run_count} times");
    other.stop().await.expect("the other daemon ends well");
}
