//! The callers' job API.

use std::sync::Arc;
use std::time::Duration;

use figloft::error::{Error, ErrorKind, Result};
use figloft::request::job_api::{CancelResponse, JobApi, JobResponse, SubmitResponse};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde_json::json;

use crate::site::{Session, Site, name};

fn headers(key: Option<&str>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(key) = key {
        headers.insert("authorization", HeaderValue::from_str(key).expect("header"));
    }
    headers
}

/// An API whose keys are the names of teams.
fn api(site: &Site, session: &Session) -> JobApi {
    let check_key = |headers: &HeaderMap| {
        let key = headers.get("authorization");
        let key = key.ok_or_else(|| Error::new(ErrorKind::KeyMissing, "no key"))?;
        Ok(name(key.to_str().expect("text")))
    };
    let clock = Arc::<figloft::clock::ManualClock>::clone(&site.clock);
    JobApi::new(
        session.runner.clone(),
        site.version.clone(),
        clock,
        Arc::new(check_key),
    )
}

/// Makes a call while the session steps.
async fn call(
    site: &Site,
    session: &Session,
    (method, path, key): (Method, &str, Option<&str>),
    body: serde_json::Value,
) -> Result<JobResponse> {
    let api = api(site, session);
    let (path, headers) = (path.to_owned(), headers(key));
    let body = if body.is_null() {
        Vec::new()
    } else {
        body.to_string().into_bytes()
    };
    let waiting = tokio::spawn(async move { api.handle(&method, &path, &headers, &body).await });
    while !waiting.is_finished() {
        tokio::task::yield_now().await;
        site.step(session).await;
    }
    waiting.await.expect("ends")
}

/// Guards against work for a team whose key did not come with it, and against one team seeing or cancelling
/// another team's jobs.
#[tokio::test]
async fn jobs_belong_to_the_team_of_their_key() {
    let site = Site::new(1);
    for team in ["a", "b"] {
        site.team(team, 1, "s1");
        site.allow(team, 0, "s1");
    }
    let session = site.session("s1");
    let post = |key| (Method::POST, "/q/q/jobs", key);
    let refused = call(&site, &session, post(None), json!(null))
        .await
        .expect_err("no key");
    assert_eq!(refused.kind(), ErrorKind::KeyMissing);
    let body = json!({"priority": "overnight", "repeatable": true, "payload": "{\"run_ms\":500}"});
    let reply = call(&site, &session, post(Some("a")), body)
        .await
        .expect("is taken in");
    assert_eq!(reply.status, StatusCode::ACCEPTED);
    let id = serde_json::from_slice::<SubmitResponse>(&reply.body)
        .expect("answer")
        .id;
    let path = format!("/q/q/jobs/{id}");
    for method in [Method::GET, Method::DELETE] {
        let hidden = call(&site, &session, (method, &path, Some("b")), json!(null)).await;
        assert_eq!(
            hidden.expect_err("another team's job").kind(),
            ErrorKind::NotFound
        );
    }
    let reply = call(&site, &session, (Method::DELETE, &path, Some("a")), json!(null)).await;
    assert_eq!(reply.expect("is cancelled").status, StatusCode::OK);
    site.allow("a", 1, "s1");
    site.steps(&session, Duration::from_secs(3)).await;
    assert!(site.records(&id).is_empty(), "a cancelled job does not run");
}

/// Guards against open queues that need a key, and against a queue's list of teams being ignored.
#[tokio::test]
async fn open_and_closed_queues_take_whom_they_name() {
    let site = Site::new(1);
    site.put(
        "queue",
        "closed",
        json!({"pool": "p", "teams": ["b"], "max_waiting": 1, "task_lease_ms": 10_000}),
    );
    let session = site.session("s1");
    let body = || json!({"payload": "{\"run_ms\":500}"});
    let reply = call(&site, &session, (Method::POST, "/q/o/jobs", None), body())
        .await
        .expect("is open");
    let id = serde_json::from_slice::<SubmitResponse>(&reply.body)
        .expect("answer")
        .id;
    site.steps(&session, Duration::from_secs(3)).await;
    assert_eq!(site.records(&id).len(), 1);
    let post = |key| (Method::POST, "/q/closed/jobs", Some(key));
    let refused = call(&site, &session, post("a"), body())
        .await
        .expect_err("is not listed");
    assert_eq!(refused.kind(), ErrorKind::KeyRefused);
    call(&site, &session, post("b"), body()).await.expect("is listed");
    let full = call(&site, &session, post("b"), body())
        .await
        .expect_err("one job waits");
    assert_eq!(full.kind(), ErrorKind::QueueFull);
}

/// Guards against a group cancellation that stops at the first failure, and against malformed bodies taken as
/// empty.
#[tokio::test]
async fn cancellations_come_in_groups_and_bad_bodies_are_named() {
    let site = Site::new(1);
    site.team("a", 0, "s1");
    let session = site.session("s1");
    let mut ids = vec![name("s9-1")];
    for _ in 0..3 {
        let reply = call(
            &site,
            &session,
            (Method::POST, "/q/q/jobs", Some("a")),
            json!(null),
        )
        .await;
        let reply = reply.expect("is taken in");
        ids.push(
            serde_json::from_slice::<SubmitResponse>(&reply.body)
                .expect("answer")
                .id,
        );
    }
    let post = |path| (Method::POST, path, Some("a"));
    let reply = call(&site, &session, post("/q/q/cancel"), json!({"jobs": ids}))
        .await
        .expect("answers");
    let answer: CancelResponse = serde_json::from_slice(&reply.body).expect("answer");
    assert_eq!(answer.jobs.len(), 3);
    assert_eq!(answer.errors[&ids[0]].error, ErrorKind::PeerUnavailable);
    let bad = call(&site, &session, post("/q/q/jobs"), json!({"prioritty": "urgent"})).await;
    assert!(bad.expect_err("a misspelt field").message().contains("prioritty"));
    let none = call(&site, &session, post("/q/q/nothing"), json!(null)).await;
    assert_eq!(none.expect_err("no such path").kind(), ErrorKind::NotFound);
}
