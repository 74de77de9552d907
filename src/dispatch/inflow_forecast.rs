//! Forecast of the resources that a pool's submissions keep busy.
//!
//! Answers the rise of a turn: what runs and waits lags behind submissions by the time of a job, and an instance needs
//! more than a second to join. Work submitted a second is the number of cores that it keeps busy, so that a pool
//! can grow before its queue does.

use std::time::{Duration, Instant};

use crate::dispatch::job_spec::JobSpec;
use crate::model::amount::{MemoryMib, MilliCores};
use crate::model::resource::ResourceSet;

/// Time over which the fast average looks back.
const FAST_TIME: Duration = Duration::from_millis(600);

/// Time over which the slow average looks back; the difference of both is the trend.
const SLOW_TIME: Duration = Duration::from_millis(1_800);

/// Standard deviations by which the fast average has to differ from the slow one to count as a trend.
const TREND_DEVIATIONS: f64 = 1.0;

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
        self.fast *= (-seconds / FAST_TIME.as_secs_f64()).exp();
        self.slow *= (-seconds / SLOW_TIME.as_secs_f64()).exp();
        self.variance *= (-2.0 * seconds / FAST_TIME.as_secs_f64()).exp();
    }

    fn add(&mut self, amount: f64) {
        self.fast += amount / FAST_TIME.as_secs_f64();
        self.slow += amount / SLOW_TIME.as_secs_f64();
        self.variance += (amount / FAST_TIME.as_secs_f64()).powi(2);
    }

    /// The slow average while both differ by no more than chance; otherwise the fast one, with the trend where it
    /// rises. A few large jobs that come close together are no trend.
    fn forecast(&self) -> f64 {
        let noise = self.variance.sqrt() * TREND_DEVIATIONS;
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
    /// Takes an accepted job.
    pub fn submit(&mut self, now: Instant, spec: &JobSpec) {
        self.decay(now);
        for step in spec.steps.iter().filter(|step| !step.is_lasting) {
            let seconds = step.estimate.as_secs_f64() * f64::from(step.tasks);
            self.cores.add(step.demand.cores.get() as f64 * seconds);
            self.memory.add(step.demand.memory.get() as f64 * seconds);
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
    pub fn busy(&self, now: Instant) -> ResourceSet {
        let mut current = *self;
        current.decay(now);
        ResourceSet::new(
            MilliCores::new(current.cores.forecast() as u64),
            MemoryMib::new(current.memory.forecast() as u64),
        )
    }
}
