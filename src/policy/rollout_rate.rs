//! Adapts the rate of new drains to failures: a burst of failures stops them, and time without failures
//! raises the rate again in steps.

use std::collections::{BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use crate::model::id::InstanceId;

/// Settings of the roll-out rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateSettings {
    /// Window within which failures count as one burst.
    pub burst_window: Duration,
    /// Minimum number of failures that make a burst.
    pub min_burst: u32,
    /// Minimum number of failures that make a burst, in thousandths of the fleet; it matters for large
    /// fleets.
    pub burst_permille: u32,
    /// Time without a failure after which drains start again, at the minimum rate.
    pub recovery_delay: Duration,
    /// Time without a failure after which the rate doubles.
    pub ramp_interval: Duration,
    /// Factor on the rate for failures that make no burst.
    pub single_failure_factor: f64,
}

impl Default for RateSettings {
    fn default() -> Self {
        Self {
            burst_window: Duration::from_mins(1),
            min_burst: 3,
            burst_permille: 5,
            recovery_delay: Duration::from_mins(1),
            ramp_interval: Duration::from_secs(30),
            single_failure_factor: 0.75,
        }
    }
}

/// Minimum rate above zero, at which drains start again after a burst.
const MIN_RATE: f64 = 0.25;

/// Rate of new drains, from 0 (none) to 1 (as many as the budgets allow).
#[derive(Debug, Clone)]
pub struct RolloutRate {
    settings: RateSettings,
    failed: BTreeSet<InstanceId>,
    recent: VecDeque<(Instant, u32)>,
    factor: f64,
    last_change: Option<Instant>,
}

impl RolloutRate {
    /// Creates the full rate.
    pub fn new(settings: RateSettings) -> Self {
        Self {
            settings,
            failed: BTreeSet::new(),
            recent: VecDeque::new(),
            factor: 1.0,
            last_change: None,
        }
    }

    /// The rate, from 0 to 1.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Updates the rate with all instances that are down without a planned stop. `fleet` is the number of
    /// members.
    pub fn observe(&mut self, now: Instant, fleet: u32, failed: BTreeSet<InstanceId>) {
        let new_failures = failed.difference(&self.failed).count() as u32;
        self.failed = failed;
        while self
            .recent
            .front()
            .is_some_and(|(at, _)| *at + self.settings.burst_window <= now)
        {
            self.recent.pop_front();
        }
        if new_failures > 0 {
            self.reduce(now, fleet, new_failures);
        } else {
            self.recover(now);
        }
    }

    fn reduce(&mut self, now: Instant, fleet: u32, new_failures: u32) {
        self.recent.push_back((now, new_failures));
        self.last_change = Some(now);
        let in_window: u32 = self.recent.iter().map(|(_, count)| count).sum();
        let of_fleet = fleet * self.settings.burst_permille / 1000;
        if in_window >= self.settings.min_burst.max(of_fleet) {
            self.factor = 0.0;
        } else if self.factor > 0.0 {
            self.factor = (self.factor * self.settings.single_failure_factor).max(MIN_RATE);
        }
    }

    fn recover(&mut self, now: Instant) {
        let Some(since) = self.last_change else {
            return;
        };
        let wait = if self.factor == 0.0 {
            self.settings.recovery_delay
        } else {
            self.settings.ramp_interval
        };
        if since + wait > now {
            return;
        }
        self.factor = (self.factor * 2.0).clamp(MIN_RATE, 1.0);
        self.last_change = (self.factor < 1.0).then_some(now);
    }
}
