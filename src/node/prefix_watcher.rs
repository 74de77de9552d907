//! Watches all keys with a prefix in the store.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::model::id::StoreRevision;
use crate::node::node_context;
use crate::platform::store::{StoreApiClient, StoreEvent, StoreItem, WatchResponse};

/// Time for which the store holds a watch request open while nothing changes. It bounds the time until a dead
/// connection is noticed.
pub const LONG_POLL_WAIT: Duration = Duration::from_millis(1_500);

/// Time limit of reading one page of up to a megabyte, which a small instance decodes slowly.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// What has changed under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrefixUpdate {
    /// All items. A key that is missing did not exist when the reading began; changes since then follow.
    Snapshot(Vec<StoreItem>),
    /// Changes since the previous update.
    Changes(Vec<StoreEvent>),
}

impl PrefixUpdate {
    /// The items that were read or written; removals are left out.
    pub fn into_items(self) -> Vec<StoreItem> {
        match self {
            Self::Snapshot(items) => items,
            Self::Changes(events) => events.into_iter().filter_map(written_item).collect(),
        }
    }
}

fn written_item(event: StoreEvent) -> Option<StoreItem> {
    match event {
        StoreEvent::Written(item) => Some(item),
        StoreEvent::Removed(_) => None,
    }
}

/// Watches a prefix in a new task, which sends each update as an event until the receiver is dropped.
pub fn spawn<E: Send + 'static>(
    store: &StoreApiClient,
    prefix: Arc<str>,
    batch_interval: Duration,
    log: &Logger,
    sender: &mpsc::UnboundedSender<E>,
    wrap: fn(PrefixUpdate) -> E,
) -> JoinHandle<()> {
    let (store, log, sender) = (store.clone(), log.clone(), sender.clone());
    let on_update = move |update| sender.send(wrap(update)).is_ok();
    tokio::spawn(async move { watch_prefix(store, &prefix, batch_interval, &log, on_update).await })
}

/// Watches a prefix until `on_update` returns false. Starts with a snapshot; further snapshots follow only
/// when the store has compacted its history. Changes within `batch_interval` of an update are passed on
/// together.
pub async fn watch_prefix(
    store: StoreApiClient,
    prefix: &str,
    batch_interval: Duration,
    log: &Logger,
    mut on_update: impl FnMut(PrefixUpdate) -> bool,
) {
    let mut revision: Option<StoreRevision> = None;
    let mut failures = 0_u32;
    let mut delay = node_context::store_retry_delay();
    loop {
        let outcome = read_or_watch(&store, prefix, &mut revision).await;
        match outcome {
            Ok(update) => {
                if failures > 0 {
                    info!(log, "store regained"; "prefix" => prefix, "faults" => failures);
                }
                failures = 0;
                delay.reset();
                let has_update = update.is_some();
                if update.is_some_and(|update| !on_update(update)) {
                    return;
                }
                if has_update {
                    tokio::time::sleep(batch_interval).await;
                }
            }
            Err(error) => {
                if failures == 0 {
                    warn!(log, "store lost"; "prefix" => prefix, "error" => %error);
                }
                failures += 1;
                let pause = delay.next_delay(&mut rand::rng());
                store.pause(pause).await;
            }
        }
    }
}

/// Reads a snapshot if no revision is known, otherwise waits for changes once.
async fn read_or_watch(
    store: &StoreApiClient,
    prefix: &str,
    revision: &mut Option<StoreRevision>,
) -> crate::error::Result<Option<PrefixUpdate>> {
    let Some(after) = *revision else {
        let (items, as_of) = store.range(prefix, READ_TIMEOUT).await?;
        *revision = Some(as_of);
        return Ok(Some(PrefixUpdate::Snapshot(items)));
    };
    match store.watch(prefix, after, LONG_POLL_WAIT).await? {
        WatchResponse::Compacted => {
            *revision = None;
            Ok(None)
        }
        WatchResponse::Events(events, as_of) => {
            *revision = Some(as_of.max(after));
            Ok((!events.is_empty()).then_some(PrefixUpdate::Changes(events)))
        }
    }
}
