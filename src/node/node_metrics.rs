//! Metrics of a node's leaders and of the API for callers.

use std::collections::BTreeMap;
use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    CounterVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use crate::dispatch::hold_reason::HoldReason;
use crate::dispatch::pool_plan::ZoneRuns;
use crate::dispatch::queue_work::SizeClass;
use crate::dispatch::shed_order::ShedSummary;
use crate::error::{Error, ErrorKind, Result};
use crate::model::id::ZoneId;

/// Upper bounds of the latency histograms' buckets in seconds.
const LATENCY_BOUNDS: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Counters, gauges and histograms of a node. Their names keep older words: a call is a request of a caller,
/// an order a command to a worker.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_times: HistogramVec,
    commands: IntCounterVec,
    command_times: HistogramVec,
    decisions: IntCounterVec,
    jobs: IntGaugeVec,
    most_losses: IntGaugeVec,
    held_tasks: IntGaugeVec,
    shed_jobs: IntGaugeVec,
    shed_work: IntGaugeVec,
    started_work: CounterVec,
    zone_runs: IntGaugeVec,
    in_flight: IntGauge,
    store_calls: IntCounterVec,
    admissions: IntCounterVec,
    digest_age: HistogramVec,
}

/// A request without a response.
#[derive(Debug)]
pub struct InFlightRequest(IntGauge);

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.dec();
    }
}

fn metrics_error(error: &prometheus::Error) -> Error {
    Error::new(ErrorKind::Internal, format!("metrics: {error}"))
}

/// Creates and registers a metric.
fn register<M: Collector + Clone + 'static>(registry: &Registry, metric: prometheus::Result<M>) -> Result<M> {
    let metric = metric.map_err(|error| metrics_error(&error))?;
    registry
        .register(Box::new(metric.clone()))
        .map_err(|error| metrics_error(&error))?;
    Ok(metric)
}

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
    register(registry, IntCounterVec::new(Opts::new(name, help), labels))
}

