//! The store's stand-in, through a client in the process and through HTTP.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use figloft::clock::{ManualClock, SharedClock};
use figloft::model::amount::RatePerSecond;
use figloft::model::id::{SessionId, StoreRevision};
use figloft::policy::job_event;
use figloft::port::store::call::{CallKind, MAX_VALUE_BYTES, PutExpect, StoreError};
use figloft::port::store::client::StoreClient;
use figloft::port::store::fault::{FaultSpan, StoreFault};
use figloft::port::store::memory_store::MemoryStore;
use figloft::port::store::server;
use figloft::process::job_adoption;
use tokio::net::TcpListener;
use tokio::sync::watch;

struct Fixture {
    clock: Arc<ManualClock>,
    store: MemoryStore,
    clients: Vec<StoreClient>,
    _stop: watch::Sender<bool>,
}

async fn fixture() -> Fixture {
    let clock = Arc::new(ManualClock::new());
    let shared: SharedClock = Arc::clone(&clock) as SharedClock;
    let store = MemoryStore::new(shared);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(server::serve(listener, store.clone(), stopped));
    Fixture {
        clients: vec![StoreClient::memory(store.clone()), StoreClient::http(address)],
        clock,
        store,
        _stop: stop,
    }
}

fn bytes(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

/// Guards against a write that ignores its condition, in both forms of the client.
#[tokio::test]
async fn a_write_takes_effect_only_under_its_condition() {
    let fixture = fixture().await;
    for (index, client) in fixture.clients.iter().enumerate() {
        let key = format!("a/{index}");
        let first = client
            .put(&key, bytes("1"), PutExpect::Absent, None)
            .await
            .expect("absent");
        let conflict = Err(StoreError::Conflict { current: Some(first) });
        assert_eq!(
            client.put(&key, bytes("2"), PutExpect::Absent, None).await,
            conflict
        );
        let second = client
            .put(&key, bytes("2"), PutExpect::Revision(first), None)
            .await
            .expect("revision holds");
        assert!(second > first);
        let conflict = Err(StoreError::Conflict {
            current: Some(second),
        });
        assert_eq!(client.delete(&key, PutExpect::Revision(first)).await, conflict);
        let value = client.get(&key).await.expect("get").expect("present");
        assert_eq!((value.value.as_ref(), value.revision), (&b"2"[..], second));
        client
            .delete(&key, PutExpect::Revision(second))
            .await
            .expect("delete");
        assert_eq!(client.get(&key).await, Ok(None));
        let large = Bytes::from(vec![0; MAX_VALUE_BYTES + 1]);
        assert_eq!(
            client.put(&key, large, PutExpect::Any, None).await,
            Err(StoreError::TooLarge)
        );
    }
}

/// Guards against lists that leave keys out or go on past their limit.
#[tokio::test]
async fn lists_go_on_after_a_key() {
    let fixture = fixture().await;
    for number in 0..5 {
        let key = format!("l/{number}");
        fixture.clients[0]
            .put(&key, bytes("v"), PutExpect::Any, None)
            .await
            .expect("put");
    }
    for client in &fixture.clients {
        let first = client.list("l/", "", 2).await.expect("list");
        assert!(first.more);
        let rest = client
            .list_keys("l/", &first.values[1].key, 10)
            .await
            .expect("list");
        assert!(!rest.more);
        let keys: Vec<&str> = rest.values.iter().map(|value| value.key.as_ref()).collect();
        assert_eq!(keys, ["l/2", "l/3", "l/4"]);
        assert!(rest.values.iter().all(|value| value.value.is_empty()));
    }
}

/// Guards against leases that outlive their time or end although they were renewed.
#[tokio::test]
async fn a_lease_ends_by_the_clock_and_takes_its_keys() {
    let fixture = fixture().await;
    let ttl = Duration::from_secs(6);
    for client in &fixture.clients {
        let lease = client.grant_lease(ttl).await.expect("lease");
        client
            .put("d", bytes("me"), PutExpect::Absent, Some(lease))
            .await
            .expect("put");
        fixture.clock.advance(Duration::from_secs(5));
        client.renew_lease(lease).await.expect("renew");
        fixture.clock.advance(Duration::from_secs(5));
        assert!(client.get("d").await.expect("get").is_some());
        fixture.clock.advance(Duration::from_secs(2));
        assert_eq!(client.get("d").await, Ok(None));
        assert_eq!(client.renew_lease(lease).await, Err(StoreError::LeaseEnded));
    }
}

/// Guards against a watch that misses a write made before or during its wait.
#[tokio::test]
async fn a_watch_returns_writes_after_its_revision() {
    let fixture = fixture().await;
    let mut after = StoreRevision::default();
    for client in &fixture.clients {
        let waiting = client.clone();
        let task = tokio::spawn(async move { waiting.watch("w/", after, Duration::from_secs(30)).await });
        tokio::task::yield_now().await;
        let written = client
            .put("w/1", bytes("x"), PutExpect::Any, None)
            .await
            .expect("put");
        let listing = task.await.expect("task").expect("watch");
        assert_eq!(listing.values[0].revision, written);
        after = written;
    }
    assert_eq!(fixture.store.calls()[&CallKind::Watch], 2);
}

/// Guards against errors that say that nothing changed when it did, or the reverse.
#[tokio::test]
async fn faults_report_truthfully_what_happened() {
    let fixture = fixture().await;
    let store = &fixture.store;
    for (index, client) in fixture.clients.iter().enumerate() {
        let key = format!("f/{index}");
        store.set_fault(StoreFault::Down, FaultSpan::NextCalls(1));
        let answer = client.put(&key, bytes("1"), PutExpect::Absent, None).await;
        assert_eq!(answer, Err(StoreError::Unavailable));
        store.set_fault(StoreFault::RequestLost, FaultSpan::NextCalls(1));
        let answer = client.put(&key, bytes("1"), PutExpect::Absent, None).await;
        assert_eq!(answer, Err(StoreError::TimedOut));
        assert_eq!(client.get(&key).await, Ok(None));
        store.set_fault(StoreFault::AnswerLost, FaultSpan::NextCalls(1));
        let answer = client.put(&key, bytes("1"), PutExpect::Absent, None).await;
        assert_eq!(answer, Err(StoreError::TimedOut));
        assert!(client.get(&key).await.expect("get").is_some());
        store.set_fault(
            StoreFault::RateLimited(RatePerSecond::new(1)),
            FaultSpan::UntilCleared,
        );
        fixture.clock.advance(Duration::from_secs(1));
        client.get(&key).await.expect("first call of the second");
        assert_eq!(client.get(&key).await, Err(StoreError::RateLimited));
        store.clear_faults();
    }
}

/// Guards against stale answers that cannot be told by their head, and faults that reach other ports.
#[tokio::test]
async fn stale_answers_carry_the_old_head_and_stay_on_their_port() {
    let fixture = fixture().await;
    let store = &fixture.store;
    store
        .put("s/1", bytes("old"), PutExpect::Any, None)
        .await
        .expect("put");
    let port = store.port();
    port.set_port_fault(StoreFault::Stale, FaultSpan::UntilCleared);
    store
        .put("s/1", bytes("new"), PutExpect::Any, None)
        .await
        .expect("put");
    let stale = port.list("s/", "", 10, false).await.expect("list");
    let fresh = store.list("s/", "", 10, false).await.expect("list");
    assert_eq!(stale.values[0].value, bytes("old"));
    assert_eq!(fresh.values[0].value, bytes("new"));
    assert!(stale.head < fresh.head);
}

/// Guards against a slow write that is cancelled by its caller's time-out: a real one still lands.
#[tokio::test(start_paused = true)]
async fn a_slow_write_lands_after_its_caller_gave_up() {
    let clock: SharedClock = Arc::new(ManualClock::new());
    let store = MemoryStore::new(clock);
    let client = StoreClient::memory(store.clone());
    store.set_fault(StoreFault::Slow(Duration::from_secs(3)), FaultSpan::NextCalls(1));
    let answer = client.put("x", bytes("1"), PutExpect::Absent, None).await;
    assert_eq!(answer, Err(StoreError::TimedOut));
    assert_eq!(client.get("x").await, Ok(None));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(client.get("x").await.expect("get").is_some());
}

/// Guards against a session that uses up the store's rate, and against waits without a bound.
#[tokio::test(start_paused = true)]
async fn a_budget_spreads_calls_and_refuses_what_would_wait_too_long() {
    let clock: SharedClock = Arc::new(ManualClock::new());
    let store = MemoryStore::new(clock);
    let client = StoreClient::memory(store.clone()).with_rate(RatePerSecond::new(10));
    let start = tokio::time::Instant::now();
    for _ in 0..30 {
        client.get("x").await.expect("within the budget");
    }
    assert!(start.elapsed() >= Duration::from_millis(1900));
    let calls: Vec<_> = (0..30).map(|_| client.get("x")).collect();
    let answers = futures_util::future::join_all(calls).await;
    let refused = answers
        .iter()
        .filter(|answer| **answer == Err(StoreError::RateLimited))
        .count();
    assert_eq!(refused, 20, "ten calls fit into the wait of one second");
}

/// Guards against losing the jobs of a session that has ended: listing the sessions with job logs uses a key that the
/// store rejects, so that no session adopts them.
#[tokio::test]
async fn jobs_of_an_ended_session_are_adopted_through_each_client() {
    let fixture = fixture().await;
    for (index, client) in fixture.clients.iter().enumerate() {
        let session = |role: &str| -> SessionId { format!("{role}-{index}").parse().expect("session") };
        let ended = session("ended");
        let batch = job_event::batch_key(&ended, 1);
        let value = bytes(r#"{"schema":1,"number":1,"nonce":1,"events":[]}"#);
        client
            .put(&batch, value, PutExpect::Absent, None)
            .await
            .expect("a batch is written");
        let adopted = job_adoption::take_over(client, &ended, &session("adopter")).await;
        assert!(adopted.is_ok(), "client {index}: {adopted:?}");
    }
}
