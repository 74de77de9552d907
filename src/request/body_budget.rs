//! Decides which request bodies a process accepts, so that all bodies it holds fit into its memory.
//!
//! Load: any number of callers that send the largest legal body at the same time, most of which stop short of
//! its end.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Part of the process's memory that bodies may hold.
const MEMORY_DIVISOR: u64 = 4;
/// Memory of a process whose settings name no limit, in bytes: the budget is then 64 MB.
pub const DEFAULT_MEMORY_BYTES: u64 = 256_000_000;
/// Part of the budget that one owner may hold.
const OWNER_DIVISOR: u64 = 2;

/// Who pays for a body: an organisation, or `None` for all callers without a key together.
pub type BodyOwner = Option<Arc<str>>;

/// Why a body is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum BudgetRefusal {
    /// The bodies of all callers use up the budget.
    #[display("the bodies of other requests use up the memory for bodies")]
    Full,
    /// The bodies of the owner use up its part of the budget.
    #[display("the bodies of this organisation use up its part of the memory for bodies")]
    OwnerShare,
}

/// Bytes reserved for the bodies of all connections of a process. A body is reserved with its declared length
/// before its first byte is read, and released when its request has been answered.
#[derive(Debug)]
pub struct BodyBudget {
    limit: u64,
    used: u64,
    peak: u64,
    owners: BTreeMap<BodyOwner, u64>,
}

impl BodyBudget {
    /// Creates the budget of a process with this much memory, in bytes.
    pub fn for_memory(memory: u64) -> Self {
        Self {
            limit: memory / MEMORY_DIVISOR,
            used: 0,
            peak: 0,
            owners: BTreeMap::new(),
        }
    }

    /// Reserves the declared length of a body. An owner without other bodies may exceed its part, and any body
    /// fits an empty budget, so that a single request within the limits is always served.
    ///
    /// # Errors
    /// Which part of the budget is used up.
    pub fn reserve(&mut self, owner: &BodyOwner, bytes: u64) -> Result<(), BudgetRefusal> {
        if self.used > 0 && self.used + bytes > self.limit {
            return Err(BudgetRefusal::Full);
        }
        let held = self.owners.get(owner).copied().unwrap_or(0);
        if held > 0 && held + bytes > self.limit / OWNER_DIVISOR {
            return Err(BudgetRefusal::OwnerShare);
        }
        self.used += bytes;
        self.peak = self.peak.max(self.used);
        self.owners.insert(owner.clone(), held + bytes);
        Ok(())
    }

    /// Releases a reservation.
    pub fn release(&mut self, owner: &BodyOwner, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
        let Some(held) = self.owners.get_mut(owner) else {
            return;
        };
        *held = held.saturating_sub(bytes);
        if *held == 0 {
            self.owners.remove(owner);
        }
    }

    /// Reserved bytes.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Largest number of reserved bytes so far.
    pub fn peak(&self) -> u64 {
        self.peak
    }

    /// Bytes that may be reserved.
    pub fn limit(&self) -> u64 {
        self.limit
    }
}
