//! Requests that wait on the store when an outage of it ends.
//!
//! The store is a small stand-in that keeps the connections of an outage open without ever answering on them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use figloft::error::ErrorKind;
use figloft::model::id::{LeaseId, StoreRevision};
use figloft::platform::http::HttpClient;
use figloft::platform::store::{StoreApiClient, StoreTransaction, WatchResponse};
use prometheus::{IntCounterVec, Opts};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Time limit of requests that an outage fails.
const SHORT: Duration = Duration::from_millis(60);

/// Time limit of requests that are answered. Far above what they take, so that it only ends a test that hangs.
const PATIENT: Duration = Duration::from_mins(1);

/// Answers requests while it is up. During an outage it reads them and never answers.
#[derive(Debug, Clone, Default)]
struct StoreStandIn {
    is_down: Arc<AtomicBool>,
    requests: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl StoreStandIn {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let store = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                tokio::spawn(async move { store.serve(stream).await });
            }
        });
        address
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        loop {
            let path = read_request(&mut stream).await?;
            let call = path.split(['?', '/']).nth(1).unwrap_or_default().to_owned();
            self.record(&call);
            if self.is_down.load(Ordering::SeqCst) {
                return std::future::pending().await;
            }
            let body = match call.as_str() {
                "kv-watch" => r#"{"events":[],"as-of":7}"#,
                "kv-txn" => r#"{"revision":8}"#,
                _ => "{}",
            };
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            stream.write_all(head.as_bytes()).await?;
        }
    }

    fn record(&self, call: &str) {
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        *requests.entry(call.to_owned()).or_default() += 1;
    }

    fn count(&self, call: &str) -> u32 {
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.get(call).copied().unwrap_or_default()
    }

    async fn wait_for(&self, call: &str, count: u32) {
        while self.count(call) < count {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Reads the head and the body of a request; returns its path.
async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<String> {
    let mut first = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
        if first.is_empty() {
            first = line;
        } else if line == "\r\n" {
            break;
        }
    }
    stream.read_exact(&mut vec![0; length]).await?;
    Ok(first.split(' ').nth(1).unwrap_or_default().to_owned())
}

async fn client_and_store() -> (StoreApiClient, StoreStandIn) {
    let store = StoreStandIn::default();
    let address = store.start().await;
    let labels = Opts::new("calls", "calls to the store");
    let counter = IntCounterVec::new(labels, &["call", "outcome"]).expect("counter");
    (StoreApiClient::new(HttpClient::new(), address, counter), store)
}

/// Fails requests until the store counts as unreachable.
async fn lose_store(client: &StoreApiClient) {
    while !client.is_unreachable() {
        let renewal = client.renew_lease(LeaseId::new(1), SHORT).await;
        assert!(renewal.is_err(), "the store answers during its outage");
    }
}

async fn regain_store(client: &StoreApiClient, store: &StoreStandIn) {
    store.is_down.store(false, Ordering::SeqCst);
    let renewal = client.renew_lease(LeaseId::new(1), PATIENT).await;
    assert_eq!(renewal, Ok(true));
}

/// Guards against a watch that waits for its time limit on a connection of an outage which is over: elections,
/// inboxes and reports then came seconds later than the store.
#[tokio::test]
async fn watch_is_repeated_when_the_store_answers_again() {
    let (client, store) = client_and_store().await;
    store.is_down.store(true, Ordering::SeqCst);
    let watcher = client.clone();
    let watch = tokio::spawn(async move { watcher.watch("duty/", StoreRevision::default(), PATIENT).await });
    store.wait_for("kv-watch", 1).await;
    lose_store(&client).await;
    regain_store(&client, &store).await;
    let ended = tokio::time::timeout(PATIENT / 2, watch).await;
    let response = ended.expect("the watch hangs").expect("task").expect("response");
    assert_eq!(response, WatchResponse::Events(Vec::new(), StoreRevision::new(7)));
    assert_eq!(store.count("kv-watch"), 2);
}

/// Guards against a second execution: a transaction that waited through the outage may have been executed, so that
/// its outcome is unknown and only its sender, who knows its conditions, may send it again.
#[tokio::test]
async fn transaction_that_waited_through_the_outage_has_an_unknown_outcome() {
    let (client, store) = client_and_store().await;
    store.is_down.store(true, Ordering::SeqCst);
    let writer = client.clone();
    let commit = tokio::spawn(async move { writer.commit(&StoreTransaction::default(), PATIENT).await });
    store.wait_for("kv-txn", 1).await;
    lose_store(&client).await;
    regain_store(&client, &store).await;
    let ended = tokio::time::timeout(PATIENT / 2, commit).await;
    let outcome = ended.expect("the transaction hangs").expect("task");
    assert_eq!(
        outcome.map_err(|error| error.kind()),
        Err(ErrorKind::StoreOutcomeUnknown)
    );
    assert_eq!(store.count("kv-txn"), 1);
}

/// Guards against a pause between attempts that outlasts the outage.
#[tokio::test]
async fn pause_ends_when_the_store_answers_again() {
    let (client, store) = client_and_store().await;
    store.is_down.store(true, Ordering::SeqCst);
    lose_store(&client).await;
    let paused = client.clone();
    let pause = tokio::spawn(async move { paused.pause(PATIENT * 10).await });
    // The pause has to have begun; on this single-threaded runtime one turn is enough.
    tokio::task::yield_now().await;
    regain_store(&client, &store).await;
    tokio::time::timeout(PATIENT / 2, pause)
        .await
        .expect("the pause goes on")
        .expect("task");
}

/// Guards against watches that are abandoned and repeated for each lost answer, and against abandoned requests that
/// make a store which answers count as unreachable.
#[tokio::test]
async fn single_failure_abandons_nothing() {
    let (client, store) = client_and_store().await;
    store.is_down.store(true, Ordering::SeqCst);
    let watcher = client.clone();
    let watch = tokio::spawn(async move { watcher.watch("duty/", StoreRevision::default(), PATIENT).await });
    store.wait_for("kv-watch", 1).await;
    let renewal = client.renew_lease(LeaseId::new(1), SHORT).await;
    assert!(renewal.is_err(), "the store answers during its outage");
    regain_store(&client, &store).await;
    assert_eq!(client.renew_lease(LeaseId::new(1), PATIENT).await, Ok(true));
    assert!(!watch.is_finished());
    assert_eq!(store.count("kv-watch"), 1);
    watch.abort();

    store.is_down.store(true, Ordering::SeqCst);
    let commits: Vec<_> = (0..4)
        .map(|_| {
            let writer = client.clone();
            tokio::spawn(async move { writer.commit(&StoreTransaction::default(), PATIENT).await })
        })
        .collect();
    store.wait_for("kv-txn", 4).await;
    lose_store(&client).await;
    regain_store(&client, &store).await;
    for commit in commits {
        let ended = tokio::time::timeout(PATIENT / 2, commit).await;
        ended
            .expect("the transaction hangs")
            .expect("task")
            .expect_err("unknown outcome");
    }
    assert!(!client.is_unreachable());
}
