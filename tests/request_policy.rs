//! Decisions of the request path about slots, waiting, retries and tickets, with a simulated clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use figloft::model::id::{Revision, ServiceId, SessionId, TeamId};
use figloft::model::priority::WorkPriority;
use figloft::policy::admission_queue::{AdmissionQueue, AdmissionRefusal, SlotWaiter};
use figloft::policy::retry_budget::{AttemptFailure, RetryBudget, RetryLimits};
use figloft::policy::slot_table::{self, BackendSpec, SlotOutcome, SlotRefusal, SlotTable};
use figloft::policy::ticket_table::{
    ClaimResult, MAX_TABLE_RESPONSE_BYTES, StoredResponse, TICKET_RETENTION, TicketHandOver, TicketKey,
    TicketOutcome, TicketTable,
};
use figloft::policy::zone_split::{PeerStatus, ZoneSplit, ZoneSplitter};
use proptest::prelude::*;

fn service() -> ServiceId {
    "s".parse().expect("name is valid")
}

fn team(name: &str) -> TeamId {
    name.parse().expect("name is valid")
}

fn session(name: &str) -> SessionId {
    name.parse().expect("name is valid")
}

fn spec(instance: &str, slots: u32) -> BackendSpec {
    BackendSpec {
        instance: instance.parse().expect("name is valid"),
        service: service(),
        address: "127.0.0.1:1".into(),
        slots,
        phase_since: Revision::new(1),
    }
}

fn waiter(now: Instant, name: &str, priority: WorkPriority) -> SlotWaiter {
    SlotWaiter {
        service: service(),
        team: team(name),
        priority,
        wait_until: now + Duration::from_secs(1),
    }
}

proptest! {
    /// Guards against two sessions of a zone that together use more slots than a server has.
    #[test]
    fn parts_of_all_sessions_sum_to_the_slots(slots in 0_u32..100, sessions in 1_u32..20) {
        let parts = (0..sessions).map(|index| ZoneSplit { index, sessions }.share_of(slots));
        prop_assert_eq!(parts.sum::<u32>(), slots);
    }
}

/// Guards against reuse of a crashed session's slots while its requests may still run, against slots that
/// stay unused after their session left, and against a new session that uses slots before the others have
/// released them.
#[test]
fn slots_move_between_sessions_only_when_free() {
    let now = Instant::now();
    let free_at = now + Duration::from_secs(5);
    let mut splitter = ZoneSplitter::new(session("m"));
    let peers = |a, z| BTreeMap::from([(session("a"), a), (session("z"), z)]);
    let split = |index, sessions| ZoneSplit { index, sessions };
    let both = peers(PeerStatus::Active, PeerStatus::Active);
    assert_eq!(splitter.update(now, &both, false), ZoneSplit::NONE);
    assert_eq!(splitter.update(now, &both, true), split(1, 3));
    let crashed = peers(PeerStatus::Ended(free_at), PeerStatus::Active);
    assert_eq!(splitter.update(now, &crashed, true), split(1, 3));
    assert_eq!(splitter.update(free_at, &crashed, true), split(0, 2));
    let left = peers(PeerStatus::Ended(free_at), PeerStatus::Left);
    assert_eq!(splitter.update(free_at, &left, true), split(0, 1));
    assert_eq!(ZoneSplit::NONE.share_of(8), 0);
}

/// Guards against a server that attracts work because it fails fast and therefore looks idle.
#[test]
fn fast_failures_attract_no_work() {
    let now = Instant::now();
    let mut table = SlotTable::new();
    table.set_backends(vec![spec("bad", 8), spec("good", 8)]);
    let mut bad = 0;
    for _ in 0..100 {
        let grant = table.acquire(now, &service(), &[]).expect("a slot is free");
        let is_bad = grant.instance.as_str() == "bad";
        bad += u32::from(is_bad);
        let end = if is_bad {
            SlotOutcome::Failure
        } else {
            SlotOutcome::Success
        };
        table.release(now, &grant.instance, end);
    }
    assert!(
        bad <= slot_table::EJECT_AFTER_FAILURES,
        "{bad} of 100 requests went to the failing server"
    );
}

