//! Claims duties that no session holds.
//!
//! Answers the loss of leaders and the start of all instances at once: a candidate waits the longer the more duties
//! it holds and the less processor it has, so that duties spread over the instances.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use slog::{info, warn};
use tokio::sync::mpsc;

use crate::error::Result;
use crate::model::id::{LeaderTerm, LeaseId, PoolId, StoreRevision, WriteNonce};
use crate::node::fenced_writer::{RoleClaim, TermRecord};
use crate::node::fleet_leader;
use crate::node::node_context::{NodeContext, STORE_TIMEOUT};
use crate::node::pool_leader;
use crate::node::prefix_watcher::{self, PrefixUpdate};
use crate::node::store_keys;
use crate::platform::store::{CommitOutcome, StoreEvent, StoreItem, StoreTransaction};

/// Name of the role for what concerns several pools.
pub const FLEET_ROLE: &str = "fleet";

/// Prefix of the names of the pools' duties.
const POOL_ROLE_PREFIX: &str = "pool-";

/// Delay of a claim on an instance of the usual processor share; it grows as the share falls, so that duties go to
/// the instances that can carry them.
const BASE_CLAIM_DELAY: Duration = Duration::from_millis(50);

/// Delay of a claim for each role that is held already.
const DELAY_PER_ROLE: Duration = Duration::from_millis(150);

/// Delay of a claim for each place in the candidate's own order of the duties.
const DELAY_PER_RANK: Duration = Duration::from_millis(15);

/// Random part of the delay of a claim.
const DELAY_JITTER_MS: u64 = 25;

/// Processor share at which delays are as given; they grow as the share falls.
const NOMINAL_CPU_SHARE: f64 = 0.25;

/// Time between looks at the election without update.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Pause after a claim that failed.
const CLAIM_BACKOFF: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum ElectionEvent {
    Update(PrefixUpdate),
    Claimed(Arc<str>, Option<RoleClaim>),
    Ended(Arc<str>),
}

/// State of the election.
#[derive(Debug)]
struct LeaderElection {
    context: NodeContext,
    sender: mpsc::UnboundedSender<ElectionEvent>,
    /// Holders by role; absent before the first complete read.
    leaders: Option<BTreeMap<Arc<str>, Arc<str>>>,
    led: BTreeSet<Arc<str>>,
    claiming: BTreeSet<Arc<str>>,
    claim_times: BTreeMap<Arc<str>, Instant>,
}

/// Claims and carries duties until the process stops and all duties have ended.
pub async fn run(context: NodeContext) {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let follower = prefix_watcher::spawn(
        &context.store,
        store_keys::LEADER_PREFIX.into(),
        Duration::ZERO,
        &context.log,
        &sender,
        ElectionEvent::Update,
    );
    let mut election = LeaderElection {
        context,
        sender,
        leaders: None,
        led: BTreeSet::new(),
        claiming: BTreeSet::new(),
        claim_times: BTreeMap::new(),
    };
    loop {
        if let Ok(Some(event)) = tokio::time::timeout(CHECK_INTERVAL, receiver.recv()).await {
            election.handle_event(event);
        }
        if election.context.is_stopping() {
            if election.led.is_empty() && election.claiming.is_empty() {
                break;
            }
            continue;
        }
        election.claim_vacant_roles();
    }
    follower.abort();
}

impl LeaderElection {
    fn handle_event(&mut self, event: ElectionEvent) {
        match event {
            ElectionEvent::Update(PrefixUpdate::Snapshot(items)) => {
                self.leaders = Some(items.iter().map(parse_leader).collect());
            }
            ElectionEvent::Update(PrefixUpdate::Changes(events)) => {
                let leaders = self.leaders.get_or_insert_default();
                for event in events {
                    match event {
                        StoreEvent::Written(item) => {
                            let (role, leader) = parse_leader(&item);
                            leaders.insert(role, leader);
                        }
                        StoreEvent::Removed(key) => {
                            leaders.remove(store_keys::last_segment(&key));
                        }
                    }
                }
            }
            ElectionEvent::Claimed(role, claim) => {
                self.claiming.remove(&role);
                match claim {
                    Some(claim) => self.lead(claim),
                    None => {
                        self.claim_times
                            .insert(role, self.context.clock.now() + CLAIM_BACKOFF);
                    }
                }
            }
            ElectionEvent::Ended(role) => {
                self.led.remove(&role);
                self.claim_times
                    .insert(role, self.context.clock.now() + CLAIM_BACKOFF);
            }
        }
    }

    /// Duties that the configuration asks for.
    fn configured_roles(&self) -> Vec<Arc<str>> {
        let Some(config) = self.context.config.borrow().clone() else {
            return Vec::new();
        };
        let pools = config
            .active_pools()
            .map(|pool| format!("{POOL_ROLE_PREFIX}{pool}").into());
        let mut configured_roles: Vec<Arc<str>> = pools.collect();
        configured_roles.push(FLEET_ROLE.into());
        let session = self.context.session.clone();
        configured_roles.sort_by_key(|role| {
            let mut hasher = DefaultHasher::new();
            (session.as_str(), role).hash(&mut hasher);
            hasher.finish()
        });
        configured_roles
    }

