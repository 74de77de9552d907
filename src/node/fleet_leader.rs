//! Event loop of the fleet's leader, which handles what concerns several pools: plans, maintenance waves and
//! moves of instances.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound::{Excluded, Unbounded};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use slog::{Logger, info, o, warn};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::dispatch::fleet_planner::{FleetCommand, FleetPlanner, WaveNumber};
use crate::dispatch::load_digest::GrowthDigest;
use crate::dispatch::pool_plan::PoolPlan;
use crate::dispatch::pool_size::PoolNeed;
use crate::dispatch::wave_plan::{InstanceEntry, InstanceOutcome, WaveProgress};
use crate::error::Result;
use crate::model::id::{InstanceId, LeaderTerm, OrganisationId, PoolId, ZoneId};
use crate::node::fenced_writer::{RoleClaim, WriterEvent};
use crate::node::node_context::{self, NodeContext, STORE_TIMEOUT};
use crate::node::node_lease::LeaseGuard;
use crate::node::pool_records;
use crate::node::prefix_watcher::{self, PrefixUpdate};
use crate::node::store_keys;
use crate::node::writer_handle::{self, WriterHandle, WriterOutcome};
use crate::node::zone_watcher::{self, ZoneReceiver};
use crate::platform::instance::InstanceApiClient;
use crate::platform::maintenance_wave;
use crate::platform::store::{StoreItem, StoreTransaction};

/// Time for which reports of pools are collected before they are handled.
const REPORT_BATCH_INTERVAL: Duration = Duration::from_millis(40);

/// Minimum time between two requests for the list of instances, which are sent only while the list is needed.
const LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum time between two decisions when no event arrives.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two checks for changed pool sizes and divided limits to log.
const STATE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits that are logged in one check.
const MAX_LOGGED_LIMITS: usize = 4;

/// Pools named in a log line about a limit, those with waiting tasks first.
const MAX_LOGGED_POOLS: usize = 6;

/// Minimum time between two writes of the workers that pools could have, which is stored only while a pool lacks
/// workers. Readers ignore one that is 3 s old.
const GROWTH_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of plans and waves in one write; a wave takes two of the entries that a transaction may have.
const MAX_WRITE_COMMANDS: usize = 10;

enum FleetEvent {
    Reports(PrefixUpdate),
    Waves(PrefixUpdate),
    InstancesListed(Instant, Result<BTreeMap<InstanceId, InstanceEntry>>),
    Maintenance(InstanceId, WaveNumber, InstanceOutcome),
    Moved(InstanceId, PoolId, InstanceOutcome),
    Writer(WriterEvent),
    /// The view of the zones under evacuation was confirmed or has changed.
    Zones,
}

struct FleetLeader {
    context: NodeContext,
    log: Logger,
    planner: FleetPlanner,
    term: LeaderTerm,
    client: Option<InstanceApiClient>,
    sender: mpsc::UnboundedSender<FleetEvent>,
    writer: WriterHandle,
    /// Plans and waves that wait for the write in progress.
    unwritten: VecDeque<FleetCommand>,
    is_list_pending: bool,
    next_list: Instant,
    /// Progress of waves as read from the store at the start of the leadership.
    wave_progress: BTreeMap<WaveNumber, WaveProgress>,
    logged_needs: BTreeMap<PoolId, PoolNeed>,
    next_state_log: Instant,
    /// Organisation whose limit was logged last; the next check goes on after it.
    last_logged_limit: Option<OrganisationId>,
    zones: ZoneReceiver,
    /// Requests to evacuate a zone that have been checked against the list of instances.
    checked_zones: BTreeSet<ZoneId>,
    next_growth: Instant,
    end_reason: Option<&'static str>,
}

