//! Detection of stale responses of the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::StoreRevision;

/// The highest store revision that this process has seen. A response with a lower revision than was already
/// seen when the request was sent contains stale data. Clones share the revision.
#[derive(Debug, Clone, Default)]
pub struct RevisionWatermark {
    highest: Arc<AtomicU64>,
    stale_count: Arc<AtomicU64>,
}

impl RevisionWatermark {
    /// Checks the store revision `head` of a response and raises the watermark to it. `floor` is the
    /// watermark at the time when the request was sent.
    ///
    /// # Errors
    /// `store_unavailable` if `head` is below `floor`; the response is stale and must not be used.
    pub fn observe(&self, floor: StoreRevision, head: StoreRevision) -> Result<()> {
        self.highest.fetch_max(head.get(), Ordering::AcqRel);
        if head >= floor {
            return Ok(());
        }
        self.stale_count.fetch_add(1, Ordering::Relaxed);
        let message = format!("the store answered with revision {head}, older than {floor} seen before");
        Err(Error::new(ErrorKind::StoreUnavailable, message))
    }

    /// The highest store revision seen so far.
    pub fn highest(&self) -> StoreRevision {
        StoreRevision::new(self.highest.load(Ordering::Acquire))
    }

    /// Number of responses that were rejected as stale.
    pub fn stale_count(&self) -> u64 {
        self.stale_count.load(Ordering::Relaxed)
    }
}
