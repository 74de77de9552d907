//! Records that a pool's new leader reads before it decides.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use slog::warn;

use crate::dispatch::job_record::JobProgress;
use crate::dispatch::pool_plan::{PoolPlan, PoolReport};
use crate::error::Result;
use crate::model::id::{JobId, PoolId};
use crate::node::node_context::{NodeContext, STORE_TIMEOUT};
use crate::node::store_keys;
use crate::platform::store::StoreItem;

/// Records of a pool under earlier leaders.
#[derive(Debug, Default)]
pub struct PoolRecords {
    /// Progress of jobs that have not ended; a job without progress has not started.
    pub progress: BTreeMap<JobId, JobProgress>,
    /// The former leader's last report; empty if there is none.
    pub report: PoolReport,
    /// The newest plan for the pool; the default if there is none.
    pub plan: PoolPlan,
}

/// Reads the records of a pool.
///
/// # Errors
/// The store's error.
pub async fn read(context: &NodeContext, pool: &PoolId) -> Result<PoolRecords> {
    let (items, _) = context
        .store
        .range(&store_keys::progress_prefix(pool), STORE_TIMEOUT)
        .await?;
    let mut records = PoolRecords::default();
    for item in &items {
        match JobId::new(store_keys::last_segment(&item.key)) {
            Ok(job) => records
                .progress
                .extend(decode_record(context, Some(item)).map(|progress| (job, progress))),
            Err(error) => warn!(context.log, "record ignored"; "key" => &*item.key, "error" => %error),
        }
    }
    let report = context
        .store
        .get(&store_keys::report_key(pool), STORE_TIMEOUT)
        .await?;
    records.report = decode_record(context, report.as_ref()).unwrap_or_default();
    let plan = context
        .store
        .get(&store_keys::plan_key(pool), STORE_TIMEOUT)
        .await?;
    records.plan = decode_record(context, plan.as_ref()).unwrap_or_default();
    Ok(records)
}

/// Decodes a record. `None` if there is no item, or if the record is malformed, which is logged.
pub fn decode_record<T: DeserializeOwned>(context: &NodeContext, item: Option<&StoreItem>) -> Option<T> {
    let item = item?;
    match store_keys::decode(&item.key, &item.value) {
        Ok(record) => Some(record),
        Err(error) => {
            let key: Arc<str> = Arc::clone(&item.key);
            warn!(context.log, "record ignored"; "key" => &*key, "error" => %error);
            None
        }
    }
}
