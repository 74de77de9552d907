//! Event loop of a pool's leader: passes events to the scheduler and executes its commands.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use slog::{Logger, debug, info, o, warn};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::dispatch::command::PoolCommand;
use crate::dispatch::job_record::{JobProgress, JobRecord};
use crate::dispatch::link_budget::LinkBudget;
use crate::dispatch::load_digest::LoadDigest;
use crate::dispatch::poll_pace::PollPace;
use crate::dispatch::pool_plan::{PoolReport, ZoneRuns};
use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::dispatch::shed_order::ShedSummary;
use crate::dispatch::takeover::TakeoverState;
use crate::error::Result;
use crate::model::id::{JobId, LeaseId, PoolId, QueueId, WorkerId, ZoneId};
use crate::node::command_executor::{CommandExecutor, CommandOutcome};
use crate::node::fenced_writer::{RoleClaim, WriterEvent};
use crate::node::flush_write::{self, LeaderRecords};
use crate::node::node_context::{self, NodeContext, STORE_TIMEOUT};
use crate::node::pool_records::{self, PoolRecords};
use crate::node::prefix_watcher::{self, PrefixUpdate};
use crate::node::retention_lease::{self, RetentionLease};
use crate::node::store_keys;
use crate::node::writer_handle::{self, WriterHandle, WriterOutcome};
use crate::node::zone_watcher::{self, ZoneReceiver};
use crate::platform::discovery;
use crate::platform::store::{StoreEvent, StoreItem, WORKER_PREFIX};

/// Entries of a write for changes of jobs: the store accepts 32, of which the expected revision, the term record,
/// the report and the waiting counts take one each. A digest of load takes one of these.
const MAX_FLUSH_ENTRIES: usize = 28;

/// Minimum time between two writes; results that arrive close together are stored together. A write that leaves
/// changes behind is followed by the next one at once.
const FLUSH_INTERVAL: Duration = Duration::from_millis(40);

/// Minimum time between two reports when a change is urgent.
const URGENT_REPORT_INTERVAL: Duration = Duration::from_millis(80);

/// Minimum time between two checks for an urgent change, each of which reads all jobs and workers.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Minimum time between two reports when no change is urgent.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two writes of the waiting counts, which may be up to 2 s old.
const WAITING_COUNTS_INTERVAL: Duration = Duration::from_millis(700);

/// Minimum time between two digests of load while jobs wait.
const DIGEST_INTERVAL: Duration = Duration::from_millis(250);

/// The same while none waits; submissions are then admitted with or without a digest.
const IDLE_DIGEST_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which a digest is written by itself while jobs wait. Readers ignore one that is 3 s old.
const MAX_DIGEST_DELAY: Duration = Duration::from_secs(1);

/// Minimum pause between two decisions; events that arrive close together are decided on together.
const MIN_DECISION_PAUSE: Duration = Duration::from_millis(3);

/// Maximum pause between two decisions.
const MAX_DECISION_PAUSE: Duration = Duration::from_millis(40);

/// Pause after a decision as a multiple of its duration, so that decisions leave CPU time for commands.
const DECISION_PAUSE_FACTOR: u32 = 3;

/// Time for which changes of the list of workers are collected before they are handled.
const WORKER_BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Time limit of the last write when the process stops.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(600);

enum PoolEvent {
    Inbox(PrefixUpdate),
    Workers(PrefixUpdate),
    Plan(PrefixUpdate),
    Command(CommandOutcome),
    Writer(WriterEvent),
    LeaseGrant(Instant, Option<(LeaseId, Duration)>),
    /// The view of the zones under evacuation was confirmed or has changed.
    Zones,
}

