//! Reads the digests of load in the background while there are submissions.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::{debug, warn};
use tokio::sync::mpsc;

use crate::dispatch::admission_forecast::{AdmissionDecision, AdmissionForecast, JobDemand};
use crate::dispatch::load_digest::{GrowthDigest, LoadDigest};
use crate::error::Result;
use crate::model::id::PoolId;
use crate::node::node_context::{NodeContext, STORE_TIMEOUT};
use crate::node::store_keys;
use crate::platform::store::StoreItem;

/// Minimum time between two reads. Digests are stored every 250 ms at most.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// The digests of one read of the store.
#[derive(Debug, Clone, Default)]
#[expect(missing_docs, reason = "the types of the other fields say what they hold")]
pub struct ReadDigests {
    pub pools: BTreeMap<PoolId, LoadDigest>,
    pub growth: Option<GrowthDigest>,
    /// Number of records that are malformed and left out.
    pub unreadable: usize,
}

/// Decodes the records below [`store_keys::LOAD_PREFIX`].
pub fn decode_digests(items: &[StoreItem]) -> ReadDigests {
    let mut read = ReadDigests::default();
    for item in items {
        if decode_item(item, &mut read).is_err() {
            read.unreadable += 1;
        }
    }
    read
}

fn decode_item(item: &StoreItem, read: &mut ReadDigests) -> Result<()> {
    if &*item.key == store_keys::GROWTH_KEY {
        read.growth = Some(store_keys::decode(&item.key, &item.value)?);
        return Ok(());
    }
    let pool = PoolId::new(store_keys::last_segment(&item.key))?;
    read.pools
        .insert(pool, store_keys::decode(&item.key, &item.value)?);
    Ok(())
}

/// The forecasts of this node, which a background task supplies with digests.
#[derive(Debug)]
pub struct DigestReader {
    context: NodeContext,
    forecast: Arc<Mutex<AdmissionForecast>>,
    requests: mpsc::Sender<()>,
}

impl DigestReader {
    /// Starts the background task on the current runtime. It ends when the reader is dropped.
    pub fn start(context: &NodeContext) -> Self {
        let (requests, receiver) = mpsc::channel(1);
        let forecast = Arc::new(Mutex::new(AdmissionForecast::new()));
        tokio::spawn(read_on_request(context.clone(), Arc::clone(&forecast), receiver));
        Self {
            context: context.clone(),
            forecast,
            requests,
        }
    }

    /// Decides on a submission by the digests at hand, and requests newer ones.
    pub fn decide(&self, pool: &PoolId, job: &JobDemand) -> AdmissionDecision {
        // Fails if a read has been requested already.
        let _ = self.requests.try_send(());
        let now = self.context.clock.now();
        let wall_time = self.context.wall_time();
        let mut forecast = self.forecast.lock().unwrap_or_else(PoisonError::into_inner);
        forecast.decide(now, wall_time, pool, job, &mut rand::rng())
    }
}

async fn read_on_request(
    context: NodeContext,
    forecast: Arc<Mutex<AdmissionForecast>>,
    mut requests: mpsc::Receiver<()>,
) {
    let mut was_unreadable = false;
    while requests.recv().await.is_some() {
        let read = context
            .store
            .range_serializable(store_keys::LOAD_PREFIX, STORE_TIMEOUT);
        match read.await {
            Ok(items) => {
                let read = decode_digests(&items);
                if read.unreadable > 0 && !was_unreadable {
                    warn!(context.log, "digests ignored"; "count" => read.unreadable);
                }
                was_unreadable = read.unreadable > 0;
                let now = context.clock.now();
                let mut forecast = forecast.lock().unwrap_or_else(PoisonError::into_inner);
                forecast.set_digests(now, read.pools, read.growth);
            }
            // The digests at hand end by their age.
            Err(error) => debug!(context.log, "digests not read"; "error" => %error),
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}
