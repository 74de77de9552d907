//! Forecast of the resources that new submissions to a pool will use.
//!
//! At the start of a load peak, running and waiting work lags behind the submissions by the duration of a
//! job, and an instance needs more than a second to join a pool. The resources that new submissions will use
//! are estimated as the submission rate times the work of a job within the lead time of a move, so that a
//! pool can grow before its queue does.

use std::time::{Duration, Instant};

use crate::dispatch::job_spec::JobSpec;
use crate::dispatch::work_forecast;
use crate::model::amount::{MemoryMib, MilliCores};
use crate::model::resource::ResourceSet;

/// Time constant of the fast average.
const FAST_WINDOW: Duration = Duration::from_millis(600);

/// Time constant of the slow average. On a steady rise the averages lag behind the rate by their time constants,
/// so that their difference is the rise within the difference of the time constants.
const SLOW_WINDOW: Duration = Duration::from_millis(1_800);

/// Minimum difference of the averages that counts as a trend, in standard deviations of the fast one.
const TREND_THRESHOLD: f64 = 1.0;

/// Exponential moving averages of the work that is submitted per second, for one resource.
#[derive(Debug, Clone, Copy, Default)]
struct TrendAverage {
    fast: f64,
    slow: f64,
    /// Variance of the fast average if submissions are independent of each other.
    variance: f64,
}

impl TrendAverage {
    fn decay(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        self.fast *= (-seconds / FAST_WINDOW.as_secs_f64()).exp();
        self.slow *= (-seconds / SLOW_WINDOW.as_secs_f64()).exp();
        self.variance *= (-2.0 * seconds / FAST_WINDOW.as_secs_f64()).exp();
    }

    fn add(&mut self, amount: f64, age: Duration) {
        let age = age.as_secs_f64();
        let fast = amount / FAST_WINDOW.as_secs_f64() * (-age / FAST_WINDOW.as_secs_f64()).exp();
        self.fast += fast;
        self.slow += amount / SLOW_WINDOW.as_secs_f64() * (-age / SLOW_WINDOW.as_secs_f64()).exp();
        self.variance += fast.powi(2);
    }

    /// The slow average while the difference is within the noise, since a few large jobs in close succession
    /// are no trend. Otherwise the fast average; if it rises, it is extrapolated to the end of the lead time.
    /// Capacity that is idle for a second costs far less than jobs that are late for lack of it.
    fn forecast(&self) -> f64 {
        let noise = self.variance.sqrt() * TREND_THRESHOLD;
        let difference = self.fast - self.slow;
        if difference > noise {
            let lag = SLOW_WINDOW.saturating_sub(FAST_WINDOW);
            let horizon = FAST_WINDOW + work_forecast::MOVE_LEAD_TIME;
            self.fast + (difference - noise) * horizon.div_duration_f64(lag)
        } else if difference < -noise {
            self.fast
        } else {
            self.slow
        }
    }
}

/// Forecast of the resources that new submissions to one pool will use.
#[derive(Debug, Clone, Copy, Default)]
pub struct InflowForecast {
    cores: TrendAverage,
    memory: TrendAverage,
    updated_at: Option<Instant>,
}

impl InflowForecast {
    /// Records a job that was accepted `age` ago. Jobs that are read together after an outage of the store
    /// count at the times at which they were accepted.
    pub fn record_submission(&mut self, now: Instant, age: Duration, spec: &JobSpec) {
        self.decay(now);
        for (demand, seconds) in work_forecast::work_within_lead_time(&spec.steps) {
            self.cores.add(demand.cores.get() as f64 * seconds, age);
            self.memory.add(demand.memory.get() as f64 * seconds, age);
        }
    }

    fn decay(&mut self, now: Instant) {
        if let Some(updated_at) = self.updated_at {
            let elapsed = now.saturating_duration_since(updated_at);
            self.cores.decay(elapsed);
            self.memory.decay(elapsed);
        }
        self.updated_at = Some(now);
    }

    /// Resources that new submissions are expected to use.
    pub fn expected_usage(&self, now: Instant) -> ResourceSet {
        let mut current = *self;
        current.decay(now);
        ResourceSet::new(
            MilliCores::new(current.cores.forecast() as u64),
            MemoryMib::new(current.memory.forecast() as u64),
        )
    }
}
