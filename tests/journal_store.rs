//! Journal writer, reader, compaction, audit trail and session records against an in-memory store with fault
//! injection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use figloft::clock::{ManualClock, SharedClock};
use figloft::error::{Error, ErrorKind, Result};
use figloft::journal::entry::{EntryActor, EntryChange, JournalEntry};
use figloft::journal::fleet_state::FleetState;
use figloft::model::amount::{RatePerSecond, SlotCount};
use figloft::model::id::{Revision, SessionId};
use figloft::model::unix_time::UnixMillis;
use figloft::port::store::call::PutExpect;
use figloft::port::store::client::StoreClient;
use figloft::port::store::fault::{FaultSpan, StoreFault};
use figloft::port::store::memory_store::MemoryStore;
use figloft::record::document::{RecordDocument, RecordKind, RecordName};
use figloft::version::accepted::AcceptedVersion;
use figloft::version::audit_trail::AuditTrail;
use figloft::version::entry_log::{EntryLog, EntrySource};
use figloft::version::journal_compactor::JournalCompactor;
use figloft::version::journal_reader::JournalReader;
use figloft::version::journal_writer::JournalWriter;
use figloft::version::session_registry::{SessionRecord, SessionRegistry};

struct Node {
    reader: JournalReader,
    writer: JournalWriter,
    port: MemoryStore,
}

fn node(store: &MemoryStore, clock: &SharedClock, name: &str) -> Node {
    let port = store.port();
    let log = EntryLog::new(AcceptedVersion::default());
    let reader = JournalReader::new(StoreClient::memory(port.clone()), log, Arc::clone(clock));
    let session = name.parse().expect("name");
    let writer = JournalWriter::new(reader.clone(), session, Arc::clone(clock));
    Node { reader, writer, port }
}

fn setup() -> (Arc<ManualClock>, SharedClock, MemoryStore) {
    let clock = Arc::new(ManualClock::new());
    let shared: SharedClock = Arc::clone(&clock) as SharedClock;
    (clock, Arc::clone(&shared), MemoryStore::new(shared))
}

fn actor() -> EntryActor {
    EntryActor::Operator("op".parse().expect("name"))
}

/// Increments the limit of team `t`, so that the limit counts the appended entries.
fn raise_limit(state: &FleetState) -> Result<Vec<EntryChange>> {
    let name = RecordName {
        kind: RecordKind::Team,
        id: Arc::from("t"),
    };
    let expected = state.documents.get(&name).map(|stored| stored.changed_at);
    let limit = limit_of(state).checked_add(1);
    let limit =
        limit.ok_or_else(|| Error::new(ErrorKind::LimitReached, "the limit is at its largest value"))?;
    let fields = serde_json::json!({"organisation": "o", "share": 1, "limit": limit});
    let fields: BTreeMap<Arc<str>, serde_json::Value> = serde_json::from_value(fields).expect("fields");
    let document = RecordDocument {
        kind: RecordKind::Team,
        schema: 2,
        id: Arc::from("t"),
        fields,
    };
    Ok(vec![EntryChange::PutRecord { document, expected }])
}

fn limit_of(state: &FleetState) -> u32 {
    state
        .records
        .teams
        .values()
        .next()
        .map_or(0, |team| team.limit.get())
}

