//! The path of a request from a caller to a backend server and back.

mod support;

use std::sync::atomic::Ordering;

use figloft::model::amount::SlotCount;
use figloft::port::backend::stand_in::BackendFault;
use support::{Entry, RawClient, eventually, key_header};

/// Guards against bodies that are changed in transit, and against figloft headers of the caller or the key's
/// secret reaching the backend server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_and_response_are_forwarded_unchanged() {
    let entry = Entry::start(1, 0).await;
    let body = "x".repeat(300_000);
    let response = entry
        .request(
            "/s/quotes/echo",
            "x-label: one\r\nx-figloft-team: forged\r\n",
            &body,
        )
        .await;
    assert_eq!(response.status, 200);
    assert!(response.is_complete);
    assert!(response.body == body.as_bytes());
    assert_eq!(response.header("x-figloft-outcome"), "ran");
    let records = entry.quotes[0].records();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].team.as_ref(), "a");
    assert_eq!(records[0].body_bytes, 300_000);
    assert!(records[0].deadline_ms.is_some_and(|left| left <= 10_000));
}

/// Guards against requests accepted without a valid key, and against refusals without the outcome "not-run".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_without_a_valid_key_is_refused_and_does_not_run() {
    let entry = Entry::start(1, 0).await;
    let cases = [
        ("", 401, "key_missing"),
        ("authorization: Bearer ka:wrong\r\n", 403, "key_refused"),
        ("authorization: Bearer nobody:0123\r\n", 403, "key_refused"),
        ("authorization: Basic ka:0123\r\n", 403, "key_refused"),
    ];
    for (headers, status, kind) in cases {
        let mut client = RawClient::connect(entry.address).await;
        client.send("/s/quotes/echo", headers, "b").await;
        let response = client.read_response().await;
        assert_eq!(response.status, status, "{headers}");
        assert_eq!(response.json()["error"], kind);
        assert_eq!(response.json()["outcome"], "not-run");
        assert_eq!(response.header("x-figloft-outcome"), "not-run");
    }
    assert!(entry.quotes[0].records().is_empty());
}

/// Guards against requests admitted with a withdrawn key or under an outdated configuration view.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn withdrawn_keys_and_stale_views_are_refused() {
    let entry = Entry::start(1, 0).await;
    entry.change(|state| {
        let records = std::sync::Arc::make_mut(&mut state.records);
        let key = records.keys.values_mut().next().expect("a key exists");
        key.withdrawn = true;
    });
    let response = entry.request("/s/quotes/echo", "", "b").await;
    assert_eq!(
        (response.status, response.header("x-figloft-outcome")),
        (403, "not-run")
    );
    entry.is_view_fresh.store(false, Ordering::SeqCst);
    let mut client = RawClient::connect(entry.address).await;
    client.send("/s/quotes/echo", &key_header("kb"), "b").await;
    let response = client.read_response().await;
    assert_eq!(response.json()["error"], "view_stale");
    assert!(!response.header("retry-after").is_empty());
    assert!(entry.quotes[0].records().is_empty());
}

/// Guards against truncated responses that the caller takes as complete. Before the first byte, a truncation
/// has to become an error response; after it, the caller's connection has to be aborted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_truncated_response_is_never_passed_on_as_complete() {
    let entry = Entry::start(1, 0).await;
    entry.quotes[0].set_fault(BackendFault::Truncate);
    for path in [
        "/s/quotes/x?bytes=200000&parts=50&gap_ms=1",
        "/s/quotes/x?bytes=200000&parts=50&gap_ms=1&chunked=1",
    ] {
        let mut client = RawClient::connect(entry.address).await;
        client.send(path, &key_header("ka"), "").await;
        let response = client.read_response().await;
        assert!(
            !response.is_complete,
            "{path}: a truncated response was taken as complete"
        );
    }
    let response = entry.request("/s/quotes/x?bytes=0&chunked=1", "", "").await;
    assert_eq!(response.json()["error"], "backend_truncated");
    assert_eq!(response.header("x-figloft-outcome"), "unknown");
}

/// Guards against work that continues on the backend server after its caller disconnected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_disconnects_mid_stream_cancels_the_work() {
    let entry = Entry::start(1, 0).await;
    let mut client = RawClient::connect(entry.address).await;
    client
        .send(
            "/s/quotes/x?bytes=100000&parts=1000&gap_ms=5",
            &key_header("ka"),
            "",
        )
        .await;
    client.read_head().await.expect("the response begins");
    drop(client);
    eventually("the run ended", || {
        entry.quotes[0]
            .records()
            .first()
            .is_some_and(|record| record.ended.is_some())
    })
    .await;
    assert!(!entry.quotes[0].records()[0].is_whole);
    eventually("the connection is closed", || {
        entry.quotes[0].open_connections() == 0
    })
    .await;
    let now = std::time::Instant::now();
    eventually("nothing is in flight", || {
        entry.context.in_flight.unexpired_count(now) == 0
    })
    .await;
}

