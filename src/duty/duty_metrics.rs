//! Metrics of the duties and of the callers' API.

use std::time::Duration;

use prometheus::{
    HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::error::{Error, ErrorKind, Result};

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Counters and histograms.
#[derive(Debug)]
pub struct DutyMetrics {
    registry: Registry,
    calls: IntCounterVec,
    call_times: HistogramVec,
    orders: IntCounterVec,
    order_times: HistogramVec,
    decisions: IntCounterVec,
    jobs: IntGaugeVec,
    in_flight: IntGauge,
}

fn fault(error: &prometheus::Error) -> Error {
    Error::new(ErrorKind::Internal, format!("metrics: {error}"))
}

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
    let vec = IntCounterVec::new(Opts::new(name, help), labels).map_err(|error| fault(&error))?;
    registry
        .register(Box::new(vec.clone()))
        .map_err(|error| fault(&error))?;
    Ok(vec)
}

fn histogram(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> Result<HistogramVec> {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
    let vec = HistogramVec::new(options, labels).map_err(|error| fault(&error))?;
    registry
        .register(Box::new(vec.clone()))
        .map_err(|error| fault(&error))?;
    Ok(vec)
}

impl DutyMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// `internal` if a name is taken.
    pub fn new(registry: Registry) -> Result<Self> {
        let jobs = IntGaugeVec::new(
            Opts::new("figloft_pool_jobs", "Jobs of the pools held here."),
            &["pool"],
        )
        .map_err(|error| fault(&error))?;
        registry
            .register(Box::new(jobs.clone()))
            .map_err(|error| fault(&error))?;
        let in_flight = IntGauge::new(
            "figloft_calls_in_flight",
            "Calls of callers that are not answered.",
        )
        .map_err(|error| fault(&error))?;
        registry
            .register(Box::new(in_flight.clone()))
            .map_err(|error| fault(&error))?;
        Ok(Self {
            in_flight,
            calls: counter(
                &registry,
                "figloft_calls_total",
                "Calls of callers by call and status.",
                &["call", "status"],
            )?,
            call_times: histogram(
                &registry,
                "figloft_call_seconds",
                "Time to answer a caller.",
                &["call"],
            )?,
            orders: counter(
                &registry,
                "figloft_orders_total",
                "Orders to workers by outcome.",
                &["order", "outcome"],
            )?,
            order_times: histogram(
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
            jobs,
            registry,
        })
    }

    /// Counts the start of a call.
    pub fn begin_call(&self) {
        self.in_flight.inc();
    }

    /// Calls that are not answered.
    pub fn calls_in_flight(&self) -> i64 {
        self.in_flight.get()
    }

    /// Counts an answered call.
    pub fn count_call(&self, call: &str, status: u16, elapsed: Duration) {
        self.in_flight.dec();
        let status = status.to_string();
        self.calls.with_label_values(&[call, status.as_str()]).inc();
        self.call_times
            .with_label_values(&[call])
            .observe(elapsed.as_secs_f64());
    }

    /// Counts an order.
    pub fn count_order(&self, order: &str, outcome: &str, elapsed: Duration) {
        self.orders.with_label_values(&[order, outcome]).inc();
        self.order_times
            .with_label_values(&[order])
            .observe(elapsed.as_secs_f64());
    }

    /// Counts a decision.
    pub fn count_decision(&self, decision: &str) {
        self.decisions.with_label_values(&[decision]).inc();
    }

    /// Sets the number of jobs of a pool.
    pub fn set_jobs(&self, pool: &str, jobs: usize) {
        self.jobs
            .with_label_values(&[pool])
            .set(i64::try_from(jobs).unwrap_or(i64::MAX));
    }

    /// The metrics as text.
    ///
    /// # Errors
    /// `internal` if they cannot be encoded.
    pub fn text(&self) -> Result<String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .map_err(|error| fault(&error))
    }
}
