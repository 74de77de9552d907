//! The admin API: access, changes, conflicts, keys, plans, instances and sessions.

mod admin_fleet;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

use admin_fleet::{FakeFleet, TOKEN, block_on, documents, operator, request, status_and_json};
use figloft::error::ErrorKind;
use figloft::journal::entry::EntryChange;
use figloft::journal::member::{PlanPhase, WantedPhase};
use figloft::model::id::Revision;
use figloft::policy::wait_reason::{PlanWait, WaitReason};
use figloft::process::admin::api::{AdminRequest, MAX_BODY_LENGTH, OperatorToken};
use figloft::process::admin::message::{SessionState, SessionView};
use figloft::process::admin::server::AdminServer;
use figloft::process::admin::wait_board::WaitBoard;
use figloft::record::key;
use proptest::prelude::*;
use serde_json::{Value, json};

const RECORDS: &str = "\
kind: pool
schema: 1
id: p
---
kind: service
schema: 1
id: s
pool: p
availability: 50
timeout_s: 2
capacity: 8x64
---
kind: team
schema: 2
id: lodges
organisation: o
share: 3
limit: 10
---
kind: plan
schema: 2
id: move
drain_timeout_ms: 1000
waves: [{pool: p, action: reboot}]
";

fn fleet() -> FakeFleet {
    FakeFleet::with_records(RECORDS).with_members("p", &["i-1", "i-2"])
}

fn call(fleet: &FakeFleet, request: AdminRequest) -> (u16, Value) {
    status_and_json(&block_on(fleet.api().answer(request)))
}

fn post(fleet: &FakeFleet, target: &str, body: &Value) -> (u16, Value) {
    call(fleet, request("POST", target, body.to_string()))
}

fn team(limit: u32) -> Value {
    json!({"kind": "team", "schema": 2, "id": "lodges", "organisation": "o", "share": 3, "limit": limit})
}

fn put_team(limit: u32, expected: Option<u64>) -> Value {
    json!({"changes": [{"put": {"document": team(limit), "expected": expected}}]})
}

/// Guards against changes by someone without the token, and against changes that name no operator.
#[test]
fn calls_need_the_token_and_changes_need_an_operator() {
    let fleet = fleet();
    let with = |edit: fn(&mut AdminRequest)| {
        let mut sent = request("POST", "/v1/plans/move/pause", "");
        edit(&mut sent);
        call(&fleet, sent).0
    };
    assert_eq!(with(|sent| sent.authorization = None), 401);
    assert_eq!(with(|sent| sent.authorization = Some("Bearer wrong".into())), 403);
    assert_eq!(with(|sent| sent.authorization = Some(TOKEN.into())), 403);
    assert_eq!(with(|sent| sent.operator = None), 400);
    assert_eq!(with(|sent| sent.operator = Some("a\u{7}b".into())), 400);
    assert_eq!(with(|_| ()), 200);
    assert_eq!(
        OperatorToken::new("short")
            .expect_err("short tokens are refused")
            .kind(),
        ErrorKind::BadRequest
    );
}

/// Guards against two operators who race: the second gets a conflict that shows both versions, and the first
/// operator's change stays.
#[test]
fn of_two_operators_who_race_one_succeeds_and_one_sees_both_versions() {
    let fleet = fleet();
    assert_eq!(post(&fleet, "/v1/changes", &put_team(11, Some(1))).0, 200);
    let (status, body) = post(&fleet, "/v1/changes", &put_team(12, Some(1)));
    assert_eq!((status, &body["error"]), (409, &json!("conflict")));
    let conflict = &body["conflicts"][0];
    assert_eq!(conflict["yours"]["limit"], 12);
    assert_eq!(conflict["accepted"]["document"]["limit"], 11);
}

/// Guards against the same race when the rival's entry lands between the check and the write.
#[test]
fn a_rival_that_lands_during_the_write_is_a_conflict_too() {
    let fleet = fleet();
    let mut document = documents(RECORDS).remove(2);
    document.fields.insert("limit".into(), json!(11));
    let rival = EntryChange::PutRecord {
        document,
        expected: Some(Revision::new(1)),
    };
    fleet.faults.lock().expect("lock").concurrent_entry = Some((operator("rival"), vec![rival]));
    let (status, body) = post(&fleet, "/v1/changes", &put_team(12, Some(1)));
    assert_eq!(status, 409);
    assert_eq!(body["conflicts"][0]["accepted"]["document"]["limit"], 11);
    let stored = call(&fleet, request("GET", "/v1/records/team/lodges", "")).1;
    assert_eq!(stored["document"]["limit"], 11);
}