struct PoolLeader {
    context: NodeContext,
    pool: PoolId,
    log: Logger,
    scheduler: PoolScheduler,
    executor: CommandExecutor,
    zones: ZoneReceiver,
    /// Runs in the zones under evacuation, as the metrics show them.
    zone_runs: BTreeMap<ZoneId, ZoneRuns>,
    sender: mpsc::UnboundedSender<PoolEvent>,
    writer: WriterHandle,
    next_flush: Instant,
    /// Whether the last write left changes behind.
    has_flush_backlog: bool,
    last_report: Option<PoolReport>,
    last_report_at: Instant,
    next_report_check: Instant,
    /// Waiting counts of the last write that held some, with the lease to which they are bound.
    last_counts: Option<(LeaseId, BTreeMap<QueueId, u32>)>,
    next_counts_at: Instant,
    /// Time of the last digest; absent if there was none or it was not stored.
    last_digest_at: Option<Instant>,
    retention: RetentionLease,
    /// Progress of jobs under earlier leaders; `None` once the first read of the inbox has used it.
    former_progress: Option<BTreeMap<JobId, JobProgress>>,
    next_decision: Instant,
    end_reason: Option<&'static str>,
}

/// Leads the pool until another session takes over or the process stops. Returns the reason for the end.
///
/// # Errors
/// The store's error if a transaction cannot succeed, `internal` if a record cannot be encoded.
pub async fn run(context: NodeContext, pool: PoolId, claim: RoleClaim) -> Result<&'static str> {
    let log = context
        .log
        .new(o!("pool" => pool.to_string(), "term" => claim.term.get()));
    let started = context.clock.now();
    let read = || pool_records::read(&context, &pool);
    let records = node_context::read_with_retries(&context.store, &log, read).await;
    info!(log, "records read"; "jobs_with_progress" => records.progress.len(),
        "former_workers" => records.report.workers.len(),
        "ms" => context.clock.now().saturating_duration_since(started).as_millis() as u64);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let events = sender.clone();
    let send = move |event| events.send(PoolEvent::Writer(event)).is_ok();
    let writer = WriterHandle::start(&context, &claim, &log, send);
    let watch = |prefix, batch_interval, wrap| {
        prefix_watcher::spawn(&context.store, prefix, batch_interval, &log, &sender, wrap)
    };
    let tasks = [
        watch(store_keys::inbox_prefix(&pool), Duration::ZERO, PoolEvent::Inbox),
        watch(WORKER_PREFIX.into(), WORKER_BATCH_INTERVAL, PoolEvent::Workers),
        watch(store_keys::plan_key(&pool), Duration::ZERO, PoolEvent::Plan),
    ];
    let (zones, zone_task) = zone_watcher::spawn(&context, &log, &sender, || PoolEvent::Zones);
    let mut leader = PoolLeader::new(context, pool, log, &claim, records, sender, writer, zones);
    let reason = leader.run(&mut receiver).await;
    tasks.iter().chain(&zone_task).for_each(JoinHandle::abort);
    leader.show_zone_runs(BTreeMap::new());
    leader.context.metrics.set_job_count(leader.pool.as_str(), 0);
    leader
        .context
        .metrics
        .set_held_tasks(leader.pool.as_str(), &BTreeMap::new());
    if leader.context.options.shed_by_cost {
        let metrics = &leader.context.metrics;
        metrics.set_shed_work(leader.pool.as_str(), &ShedSummary::default());
    }
    reason
}

