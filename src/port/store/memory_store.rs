//! The in-memory store: the stand-in's engine behind asynchronous calls, with call counters and faults.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::Instant as TimerInstant;

use crate::clock::SharedClock;
use crate::model::id::{LeaseId, StoreRevision};
use crate::port::store::call::{
    CallKind, MAX_WATCH_WAIT, PutExpect, StoreError, StoreListing, StoreResult, StoreValue, check_key,
};
use crate::port::store::fault::{FaultEffect, FaultSet, FaultSpan, StoreFault};
use crate::port::store::memory_engine::MemoryEngine;

/// State shared by all ports of one store.
#[derive(Debug)]
struct SharedStore {
    engine: Mutex<MemoryEngine>,
    stale: Mutex<Option<MemoryEngine>>,
    faults: Mutex<FaultSet>,
    counts: Mutex<BTreeMap<CallKind, u64>>,
    changed: watch::Sender<u64>,
    clock: SharedClock,
}

/// A port of an in-memory store. Clones share the port; [`MemoryStore::port`] makes another one, whose own
/// faults show what one partitioned session sees.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    shared: Arc<SharedStore>,
    faults: Arc<Mutex<FaultSet>>,
    counts: Arc<Mutex<BTreeMap<CallKind, u64>>>,
}

impl MemoryStore {
    /// Creates an empty store whose leases end by the given clock.
    pub fn new(clock: SharedClock) -> Self {
        let (changed, _) = watch::channel(0);
        let shared = SharedStore {
            engine: Mutex::default(),
            stale: Mutex::default(),
            faults: Mutex::default(),
            counts: Mutex::default(),
            changed,
            clock,
        };
        Self {
            shared: Arc::new(shared),
            faults: Arc::default(),
            counts: Arc::default(),
        }
    }

