//! Division of the organisations' limits among pools.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use figloft::dispatch::allowance_split::PoolDemand;
use figloft::dispatch::limit_turns::LimitTurns;
use figloft::dispatch::pool_plan::NextStart;
use figloft::model::amount::{MemoryMib, MilliCores};
use figloft::model::id::{OrganisationId, PoolId};
use figloft::model::resource::ResourceSet;
use figloft::model::unix_time::UnixMillis;

use crate::measure::{self, Scale, Series};

/// Pools and organisations at the future size.
const POOLS: usize = 226;
const ORGANISATIONS: usize = 86;

fn amounts(units: u64) -> ResourceSet {
    ResourceSet::new(MilliCores::new(units * 500), MemoryMib::new(units * 1_000))
}

/// Demand of each pool, all in use and waiting, so that the limit is contended.
fn demands(pools: usize) -> BTreeMap<PoolId, PoolDemand> {
    let demands = (0..pools as u64).map(|number| {
        let used = amounts(number % 7);
        let demand = PoolDemand {
            ceiling: used,
            used,
            wanted: amounts(50 + number % 31),
            next_start: Some(NextStart {
                demand: amounts(1 + number % 12),
                accepted_at: UnixMillis::new(number),
            }),
            ..PoolDemand::default()
        };
        (PoolId::new(format!("pool-{number}")).expect("pool"), demand)
    });
    demands.collect()
}

/// Processor time of one division of all limits.
fn split_all(pools: usize, organisations: usize) -> f64 {
    let demands = demands(pools);
    let limit = amounts(20 * pools as u64);
    let organisations = (0..organisations).map(|number| OrganisationId::new(format!("org-{number}")));
    let organisations: Vec<OrganisationId> = organisations.map(|id| id.expect("organisation")).collect();
    let mut turns = LimitTurns::default();
    let mut now = Instant::now();
    measure::micros(|| {
        now += Duration::from_millis(100);
        for organisation in &organisations {
            turns.split(now, organisation, limit, demands.clone());
        }
    })
}

pub fn measure() -> Vec<Series> {
    let name = "limits: one division of all";
    let mut by_pools = Series::new(name, "us", "pools, 86 organisations", Scale::Linear);
    for pools in [2, 10, 50, POOLS] {
        by_pools
            .points
            .push((pools as f64, split_all(pools, ORGANISATIONS)));
    }
    let mut by_organisations = Series::new(name, "us", "organisations, 226 pools", Scale::Linear);
    for organisations in [2, 10, 40, ORGANISATIONS] {
        let micros = split_all(POOLS, organisations);
        by_organisations.points.push((organisations as f64, micros));
    }
    vec![by_pools, by_organisations]
}
