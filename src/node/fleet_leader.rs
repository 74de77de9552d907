//! Carries the duty for what concerns several pools: plans, waves and moves.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{Logger, info, o, warn};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::dispatch::fleet_planner::{FleetCommand, FleetPlanner, WaveNumber};
use crate::dispatch::pool_plan::PoolPlan;
use crate::dispatch::pool_size::PoolNeed;
use crate::dispatch::wave_plan::{InstanceEntry, InstanceOutcome, WaveProgress};
use crate::error::Result;
use crate::model::id::{InstanceId, PoolId};
use crate::node::fenced_writer::{RoleClaim, WriterEvent};
use crate::node::node_context::{self, NodeContext, STORE_TIMEOUT};
use crate::node::pool_records;
use crate::node::prefix_watcher::{self, PrefixUpdate};
use crate::node::store_keys;
use crate::node::writer_handle::{self, WriterHandle, WriterOutcome};
use crate::platform::instance::InstanceApiClient;
use crate::platform::maintenance_wave;
use crate::platform::store::{StoreItem, StoreTransaction};

/// Time in which reports are taken together.
const REPORT_GAP: Duration = Duration::from_millis(40);

/// Time between reads of the list of instances while it is needed.
const LIST_GAP: Duration = Duration::from_millis(400);

/// Time between decisions without news.
const PLAN_TICK: Duration = Duration::from_millis(200);

/// Least time between two log lines on the size of a pool.
const SIZE_LOG_GAP: Duration = Duration::from_secs(1);

/// Plans and waves in one write.
const WRITE_ORDERS: usize = 10;

enum FleetEvent {
    Reports(PrefixUpdate),
    Waves(PrefixUpdate),
    Listed(Instant, Result<BTreeMap<InstanceId, InstanceEntry>>),
    Upkeep(InstanceId, WaveNumber, InstanceOutcome),
    Moved(InstanceId, PoolId, InstanceOutcome),
    Writer(WriterEvent),
}

struct FleetLeader {
    parts: NodeContext,
    log: Logger,
    planner: FleetPlanner,
    gateway: Option<InstanceApiClient>,
    sender: mpsc::UnboundedSender<FleetEvent>,
    writer: WriterHandle,
    /// Writes that wait for the one before.
    unwritten: VecDeque<FleetCommand>,
    is_listing: bool,
    next_list: Instant,
    wave_progress: BTreeMap<WaveNumber, WaveProgress>,
    logged_needs: BTreeMap<PoolId, PoolNeed>,
    next_size_log: Instant,
    ended: Option<&'static str>,
}

/// Carries the duty until another session takes it or the process stops. Returns why it ended.
///
/// # Errors
/// The store's error if a write cannot succeed.
pub async fn run(parts: NodeContext, tenure: RoleClaim) -> Result<&'static str> {
    let log = parts.log.new(o!("duty" => "fleet", "term" => tenure.term.get()));
    let (plans, waves) = node_context::read_until_answered(&log, || read(&parts)).await;
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let events = sender.clone();
    let send = move |event| events.send(FleetEvent::Writer(event)).is_ok();
    let writer = WriterHandle::start(&parts, &tenure, &log, send);
    let follow = |prefix: &str, gap, wrap| {
        prefix_watcher::spawn(&parts.store, prefix.into(), gap, &log, &sender, wrap)
    };
    let tasks = [
        follow(store_keys::REPORT_PREFIX, REPORT_GAP, FleetEvent::Reports),
        follow(maintenance_wave::WAVE_PREFIX, Duration::ZERO, FleetEvent::Waves),
    ];
    let mut planner = FleetPlanner::new();
    for (pool, plan) in plans {
        planner.set_plan(pool, plan);
    }
    let gateway = parts.settings.instance_api.map(|address| {
        let holder: Arc<str> = parts.session.as_str().into();
        InstanceApiClient::new(parts.caller.clone(), address, holder, tenure.term)
    });
    let mut shell = FleetLeader {
        next_list: parts.clock.now(),
        logged_needs: BTreeMap::new(),
        next_size_log: parts.clock.now(),
        parts,
        log,
        planner,
        gateway,
        sender,
        writer,
        unwritten: VecDeque::new(),
        is_listing: false,
        wave_progress: waves,
        ended: None,
    };
    let reason = shell.carry(&mut receiver).await;
    tasks.iter().for_each(JoinHandle::abort);
    reason
}

