//! Tests of the callers' job API.

use std::sync::Arc;
use std::time::Duration;

use figloft::error::{Error, ErrorKind, Result};
use figloft::request::job_api::{CancelResponse, JobApi, JobResponse, SubmitResponse};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde_json::json;

use crate::simulation::{Session, Simulation, name};

fn headers(key: Option<&str>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(key) = key {
        headers.insert("authorization", HeaderValue::from_str(key).expect("header"));
    }
    headers
}

/// Creates an API whose keys are the names of teams.
fn api(simulation: &Simulation, session: &Session) -> JobApi {
    let check_key = |headers: &HeaderMap| {
        let key = headers.get("authorization");
        let key = key.ok_or_else(|| Error::new(ErrorKind::KeyMissing, "no key"))?;
        Ok(name(key.to_str().expect("text")))
    };
    let clock = Arc::<figloft::clock::ManualClock>::clone(&simulation.clock);
    JobApi::new(
        session.runner.clone(),
        simulation.version.clone(),
        clock,
        Arc::new(check_key),
    )
}

/// Sends a request and steps the session until the response.
async fn send(
    simulation: &Simulation,
    session: &Session,
    (method, path, key): (Method, &str, Option<&str>),
    body: serde_json::Value,
) -> Result<JobResponse> {
    let api = api(simulation, session);
    let (path, headers) = (path.to_owned(), headers(key));
    let body = if body.is_null() {
        Vec::new()
    } else {
        body.to_string().into_bytes()
    };
    let request = tokio::spawn(async move { api.handle(&method, &path, &headers, &body).await });
    while !request.is_finished() {
        tokio::task::yield_now().await;
        simulation.step(session).await;
    }
    request.await.expect("does not panic")
}

/// Guards against jobs accepted without a key, and against one team seeing or cancelling another team's jobs.
#[tokio::test]
async fn jobs_belong_to_the_team_of_their_key() {
    let simulation = Simulation::new(1);
    for team in ["a", "b"] {
        simulation.team(team, 1, "s1");
        simulation.allow(team, 0, "s1");
    }
    let session = simulation.session("s1");
    let post = |key| (Method::POST, "/q/q/jobs", key);
    let refused = send(&simulation, &session, post(None), json!(null))
        .await
        .expect_err("no key");
    assert_eq!(refused.kind(), ErrorKind::KeyMissing);
    let body = json!({"priority": "overnight", "repeatable": true, "payload": "{\"run_ms\":500}"});
    let response = send(&simulation, &session, post(Some("a")), body)
        .await
        .expect("is accepted");
    assert_eq!(response.status, StatusCode::ACCEPTED);
    let id = serde_json::from_slice::<SubmitResponse>(&response.body)
        .expect("response")
        .id;
    let path = format!("/q/q/jobs/{id}");
    for method in [Method::GET, Method::DELETE] {
        let hidden = send(&simulation, &session, (method, &path, Some("b")), json!(null)).await;
        assert_eq!(
            hidden.expect_err("another team's job").kind(),
            ErrorKind::NotFound
        );
    }
    let response = send(
        &simulation,
        &session,
        (Method::DELETE, &path, Some("a")),
        json!(null),
    )
    .await;
    assert_eq!(response.expect("is cancelled").status, StatusCode::OK);
    simulation.allow("a", 1, "s1");
    simulation.run_for(&session, Duration::from_secs(3)).await;
    assert!(simulation.records(&id).is_empty(), "a cancelled job does not run");
}

/// Guards against open queues that require a key, and against a queue's list of teams being ignored.
#[tokio::test]
async fn open_and_closed_queues_take_whom_they_name() {
    let simulation = Simulation::new(1);
    simulation.put(
        "queue",
        "closed",
        json!({"pool": "p", "teams": ["b"], "max_waiting": 1, "task_lease_ms": 10_000}),
    );
    let session = simulation.session("s1");
    let body = || json!({"payload": "{\"run_ms\":500}"});
    let response = send(&simulation, &session, (Method::POST, "/q/o/jobs", None), body())
        .await
        .expect("is open");
    let id = serde_json::from_slice::<SubmitResponse>(&response.body)
        .expect("response")
        .id;
    simulation.run_for(&session, Duration::from_secs(3)).await;
    assert_eq!(simulation.records(&id).len(), 1);
    let post = |key| (Method::POST, "/q/closed/jobs", Some(key));
    let refused = send(&simulation, &session, post("a"), body())
        .await
        .expect_err("is not listed");
    assert_eq!(refused.kind(), ErrorKind::KeyRefused);
    send(&simulation, &session, post("b"), body())
        .await
        .expect("is listed");
    let full = send(&simulation, &session, post("b"), body())
        .await
        .expect_err("one job waits");
    assert_eq!(full.kind(), ErrorKind::QueueFull);
}

/// Guards against a cancellation of several jobs that stops at the first failure, and against malformed
/// bodies that are treated as empty.
#[tokio::test]
async fn cancellations_come_in_groups_and_bad_bodies_are_named() {
    let simulation = Simulation::new(1);
    simulation.team("a", 0, "s1");
    let session = simulation.session("s1");
    let mut ids = vec![name("s9-1")];
    for _ in 0..3 {
        let response = send(
            &simulation,
            &session,
            (Method::POST, "/q/q/jobs", Some("a")),
            json!(null),
        )
        .await;
        let response = response.expect("is accepted");
        ids.push(
            serde_json::from_slice::<SubmitResponse>(&response.body)
                .expect("response")
                .id,
        );
    }
    let post = |path| (Method::POST, path, Some("a"));
    let response = send(&simulation, &session, post("/q/q/cancel"), json!({"jobs": ids}))
        .await
        .expect("responds");
    let cancelled: CancelResponse = serde_json::from_slice(&response.body).expect("response");
    assert_eq!(cancelled.jobs.len(), 3);
    assert_eq!(cancelled.errors[&ids[0]].error, ErrorKind::PeerUnavailable);
    let bad = send(
        &simulation,
        &session,
        post("/q/q/jobs"),
        json!({"prioritty": "urgent"}),
    )
    .await;
    assert!(bad.expect_err("a misspelt field").message().contains("prioritty"));
    let none = send(&simulation, &session, post("/q/q/nothing"), json!(null)).await;
    assert_eq!(none.expect_err("no such path").kind(), ErrorKind::NotFound);
}
