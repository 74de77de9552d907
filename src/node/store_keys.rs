//! Keys of figloft's own records in the platform's store, and their encoding.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{JobId, PoolId};

/// Prefix of the holders of duties.
pub const LEADER_PREFIX: &str = "duty/";

/// Prefix of the pools' waiting counts.
pub const WAITING_PREFIX: &str = "wait/";

/// Prefix of the pools' reports.
pub const REPORT_PREFIX: &str = "report/";

/// Prefix of the pools' plans.
pub const PLAN_PREFIX: &str = "plan/";

/// Prefix of the progress of waves.
pub const WAVE_PREFIX: &str = "wave/";

/// Ending of the key of a cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// Key of a duty's holder.
pub fn leader_key(duty: &str) -> Arc<str> {
    format!("{LEADER_PREFIX}{duty}").into()
}

/// Key of a duty's term.
pub fn term_key(duty: &str) -> Arc<str> {
    format!("term/{duty}").into()
}

/// Key of a job's state.
pub fn summary_key(job: &JobId) -> Arc<str> {
    format!("job/{job}").into()
}

/// Prefix of the submitted jobs of a pool.
pub fn inbox_prefix(pool: &PoolId) -> Arc<str> {
    format!("in/{pool}/").into()
}

/// Key of a submitted job.
pub fn inbox_key(pool: &PoolId, job: &JobId) -> Arc<str> {
    format!("in/{pool}/{job}").into()
}

/// Key of a cancellation.
pub fn cancel_key(pool: &PoolId, job: &JobId) -> Arc<str> {
    format!("in/{pool}/{job}{CANCEL_SUFFIX}").into()
}

/// Prefix of the progress of a pool's jobs.
pub fn progress_prefix(pool: &PoolId) -> Arc<str> {
    format!("pr/{pool}/").into()
}

/// Key of a job's progress.
pub fn progress_key(pool: &PoolId, job: &JobId) -> Arc<str> {
    format!("pr/{pool}/{job}").into()
}

/// Key of a pool's waiting counts.
pub fn waiting_counts_key(pool: &PoolId) -> Arc<str> {
    format!("{WAITING_PREFIX}{pool}").into()
}

/// Key of a pool's report.
pub fn report_key(pool: &PoolId) -> Arc<str> {
    format!("{REPORT_PREFIX}{pool}").into()
}

/// Key of a pool's plan.
pub fn plan_key(pool: &PoolId) -> Arc<str> {
    format!("{PLAN_PREFIX}{pool}").into()
}

/// Last part of a key.
pub fn last_segment(key: &str) -> &str {
    key.rsplit('/').next().unwrap_or(key)
}

/// Job of an inbox key, and whether the key is a cancellation.
///
/// # Errors
/// `bad_request` if the key does not end with a job's id.
pub fn parse_inbox_key(key: &str) -> Result<(JobId, bool)> {
    let name = last_segment(key);
    match name.strip_suffix(CANCEL_SUFFIX) {
        Some(job) => Ok((JobId::new(job)?, true)),
        None => Ok((JobId::new(name)?, false)),
    }
}

/// Encodes a record.
///
/// # Errors
/// `internal` if it cannot be encoded.
pub fn encode(record: &impl Serialize) -> Result<Bytes> {
    serde_json::to_vec(record)
        .map(Bytes::from)
        .map_err(|error| Error::new(ErrorKind::Internal, format!("record: {error}")))
}

/// Decodes a record.
///
/// # Errors
/// `bad_record` that names the key and the fault.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|error| Error::new(ErrorKind::BadRecord, format!("{key}: {error}")))
}
