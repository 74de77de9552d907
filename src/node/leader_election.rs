//! Claims duties that no session holds.
//!
//! Answers the loss of holders and the start of all instances at once: a candidate waits the longer the more duties
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

/// Name of the duty for what concerns several pools.
pub const FLEET_DUTY: &str = "fleet";

/// Prefix of the names of the pools' duties.
const POOL_DUTY_PREFIX: &str = "pool-";

/// Delay of a claim on an instance of the usual processor share; it grows as the share falls, so that duties go to
/// the instances that can carry them.
const SHARE_DELAY: Duration = Duration::from_millis(50);

/// Delay of a claim for each duty that is held already.
const DELAY_PER_DUTY: Duration = Duration::from_millis(150);

/// Delay of a claim for each place in the candidate's own order of the duties.
const DELAY_PER_RANK: Duration = Duration::from_millis(15);

/// Random part of the delay of a claim.
const DELAY_JITTER_MS: u64 = 25;

/// Processor share at which delays are as given; they grow as the share falls.
const USUAL_SHARE: f64 = 0.25;

/// Time between looks at the board without news.
const BOARD_TICK: Duration = Duration::from_millis(50);

/// Pause after a claim that failed.
const CLAIM_PAUSE: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum ElectionEvent {
    News(PrefixUpdate),
    Claimed(Arc<str>, Option<RoleClaim>),
    Ended(Arc<str>),
}

/// State of the board.
#[derive(Debug)]
struct LeaderElection {
    parts: NodeContext,
    sender: mpsc::UnboundedSender<ElectionEvent>,
    /// Holders by duty; absent before the first complete read.
    holders: Option<BTreeMap<Arc<str>, Arc<str>>>,
    held: BTreeSet<Arc<str>>,
    claiming: BTreeSet<Arc<str>>,
    claim_at: BTreeMap<Arc<str>, Instant>,
}

/// Claims and carries duties until the process stops and all duties have ended.
pub async fn run(parts: NodeContext) {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let follower = prefix_watcher::spawn(
        &parts.store,
        store_keys::LEADER_PREFIX.into(),
        Duration::ZERO,
        &parts.log,
        &sender,
        ElectionEvent::News,
    );
    let mut board = LeaderElection {
        parts,
        sender,
        holders: None,
        held: BTreeSet::new(),
        claiming: BTreeSet::new(),
        claim_at: BTreeMap::new(),
    };
    loop {
        if let Ok(Some(event)) = tokio::time::timeout(BOARD_TICK, receiver.recv()).await {
            board.take(event);
        }
        if board.parts.is_stopping() {
            if board.held.is_empty() && board.claiming.is_empty() {
                break;
            }
            continue;
        }
        board.claim_free();
    }
    follower.abort();
}

impl LeaderElection {
    fn take(&mut self, event: ElectionEvent) {
        match event {
            ElectionEvent::News(PrefixUpdate::Complete(items)) => {
                self.holders = Some(items.iter().map(holder_of).collect());
            }
            ElectionEvent::News(PrefixUpdate::Changes(events)) => {
                let holders = self.holders.get_or_insert_default();
                for event in events {
                    match event {
                        StoreEvent::Written(item) => {
                            let (duty, holder) = holder_of(&item);
                            holders.insert(duty, holder);
                        }
                        StoreEvent::Removed(key) => {
                            holders.remove(store_keys::last_segment(&key));
                        }
                    }
                }
            }
            ElectionEvent::Claimed(duty, tenure) => {
                self.claiming.remove(&duty);
                match tenure {
                    Some(tenure) => self.carry(tenure),
                    None => {
                        self.claim_at.insert(duty, self.parts.clock.now() + CLAIM_PAUSE);
                    }
                }
            }
            ElectionEvent::Ended(duty) => {
                self.held.remove(&duty);
                self.claim_at.insert(duty, self.parts.clock.now() + CLAIM_PAUSE);
            }
        }
    }

    /// Duties that the configuration asks for.
    fn wanted(&self) -> Vec<Arc<str>> {
        let Some(config) = self.parts.config.borrow().clone() else {
            return Vec::new();
        };
        let pools = config
            .working_pools()
            .map(|pool| format!("{POOL_DUTY_PREFIX}{pool}").into());
        let mut wanted: Vec<Arc<str>> = pools.collect();
        wanted.push(FLEET_DUTY.into());
        let session = self.parts.session.clone();
        wanted.sort_by_key(|duty| {
            let mut hasher = DefaultHasher::new();
            (session.as_str(), duty).hash(&mut hasher);
            hasher.finish()
        });
        wanted
    }

