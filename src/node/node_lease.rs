//! The process's lease in the store. All duties held here end with it.

use std::time::Duration;

use slog::{info, warn};
use tokio::sync::watch;

use crate::clock::SharedClock;
use crate::model::id::LeaseId;
use crate::platform::store::StoreApiClient;
use slog::Logger;

/// Time to live. A lost holder is replaced after it; a holder that cannot renew stops ordering before it.
const LEASE_TTL: Duration = Duration::from_millis(1_200);

/// Time between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// Pause after a renewal without an answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time for one renewal.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Margin between the end of the own trust in the lease and its end in the store.
const EXPIRY_MARGIN: Duration = Duration::from_millis(150);

/// What is known of the lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaseStatus {
    /// The lease, if there is one.
    pub lease: Option<LeaseId>,
    /// Time since boot until which it certainly holds.
    pub valid_until: Duration,
}

impl LeaseStatus {
    /// The lease, if it certainly holds.
    pub fn valid_lease(&self, clock: &SharedClock) -> Option<LeaseId> {
        self.lease.filter(|_| clock.since_boot() < self.valid_until)
    }
}

/// Keeps a lease until the process stops, then ends it.
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
            Err(error) => warn!(log, "lease runs out by itself"; "lease" => %lease, "error" => %error),
        }
    }
}

/// Renews or creates the lease once and returns the pause before the next time.
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
            .map(|holds| holds.then_some((lease, ttl))),
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