/// Guards against changes that are accepted in part, and against faults reported one at a time.
#[test]
fn changes_are_accepted_together_or_refused_with_every_fault() {
    let fleet = fleet();
    let before = fleet.version.current().revision;
    let body = json!({"changes": [
        {"put": {"document": team(11), "expected": 1}},
        {"put": {"document": {"kind": "queue", "schema": 2, "id": "q", "pool": "gone", "max_waiting": -1}}},
        {"delete": {"name": {"kind": "pool", "id": "p"}, "expected": 1}},
    ]});
    let (status, body) = post(&fleet, "/v1/changes", &body);
    assert_eq!((status, &body["error"]), (422, &json!("bad_record")));
    let faults = body["faults"].as_array().expect("faults");
    let fields: Vec<&str> = faults
        .iter()
        .filter_map(|fault| fault["field"].as_str())
        .collect();
    for field in ["max_waiting", "task_lease_ms", "pool", "waves[0].pool"] {
        assert!(fields.contains(&field), "{field} in {fields:?}");
    }
    assert_eq!(fleet.version.current().revision, before);
}

/// Guards against a dry run that changes something, and against losing unknown fields with a warning.
#[test]
fn unknown_fields_are_kept_with_a_warning_and_a_dry_run_changes_nothing() {
    let fleet = fleet();
    let mut document = team(11);
    document["colour"] = json!("blue");
    let mut body = json!({"changes": [{"put": {"document": document, "expected": 1}}], "dry_run": true});
    let before = fleet.version.current().revision;
    assert_eq!(
        post(&fleet, "/v1/changes", &body).1["warnings"][0]["field"],
        "colour"
    );
    assert_eq!(fleet.version.current().revision, before);
    body["dry_run"] = json!(false);
    assert_eq!(post(&fleet, "/v1/changes", &body).0, 200);
    assert_eq!(
        call(&fleet, request("GET", "/v1/records/team/lodges", "")).1["document"]["colour"],
        "blue"
    );
}

/// Guards against a stored secret, and against a withdrawal that fails when it is repeated.
#[test]
fn a_key_is_shown_once_stored_as_a_hash_and_withdrawn() {
    let fleet = fleet();
    assert_eq!(post(&fleet, "/v1/keys", &json!({"team": "nobody"})).0, 404);
    let (status, body) = post(&fleet, "/v1/keys", &json!({"team": "lodges"}));
    assert_eq!(status, 200, "{body}");
    let (id, secret) =
        key::parse_key(body["key"].as_str().expect("key")).expect("key has an id and a secret");
    let state = fleet.version.current();
    assert!(state.records.keys[&id].matches(secret));
    assert!(!serde_json::to_string(&*state).expect("state").contains(secret));
    let entries = serde_json::to_string(&*fleet.entries.lock().expect("lock")).expect("entries");
    assert!(!entries.contains(secret));
    for _ in 0..2 {
        assert_eq!(
            post(&fleet, &format!("/v1/keys/{id}/withdraw"), &json!({})).0,
            200
        );
    }
    assert!(fleet.version.current().records.keys[&id].withdrawn);
    assert_eq!(post(&fleet, "/v1/keys/none/withdraw", &json!({})).0, 404);
}

/// Guards against a plan that is resumed or aborted from a phase that has ended.
#[test]
fn plans_change_their_phase_only_along_the_allowed_ways() {
    let fleet = fleet();
    let act = |action: &str| {
        post(
            &fleet,
            &format!("/v1/plans/move/{action}"),
            &json!({"reason": "test"}),
        )
        .0
    };
    assert_eq!(act("resume"), 409);
    assert_eq!(act("pause"), 200);
    assert_eq!(act("pause"), 409);
    assert_eq!(act("resume"), 200);
    assert_eq!(act("abort"), 200);
    assert_eq!(act("resume"), 409);
    assert_eq!(act("explode"), 404);
    let plan = call(&fleet, request("GET", "/v1/plans/move", "")).1;
    assert_eq!(plan["phase"], json!(PlanPhase::Aborted));
    assert_eq!(plan["waves"][0]["instances"], 2);
}