/// Guards against a truncated upload whose work is run as if the body were complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_truncated_upload_does_not_run() {
    let entry = Entry::start(1, 0).await;
    let mut client = RawClient::connect(entry.address).await;
    let head = format!(
        "POST /s/quotes/x HTTP/1.1\r\nhost: t\r\ncontent-length: 1000\r\n{}\r\nhalf",
        key_header("ka")
    );
    client.write(head.as_bytes()).await;
    eventually("the upload began", || entry.quotes[0].open_connections() == 1).await;
    drop(client);
    eventually("the connection is closed", || {
        entry.quotes[0].open_connections() == 0
    })
    .await;
    assert!(entry.quotes[0].records().is_empty());
    let response = entry
        .request("/s/quotes/x", "transfer-encoding: chunked\r\n", "")
        .await;
    assert_eq!(
        response.status, 411,
        "a chunked upload cannot be checked for truncation"
    );
}

/// Guards against a deadline that is not enforced, and against reuse of a connection after a time-out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_deadline_ends_the_request_and_its_connection() {
    let entry = Entry::start(1, 0).await;
    entry.quotes[0].set_fault(BackendFault::Hang);
    let response = entry
        .request("/s/quotes/x", "x-figloft-deadline-ms: 100\r\n", "")
        .await;
    assert_eq!(response.json()["error"], "deadline_exceeded");
    assert_eq!(response.header("x-figloft-outcome"), "unknown");
    eventually("the connection is closed", || {
        entry.quotes[0].open_connections() == 0
    })
    .await;
    entry.quotes[0].set_fault(BackendFault::None);
    let response = entry.request("/s/quotes/x", "", "second").await;
    assert_eq!(response.body, b"second");
    assert_eq!(entry.quotes[0].accepted_connections(), 2);
    let response = entry
        .request("/s/quotes/x", "x-figloft-deadline-ms: 0\r\n", "")
        .await;
    assert_eq!(response.header("x-figloft-outcome"), "not-run");
}

/// Guards against a retry of work that may have run and is not repeatable, and against a missing retry where
/// the work certainly did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_work_that_did_not_run_or_is_repeatable_is_retried() {
    let entry = Entry::start(2, 2).await;
    for server in &entry.quotes {
        server.set_fault(BackendFault::Close);
    }
    let response = entry.request("/s/quotes/x", "", "b").await;
    assert_eq!(response.json()["error"], "backend_failed");
    let runs: usize = entry.quotes.iter().map(|server| server.records().len()).sum();
    assert_eq!(runs, 1);

    entry.quotes[0].set_fault(BackendFault::NotRun);
    entry.quotes[1].set_fault(BackendFault::None);
    for _ in 0..4 {
        let response = entry.request("/s/quotes/x", "", "").await;
        assert_eq!(
            response.status,
            200,
            "{}",
            String::from_utf8_lossy(&response.body)
        );
    }

    entry.proofs[0].set_fault(BackendFault::Close);
    for _ in 0..4 {
        let response = entry.request("/s/proofs/x", "", "").await;
        assert_eq!(response.status, 200);
    }
}

/// Guards against the outcome "not-run" when an earlier attempt of the same request may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refused_retry_does_not_hide_an_earlier_run() {
    let entry = Entry::start(0, 2).await;
    entry.proofs[0].set_fault(BackendFault::Close);
    entry.proofs[1].set_fault(BackendFault::NotRun);
    for _ in 0..4 {
        let before = entry.proofs[0].records().len();
        let response = entry.request("/s/proofs/x", "", "").await;
        let has_run = entry.proofs[0].records().len() > before;
        assert!(response.status >= 500);
        if has_run {
            assert_eq!(response.header("x-figloft-outcome"), "unknown");
        }
    }
    assert!(!entry.proofs[0].records().is_empty());
}

/// Guards against new work for a server that announced its shutdown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_server_receives_no_new_work() {
    let entry = Entry::start(2, 0).await;
    entry.quotes[0].set_fault(BackendFault::Leaving);
    for _ in 0..8 {
        let response = entry.request("/s/quotes/x", "", "").await;
        assert_eq!(response.status, 200);
        assert!(response.header("x-figloft-leaving").is_empty());
    }
    assert!(entry.quotes[0].records().len() <= 1);
    assert!(entry.quotes[1].records().len() >= 7);
}

