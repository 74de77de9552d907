//! Builds fleet states from journal entries, for tests and the policy bench.
#![allow(dead_code, reason = "each test file uses its own part of these helpers")]

use std::collections::BTreeMap;
use std::sync::Arc;

use figloft::journal::entry::{ENTRY_SCHEMA, EntryActor, EntryChange, JournalEntry};
use figloft::journal::fleet_state::FleetState;
use figloft::journal::member::{InstancePlace, MemberPhase};
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{InstanceId, WriteNonce};
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;
use figloft::record::document::RecordDocument;
use serde_json::json;

/// Parses a name that is known to be valid.
pub fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

/// The coordinator's next entry; without a coordinator, one of session `s0` with no term.
pub fn entry(state: &FleetState, changes: Vec<EntryChange>) -> JournalEntry {
    let coordinator = state.duty.as_ref();
    JournalEntry {
        schema: ENTRY_SCHEMA,
        number: state.revision.next(),
        actor: EntryActor::System(
            coordinator.map_or_else(|| id("s0"), |coordinator| coordinator.session.clone()),
        ),
        written_at: UnixMillis::new(0),
        nonce: WriteNonce::new(1),
        term: coordinator.map(|coordinator| coordinator.term),
        changes,
    }
}

/// Applies changes to the state as one entry and asserts that each of them has an effect.
pub fn fold(state: &mut FleetState, changes: Vec<EntryChange>) {
    let entry = entry(state, changes);
    let report = state.fold(&entry).expect("the entry is the next one");
    assert!(
        report.voided.is_empty(),
        "changes without effect: {:?}",
        report.voided
    );
}

/// A state in which session `s0` is the coordinator.
pub fn with_coordinator() -> FleetState {
    let mut state = FleetState::default();
    fold(&mut state, vec![EntryChange::TakeDuty { session: id("s0") }]);
    state
}

/// The change that writes a record of schema version 2.
pub fn record(state: &FleetState, kind: &str, name: &str, fields: serde_json::Value) -> EntryChange {
    let fields: BTreeMap<Arc<str>, serde_json::Value> = serde_json::from_value(fields).expect("fields");
    let document = RecordDocument {
        kind: kind.parse().expect("kind"),
        schema: 2,
        id: Arc::from(name),
        fields,
    };
    let name = document.name();
    let expected = state.documents.get(&name).map(|stored| stored.changed_at);
    EntryChange::PutRecord { document, expected }
}

/// Fields of a service with the given pool and budget.
pub fn service(pool: &str, permille: u32, per_zone: Option<u32>) -> serde_json::Value {
    let mut budget = json!({"max_unavailable_permille": permille});
    if let Some(cap) = per_zone {
        budget["max_unavailable_per_zone"] = json!(cap);
    }
    json!({
        "pool": pool, "budget": budget, "slots_per_backend": 8, "connections_per_backend": 64,
        "max_deadline_ms": 60_000,
    })
}

/// Location of instance number `index`: four instances to a rack, racks spread over four zones in turn.
pub fn place(index: usize, memory_gib: u64) -> InstancePlace {
    let rack = index / 4;
    InstancePlace {
        region: id("cartago"),
        zone: id(&format!("z{}", rack % 4)),
        rack: id(&format!("r{rack}")),
        resources: ResourceSet::new(MilliCores::new(32_000), MemoryMib::new(memory_gib * 1024)),
        address: Arc::from("127.0.0.1:1"),
    }
}

/// Adds serving instances `{pool}-{n}` to a pool; `offset` is the index of the first one's [`place`].
pub fn add_instances(state: &mut FleetState, pool: &str, count: usize, offset: usize) {
    let mut changes = Vec::new();
    for index in 0..count {
        let instance: InstanceId = id(&format!("{pool}-{index}"));
        changes.push(EntryChange::JoinPool {
            instance: instance.clone(),
            pool: id(pool),
            place: place(offset + index, 64),
        });
        changes.push(EntryChange::SetPhase {
            instance,
            phase: MemberPhase::Serving,
            reason: Arc::from("first start"),
        });
    }
    fold(state, changes);
}
