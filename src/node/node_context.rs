//! What the context of one process share.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, warn};
use tokio::sync::watch;

use crate::clock::SharedClock;
use crate::dispatch::site_config::SiteConfig;
use crate::error::Result;
use crate::model::id::SessionId;
use crate::model::unix_time::UnixMillis;
use crate::node::node_lease::LeaseStatus;
use crate::node::node_metrics::NodeMetrics;
use crate::platform::http::HttpClient;
use crate::platform::settings::NodeSettings;
use crate::platform::store::StoreApiClient;
use crate::version::retry_delay::RetryDelay;

/// Time for one call to the store. Its answers take milliseconds, and some tens of times that when it is
/// slow.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest and longest bound of the delay between two tries of a call to the store; jitter spreads the
/// return of many callers.
const RETRY_DELAY_BOUNDS: (Duration, Duration) = (Duration::from_millis(80), Duration::from_millis(400));

/// Delays between tries of a call to the store.
pub fn store_retry_delay() -> RetryDelay {
    RetryDelay::new(RETRY_DELAY_BOUNDS.0, RETRY_DELAY_BOUNDS.1)
}

/// Reads from the store until it answers. The first fault in a row is logged.
pub async fn read_with_retries<T, F>(log: &Logger, read: impl Fn() -> F) -> T
where
    F: Future<Output = Result<T>>,
{
    let mut delay = store_retry_delay();
    let mut is_failing = false;
    loop {
        match read().await {
            Ok(records) => return records,
            Err(error) => {
                if !is_failing {
                    warn!(log, "records not read"; "error" => %error);
                }
                is_failing = true;
                let pause = delay.draw(&mut rand::rng());
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// The configuration in force; none before the first was read.
pub type ConfigReceiver = watch::Receiver<Option<Arc<SiteConfig>>>;

/// Parts shared by the duties and the callers' API of one process.
#[derive(Debug, Clone)]
pub struct NodeContext {
    /// Settings.
    pub settings: Arc<NodeSettings>,
    /// This life of the process.
    pub session: SessionId,
    /// Clock.
    pub clock: SharedClock,
    /// Client for all calls.
    pub http_client: HttpClient,
    /// The store.
    pub store: StoreApiClient,
    /// The configuration.
    pub config: ConfigReceiver,
    /// The lease under which duties are held.
    pub lease: watch::Receiver<LeaseStatus>,
    /// Whether the process is being stopped.
    pub stopping: watch::Receiver<bool>,
    /// Metrics.
    pub metrics: Arc<NodeMetrics>,
    /// Log.
    pub log: Logger,
}

impl NodeContext {
    /// Wall-clock time.
    pub fn wall_time(&self) -> UnixMillis {
        UnixMillis::from(self.clock.wall())
    }

    /// Whether the process is being stopped.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}
