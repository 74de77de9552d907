//! The transaction that stores a pool's progress.

use std::collections::BTreeMap;

use crate::dispatch::load_digest::LoadDigest;
use crate::dispatch::pool_plan::PoolReport;
use crate::dispatch::pool_scheduler::{FlushBatch, JobKey};
use crate::error::Result;
use crate::model::id::{LeaseId, PoolId, QueueId};
use crate::node::store_keys;
use crate::platform::store::StoreTransaction;

/// Records of the leader that are due; absent ones stay as they are stored.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaderRecords<'a> {
    /// Report of the pool.
    pub report: Option<&'a PoolReport>,
    /// Waiting jobs by queue, with the node's lease that removes them when the leader is lost.
    pub counts: Option<&'a (LeaseId, BTreeMap<QueueId, u32>)>,
    /// Digest of load, with the lease like the counts.
    pub digest: Option<&'a (LeaseId, LoadDigest)>,
}

/// Encodes the changes of jobs and the due records of the leader. Summaries of ended jobs are attached to
/// `retention_lease`, if there is one.
///
/// # Errors
/// `internal` if a record cannot be encoded.
pub fn encode(
    pool: &PoolId,
    batch: &FlushBatch,
    records: &LeaderRecords<'_>,
    retention_lease: Option<LeaseId>,
) -> Result<StoreTransaction> {
    let mut write = StoreTransaction::default();
    for job in &batch.jobs {
        if let Some(summary) = &job.summary {
            let lease = retention_lease.filter(|_| summary.ended_at.is_some());
            write.put(
                store_keys::summary_key(&job.job),
                store_keys::encode(summary)?,
                lease,
            );
        }
        if let Some(progress) = &job.progress {
            let key = store_keys::progress_key(pool, &job.job);
            write.put(key, store_keys::encode(progress)?, None);
        }
        for key in &job.deletes {
            write.deletes.push(match key {
                JobKey::Submission => store_keys::inbox_key(pool, &job.job),
                JobKey::Progress => store_keys::progress_key(pool, &job.job),
                JobKey::Cancellation => store_keys::cancel_key(pool, &job.job),
            });
        }
    }
    for job in &batch.stale_cancels {
        write.deletes.push(store_keys::cancel_key(pool, job));
    }
    if let Some(report) = records.report {
        write.put(store_keys::report_key(pool), store_keys::encode(report)?, None);
    }
    if let Some((lease, counts)) = records.counts {
        let key = store_keys::waiting_counts_key(pool);
        write.put(key, store_keys::encode(counts)?, Some(*lease));
    }
    if let Some((lease, digest)) = records.digest {
        let key = store_keys::load_key(pool);
        write.put(key, store_keys::encode(digest)?, Some(*lease));
    }
    Ok(write)
}
