//! Watches the requests to evacuate zones and keeps a leader's view of them confirmed.
//!
//! Differs from `prefix_watcher` in that an answer without changes counts too, and that a failed watch is followed by a
//! short read: the view must not become too old because one answer was lost.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::clock::SharedClock;
use crate::dispatch::evacuated_zones::{self, EvacuatedZones, ZoneChange};
use crate::error::Result;
use crate::model::id::{StoreRevision, ZoneId};
use crate::node::node_context::{self, NodeContext};
use crate::platform::store::{StoreApiClient, StoreEvent, WatchResponse};
use crate::platform::zone_evacuation::{self, EVACUATION_PREFIX};

/// Maximum time for which the store holds a watch open.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(1);

/// Time for which the store holds a watch open, as part of the greatest age of a view. That age is 3.5 s with the usual
/// bound of 5 s, and covers two watches of 1 s, of which the second fails 0.7 s late, and the read after it.
const LONG_POLL_PART: f64 = 2.0 / 7.0;

/// Time limit of a read. The store answers within some tens of milliseconds when it is slow.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Number of ignored keys that are remembered, so that each is logged once.
const MAX_IGNORED_KEYS: usize = 64;

/// The view of one leader, shared with what sends its commands.
pub type ZoneReceiver = watch::Receiver<EvacuatedZones>;

/// Starts to watch in a new task if the settings give a bound. The task sends `event` after each answer of the store,
/// until the receiver of events is dropped.
pub fn spawn<E: Send + 'static>(
    context: &NodeContext,
    log: &Logger,
    sender: &mpsc::UnboundedSender<E>,
    event: fn() -> E,
) -> (ZoneReceiver, Option<JoinHandle<()>>) {
    let Some(bound) = context.settings.evacuation_bound else {
        return (watch::channel(EvacuatedZones::default()).1, None);
    };
    let long_poll_wait = evacuated_zones::max_age(bound).mul_f64(LONG_POLL_PART);
    let (view, receiver) = watch::channel(EvacuatedZones::new(bound));
    let watcher = ZoneWatcher {
        store: context.store.clone(),
        clock: Arc::clone(&context.clock),
        log: log.clone(),
        view,
        long_poll_wait: long_poll_wait.min(MAX_LONG_POLL_WAIT),
        revision: None,
        ignored: BTreeSet::new(),
    };
    let sender = sender.clone();
    let task = tokio::spawn(watcher.run(move || sender.send(event()).is_ok()));
    (receiver, Some(task))
}

struct ZoneWatcher {
    store: StoreApiClient,
    clock: SharedClock,
    log: Logger,
    view: watch::Sender<EvacuatedZones>,
    long_poll_wait: Duration,
    /// Revision from which to watch; absent if the prefix has to be read.
    revision: Option<StoreRevision>,
    ignored: BTreeSet<Arc<str>>,
}

impl ZoneWatcher {
    async fn run(mut self, on_answer: impl Fn() -> bool) {
        let mut failures = 0_u32;
        let mut delay = node_context::store_retry_delay();
        loop {
            match self.read_or_watch().await {
                Ok(()) => {
                    if failures > 0 {
                        info!(self.log, "store regained"; "prefix" => EVACUATION_PREFIX, "faults" => failures);
                    }
                    failures = 0;
                    delay.reset();
                    if !on_answer() {
                        return;
                    }
                }
                Err(error) => {
                    if failures == 0 {
                        warn!(self.log, "store lost"; "prefix" => EVACUATION_PREFIX, "error" => %error);
                    }
                    failures += 1;
                    // A read answers at once, and so confirms the view sooner than another watch.
                    self.revision = None;
                    let pause = delay.next_delay(&mut rand::rng());
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }

    async fn read_or_watch(&mut self) -> Result<()> {
        let sent_at = self.clock.now();
        let Some(after) = self.revision else {
            let (items, as_of) = self.store.range(EVACUATION_PREFIX, READ_TIMEOUT).await?;
            let zones = items
                .iter()
                .filter_map(|item| self.parse_zone(&item.key))
                .collect();
            self.view.send_modify(|view| {
                view.replace(sent_at, as_of, zones);
            });
            self.revision = Some(as_of);
            return Ok(());
        };
        match self
            .store
            .watch(EVACUATION_PREFIX, after, self.long_poll_wait)
            .await?
        {
            WatchResponse::Compacted => self.revision = None,
            WatchResponse::Events(events, as_of) => {
                let as_of = as_of.max(after);
                let changes = events.into_iter().filter_map(|event| self.decode_change(event));
                let changes: Vec<ZoneChange> = changes.collect();
                self.view.send_modify(|view| {
                    view.apply(sent_at, as_of, changes);
                });
                self.revision = Some(as_of);
            }
        }
        Ok(())
    }

    fn decode_change(&mut self, event: StoreEvent) -> Option<ZoneChange> {
        match event {
            StoreEvent::Written(item) => self.parse_zone(&item.key).map(ZoneChange::Requested),
            StoreEvent::Removed(key) => self.parse_zone(&key).map(ZoneChange::Ended),
        }
    }

    fn parse_zone(&mut self, key: &Arc<str>) -> Option<ZoneId> {
        match zone_evacuation::parse_zone(key) {
            Ok(zone) => Some(zone),
            Err(error) => {
                if self.ignored.len() < MAX_IGNORED_KEYS && self.ignored.insert(Arc::clone(key)) {
                    warn!(self.log, "zone evacuation ignored"; "key" => &**key, "error" => %error);
                }
                None
            }
        }
    }
}