async fn issue_tickets(entry: &Entry, count: u32) -> Vec<String> {
    let response = entry
        .request("/tickets", "", &format!("{{\"count\":{count}}}"))
        .await;
    assert_eq!(
        response.status,
        200,
        "{}",
        String::from_utf8_lossy(&response.body)
    );
    let tickets = response.json()["tickets"].clone();
    serde_json::from_value(tickets).expect("tickets are text")
}

/// Guards against a second run when a request is repeated with its ticket, and against a repeated request
/// that does not receive the first response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_ticket_replays_the_first_response() {
    let entry = Entry::start(1, 0).await;
    let tickets = issue_tickets(&entry, 2).await;
    for (ticket, path) in tickets.iter().zip([
        "/s/quotes/x?bytes=5000",
        "/s/quotes/x?bytes=5000&parts=5&gap_ms=1&chunked=1",
    ]) {
        let header = format!("x-figloft-ticket: {ticket}\r\n");
        let first = entry.request(path, &header, "").await;
        assert_eq!((first.status, first.body.len()), (200, 5000));
        let runs = entry.quotes[0].records().len();
        eventually("the end is recorded", || entry.context.tickets.kept_count() > 0).await;
        let second = loop {
            let second = entry.request(path, &header, "").await;
            if second.status != 409 {
                break second;
            }
            assert_eq!(second.json()["error"], "in_progress");
        };
        assert!(second.body == first.body, "{} bytes", second.body.len());
        assert_eq!(second.header("x-figloft-outcome"), "ran");
        assert_eq!(entry.quotes[0].records().len(), runs, "the work ran twice");
        let other = entry.request("/s/quotes/other", &header, "").await;
        assert_eq!(other.status, 400);
    }
}

/// Guards against a ticket that cannot be used again after a refusal before the run, and against a second run
/// after an unknown outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ticket_is_usable_after_a_refusal_but_not_after_an_unknown_outcome() {
    let entry = Entry::start(0, 1).await;
    let header = format!("x-figloft-ticket: {}\r\n", issue_tickets(&entry, 1).await[0]);
    entry.proofs[0].set_fault(BackendFault::NotRun);
    let refused = entry.request("/s/proofs/x", &header, "").await;
    assert_eq!(refused.header("x-figloft-outcome"), "not-run");
    entry.proofs[0].set_fault(BackendFault::Close);
    let mut response = entry.request("/s/proofs/x", &header, "").await;
    while response.json()["error"] == "in_progress" {
        response = entry.request("/s/proofs/x", &header, "").await;
    }
    assert_eq!(response.header("x-figloft-outcome"), "unknown");
    entry.proofs[0].set_fault(BackendFault::None);
    for _ in 0..3 {
        let response = entry.request("/s/proofs/x", &header, "").await;
        assert_eq!(response.header("x-figloft-outcome"), "unknown");
    }
    assert_eq!(entry.proofs[0].records().len(), 1);
}

/// Guards against responses without a body whose declared length stalls the server's worker or the
/// connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_without_a_body_keep_the_connection() {
    let entry = Entry::start(1, 0).await;
    let mut client = RawClient::connect(entry.address).await;
    for (method, path) in [
        ("HEAD", "/s/quotes/x?bytes=100"),
        ("GET", "/s/quotes/x?bytes=100&status=304"),
        ("GET", "/s/quotes/x?bytes=0&status=204"),
        ("HEAD", "/s/nothing/x"),
    ] {
        let head = format!("{method} {path} HTTP/1.1\r\nhost: t\r\n{}\r\n", key_header("ka"));
        client.write(head.as_bytes()).await;
        let response = client.read_head().await.expect("a response arrives");
        assert!(
            !response.header("x-figloft-outcome").is_empty(),
            "{method} {path}"
        );
    }
    client.send("/s/quotes/x", &key_header("ka"), "after").await;
    assert_eq!(client.read_response().await.body, b"after");
}

/// Guards against requests and tasks that each stay within a team's allowance and exceed it together, and
/// against a team that is still refused after its tasks have ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_and_tasks_share_one_allowance() {
    let entry = Entry::start(1, 0).await;
    let team = "a".parse().expect("name is valid");
    let tasks: Vec<_> = (0..20)
        .filter_map(|_| entry.counter.try_start(&team, SlotCount::new(20)))
        .collect();
    assert_eq!(tasks.len(), 20);
    let response = entry
        .request("/s/quotes/x", "x-figloft-deadline-ms: 200\r\n", "")
        .await;
    assert_eq!(response.json()["error"], "limit_reached");
    assert!(entry.quotes[0].records().is_empty());
    drop(tasks);
    entry.context.admission.recount_tasks();
    let response = entry.request("/s/quotes/x", "", "").await;
    assert_eq!(response.status, 200);
    eventually("nothing runs", || entry.counter.running(&team) == 0).await;
}