/// Guards against an ejected server that receives its full load again at once, or never.
#[test]
fn an_ejected_server_returns_after_a_probe_and_gradually() {
    let start = Instant::now();
    let mut table = SlotTable::new();
    table.set_backends(vec![spec("only", 8)]);
    let mut now = start;
    for expected in [slot_table::FIRST_EJECTION, slot_table::FIRST_EJECTION * 2] {
        while let Ok(grant) = table.acquire(now, &service(), &[]) {
            table.release(now, &grant.instance, SlotOutcome::Failure);
        }
        assert_eq!(table.acquire(now, &service(), &[]), Err(SlotRefusal::NoBackend));
        assert!(
            table
                .due_probes(now + expected.saturating_sub(Duration::from_millis(1)))
                .is_empty()
        );
        now += expected;
        let probes = table.due_probes(now);
        assert_eq!(probes.len(), 1);
        assert!(table.due_probes(now).is_empty(), "one probe at a time");
        table.record_probe(now, &probes[0].instance, true);
    }
    let first = table
        .acquire(now, &service(), &[])
        .expect("one request is let through");
    assert_eq!(table.acquire(now, &service(), &[]), Err(SlotRefusal::AllBusy));
    table.release(now, &first.instance, SlotOutcome::Success);
    assert_eq!(table.usable_slots(&service()), 2);
}

/// Guards against new work on a server that is no longer listed or announced its shutdown, and against a
/// drain that is reported as complete while requests run.
#[test]
fn leaving_servers_get_no_new_work_and_report_requests_in_flight() {
    let now = Instant::now();
    let mut table = SlotTable::new();
    table.set_backends(vec![spec("one", 8)]);
    let grant = table.acquire(now, &service(), &[]).expect("a slot is free");
    table.set_backends(Vec::new());
    assert_eq!(table.acquire(now, &service(), &[]), Err(SlotRefusal::NoBackend));
    assert_eq!(table.in_flight(&grant.instance), 1);
    table.release(now, &grant.instance, SlotOutcome::Success);
    assert_eq!(table.in_flight(&grant.instance), 0);

    table.set_backends(vec![spec("two", 8)]);
    let grant = table.acquire(now, &service(), &[]).expect("a slot is free");
    table.mark_leaving(&grant.instance);
    assert_eq!(table.acquire(now, &service(), &[]), Err(SlotRefusal::NoBackend));
    table.release(now, &grant.instance, SlotOutcome::Neutral);
    let mut returned = spec("two", 8);
    returned.phase_since = Revision::new(2);
    table.set_backends(vec![returned]);
    assert!(
        table.acquire(now, &service(), &[]).is_ok(),
        "a new phase of the instance ends the announced shutdown"
    );
}

/// Guards against unbounded waiting, and against waiting that cannot succeed.
#[test]
fn waiting_is_bounded_and_refused_early() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(2);
    let offer = |queue: &mut AdmissionQueue| queue.enqueue(now, waiter(now, "a", WorkPriority::Bench), 1);
    assert_eq!(offer(&mut queue), Err(AdmissionRefusal::NoAllowance));
    queue.set_team(&team("a"), 1, 100);
    offer(&mut queue).expect("it waits");
    queue.finish(&service(), &team("a"), Some(Duration::from_secs(2)));
    assert_eq!(
        offer(&mut queue),
        Err(AdmissionRefusal::WaitTooLong(Duration::from_secs(2)))
    );
    let mut queue = AdmissionQueue::new(2);
    queue.set_team(&team("a"), 1, 100);
    offer(&mut queue).expect("it waits");
    offer(&mut queue).expect("it waits");
    assert_eq!(offer(&mut queue), Err(AdmissionRefusal::QueueFull));
}

/// Guards against urgent work that waits behind other work, and against teams that get more than their share
/// of starts.
#[test]
fn urgent_work_is_first_and_teams_start_by_share() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(1000);
    queue.set_team(&team("a"), 1, 100);
    queue.set_team(&team("b"), 3, 100);
    for _ in 0..100 {
        for name in ["a", "b"] {
            queue
                .enqueue(now, waiter(now, name, WorkPriority::Bench), 100)
                .expect("it waits");
        }
    }
    let urgent = queue
        .enqueue(now, waiter(now, "a", WorkPriority::Urgent), 100)
        .expect("it waits");
    assert_eq!(queue.next(&service()), Some(urgent));
    queue.start(urgent);
    queue.finish(&service(), &team("a"), None);
    for _ in 0..80 {
        let id = queue.next(&service()).expect("work waits");
        queue.start(id);
    }
    assert_eq!(
        (queue.running_count(&team("a")), queue.running_count(&team("b"))),
        (20, 60)
    );
}

