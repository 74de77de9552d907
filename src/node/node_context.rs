//! State shared by the tasks of one node.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, warn};
use tokio::sync::watch;

use crate::clock::SharedClock;
use crate::dispatch::site_config::SiteConfig;
use crate::error::Result;
use crate::model::id::SessionId;
use crate::model::unix_time::UnixMillis;
use crate::node::advice_line::AdviceLine;
use crate::node::node_lease::LeaseStatus;
use crate::node::node_metrics::NodeMetrics;
use crate::platform::http::HttpClient;
use crate::platform::settings::NodeSettings;
use crate::platform::store::StoreApiClient;
use crate::request::caller_limits::CallerLimits;
use crate::version::retry_delay::RetryDelay;

/// Time limit of one request to the store. Responses usually take milliseconds, and some tens of times that
/// when the store is slow.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Initial and maximum bound of the delay before a retry. Each delay is random below the bound, which spreads
/// the retries of many clients.
const RETRY_DELAY_BOUNDS: (Duration, Duration) = (Duration::from_millis(80), Duration::from_millis(400));

/// Delays between attempts of a request to the store.
pub fn store_retry_delay() -> RetryDelay {
    RetryDelay::new(RETRY_DELAY_BOUNDS.0, RETRY_DELAY_BOUNDS.1)
}

/// Repeats a read until it succeeds. Of consecutive failures only the first is logged.
pub async fn read_with_retries<T, F>(store: &StoreApiClient, log: &Logger, read: impl Fn() -> F) -> T
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
                    warn!(log, "records not read; retrying"; "error" => %error);
                }
                is_failing = true;
                let pause = delay.next_delay(&mut rand::rng());
                store.pause(pause).await;
            }
        }
    }
}

/// The configuration in force; `None` before the first one has been read.
pub type ConfigReceiver = watch::Receiver<Option<Arc<SiteConfig>>>;

/// Optional behaviour of a node, from the arguments of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeOptions {
    /// Whether the starts are ordered by the cost of delay to callers.
    pub shed_by_cost: bool,
    /// Whether submissions that can no longer be of use are refused.
    pub forecasts_admission: bool,
}

/// State shared by the leaders and the API for callers of one node.
#[expect(missing_docs, reason = "the types of the other fields say what they hold")]
#[derive(Debug, Clone)]
pub struct NodeContext {
    pub settings: Arc<NodeSettings>,
    pub options: NodeOptions,
    /// Identifies this incarnation of the process.
    pub session: SessionId,
    pub clock: SharedClock,
    /// Shared by all outgoing requests.
    pub http_client: HttpClient,
    pub store: StoreApiClient,
    /// Order of the requests for advice of all pools that this node leads.
    pub advice_line: Arc<AdviceLine>,
    pub config: ConfigReceiver,
    /// The lease under which this node holds its roles.
    pub lease: watch::Receiver<LeaseStatus>,
    /// True once the process has received a stop signal.
    pub stopping: watch::Receiver<bool>,
    pub metrics: Arc<NodeMetrics>,
    /// Limits on what callers may make this process hold.
    pub limits: Arc<CallerLimits>,
    pub log: Logger,
}

impl NodeContext {
    /// The current wall-clock time.
    pub fn wall_time(&self) -> UnixMillis {
        UnixMillis::from(self.clock.wall_time())
    }

    /// Whether the process has received a stop signal.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}