/// Guards against an operator's drain that bypasses the coordinator and its budgets.
#[test]
fn drains_are_requests_that_the_coordinator_carries_out() {
    let fleet = fleet();
    assert_eq!(
        post(&fleet, "/v1/instances/i-1/drain", &json!({"reason": "fan"})).0,
        200
    );
    let state = fleet.version.current();
    let (instance, request_found) = state.instance_requests.first_key_value().expect("request");
    assert_eq!(
        (instance.as_str(), request_found.wanted),
        ("i-1", WantedPhase::Drained)
    );
    assert_eq!(state.members[instance].phase.to_string(), "serving");
    let facts = call(&fleet, request("GET", "/v1/explain/move/i-1", "")).1["facts"].to_string();
    assert!(
        facts.contains("fan") && facts.contains("service s: 0 of 2 instances unavailable, 1 may be"),
        "{facts}"
    );
    assert_eq!(post(&fleet, "/v1/instances/i-1/drain", &json!({})).0, 409);
    assert_eq!(post(&fleet, "/v1/instances/i-9/drain", &json!({})).0, 404);
    assert_eq!(post(&fleet, "/v1/instances/i-1/return", &json!({})).0, 200);
}

/// Guards against instances added to two pools, to a pool that does not exist, or in part.
#[test]
fn instances_are_added_together_and_only_once() {
    let fleet = fleet();
    let new = |name: &str, pool: &str, address: &str| {
        let resources = json!({"cores": 1, "memory": 1});
        json!({"instance": name, "pool": pool, "region": "r", "zone": "z", "rack": "k", "resources": resources, "address": address})
    };
    let add = |instances: Vec<Value>| post(&fleet, "/v1/instances", &json!({"instances": instances})).0;
    let before = fleet.version.current().members.len();
    assert_eq!(
        add(vec![
            new("i-8", "p", "127.0.0.1:1"),
            new("i-1", "p", "127.0.0.1:1")
        ]),
        409
    );
    assert_eq!(
        add(vec![
            new("i-8", "p", "127.0.0.1:1"),
            new("i-9", "gone", "127.0.0.1:1")
        ]),
        404
    );
    assert_eq!(add(vec![new("i-8", "p", "nowhere")]), 400);
    assert_eq!(add(vec![]), 400);
    assert_eq!(fleet.version.current().members.len(), before);
    assert_eq!(add(vec![new("i-8", "p", "127.0.0.1:1")]), 200);
    let state = fleet.version.current();
    assert_eq!(state.members.len(), before + 1);
    let member = state.members.values().last().expect("member");
    assert_eq!(
        (member.phase.to_string().as_str(), member.generation.get()),
        ("joining", state.revision.get())
    );
}

/// Guards against reasons of one plan shown for another, and against a reason repeated for each instance of a wave.
#[test]
fn each_reason_of_a_plan_is_shown_once() {
    let wait = |plan: &str, instance: Option<&str>, reason| PlanWait {
        plan: Some(plan.parse().expect("name")),
        wave: Some(0),
        pool: "p".parse().expect("name"),
        instance: instance.map(|instance| instance.parse().expect("name")),
        reason,
    };
    let board = WaitBoard::default();
    board.set(vec![
        wait("move", None, WaitReason::MaxParallel(2)),
        wait("move", None, WaitReason::MaxParallel(2)),
        wait("move", Some("i-1"), WaitReason::WorkRunning),
        wait("other", Some("i-2"), WaitReason::Rebooting),
    ]);
    let plan = "move".parse().expect("name");
    let expected = [
        "wave 1, i-1: work still runs on the instance",
        "wave 1, p: the plan allows 2 instances out of service at once",
    ];
    assert_eq!(
        board
            .of_plan(&plan)
            .iter()
            .map(AsRef::as_ref)
            .collect::<Vec<&str>>(),
        expected
    );
    assert_eq!(board.of_instance(&"i-2".parse().expect("name")).len(), 1);
    board.set(Vec::new());
    assert!(board.of_plan(&plan).is_empty());
}

/// Guards against a session that cannot be forgotten while the store is silent.
#[test]
fn a_session_is_forgotten_locally_while_the_store_is_silent() {
    let fleet = fleet();
    let session = SessionView {
        session: "session-9".parse().expect("name"),
        zone: "zone-a".parse().expect("name"),
        address: "127.0.0.1:9".into(),
        admin: None,
        revision: Revision::new(1),
        state: SessionState::InForce,
        is_connected: true,
        is_self: false,
        confirmed_ms_ago: None,
    };
    fleet.sessions.lock().expect("lock").push(session);
    fleet.faults.lock().expect("lock").append_error = Some(ErrorKind::StoreUnavailable);
    let (status, body) = post(&fleet, "/v1/sessions/session-9/forget", &json!({}));
    assert_eq!((status, &body["revision"]), (200, &Value::Null));
    fleet.faults.lock().expect("lock").append_error = None;
    assert_ne!(
        post(&fleet, "/v1/sessions/session-9/forget", &json!({})).1["revision"],
        Value::Null
    );
    assert_eq!(
        call(&fleet, request("GET", "/v1/sessions", "")).1["sessions"],
        json!([])
    );
    assert_eq!(post(&fleet, "/v1/sessions/session-0/forget", &json!({})).0, 404);
}

