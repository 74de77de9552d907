//! Slots on backend servers: chooses the server for the next request, and ejects failing servers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::model::id::{InstanceId, Revision, ServiceId};

/// Consecutive failures after which a backend server is ejected.
pub const EJECT_AFTER_FAILURES: u32 = 3;
/// Duration of the first ejection; doubles for each failed probe.
pub const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time for which a failure counts as load in the choice between servers, so that a server that fails fast
/// does not look idle. It occupies no slot, because otherwise two failures could take all slots of the only
/// server.
pub const FAILURE_LOAD_TIME: Duration = Duration::from_secs(2);

/// Time after which a response is late if no run time of the service is known.
const DEFAULT_LATE_AFTER: Duration = Duration::from_secs(1);
/// A response is late after this many mean run times. A request that ends earlier because of its caller's
/// deadline says nothing about the server.
const LATE_MEAN_FACTOR: u32 = 8;
/// A response is never late before this time, so that short pauses of a server do not eject it.
const MIN_LATE_AFTER: Duration = Duration::from_millis(100);

/// Whether a response that has not arrived after `waited` counts as a failure of the server. `mean_run_time`
/// is that of the service, zero if unknown, and `max_deadline` is the service's maximum deadline.
pub fn is_late(mean_run_time: Duration, waited: Duration, max_deadline: Duration) -> bool {
    let late = if mean_run_time.is_zero() {
        DEFAULT_LATE_AFTER
    } else {
        (mean_run_time * LATE_MEAN_FACTOR).max(MIN_LATE_AFTER)
    };
    waited >= late.min(max_deadline)
}

/// A backend server as the configuration describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "instance and service need no explanation")]
pub struct BackendSpec {
    pub instance: InstanceId,
    pub service: ServiceId,
    /// Address, `ip:port`.
    pub address: Arc<str>,
    /// Maximum number of requests that this session may have running on the server.
    pub slots: u32,
    /// Revision at which the instance entered its phase. A notice that the server leaves applies until this
    /// changes.
    pub phase_since: Revision,
}

/// How a request on a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotOutcome {
    /// A complete response arrived.
    Success,
    /// The server failed, timed out or truncated its response.
    Failure,
    /// The outcome says nothing about the server, for example because the caller closed the connection.
    Neutral,
}

/// A slot on a server that was given to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "the instance needs no explanation")]
pub struct SlotGrant {
    pub instance: InstanceId,
    /// Address, `ip:port`.
    pub address: Arc<str>,
}

/// Why no slot was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotRefusal {
    /// No server of the service accepts work.
    NoBackend,
    /// All slots of the servers that accept work are in use.
    AllBusy,
}

#[derive(Debug)]
struct BackendState {
    spec: BackendSpec,
    is_listed: bool,
    is_leaving: bool,
    in_flight: u32,
    /// Slow start: the number of requests that may run at once. It grows by 1 with each success up to the
    /// slots, and halves with each failure.
    window: u32,
    failures: u32,
    /// Times until which recent failures count as load.
    failure_loads: Vec<Instant>,
    ejected_until: Option<Instant>,
    is_probing: bool,
    next_ejection_time: Duration,
    /// Value of `use_count` of the table when the server was last chosen.
    last_use: u64,
}

impl BackendState {
    fn new(spec: BackendSpec, window: u32) -> Self {
        Self {
            spec,
            is_listed: true,
            is_leaving: false,
            in_flight: 0,
            window,
            failures: 0,
            failure_loads: Vec::new(),
            ejected_until: None,
            is_probing: false,
            next_ejection_time: FIRST_EJECTION,
            last_use: 0,
        }
    }

    fn update(&mut self, spec: BackendSpec) {
        if self.spec.phase_since != spec.phase_since {
            self.is_leaving = false;
        }
        if self.window >= self.spec.slots {
            self.window = spec.slots;
        }
        self.spec = spec;
        self.is_listed = true;
    }

    fn is_accepting(&self) -> bool {
        self.is_listed && !self.is_leaving && self.spec.slots > 0 && self.ejected_until.is_none()
    }

    fn load(&self, now: Instant) -> u32 {
        let failed = self.failure_loads.iter().filter(|end| **end > now).count() as u32;
        self.in_flight + failed
    }

    fn has_room(&self) -> bool {
        self.in_flight < self.window.min(self.spec.slots)
    }

    fn on_success(&mut self) {
        self.failures = 0;
        self.next_ejection_time = FIRST_EJECTION;
        self.window = (self.window + 1).min(self.spec.slots.max(1));
    }

    fn on_failure(&mut self, now: Instant) {
        self.failures += 1;
        self.window = (self.window / 2).max(1);
        self.failure_loads.retain(|end| *end > now);
        self.failure_loads.push(now + FAILURE_LOAD_TIME);
        if self.failures >= EJECT_AFTER_FAILURES && self.ejected_until.is_none() {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Instant) {
        self.ejected_until = Some(now + self.next_ejection_time);
        self.next_ejection_time = (self.next_ejection_time * 2).min(MAX_EJECTION);
        self.window = 1;
    }
}

/// Slots of this session on the backend servers of its availability zone.
#[derive(Debug, Default)]
pub struct SlotTable {
    backends: BTreeMap<InstanceId, BackendState>,
    use_count: u64,
    /// Whether an earlier list had a server with slots.
    has_had_backends: bool,
}

impl SlotTable {
    /// Creates a table without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list of servers. A server that is no longer listed receives no new requests and is
    /// removed when its last request has ended. Servers of the first list start with a full window, those
    /// added later with slow start.
    pub fn set_backends(&mut self, specs: Vec<BackendSpec>) {
        let is_first = !self.has_had_backends;
        self.has_had_backends |= specs.iter().any(|spec| spec.slots > 0);
        for state in self.backends.values_mut() {
            state.is_listed = false;
        }
        for spec in specs {
            if let Some(state) = self.backends.get_mut(&spec.instance) {
                state.update(spec);
            } else {
                let window = if is_first { spec.slots } else { 1 };
                self.backends
                    .insert(spec.instance.clone(), BackendState::new(spec, window));
            }
        }
        self.backends
            .retain(|_, state| state.is_listed || state.in_flight > 0);
    }

