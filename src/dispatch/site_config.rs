//! The operators' configuration in force.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::dispatch::job_record::QueueRule;
use crate::model::id::{ConfigVersion, OrganisationId, PoolId, QueueId};
use crate::model::resource::ResourceSet;

/// A queue as configured.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueConfig {
    /// The queue.
    pub id: QueueId,
    /// Host name under which callers reach it, in lower case.
    pub host: Arc<str>,
    /// Path prefix under which callers reach it.
    pub path_prefix: Arc<str>,
    /// Pool that runs its tasks.
    pub pool: PoolId,
    /// Whether calls need no key.
    pub is_public: bool,
    /// Longest time for an answer.
    pub timeout: Duration,
    /// Rules for its jobs.
    pub rule: QueueRule,
}

/// A pool as configured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolConfig {
    /// Whether its instances are off.
    pub is_spare: bool,
}

/// An organisation as configured.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OrganisationConfig {
    /// Share when everything is full, and jobs a second that are its due.
    pub weight: f64,
    /// The most it may have running over the fleet; a zero amount sets no limit.
    pub limit: ResourceSet,
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiteConfig {
    /// Version.
    pub version: ConfigVersion,
    /// Queues; those with longer prefixes come first.
    pub queues: Vec<QueueConfig>,
    /// Pools.
    pub pools: BTreeMap<PoolId, PoolConfig>,
    /// Organisations.
    pub organisations: BTreeMap<OrganisationId, OrganisationConfig>,
    /// Keys with their organisations.
    pub keys: BTreeMap<Arc<str>, OrganisationId>,
    /// Largest body of a call.
    pub max_body_bytes: u64,
}

impl SiteConfig {
    /// Finds the queue of a call and the rest of its path. The host may carry a port.
    pub fn find_queue<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueConfig, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let found = self
            .queues
            .iter()
            .find(|queue| queue.host.eq_ignore_ascii_case(host) && path.starts_with(&*queue.path_prefix))?;
        Some((found, &path[found.path_prefix.len()..]))
    }

    /// Orders the queues for [`Self::find_queue`].
    pub fn sort_queues(&mut self) {
        self.queues.sort_by(|a, b| {
            b.path_prefix
                .len()
                .cmp(&a.path_prefix.len())
                .then_with(|| a.id.cmp(&b.id))
        });
    }

    /// Pools that run tasks.
    pub fn active_pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools
            .iter()
            .filter(|(_, pool)| !pool.is_spare)
            .map(|(id, _)| id)
    }
}
