//! Application of journal entries to the fleet state: conditions of each change, serialisation and
//! publication.

use std::collections::BTreeMap;
use std::sync::Arc;

use figloft::error::ErrorKind;
use figloft::journal::entry::{ENTRY_SCHEMA, EntryActor, EntryChange, JournalEntry};
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::{InstancePlace, MemberPhase};
use figloft::model::amount::{MemoryMib, MilliCores, SlotCount};
use figloft::model::id::{LeaderTerm, Revision, WriteNonce};
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;
use figloft::record::document::RecordDocument;
use figloft::version::accepted::AcceptedVersion;

fn entry(state: &FleetState, changes: Vec<EntryChange>) -> JournalEntry {
    JournalEntry {
        schema: ENTRY_SCHEMA,
        number: state.revision.next(),
        actor: EntryActor::System("session-1".parse().expect("name")),
        written_at: UnixMillis::new(0),
        nonce: WriteNonce::new(1),
        term: state.duty.as_ref().map(|holder| holder.term),
        changes,
    }
}

/// Applies changes as the next entry. Returns the error kinds of the changes without effect.
fn fold(state: &mut FleetState, changes: Vec<EntryChange>) -> Vec<ErrorKind> {
    let entry = entry(state, changes);
    let report = state.fold(&entry).expect("entry is the next one");
    report.voided.into_iter().map(|(_, error)| error.kind()).collect()
}

fn state_with_coordinator() -> FleetState {
    let mut state = FleetState::default();
    let session = "session-1".parse().expect("name");
    assert!(fold(&mut state, vec![EntryChange::TakeDuty { session }]).is_empty());
    state
}

fn place() -> InstancePlace {
    InstancePlace {
        region: "r".parse().expect("name"),
        zone: "z".parse().expect("name"),
        rack: "k".parse().expect("name"),
        resources: ResourceSet::new(MilliCores::new(32_000), MemoryMib::new(65_536)),
        address: Arc::from("127.0.0.1:1"),
    }
}

fn join(instance: &str, pool: &str) -> EntryChange {
    EntryChange::JoinPool {
        instance: instance.parse().expect("name"),
        pool: pool.parse().expect("name"),
        place: place(),
    }
}

fn team(limit: u32, expected: Option<Revision>) -> EntryChange {
    let fields = serde_json::json!({"organisation": "o", "share": 1, "limit": limit});
    let fields: BTreeMap<Arc<str>, serde_json::Value> = serde_json::from_value(fields).expect("fields");
    let kind = "team".parse().expect("kind");
    EntryChange::PutRecord {
        document: RecordDocument {
            kind,
            schema: 2,
            id: Arc::from("t"),
            fields,
        },
        expected,
    }
}

fn allow(session: &str, slots: u32) -> EntryChange {
    EntryChange::SetAllowance {
        team: "t".parse().expect("name"),
        session: session.parse().expect("name"),
        slots: SlotCount::new(slots),
    }
}

/// Guards against an instance that two pools use: it may join another pool only when drained.
#[test]
fn an_instance_changes_its_pool_only_when_drained() {
    let mut state = state_with_coordinator();
    assert!(fold(&mut state, vec![join("i", "a")]).is_empty());
    assert_eq!(fold(&mut state, vec![join("i", "b")]), [ErrorKind::Conflict]);
    let instance: figloft::model::id::InstanceId = "i".parse().expect("name");
    let drained = EntryChange::SetPhase {
        instance: instance.clone(),
        phase: MemberPhase::Drained,
        reason: Arc::from("test"),
    };
    assert!(fold(&mut state, vec![drained, join("i", "b")]).is_empty());
    let member = &state.members[&instance];
    assert_eq!(member.pool.as_str(), "b");
    assert_eq!(member.generation.get(), state.revision.get());
}

/// Guards against a previous coordinator that resumes after a pause and writes with its old term.
#[test]
fn changes_with_an_old_term_are_void() {
    let mut state = state_with_coordinator();
    let session = "session-2".parse().expect("name");
    assert!(fold(&mut state, vec![EntryChange::TakeDuty { session }]).is_empty());
    let mut late = entry(&state, vec![join("i", "a")]);
    late.term = Some(LeaderTerm::new(1));
    let report = state.fold(&late).expect("entry is the next one");
    assert_eq!(report.voided[0].1.kind(), ErrorKind::StaleTerm);
    assert!(state.members.is_empty());
}

/// Guards against allowances whose sum exceeds the team's limit, also after the limit was lowered.
#[test]
fn allowances_never_sum_above_the_limit() {
    let mut state = state_with_coordinator();
    assert!(fold(&mut state, vec![team(10, None)]).is_empty());
    let written_at = state.revision;
    assert!(fold(&mut state, vec![allow("a", 6), allow("b", 4)]).is_empty());
    assert_eq!(fold(&mut state, vec![allow("c", 1)]), [ErrorKind::LimitReached]);
    assert!(fold(&mut state, vec![team(5, Some(written_at))]).is_empty());
    assert_eq!(state.allowance_sum(&"t".parse().expect("name")), 5);
}

/// Guards against lost updates when two operators change a record at the same time: the second write expects
/// a revision that is no longer current.
#[test]
fn a_record_changes_only_from_the_revision_that_the_writer_saw() {
    let mut state = state_with_coordinator();
    assert!(fold(&mut state, vec![team(10, None)]).is_empty());
    let seen = state.revision;
    assert!(fold(&mut state, vec![team(11, Some(seen))]).is_empty());
    assert_eq!(
        fold(&mut state, vec![team(12, Some(seen))]),
        [ErrorKind::Conflict]
    );
    assert_eq!(fold(&mut state, vec![team(12, None)]), [ErrorKind::Conflict]);
}

/// Guards against an entry that is not the next one changing the state.
#[test]
fn only_the_next_entry_is_folded() {
    let mut state = state_with_coordinator();
    let before = state.clone();
    let mut gap = entry(&state, vec![join("i", "a")]);
    gap.number = gap.number.next();
    assert_eq!(
        state.fold(&gap).expect_err("gap is refused").kind(),
        ErrorKind::Conflict
    );
    assert_eq!(state, before);
}

/// Guards against snapshots that lose part of the state, and against dropping the content of changes that
/// only a later version understands.
#[test]
fn state_and_entries_survive_serialisation() {
    let mut state = state_with_coordinator();
    assert!(fold(&mut state, vec![team(10, None), join("i", "a"), allow("a", 6)]).is_empty());
    let text = serde_json::to_string(&state).expect("state serialises");
    assert_eq!(
        serde_json::from_str::<FleetState>(&text).expect("state parses"),
        state
    );
    let later = serde_json::json!({"change": "levitate", "height": 3});
    let mut written = serde_json::to_value(entry(&state, vec![])).expect("entry serialises");
    written["changes"] = serde_json::json!([later]);
    let read: JournalEntry = serde_json::from_value(written.clone()).expect("entry parses");
    assert_eq!(serde_json::to_value(&read).expect("entry serialises"), written);
    let report = state.fold(&read).expect("entry is the next one");
    assert_eq!(report.voided[0].1.kind(), ErrorKind::BadMessage);
}

/// Guards against a configuration that reverts to an old state because that arrives late.
#[test]
fn an_accepted_version_never_reverts() {
    let version = AcceptedVersion::default();
    let state = Arc::new(state_with_coordinator());
    version.publish(&state).expect("newer state is accepted");
    assert!(version.publish(&state).is_err());
    assert!(version.publish(&Arc::default()).is_err());
    assert_eq!(version.current().revision, state.revision);
}
