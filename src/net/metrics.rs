//! Converts a daemon's status to the Prometheus text format.

use prometheus::core::Collector;
use prometheus::{Counter, CounterVec, Encoder, Gauge, GaugeVec, Opts, Registry, TextEncoder};

use super::admin_status::Status;
use crate::decide::phase::Phase;

/// Renders all metrics of a daemon in the Prometheus text format.
pub fn render(status: &Status) -> Result<String, prometheus::Error> {
    let metrics = MetricSet::default();
    node_metrics(&metrics, status)?;
    listener_metrics(&metrics, status)?;
    process_metrics(&metrics, status)?;
    metrics.encode()
}

#[derive(Default)]
struct MetricSet {
    registry: Registry,
}

impl MetricSet {
    fn gauge(&self, name: &str, help: &str, value: f64) -> Result<(), prometheus::Error> {
        let gauge = Gauge::new(name, help)?;
        gauge.set(value);
        self.add(gauge)
    }

    fn counter(&self, name: &str, help: &str, value: f64) -> Result<(), prometheus::Error> {
        let counter = Counter::new(name, help)?;
        counter.inc_by(value);
        self.add(counter)
    }

    fn add(&self, collector: impl Collector + 'static) -> Result<(), prometheus::Error> {
        self.registry.register(Box::new(collector))
    }

    fn encode(&self) -> Result<String, prometheus::Error> {
        let mut bytes = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

fn node_metrics(metrics: &MetricSet, status: &Status) -> Result<(), prometheus::Error> {
    let gauges = &status.gauges;
    let ready = u64::from(status.phase == Phase::Serving);
    let node_gauges = [
        ("ready", "Whether the daemon serves calls.", ready),
        (
            "heard",
            "Whether the log service or another daemon has been heard.",
            u64::from(status.heard),
        ),
        (
            "sheet_version",
            "Version of the sheet in force.",
            status.sheet.version.0,
        ),
        (
            "sheet_gap",
            "Whether records of the log are missing behind the sheet.",
            u64::from(status.sheet.gap),
        ),
        ("workers", "Workers known.", status.workers as u64),
        (
            "concurrency_limit",
            "Concurrency limit of the backend server.",
            gauges.limit.into(),
        ),
        (
            "in_flight",
            "Requests running on the backend server.",
            gauges.in_flight.into(),
        ),
        (
            "queued",
            "Requests that wait for the backend server.",
            gauges.queued,
        ),
        (
            "admission_level",
            "Lowest priority admitted.",
            gauges.admission_level.into(),
        ),
        ("calls", "Calls that the daemon moves.", gauges.calls),
        ("open_keys", "Keys open at this home.", gauges.open_keys),
        (
            "executor_records",
            "Records at this executor.",
            gauges.executor_records,
        ),
    ];
    for (name, help, value) in node_gauges {
        metrics.gauge(&format!("burdockhall_{name}"), help, value as f64)?;
    }
    let age_ms = status
        .sheet
        .age_ms
        .map_or(f64::INFINITY, |age_ms| age_ms as f64);
    let help = "Time since the sheet was known to be the newest, in milliseconds.";
    metrics.gauge("burdockhall_sheet_age_ms", help, age_ms)?;
    for (name, value) in &status.counters {
        let help = format!("Count of `{name}` since the start.");
        metrics.counter(&format!("burdockhall_{name}_total"), &help, *value as f64)?;
    }
    Ok(())
}

fn listener_metrics(metrics: &MetricSet, status: &Status) -> Result<(), prometheus::Error> {
    let connections = GaugeVec::new(
        Opts::new("burdockhall_connections", "Connections open, by listener."),
        &["listener"],
    )?;
    let refusals = CounterVec::new(
        Opts::new(
            "burdockhall_bound_reached_total",
            "How often a bound towards a client was reached.",
        ),
        &["listener", "bound"],
    )?;
    for (listener, listener_status) in &status.listeners {
        let open = connections.get_metric_with_label_values(&[listener])?;
        open.set(listener_status.connections as f64);
        for (bound, count) in &listener_status.refused {
            let counter = refusals.get_metric_with_label_values(&[listener, bound])?;
            counter.inc_by(*count as f64);
        }
    }
    metrics.add(connections)?;
    metrics.add(refusals)
}

fn process_metrics(metrics: &MetricSet, status: &Status) -> Result<(), prometheus::Error> {
    let stats = &status.process;
    metrics.counter(
        "process_cpu_seconds_total",
        "Processor time used.",
        stats.cpu_ms as f64 / 1_000.0,
    )?;
    metrics.gauge(
        "process_resident_memory_bytes",
        "Resident memory.",
        stats.resident_bytes as f64,
    )?;
    metrics.gauge("process_threads", "Threads.", stats.threads as f64)?;
    metrics.gauge(
        "process_open_fds",
        "Open files and sockets.",
        stats.open_files as f64,
    )
}
