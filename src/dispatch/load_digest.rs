//! Digest of a pool's load that its leader stores for the admission of submissions.
//!
//! Handles a pool whose backlog exceeds what it can do in time: the instances that accept submissions know neither the
//! jobs nor the workers of a pool, and its leader sees a submission only after it has been accepted.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::model::amount::MilliCores;
use crate::model::default_value;
use crate::model::id::{LeaderTerm, OrganisationId, PoolId};
use crate::model::unix_time::UnixMillis;

/// Upper bounds of the slack of each part of [`PriorityBacklog::on_time`], in milliseconds. Work with more slack goes
/// behind nearly all other work and is not counted.
const SLACK_BOUNDS_MS: [u64; 8] = [500, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 64_000];

/// Largest priority class. Lower priorities are counted together with it, which bounds the size of a digest.
const MAX_PRIORITY_CLASS: u32 = 7;

/// Maximum number of organisations in a digest, those with the most work; bounds its size to about 2 KB.
const MAX_ORGANISATIONS: usize = 20;

/// Priority class of a queue's priority.
pub fn priority_class(priority: u32) -> u32 {
    priority.min(MAX_PRIORITY_CLASS)
}

/// Work of one priority class in core-milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PriorityBacklog {
    /// Work of jobs that can still meet their objective, by the time until their latest start (slack).
    pub on_time: [u64; SLACK_BOUNDS_MS.len()],
    /// Waiting work of jobs that miss their objective and are still of some use. It starts after all work that is on
    /// time.
    pub late: u64,
}

impl PriorityBacklog {
    /// Adds work of a job that has to start within `slack` to meet its objective.
    pub fn add_on_time(&mut self, slack: Duration, work: u64) {
        let slack_ms = slack.as_millis();
        let part = SLACK_BOUNDS_MS
            .iter()
            .position(|bound| slack_ms <= u128::from(*bound));
        if let Some(sum) = part.and_then(|part| self.on_time.get_mut(part)) {
            *sum = sum.saturating_add(work);
        }
    }

    /// Work with a slack between two bounds, evenly spread within each part.
    pub fn on_time_between(&self, from: Duration, to: Duration) -> f64 {
        let (from, to) = (from.as_secs_f64() * 1_000.0, to.as_secs_f64() * 1_000.0);
        let mut lower = 0.0;
        let mut work = 0.0;
        for (bound, part) in SLACK_BOUNDS_MS.iter().zip(self.on_time) {
            let upper = *bound as f64;
            let overlap = to.min(upper) - from.max(lower);
            if overlap > 0.0 {
                work += part as f64 * overlap / (upper - lower);
            }
            lower = upper;
        }
        work
    }

    /// Whether there is no work.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Load of a pool as its leader sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadDigest {
    /// Time of the digest by the leader's clock.
    pub at: UnixMillis,
    /// Term of the leader.
    pub term: LeaderTerm,
    /// Work of each priority class that competes for the whole pool. Work that needs certain workers, and work of
    /// organisations at their limit, is left out: it does not delay other work.
    pub backlog: BTreeMap<u32, PriorityBacklog>,
    /// Work of organisations that can still meet its objective, by priority class, in core-milliseconds.
    pub organisations: BTreeMap<OrganisationId, BTreeMap<u32, u64>>,
    /// Processor time that finite tasks use, in core-milliseconds a second, which is the rate at which they work off
    /// the backlog.
    pub drain_rate: u64,
    /// Processor capacity of the workers that accept work.
    pub capacity: MilliCores,
    /// Part of `capacity` that is in use.
    pub used: MilliCores,
    /// Number of workers that accept work.
    pub workers: u32,
    /// Processor capacity of the largest worker known; workers that join the pool are assumed to be as large.
    pub largest_worker: MilliCores,
    /// Time for which the oldest waiting job has waited, in milliseconds; 0 if none waits.
    #[serde(skip_serializing_if = "default_value::is_default")]
    pub oldest_wait_ms: u64,
}

impl LoadDigest {
    /// Adds work that competes for the whole pool.
    pub fn backlog_mut(&mut self, priority: u32) -> &mut PriorityBacklog {
        self.backlog.entry(priority_class(priority)).or_default()
    }

    /// Adds work of an organisation.
    pub fn add_organisation_work(&mut self, organisation: &OrganisationId, priority: u32, work: u64) {
        let classes = self.organisations.entry(organisation.clone()).or_default();
        let sum = classes.entry(priority_class(priority)).or_default();
        *sum = sum.saturating_add(work);
    }

    /// Leaves out what is empty, and the organisations with the least work beyond the maximum number.
    pub fn trim(&mut self) {
        self.backlog.retain(|_, backlog| !backlog.is_empty());
        let total = |classes: &BTreeMap<u32, u64>| classes.values().copied().fold(0, u64::saturating_add);
        self.organisations.retain(|_, classes| total(classes) > 0);
        let excess = self.organisations.len().saturating_sub(MAX_ORGANISATIONS);
        if excess == 0 {
            return;
        }
        let works = self.organisations.iter();
        let mut works: Vec<(u64, OrganisationId)> =
            works.map(|(id, classes)| (total(classes), id.clone())).collect();
        works.sort_unstable();
        for (_, id) in works.into_iter().take(excess) {
            self.organisations.remove(&id);
        }
    }

    /// Whether work waits.
    pub fn has_backlog(&self) -> bool {
        self.oldest_wait_ms > 0
    }
}

/// Workers that each pool could have within seconds, as the fleet leader sees it: the present ones, those that are
/// being moved there, and all instances that no other pool needs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct GrowthDigest {
    /// Time of the digest by the leader's clock.
    pub at: UnixMillis,
    /// Term of the leader.
    pub term: LeaderTerm,
    /// Number of workers by pool.
    pub workers: BTreeMap<PoolId, u32>,
}
