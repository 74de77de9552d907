//! Prometheus metrics of the request path.

use std::time::Duration;

use prometheus::{Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

use crate::request::entry_context::EntryContext;

/// Upper bounds of the buckets of the latency histogram, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0, 30.0,
];

/// Metrics of the request path. The gauges are set when the metrics are rendered.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: Histogram,
    running: IntGauge,
    waiting: IntGauge,
    ejected: IntGauge,
    tickets: IntGauge,
    revision: IntGauge,
}

impl EntryMetrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    /// The library's error if a metric name is invalid or registered twice.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let options = Opts::new("figloft_requests_total", "Requests by service and result.");
        let requests = IntCounterVec::new(options, &["service", "result"])?;
        let options = HistogramOpts::new("figloft_request_seconds", "Time until the answer began.");
        let latency = Histogram::with_opts(options.buckets(LATENCY_BOUNDS.to_vec()))?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(
            prometheus::process_collector::ProcessCollector::for_self(),
        ))?;
        Ok(Self {
            requests,
            latency,
            running: gauge("figloft_requests_running", "Requests on backend servers.")?,
            waiting: gauge("figloft_requests_waiting", "Requests that wait for a slot.")?,
            ejected: gauge("figloft_backends_ejected", "Backend servers that are ejected.")?,
            tickets: gauge("figloft_tickets_kept", "Tickets kept after their claim.")?,
            revision: gauge("figloft_revision", "Revision of the accepted configuration.")?,
            registry,
        })
    }

    /// Registry in which other parts of the daemon register their metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts a request and observes the time until its response began. `result` is `ok` or the name of the
    /// error kind; `service` is `none` for requests that were rejected before their service was known.
    pub fn record_response(&self, service: &str, result: &str, elapsed: Duration) {
        self.requests.with_label_values(&[service, result]).inc();
        self.latency.observe(elapsed.as_secs_f64());
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self, context: &EntryContext) -> Vec<u8> {
        let (running, waiting) = context.admission.request_counts();
        self.running.set(i64::from(running));
        self.waiting.set(waiting.cast_signed() as i64);
        self.ejected
            .set(context.admission.ejected_count().cast_signed() as i64);
        self.tickets
            .set(context.tickets.kept_count().cast_signed() as i64);
        self.revision
            .set(context.version.current().revision.get().cast_signed());
        if let Some(limits) = &context.limits {
            limits.update_gauges();
        }
        let mut text = Vec::new();
        // Encoding into memory fails only for a metric family without a name, and every metric here has one.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
