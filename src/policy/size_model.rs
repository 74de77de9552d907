//! Estimates the resources that jobs really use from the usage reports of each queue and team, because
//! declared sizes are often far off.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::model::amount::{MemoryMib, MilliCores};
use crate::model::id::{QueueId, TeamId};
use crate::model::resource::ResourceSet;

/// Number of measurements that are needed before they replace the declared size.
const MIN_SAMPLES: u64 = 8;

/// Number of measurements in a generation. When the newer generation is full, the older one is dropped, so
/// that the estimate follows changes of the work.
const GENERATION_SAMPLES: u64 = 512;

/// Largest recorded amount: 16 TiB of memory or about 16,777 cores.
const MAX_AMOUNT: u64 = 1 << 24;

/// Quantile of memory usage that is granted. It is high because a task with too little memory is killed.
const MEMORY_QUANTILE: f64 = 0.98;

/// Quantile of run times with which a task's run time is compared.
const RUN_QUANTILE: f64 = 0.98;

/// Quantile of CPU usage that is granted. It is lower because too little CPU only slows a task down.
const CORES_QUANTILE: f64 = 0.75;

/// Unit of recorded run times. With 100 ms the largest recorded one is 19 days.
const RUN_UNIT_MS: u128 = 100;

/// A task counts as hung when it has run this many times as long as the run-time quantile of its queue and
/// team.
const HUNG_FACTOR: u32 = 10;

/// Minimum run time of a task that counts as hung.
const MIN_HUNG: Duration = Duration::from_mins(1);

/// Two generations of measurements of one amount, recorded with one significant digit.
#[derive(Debug, Clone)]
struct AmountHistory {
    older: Histogram<u16>,
    newer: Histogram<u16>,
}

impl AmountHistory {
    fn new() -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_AMOUNT, 1).expect("the bounds are constant and valid");
        Self {
            older: empty.clone(),
            newer: empty,
        }
    }

    fn record(&mut self, amount: u64) {
        if self.newer.len() >= GENERATION_SAMPLES {
            std::mem::swap(&mut self.older, &mut self.newer);
            self.newer.reset();
        }
        self.newer.saturating_record(amount.max(1));
    }

    fn quantile(&self, quantile: f64) -> Option<u64> {
        if self.older.len() + self.newer.len() < MIN_SAMPLES {
            return None;
        }
        let parts = [&self.older, &self.newer];
        let values = parts.into_iter().filter(|part| !part.is_empty());
        values.map(|part| part.value_at_quantile(quantile)).max()
    }
}

#[derive(Debug, Clone)]
struct SizeHistory {
    memory: AmountHistory,
    cores: AmountHistory,
    run_times: AmountHistory,
}

impl SizeHistory {
    fn new() -> Self {
        Self {
            memory: AmountHistory::new(),
            cores: AmountHistory::new(),
            run_times: AmountHistory::new(),
        }
    }
}

/// Measured sizes and run times by queue and team.
#[derive(Debug, Clone, Default)]
pub struct SizeModel {
    histories: BTreeMap<(QueueId, TeamId), SizeHistory>,
}

impl SizeModel {
    /// Creates a model without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the peak usage of a task.
    pub fn record_usage(&mut self, queue: &QueueId, team: &TeamId, used: &ResourceSet) {
        let history = self.history(queue, team);
        history.memory.record(used.memory.get());
        history.cores.record(used.cores.get());
    }

    /// Records the run time of a task that completed.
    pub fn record_run_time(&mut self, queue: &QueueId, team: &TeamId, time: Duration) {
        let units = time.as_millis() / RUN_UNIT_MS;
        self.history(queue, team).run_times.record(units as u64);
    }

    /// Run time after which a task counts as hung; absent if there are too few measurements.
    pub fn hung_after(&self, queue: &QueueId, team: &TeamId) -> Option<Duration> {
        let history = self.histories.get(&(queue.clone(), team.clone()))?;
        let units = history.run_times.quantile(RUN_QUANTILE)?;
        let usual_max = Duration::from_millis(units * RUN_UNIT_MS as u64);
        Some((usual_max * HUNG_FACTOR).max(MIN_HUNG))
    }

    fn history(&mut self, queue: &QueueId, team: &TeamId) -> &mut SizeHistory {
        let key = (queue.clone(), team.clone());
        self.histories.entry(key).or_insert_with(SizeHistory::new)
    }

    /// Expected usage of a job: the quantiles of the measurements if there are enough, otherwise the declared
    /// size. Accelerators are always granted as declared, because a task gets whole ones.
    pub fn estimate(&self, queue: &QueueId, team: &TeamId, declared: &ResourceSet) -> ResourceSet {
        let Some(history) = self.histories.get(&(queue.clone(), team.clone())) else {
            return *declared;
        };
        let memory = history.memory.quantile(MEMORY_QUANTILE);
        let cores = history.cores.quantile(CORES_QUANTILE);
        ResourceSet {
            cores: cores.map_or(declared.cores, MilliCores::new),
            memory: memory.map_or(declared.memory, MemoryMib::new),
            accelerators: declared.accelerators,
        }
    }
}
