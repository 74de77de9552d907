//! The node's lease in the store. The node holds all its roles under this lease and loses them with it.

use std::time::Duration;

use slog::{info, warn};
use tokio::sync::watch;

use crate::clock::SharedClock;
use crate::model::id::LeaseId;
use crate::platform::store::StoreApiClient;
use slog::Logger;

/// Time to live of the lease. A lost leader is replaced after it; a leader that cannot renew the lease stops
/// sending commands earlier, by [`EXPIRY_MARGIN`].
const LEASE_TTL: Duration = Duration::from_millis(1_200);

/// Time between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// Pause after a failed renewal.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of one request.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(400);

/// How much earlier than in the store the node considers its lease expired.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// The node's view of its lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The lease; `None` before it is granted and after it is lost.
    pub lease: Option<LeaseId>,
    /// Time since boot until which the lease is certainly valid.
    pub valid_until: Duration,
}

impl LeaseStatus {
    /// The lease, if it is certainly valid now.
    pub fn valid_lease(&self, clock: &SharedClock) -> Option<LeaseId> {
        self.lease.filter(|_| clock.since_boot() < self.valid_until)
    }
}

/// Tells whether the lease under which an action was decided is still certainly valid when it is carried out. The
/// process may have been paused or delayed in between.
#[derive(Debug, Clone)]
pub struct LeaseGuard {
    lease: Option<LeaseId>,
    status: watch::Receiver<LeaseStatus>,
    clock: SharedClock,
}

impl LeaseGuard {
    /// Guard for an action that is decided under `lease`.
    pub fn new(lease: Option<LeaseId>, status: watch::Receiver<LeaseStatus>, clock: SharedClock) -> Self {
        Self { lease, status, clock }
    }

    /// Whether the action may be carried out.
    pub fn is_valid(&self) -> bool {
        self.lease.is_some() && self.status.borrow().valid_lease(&self.clock) == self.lease
    }
}

/// Acquires and renews the lease until `stop` becomes true, then revokes it. `min_ttl` is the shortest time to
/// live that the store grants.
pub async fn maintain(
    store: StoreApiClient,
    clock: SharedClock,
    min_ttl: Duration,
    status: watch::Sender<LeaseStatus>,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let ttl = LEASE_TTL.max(min_ttl);
    let mut is_failing = false;
    loop {
        if *stop.borrow() {
            break;
        }
        let pause = renew(&store, &clock, ttl, &status, &mut is_failing, &log).await;
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = stop.changed() => {}
        }
    }
    let held = status.borrow().lease;
    status.send_replace(LeaseStatus::default());
    if let Some(lease) = held {
        match store.revoke_lease(lease, RENEWAL_TIMEOUT).await {
            Ok(()) => info!(log, "lease ended"; "lease" => %lease),
            Err(error) => {
                warn!(log, "lease not revoked; it expires by its time to live"; "lease" => %lease,
                    "error" => %error);
            }
        }
    }
}

/// Renews the lease, or acquires one if there is none. Returns the pause before the next attempt.
async fn renew(
    store: &StoreApiClient,
    clock: &SharedClock,
    ttl: Duration,
    status: &watch::Sender<LeaseStatus>,
    is_failing: &mut bool,
    log: &Logger,
) -> Duration {
    let sent_at = clock.since_boot();
    let current = *status.borrow();
    let outcome = match current.lease {
        Some(lease) => store
            .renew_lease(lease, RENEWAL_TIMEOUT)
            .await
            .map(|is_valid| is_valid.then_some((lease, ttl))),
        None => store.grant_lease(ttl, RENEWAL_TIMEOUT).await.map(Some),
    };
    match outcome {
        Ok(Some((lease, granted))) => {
            if *is_failing || current.lease != Some(lease) {
                info!(log, "lease held"; "lease" => %lease, "ttl_ms" => granted.as_millis() as u64);
            }
            *is_failing = false;
            let valid_until = sent_at + granted.saturating_sub(EXPIRY_MARGIN);
            status.send_replace(LeaseStatus {
                lease: Some(lease),
                valid_until,
            });
            RENEWAL_INTERVAL
        }
        Ok(None) => {
            warn!(log, "lease lost"; "lease" => ?current.lease.map(LeaseId::get));
            status.send_replace(LeaseStatus::default());
            Duration::ZERO
        }
        Err(error) => {
            if !*is_failing {
                warn!(log, "lease not renewed"; "error" => %error);
            }
            *is_failing = true;
            RETRY_INTERVAL
        }
    }
}
