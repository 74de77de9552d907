//! Lists that the store sends in pages or cuts.

use std::time::Duration;

use figloft::error::ErrorKind;
use figloft::model::id::{LeaderTerm, LeaseId, SessionId, StoreRevision, WriteNonce};
use figloft::node::fenced_writer::{FencedOutcome, FencedWriter, RoleClaim, TermRecord};
use figloft::platform::http::HttpClient;
use figloft::platform::store::{StoreApiClient, StoreTransaction};
use http::Request;
use hyper::body::Incoming;
use prometheus::{IntCounterVec, Opts};
use serde_json::{Value, json};
use slog::{Logger, o};

use crate::fake_server::{self, json_response};
use crate::fake_store::FakeStore;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the store at `address`.
pub fn store_client(address: std::net::SocketAddr) -> StoreApiClient {
    let calls = IntCounterVec::new(Opts::new("calls", "calls"), &["call", "outcome"]).expect("counter");
    StoreApiClient::new(HttpClient::new(), address, calls)
}

/// Guards against a watcher that never gets past the first page: the page ends with the key of another writer, which
/// has characters with a meaning in a query.
#[tokio::test]
async fn page_that_ends_with_an_odd_key_is_followed_by_the_next() {
    let (fake, address) = FakeStore::start().await;
    for number in 0..499 {
        fake.write(&format!("servers/a-{number:03}"), &json!({}));
    }
    for key in ["servers/b c/\u{e9}&after=#%20+", "servers/i-1", "servers/i-2"] {
        fake.write(key, &json!({}));
    }
    let (items, _) = store_client(address)
        .range("servers/", TIMEOUT)
        .await
        .expect("items");
    let last: Vec<&str> = items.iter().skip(499).map(|item| &*item.key).collect();
    assert_eq!(
        last,
        ["servers/b c/\u{e9}&after=#%20+", "servers/i-1", "servers/i-2"]
    );
}

/// Guards against taking a cut list for a whole one, and against reading the same page for ever: a page says that more
/// items follow, but has none, or none beyond the page before it.
#[tokio::test]
async fn cut_page_without_a_next_one_is_an_error() {
    let item = json!({"key": "wait/a", "value": "e30=", "revision": 3});
    for items in [json!([]), json!([item])] {
        let handler = move |_: Request<Incoming>| {
            let page = json!({"items": items, "truncated": true, "as-of": 7});
            async move { json_response(200, &page) }
        };
        let store = store_client(fake_server::start(handler).await);
        let error = tokio::time::timeout(TIMEOUT, store.range("wait/", TIMEOUT))
            .await
            .expect("the reading ends")
            .expect_err("the list is not whole");
        assert_eq!(error.kind(), ErrorKind::BadMessage);
    }
}

/// Guards against a leader that gives its role up because the store's answer to a conflict leaves out the record of
/// the term, which still names the leader.
#[tokio::test]
async fn leader_is_not_deposed_by_a_conflict_without_its_record() {
    let session = SessionId::new("node-0-1").expect("session");
    let record = TermRecord {
        term: LeaderTerm::new(1),
        session: session.clone(),
        nonce: WriteNonce::new(1),
    };
    let record: Value = serde_json::to_value(&record).expect("record");
    let (fake, address) = FakeStore::start().await;
    fake.write("term/pool-a", &record);
    fake.leave_out_conflict_items();
    let claim = RoleClaim {
        role: "pool-a".into(),
        term: LeaderTerm::new(1),
        revision: StoreRevision::default(),
        lease: LeaseId::new(9),
    };
    let log = Logger::root(slog::Discard, o!());
    let mut writer = FencedWriter::new(store_client(address), session, claim, log);
    let mut write = StoreTransaction::default();
    write.put("report/a", "{}", None);
    let outcome = writer.write(write).await.expect("write");
    assert_eq!(outcome, FencedOutcome::Written);
}
