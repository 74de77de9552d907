//! Counts of waiting jobs that the leaders of the pools store.

use std::collections::BTreeMap;

use crate::error::Result;
use crate::model::id::{PoolId, QueueId};
use crate::node::store_keys;
use crate::platform::store::StoreItem;

/// Sums the waiting jobs of a queue over the counts of all pools. `None` if one of `pools` has no count, which says
/// nothing about its jobs; counts of other pools, for example removed ones, make up for none.
///
/// # Errors
/// `bad_record` if a count is malformed.
pub fn sum<'a>(
    items: &[StoreItem],
    pools: impl IntoIterator<Item = &'a PoolId>,
    queue: &QueueId,
) -> Result<Option<u32>> {
    let mut waiting = 0_u32;
    for item in items {
        let counts: BTreeMap<QueueId, u32> = store_keys::decode(&item.key, &item.value)?;
        waiting = waiting.saturating_add(counts.get(queue).copied().unwrap_or(0));
    }
    let has_count = |pool: &PoolId| {
        let key = store_keys::waiting_counts_key(pool);
        items.iter().any(|item| item.key == key)
    };
    Ok(pools.into_iter().all(has_count).then_some(waiting))
}
