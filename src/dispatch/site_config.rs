//! Configuration of queues, pools and organisations, as set by the operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::dispatch::job_record::QueueRule;
use crate::model::id::{ConfigVersion, OrganisationId, PoolId, QueueId};
use crate::model::resource::ResourceSet;

/// Configuration of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueConfig {
    /// Unique name.
    pub id: QueueId,
    /// Host name that a request to the queue carries, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path of a request to the queue.
    pub path_prefix: Arc<str>,
    /// Pool that runs the tasks.
    pub pool: PoolId,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Maximum time to respond to a request.
    pub timeout: Duration,
    /// Scheduling rules for the jobs.
    pub rule: QueueRule,
}

/// Configuration of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolConfig {
    /// Whether this is the spare pool, whose instances are switched off.
    pub is_spare: bool,
    /// Whether the workers refuse runs that exceed their capacity. Others start whatever they are told to.
    pub enforces_capacity: bool,
}

/// Configuration of an organisation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OrganisationConfig {
    /// Weight in the fair share when all workers are full, and the number of jobs per second that the
    /// organisation may submit before its jobs count as over rate. 0 sets no such rate.
    pub weight: f64,
    /// Maximum resources that the organisation may use in the whole fleet; a zero amount means unlimited.
    pub limit: ResourceSet,
}

/// One version of the whole configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SiteConfig {
    /// Increases with each change.
    pub version: ConfigVersion,
    /// Queues, in the order of [`Self::sort_queues`].
    pub queues: Vec<QueueConfig>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, PoolConfig>,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, OrganisationConfig>,
    /// Organisation of each API key.
    pub keys: BTreeMap<Arc<str>, OrganisationId>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
}

impl SiteConfig {
    /// Finds the queue for a request by its host, which may include a port, and its path. Also returns the
    /// path without the prefix of the queue.
    pub fn find_queue<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueConfig, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let found = self
            .queues
            .iter()
            .find(|queue| queue.host.eq_ignore_ascii_case(host) && path.starts_with(&*queue.path_prefix))?;
        Some((found, &path[found.path_prefix.len()..]))
    }

    /// Sorts the queues by descending length of their prefix, so that [`Self::find_queue`] finds the longest
    /// match.
    pub fn sort_queues(&mut self) {
        self.queues.sort_by(|a, b| {
            b.path_prefix
                .len()
                .cmp(&a.path_prefix.len())
                .then_with(|| a.id.cmp(&b.id))
        });
    }

    /// Pools that run tasks, that is, all but the spare pool.
    pub fn active_pools(&self) -> impl Iterator<Item = &PoolId> {
        self.pools
            .iter()
            .filter(|(_, pool)| !pool.is_spare)
            .map(|(id, _)| id)
    }
}
