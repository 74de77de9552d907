//! Writes the state that the trial begins with: records, instances in service, and no holder of the duty.

use std::sync::Arc;

use crate::clock::SharedClock;
use crate::error::Result;
use crate::journal::entry::{EntryActor, EntryChange};
use crate::journal::fleet_state::FleetState;
use crate::journal::member::MemberPhase;
use crate::model::id::SessionId;
use crate::port::store::client::StoreClient;
use crate::port::worker::call::WorkerCall;
use crate::record::document::RecordDocument;
use crate::trial::stand_ins::TrialStandIns;
use crate::version::accepted::AcceptedVersion;
use crate::version::entry_log::EntryLog;
use crate::version::journal_reader::JournalReader;
use crate::version::journal_writer::JournalWriter;

/// Name of the session in whose name the first entries are written.
const SETUP_SESSION: &str = "trial-setup";

/// Writes the first entries and lets each stand-in worker join its pool.
///
/// # Errors
/// Errors of the store or of a worker.
pub async fn write_fleet(
    stand_ins: &TrialStandIns,
    clock: &SharedClock,
    records: Vec<RecordDocument>,
) -> Result<()> {
    let log = EntryLog::new(AcceptedVersion::default());
    let client = StoreClient::memory(stand_ins.store.clone());
    let reader = JournalReader::new(client, log, Arc::clone(clock));
    let session: SessionId = SETUP_SESSION.parse()?;
    let writer = JournalWriter::new(reader.clone(), session.clone(), Arc::clone(clock));
    let actor = EntryActor::System(session.clone());
    let holder = session.clone();
    let take = EntryChange::TakeDuty { session };
    append(&writer, &actor, vec![take]).await?;
    let put = records.into_iter().map(|document| EntryChange::PutRecord {
        document,
        expected: None,
    });
    append(&writer, &actor, put.collect()).await?;
    append(&writer, &actor, additions(stand_ins)).await?;
    append(&writer, &actor, serving(stand_ins)).await?;
    append(
        &writer,
        &actor,
        vec![EntryChange::ReleaseDuty { session: holder }],
    )
    .await?;
    join_workers(stand_ins, &reader.log().current())
}

async fn append(writer: &JournalWriter, actor: &EntryActor, changes: Vec<EntryChange>) -> Result<()> {
    let build = |_: &FleetState| Ok(changes.clone());
    writer.append(actor.clone(), build).await.map(drop)
}

fn additions(stand_ins: &TrialStandIns) -> Vec<EntryChange> {
    let additions = stand_ins.instances.iter().map(|sample| EntryChange::AddInstance {
        instance: sample.instance.clone(),
        pool: sample.pool.clone(),
        place: sample.place.clone(),
    });
    additions.collect()
}

fn serving(stand_ins: &TrialStandIns) -> Vec<EntryChange> {
    let phases = stand_ins.instances.iter().map(|sample| EntryChange::SetPhase {
        instance: sample.instance.clone(),
        phase: MemberPhase::Serving,
        reason: Arc::from("the trial begins with it in service"),
    });
    phases.collect()
}

fn join_workers(stand_ins: &TrialStandIns, state: &FleetState) -> Result<()> {
    for (instance, member) in &state.members {
        let generation = member.generation;
        stand_ins
            .workers
            .call(instance, &WorkerCall::Join { generation })?;
    }
    Ok(())
}
