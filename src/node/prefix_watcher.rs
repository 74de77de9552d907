//! Follows all keys with a prefix in the store.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::model::id::StoreRevision;
use crate::node::node_context;
use crate::platform::store::{StoreApiClient, StoreEvent, StoreItem, WatchResponse};

/// Time for which a watch waits for a change. A connection that went silent is found after it.
pub const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// Time for reading one page of up to a megabyte, which takes a small instance its time to decode.
const READ_TIMEOUT: Duration = Duration::from_secs(4);

/// News of a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrefixUpdate {
    /// All items as read just now; what is not among them does not exist.
    Complete(Vec<StoreItem>),
    /// Changes since the last news.
    Changes(Vec<StoreEvent>),
}

impl PrefixUpdate {
    /// The items that were read or written.
    pub fn into_items(self) -> Vec<StoreItem> {
        match self {
            Self::Complete(items) => items,
            Self::Changes(events) => events.into_iter().filter_map(written).collect(),
        }
    }
}

fn written(event: StoreEvent) -> Option<StoreItem> {
    match event {
        StoreEvent::Written(item) => Some(item),
        StoreEvent::Removed(_) => None,
    }
}

/// Follows a prefix in a task of its own and sends the news as events, until nobody receives them.
pub fn spawn<E: Send + 'static>(
    store: &StoreApiClient,
    prefix: Arc<str>,
    gap: Duration,
    log: &Logger,
    sender: &mpsc::UnboundedSender<E>,
    wrap: fn(PrefixUpdate) -> E,
) -> JoinHandle<()> {
    let (store, log, sender) = (store.clone(), log.clone(), sender.clone());
    let take = move |news| sender.send(wrap(news)).is_ok();
    tokio::spawn(async move { follow(store, &prefix, gap, &log, take).await })
}

/// Follows a prefix until `take` returns false. Changes that come within `gap` are taken together.
pub async fn follow(
    store: StoreApiClient,
    prefix: &str,
    gap: Duration,
    log: &Logger,
    mut take: impl FnMut(PrefixUpdate) -> bool,
) {
    let mut position: Option<StoreRevision> = None;
    let mut faults = 0_u32;
    let mut delay = node_context::store_delay();
    loop {
        let outcome = step(&store, prefix, &mut position).await;
        match outcome {
            Ok(news) => {
                if faults > 0 {
                    info!(log, "store regained"; "prefix" => prefix, "faults" => faults);
                }
                faults = 0;
                delay.reset();
                let has_news = news.is_some();
                if news.is_some_and(|news| !take(news)) {
                    return;
                }
                if has_news {
                    tokio::time::sleep(gap).await;
                }
            }
            Err(error) => {
                if faults == 0 {
                    warn!(log, "store lost"; "prefix" => prefix, "error" => %error);
                }
                faults += 1;
                let pause = delay.draw(&mut rand::rng());
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Reads or watches once.
async fn step(
    store: &StoreApiClient,
    prefix: &str,
    position: &mut Option<StoreRevision>,
) -> crate::error::Result<Option<PrefixUpdate>> {
    let Some(after) = *position else {
        let (items, as_of) = store.range(prefix, READ_TIMEOUT).await?;
        *position = Some(as_of);
        return Ok(Some(PrefixUpdate::Complete(items)));
    };
    match store.watch(prefix, after, WATCH_WAIT).await? {
        WatchResponse::Compacted => {
            *position = None;
            Ok(None)
        }
        WatchResponse::Events(events, as_of) => {
            *position = Some(as_of.max(after));
            Ok((!events.is_empty()).then_some(PrefixUpdate::Changes(events)))
        }
    }
}
