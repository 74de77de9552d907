//! Admission control: gives the slots of backend servers to waiting requests.
//!
//! [`AdmissionQueue`] decides who is next and [`SlotTable`] which server takes the request; this module adds
//! the lock, the clock and the channels through which waiting requests receive their slots.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::clock::SharedClock;
use crate::error::{Error, Result};
use crate::journal::fleet_state::FleetState;
use crate::journal::member::MemberPhase;
use crate::model::amount::SlotCount;
use crate::model::id::{InstanceId, Revision, ServiceId, SessionId, TeamId, ZoneId};
use crate::model::priority::WorkPriority;
use crate::policy::admission_queue::{AdmissionQueue, SlotWaiter, WaiterId};
use crate::policy::retry_budget::{AttemptFailure, RetryBudget, RetryLimits};
use crate::policy::slot_table::{self, BackendSpec, SlotGrant, SlotOutcome, SlotRefusal, SlotTable};
use crate::policy::zone_split::ZoneSplit;
use crate::process::team_counter::{RunPermit, TeamCounter};
use crate::request::admission_error;

#[derive(Debug)]
struct AdmissionInner {
    revision: Option<Revision>,
    split: ZoneSplit,
    slots: SlotTable,
    queue: AdmissionQueue,
    retry_budgets: BTreeMap<ServiceId, RetryBudget>,
    grant_senders: BTreeMap<WaiterId, oneshot::Sender<GrantedSlot>>,
    running: BTreeMap<WorkKind, u32>,
    counter: TeamCounter,
    allowances: BTreeMap<TeamId, SlotCount>,
}

/// A slot, and the permit that counts it as running for its team.
type GrantedSlot = (SlotGrant, RunPermit);

/// Service, team and priority by which requests are counted for demand reports.
pub type WorkKind = (ServiceId, TeamId, WorkPriority);

/// Limits of the admission control.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionLimits {
    /// Largest number of requests that may wait for a slot, per service.
    pub max_waiting: u32,
    /// Idle connections kept open per backend server. They count against the server's connection limit, so
    /// that as many fewer slots are used.
    pub idle_connections: u32,
    /// Retry limits, applied to each service on its own.
    pub retry: RetryLimits,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self {
            max_waiting: 200,
            idle_connections: 8,
            retry: RetryLimits::default(),
        }
    }
}

/// Allocates this session's part of the slots of a zone's backend servers. Clones share their state.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    session: SessionId,
    zone: ZoneId,
    clock: SharedClock,
    limits: AdmissionLimits,
    inner: Arc<Mutex<AdmissionInner>>,
}

