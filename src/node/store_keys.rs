//! Keys and encoding of figloft's own records in the platform's store. Some keys keep older words, such as
//! `duty` for a role.

use std::sync::Arc;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{JobId, PoolId};

/// Prefix of the records that name the sessions leading roles.
pub const LEADER_PREFIX: &str = "duty/";

/// Prefix of the pools' counts of waiting jobs.
pub const WAITING_PREFIX: &str = "wait/";

/// Prefix of the reports of pool leaders.
pub const REPORT_PREFIX: &str = "report/";

/// Prefix of the plans that the fleet leader sets for pools.
pub const PLAN_PREFIX: &str = "plan/";

/// Prefix of the progress of maintenance waves.
pub const WAVE_PREFIX: &str = "wave/";

/// Prefix of the digests of load for the admission of submissions.
pub const LOAD_PREFIX: &str = "load/";

/// Key of the number of workers that each pool could have. Names of pools contain no slash.
pub const GROWTH_KEY: &str = "load/fleet/growth";

/// Suffix of the key of a cancellation in a pool's inbox.
const CANCEL_SUFFIX: &str = ".cancel";

/// Key of the session that leads a role.
pub fn leader_key(role: &str) -> Arc<str> {
    format!("{LEADER_PREFIX}{role}").into()
}

/// Key of a role's term record.
pub fn term_key(role: &str) -> Arc<str> {
    format!("term/{role}").into()
}

/// Key of a job's summary.
pub fn summary_key(job: &JobId) -> Arc<str> {
    format!("job/{job}").into()
}

/// Prefix of a pool's inbox, which holds submissions and cancellations of jobs.
pub fn inbox_prefix(pool: &PoolId) -> Arc<str> {
    format!("in/{pool}/").into()
}

/// Key of a job's submission.
pub fn inbox_key(pool: &PoolId, job: &JobId) -> Arc<str> {
    format!("in/{pool}/{job}").into()
}

/// Key of a job's cancellation.
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

/// Key of a pool's counts of waiting jobs.
pub fn waiting_counts_key(pool: &PoolId) -> Arc<str> {
    format!("{WAITING_PREFIX}{pool}").into()
}

/// Key of a pool's digest of load.
pub fn load_key(pool: &PoolId) -> Arc<str> {
    format!("{LOAD_PREFIX}{pool}").into()
}

/// Key of a pool's report.
pub fn report_key(pool: &PoolId) -> Arc<str> {
    format!("{REPORT_PREFIX}{pool}").into()
}

/// Key of a pool's plan.
pub fn plan_key(pool: &PoolId) -> Arc<str> {
    format!("{PLAN_PREFIX}{pool}").into()
}

/// The part of a key after its last slash.
pub fn last_segment(key: &str) -> &str {
    key.rsplit('/').next().unwrap_or(key)
}

/// The job of a key in an inbox, and whether the key is a cancellation.
///
/// # Errors
/// `bad_request` if the last segment is not a valid job name, with or without the suffix of a cancellation.
pub fn parse_inbox_key(key: &str) -> Result<(JobId, bool)> {
    let name = last_segment(key);
    match name.strip_suffix(CANCEL_SUFFIX) {
        Some(job) => Ok((JobId::new(job)?, true)),
        None => Ok((JobId::new(name)?, false)),
    }
}

/// Encodes a record as JSON.
///
/// # Errors
/// `internal` if the record cannot be encoded.
pub fn encode(record: &impl Serialize) -> Result<Bytes> {
    serde_json::to_vec(record)
        .map(Bytes::from)
        .map_err(|error| Error::new(ErrorKind::Internal, format!("record: {error}")))
}

/// Decodes a record from JSON.
///
/// # Errors
/// `bad_record` if the record is malformed; the message names the key and the cause.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|error| Error::new(ErrorKind::BadRecord, format!("{key}: {error}")))
}