impl PoolLeader {
    #[expect(
        clippy::too_many_arguments,
        reason = "a leader consists of these independent parts"
    )]
    fn new(
        context: NodeContext,
        pool: PoolId,
        log: Logger,
        claim: &RoleClaim,
        records: PoolRecords,
        sender: mpsc::UnboundedSender<PoolEvent>,
        writer: WriterHandle,
        zones: ZoneReceiver,
    ) -> Self {
        let now = context.clock.now();
        let timing = context.settings.timing;
        let former: BTreeSet<WorkerId> = records.report.workers.keys().cloned().collect();
        let takeover = TakeoverState::from_former_leader(now, former, timing.lease);
        let budget = context
            .settings
            .link_rate
            .map(LinkBudget::new)
            .unwrap_or_default();
        let mut scheduler = PoolScheduler::new(pool.clone(), claim.term, timing, takeover)
            .with_start_budget(budget)
            .with_poll_pace(PollPace::new(context.settings.cpu_share));
        if context.options.shed_by_cost {
            scheduler = scheduler.with_shedding_by_cost();
        }
        scheduler.set_plan(records.plan);
        scheduler.set_former_usage(records.report.usage);
        scheduler.set_evacuated_zones(zones.borrow().clone());
        let executor = CommandExecutor::new(context.clone(), claim.term, zones.clone(), log.clone());
        Self {
            retention: RetentionLease::new(context.settings.retention),
            context,
            pool,
            log,
            scheduler,
            executor,
            zones,
            zone_runs: BTreeMap::new(),
            sender,
            writer,
            next_flush: now,
            has_flush_backlog: false,
            last_report: None,
            last_report_at: now,
            next_report_check: now,
            last_counts: None,
            next_counts_at: now,
            last_digest_at: None,
            former_progress: Some(records.progress),
            next_decision: now,
            end_reason: None,
        }
    }

    async fn run(&mut self, receiver: &mut mpsc::UnboundedReceiver<PoolEvent>) -> Result<&'static str> {
        let mut config = self.context.config.clone();
        if let Some(config) = config.borrow_and_update().clone() {
            self.scheduler.set_config(&config);
        }
        loop {
            let now = self.context.clock.now();
            let wakeup = self.next_wakeup(now);
            tokio::select! {
                () = tokio::time::sleep_until(wakeup.into()) => {}
                event = receiver.recv() => {
                    let Some(event) = event else {
                        return Ok("all event senders are gone");
                    };
                    self.handle_event(event)?;
                }
            }
            self.handle_events_until(self.next_decision, receiver).await?;
            if config.has_changed().unwrap_or(false)
                && let Some(config) = config.borrow_and_update().clone()
            {
                self.scheduler.set_config(&config);
            }
            if let Some(reason) = self.end_reason {
                return Ok(reason);
            }
            if self.context.is_stopping() {
                return self.finish(receiver).await;
            }
            let started = self.context.clock.now();
            self.schedule()?;
            let ended = self.context.clock.now();
            let pause = ended.saturating_duration_since(started) * DECISION_PAUSE_FACTOR;
            self.next_decision = ended + pause.clamp(MIN_DECISION_PAUSE, MAX_DECISION_PAUSE);
        }
    }

    /// Handles events until `end`, and those that have arrived by then.
    async fn handle_events_until(
        &mut self,
        end: Instant,
        receiver: &mut mpsc::UnboundedReceiver<PoolEvent>,
    ) -> Result<()> {
        while let Ok(Some(event)) = tokio::time::timeout_at(end.into(), receiver.recv()).await {
            self.handle_event(event)?;
        }
        while let Ok(event) = receiver.try_recv() {
            self.handle_event(event)?;
        }
        Ok(())
    }

    fn next_wakeup(&self, now: Instant) -> Instant {
        let mut wakeup = self.scheduler.next_wakeup(now, self.context.wall_time());
        if !self.writer.is_writing() && self.scheduler.has_changes() {
            wakeup = wakeup.min(self.next_flush.max(now));
        }
        wakeup
    }

    /// Stores the changes so far within the time limit; the next leader continues from them.
    async fn finish(&mut self, receiver: &mut mpsc::UnboundedReceiver<PoolEvent>) -> Result<&'static str> {
        let end = tokio::time::Instant::now() + LAST_WRITE_TIMEOUT;
        loop {
            let now = self.context.clock.now();
            self.next_flush = now;
            self.flush(now)?;
            if !self.writer.is_writing() {
                return Ok("the process stops");
            }
            match tokio::time::timeout_at(end, receiver.recv()).await {
                Ok(Some(event)) => self.handle_event(event)?,
                Ok(None) | Err(_) => return Ok("the process stops; the last write is not confirmed"),
            }
        }
    }

    fn handle_event(&mut self, event: PoolEvent) -> Result<()> {
        let now = self.context.clock.now();
        match event {
            PoolEvent::Inbox(update) => self.handle_inbox(now, update),
            PoolEvent::Workers(update) => self.handle_workers(update),
            PoolEvent::Plan(update) => self.handle_plan(update),
            PoolEvent::Command(outcome) => self.handle_outcome(now, outcome),
            PoolEvent::Writer(event) => match self.writer.handle_event(event)? {
                outcome @ (WriterOutcome::Stored | WriterOutcome::StoredUnbound) => {
                    self.scheduler.confirm_flush();
                    if outcome == WriterOutcome::StoredUnbound {
                        self.last_counts = None;
                        self.last_digest_at = None;
                    }
                    if self.has_flush_backlog {
                        self.flush(now)?;
                    }
                }
                WriterOutcome::Resumed => {}
                WriterOutcome::Deposed => self.end_reason = Some(writer_handle::DEPOSED),
            },
            PoolEvent::LeaseGrant(requested_at, granted) => {
                self.retention.finish_request(requested_at, granted);
            }
            // The view is read before each decision.
            PoolEvent::Zones => {}
        }
        if self.scheduler.is_fenced() {
            self.end_reason = Some("a worker has seen a newer leader");
        }
        Ok(())
    }

    fn handle_outcome(&mut self, now: Instant, outcome: CommandOutcome) {
        let scheduler = &mut self.scheduler;
        match outcome {
            CommandOutcome::Started(worker, run, start_outcome) => {
                scheduler.handle_start_outcome(now, &worker, &run, start_outcome);
            }
            CommandOutcome::Stopped(worker, run, stop_outcome) => {
                scheduler.handle_stop_outcome(now, &worker, &run, stop_outcome);
            }
            CommandOutcome::Polled(worker, sent_at, Ok(report)) => {
                scheduler.handle_poll_report(now, &worker, sent_at, report);
            }
            CommandOutcome::Polled(worker, _, Err(error)) => {
                scheduler.handle_poll_error(now, &worker, &error);
            }
            CommandOutcome::Advised(step, advice) => scheduler.handle_advice(now, &step, advice),
        }
    }

    fn handle_inbox(&mut self, now: Instant, update: PrefixUpdate) {
        // Only the leader itself deletes keys of the inbox.
        let items = update.into_items();
        let former_progress = self.former_progress.take();
        let wall_time = self.context.wall_time();
        let mut cancelled = Vec::new();
        for item in &items {
            let (job, is_cancel) = match store_keys::parse_inbox_key(&item.key) {
                Ok(found) => found,
                Err(error) => {
                    warn!(self.log, "record ignored"; "key" => &*item.key, "error" => %error);
                    continue;
                }
            };
            if is_cancel {
                cancelled.push(job);
                continue;
            }
            let Some(record) = pool_records::decode_record::<JobRecord>(&self.context, Some(item)) else {
                continue;
            };
            let age = Duration::from_millis(wall_time.get().saturating_sub(record.accepted_at.get()));
            let accepted_at = match &former_progress {
                None => now,
                Some(_) => now.checked_sub(age).unwrap_or(now),
            };
            let unstarted = JobProgress::default();
            let progress = former_progress
                .as_ref()
                .map(|former| former.get(&job).unwrap_or(&unstarted));
            self.scheduler.submit(now, accepted_at, record, progress);
        }
        for job in cancelled {
            self.scheduler.cancel(&job);
        }
    }

    fn handle_workers(&mut self, update: PrefixUpdate) {
        match update {
            PrefixUpdate::Snapshot(items) => {
                let mut missing = self.scheduler.listed_workers();
                for item in &items {
                    if let Some(worker) = self.handle_worker_entry(item) {
                        missing.remove(&worker);
                    }
                }
                for worker in missing {
                    self.scheduler.remove_worker(&worker);
                }
            }
            PrefixUpdate::Changes(events) => {
                for event in events {
                    match event {
                        StoreEvent::Written(item) => {
                            self.handle_worker_entry(&item);
                        }
                        StoreEvent::Removed(key) => {
                            if let Ok(worker) = discovery::parse_worker_id(&key) {
                                self.scheduler.remove_worker(&worker);
                            }
                        }
                    }
                }
            }
        }
    }

    /// Updates a worker from its entry. A worker whose entry is malformed or names another pool is removed.
    /// Returns the worker if it belongs to this pool.
    fn handle_worker_entry(&mut self, item: &StoreItem) -> Option<WorkerId> {
        let entry = discovery::decode_worker_entry(&item.key, &item.value, self.context.wall_time());
        if let Ok(entry) = &entry {
            self.scheduler.observe_entry(self.context.clock.now(), entry);
        }
        match entry {
            Ok(entry) if entry.pool == self.pool => {
                let id = entry.id.clone();
                if !self.scheduler.workers().contains_key(&id) {
                    self.scheduler.expect_worker(&id);
                }
                self.scheduler.set_worker(self.context.clock.now(), entry);
                Some(id)
            }
            Ok(entry) => {
                self.scheduler.remove_worker(&entry.id);
                None
            }
            Err(error) => {
                debug!(self.log, "worker entry ignored"; "key" => &*item.key, "error" => %error);
                if let Ok(worker) = discovery::parse_worker_id(&item.key) {
                    self.scheduler.remove_worker(&worker);
                }
                None
            }
        }
    }

    fn handle_plan(&mut self, update: PrefixUpdate) {
        let items = update.into_items();
        let key = store_keys::plan_key(&self.pool);
        for item in items.iter().filter(|item| item.key == key) {
            if let Some(plan) = pool_records::decode_record(&self.context, Some(item)) {
                self.scheduler.set_plan(plan);
            }
        }
    }

    fn schedule(&mut self) -> Result<()> {
        if self.former_progress.is_some() {
            // Until the jobs have been read, every run that a worker reports would count as unwanted.
            return Ok(());
        }
        let now = self.context.clock.now();
        let status = *self.context.lease.borrow();
        let valid_lease = status.valid_lease(&self.context.clock);
        let is_leadership_valid = self.writer.is_leader_under(valid_lease)?;
        self.scheduler.set_evacuated_zones(self.zones.borrow().clone());
        let commands = self
            .scheduler
            .decide(now, self.context.wall_time(), is_leadership_valid);
        for command in commands {
            self.execute(command);
        }
        for note in self.scheduler.take_notes() {
            self.context.metrics.record_decision(note.decision);
            let job = note.job.as_ref().map_or("", JobId::as_str);
            let worker = note.worker.as_ref().map_or("", WorkerId::as_str);
            info!(self.log, "{}", note.decision; "job" => job, "worker" => worker, "inputs" => note.inputs);
        }
        self.request_retention_lease(now);
        self.flush(now)?;
        self.context
            .metrics
            .set_job_count(self.pool.as_str(), self.scheduler.job_count());
        self.context
            .metrics
            .set_most_losses(self.pool.as_str(), self.scheduler.most_losses());
        if let Some(summary) = self.scheduler.take_shed_summary() {
            self.context.metrics.set_shed_work(self.pool.as_str(), &summary);
        }
        self.show_zone_runs(self.scheduler.zone_runs());
        if let Some(counts) = self.scheduler.take_held_counts() {
            self.context.metrics.set_held_tasks(self.pool.as_str(), &counts);
        }
        Ok(())
    }

    fn show_zone_runs(&mut self, runs: BTreeMap<ZoneId, ZoneRuns>) {
        if runs != self.zone_runs {
            let metrics = &self.context.metrics;
            metrics.set_zone_runs(self.pool.as_str(), &self.zone_runs, &runs);
            self.zone_runs = runs;
        }
    }

    /// Requests a lease for the records of ended jobs, if one is needed.
    fn request_retention_lease(&mut self, now: Instant) {
        if !self.retention.start_request(now) {
            return;
        }
        let (store, sender, log) = (self.context.store.clone(), self.sender.clone(), self.log.clone());
        tokio::spawn(async move {
            let granted = store
                .grant_lease(retention_lease::RETENTION_LEASE_TTL, STORE_TIMEOUT)
                .await;
            if let Err(error) = &granted {
                debug!(log, "no lease for the records of ended jobs; they are stored without one";
                    "error" => %error);
            }
            // The receiver is dropped only when the leadership has ended.
            let _ = sender.send(PoolEvent::LeaseGrant(now, granted.ok()));
        });
    }

    fn flush(&mut self, now: Instant) -> Result<()> {
        if self.writer.is_writing() || now < self.next_flush {
            return Ok(());
        }
        let report = self.due_report(now);
        let counts = self.due_counts(now);
        let has_records = report.is_some() || counts.is_some();
        let digest = self.due_digest(now, has_records || self.scheduler.has_changes());
        if !self.scheduler.has_changes() && !has_records && digest.is_none() {
            return Ok(());
        }
        let max_entries = MAX_FLUSH_ENTRIES - usize::from(digest.is_some());
        let batch = self.scheduler.take_flush(self.context.wall_time(), max_entries);
        let retention_lease = self.retention.current_lease(now);
        let records = LeaderRecords {
            report: report.as_ref(),
            counts: counts.as_ref(),
            digest: digest.as_ref(),
        };
        let write = flush_write::encode(&self.pool, &batch, &records, retention_lease)?;
        if report.is_some() {
            self.last_report = report;
            self.last_report_at = now;
        }
        if counts.is_some() {
            self.last_counts = counts;
            self.next_counts_at = now + WAITING_COUNTS_INTERVAL;
        }
        if digest.is_some() {
            self.last_digest_at = Some(now);
        }
        self.has_flush_backlog = self.scheduler.has_changes();
        self.next_flush = if self.has_flush_backlog {
            now
        } else {
            now + FLUSH_INTERVAL
        };
        self.writer.write(write)
    }

    fn due_report(&mut self, now: Instant) -> Option<PoolReport> {
        let age = now.saturating_duration_since(self.last_report_at);
        let Some(old) = &self.last_report else {
            return Some(self.scheduler.report(now));
        };
        if age < URGENT_REPORT_INTERVAL || now < self.next_report_check {
            return None;
        }
        self.next_report_check = now + REPORT_CHECK_INTERVAL;
        let report = self.scheduler.report(now);
        let is_due = report.is_significant_change(old) || (age >= REPORT_INTERVAL && report != *old);
        is_due.then_some(report)
    }

    /// Waiting counts to store, with the node's lease: the store removes them when the leader is lost. They are part
    /// of the leader's writes, so that none that is executed late, or by a former leader, replaces newer ones.
    fn due_counts(&self, now: Instant) -> Option<(LeaseId, BTreeMap<QueueId, u32>)> {
        if now < self.next_counts_at {
            return None;
        }
        let counts = (self.binding_lease()?, self.scheduler.waiting_counts());
        (self.last_counts.as_ref() != Some(&counts)).then_some(counts)
    }

    /// The node's lease if it is valid and the role is held under it, so that records can be bound to it.
    fn binding_lease(&self) -> Option<LeaseId> {
        let status = *self.context.lease.borrow();
        let lease = status.valid_lease(&self.context.clock)?;
        (lease == self.writer.lease()).then_some(lease)
    }

    /// Digest of load to store with other records or changes, if there are any, bound like the waiting counts.
    fn due_digest(&self, now: Instant, has_write: bool) -> Option<(LeaseId, LoadDigest)> {
        if !self.context.options.forecasts_admission {
            return None;
        }
        let age = self
            .last_digest_at
            .map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        if age < DIGEST_INTERVAL {
            return None;
        }
        let has_waiting = self.scheduler.has_waiting_jobs();
        let is_due = match (has_write, has_waiting) {
            (true, true) => true,
            (true, false) => age >= IDLE_DIGEST_INTERVAL,
            (false, _) => has_waiting && age >= MAX_DIGEST_DELAY,
        };
        if !is_due {
            return None;
        }
        let lease = self.binding_lease()?;
        let digest = self.scheduler.load_digest(now, self.context.wall_time())?;
        Some((lease, digest))
    }

    fn execute(&self, command: PoolCommand) {
        let (executor, sender) = (self.executor.clone(), self.sender.clone());
        // The time of the decision: a poll says nothing about runs that are started later.
        let sent_at = self.context.clock.now();
        tokio::spawn(async move {
            if let Some(outcome) = executor.execute(command, sent_at).await {
                // The receiver is dropped only when the leadership has ended.
                let _ = sender.send(PoolEvent::Command(outcome));
            }
        });
    }
}
