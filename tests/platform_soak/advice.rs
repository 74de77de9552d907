//! Requests to the advice service: their timeouts, and their order at one node.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use figloft::clock::{SharedClock, SystemClock};
use figloft::dispatch::command::AdviceRequest;
use figloft::dispatch::task_id::StepId;
use figloft::error::ErrorKind;
use figloft::model::id::{JobId, QueueId, WorkerId};
use figloft::node::advice_line::AdviceLine;
use figloft::platform::advice;
use figloft::platform::http::HttpClient;
use serde_json::json;

use crate::fake_server::{self, json_response};

/// Time that the service takes for an answer; longer than the fixed timeout was.
const ANSWER_TIME: Duration = Duration::from_millis(2_700);

fn request(timeout: Duration) -> AdviceRequest {
    let job = JobId::new("5c0e7a21d94b36f8").expect("job");
    AdviceRequest {
        step: StepId::new(job, 0, 0),
        queue: QueueId::new("r-1").expect("queue"),
        workers: vec![WorkerId::new("i-0").expect("worker")],
        timeout,
        default_validity: Duration::from_secs(7),
    }
}

/// Guards against answers that are given up after a fixed time, although the queue declares a longer one, and against a
/// fixed validity of tickets where the answer names none.
#[tokio::test]
async fn request_is_waited_for_as_long_as_it_says() {
    let address = fake_server::start(|_| async {
        tokio::time::sleep(ANSWER_TIME).await;
        json_response(200, &json!({"good": [["i-0", "t-0"]]}))
    })
    .await;
    let clock: SharedClock = Arc::new(SystemClock);
    let client = HttpClient::new();
    let long = request(Duration::from_mins(1));
    let answer = advice::request_advice(&client, &clock, address, &long).await;
    let answer = answer.expect("an answer in time");
    assert_eq!(answer.tickets.len(), 1);
    assert_eq!(answer.validity, Duration::from_secs(7));
    assert!(answer.latency >= ANSWER_TIME);
    let short = request(Duration::from_millis(100));
    let error = advice::request_advice(&client, &clock, address, &short).await;
    assert_eq!(
        error.expect_err("no answer in time").kind(),
        ErrorKind::WorkerRefused
    );
}

/// Guards against a queue whose requests wait behind all those of another, slower one: after each request of the slow
/// queue it is the other's turn.
#[tokio::test]
async fn queues_take_turns_in_the_line() {
    let line = Arc::new(AdviceLine::default());
    let [slow, quick] = ["slow", "quick"].map(|name| QueueId::new(name).expect("queue"));
    let turns_of_slow = Arc::new(AtomicUsize::new(0));
    let first = line.wait_for_turn(&slow).await;
    let waiting: Vec<_> = (0..20)
        .map(|_| {
            let (line, slow, turns) = (Arc::clone(&line), slow.clone(), Arc::clone(&turns_of_slow));
            tokio::spawn(async move {
                let _turn = line.wait_for_turn(&slow).await;
                turns.fetch_add(1, Ordering::Relaxed);
                tokio::task::yield_now().await;
            })
        })
        .collect();
    // The requests of the slow queue come first.
    tokio::task::yield_now().await;
    let (waiter, turns) = (Arc::clone(&line), Arc::clone(&turns_of_slow));
    let quick_turn = tokio::spawn(async move {
        let _turn = waiter.wait_for_turn(&quick).await;
        turns.load(Ordering::Relaxed)
    });
    tokio::task::yield_now().await;
    drop(first);
    let turns_before = quick_turn.await.expect("turn");
    assert!(
        turns_before <= 1,
        "{turns_before} requests of the slow queue went first"
    );
    for turn in waiting {
        turn.await.expect("turn");
    }
    assert_eq!(turns_of_slow.load(Ordering::Relaxed), 20);
}