impl AdmissionController {
    /// Creates a controller for the backend servers of a zone. It has none before the first
    /// [`AdmissionController::update_state`].
    pub fn new(session: SessionId, zone: ZoneId, clock: SharedClock, limits: AdmissionLimits) -> Self {
        let inner = AdmissionInner {
            revision: None,
            split: ZoneSplit::ALL,
            slots: SlotTable::new(),
            queue: AdmissionQueue::new(limits.max_waiting),
            retry_budgets: BTreeMap::new(),
            grant_senders: BTreeMap::new(),
            running: BTreeMap::new(),
            counter: TeamCounter::new(),
            allowances: BTreeMap::new(),
        };
        Self {
            session,
            zone,
            clock,
            limits,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Counts running requests in a counter that is shared with the job runner, so that both together stay
    /// within a team's allowance.
    #[must_use]
    pub fn with_counter(self, counter: TeamCounter) -> Self {
        self.lock().counter = counter;
        self
    }

    /// Session for which the slots are allocated.
    pub fn session(&self) -> &SessionId {
        &self.session
    }

    /// Applies a newer accepted configuration; an older one or the same one changes nothing.
    pub fn update_state(&self, state: &FleetState) {
        let mut inner = self.lock();
        if inner.revision.is_some_and(|revision| revision >= state.revision) {
            return;
        }
        inner.revision = Some(state.revision);
        self.apply_state(&mut inner, state);
    }

    /// Sets this session's part of the zone's slots and applies it to the backend servers of `state`.
    pub fn set_split(&self, split: ZoneSplit, state: &FleetState) {
        let mut inner = self.lock();
        if inner.split != split {
            inner.split = split;
            self.apply_state(&mut inner, state);
        }
    }

    fn apply_state(&self, inner: &mut AdmissionInner, state: &FleetState) {
        let specs = self.backend_specs(inner.split, state);
        inner.slots.set_backends(specs);
        inner.allowances.clear();
        for team in state.records.teams.values() {
            let allowance = state.allowance(&team.id, &self.session);
            inner.allowances.insert(team.id.clone(), allowance);
            inner.queue.set_team(&team.id, team.share.get(), allowance.get());
        }
        inner
            .queue
            .retain_teams(|team| state.records.teams.contains_key(team));
        inner.dispatch_all(self.clock.now());
    }

    fn backend_specs(&self, split: ZoneSplit, state: &FleetState) -> Vec<BackendSpec> {
        let mut specs = Vec::new();
        for (instance, member) in &state.members {
            if member.phase != MemberPhase::Serving || member.place.zone != self.zone {
                continue;
            }
            let Some(service) = state.service_of_pool(&member.pool) else {
                continue;
            };
            let connections = split.share_of(service.connections_per_backend.get());
            let slots = split.share_of(service.slots_per_backend.get());
            specs.push(BackendSpec {
                instance: instance.clone(),
                service: service.id.clone(),
                address: Arc::clone(&member.place.address),
                slots: slots.min(connections.saturating_sub(self.limits.idle_connections).max(1)),
                phase_since: member.phase_since,
            });
        }
        specs
    }

    /// Waits for a slot, at most until `waiter.wait_until`.
    ///
    /// # Errors
    /// `no_backend`, `limit_reached` or `overloaded`; in each case nothing was sent to a backend server.
    pub async fn acquire(&self, waiter: SlotWaiter) -> Result<WorkPermit> {
        let sleep = tokio::time::sleep_until(waiter.wait_until.into());
        let (id, receiver) = self.enqueue(&waiter)?;
        let mut waiting = WaitingGuard {
            controller: self,
            waiter,
            id,
            receiver,
            is_settled: false,
        };
        tokio::select! {
            biased;
            granted = &mut waiting.receiver => match granted {
                Ok(grant) => Ok(waiting.permit(grant)),
                Err(_) => Err(admission_error::overloaded("the wait for a slot was cancelled")),
            },
            () = sleep => waiting.time_out(),
        }
    }

    fn enqueue(&self, waiter: &SlotWaiter) -> Result<(WaiterId, oneshot::Receiver<GrantedSlot>)> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let usable = inner.slots.usable_slots(&waiter.service);
        if usable == 0 {
            return Err(admission_error::no_backend(&waiter.service));
        }
        let id = inner
            .queue
            .enqueue(now, waiter.clone(), usable)
            .map_err(|refusal| admission_error::queue_refusal(refusal, waiter))?;
        let (sender, receiver) = oneshot::channel();
        inner.grant_senders.insert(id, sender);
        inner.update_queue_allowance(&waiter.team);
        let limits = self.limits.retry;
        let budget = inner
            .retry_budgets
            .entry(waiter.service.clone())
            .or_insert_with(|| RetryBudget::new(limits));
        budget.record_first_attempt();
        inner.dispatch(now, &waiter.service);
        Ok((id, receiver))
    }

    fn build_permit(&self, waiter: SlotWaiter, (grant, run_permit): GrantedSlot) -> WorkPermit {
        WorkPermit {
            controller: self.clone(),
            kind: (waiter.service, waiter.team, waiter.priority),
            started: self.clock.now(),
            grant: Some(grant),
            run_permit: Some(run_permit),
            end: SlotOutcome::Neutral,
        }
    }

    /// Counts the running tasks of all teams again and starts requests that waited for them. To be called
    /// periodically, because the controller is not notified when a task ends.
    pub fn recount_tasks(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let teams: Vec<TeamId> = inner.allowances.keys().cloned().collect();
        for team in teams {
            inner.update_queue_allowance(&team);
        }
        inner.dispatch_all(now);
    }

    /// Ejected servers that are due for a health probe. Each result has to be passed to
    /// [`AdmissionController::on_probe`].
    pub fn due_probes(&self) -> Vec<SlotGrant> {
        let now = self.clock.now();
        self.lock().slots.due_probes(now)
    }

    /// Applies the result of a health probe.
    pub fn on_probe(&self, instance: &InstanceId, is_healthy: bool) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.slots.record_probe(now, instance, is_healthy);
        inner.dispatch_all(now);
    }