/// Leads the fleet until another session takes over or the process stops. Returns the reason for the end.
///
/// # Errors
/// The store's error if a transaction cannot succeed, `internal` if a record cannot be encoded.
pub async fn run(context: NodeContext, claim: RoleClaim) -> Result<&'static str> {
    let log = context.log.new(o!("duty" => "fleet", "term" => claim.term.get()));
    let (plans, waves) =
        node_context::read_with_retries(&context.store, &log, || read_records(&context)).await;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let events = sender.clone();
    let send = move |event| events.send(FleetEvent::Writer(event)).is_ok();
    let writer = WriterHandle::start(&context, &claim, &log, send);
    let watch = |prefix: &str, batch_interval, wrap| {
        prefix_watcher::spawn(&context.store, prefix.into(), batch_interval, &log, &sender, wrap)
    };
    let tasks = [
        watch(
            store_keys::REPORT_PREFIX,
            REPORT_BATCH_INTERVAL,
            FleetEvent::Reports,
        ),
        watch(maintenance_wave::WAVE_PREFIX, Duration::ZERO, FleetEvent::Waves),
    ];
    let mut planner = FleetPlanner::new();
    for (pool, plan) in plans {
        planner.set_plan(pool, plan);
    }
    let client = context.settings.instance_api.map(|address| {
        let leader_session: Arc<str> = context.session.as_str().into();
        InstanceApiClient::new(context.http_client.clone(), address, leader_session, claim.term)
    });
    let (zones, zone_task) = zone_watcher::spawn(&context, &log, &sender, || FleetEvent::Zones);
    let mut leader = FleetLeader {
        next_list: context.clock.now(),
        logged_needs: BTreeMap::new(),
        next_state_log: context.clock.now(),
        last_logged_limit: None,
        next_growth: context.clock.now(),
        term: claim.term,
        context,
        log,
        planner,
        client,
        sender,
        writer,
        unwritten: VecDeque::new(),
        is_list_pending: false,
        wave_progress: waves,
        zones,
        checked_zones: BTreeSet::new(),
        end_reason: None,
    };
    let reason = leader.run(&mut receiver).await;
    tasks.iter().chain(&zone_task).for_each(JoinHandle::abort);
    reason
}

/// Reads the plans and the progress of waves that earlier leaders stored.
async fn read_records(
    context: &NodeContext,
) -> Result<(BTreeMap<PoolId, PoolPlan>, BTreeMap<WaveNumber, WaveProgress>)> {
    let mut plans = BTreeMap::new();
    let (items, _) = context
        .store
        .range(store_keys::PLAN_PREFIX, STORE_TIMEOUT)
        .await?;
    for item in &items {
        plans.extend(decode_pool_record(context, item));
    }
    let mut waves = BTreeMap::new();
    let (items, _) = context
        .store
        .range(store_keys::WAVE_PREFIX, STORE_TIMEOUT)
        .await?;
    for item in &items {
        let number = store_keys::last_segment(&item.key).parse();
        if let (Ok(number), Some(progress)) = (number, pool_records::decode_record(context, Some(item))) {
            waves.insert(number, progress);
        }
    }
    Ok((plans, waves))
}

/// Decodes the record of the pool that its key names. `None` if either is malformed, which is logged.
fn decode_pool_record<T: DeserializeOwned>(context: &NodeContext, item: &StoreItem) -> Option<(PoolId, T)> {
    match PoolId::new(store_keys::last_segment(&item.key)) {
        Ok(pool) => Some((pool, pool_records::decode_record(context, Some(item))?)),
        Err(error) => {
            warn!(context.log, "record ignored"; "key" => &*item.key, "error" => %error);
            None
        }
    }
}

