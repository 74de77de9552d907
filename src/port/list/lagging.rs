//! Stand-in for the instance list, with lag, missing and stale entries.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::SharedClock;
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{InstanceId, ZoneId};

/// Lag of the list unless set otherwise.
const DEFAULT_LAG: Duration = Duration::from_secs(3);

/// State of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The instance runs.
    #[display("live")]
    Live,
    /// The platform is about to take the instance away.
    #[display("leaving")]
    Leaving,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its address, `ip:port`.
    pub address: Arc<str>,
    /// Its state.
    pub state: ListedState,
}

type ListContent = BTreeMap<InstanceId, ListedInstance>;

#[derive(Debug)]
struct ListInner {
    lag: Duration,
    current: ListContent,
    /// Changes not yet visible: the time at which each becomes visible, the instance and its entry.
    pending: VecDeque<(Instant, InstanceId, Option<ListedInstance>)>,
    visible: ListContent,
    missing: BTreeSet<InstanceId>,
    is_frozen: bool,
    is_down: bool,
}

/// The stand-in list. Copies share the same content.
#[derive(Debug, Clone)]
pub struct LaggingList {
    clock: SharedClock,
    inner: Arc<Mutex<ListInner>>,
}

impl LaggingList {
    /// Creates an empty list on the given clock.
    pub fn new(clock: SharedClock) -> Self {
        let inner = ListInner {
            lag: DEFAULT_LAG,
            current: BTreeMap::new(),
            pending: VecDeque::new(),
            visible: BTreeMap::new(),
            missing: BTreeSet::new(),
            is_frozen: false,
            is_down: false,
        };
        Self {
            clock,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Sets the lag of changes made from now on.
    #[must_use]
    pub fn with_lag(self, lag: Duration) -> Self {
        self.lock().lag = lag;
        self
    }

    /// Adds or replaces an entry; visible after the lag.
    pub fn put(&self, entry: ListedInstance) {
        self.change(entry.instance.clone(), Some(entry));
    }

    /// Marks an instance as leaving; visible after the lag.
    pub fn set_leaving(&self, instance: &InstanceId) {
        let found = self.lock().current.get(instance).cloned();
        if let Some(mut entry) = found {
            entry.state = ListedState::Leaving;
            self.put(entry);
        }
    }

    /// Removes an entry; visible after the lag.
    pub fn remove(&self, instance: &InstanceId) {
        self.change(instance.clone(), None);
    }

    /// Leaves an instance out of answers although it runs, until switched off.
    pub fn set_missing(&self, instance: &InstanceId, is_missing: bool) {
        let mut inner = self.lock();
        if is_missing {
            inner.missing.insert(instance.clone());
        } else {
            inner.missing.remove(instance);
        }
    }

    /// Keeps the list as it is now, with entries going stale, until switched off.
    pub fn set_frozen(&self, is_frozen: bool) {
        self.settle();
        self.lock().is_frozen = is_frozen;
    }

    /// Makes reads fail until switched off.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
    }

    /// Reads the list.
    ///
    /// # Errors
    /// `outcome_unknown` while the list is down.
    pub fn read(&self) -> Result<Vec<ListedInstance>> {
        self.settle();
        let inner = self.lock();
        if inner.is_down {
            return Err(Error::new(ErrorKind::OutcomeUnknown, "instance list: no answer"));
        }
        let entries = inner.visible.values();
        let listed = entries.filter(|entry| !inner.missing.contains(&entry.instance));
        Ok(listed.cloned().collect())
    }

    fn change(&self, instance: InstanceId, entry: Option<ListedInstance>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        match &entry {
            Some(entry) => drop(inner.current.insert(instance.clone(), entry.clone())),
            None => drop(inner.current.remove(&instance)),
        }
        let visible_at = now + inner.lag;
        inner.pending.push_back((visible_at, instance, entry));
    }

    fn settle(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.is_frozen {
            return;
        }
        while inner.pending.front().is_some_and(|(at, _, _)| *at <= now) {
            if let Some((_, instance, entry)) = inner.pending.pop_front() {
                match entry {
                    Some(entry) => drop(inner.visible.insert(instance, entry)),
                    None => drop(inner.visible.remove(&instance)),
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, ListInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