fn histogram(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<HistogramVec> {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
    register(registry, HistogramVec::new(options, labels))
}

impl NodeMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// `internal` if the registry already has a metric with one of the names.
    pub fn new(registry: Registry) -> Result<Self> {
        let jobs = Opts::new("figloft_pool_jobs", "Jobs of the pools held here.");
        let jobs = register(&registry, IntGaugeVec::new(jobs, &["pool"]))?;
        let most_losses = Opts::new(
            "figloft_most_lost_runs_of_a_task",
            "Largest number of runs that one task of the pool lost with its workers in this term.",
        );
        let most_losses = register(&registry, IntGaugeVec::new(most_losses, &["pool"]))?;
        let held_tasks = Opts::new(
            "figloft_held_tasks",
            "Tasks that have waited for more than a second, by what holds them back.",
        );
        let held_tasks = register(&registry, IntGaugeVec::new(held_tasks, &["pool", "reason"]))?;
        let shed_jobs = Opts::new(
            "figloft_shed_jobs",
            "Jobs that could be in time and wait because the pool cannot start all, by reason.",
        );
        let shed_jobs = register(&registry, IntGaugeVec::new(shed_jobs, &["pool", "reason"]))?;
        let shed_work = Opts::new(
            "figloft_shed_work_core_milliseconds",
            "Work of the jobs in figloft_shed_jobs.",
        );
        let shed_work = register(&registry, IntGaugeVec::new(shed_work, &["pool", "reason"]))?;
        let started_work = Opts::new(
            "figloft_started_work_core_milliseconds_total",
            "Estimated work of the tasks that were started, by the size of their job within its queue.",
        );
        let started_work = register(&registry, CounterVec::new(started_work, &["pool", "size"]))?;
        let zone_runs = Opts::new(
            "figloft_evacuated_zone_runs",
            "Runs of the pool that are, or may be, in a zone under evacuation.",
        );
        let zone_runs = register(&registry, IntGaugeVec::new(zone_runs, &["pool", "zone", "kind"]))?;
        let in_flight = IntGauge::new(
            "figloft_calls_in_flight",
            "Calls of callers that are not answered.",
        );
        Ok(Self {
            in_flight: register(&registry, in_flight)?,
            store_calls: counter(
                &registry,
                "figloft_store_calls_total",
                "Calls to the store by kind and outcome.",
                &["call", "outcome"],
            )?,
            requests: counter(
                &registry,
                "figloft_calls_total",
                "Calls of callers by call and status.",
                &["call", "status"],
            )?,
            request_times: histogram(
                &registry,
                "figloft_call_seconds",
                "Time to answer a caller.",
                &["call"],
            )?,
            commands: counter(
                &registry,
                "figloft_orders_total",
                "Orders to workers by outcome.",
                &["order", "outcome"],
            )?,
            command_times: histogram(
                &registry,
                "figloft_order_seconds",
                "Time to the answer of an order.",
                &["order"],
            )?,
            decisions: counter(
                &registry,
                "figloft_decisions_total",
                "Logged decisions.",
                &["decision"],
            )?,
            admissions: counter(
                &registry,
                "figloft_admission_total",
                "Submissions by pool and decision of the forecast.",
                &["pool", "decision"],
            )?,
            digest_age: histogram(
                &registry,
                "figloft_admission_digest_age_seconds",
                "Age of the digest of load at a decision of the forecast.",
                &[],
            )?,
            jobs,
            most_losses,
            held_tasks,
            shed_jobs,
            shed_work,
            started_work,
            zone_runs,
            registry,
        })
    }

    /// Counter of calls to the store, which the store's client increments.
    pub fn store_call_counter(&self) -> IntCounterVec {
        self.store_calls.clone()
    }

    /// Counts a request as in flight until the guard is dropped, also if its connection is closed before the answer.
    pub fn begin_request(&self) -> InFlightRequest {
        self.in_flight.inc();
        InFlightRequest(self.in_flight.clone())
    }

    /// Number of requests without a response.
    pub fn requests_in_flight(&self) -> i64 {
        self.in_flight.get()
    }

    /// Records a response with its HTTP status and the time since the request arrived.
    pub fn record_request(&self, request: &str, status: u16, elapsed: Duration) {
        let status = status.to_string();
        self.requests.with_label_values(&[request, status.as_str()]).inc();
        self.request_times
            .with_label_values(&[request])
            .observe(elapsed.as_secs_f64());
    }

    /// Records a command to a worker with its outcome and the time until that was known.
    pub fn record_command(&self, command: &str, outcome: &str, elapsed: Duration) {
        self.commands.with_label_values(&[command, outcome]).inc();
        self.command_times
            .with_label_values(&[command])
            .observe(elapsed.as_secs_f64());
    }

    /// Counts a logged decision of a scheduler.
    pub fn record_decision(&self, decision: &str) {
        self.decisions.with_label_values(&[decision]).inc();
    }

    /// Counts a submission by the decision of the forecast.
    pub fn record_admission(&self, pool: &str, decision: &str) {
        self.admissions.with_label_values(&[pool, decision]).inc();
    }

    /// Records the age of the digest on which a decision of the forecast rests.
    pub fn observe_digest_age(&self, age: Duration) {
        self.digest_age
            .with_label_values(&[] as &[&str])
            .observe(age.as_secs_f64());
    }

    /// Sets the number of jobs of a pool that this node leads.
    pub fn set_job_count(&self, pool: &str, jobs: usize) {
        self.jobs
            .with_label_values(&[pool])
            .set(i64::try_from(jobs).unwrap_or(i64::MAX));
    }

    /// Sets the largest number of runs that one task of a pool lost with its workers.
    pub fn set_most_losses(&self, pool: &str, runs: u32) {
        self.most_losses.with_label_values(&[pool]).set(i64::from(runs));
    }

    /// Sets the number of tasks of a pool that wait for each reason; 0 for the reasons that are not given.
    pub fn set_held_tasks(&self, pool: &str, counts: &BTreeMap<HoldReason, u64>) {
        for reason in HoldReason::ALL {
            let count = counts.get(&reason).copied().unwrap_or_default();
            self.held_tasks
                .with_label_values(&[pool, reason.as_str()])
                .set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Sets what waits in a pool that orders its starts by the cost of delay, and adds what it has started.
    pub fn set_shed_work(&self, pool: &str, summary: &ShedSummary) {
        for (reason, count) in [("cost", summary.by_cost), ("share", summary.by_share)] {
            let jobs = i64::try_from(count.jobs).unwrap_or(i64::MAX);
            self.shed_jobs.with_label_values(&[pool, reason]).set(jobs);
            self.shed_work
                .with_label_values(&[pool, reason])
                .set(count.work as i64);
        }
        for (size, work) in SizeClass::ALL.into_iter().zip(summary.started) {
            self.started_work
                .with_label_values(&[pool, size.as_str()])
                .inc_by(work);
        }
    }

    /// Sets the runs of a pool in the zones under evacuation, and removes those of the `former` zones that are not given.
    pub fn set_zone_runs(
        &self,
        pool: &str,
        former: &BTreeMap<ZoneId, ZoneRuns>,
        runs: &BTreeMap<ZoneId, ZoneRuns>,
    ) {
        for zone in former.keys().filter(|zone| !runs.contains_key(*zone)) {
            for kind in ["finite", "long_running"] {
                // A zone without a value has been removed already.
                let _ = self.zone_runs.remove_label_values(&[pool, zone.as_str(), kind]);
            }
        }
        for (zone, runs) in runs {
            for (kind, count) in [("finite", runs.finite), ("long_running", runs.long_running)] {
                let labels = [pool, zone.as_str(), kind];
                self.zone_runs.with_label_values(&labels).set(i64::from(count));
            }
        }
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// `internal` if they cannot be encoded.
    pub fn render(&self) -> Result<String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| metrics_error(&error))
    }
}