/// Guards against ties between teams that are always broken in favour of the same team. With one slot, the
/// running counts are equal at every choice.
#[test]
fn teams_alternate_by_share_on_one_slot() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::new(1000);
    queue.set_team(&team("a"), 1, 100);
    queue.set_team(&team("b"), 1, 100);
    for _ in 0..50 {
        for name in ["a", "b"] {
            queue
                .enqueue(now, waiter(now, name, WorkPriority::Bench), 1)
                .expect("it waits");
        }
    }
    let mut starts = 0;
    for _ in 0..40 {
        let id = queue.next(&service()).expect("work waits");
        let started = queue.start(id).expect("it waited");
        starts += u32::from(started.team == team("a"));
        queue.finish(&service(), &started.team, None);
    }
    assert_eq!(starts, 20);
}

proptest! {
    /// Guards against a team that runs more than its allowance, and against work that is lost or started
    /// twice, in any order of events.
    #[test]
    fn allowances_hold_in_any_order(steps in prop::collection::vec((0_u8..4, 0_u32..5), 1..200)) {
        let now = Instant::now();
        let mut queue = AdmissionQueue::new(50);
        let mut allowance = 2;
        queue.set_team(&team("a"), 1, allowance);
        let mut started = BTreeSet::new();
        let mut running = 0;
        for (step, value) in steps {
            match step {
                0 => drop(queue.enqueue(now, waiter(now, "a", WorkPriority::Bench), 1)),
                1 => if let Some(id) = queue.next(&service()) {
                    prop_assert!(running < allowance);
                    prop_assert!(started.insert(id));
                    queue.start(id);
                    running += 1;
                },
                2 => if running > 0 {
                    queue.finish(&service(), &team("a"), None);
                    running -= 1;
                },
                _ => {
                    allowance = value;
                    queue.set_team(&team("a"), 1, allowance);
                }
            }
            prop_assert_eq!(queue.running_count(&team("a")), running);
        }
        queue.set_team(&team("a"), 1, 1000);
        while let Some(id) = queue.next(&service()) {
            prop_assert!(started.insert(id));
            queue.start(id);
        }
        prop_assert_eq!(queue.waiting_count(&service()), 0);
    }
}

/// Guards against retries that multiply the load when all attempts fail, and against a retry of work that may
/// have run.
#[test]
fn retries_stay_within_their_budget() {
    let mut budget = RetryBudget::new(RetryLimits::default());
    let long = Duration::from_secs(10);
    assert_eq!(
        budget.take_retry(AttemptFailure::MayHaveRun, false, 1, long, 0.5),
        None
    );
    assert_eq!(
        budget.take_retry(AttemptFailure::NotRun, false, 1, Duration::ZERO, 0.5),
        None
    );
    let mut retries = 0;
    for _ in 0..1000 {
        budget.record_first_attempt();
        retries += u32::from(
            budget
                .take_retry(AttemptFailure::NotRun, false, 1, long, 0.5)
                .is_some(),
        );
    }
    assert!(retries <= 110, "{retries} retries for 1000 requests");
}

fn answered(text: &str) -> TicketOutcome {
    TicketOutcome::Answered(StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: text.to_owned().into(),
    })
}

/// Guards against a second run with one ticket, and against a response that is replayed to another request.
#[test]
fn a_ticket_runs_once_and_replays_only_to_its_request() {
    let now = Instant::now();
    let mut table = TicketTable::new(session("s1"), TicketKey::new([1; 32]));
    let ticket = table.issue(now);
    let (request, other) = (Arc::from("r"), Arc::from("other"));
    assert_eq!(
        table.claim(now, &ticket, &request, &session("s2")),
        ClaimResult::Run { claim: 1 }
    );
    assert_eq!(
        table.claim(now, &ticket, &request, &session("s3")),
        ClaimResult::InProgress
    );
    table.finish(now, ticket.sequence, 1, answered("x"));
    table.finish(now, ticket.sequence, 1, TicketOutcome::NotRun);
    let TicketOutcome::Answered(stored) = answered("x") else {
        unreachable!()
    };
    assert_eq!(
        table.claim(now, &ticket, &request, &session("s3")),
        ClaimResult::Answered(stored)
    );
    assert_eq!(
        table.claim(now, &ticket, &other, &session("s3")),
        ClaimResult::OtherRequest
    );
    let mut forged = ticket.clone();
    forged.sequence += 1;
    assert_eq!(
        table.claim(now, &forged, &request, &session("s3")),
        ClaimResult::Forged
    );
    table.issue(now);
    assert_eq!(
        table.claim(now, &forged, &request, &session("s3")),
        ClaimResult::Forged
    );
    let refused = table.issue(now);
    assert_eq!(
        table.claim(now, &refused, &request, &session("s2")),
        ClaimResult::Run { claim: 1 }
    );
    table.finish(now, refused.sequence, 1, TicketOutcome::NotRun);
    assert_eq!(
        table.claim(now, &refused, &request, &session("s2")),
        ClaimResult::Run { claim: 2 }
    );
    // A duplicate report of the first claim must not end the second one.
    table.finish(now, refused.sequence, 1, TicketOutcome::NotRun);
    assert_eq!(
        table.claim(now, &refused, &request, &session("s3")),
        ClaimResult::InProgress
    );
    table.handle_session_gone(now, &session("s2"));
    assert_eq!(
        table.claim(now, &refused, &request, &session("s2")),
        ClaimResult::Unknown
    );
}