    /// Another port of the same store, with its own faults and counters.
    #[must_use]
    pub fn port(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            faults: Arc::default(),
            counts: Arc::default(),
        }
    }

    /// Switches a fault on for all ports.
    pub fn set_fault(&self, fault: StoreFault, span: FaultSpan) {
        self.keep_stale_copy(fault);
        lock(&self.shared.faults).set(fault, span);
        self.wake_watches();
    }

    /// Switches a fault on for this port.
    pub fn set_port_fault(&self, fault: StoreFault, span: FaultSpan) {
        self.keep_stale_copy(fault);
        lock(&self.faults).set(fault, span);
        self.wake_watches();
    }

    /// Switches off the faults of this port and of the whole store.
    pub fn clear_faults(&self) {
        lock(&self.shared.faults).clear();
        lock(&self.faults).clear();
        *lock(&self.shared.stale) = None;
        self.wake_watches();
    }

    /// Number of calls through all ports, by kind.
    pub fn calls(&self) -> BTreeMap<CallKind, u64> {
        lock(&self.shared.counts).clone()
    }

    /// Number of calls through this port, by kind.
    pub fn port_calls(&self) -> BTreeMap<CallKind, u64> {
        lock(&self.counts).clone()
    }

    /// Reads a key.
    ///
    /// # Errors
    /// As the active faults say.
    pub async fn get(&self, key: &str) -> StoreResult<Option<StoreValue>> {
        check_key(key)?;
        let effect = self.begin(CallKind::Get)?;
        wait(effect.delay).await;
        Ok(self.read(effect, |engine| engine.get(key)))
    }

    /// Writes a key.
    ///
    /// # Errors
    /// `Conflict`, `TooLarge`, `LeaseEnded`, or as the active faults say.
    pub async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: PutExpect,
        lease: Option<LeaseId>,
    ) -> StoreResult<StoreRevision> {
        check_key(key)?;
        let effect = self.begin(CallKind::Put)?;
        let key: Arc<str> = Arc::from(key);
        self.write(effect, move |engine, _| engine.put(&key, value, expect, lease))
            .await
    }

    /// Deletes a key; deleting an absent key without a condition has no effect.
    ///
    /// # Errors
    /// `Conflict`, or as the active faults say.
    pub async fn delete(&self, key: &str, expect: PutExpect) -> StoreResult<()> {
        check_key(key)?;
        let effect = self.begin(CallKind::Delete)?;
        let key: Arc<str> = Arc::from(key);
        self.write(effect, move |engine, _| engine.delete(&key, expect))
            .await
    }

    /// Lists up to `limit` keys with a prefix, in key order, after the key `after`.
    ///
    /// # Errors
    /// As the active faults say.
    pub async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
        keys_only: bool,
    ) -> StoreResult<StoreListing> {
        check_key(prefix)?;
        let effect = self.begin(CallKind::List)?;
        wait(effect.delay).await;
        Ok(self.read(effect, |engine| engine.list(prefix, after, limit, keys_only)))
    }

    /// Waits until a value with the prefix has been written after a revision, at most `wait_for`, and returns
    /// the written values; none if the wait ended without one.
    ///
    /// # Errors
    /// As the active faults say, also when they are switched on during the wait.
    pub async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait_for: Duration,
    ) -> StoreResult<StoreListing> {
        check_key(prefix)?;
        let effect = self.begin(CallKind::Watch)?;
        wait(effect.delay).await;
        let deadline = TimerInstant::now() + wait_for.min(MAX_WATCH_WAIT);
        let mut changed = self.shared.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if self.is_down() {
                return Err(StoreError::Unavailable);
            }
            let mut effect = effect;
            effect.stale |= self.is_stale();
            let listing = self.read(effect, |engine| engine.written_after(prefix, after));
            let is_over = TimerInstant::now() >= deadline;
            if !listing.values.is_empty() || is_over {
                return Ok(listing);
            }
            // A time-out here only ends the wait; the loop answers with what is there.
            drop(tokio::time::timeout_at(deadline, changed.changed()).await);
        }
    }

    /// Grants a lease that ends after `ttl` without renewal.
    ///
    /// # Errors
    /// As the active faults say.
    pub async fn grant_lease(&self, ttl: Duration) -> StoreResult<LeaseId> {
        let effect = self.begin(CallKind::Lease)?;
        self.write(effect, move |engine, now| Ok(engine.grant_lease(now, ttl)))
            .await
    }

    /// Renews a lease for its whole time.
    ///
    /// # Errors
    /// `LeaseEnded`, or as the active faults say.
    pub async fn renew_lease(&self, id: LeaseId) -> StoreResult<()> {
        let effect = self.begin(CallKind::Lease)?;
        self.write(effect, move |engine, now| engine.renew_lease(now, id))
            .await
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    /// As the active faults say.
    pub async fn revoke_lease(&self, id: LeaseId) -> StoreResult<()> {
        let effect = self.begin(CallKind::Lease)?;
        self.write(effect, move |engine, _| {
            engine.end_lease(id);
            Ok(())
        })
        .await
    }

    fn begin(&self, kind: CallKind) -> StoreResult<FaultEffect> {
        *lock(&self.shared.counts).entry(kind).or_default() += 1;
        *lock(&self.counts).entry(kind).or_default() += 1;
        let now = self.shared.clock.now();
        let mut effect = FaultEffect::default();
        lock(&self.shared.faults).apply(now, kind, &mut effect)?;
        lock(&self.faults).apply(now, kind, &mut effect)?;
        Ok(effect)
    }

    fn read<T>(&self, effect: FaultEffect, operation: impl FnOnce(&MemoryEngine) -> T) -> T {
        if effect.stale
            && let Some(old) = lock(&self.shared.stale).as_ref()
        {
            return operation(old);
        }
        let mut engine = lock(&self.shared.engine);
        engine.expire(self.shared.clock.now());
        operation(&engine)
    }

    /// Runs a write. A delayed write runs in a task of its own, so that it lands even if the caller gives up.
    async fn write<T, F>(&self, effect: FaultEffect, operation: F) -> StoreResult<T>
    where
        T: Send + 'static,
        F: FnOnce(&mut MemoryEngine, std::time::Instant) -> StoreResult<T> + Send + 'static,
    {
        if effect.lose_request {
            return Err(StoreError::TimedOut);
        }
        let answer = if effect.delay.is_zero() {
            self.write_now(operation)
        } else {
            let store = self.clone();
            let task = tokio::spawn(async move {
                wait(effect.delay).await;
                store.write_now(operation)
            });
            task.await.unwrap_or(Err(StoreError::TimedOut))
        };
        if effect.lose_answer {
            return Err(StoreError::TimedOut);
        }
        answer
    }

    fn write_now<T>(
        &self,
        operation: impl FnOnce(&mut MemoryEngine, std::time::Instant) -> StoreResult<T>,
    ) -> StoreResult<T> {
        let now = self.shared.clock.now();
        let answer = {
            let mut engine = lock(&self.shared.engine);
            engine.expire(now);
            operation(&mut engine, now)
        };
        self.wake_watches();
        answer
    }

    fn keep_stale_copy(&self, fault: StoreFault) {
        if fault == StoreFault::Stale {
            let copy = lock(&self.shared.engine).clone();
            lock(&self.shared.stale).get_or_insert(copy);
        }
    }

    fn is_down(&self) -> bool {
        lock(&self.shared.faults).is_down() || lock(&self.faults).is_down()
    }

    fn is_stale(&self) -> bool {
        lock(&self.shared.faults).is_stale() || lock(&self.faults).is_stale()
    }

    fn wake_watches(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn wait(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}