/// Guards against an audit trail without the operator's name or with missing pages.
#[test]
fn the_audit_trail_names_operators_and_is_complete_over_pages() {
    let fleet = fleet();
    assert_eq!(
        post(&fleet, "/v1/plans/move/pause", &json!({"reason": "late"})).0,
        200
    );
    let mut numbers = Vec::new();
    let mut target = "/v1/audit?limit=2".to_owned();
    loop {
        let page = call(&fleet, request("GET", &target, "")).1;
        let entries = page["entries"].as_array().expect("entries");
        numbers.extend(
            entries
                .iter()
                .map(|entry| entry["number"].as_u64().expect("number")),
        );
        match page["next_before"].as_u64() {
            Some(next) => target = format!("/v1/audit?limit=2&before={next}"),
            None => break,
        }
    }
    assert_eq!(
        numbers,
        (1..=fleet.version.current().revision.get())
            .rev()
            .collect::<Vec<_>>()
    );
    let by = call(&fleet, request("GET", "/v1/audit?by=ada", "")).1;
    assert_eq!(by["entries"].as_array().expect("entries").len(), 1);
    assert_eq!(by["entries"][0]["changes"][0]["reason"], "late");
    let record = call(&fleet, request("GET", "/v1/audit?record=team/lodges", "")).1;
    assert_eq!(record["entries"][0]["number"], 1);
    assert_eq!(call(&fleet, request("GET", "/v1/audit?before=x", "")).0, 400);
}

/// Guards against a body that fills the memory, over HTTP, and against a server that stops answering after it.
#[test]
fn oversized_bodies_are_refused_over_http() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener binds");
    let server = AdminServer::start(listener, fleet().api()).expect("server starts");
    let exchange = |head: &str, body: &[u8]| {
        let mut stream = TcpStream::connect(server.address()).expect("server accepts");
        let head = format!(
            "{head}\r\nhost: x\r\nauthorization: Bearer {TOKEN}\r\nx-figloft-operator: ada\r\n\
            connection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).expect("head is sent");
        // The server may close before it has read everything.
        let _ = stream.write_all(body);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    };
    let status = exchange("GET /v1/status HTTP/1.1", b"");
    assert!(
        status.starts_with("HTTP/1.1 200") && status.contains("\"coordinator\":\"session-1\""),
        "{status}"
    );
    // One byte above the limit: the server reads all of it before it refuses, so that its answer is not lost.
    let long = vec![b' '; MAX_BODY_LENGTH + 1];
    let refused = exchange("POST /v1/changes HTTP/1.1", &long);
    assert!(refused.starts_with("HTTP/1.1 413"), "{refused}");
    assert!(exchange("GET /v1/plans HTTP/1.1", b"").starts_with("HTTP/1.1 200"));
    server.stop(false);
}

fn path_part() -> impl Strategy<Value = String> {
    let known = prop::sample::select(vec![
        "v1",
        "records",
        "changes",
        "plans",
        "keys",
        "instances",
        "sessions",
        "status",
        "audit",
        "explain",
        "team",
        "move",
        "job",
        "request",
        "pause",
        "withdraw",
        "drain",
        "forget",
        "lodges",
        "i-1",
        "pool",
        "p",
    ]);
    prop_oneof![4 => known.prop_map(str::to_owned), 1 => "\\PC{0,8}"]
}

fn body() -> impl Strategy<Value = Vec<u8>> {
    let sample = put_team(12, Some(1)).to_string().into_bytes();
    let damaged = (any::<prop::sample::Index>(), any::<u8>()).prop_map(move |(at, byte)| {
        let mut bytes = sample.clone();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        bytes
    });
    let nested = (0..400_usize).prop_map(|depth| "[".repeat(depth).into_bytes());
    prop_oneof![
        damaged,
        nested,
        prop::collection::vec(any::<u8>(), 0..80),
        Just(b"{\"team\":\"lodges\"}".to_vec())
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(43), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against panics and internal faults on hostile paths, queries and bodies.
    #[test]
    fn hostile_requests_get_an_error_or_an_answer(
        is_post in any::<bool>(), parts in prop::collection::vec(path_part(), 0..5), query in "[a-z=&0-9-]{0,20}", body in body(),
    ) {
        let fleet = fleet();
        let mut sent = request(if is_post { "POST" } else { "GET" }, "", body);
        sent.path = format!("/v1/{}", parts.join("/"));
        sent.query = query;
        let (status, _) = call(&fleet, sent);
        prop_assert!(matches!(status, 200 | 400 | 404 | 409 | 413 | 422), "{status}");
    }
}