/// Guards against a second run after the entry of the first one expired, here or at the session that took
/// over the table, and against a table that grows without bound.
#[test]
fn an_old_ticket_never_runs_again() {
    let start = Instant::now();
    let request = Arc::from("r");
    let mut table = TicketTable::new(session("s1"), TicketKey::new([1; 32]));
    let ticket = table.issue(start);
    let unclaimed = table.issue(start);
    assert_eq!(
        table.claim(start, &ticket, &request, &session("s1")),
        ClaimResult::Run { claim: 1 }
    );
    table.finish(start, ticket.sequence, 1, answered("x"));
    let later = start + TICKET_RETENTION + Duration::from_secs(3);
    let half = start + TICKET_RETENTION / 2;
    let mut adopted = adopt_all(half, table.hand_over(half));
    for table in [&mut table, &mut adopted] {
        for old in [&ticket, &unclaimed] {
            assert_eq!(
                table.claim(later, old, &request, &session("s2")),
                ClaimResult::Unknown
            );
        }
        assert!(table.is_empty());
        let fresh = table.issue(later);
        assert_eq!(
            table.claim(later, &fresh, &request, &session("s2")),
            ClaimResult::Run { claim: 1 }
        );
    }
}

fn adopt_all(now: Instant, parts: Vec<TicketHandOver>) -> TicketTable {
    let mut parts = parts.into_iter();
    let mut table = TicketTable::from_first_part(now, parts.next().expect("there is a first part"));
    parts.for_each(|part| table.add_part(now, part));
    table
}

/// Guards against a table that exceeds its memory limit, against parts that exceed the size of a peer
/// message, and against a second run of work whose response was dropped to save space.
#[test]
fn kept_responses_are_bounded_and_dropped_ones_still_count_as_run() {
    let start = Instant::now();
    let request = Arc::from("r");
    let mut table = TicketTable::new(session("s1"), TicketKey::new([1; 32]));
    let count = MAX_TABLE_RESPONSE_BYTES / 60_000 + 10;
    let mut tickets = Vec::new();
    for index in 0..count {
        let now = start + Duration::from_millis(index as u64);
        let ticket = table.issue(now);
        table.claim(now, &ticket, &request, &session("s1"));
        table.finish(now, ticket.sequence, 1, answered(&"x".repeat(60_000)));
        tickets.push(ticket);
    }
    let now = start + Duration::from_secs(10);
    let parts = table.hand_over(now);
    for part in &parts {
        let mut bytes = Vec::new();
        ciborium::into_writer(part, &mut bytes).expect("the part serialises");
        assert!(bytes.len() < 1024 * 1024, "a part has {} bytes", bytes.len());
    }
    let mut adopted = adopt_all(now, parts);
    for table in [&mut table, &mut adopted] {
        assert_eq!(
            table.claim(now, &tickets[0], &request, &session("s2")),
            ClaimResult::AlreadyRan
        );
        let newest = table.claim(now, &tickets[count - 1], &request, &session("s2"));
        assert!(matches!(newest, ClaimResult::Answered(_)));
    }
}

/// Guards against a hand-over that loses a claim or a response.
#[test]
fn a_handed_over_table_decides_claims_as_before() {
    let now = Instant::now();
    let request = Arc::from("r");
    let mut table = TicketTable::new(session("s1"), TicketKey::new([1; 32]));
    let tickets: Vec<_> = (0..3).map(|_| table.issue(now)).collect();
    table.claim(now, &tickets[0], &request, &session("s1"));
    table.claim(now, &tickets[1], &request, &session("s1"));
    table.finish(now, tickets[0].sequence, 1, answered("x"));
    let mut bytes = Vec::new();
    ciborium::into_writer(&table.hand_over(now), &mut bytes).expect("the table serialises");
    let handed = ciborium::from_reader(bytes.as_slice()).expect("the table reads back");
    let mut adopted = adopt_all(now, handed);
    for ticket in &tickets {
        let expected = table.claim(now, ticket, &request, &session("s2"));
        assert_eq!(adopted.claim(now, ticket, &request, &session("s2")), expected);
    }
}
