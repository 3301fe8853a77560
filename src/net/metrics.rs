//! Converts a daemon's status to the Prometheus text format.

use prometheus::core::Collector;
use prometheus::{Counter, CounterVec, Encoder, Gauge, GaugeVec, Opts, Registry, TextEncoder};

use super::admin_status::Status;
use crate::decide::phase::Phase;

/// Renders all metrics of a daemon in the Prometheus text format.
pub fn render(status: &Status) -> Result<String, prometheus::Error> {
    let page = Page::default();
    decisions(&page, status)?;
    listeners(&page, status)?;
    process(&page, status)?;
    page.text()
}

#[derive(Default)]
struct Page {
    registry: Registry,
}

impl Page {
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

    fn text(&self) -> Result<String, prometheus::Error> {
        let mut bytes = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut bytes)?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}

fn decisions(page: &Page, status: &Status) -> Result<(), prometheus::Error> {
    let gauges = &status.gauges;
    let ready = u64::from(status.phase == Phase::Serving);
    let singles = [
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
    for (name, help, value) in singles {
        page.gauge(&format!("burdockhall_{name}"), help, value as f64)?;
    }
    let age_ms = status
        .sheet
        .age_ms
        .map_or(f64::INFINITY, |age_ms| age_ms as f64);
    let help = "Time since the sheet was known to be the newest, in milliseconds.";
    page.gauge("burdockhall_sheet_age_ms", help, age_ms)?;
    for (name, value) in &status.counters {
        let help = format!("Count of `{name}` since the start.");
        page.counter(&format!("burdockhall_{name}_total"), &help, *value as f64)?;
    }
    Ok(())
}

fn listeners(page: &Page, status: &Status) -> Result<(), prometheus::Error> {
    let connections = GaugeVec::new(
        Opts::new("burdockhall_connections", "Connections open, by listener."),
        &["listener"],
    )?;
    let reached = CounterVec::new(
        Opts::new(
            "burdockhall_bound_reached_total",
            "How often a bound towards a client was reached.",
        ),
        &["listener", "bound"],
    )?;
    for (listener, figures) in &status.listeners {
        let open = connections.get_metric_with_label_values(&[listener])?;
        open.set(figures.connections as f64);
        for (bound, count) in &figures.refused {
            let counter = reached.get_metric_with_label_values(&[listener, bound])?;
            counter.inc_by(*count as f64);
        }
    }
    page.add(connections)?;
    page.add(reached)
}

fn process(page: &Page, status: &Status) -> Result<(), prometheus::Error> {
    let figures = &status.process;
    page.counter(
        "process_cpu_seconds_total",
        "Processor time used.",
        figures.cpu_ms as f64 / 1_000.0,
    )?;
    page.gauge(
        "process_resident_memory_bytes",
        "Resident memory.",
        figures.resident_bytes as f64,
    )?;
    page.gauge("process_threads", "Threads.", figures.threads as f64)?;
    page.gauge(
        "process_open_fds",
        "Open files and sockets.",
        figures.open_files as f64,
    )
}
