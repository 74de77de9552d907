//! The usual work of a job on a pool.

/// Weight of the newest job in the average.
const AVERAGE_GAIN: f64 = 0.05;

/// Factor on the average above which a job is large.
const LARGE_FACTOR: f64 = 1.3;

/// Running average of the work of jobs.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkAverage {
    average: Option<f64>,
}

impl WorkAverage {
    /// Takes a job's work in core-milliseconds and tells whether it is large. Jobs without an estimate do not
    /// count.
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