    /// Gives no new work to a server that announced its shutdown.
    pub fn mark_leaving(&self, instance: &InstanceId) {
        self.lock().slots.mark_leaving(instance);
    }

    /// Number of requests of this session that run on an instance.
    pub fn in_flight(&self, instance: &InstanceId) -> u32 {
        self.lock().slots.in_flight(instance)
    }

    /// Number of requests of this session on each instance that runs any.
    pub fn in_flight_counts(&self) -> BTreeMap<InstanceId, u32> {
        self.lock().slots.in_flight_counts()
    }

    /// Servers that receive no work because of their failures.
    pub fn ejected_servers(&self) -> BTreeSet<InstanceId> {
        self.lock().slots.ejected_servers()
    }

    /// Number of running requests of each team.
    pub fn running_by_team(&self) -> BTreeMap<TeamId, u32> {
        self.lock().queue.running_by_team()
    }

    /// Numbers of running and of waiting requests, by kind.
    pub fn demand(&self) -> (BTreeMap<WorkKind, u32>, BTreeMap<WorkKind, u32>) {
        let inner = self.lock();
        (inner.running.clone(), inner.queue.waiting_counts())
    }

    /// Numbers of running and of waiting requests.
    pub fn request_counts(&self) -> (u32, usize) {
        let inner = self.lock();
        (inner.slots.total_in_flight(), inner.grant_senders.len())
    }

    /// Number of ejected servers.
    pub fn ejected_count(&self) -> usize {
        self.lock().slots.ejected_count()
    }

    /// Whether a response that is still missing after `waited` counts as a failure of the server, given the
    /// usual run time of the service.
    pub fn is_late(&self, service: &ServiceId, waited: Duration, max_deadline: Duration) -> bool {
        let mean = self.lock().queue.mean_run_time(service);
        slot_table::is_late(mean, waited, max_deadline)
    }

    /// Returns the back-off before a retry if the service's retry budget allows one; see
    /// [`RetryBudget::take_retry`].
    pub fn take_retry(
        &self,
        service: &ServiceId,
        proof: AttemptFailure,
        may_repeat: bool,
        attempts: u32,
        remaining: Duration,
    ) -> Option<Duration> {
        let mut inner = self.lock();
        let budget = inner.retry_budgets.get_mut(service)?;
        budget.take_retry(proof, may_repeat, attempts, remaining, rand::random())
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AdmissionInner {
    fn dispatch_all(&mut self, now: Instant) {
        for service in self.queue.waiting_services() {
            self.dispatch(now, &service);
        }
    }

    /// Gives free slots of a service to its waiting requests.
    fn dispatch(&mut self, now: Instant, service: &ServiceId) {
        while let Some(id) = self.queue.next(service) {
            let Ok(grant) = self.slots.acquire(now, service, &[]) else {
                return;
            };
            let Some(run_permit) = self.start_run(id) else {
                self.slots.release(now, &grant.instance, SlotOutcome::Neutral);
                continue;
            };
            let waiter = self.queue.start(id);
            let sender = self.grant_senders.remove(&id);
            let (Some(waiter), Some(sender)) = (waiter, sender) else {
                self.slots.release(now, &grant.instance, SlotOutcome::Neutral);
                continue;
            };
            let kind = (waiter.service, waiter.team, waiter.priority);
            *self.running.entry(kind.clone()).or_default() += 1;
            if let Err((grant, run_permit)) = sender.send((grant, run_permit)) {
                self.slots.release(now, &grant.instance, SlotOutcome::Neutral);
                drop(run_permit);
                self.finish(&kind, None);
            }
        }
    }

    /// Counts a request as running for its team. If tasks use the rest of the team's allowance, returns
    /// `None`, and the team starts nothing before its tasks are counted again.
    fn start_run(&mut self, id: WaiterId) -> Option<RunPermit> {
        let team = self.queue.waiting_team(id)?.clone();
        let allowance = self.allowances.get(&team).copied().unwrap_or_default();
        let run_permit = self.counter.try_start(&team, allowance);
        if run_permit.is_none() {
            let running = self.queue.running_count(&team);
            self.queue.set_allowance(&team, running);
        }
        run_permit
    }

    /// Sets the team's allowance in the queue to the part that its running tasks do not use.
    fn update_queue_allowance(&mut self, team: &TeamId) {
        let allowance = self.allowances.get(team).copied().unwrap_or_default();
        let running = self.queue.running_count(team);
        let tasks = self.counter.running(team).saturating_sub(running);
        self.queue
            .set_allowance(team, allowance.get().saturating_sub(tasks));
    }

    fn finish(&mut self, kind: &WorkKind, run_time: Option<Duration>) {
        if let Some(count) = self.running.get_mut(kind) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(kind);
            }
        }
        self.queue.finish(&kind.0, &kind.1, run_time);
    }

