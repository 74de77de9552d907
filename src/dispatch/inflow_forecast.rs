//! Forecast of the resources that a pool's next submissions will keep busy.
//!
//! Answers the rise of a turn: what runs and waits lags behind submissions by the time of a job, and an instance needs
//! more than a second to join. The work of a job within the lead time of a move, times the jobs a second, is what the
//! jobs of that time will keep busy, so that a pool can grow before its queue does.

use std::time::{Duration, Instant};

use crate::dispatch::job_spec::JobSpec;
use crate::dispatch::work_forecast;
use crate::model::amount::{MemoryMib, MilliCores};
use crate::model::resource::ResourceSet;

/// Time over which the fast average looks back.
const FAST_WINDOW: Duration = Duration::from_millis(600);

/// Time over which the slow average looks back; the difference of both is the trend.
const SLOW_WINDOW: Duration = Duration::from_millis(1_800);

/// Standard deviations by which the fast average has to differ from the slow one to count as a trend.
const TREND_THRESHOLD: f64 = 1.0;

/// Exponential averages of one amount, in units a second.
#[derive(Debug, Clone, Copy, Default)]
struct TrendAverage {
    fast: f64,
    slow: f64,
    /// Variance of the fast average, for submissions that are independent of each other.
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

    /// The slow average while both differ by no more than chance; otherwise the fast one, with the trend where it
    /// rises. A few large jobs that come close together are no trend.
    fn forecast(&self) -> f64 {
        let noise = self.variance.sqrt() * TREND_THRESHOLD;
        let difference = self.fast - self.slow;
        if difference > noise {
            self.fast + (difference - noise)
        } else if difference < -noise {
            self.fast
        } else {
            self.slow
        }
    }
}

/// Forecast for one pool.
#[derive(Debug, Clone, Copy, Default)]
pub struct InflowForecast {
    cores: TrendAverage,
    memory: TrendAverage,
    at: Option<Instant>,
}

impl InflowForecast {
    /// Takes a job that was accepted some time ago; jobs that come together after an outage did not arrive together.
    pub fn record_submission(&mut self, now: Instant, age: Duration, spec: &JobSpec) {
        self.decay(now);
        for (demand, seconds) in work_forecast::work_within_lead_time(&spec.steps) {
            self.cores.add(demand.cores.get() as f64 * seconds, age);
            self.memory.add(demand.memory.get() as f64 * seconds, age);
        }
    }

    fn decay(&mut self, now: Instant) {
        if let Some(at) = self.at {
            let elapsed = now.saturating_duration_since(at);
            self.cores.decay(elapsed);
            self.memory.decay(elapsed);
        }
        self.at = Some(now);
    }

    /// Resources that submissions will keep busy.
    pub fn expected_usage(&self, now: Instant) -> ResourceSet {
        let mut current = *self;
        current.decay(now);
        ResourceSet::new(
            MilliCores::new(current.cores.forecast() as u64),
            MemoryMib::new(current.memory.forecast() as u64),
        )
    }
}
