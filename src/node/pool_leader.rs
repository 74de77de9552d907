//! Carries the duty for one pool: feeds the scheduler with events and executes its orders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use slog::{Logger, debug, info, o, warn};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::dispatch::command::PoolCommand;
use crate::dispatch::job_record::{JobProgress, JobRecord};
use crate::dispatch::pool_plan::PoolReport;
use crate::dispatch::pool_scheduler::PoolScheduler;
use crate::dispatch::takeover::TakeoverState;
use crate::dispatch::worker_lease::WorkerLease;
use crate::error::Result;
use crate::model::id::{JobId, LeaseId, PoolId, QueueId, WorkerId};
use crate::node::command_executor::{CommandExecutor, CommandOutcome};
use crate::node::fenced_writer::{RoleClaim, WriterEvent};
use crate::node::flush_write;
use crate::node::node_context::{self, NodeContext, STORE_TIMEOUT};
use crate::node::pool_records::{self, PoolRecords};
use crate::node::prefix_watcher::{self, PrefixUpdate};
use crate::node::retention_lease::{self, RetentionLease};
use crate::node::store_keys;
use crate::node::writer_handle::{self, WriterHandle, WriterOutcome};
use crate::platform::discovery;
use crate::platform::store::{CommitOutcome, StoreEvent, StoreItem, StoreTransaction, WORKER_PREFIX};

/// Jobs in one write: each takes up to four of the entries that a transaction may have.
const FLUSH_JOBS: usize = 7;

/// Least time between two writes; ends that come close together are stored together.
const FLUSH_GAP: Duration = Duration::from_millis(40);

/// Least time between two reports of urgent changes.
const URGENT_REPORT_GAP: Duration = Duration::from_millis(80);

/// Least time between two reports of other changes.
const REPORT_GAP: Duration = Duration::from_secs(1);

/// Least time between two writes of the waiting counts, which may be 2 s old.
const WAITING_GAP: Duration = Duration::from_millis(700);

/// Least time between two decisions; events that come close together are decided on together.
const DECISION_GAP: Duration = Duration::from_millis(3);

/// Longest time between two decisions.
const LONGEST_DECISION_GAP: Duration = Duration::from_millis(40);

/// Pause after a decision as a multiple of its own time, so that decisions leave processor time for orders.
const DECISION_PAUSE_FACTOR: u32 = 3;

/// Time in which changes of the list of workers are taken together.
const WORKER_GAP: Duration = Duration::from_millis(200);

/// Time for which a former holder may go on after its lease ended without noticing it.
const FORMER_HOLDER_MARGIN: Duration = Duration::from_millis(500);

/// Time for the last write when the process stops.
const LAST_WRITE_TIME: Duration = Duration::from_millis(600);

enum PoolEvent {
    Inbox(PrefixUpdate),
    Workers(PrefixUpdate),
    Plan(PrefixUpdate),
    Answered(CommandOutcome),
    Writer(WriterEvent),
    Counted(bool),
    Archive(Instant, Option<(LeaseId, Duration)>),
}

struct PoolLeader {
    parts: NodeContext,
    pool: PoolId,
    log: Logger,
    scheduler: PoolScheduler,
    executor: CommandExecutor,
    sender: mpsc::UnboundedSender<PoolEvent>,
    writer: WriterHandle,
    next_flush: Instant,
    reported: Option<PoolReport>,
    reported_at: Instant,
    waiting: Option<(LeaseId, BTreeMap<QueueId, u32>)>,
    is_counting: bool,
    next_count: Instant,
    archive: RetentionLease,
    /// Progress of jobs of former terms; taken by the first complete read of the inbox.
    old_progress: Option<BTreeMap<JobId, JobProgress>>,
    next_decision: Instant,
    ended: Option<&'static str>,
}

/// Carries the duty until another session takes it or the process stops. Returns why it ended.
///
/// # Errors
/// The store's error if a write cannot succeed.
pub async fn run(parts: NodeContext, pool: PoolId, tenure: RoleClaim) -> Result<&'static str> {
    let log = parts
        .log
        .new(o!("pool" => pool.to_string(), "term" => tenure.term.get()));
    let started = parts.clock.now();
    let records = node_context::read_until_answered(&log, || pool_records::read(&parts, &pool)).await;
    info!(log, "records read"; "jobs_with_progress" => records.progress.len(),
        "former_workers" => records.report.workers.len(),
        "ms" => parts.clock.now().saturating_duration_since(started).as_millis() as u64);
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let events = sender.clone();
    let send = move |event| events.send(PoolEvent::Writer(event)).is_ok();
    let writer = WriterHandle::start(&parts, &tenure, &log, send);
    let follow = |prefix, gap, wrap| prefix_watcher::spawn(&parts.store, prefix, gap, &log, &sender, wrap);
    let tasks = [
        follow(store_keys::inbox_prefix(&pool), Duration::ZERO, PoolEvent::Inbox),
        follow(WORKER_PREFIX.into(), WORKER_GAP, PoolEvent::Workers),
        follow(store_keys::plan_key(&pool), Duration::ZERO, PoolEvent::Plan),
    ];
    let mut shell = PoolLeader::new(parts, pool, log, &tenure, records, sender, writer);
    let reason = shell.carry(&mut receiver).await;
    tasks.iter().for_each(JoinHandle::abort);
    shell.parts.metrics.set_job_count(shell.pool.as_str(), 0);
    reason
}

