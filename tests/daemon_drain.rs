//! Tests of the graceful shutdown of the daemon.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use figloft::process::drain::{self, DrainSteps};
use support::{Entry, RawClient, eventually, key_header};

/// Guards against a drain that interrupts in-flight requests, waits for callers that disconnected, leaves
/// late requests without a response, or runs its steps out of order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_interrupts_nothing_and_refuses_late_work_as_not_run() {
    let mut entry = Entry::start(1, 0).await;
    let mut streaming = RawClient::connect(entry.address).await;
    streaming
        .send(
            "/s/quotes/x?bytes=60000&parts=60&gap_ms=10",
            &key_header("ka"),
            "",
        )
        .await;
    let mut waiting = RawClient::connect(entry.address).await;
    waiting
        .send("/s/quotes/x?ms=500", &key_header("ka"), "body")
        .await;
    let mut disconnecting = RawClient::connect(entry.address).await;
    disconnecting
        .send(
            "/s/quotes/x?bytes=100000&parts=1000&gap_ms=5",
            &key_header("ka"),
            "",
        )
        .await;
    disconnecting.read_head().await.expect("the response begins");
    eventually("all three run", || entry.quotes[0].records().len() == 3).await;

    let has_handed_over = Arc::new(AtomicBool::new(false));
    let has_closed = Arc::new(AtomicBool::new(false));
    let server = entry.server.take().expect("the server runs");
    let context = Arc::clone(&entry.context);
    let (set_handed_over, set_closed) = (Arc::clone(&has_handed_over), Arc::clone(&has_closed));
    let was_handed_over = Arc::clone(&has_handed_over);
    let context_at_close = Arc::clone(&entry.context);
    let steps = DrainSteps {
        hand_over: vec![(
            "test",
            Box::new(move || {
                Box::pin(async move {
                    set_handed_over.store(true, Ordering::SeqCst);
                    Ok(())
                })
            }),
        )],
        close: vec![(
            "test",
            Box::new(move || {
                Box::pin(async move {
                    assert!(was_handed_over.load(Ordering::SeqCst));
                    assert_eq!(
                        context_at_close
                            .in_flight
                            .unexpired_count(std::time::Instant::now()),
                        0
                    );
                    set_closed.store(true, Ordering::SeqCst);
                    Ok(())
                })
            }),
        )],
    };
    let drained = tokio::spawn(async move {
        drain::drain(&context, server, Duration::ZERO, Duration::from_millis(50), steps).await
    });
    eventually("new work is refused", || entry.context.is_refusing()).await;
    drop(disconnecting);
    let mut late = RawClient::connect(entry.address).await;
    late.send("/readyz", "", "").await;
    assert_eq!(late.read_response().await.status, 503);
    late.send("/s/quotes/x", &key_header("ka"), "late").await;
    let refused = late.read_response().await;
    assert_eq!(
        (refused.status, refused.header("x-figloft-outcome")),
        (503, "not-run")
    );
    assert_eq!(refused.json()["error"], "draining");
    assert_eq!(refused.header("connection"), "close");

    let response = waiting.read_response().await;
    assert!(response.is_complete && response.body == b"body");
    let response = streaming.read_response().await;
    assert!(response.is_complete && response.body.len() == 60_000);
    drop((waiting, streaming, late));
    drained
        .await
        .expect("the drain does not panic")
        .expect("the server ends well");
    assert!(has_handed_over.load(Ordering::SeqCst) && has_closed.load(Ordering::SeqCst));
    assert_eq!(entry.quotes[0].records().len(), 3, "late work ran");
}

/// Guards against readiness being reported again during the notice period of a drain.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readiness_stays_off_once_a_drain_began() {
    let entry = Entry::start(1, 0).await;
    assert_eq!(entry.request("/readyz", "", "").await.status, 200);
    entry.context.start_drain();
    entry.context.set_ready(true);
    assert_eq!(entry.request("/readyz", "", "").await.status, 503);
    assert_eq!(
        entry.request("/s/quotes/x", "", "").await.status,
        200,
        "work is taken during the notice"
    );
}

/// Guards against a drain that never ends because a caller does not read its response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_who_reads_nothing_holds_a_drain_no_longer_than_its_deadline() {
    let entry = Entry::start(1, 0).await;
    let mut client = RawClient::connect(entry.address).await;
    let headers = format!("{}x-figloft-deadline-ms: 300\r\n", key_header("ka"));
    client
        .send("/s/quotes/x?bytes=50000000&parts=100", &headers, "")
        .await;
    eventually("the request runs", || entry.quotes[0].records().len() == 1).await;
    eventually("the work has ended", || {
        entry.context.admission.request_counts().0 == 0
    })
    .await;
    eventually("the drain does not wait for the request", || {
        entry.context.in_flight.unexpired_count(std::time::Instant::now()) == 0
    })
    .await;
}