    fn claim_free(&mut self) {
        let Some(lease) = self.parts.lease.borrow().valid_lease(&self.parts.clock) else {
            return;
        };
        let Some(holders) = &self.holders else {
            return;
        };
        let now = self.parts.clock.now();
        let wanted = self.wanted();
        let mut due = Vec::new();
        for (rank, duty) in wanted.iter().enumerate() {
            let holder = holders.get(duty);
            // A claim whose answer was lost shows as held here, though nothing carries it.
            let is_free = holder.is_none_or(|holder| **holder == *self.parts.session.as_str());
            if !is_free || self.held.contains(duty) || self.claiming.contains(duty) {
                self.claim_at.remove(duty);
                continue;
            }
            let load = self.held.len() + self.claiming.len() + due.len();
            let delay = claim_delay(load, rank, self.parts.settings.cpu_share);
            let at = *self
                .claim_at
                .entry(Arc::clone(duty))
                .or_insert_with(|| now + delay);
            if at <= now {
                due.push(Arc::clone(duty));
                break;
            }
        }
        for duty in due {
            self.claim_at.retain(|other, _| *other == duty);
            self.claiming.insert(Arc::clone(&duty));
            let (parts, sender) = (self.parts.clone(), self.sender.clone());
            tokio::spawn(async move {
                let tenure = claim(&parts, &duty, lease).await;
                let tenure = tenure.unwrap_or_else(|error| {
                    warn!(parts.log, "claim failed"; "duty" => &*duty, "error" => %error);
                    None
                });
                // The board is gone only when the process stops.
                let _ = sender.send(ElectionEvent::Claimed(duty, tenure));
            });
        }
    }

    fn carry(&mut self, tenure: RoleClaim) {
        let duty = Arc::clone(&tenure.duty);
        info!(self.parts.log, "duty held"; "duty" => &*duty, "term" => %tenure.term, "lease" => %tenure.lease);
        self.held.insert(Arc::clone(&duty));
        let (parts, sender) = (self.parts.clone(), self.sender.clone());
        tokio::spawn(async move {
            let pool = duty.strip_prefix(POOL_DUTY_PREFIX).map(PoolId::new);
            let reason = match pool {
                Some(Ok(pool)) => pool_leader::run(parts.clone(), pool, tenure).await,
                Some(Err(error)) => Err(error),
                None => fleet_leader::run(parts.clone(), tenure).await,
            };
            match reason {
                Ok(reason) => info!(parts.log, "duty ended"; "duty" => &*duty, "reason" => %reason),
                Err(error) => warn!(parts.log, "duty failed"; "duty" => &*duty, "error" => %error),
            }
            // The board is gone only when the process stops.
            let _ = sender.send(ElectionEvent::Ended(duty));
        });
    }
}

fn holder_of(item: &StoreItem) -> (Arc<str>, Arc<str>) {
    let holder = String::from_utf8_lossy(&item.value);
    (store_keys::last_segment(&item.key).into(), holder.into())
}

fn claim_delay(load: usize, rank: usize, cpu_share: f64) -> Duration {
    let fixed = SHARE_DELAY + DELAY_PER_DUTY * load as u32 + DELAY_PER_RANK * rank as u32;
    let scale = (USUAL_SHARE / cpu_share.max(0.01)).powi(2).clamp(0.1, 6.0);
    let jitter = rand::rng().random_range(0..DELAY_JITTER_MS);
    fixed.mul_f64(scale) + Duration::from_millis(jitter)
}

/// Tries to take a duty. None if another session has it.
async fn claim(parts: &NodeContext, duty: &Arc<str>, lease: LeaseId) -> Result<Option<RoleClaim>> {
    let leader_key = store_keys::leader_key(duty);
    let term_key = store_keys::term_key(duty);
    let current = parts.store.get(&term_key, STORE_TIMEOUT).await?;
    let (record, revision) = match &current {
        None => (None, StoreRevision::default()),
        Some(item) => {
            let record: TermRecord = store_keys::decode(&term_key, &item.value)?;
            (Some(record), item.revision)
        }
    };
    let holder = parts.store.get(&leader_key, STORE_TIMEOUT).await?;
    // The own session as holder means that an earlier claim took effect without an answer, or that the duty
    // failed here. It is taken again with a higher term, since its orders may still be on their way.
    let is_taken = |holder: &StoreItem| holder.value != parts.session.as_str().as_bytes();
    if holder.as_ref().is_some_and(is_taken) {
        return Ok(None);
    }
    let holder_revision = holder.map_or(StoreRevision::default(), |holder| holder.revision);
    let term = record.map_or(LeaderTerm::new(1), |record| record.term.next());
    let record = TermRecord {
        term,
        session: parts.session.clone(),
        nonce: WriteNonce::new(rand::rng().random()),
    };
    let mut write = StoreTransaction {
        expected_revisions: vec![
            (Arc::clone(&leader_key), holder_revision),
            (Arc::clone(&term_key), revision),
        ],
        ..StoreTransaction::default()
    };
    write.put(
        leader_key,
        parts.session.as_str().as_bytes().to_vec(),
        Some(lease),
    );
    write.put(term_key, store_keys::encode(&record)?, None);
    match parts.store.commit(&write, STORE_TIMEOUT).await? {
        CommitOutcome::Done(revision) => Ok(Some(new_tenure(duty, term, revision, lease))),
        CommitOutcome::Conflict(_) | CommitOutcome::LeaseEnded => Ok(None),
    }
}

fn new_tenure(duty: &Arc<str>, term: LeaderTerm, revision: StoreRevision, lease: LeaseId) -> RoleClaim {
    RoleClaim {
        duty: Arc::clone(duty),
        term,
        revision,
        lease,
    }
}
