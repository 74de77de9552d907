//! Shows operators which zones are under evacuation and what still runs there. Any node can answer, from the store.

use std::collections::BTreeMap;

use http::{Response, StatusCode};
use serde::Serialize;

use crate::dispatch::pool_plan::{PoolReport, ZoneRuns};
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{PoolId, StoreRevision, ZoneId};
use crate::node::node_context::{NodeContext, STORE_TIMEOUT};
use crate::node::{pool_records, store_keys};
use crate::platform::zone_evacuation::{self, EVACUATION_PREFIX};
use crate::request::response;
use crate::request::response_stream::ResponseStream;

/// Path of the page.
pub const EVACUATIONS_PATH: &str = "/evacuations";

#[derive(Debug, Serialize)]
struct EvacuationsAnswer {
    zones: BTreeMap<ZoneId, EvacuatedZone>,
}

#[derive(Debug, Serialize)]
struct EvacuatedZone {
    /// Revision of the store at which the evacuation was requested.
    revision: StoreRevision,
    /// Runs left in the zone, as of the last report of each pool that has workers there.
    pools: BTreeMap<PoolId, ZoneRuns>,
}

/// Response to a request for the page.
pub async fn show(context: &NodeContext) -> Response<ResponseStream> {
    match read(context).await {
        Ok(answer) => response::json_response(StatusCode::OK, &answer),
        Err(error) => response::error_response(&error),
    }
}

async fn read(context: &NodeContext) -> Result<EvacuationsAnswer> {
    if context.settings.evacuation_bound.is_none() {
        let message = "the settings have no bounds.evacuate-ms, so that zones are not evacuated";
        return Err(Error::new(ErrorKind::NotFound, message));
    }
    let (requests, _) = context.store.range(EVACUATION_PREFIX, STORE_TIMEOUT).await?;
    let requests = requests.iter().filter_map(|item| {
        let zone = zone_evacuation::parse_zone(&item.key).ok()?;
        Some((zone, item.revision))
    });
    let mut zones: BTreeMap<ZoneId, EvacuatedZone> = requests
        .map(|(zone, revision)| {
            let pools = BTreeMap::new();
            (zone, EvacuatedZone { revision, pools })
        })
        .collect();
    if zones.is_empty() {
        return Ok(EvacuationsAnswer { zones });
    }
    let (reports, _) = context
        .store
        .range(store_keys::REPORT_PREFIX, STORE_TIMEOUT)
        .await?;
    for item in &reports {
        let report = pool_records::decode_record::<PoolReport>(context, Some(item));
        let pool = PoolId::new(store_keys::last_segment(&item.key));
        let (Some(report), Ok(pool)) = (report, pool) else {
            continue;
        };
        for (zone, runs) in report.zone_runs {
            if let Some(evacuated) = zones.get_mut(&zone) {
                evacuated.pools.insert(pool.clone(), runs);
            }
        }
    }
    Ok(EvacuationsAnswer { zones })
}
