//! Running average of the estimated work of the jobs on a pool.

/// Weight of the newest job in the exponential moving average.
const AVERAGE_GAIN: f64 = 0.05;

/// Multiple of the average above which a job counts as large.
const LARGE_FACTOR: f64 = 1.3;

/// Exponential moving average of the estimated work; absent before the first job with an estimate.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkAverage {
    average: Option<f64>,
}

impl WorkAverage {
    /// Adds a job's work in core-milliseconds to the average and returns whether the job is large. A job
    /// without an estimate has work 0: it does not count and is not large.
    pub fn observe(&mut self, work: u64) -> bool {
        if work == 0 {
            return false;
        }
        let work = work as f64;
        let average = self.average.unwrap_or(work);
        self.average = Some(average + (work - average) * AVERAGE_GAIN);
        work > average * LARGE_FACTOR
    }
}