    fn timeout_error(&self, waiter: &SlotWaiter) -> Error {
        if self.queue.is_at_allowance(&waiter.team) {
            return admission_error::limit_reached(&waiter.team);
        }
        if self.slots.usable_slots(&waiter.service) == 0 {
            return admission_error::no_backend(&waiter.service);
        }
        admission_error::overloaded("no slot became free within the request's share of waiting")
    }
}

/// Removes a waiting request from the queue when its future is dropped, and frees a slot that was granted at
/// the same time.
#[derive(Debug)]
struct WaitingGuard<'a> {
    controller: &'a AdmissionController,
    waiter: SlotWaiter,
    id: WaiterId,
    receiver: oneshot::Receiver<GrantedSlot>,
    is_settled: bool,
}

impl WaitingGuard<'_> {
    fn permit(&mut self, grant: GrantedSlot) -> WorkPermit {
        self.is_settled = true;
        self.controller.build_permit(self.waiter.clone(), grant)
    }

    /// Ends the wait: takes a slot that was granted in the meantime, or returns why there was none.
    fn time_out(&mut self) -> Result<WorkPermit> {
        let inner = self.controller.lock();
        let granted = self.receiver.try_recv();
        let refusal = inner.timeout_error(&self.waiter);
        drop(inner);
        granted
            .map(|grant| self.permit(grant))
            .map_err(|_not_granted| refusal)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let mut inner = self.controller.lock();
        inner.grant_senders.remove(&self.id);
        inner.queue.cancel(self.id);
        // Slots are sent under the lock, and this request is out of the queue: no slot can arrive after this.
        let granted = self.receiver.try_recv();
        drop(inner);
        if let Ok(grant) = granted {
            drop(self.permit(grant));
        }
    }
}

/// Permission to run one request on one backend server. Dropping it frees the slot and starts waiting
/// requests.
#[derive(Debug)]
pub struct WorkPermit {
    controller: AdmissionController,
    kind: WorkKind,
    started: Instant,
    grant: Option<SlotGrant>,
    run_permit: Option<RunPermit>,
    end: SlotOutcome,
}

impl WorkPermit {
    /// The slot; `None` after [`WorkPermit::switch_server`] failed.
    pub fn grant(&self) -> Option<&SlotGrant> {
        self.grant.as_ref()
    }

    /// Sets how the work ended, which is reported to the slot table when the slot is freed. Neutral if never
    /// set.
    pub fn set_end(&mut self, end: SlotOutcome) {
        self.end = end;
    }

    /// Frees the slot and takes one on a server that is not in `tried`, without waiting.
    ///
    /// # Errors
    /// The reason if no such server has a free slot.
    pub fn switch_server(&mut self, tried: &[InstanceId]) -> std::result::Result<(), SlotRefusal> {
        let now = self.controller.clock.now();
        let mut inner = self.controller.lock();
        if let Some(grant) = self.grant.take() {
            inner.slots.release(now, &grant.instance, self.end);
        }
        self.end = SlotOutcome::Neutral;
        let grant = inner.slots.acquire(now, &self.kind.0, tried);
        drop(inner);
        self.grant = Some(grant?);
        self.started = now;
        Ok(())
    }
}

impl Drop for WorkPermit {
    fn drop(&mut self) {
        let now = self.controller.clock.now();
        let mut inner = self.controller.lock();
        if let Some(grant) = self.grant.take() {
            inner.slots.release(now, &grant.instance, self.end);
        }
        drop(self.run_permit.take());
        let run_time =
            (self.end == SlotOutcome::Success).then(|| now.saturating_duration_since(self.started));
        inner.finish(&self.kind, run_time);
        inner.update_queue_allowance(&self.kind.1);
        inner.dispatch_all(now);
    }
}
