//! Leader election: claims roles that no session leads.
//!
//! When a leader is lost or all instances start at once, several candidates compete for the same roles. A
//! candidate delays its claim the longer, the more roles it leads and the smaller its CPU share is, so that
//! roles spread over the instances.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use slog::{info, warn};
use tokio::sync::mpsc;

use crate::error::{Error, ErrorKind, Result};
use crate::model::id::{LeaderTerm, LeaseId, PoolId, StoreRevision, WriteNonce};
use crate::node::fenced_writer::{RoleClaim, TermRecord};
use crate::node::fleet_leader;
use crate::node::node_context::{NodeContext, STORE_TIMEOUT};
use crate::node::pool_leader;
use crate::node::prefix_watcher::{self, PrefixUpdate};
use crate::node::store_keys;
use crate::platform::store::{CommitOutcome, StoreEvent, StoreItem, StoreTransaction};

/// Name of the role for work that concerns several pools.
pub const FLEET_ROLE: &str = "fleet";

/// Prefix of the names of the pools' roles.
const POOL_ROLE_PREFIX: &str = "pool-";

/// Base delay of a claim at [`NOMINAL_CPU_SHARE`].
const BASE_CLAIM_DELAY: Duration = Duration::from_millis(50);

/// Additional delay for each role that the session leads or is claiming.
const DELAY_PER_ROLE: Duration = Duration::from_millis(150);

/// Additional delay for each place in the session's own order of the roles, so that candidates differ in what
/// they claim first.
const DELAY_PER_RANK: Duration = Duration::from_millis(15);

/// Exclusive upper bound of the random part of a delay.
const DELAY_JITTER_MS: u64 = 25;

/// CPU share of the instance at which delays are as given. Smaller shares lengthen them, so that roles go to
/// the instances that can carry the load.
const NOMINAL_CPU_SHARE: f64 = 0.25;

/// Longest time between two checks for vacant roles.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Pause before the next claim of a role after a claim failed or the leadership ended.
const CLAIM_BACKOFF: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum ElectionEvent {
    Update(PrefixUpdate),
    Claimed(Arc<str>, Option<RoleClaim>),
    Ended(Arc<str>),
}

/// The session's view of all roles.
#[derive(Debug)]
struct LeaderElection {
    context: NodeContext,
    sender: mpsc::UnboundedSender<ElectionEvent>,
    /// Sessions of the leaders by role; `None` before the first read.
    leaders: Option<BTreeMap<Arc<str>, Arc<str>>>,
    /// Roles that this session leads.
    led: BTreeSet<Arc<str>>,
    /// Roles with a claim in progress.
    claiming: BTreeSet<Arc<str>>,
    /// Earliest time of the next claim by role.
    claim_times: BTreeMap<Arc<str>, Instant>,
}

/// Claims roles and leads them until the process stops and all leadership of this session has ended.
pub async fn run(context: NodeContext) {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let watcher = prefix_watcher::spawn(
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
    watcher.abort();
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

    /// The fleet role and the roles of all configured pools, in an order that differs between sessions.
    fn configured_roles(&self) -> Vec<Arc<str>> {
        let Some(config) = self.context.config.borrow().clone() else {
            return Vec::new();
        };
        let pools = config
            .active_pools()
            .map(|pool| format!("{POOL_ROLE_PREFIX}{pool}").into());
        let mut roles: Vec<Arc<str>> = pools.collect();
        roles.push(FLEET_ROLE.into());
        let session = self.context.session.clone();
        roles.sort_by_key(|role| {
            let mut hasher = DefaultHasher::new();
            (session.as_str(), role).hash(&mut hasher);
            hasher.finish()
        });
        roles
    }

    fn claim_vacant_roles(&mut self) {
        let Some(lease) = self.context.lease.borrow().valid_lease(&self.context.clock) else {
            return;
        };
        let Some(leaders) = &self.leaders else {
            return;
        };
        let now = self.context.clock.now();
        let roles = self.configured_roles();
        let mut due = Vec::new();
        for (rank, role) in roles.iter().enumerate() {
            let leader = leaders.get(role);
            // After a claim whose response was lost, the store names this session although it does not act as
            // leader.
            let is_vacant = leader.is_none_or(|leader| **leader == *self.context.session.as_str());
            if !is_vacant || self.led.contains(role) || self.claiming.contains(role) {
                self.claim_times.remove(role);
                continue;
            }
            let role_count = self.led.len() + self.claiming.len() + due.len();
            let delay = claim_delay(role_count, rank, self.context.settings.cpu_share);
            let claim_at = *self
                .claim_times
                .entry(Arc::clone(role))
                .or_insert_with(|| now + delay);
            if claim_at <= now {
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
                // The receiver is dropped only when the process stops.
                let _ = sender.send(ElectionEvent::Claimed(role, claim));
            });
        }
    }

    fn lead(&mut self, claim: RoleClaim) {
        let role = Arc::clone(&claim.role);
        info!(self.context.log, "duty held"; "duty" => &*role, "term" => %claim.term,
            "lease" => %claim.lease);
        self.led.insert(Arc::clone(&role));
        let (context, sender) = (self.context.clone(), self.sender.clone());
        tokio::spawn(async move {
            let leader_context = context.clone();
            let pool = role.strip_prefix(POOL_ROLE_PREFIX).map(PoolId::new);
            // A panic ends this leadership only; the role is then claimed again with a higher term.
            let task = tokio::spawn(async move {
                match pool {
                    Some(Ok(pool)) => pool_leader::run(leader_context, pool, claim).await,
                    Some(Err(error)) => Err(error),
                    None => fleet_leader::run(leader_context, claim).await,
                }
            });
            let panicked = |error| Err(Error::new(ErrorKind::Internal, format!("leader task: {error}")));
            match task.await.unwrap_or_else(panicked) {
                Ok(reason) => info!(context.log, "duty ended"; "duty" => &*role, "reason" => %reason),
                Err(error) => warn!(context.log, "duty failed"; "duty" => &*role, "error" => %error),
            }
            // The receiver is dropped only when the process stops.
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

/// Claims a role with the next term. Returns `None` if another session leads it or the lease has ended.
async fn try_claim(context: &NodeContext, role: &Arc<str>, lease: LeaseId) -> Result<Option<RoleClaim>> {
    let leader_key = store_keys::leader_key(role);
    let term_key = store_keys::term_key(role);
    let term_item = context.store.get(&term_key, STORE_TIMEOUT).await?;
    let (last_record, term_revision) = match &term_item {
        None => (None, StoreRevision::default()),
        Some(item) => {
            let record: TermRecord = store_keys::decode(&term_key, &item.value)?;
            (Some(record), item.revision)
        }
    };
    let leader = context.store.get(&leader_key, STORE_TIMEOUT).await?;
    // If the store names this session, the response to an earlier claim was lost or the leader failed here.
    // The role is claimed again with a higher term, because commands of the earlier term may still be in
    // flight.
    let is_other_session = |leader: &StoreItem| leader.value != context.session.as_str().as_bytes();
    if leader.as_ref().is_some_and(is_other_session) {
        return Ok(None);
    }
    let leader_revision = leader.map_or(StoreRevision::default(), |leader| leader.revision);
    let term = last_record.map_or(LeaderTerm::new(1), |record| record.term.next());
    let record = TermRecord {
        term,
        session: context.session.clone(),
        nonce: WriteNonce::new(rand::rng().random()),
    };
    let mut write = StoreTransaction {
        expected_revisions: vec![
            (Arc::clone(&leader_key), leader_revision),
            (Arc::clone(&term_key), term_revision),
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
