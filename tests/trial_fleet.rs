//! The trial's sample fleets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use figloft::clock::{SharedClock, SystemClock};
use figloft::journal::member::MemberPhase;
use figloft::port::store::client::StoreClient;
use figloft::trial::sample::TrialUser;
use figloft::trial::setup;
use figloft::trial::stand_ins::TrialStandIns;
use figloft::version::accepted::AcceptedVersion;
use figloft::version::entry_log::EntryLog;
use figloft::version::journal_reader::JournalReader;

const USERS: [TrialUser; 2] = [TrialUser::Guardanieve, TrialUser::Dialworks];

/// Guards against a sample fleet of another size than the users' fleets of today: pools of 8 to 12 instances, at most
/// four of a zone in one rack, each pool in every zone.
#[test]
fn sample_fleets_have_todays_sizes() {
    for user in USERS {
        let instances = user.instances().expect("instances");
        let (mut pools, mut racks) = (BTreeMap::new(), BTreeMap::new());
        let mut zones: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
        for sample in &instances {
            *pools.entry(sample.pool.clone()).or_insert(0) += 1;
            *racks.entry(sample.place.rack.clone()).or_insert(0) += 1;
            zones
                .entry(sample.pool.clone())
                .or_default()
                .insert(sample.zone.clone());
        }
        assert!(pools.values().all(|count| (8..=12).contains(count)), "{pools:?}");
        assert!(racks.values().all(|count| *count <= 4), "{racks:?}");
        assert!(zones.values().all(|zones| zones.len() == 4), "{zones:?}");
        let (records, plans) = user.documents_and_plans().expect("samples");
        assert_eq!(plans.len(), 1);
        let with_record: BTreeSet<_> = records
            .iter()
            .filter(|r| r.kind.to_string() == "pool")
            .map(|r| r.id.to_string())
            .collect();
        let with_instances: BTreeSet<_> = pools.keys().map(ToString::to_string).collect();
        assert_eq!(with_instances, with_record);
    }
}

/// Guards against a trial that begins with a fleet that is not in service, or with a duty that nobody gives up.
#[tokio::test]
async fn the_trial_begins_with_a_fleet_in_service() {
    for user in USERS {
        let clock: SharedClock = Arc::new(SystemClock);
        let instances = user.instances().expect("instances");
        let count = instances.len();
        let stand_ins = TrialStandIns::start(Arc::clone(&clock), instances)
            .await
            .expect("stand-ins start");
        let (records, _) = user.documents_and_plans().expect("samples");
        setup::write_fleet(&stand_ins, &clock, records)
            .await
            .expect("fleet is written");
        let log = EntryLog::new(AcceptedVersion::default());
        let reader = JournalReader::new(StoreClient::memory(stand_ins.store.clone()), log, clock);
        reader.catch_up().await.expect("journal reads");
        let state = reader.log().current();
        assert_eq!(state.members.len(), count);
        assert!(
            state
                .members
                .values()
                .all(|member| member.phase == MemberPhase::Serving)
        );
        assert!(state.duty.is_none());
    }
}