impl FleetLeader {
    async fn run(&mut self, receiver: &mut mpsc::UnboundedReceiver<FleetEvent>) -> Result<&'static str> {
        let mut config = self.context.config.clone();
        if let Some(config) = config.borrow_and_update().clone() {
            self.planner.set_config(&config);
        }
        loop {
            if let Ok(event) = tokio::time::timeout(PLAN_INTERVAL, receiver.recv()).await {
                let Some(event) = event else {
                    return Ok("all event senders are gone");
                };
                self.handle_event(event)?;
            }
            while let Ok(event) = receiver.try_recv() {
                self.handle_event(event)?;
            }
            if config.has_changed().unwrap_or(false)
                && let Some(config) = config.borrow_and_update().clone()
            {
                self.planner.set_config(&config);
            }
            if let Some(reason) = self.end_reason {
                return Ok(reason);
            }
            if self.context.is_stopping() {
                return Ok("the process stops");
            }
            self.plan()?;
        }
    }

    fn handle_event(&mut self, event: FleetEvent) -> Result<()> {
        let now = self.context.clock.now();
        match event {
            FleetEvent::Reports(update) => {
                for item in update.into_items() {
                    if let Some((pool, report)) = decode_pool_record(&self.context, &item) {
                        self.planner.set_report(pool, report);
                    }
                }
            }
            FleetEvent::Waves(update) => {
                for item in update.into_items() {
                    self.handle_wave(now, &item);
                }
            }
            FleetEvent::InstancesListed(read_at, list) => {
                self.is_list_pending = false;
                match list {
                    Ok(list) => self.planner.set_instances(read_at, list),
                    Err(error) => warn!(self.log, "instance list not read"; "error" => %error),
                }
            }
            FleetEvent::Maintenance(instance, number, outcome) => {
                info!(self.log, "upkeep ordered"; "instance" => %instance, "wave" => number,
                    "outcome" => %outcome);
                self.planner
                    .handle_maintenance_outcome(now, &instance, number, outcome);
                self.end_if_fenced(outcome);
            }
            FleetEvent::Moved(instance, pool, outcome) => {
                info!(self.log, "move ordered"; "instance" => %instance, "to" => %pool,
                    "outcome" => %outcome);
                self.planner.handle_move_outcome(now, &instance, &pool, outcome);
                self.end_if_fenced(outcome);
            }
            FleetEvent::Writer(event) => match self.writer.handle_event(event)? {
                WriterOutcome::Stored | WriterOutcome::StoredUnbound | WriterOutcome::Resumed => {}
                WriterOutcome::Deposed => self.end_reason = Some(writer_handle::DEPOSED),
            },
            // The view is read before each decision.
            FleetEvent::Zones => {}
        }
        Ok(())
    }

    fn end_if_fenced(&mut self, outcome: InstanceOutcome) {
        if outcome == InstanceOutcome::Fenced {
            self.end_reason = Some("the machine API has seen a newer leader");
        }
    }

    fn handle_wave(&mut self, now: Instant, item: &StoreItem) {
        match maintenance_wave::decode_wave(&item.key, &item.value) {
            Ok((number, request)) => {
                info!(self.log, "wave requested"; "wave" => number, "instances" => request.instances.len(),
                    "most_down" => request.max_down, "duration_ms" => request.duration.as_millis() as u64);
                let progress = self.wave_progress.get(&number).cloned().unwrap_or_default();
                self.planner.set_wave(now, number, request, progress);
            }
            Err(error) => warn!(self.log, "wave refused"; "error" => %error),
        }
    }

    fn plan(&mut self) -> Result<()> {
        let now = self.context.clock.now();
        let valid_lease = self.context.lease.borrow().valid_lease(&self.context.clock);
        if !self.writer.is_leader_under(valid_lease)? {
            return Ok(());
        }
        self.request_instance_list(now);
        if !self.update_zones() {
            return Ok(());
        }
        let (status, clock) = (self.context.lease.clone(), Arc::clone(&self.context.clock));
        let guard = LeaseGuard::new(valid_lease, status, clock);
        for command in self.planner.decide(now) {
            match command {
                FleetCommand::PublishPlan(..) | FleetCommand::StoreWave(..) => {
                    self.unwritten.push_back(command);
                }
                FleetCommand::StartMaintenance(instance, number) => {
                    self.start_maintenance(instance, number, guard.clone());
                }
                FleetCommand::MoveInstance(instance, pool) => self.start_move(instance, pool, guard.clone()),
            }
        }
        if now >= self.next_state_log {
            self.next_state_log = now + STATE_LOG_INTERVAL;
            self.log_pool_sizes();
            self.log_divided_limits();
        }
        self.flush(now)
    }

    /// Passes the zones under evacuation to the planner. Returns false while they have not been read: an instance must
    /// not be moved to a pool from a zone under evacuation.
    fn update_zones(&mut self) -> bool {
        let view = self.zones.borrow().clone();
        if view.is_read() {
            self.planner.set_closed_zones(view.zones());
            self.check_zones(view.zones());
        }
        view.is_read()
    }

    /// Logs once for each request that its zone is unknown, or that it leaves no zone open.
    fn check_zones(&mut self, zones: &BTreeSet<ZoneId>) {
        self.checked_zones.retain(|zone| zones.contains(zone));
        let known = self.planner.known_zones();
        if known.is_empty() {
            return;
        }
        let new: Vec<ZoneId> = zones.difference(&self.checked_zones).cloned().collect();
        for zone in &new {
            if !known.contains(zone) {
                warn!(self.log, "zone evacuation without effect: no instance is in the zone"; "zone" => %zone);
            }
        }
        if !new.is_empty() && known.iter().all(|zone| zones.contains(*zone)) {
            warn!(self.log, "all zones are under evacuation; jobs wait"; "zones" => known.len());
        }
        self.checked_zones.extend(new);
    }

    /// Logs the pool sizes that have changed, with the demand from which they were computed.
    fn log_pool_sizes(&mut self) {
        for (pool, need) in self.planner.needs() {
            if self.logged_needs.get(pool) == Some(need) {
                continue;
            }
            let report = self.planner.report(pool).cloned().unwrap_or_default();
            info!(self.log, "pool sized"; "pool" => %pool, "target" => need.target,
                "available" => need.available, "used_millicores" => %report.used.cores,
                "ready_millicores" => %report.ready.cores, "inflow_millicores" => %report.inflow.cores,
                "remaining_millicores" => %report.remaining.cores,
                "lasting_millicores" => %report.long_running.cores, "spread" => report.spread,
                "listed" => report.workers.len());
        }
        self.logged_needs.clone_from(self.planner.needs());
    }

    /// Logs how limits were divided for which pools compete, some of them in each check.
    fn log_divided_limits(&mut self) {
        let limits = self.planner.divided_limits();
        let later = self.last_logged_limit.as_ref().map_or(Unbounded, Excluded);
        let mut last = None;
        for (organisation, divided) in limits.range((later, Unbounded)).take(MAX_LOGGED_LIMITS) {
            info!(self.log, "limit divided"; "organisation" => %organisation, "limit" => %divided.limit,
                "pools" => divided.describe_pools(MAX_LOGGED_POOLS));
            last = Some(organisation.clone());
        }
        self.last_logged_limit = last;
    }

    fn request_instance_list(&mut self, now: Instant) {
        let Some(client) = self.client.clone() else {
            return;
        };
        if self.is_list_pending || now < self.next_list || !self.planner.needs_instance_list() {
            return;
        }
        self.is_list_pending = true;
        self.next_list = now + LIST_INTERVAL;
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let list = client.list().await;
            // The receiver is dropped only when the leadership has ended.
            let _ = sender.send(FleetEvent::InstancesListed(now, list));
        });
    }

    // The machine API may not compare fencing tokens, so that a request must not be sent after the lease under which
    // it was decided.
    fn start_maintenance(&self, instance: InstanceId, number: WaveNumber, guard: LeaseGuard) {
        let Some(client) = self.client.clone() else {
            return;
        };
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let outcome = if guard.is_valid() {
                client.start_maintenance(&instance, number).await
            } else {
                InstanceOutcome::Refused
            };
            // The receiver is dropped only when the leadership has ended.
            let _ = sender.send(FleetEvent::Maintenance(instance, number, outcome));
        });
    }

    fn start_move(&self, instance: InstanceId, pool: PoolId, guard: LeaseGuard) {
        let Some(client) = self.client.clone() else {
            return;
        };
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let outcome = if guard.is_valid() {
                client.move_instance(&instance, &pool).await
            } else {
                InstanceOutcome::Refused
            };
            // The receiver is dropped only when the leadership has ended.
            let _ = sender.send(FleetEvent::Moved(instance, pool, outcome));
        });
    }

    fn flush(&mut self, now: Instant) -> Result<()> {
        let is_growth_due = self.is_growth_due(now);
        if self.writer.is_writing() || (self.unwritten.is_empty() && !is_growth_due) {
            return Ok(());
        }
        let count = self.unwritten.len().min(MAX_WRITE_COMMANDS);
        let commands: Vec<FleetCommand> = self.unwritten.drain(..count).collect();
        let mut write = encode(&commands)?;
        if is_growth_due {
            self.next_growth = now + GROWTH_INTERVAL;
            let growth = GrowthDigest {
                at: self.context.wall_time(),
                term: self.term,
                workers: self.planner.growth(),
            };
            let lease = Some(self.writer.lease());
            write.put(store_keys::GROWTH_KEY, store_keys::encode(&growth)?, lease);
        }
        self.writer.write(write)
    }

    /// Whether the workers that pools could have are to be stored. Without them nothing is refused for the load of a
    /// pool, so that they are needed only while a pool lacks workers.
    fn is_growth_due(&self, now: Instant) -> bool {
        self.context.options.forecasts_admission && now >= self.next_growth && self.planner.has_shortage()
    }
}

fn encode(commands: &[FleetCommand]) -> Result<StoreTransaction> {
    let mut write = StoreTransaction::default();
    for command in commands {
        match command {
            FleetCommand::PublishPlan(pool, plan) => {
                write.put(store_keys::plan_key(pool), store_keys::encode(plan)?, None);
            }
            FleetCommand::StoreWave(number, progress) => {
                let key = format!("{}{number}", store_keys::WAVE_PREFIX);
                write.put(key, store_keys::encode(progress)?, None);
                let (key, value) = maintenance_wave::encode_wave_status(*number, progress.is_complete)?;
                write.put(key, value, None);
            }
            FleetCommand::StartMaintenance(..) | FleetCommand::MoveInstance(..) => {}
        }
    }
    Ok(write)
}