    fn claim_vacant_roles(&mut self) {
        let Some(lease) = self.context.lease.borrow().valid_lease(&self.context.clock) else {
            return;
        };
        let Some(leaders) = &self.leaders else {
            return;
        };
        let now = self.context.clock.now();
        let configured_roles = self.configured_roles();
        let mut due = Vec::new();
        for (rank, role) in configured_roles.iter().enumerate() {
            let leader = leaders.get(role);
            // A claim whose answer was lost shows as held here, though nothing carries it.
            let is_free = leader.is_none_or(|leader| **leader == *self.context.session.as_str());
            if !is_free || self.led.contains(role) || self.claiming.contains(role) {
                self.claim_times.remove(role);
                continue;
            }
            let role_count = self.led.len() + self.claiming.len() + due.len();
            let delay = claim_delay(role_count, rank, self.context.settings.cpu_share);
            let at = *self
                .claim_times
                .entry(Arc::clone(role))
                .or_insert_with(|| now + delay);
            if at <= now {
                due.push(Arc::clone(role));
                break;
            }
        }
        for role in due {
            self.claim_times.retain(|other, _| *other == role);
            self.claiming.insert(Arc::clone(&role));
            let (context, sender) = (self.context.clone(), self.sender.clone());
            tokio::spawn(async move {
                let claim = try_claim(&context, &role, lease).await;
                let claim = claim.unwrap_or_else(|error| {
                    warn!(context.log, "claim failed"; "duty" => &*role, "error" => %error);
                    None
                });
                // The election is gone only when the process stops.
                let _ = sender.send(ElectionEvent::Claimed(role, claim));
            });
        }
    }

    fn lead(&mut self, claim: RoleClaim) {
        let role = Arc::clone(&claim.role);
        info!(self.context.log, "duty held"; "duty" => &*role, "term" => %claim.term, "lease" => %claim.lease);
        self.led.insert(Arc::clone(&role));
        let (context, sender) = (self.context.clone(), self.sender.clone());
        tokio::spawn(async move {
            let pool = role.strip_prefix(POOL_ROLE_PREFIX).map(PoolId::new);
            let reason = match pool {
                Some(Ok(pool)) => pool_leader::run(context.clone(), pool, claim).await,
                Some(Err(error)) => Err(error),
                None => fleet_leader::run(context.clone(), claim).await,
            };
            match reason {
                Ok(reason) => info!(context.log, "duty ended"; "duty" => &*role, "reason" => %reason),
                Err(error) => warn!(context.log, "duty failed"; "duty" => &*role, "error" => %error),
            }
            // The election is gone only when the process stops.
            let _ = sender.send(ElectionEvent::Ended(role));
        });
    }
}

fn parse_leader(item: &StoreItem) -> (Arc<str>, Arc<str>) {
    let leader = String::from_utf8_lossy(&item.value);
    (store_keys::last_segment(&item.key).into(), leader.into())
}

fn claim_delay(role_count: usize, rank: usize, cpu_share: f64) -> Duration {
    let fixed = BASE_CLAIM_DELAY + DELAY_PER_ROLE * role_count as u32 + DELAY_PER_RANK * rank as u32;
    let scale = (NOMINAL_CPU_SHARE / cpu_share.max(0.01)).powi(2).clamp(0.1, 6.0);
    let jitter = rand::rng().random_range(0..DELAY_JITTER_MS);
    fixed.mul_f64(scale) + Duration::from_millis(jitter)
}

/// Tries to take a role. None if another session has it.
async fn try_claim(context: &NodeContext, role: &Arc<str>, lease: LeaseId) -> Result<Option<RoleClaim>> {
    let leader_key = store_keys::leader_key(role);
    let term_key = store_keys::term_key(role);
    let current = context.store.get(&term_key, STORE_TIMEOUT).await?;
    let (record, revision) = match &current {
        None => (None, StoreRevision::default()),
        Some(item) => {
            let record: TermRecord = store_keys::decode(&term_key, &item.value)?;
            (Some(record), item.revision)
        }
    };
    let leader = context.store.get(&leader_key, STORE_TIMEOUT).await?;
    // The own session as leader means that an earlier claim took effect without an answer, or that the role
    // failed here. It is taken again with a higher term, since its orders may still be on their way.
    let is_taken = |leader: &StoreItem| leader.value != context.session.as_str().as_bytes();
    if leader.as_ref().is_some_and(is_taken) {
        return Ok(None);
    }
    let leader_revision = leader.map_or(StoreRevision::default(), |leader| leader.revision);
    let term = record.map_or(LeaderTerm::new(1), |record| record.term.next());
    let record = TermRecord {
        term,
        session: context.session.clone(),
        nonce: WriteNonce::new(rand::rng().random()),
    };
    let mut write = StoreTransaction {
        expected_revisions: vec![
            (Arc::clone(&leader_key), leader_revision),
            (Arc::clone(&term_key), revision),
        ],
        ..StoreTransaction::default()
    };
    write.put(
        leader_key,
        context.session.as_str().as_bytes().to_vec(),
        Some(lease),
    );
    write.put(term_key, store_keys::encode(&record)?, None);
    match context.store.commit(&write, STORE_TIMEOUT).await? {
        CommitOutcome::Done(revision) => Ok(Some(new_claim(role, term, revision, lease))),
        CommitOutcome::Conflict(_) | CommitOutcome::LeaseEnded => Ok(None),
    }
}

fn new_claim(role: &Arc<str>, term: LeaderTerm, revision: StoreRevision, lease: LeaseId) -> RoleClaim {
    RoleClaim {
        role: Arc::clone(role),
        term,
        revision,
        lease,
    }
}