/// Guards against updates that are lost or applied twice when several writers append at the same time.
#[tokio::test]
async fn racing_writers_lose_no_update() {
    let (_, clock, store) = setup();
    let nodes: Vec<Node> = (0..4).map(|n| node(&store, &clock, &format!("s{n}"))).collect();
    let tasks: Vec<_> = nodes
        .iter()
        .map(|node| {
            let writer = node.writer.clone();
            tokio::spawn(async move {
                for _ in 0..10 {
                    writer.append(actor(), raise_limit).await.expect("append");
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.expect("task");
    }
    for node in &nodes {
        node.reader.catch_up().await.expect("catch up");
        let state = node.reader.log().current();
        assert_eq!((limit_of(&state), state.revision.get()), (40, 40));
        assert_eq!(node.reader.log().counters().voided, 0);
    }
}

/// Guards against a change that is applied twice or reported as failed when its request or response is lost
/// or late.
#[tokio::test(start_paused = true)]
async fn lost_responses_are_resolved_by_the_nonce() {
    let (_, clock, store) = setup();
    let node = node(&store, &clock, "s");
    for fault in [
        StoreFault::AnswerLost,
        StoreFault::RequestLost,
        StoreFault::Slow(Duration::from_millis(1500)),
    ] {
        store.set_fault(fault, FaultSpan::NextCalls(1));
        node.writer.append(actor(), raise_limit).await.expect("append");
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    node.reader.catch_up().await.expect("catch up");
    let state = node.reader.log().current();
    assert_eq!((limit_of(&state), state.revision.get()), (3, 3));
}

/// Guards against an error that claims that nothing was changed although the entry is in the journal. Checks
/// the error kind for a store that is down, one that is too slow and one that limits the rate.
#[tokio::test(start_paused = true)]
async fn errors_say_whether_the_change_may_be_written() {
    let (_, clock, store) = setup();
    let node = node(&store, &clock, "s");
    node.writer.append(actor(), raise_limit).await.expect("append");
    store.set_fault(StoreFault::Down, FaultSpan::UntilCleared);
    let error = node.writer.append(actor(), raise_limit).await.expect_err("down");
    assert_eq!(error.kind(), ErrorKind::StoreUnavailable);
    store.clear_faults();
    store.set_fault(StoreFault::AnswerLost, FaultSpan::NextCalls(1));
    store.set_fault(StoreFault::Slow(Duration::from_mins(1)), FaultSpan::UntilCleared);
    let error = node.writer.append(actor(), raise_limit).await.expect_err("slow");
    assert_eq!(error.kind(), ErrorKind::StoreOutcomeUnknown);
    store.clear_faults();
    store.set_fault(
        StoreFault::RateLimited(RatePerSecond::new(0)),
        FaultSpan::UntilCleared,
    );
    let error = node.writer.append(actor(), raise_limit).await.expect_err("rate");
    assert_eq!(error.kind(), ErrorKind::RateLimited);
    store.clear_faults();
    tokio::time::sleep(Duration::from_mins(2)).await;
    node.writer.append(actor(), raise_limit).await.expect("append");
    let state = node.reader.log().current();
    assert_eq!(u64::from(limit_of(&state)), state.revision.get());
}

/// Guards against a configuration that reverts, or a revision that counts as confirmed, when the store
/// responds with stale data.
#[tokio::test(start_paused = true)]
async fn stale_responses_confirm_nothing() {
    let (manual, clock, store) = setup();
    let writer = node(&store, &clock, "w");
    let reader = node(&store, &clock, "r");
    writer.writer.append(actor(), raise_limit).await.expect("append");
    let stale = store.port();
    stale.set_port_fault(StoreFault::Stale, FaultSpan::UntilCleared);
    writer.writer.append(actor(), raise_limit).await.expect("append");
    reader.reader.catch_up().await.expect("fresh");
    let confirmed = reader.reader.confirmed_at();
    manual.advance(Duration::from_secs(1));
    reader
        .port
        .set_port_fault(StoreFault::Stale, FaultSpan::NextCalls(2));
    let error = reader.reader.catch_up().await.expect_err("stale list");
    assert_eq!(error.kind(), ErrorKind::StoreUnavailable);
    let error = reader
        .reader
        .watch_once(Duration::ZERO)
        .await
        .expect_err("stale watch");
    assert_eq!(error.kind(), ErrorKind::StoreUnavailable);
    assert_eq!(reader.reader.watermark().stale_count(), 2);
    assert_eq!(reader.reader.confirmed_at(), confirmed);
    assert_eq!(reader.reader.log().revision(), Revision::new(2));
    reader.reader.catch_up().await.expect("fresh");
    assert!(reader.reader.confirmed_at() > confirmed);
}

/// Guards against a new process that starts from a stale store although a peer has a newer revision.
#[tokio::test]
async fn a_new_reader_requires_the_revision_of_its_peers() {
    let (_, clock, store) = setup();
    let writer = node(&store, &clock, "w");
    writer.writer.append(actor(), raise_limit).await.expect("append");
    let reader = node(&store, &clock, "r");
    reader
        .port
        .set_port_fault(StoreFault::Stale, FaultSpan::UntilCleared);
    writer.writer.append(actor(), raise_limit).await.expect("append");
    reader.reader.raise_min_revision(Revision::new(2));
    let error = reader.reader.catch_up().await.expect_err("stale");
    assert_eq!(error.kind(), ErrorKind::StoreUnavailable);
    assert_eq!(reader.reader.confirmed_at(), None);
    reader.port.clear_faults();
    reader.reader.catch_up().await.expect("fresh");
    assert!(reader.reader.confirmed_at().is_some());
}

/// Guards against entries that are applied out of order, twice or not at all when peers relay them.
#[tokio::test]
async fn relayed_entries_apply_in_order_and_missing_ones_are_reported() {
    let (_, clock, store) = setup();
    let writer = node(&store, &clock, "w");
    for _ in 0..5 {
        writer.writer.append(actor(), raise_limit).await.expect("append");
    }
    let entries = writer.reader.log().entries_after(Revision::default(), 10);
    let pick = |numbers: &[usize]| -> Vec<JournalEntry> {
        numbers
            .iter()
            .map(|n| JournalEntry::clone(&entries[n - 1]))
            .collect()
    };
    let log = EntryLog::new(AcceptedVersion::default());
    let report = log.offer(pick(&[3, 2, 5]), EntrySource::Peer).expect("offer");
    assert_eq!((report.folded, report.first_missing), (0, Some(Revision::new(1))));
    let report = log.offer(pick(&[1, 1]), EntrySource::Peer).expect("offer");
    assert_eq!((report.folded, report.first_missing), (3, Some(Revision::new(4))));
    let report = log.offer(pick(&[4, 2]), EntrySource::Peer).expect("offer");
    assert_eq!((report.folded, report.first_missing), (2, None));
    assert_eq!(log.current(), writer.reader.log().current());
    assert_eq!(log.counters().divergent, 0);
}

/// Guards against an own entry that is not relayed to other zones because the watch of the same process
/// delivered it first.
#[tokio::test]
async fn an_own_entry_is_relayed_although_the_watch_delivered_it_first() {
    let (_, clock, store) = setup();
    let writer = node(&store, &clock, "w");
    writer.writer.append(actor(), raise_limit).await.expect("append");
    let entry = JournalEntry::clone(&writer.reader.log().entries_after(Revision::default(), 1)[0]);
    let log = EntryLog::new(AcceptedVersion::default());
    let mut relayed = log.subscribe();
    log.offer([entry.clone()], EntrySource::Store).expect("offer");
    log.offer([entry.clone()], EntrySource::Peer).expect("offer");
    log.offer([entry], EntrySource::Own).expect("offer");
    let sources: Vec<EntrySource> = std::iter::from_fn(|| relayed.try_recv().ok())
        .map(|(_, s)| s)
        .collect();
    assert_eq!(sources, [EntrySource::Store, EntrySource::Own]);
}

/// Guards against entries lost between journal, snapshot and archive while two compactors and a writer run at
/// the same time.
#[tokio::test]
async fn compaction_under_load_loses_nothing() {
    let (_, clock, store) = setup();
    let writer = node(&store, &clock, "w");
    let follower = node(&store, &clock, "follower");
    let compactor = JournalCompactor::new(StoreClient::memory(store.port()), Arc::clone(&clock))
        .with_retention(5, Duration::ZERO);
    let second_compactor = compactor.clone();
    let load = {
        let writer = writer.writer.clone();
        tokio::spawn(async move {
            for _ in 0..200 {
                writer.append(actor(), raise_limit).await.expect("append");
                tokio::task::yield_now().await;
            }
        })
    };
    let mut archived = 0;
    while !load.is_finished() {
        let state = writer.reader.log().current();
        let (first, second) = tokio::join!(compactor.compact(&state), second_compactor.compact(&state));
        for report in [first, second].into_iter().flatten() {
            archived += report.archived;
        }
        follower.reader.catch_up().await.expect("catch up");
        tokio::task::yield_now().await;
    }
    let state = writer.reader.log().current();
    compactor.compact(&state).await.expect("compact");
    assert!(archived > 0);
    let cold = node(&store, &clock, "cold");
    cold.reader.catch_up().await.expect("cold start");
    follower.reader.catch_up().await.expect("catch up");
    assert_eq!(cold.reader.log().current(), state);
    assert_eq!(follower.reader.log().current(), state);
    let audit = AuditTrail::new(StoreClient::memory(store.port()));
    let all = audit
        .read(state.revision, None, 1000, |_| true)
        .await
        .expect("audit");
    let numbers: Vec<u64> = all.iter().map(|entry| entry.number.get()).collect();
    assert_eq!(numbers, (1..=200).rev().collect::<Vec<u64>>());
    let before = Some(Revision::new(150));
    let few = audit
        .read(state.revision, before, 3, |e| e.number.get() % 2 == 0)
        .await
        .expect("audit");
    let numbers: Vec<u64> = few.iter().map(|entry| entry.number.get()).collect();
    assert_eq!(numbers, [148, 146, 144]);
    let kept = store.list("journal/", "", 1000, true).await.expect("list");
    assert_eq!(kept.values.len(), 5);
}

/// Guards against a writer that was paused during a compaction and then reuses the number of a deleted entry.
#[tokio::test]
async fn a_paused_writer_does_not_write_below_a_compaction() {
    let (manual, clock, store) = setup();
    let paused = node(&store, &clock, "paused");
    let writer = node(&store, &clock, "w");
    paused.writer.append(actor(), raise_limit).await.expect("append");
    for _ in 0..20 {
        writer.writer.append(actor(), raise_limit).await.expect("append");
    }
    let compactor = JournalCompactor::new(StoreClient::memory(store.port()), Arc::clone(&clock))
        .with_retention(1, Duration::ZERO);
    let state = writer.reader.log().current();
    compactor.compact(&state).await.expect("compact");
    manual.advance(Duration::from_mins(20));
    let number = paused.writer.append(actor(), raise_limit).await.expect("append");
    assert_eq!(number.get(), 22);
    assert_eq!(limit_of(&paused.reader.log().current()), 22);
}

/// Guards against a previous coordinator that plans on an old state: its change must be written neither with
/// its old term nor with that of its successor.
#[tokio::test]
async fn a_previous_coordinator_changes_nothing() {
    let (_, clock, store) = setup();
    let previous = node(&store, &clock, "previous");
    let successor = node(&store, &clock, "successor");
    let take_role = |name: &'static str| {
        move |_: &FleetState| {
            let session = name.parse()?;
            Ok(vec![EntryChange::TakeDuty { session }])
        }
    };
    let allow = |_: &FleetState| {
        Ok(vec![EntryChange::SetAllowance {
            team: "t".parse()?,
            session: "s".parse()?,
            slots: SlotCount::new(1),
        }])
    };
    previous
        .writer
        .append(actor(), take_role("previous"))
        .await
        .expect("first term");
    previous
        .writer
        .append(actor(), raise_limit)
        .await
        .expect("a team");
    previous
        .writer
        .append(actor(), raise_limit)
        .await
        .expect("a limit of 2");
    previous
        .writer
        .append(actor(), allow)
        .await
        .expect("the session is the coordinator");
    successor
        .writer
        .append(actor(), take_role("successor"))
        .await
        .expect("second term");
    let error = previous
        .writer
        .append(actor(), allow)
        .await
        .expect_err("another session is the coordinator");
    assert_eq!(error.kind(), ErrorKind::StaleTerm);
    let head = store.list("journal/", "", 100, true).await.expect("list");
    assert_eq!(head.values.len(), 5);
    successor
        .writer
        .append(actor(), allow)
        .await
        .expect("the successor's term");
}

/// Guards against a watch that does not resume after the store was unreachable.
#[tokio::test(start_paused = true)]
async fn a_watch_resumes_after_an_outage() {
    let (_, clock, store) = setup();
    let writer = node(&store, &clock, "w");
    let reader = node(&store, &clock, "r");
    writer.writer.append(actor(), raise_limit).await.expect("append");
    assert_eq!(reader.reader.watch_once(Duration::from_secs(1)).await, Ok(1));
    reader
        .port
        .set_port_fault(StoreFault::Down, FaultSpan::UntilCleared);
    let error = reader
        .reader
        .watch_once(Duration::from_secs(1))
        .await
        .expect_err("down");
    assert_eq!(error.kind(), ErrorKind::StoreUnavailable);
    writer.writer.append(actor(), raise_limit).await.expect("append");
    reader.port.clear_faults();
    assert_eq!(reader.reader.watch_once(Duration::from_secs(1)).await, Ok(1));
    assert_eq!(reader.reader.watch_once(Duration::from_secs(1)).await, Ok(0));
}

fn session(name: &str) -> SessionRecord {
    SessionRecord {
        id: name.parse().expect("name"),
        zone: "z".parse().expect("name"),
        instance: None,
        peer_address: "127.0.0.1:1".parse().expect("address"),
        caller_address: None,
        admin_address: None,
        started_at: UnixMillis::new(7),
        renewals: 0,
    }
}

/// Guards against a removed session that writes its record again, and against a lost response that ends a
/// session.
#[tokio::test]
async fn a_removed_session_record_stays_removed() {
    let (_, clock, store) = setup();
    let node = node(&store, &clock, "s");
    let watermark = node.reader.watermark().clone();
    let registry = SessionRegistry::new(StoreClient::memory(node.port.clone()), watermark.clone());
    let id: SessionId = "s".parse().expect("name");
    store.set_fault(StoreFault::AnswerLost, FaultSpan::NextCalls(1));
    registry.register(session("s")).await.expect("register");
    store.set_fault(StoreFault::AnswerLost, FaultSpan::NextCalls(1));
    registry.renew().await.expect("renew");
    registry.renew().await.expect("renew");
    assert_eq!(registry.list().await.expect("list").sessions[&id].renewals, 2);
    let other = SessionRegistry::new(StoreClient::memory(store.port()), watermark);
    let taken = SessionRecord {
        started_at: UnixMillis::new(8),
        ..session("s")
    };
    assert_eq!(
        other.register(taken).await.expect_err("taken").kind(),
        ErrorKind::Conflict
    );
    other.remove(&id).await.expect("remove");
    assert_eq!(
        registry.renew().await.expect_err("removed").kind(),
        ErrorKind::LeaseLost
    );
    assert!(registry.list().await.expect("list").sessions.is_empty());
    let damaged = bytes::Bytes::from_static(b"{");
    store
        .put("session/d", damaged, PutExpect::Any, None)
        .await
        .expect("put");
    let list = registry.list().await.expect("a damaged record hides no other");
    assert_eq!(list.undecodable.first().map(SessionId::as_str), Some("d"));
}
