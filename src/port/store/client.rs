//! The client of the store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::model::amount::RatePerSecond;
use crate::model::id::{LeaseId, StoreRevision};
use crate::port::store::call::{
    MAX_WATCH_WAIT, PutExpect, StoreError, StoreListing, StoreResult, StoreValue,
};
use crate::port::store::call_budget::CallBudget;
use crate::port::store::http_client::HttpStore;
use crate::port::store::memory_store::MemoryStore;

/// Time-out of a call. The store answers in milliseconds; a view stays fresh for 2.5 s and needs two tries.
pub const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How the client reaches the store.
#[derive(Debug, Clone)]
enum StorePort {
    Memory(MemoryStore),
    Http(HttpStore),
}

/// Client of the store. Every call ends within its time-out, after a wait for the budget if there is one.
#[derive(Debug, Clone)]
pub struct StoreClient {
    port: StorePort,
    timeout: Duration,
    budget: Option<CallBudget>,
}

macro_rules! call {
    ($client:ident, $timeout:expr, $method:ident($($argument:expr),*)) => {{
        let timeout = $timeout;
        $client.take_call().await?;
        match &$client.port {
            StorePort::Memory(store) => within(timeout, store.$method($($argument),*)).await,
            StorePort::Http(store) => within(timeout, store.$method($($argument),*)).await,
        }
    }};
}

impl StoreClient {
    /// Creates a client of a store in this process.
    pub fn memory(store: MemoryStore) -> Self {
        Self {
            port: StorePort::Memory(store),
            timeout: DEFAULT_CALL_TIMEOUT,
            budget: None,
        }
    }

    /// Creates a client of a store behind HTTP.
    pub fn http(address: SocketAddr) -> Self {
        Self {
            port: StorePort::Http(HttpStore::new(address)),
            timeout: DEFAULT_CALL_TIMEOUT,
            budget: None,
        }
    }

    /// Sets the time-out of a call; a watch may take its wait in addition.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sets how many calls a second the client and its clones may make together; unlimited before. A call waits
    /// for the budget at most its time-out, and fails with `RateLimited` if that does not suffice.
    #[must_use]
    pub fn with_rate(mut self, rate: RatePerSecond) -> Self {
        self.budget = Some(CallBudget::new(rate));
        self
    }

    /// Time-out of a call.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Reads a key.
    ///
    /// # Errors
    /// `Unavailable`, `TimedOut` or `RateLimited`.
    pub async fn get(&self, key: &str) -> StoreResult<Option<StoreValue>> {
        call!(self, self.timeout, get(key))
    }

    /// Writes a key, bound to a lease if one is given.
    ///
    /// # Errors
    /// `Unavailable`, `RateLimited`, `Conflict`, `TooLarge` and `LeaseEnded` say that nothing changed;
    /// `TimedOut` leaves it open.
    pub async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: PutExpect,
        lease: Option<LeaseId>,
    ) -> StoreResult<StoreRevision> {
        call!(self, self.timeout, put(key, value, expect, lease))
    }

    /// Deletes a key; deleting an absent key without a condition has no effect.
    ///
    /// # Errors
    /// As for [`StoreClient::put`].
    pub async fn delete(&self, key: &str, expect: PutExpect) -> StoreResult<()> {
        call!(self, self.timeout, delete(key, expect))
    }

    /// Lists up to `limit` values with a prefix, in key order, after the key `after`.
    ///
    /// # Errors
    /// As for [`StoreClient::get`].
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> StoreResult<StoreListing> {
        call!(self, self.timeout, list(prefix, after, limit, false))
    }

    /// Lists keys as [`StoreClient::list`] does, without their values.
    ///
    /// # Errors
    /// As for [`StoreClient::get`].
    pub async fn list_keys(&self, prefix: &str, after: &str, limit: usize) -> StoreResult<StoreListing> {
        call!(self, self.timeout, list(prefix, after, limit, true))
    }

    /// Waits at most `wait` for values with a prefix written after a revision.
    ///
    /// # Errors
    /// As for [`StoreClient::get`].
    pub async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> StoreResult<StoreListing> {
        let wait = wait.min(MAX_WATCH_WAIT);
        call!(self, self.timeout + wait, watch(prefix, after, wait))
    }

    /// Grants a lease that ends after `ttl` without renewal.
    ///
    /// # Errors
    /// `Unavailable`, `RateLimited` or `TimedOut`.
    pub async fn grant_lease(&self, ttl: Duration) -> StoreResult<LeaseId> {
        call!(self, self.timeout, grant_lease(ttl))
    }

    /// Renews a lease for its whole time.
    ///
    /// # Errors
    /// `LeaseEnded` if it has ended; otherwise as for [`StoreClient::grant_lease`].
    pub async fn renew_lease(&self, id: LeaseId) -> StoreResult<()> {
        call!(self, self.timeout, renew_lease(id))
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    /// As for [`StoreClient::grant_lease`].
    pub async fn revoke_lease(&self, id: LeaseId) -> StoreResult<()> {
        call!(self, self.timeout, revoke_lease(id))
    }
}

impl StoreClient {
    /// Waits for the budget, at most a call's time-out. Nothing is sent if it does not suffice.
    async fn take_call(&self) -> StoreResult<()> {
        let Some(budget) = &self.budget else {
            return Ok(());
        };
        let wait = budget.take(self.timeout).ok_or(StoreError::RateLimited)?;
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        Ok(())
    }
}

async fn within<T>(timeout: Duration, call: impl Future<Output = StoreResult<T>>) -> StoreResult<T> {
    tokio::time::timeout(timeout, call)
        .await
        .unwrap_or(Err(StoreError::TimedOut))
}