/// Reads the plans and the progress of waves.
async fn read(
    parts: &NodeContext,
) -> Result<(BTreeMap<PoolId, PoolPlan>, BTreeMap<WaveNumber, WaveProgress>)> {
    let mut plans = BTreeMap::new();
    let (items, _) = parts.store.range(store_keys::PLAN_PREFIX, STORE_TIMEOUT).await?;
    for item in &items {
        let pool = PoolId::new(store_keys::last_segment(&item.key))?;
        if let Some(plan) = pool_records::read_record(parts, Some(item)) {
            plans.insert(pool, plan);
        }
    }
    let mut waves = BTreeMap::new();
    let (items, _) = parts.store.range(store_keys::WAVE_PREFIX, STORE_TIMEOUT).await?;
    for item in &items {
        let number = store_keys::last_segment(&item.key).parse();
        if let (Ok(number), Some(progress)) = (number, pool_records::read_record(parts, Some(item))) {
            waves.insert(number, progress);
        }
    }
    Ok((plans, waves))
}

impl FleetLeader {
    async fn carry(&mut self, receiver: &mut mpsc::UnboundedReceiver<FleetEvent>) -> Result<&'static str> {
        let mut config = self.parts.config.clone();
        if let Some(config) = config.borrow_and_update().clone() {
            self.planner.set_config(&config);
        }
        loop {
            if let Ok(event) = tokio::time::timeout(PLAN_TICK, receiver.recv()).await {
                let Some(event) = event else {
                    return Ok("no sender is left");
                };
                self.take(event)?;
            }
            while let Ok(event) = receiver.try_recv() {
                self.take(event)?;
            }
            if config.has_changed().unwrap_or(false)
                && let Some(config) = config.borrow_and_update().clone()
            {
                self.planner.set_config(&config);
            }
            if let Some(reason) = self.ended {
                return Ok(reason);
            }
            if self.parts.is_stopping() {
                return Ok("the process stops");
            }
            self.act()?;
        }
    }

    fn take(&mut self, event: FleetEvent) -> Result<()> {
        let now = self.parts.clock.now();
        match event {
            FleetEvent::Reports(news) => {
                for item in news.into_items() {
                    let pool = PoolId::new(store_keys::last_segment(&item.key))?;
                    if let Some(report) = pool_records::read_record(&self.parts, Some(&item)) {
                        self.planner.set_report(pool, report);
                    }
                }
            }
            FleetEvent::Waves(news) => {
                for item in news.into_items() {
                    self.take_wave(now, &item);
                }
            }
            FleetEvent::Listed(read_at, list) => {
                self.is_listing = false;
                match list {
                    Ok(list) => self.planner.set_instances(read_at, list),
                    Err(error) => warn!(self.log, "instances not listed"; "error" => %error),
                }
            }
            FleetEvent::Upkeep(instance, number, outcome) => {
                info!(self.log, "upkeep ordered"; "instance" => %instance, "wave" => number, "outcome" => %outcome);
                self.planner.upkeep_answered(now, &instance, number, outcome);
                self.check_fenced(outcome);
            }
            FleetEvent::Moved(instance, pool, outcome) => {
                info!(self.log, "move ordered"; "instance" => %instance, "to" => %pool, "outcome" => %outcome);
                self.planner.move_answered(now, &instance, &pool, outcome);
                self.check_fenced(outcome);
            }
            FleetEvent::Writer(event) => match self.writer.take(event)? {
                WriterOutcome::Stored | WriterOutcome::Resumed => {}
                WriterOutcome::Deposed => self.ended = Some(writer_handle::DEPOSED),
            },
        }
        Ok(())
    }

    fn check_fenced(&mut self, outcome: InstanceOutcome) {
        if outcome == InstanceOutcome::Fenced {
            self.ended = Some("the machine API has seen a newer holder");
        }
    }

    fn take_wave(&mut self, now: Instant, item: &StoreItem) {
        match maintenance_wave::decode_wave(&item.key, &item.value) {
            Ok((number, request)) => {
                info!(self.log, "wave requested"; "wave" => number, "instances" => request.instances.len(),
                    "most_down" => request.most_down, "duration_ms" => request.duration.as_millis() as u64);
                let progress = self.wave_progress.get(&number).cloned().unwrap_or_default();
                self.planner.set_wave(now, number, request, progress);
            }
            Err(error) => warn!(self.log, "wave refused"; "error" => %error),
        }
    }

    fn act(&mut self) -> Result<()> {
        let now = self.parts.clock.now();
        let valid = self.parts.lease.borrow().valid_lease(&self.parts.clock);
        if !self.writer.holds_under(valid)? {
            return Ok(());
        }
        self.read_list(now);
        for order in self.planner.decide(now) {
            match order {
                FleetCommand::PublishPlan(..) | FleetCommand::StoreWave(..) => {
                    self.unwritten.push_back(order)
                }
                FleetCommand::StartMaintenance(instance, number) => self.start_upkeep(instance, number),
                FleetCommand::MoveInstance(instance, pool) => self.start_move(instance, pool),
            }
        }
        self.log_sizes(now);
        self.flush()
    }

    /// Logs the sizes of pools that have changed, with the demand that decided them.
    fn log_sizes(&mut self, now: Instant) {
        if now < self.next_size_log {
            return;
        }
        self.next_size_log = now + SIZE_LOG_GAP;
        for (pool, need) in self.planner.needs() {
            if self.logged_needs.get(pool) == Some(need) {
                continue;
            }
            let report = self.planner.report(pool).cloned().unwrap_or_default();
            info!(self.log, "pool sized"; "pool" => %pool, "target" => need.target,
                "available" => need.available, "used_millicores" => %report.used.cores,
                "ready_millicores" => %report.ready.cores, "inflow_millicores" => %report.inflow.cores,
                "remaining_millicores" => %report.remaining.cores,
                "lasting_millicores" => %report.lasting.cores, "spread" => report.spread,
                "listed" => report.workers.len());
        }
        self.logged_needs.clone_from(self.planner.needs());
    }

    fn read_list(&mut self, now: Instant) {
        let Some(gateway) = self.gateway.clone() else {
            return;
        };
        if self.is_listing || now < self.next_list || !self.planner.needs_list() {
            return;
        }
        self.is_listing = true;
        self.next_list = now + LIST_GAP;
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let list = gateway.list().await;
            // The shell is gone only when the duty has ended.
            let _ = sender.send(FleetEvent::Listed(now, list));
        });
    }

    fn start_upkeep(&self, instance: InstanceId, number: WaveNumber) {
        let Some(gateway) = self.gateway.clone() else {
            return;
        };
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let outcome = gateway.start_maintenance(&instance, number).await;
            // The shell is gone only when the duty has ended.
            let _ = sender.send(FleetEvent::Upkeep(instance, number, outcome));
        });
    }

    fn start_move(&self, instance: InstanceId, pool: PoolId) {
        let Some(gateway) = self.gateway.clone() else {
            return;
        };
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let outcome = gateway.move_instance(&instance, &pool).await;
            // The shell is gone only when the duty has ended.
            let _ = sender.send(FleetEvent::Moved(instance, pool, outcome));
        });
    }

    fn flush(&mut self) -> Result<()> {
        if self.writer.is_writing() || self.unwritten.is_empty() {
            return Ok(());
        }
        let count = self.unwritten.len().min(WRITE_ORDERS);
        let orders: Vec<FleetCommand> = self.unwritten.drain(..count).collect();
        self.writer.write(encode(&orders)?)
    }
}

fn encode(orders: &[FleetCommand]) -> Result<StoreTransaction> {
    let mut write = StoreTransaction::default();
    for order in orders {
        match order {
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
