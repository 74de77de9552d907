//! Evacuation of a zone whose pool loses its leader right after the request.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::fake_store::FakeStore;
use crate::fake_worker::FakeWorker;
use crate::late_writes::{test_directory, wait_until};
use crate::node_process::NodeProcess;
use crate::scenario::{self, HttpClient};

/// Bound on starts in the zone; the settings of the nodes have the same.
const BOUND: Duration = Duration::from_secs(5);

/// Time after the bound for which the zone is observed.
const OBSERVED_TIME: Duration = Duration::from_secs(3);

/// Pause between two submissions. Tasks run for at most 360 ms.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(300);

/// Tasks of a job: one more than a worker takes at once, so that both workers get some.
const TASKS: usize = 9;

async fn read_page(client: &HttpClient, port: u16) -> Value {
    let request = Request::builder()
        .uri(format!("http://127.0.0.1:{port}/evacuations"))
        .body(Full::new(Bytes::new()))
        .expect("request");
    let response = client.request(request).await.expect("response");
    let body = response.into_body().collect().await.expect("body").to_bytes();
    serde_json::from_slice(&body).expect("JSON")
}

/// Number of runs that began after a time.
fn starts_after(worker: &FakeWorker, time: Instant) -> usize {
    let records = worker.records();
    records.iter().filter(|record| record.started_at > time).count()
}

/// Guards against a next leader that starts tasks before it has read the requests, and against a zone that stays
/// closed after its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn next_leader_starts_nothing_in_the_zone() {
    let directory = test_directory("zone-evacuation");
    let (store, store_address) = FakeStore::start().await;
    store.write("op/config", &scenario::config());
    let mut workers = Vec::new();
    for (number, zone) in ["zone-a", "zone-b"].into_iter().enumerate() {
        let (worker, address) = FakeWorker::start().await;
        let mut entry = scenario::worker_entry(address, worker.incarnation());
        entry["zone"] = json!(zone);
        store.write(&format!("servers/i-{number}"), &entry);
        workers.push(worker);
    }
    let mut leader = NodeProcess::new(&directory, 0, store_address).with_evacuations(BOUND);
    leader.start();
    wait_until("the first node leads the pool", || {
        !store.history("wait/pool-a").is_empty()
    })
    .await;
    let mut next = NodeProcess::new(&directory, 1, store_address).with_evacuations(BOUND);
    next.start();
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let addresses = [leader.caller_address, next.caller_address];
    let submissions = tokio::spawn({
        let client = client.clone();
        async move {
            for number in 0_usize.. {
                let job = format!("{number:016x}");
                let step = json!({"count": TASKS, "cpu": 1000, "mem-mb": 64, "estimate-ms": 200});
                let body = json!({"spec": "text", "steps": [step]});
                scenario::send_request(&client, "POST", addresses[number % 2], &job, &body).await;
                tokio::time::sleep(SUBMISSION_INTERVAL).await;
            }
        }
    });
    wait_until("tasks start in the zone", || workers[0].records().len() >= 10).await;
    store.write("op/evacuate/zone-a", &json!(null));
    let requested_at = Instant::now();
    leader.send_signal(Signal::KILL);
    wait_until("the next leader starts tasks in the other zone", || {
        starts_after(&workers[1], requested_at) > 0
    })
    .await;
    tokio::time::sleep((BOUND + OBSERVED_TIME).saturating_sub(requested_at.elapsed())).await;
    let page = read_page(&client, next.metrics_port.expect("port")).await;
    store.delete("op/evacuate/zone-a");
    let ended_at = Instant::now();
    let late = workers[0].records();
    let late = late.iter().filter(|record| {
        let age = record.started_at.saturating_duration_since(requested_at);
        age > BOUND && record.started_at < ended_at
    });
    assert_eq!(late.count(), 0, "starts in the zone after the bound");
    assert_eq!(
        page["zones"]["zone-a"]["pools"]["pool-a"],
        json!({"finite": 0, "long_running": 0}),
        "{page}"
    );
    wait_until("tasks start in the zone again", || {
        starts_after(&workers[0], ended_at) > 0
    })
    .await;
    submissions.abort();
    drop((leader, next));
    std::fs::remove_dir_all(&directory).expect("directory");
}
