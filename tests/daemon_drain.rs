//! Graceful shutdown of the daemon.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use figloft::process::drain::{self, DrainSteps};
use support::{Entry, RawCaller, eventually, key_header};

/// Guards against a drain that cuts requests in flight, waits for callers who left, leaves late connections
/// without an answer, or takes its steps out of order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_interrupts_nothing_and_refuses_late_work_as_not_run() {
    let mut entry = Entry::start(1, 0).await;
    let mut streaming = RawCaller::connect(entry.address).await;
    streaming
        .send(
            "/s/quotes/x?bytes=60000&parts=60&gap_ms=10",
            &key_header("ka"),
            "",
        )
        .await;
    let mut waiting = RawCaller::connect(entry.address).await;
    waiting
        .send("/s/quotes/x?ms=500", &key_header("ka"), "body")
        .await;
    let mut leaver = RawCaller::connect(entry.address).await;
    leaver
        .send(
            "/s/quotes/x?bytes=100000&parts=1000&gap_ms=5",
            &key_header("ka"),
            "",
        )
        .await;
    leaver.read_head().await.expect("the answer begins");
    eventually("all three run", || entry.quotes[0].records().len() == 3).await;

    let has_handed_over = Arc::new(AtomicBool::new(false));
    let has_closed = Arc::new(AtomicBool::new(false));
    let server = entry.server.take().expect("the server runs");
    let context = Arc::clone(&entry.shell);
    let (handed, closed) = (Arc::clone(&has_handed_over), Arc::clone(&has_closed));
    let order = Arc::clone(&has_handed_over);
    let at_close = Arc::clone(&entry.shell);
    let steps = DrainSteps {
        hand_over: vec![(
            "test",
            Box::new(move || {
                Box::pin(async move {
                    handed.store(true, Ordering::SeqCst);
                    Ok(())
                })
            }),
        )],
        close: vec![(
            "test",
            Box::new(move || {
                Box::pin(async move {
                    assert!(order.load(Ordering::SeqCst));
                    assert_eq!(at_close.in_flight.unexpired_count(std::time::Instant::now()), 0);
                    closed.store(true, Ordering::SeqCst);
                    Ok(())
                })
            }),
        )],
    };
    let drained = tokio::spawn(async move {
        drain::drain(&context, server, Duration::ZERO, Duration::from_millis(50), steps).await
    });
    eventually("new work is refused", || entry.shell.is_refusing()).await;
    drop(leaver);
    let mut late = RawCaller::connect(entry.address).await;
    late.send("/readyz", "", "").await;
    assert_eq!(late.read_answer().await.status, 503);
    late.send("/s/quotes/x", &key_header("ka"), "late").await;
    let refused = late.read_answer().await;
    assert_eq!(
        (refused.status, refused.header("x-figloft-outcome")),
        (503, "not-run")
    );
    assert_eq!(refused.json()["error"], "draining");
    assert_eq!(refused.header("connection"), "close");

    let answer = waiting.read_answer().await;
    assert!(answer.is_whole && answer.body == b"body");
    let answer = streaming.read_answer().await;
    assert!(answer.is_whole && answer.body.len() == 60_000);
    drop((waiting, streaming, late));
    drained
        .await
        .expect("the drain does not panic")
        .expect("the server ends well");
    assert!(has_handed_over.load(Ordering::SeqCst) && has_closed.load(Ordering::SeqCst));
    assert_eq!(entry.quotes[0].records().len(), 3, "late work ran");
}

/// Guards against a load balancer that is told "ready" again during the notice time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readiness_stays_off_once_a_drain_began() {
    let entry = Entry::start(1, 0).await;
    assert_eq!(entry.call("/readyz", "", "").await.status, 200);
    entry.shell.start_drain();
    entry.shell.set_ready(true);
    assert_eq!(entry.call("/readyz", "", "").await.status, 503);
    assert_eq!(
        entry.call("/s/quotes/x", "", "").await.status,
        200,
        "work is taken during the notice"
    );
}

/// Guards against a drain that never ends because a caller does not read its answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_who_reads_nothing_holds_a_drain_no_longer_than_its_deadline() {
    let entry = Entry::start(1, 0).await;
    let mut caller = RawCaller::connect(entry.address).await;
    let headers = format!("{}x-figloft-deadline-ms: 300\r\n", key_header("ka"));
    caller
        .send("/s/quotes/x?bytes=50000000&parts=100", &headers, "")
        .await;
    eventually("it runs", || entry.quotes[0].records().len() == 1).await;
    eventually("the work has ended", || {
        entry.shell.admission.request_counts().0 == 0
    })
    .await;
    eventually("the drain does not wait for it", || {
        entry.shell.in_flight.unexpired_count(std::time::Instant::now()) == 0
    })
    .await;
}