impl PoolLeader {
    fn new(
        parts: NodeContext,
        pool: PoolId,
        log: Logger,
        tenure: &RoleClaim,
        records: PoolRecords,
        sender: mpsc::UnboundedSender<PoolEvent>,
        writer: WriterHandle,
    ) -> Self {
        let now = parts.clock.now();
        let rules = parts.settings.timing;
        let former: BTreeSet<WorkerId> = records.report.workers.keys().cloned().collect();
        let until = now + WorkerLease::max_duration(rules.lease) + FORMER_HOLDER_MARGIN;
        let settling = TakeoverState::new(former, until);
        let mut scheduler = PoolScheduler::new(pool.clone(), tenure.term, rules, settling);
        scheduler.set_plan(records.plan);
        let executor = CommandExecutor::new(parts.clone(), tenure.term, log.clone());
        Self {
            archive: RetentionLease::new(parts.settings.retention),
            parts,
            pool,
            log,
            scheduler,
            executor,
            sender,
            writer,
            next_flush: now,
            reported: None,
            reported_at: now,
            waiting: None,
            is_counting: false,
            next_count: now,
            old_progress: Some(records.progress),
            next_decision: now,
            ended: None,
        }
    }

    async fn carry(&mut self, receiver: &mut mpsc::UnboundedReceiver<PoolEvent>) -> Result<&'static str> {
        let mut config = self.parts.config.clone();
        if let Some(config) = config.borrow_and_update().clone() {
            self.scheduler.set_config(&config);
        }
        loop {
            let now = self.parts.clock.now();
            let wakeup = self.next_wakeup(now);
            tokio::select! {
                () = tokio::time::sleep_until(wakeup.into()) => {}
                event = receiver.recv() => {
                    let Some(event) = event else {
                        return Ok("no sender is left");
                    };
                    self.take(event)?;
                }
            }
            tokio::time::sleep_until(self.next_decision.into()).await;
            while let Ok(event) = receiver.try_recv() {
                self.take(event)?;
            }
            if config.has_changed().unwrap_or(false)
                && let Some(config) = config.borrow_and_update().clone()
            {
                self.scheduler.set_config(&config);
            }
            if let Some(reason) = self.ended {
                return Ok(reason);
            }
            if self.parts.is_stopping() {
                return self.finish(receiver).await;
            }
            let started = self.parts.clock.now();
            self.act()?;
            let ended = self.parts.clock.now();
            let pause = ended.saturating_duration_since(started) * DECISION_PAUSE_FACTOR;
            self.next_decision = ended + pause.clamp(DECISION_GAP, LONGEST_DECISION_GAP);
        }
    }

    fn next_wakeup(&self, now: Instant) -> Instant {
        let mut wakeup = self.scheduler.next_wakeup(now, self.parts.wall());
        if !self.writer.is_writing() && self.scheduler.has_changes() {
            wakeup = wakeup.min(self.next_flush.max(now));
        }
        wakeup
    }

    /// Stores what is known and leaves the rest to the next holder.
    async fn finish(&mut self, receiver: &mut mpsc::UnboundedReceiver<PoolEvent>) -> Result<&'static str> {
        let end = tokio::time::Instant::now() + LAST_WRITE_TIME;
        loop {
            self.next_flush = self.parts.clock.now();
            self.flush()?;
            if !self.writer.is_writing() {
                return Ok("the process stops");
            }
            match tokio::time::timeout_at(end, receiver.recv()).await {
                Ok(Some(event)) => self.take(event)?,
                Ok(None) | Err(_) => return Ok("the process stops; the last write is not confirmed"),
            }
        }
    }

    fn take(&mut self, event: PoolEvent) -> Result<()> {
        let now = self.parts.clock.now();
        match event {
            PoolEvent::Inbox(news) => self.take_inbox(now, news),
            PoolEvent::Workers(news) => self.take_workers(news),
            PoolEvent::Plan(news) => self.take_plan(news),
            PoolEvent::Answered(answer) => self.take_answer(now, answer),
            PoolEvent::Writer(event) => match self.writer.take(event)? {
                WriterOutcome::Stored => self.scheduler.confirm_flush(),
                WriterOutcome::Resumed => {}
                WriterOutcome::Deposed => self.ended = Some(writer_handle::DEPOSED),
            },
            PoolEvent::Archive(asked_at, granted) => self.archive.take_answer(asked_at, granted),
            PoolEvent::Counted(is_stored) => {
                self.is_counting = false;
                if !is_stored {
                    self.waiting = None;
                }
            }
        }
        if self.scheduler.is_fenced() {
            self.ended = Some("a worker has seen a newer holder");
        }
        Ok(())
    }

    fn take_answer(&mut self, now: Instant, answer: CommandOutcome) {
        let scheduler = &mut self.scheduler;
        match answer {
            CommandOutcome::Started(worker, run, outcome) => {
                scheduler.handle_start_outcome(now, &worker, &run, outcome);
            }
            CommandOutcome::Stopped(worker, run, outcome) => {
                scheduler.handle_stop_outcome(now, &worker, &run, outcome);
            }
            CommandOutcome::Looked(worker, sent_at, Ok(report)) => {
                scheduler.handle_poll_report(now, &worker, sent_at, report);
            }
            CommandOutcome::Looked(worker, _, Err(fault)) => {
                scheduler.handle_poll_error(now, &worker, &fault)
            }
            CommandOutcome::Advised(step, answer) => scheduler.handle_advice(now, &step, answer),
        }
    }

    fn take_inbox(&mut self, now: Instant, news: PrefixUpdate) {
        // Deletions are the holder's own.
        let items = news.into_items();
        let old = self.old_progress.take();
        let wall = self.parts.wall();
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
            let Some(record) = pool_records::read_record::<JobRecord>(&self.parts, Some(item)) else {
                continue;
            };
            let age = Duration::from_millis(wall.get().saturating_sub(record.accepted.get()));
            let accepted_at = match &old {
                None => now,
                Some(_) => now.checked_sub(age).unwrap_or(now),
            };
            let unstarted = JobProgress::default();
            let progress = old.as_ref().map(|old| old.get(&job).unwrap_or(&unstarted));
            self.scheduler.submit(now, accepted_at, record, progress);
        }
        for job in cancelled {
            self.scheduler.cancel(&job);
        }
    }

    fn take_workers(&mut self, news: PrefixUpdate) {
        match news {
            PrefixUpdate::Complete(items) => {
                let mut gone = self.scheduler.listed_workers();
                for item in &items {
                    if let Some(worker) = self.take_worker(item) {
                        gone.remove(&worker);
                    }
                }
                for worker in gone {
                    self.scheduler.remove_worker(&worker);
                }
            }
            PrefixUpdate::Changes(events) => {
                for event in events {
                    match event {
                        StoreEvent::Written(item) => {
                            self.take_worker(&item);
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

    /// Takes an entry; a malformed one names no worker to use.
    fn take_worker(&mut self, item: &StoreItem) -> Option<WorkerId> {
        match discovery::decode_worker_entry(&item.key, &item.value) {
            Ok(entry) if entry.pool == self.pool => {
                let id = entry.id.clone();
                if !self.scheduler.workers().contains_key(&id) {
                    self.scheduler.expect_worker(&id);
                }
                self.scheduler.set_worker(self.parts.clock.now(), entry);
                Some(id)
            }
            Ok(entry) => {
                self.scheduler.remove_worker(&entry.id);
                None
            }
            Err(error) => {
                debug!(self.log, "entry ignored"; "key" => &*item.key, "error" => %error);
                if let Ok(worker) = discovery::parse_worker_id(&item.key) {
                    self.scheduler.remove_worker(&worker);
                }
                None
            }
        }
    }

    fn take_plan(&mut self, news: PrefixUpdate) {
        let items = news.into_items();
        let key = store_keys::plan_key(&self.pool);
        for item in items.iter().filter(|item| item.key == key) {
            if let Some(plan) = pool_records::read_record(&self.parts, Some(item)) {
                self.scheduler.set_plan(plan);
            }
        }
    }

    fn act(&mut self) -> Result<()> {
        if self.old_progress.is_some() {
            // Before the jobs are known, every run that a worker lists would look like a stray.
            return Ok(());
        }
        let now = self.parts.clock.now();
        let standing = *self.parts.lease.borrow();
        let valid = standing.valid_lease(&self.parts.clock);
        let may_extend = self.writer.holds_under(valid)?;
        let orders = self.scheduler.decide(now, self.parts.wall(), may_extend);
        for order in orders {
            self.execute(order);
        }
        for note in self.scheduler.take_notes() {
            self.parts.metrics.record_decision(note.decision);
            let job = note.job.as_ref().map_or("", JobId::as_str);
            let worker = note.worker.as_ref().map_or("", WorkerId::as_str);
            info!(self.log, "{}", note.decision; "job" => job, "worker" => worker, "inputs" => note.inputs);
        }
        self.ask_archive(now);
        self.flush()?;
        self.publish_waiting(now, valid);
        self.parts
            .metrics
            .set_job_count(self.pool.as_str(), self.scheduler.job_count());
        Ok(())
    }

    /// Asks for the lease on which the states of ended jobs hang.
    fn ask_archive(&mut self, now: Instant) {
        if !self.archive.needs_lease(now) {
            return;
        }
        let (store, sender, log) = (self.parts.store.clone(), self.sender.clone(), self.log.clone());
        tokio::spawn(async move {
            let granted = store
                .grant_lease(retention_lease::ARCHIVE_TIME, STORE_TIMEOUT)
                .await;
            if let Err(error) = &granted {
                debug!(log, "states of ended jobs are kept without an end"; "error" => %error);
            }
            // The shell is gone only when the duty has ended.
            let _ = sender.send(PoolEvent::Archive(now, granted.ok()));
        });
    }

    fn flush(&mut self) -> Result<()> {
        let now = self.parts.clock.now();
        if self.writer.is_writing() || now < self.next_flush {
            return Ok(());
        }
        let report = self.due_report(now);
        if !self.scheduler.has_changes() && report.is_none() {
            return Ok(());
        }
        let batch = self.scheduler.take_flush(self.parts.wall(), FLUSH_JOBS);
        let archive = self.archive.lease(now);
        let write = flush_write::encode(&self.pool, &batch, report.as_ref(), archive)?;
        if report.is_some() {
            self.reported = report;
            self.reported_at = now;
        }
        self.next_flush = now + FLUSH_GAP;
        self.writer.write(write)
    }

    fn due_report(&self, now: Instant) -> Option<PoolReport> {
        let age = now.saturating_duration_since(self.reported_at);
        let Some(old) = &self.reported else {
            return Some(self.scheduler.report(now));
        };
        if age < URGENT_REPORT_GAP {
            return None;
        }
        let report = self.scheduler.report(now);
        let is_due = report.is_urgent_after(old) || (age >= REPORT_GAP && report != *old);
        is_due.then_some(report)
    }

    /// Publishes the waiting counts under the lease, so that they vanish with their holder.
    fn publish_waiting(&mut self, now: Instant, lease: Option<LeaseId>) {
        let Some(lease) = lease.filter(|_| !self.is_counting && now >= self.next_count) else {
            return;
        };
        let waiting = self.scheduler.waiting_counts();
        let is_same = self
            .waiting
            .as_ref()
            .is_some_and(|(old_lease, old)| *old_lease == lease && *old == waiting);
        if is_same {
            return;
        }
        let value = match store_keys::encode(&waiting) {
            Ok(value) => value,
            Err(error) => {
                warn!(self.log, "waiting counts not encoded"; "error" => %error);
                return;
            }
        };
        self.waiting = Some((lease, waiting));
        self.is_counting = true;
        self.next_count = now + WAITING_GAP;
        let mut write = StoreTransaction::default();
        write.put(store_keys::waiting_key(&self.pool), value, Some(lease));
        let (store, sender, log) = (self.parts.store.clone(), self.sender.clone(), self.log.clone());
        tokio::spawn(async move {
            let outcome = store.commit(&write, STORE_TIMEOUT).await;
            let is_stored = matches!(outcome, Ok(CommitOutcome::Done(_)));
            if !is_stored {
                debug!(log, "waiting counts not stored"; "outcome" => ?outcome);
            }
            // The shell is gone only when the duty has ended.
            let _ = sender.send(PoolEvent::Counted(is_stored));
        });
    }

    fn execute(&self, order: PoolCommand) {
        let (executor, sender) = (self.executor.clone(), self.sender.clone());
        // A look tells nothing of what is placed after its decision.
        let sent_at = self.parts.clock.now();
        tokio::spawn(async move {
            if let Some(answer) = executor.execute(order, sent_at).await {
                // The shell is gone only when the duty has ended.
                let _ = sender.send(PoolEvent::Answered(answer));
            }
        });
    }
}
