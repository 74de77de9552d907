//! Refusal of answers that are older than one already seen.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::StoreRevision;

/// Highest store revision seen by this process. A store that answers with stale data shows a lower one.
#[derive(Debug, Clone, Default)]
pub struct RevisionWatermark {
    highest: Arc<AtomicU64>,
    stale_count: Arc<AtomicU64>,
}

impl RevisionWatermark {
    /// Takes the head of an answer to a call; `floor` is the highest revision seen when the call was sent.
    ///
    /// # Errors
    /// `store_unavailable` if the head is below the floor; the answer must not be used.
    pub fn observe(&self, floor: StoreRevision, head: StoreRevision) -> Result<()> {
        self.highest.fetch_max(head.get(), Ordering::AcqRel);
        if head >= floor {
            return Ok(());
        }
        self.stale_count.fetch_add(1, Ordering::Relaxed);
        let message = format!("the store answered with revision {head}, older than {floor} seen before");
        Err(Error::new(ErrorKind::StoreUnavailable, message))
    }

    /// Highest store revision seen.
    pub fn highest(&self) -> StoreRevision {
        StoreRevision::new(self.highest.load(Ordering::Acquire))
    }

    /// Number of answers refused as stale.
    pub fn stale_count(&self) -> u64 {
        self.stale_count.load(Ordering::Relaxed)
    }
}