    /// Takes a slot on the least loaded server of a service, other than those in `tried`.
    ///
    /// # Errors
    /// The reason if no server has a free slot.
    pub fn acquire(
        &mut self,
        now: Instant,
        service: &ServiceId,
        tried: &[InstanceId],
    ) -> Result<SlotGrant, SlotRefusal> {
        let mut refusal = SlotRefusal::NoBackend;
        let mut best: Option<(u32, u64, &InstanceId)> = None;
        for (instance, state) in &self.backends {
            if state.spec.service != *service || !state.is_accepting() || tried.contains(instance) {
                continue;
            }
            refusal = SlotRefusal::AllBusy;
            if !state.has_room() {
                continue;
            }
            let rank = (state.load(now), state.last_use, instance);
            if best.is_none_or(|current| rank < current) {
                best = Some(rank);
            }
        }
        let Some((_, _, instance)) = best else {
            return Err(refusal);
        };
        let instance = instance.clone();
        Ok(self.occupy_slot(&instance))
    }

    fn occupy_slot(&mut self, instance: &InstanceId) -> SlotGrant {
        self.use_count += 1;
        let state = self
            .backends
            .get_mut(instance)
            .expect("the chosen server is listed");
        state.in_flight += 1;
        state.last_use = self.use_count;
        SlotGrant {
            instance: instance.clone(),
            address: Arc::clone(&state.spec.address),
        }
    }

    /// Releases a slot and records the outcome of its request.
    pub fn release(&mut self, now: Instant, instance: &InstanceId, end: SlotOutcome) {
        let Some(state) = self.backends.get_mut(instance) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        match end {
            SlotOutcome::Success => state.on_success(),
            SlotOutcome::Failure => state.on_failure(now),
            SlotOutcome::Neutral => {}
        }
        if !state.is_listed && state.in_flight == 0 {
            self.backends.remove(instance);
        }
    }

    /// Records that a server announced that it leaves. It receives no new requests.
    pub fn mark_leaving(&mut self, instance: &InstanceId) {
        if let Some(state) = self.backends.get_mut(instance) {
            state.is_leaving = true;
        }
    }

    /// Ejected servers whose ejection time is over. The caller probes each of them once and passes the result
    /// to [`Self::record_probe`].
    pub fn due_probes(&mut self, now: Instant) -> Vec<SlotGrant> {
        let mut probes = Vec::new();
        for (instance, state) in &mut self.backends {
            if state.is_probing || state.ejected_until.is_none_or(|until| until > now) {
                continue;
            }
            state.is_probing = true;
            probes.push(SlotGrant {
                instance: instance.clone(),
                address: Arc::clone(&state.spec.address),
            });
        }
        probes
    }

    /// Records the result of a probe. A healthy server receives one request at first, and a single failure
    /// ejects it again for a longer time, because a server can answer its probe and still fail all work.
    pub fn record_probe(&mut self, now: Instant, instance: &InstanceId, is_healthy: bool) {
        let Some(state) = self.backends.get_mut(instance) else {
            return;
        };
        state.is_probing = false;
        if is_healthy {
            state.ejected_until = None;
            state.failures = EJECT_AFTER_FAILURES - 1;
            state.window = 1;
            state.failure_loads.clear();
        } else {
            state.eject(now);
        }
    }

    /// Number of requests of this session that run on a server. A drain waits until it is zero.
    pub fn in_flight(&self, instance: &InstanceId) -> u32 {
        self.backends.get(instance).map_or(0, |state| state.in_flight)
    }

    /// Number of requests of this session on each server that has any.
    pub fn in_flight_counts(&self) -> BTreeMap<InstanceId, u32> {
        let busy = self.backends.iter().filter(|(_, state)| state.in_flight > 0);
        busy.map(|(instance, state)| (instance.clone(), state.in_flight))
            .collect()
    }

    /// Instances of the ejected servers.
    pub fn ejected_servers(&self) -> BTreeSet<InstanceId> {
        let ejected = self
            .backends
            .iter()
            .filter(|(_, state)| state.ejected_until.is_some());
        ejected.map(|(instance, _)| instance.clone()).collect()
    }

    /// Number of requests of this session that run on all servers.
    pub fn total_in_flight(&self) -> u32 {
        self.backends.values().map(|state| state.in_flight).sum()
    }

    /// Number of slots of a service that may be used now, free or not.
    pub fn usable_slots(&self, service: &ServiceId) -> u32 {
        self.backends
            .values()
            .filter(|state| state.spec.service == *service && state.is_accepting())
            .map(|state| state.window.min(state.spec.slots))
            .sum()
    }

    /// Number of ejected servers, for metrics.
    pub fn ejected_count(&self) -> usize {
        self.backends
            .values()
            .filter(|state| state.ejected_until.is_some())
            .count()
    }
}
