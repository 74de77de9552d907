//! Operators' requests for single instances in the folded journal state.

use std::sync::Arc;

use figloft::error::ErrorKind;
use figloft::journal::entry::{ENTRY_SCHEMA, EntryActor, EntryChange, JournalEntry};
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::{InstancePlace, MemberPhase, WantedPhase};
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{InstanceId, WriteNonce};
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;

fn fold(state: &mut FleetState, change: EntryChange) -> Option<ErrorKind> {
    let entry = JournalEntry {
        schema: ENTRY_SCHEMA,
        number: state.revision.next(),
        actor: EntryActor::Operator("ada".parse().expect("name")),
        written_at: UnixMillis::new(0),
        nonce: WriteNonce::new(1),
        term: state.duty.as_ref().map(|holder| holder.term),
        changes: vec![change],
    };
    let report = state.fold(&entry).expect("entry is the next one");
    report.voided.first().map(|(_, error)| error.kind())
}

fn instance() -> InstanceId {
    "i-1".parse().expect("name")
}

fn request_drain() -> EntryChange {
    EntryChange::RequestDrain {
        instance: instance(),
        reason: Arc::from("fan noise"),
    }
}

fn return_to_service() -> EntryChange {
    EntryChange::RequestReturn {
        instance: instance(),
        reason: Arc::from("fan replaced"),
    }
}

fn phase(phase: MemberPhase) -> EntryChange {
    EntryChange::SetPhase {
        instance: instance(),
        phase,
        reason: Arc::from("test"),
    }
}

fn with_serving_instance() -> FleetState {
    let mut state = FleetState::default();
    let session = "session-1".parse().expect("name");
    assert_eq!(fold(&mut state, EntryChange::TakeDuty { session }), None);
    let place = InstancePlace {
        region: "r".parse().expect("name"),
        zone: "z".parse().expect("name"),
        rack: "k".parse().expect("name"),
        resources: ResourceSet::new(MilliCores::new(1), MemoryMib::new(1)),
        address: Arc::from("127.0.0.1:1"),
    };
    let join = EntryChange::JoinPool {
        instance: instance(),
        pool: "p".parse().expect("name"),
        place,
    };
    assert_eq!(fold(&mut state, join), None);
    assert_eq!(fold(&mut state, phase(MemberPhase::Serving)), None);
    state
}

/// Guards against returning an instance to service that an operator has drained.
#[test]
fn a_drain_request_stays_until_the_instance_has_returned() {
    let mut state = with_serving_instance();
    assert_eq!(fold(&mut state, request_drain()), None);
    assert_eq!(fold(&mut state, phase(MemberPhase::Draining)), None);
    assert_eq!(fold(&mut state, phase(MemberPhase::Drained)), None);
    let request = &state.instance_requests[&instance()];
    assert_eq!(request.wanted, WantedPhase::Drained);
    assert_eq!(fold(&mut state, return_to_service()), None);
    assert_eq!(state.instance_requests[&instance()].wanted, WantedPhase::Serving);
    assert_eq!(fold(&mut state, phase(MemberPhase::Serving)), None);
    assert!(state.instance_requests.is_empty());
}

/// Guards against accepting requests without effect, which would hide from an operator what another one
/// requested.
#[test]
fn requests_that_change_nothing_are_conflicts() {
    let mut state = with_serving_instance();
    assert_eq!(fold(&mut state, return_to_service()), Some(ErrorKind::Conflict));
    assert_eq!(fold(&mut state, request_drain()), None);
    assert_eq!(fold(&mut state, request_drain()), Some(ErrorKind::Conflict));
    assert_eq!(fold(&mut state, return_to_service()), None);
    assert!(
        state.instance_requests.is_empty(),
        "the drain had not started, so there is nothing to return"
    );
}

/// Guards against requests that remain after their instance has left the fleet, and against losing requests
/// in a snapshot.
#[test]
fn requests_are_removed_with_the_instance_and_kept_in_snapshots() {
    let mut state = with_serving_instance();
    assert_eq!(fold(&mut state, request_drain()), None);
    let text = serde_json::to_string(&state).expect("state serialises");
    let read: FleetState = serde_json::from_str(&text).expect("state parses");
    assert_eq!(read, state);
    let leave = EntryChange::LeaveFleet { instance: instance() };
    assert_eq!(fold(&mut state, leave), None);
    assert!(state.instance_requests.is_empty());
}
