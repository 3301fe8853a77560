//! Counters and latency histograms of the relay, in the Prometheus text format.

use hyper::StatusCode;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};
use strum::IntoEnumIterator;

use super::answer_end::AnswerEnd;
use super::config_metrics::ConfigMetrics;
use super::executor::ExecutionOutcome;
use super::identify::IdentityError;
use super::listen::ConnectionEnd;
use super::quota_metrics::QuotaMetrics;
use crate::decide::relay::{CapacityEstimator, CapacityState};
use crate::model::Distance;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// Counters and histograms of one relay, with their registry.
#[derive(Debug)]
pub struct RelayMetrics {
    registry: Registry,
    /// Metrics of quotas.
    pub(super) quotas: QuotaMetrics,
    /// Metrics of the configuration's age.
    pub(super) config: ConfigMetrics,
    answers: IntCounterVec,
    answer_seconds: Histogram,
    answer_bodies: IntCounterVec,
    connections_ended: IntCounterVec,
    executions: IntCounterVec,
    execution_seconds: Histogram,
    shed: IntCounter,
    shed_by_priority: IntCounterVec,
    limited_organisations: IntGauge,
    stated_rate: Gauge,
    crash_runs: IntCounter,
    held_back: IntGauge,
    not_identified: IntCounterVec,
    organisations: IntGauge,
    api_keys: IntGauge,
    capacity_concurrency: IntGauge,
    capacity_per_s: Gauge,
    speed: Gauge,
    capacity_state: IntGaugeVec,
    load_ignored: IntCounterVec,
    placed: IntCounterVec,
}

impl Default for RelayMetrics {
    fn default() -> RelayMetrics {
        let registry = Registry::new();
        let metrics = RelayMetrics {
            quotas: QuotaMetrics::default(),
            config: ConfigMetrics::default(),
            answers: counters(
                "burdockhall_relay_answers_total",
                "Answers to callers by status.",
                "status",
            ),
            answer_seconds: histogram(
                "burdockhall_relay_answer_seconds",
                "Time from a caller's request to the head of its answer.",
            ),
            answer_bodies: counters(
                "burdockhall_relay_answer_bodies_total",
                "Answers of the backend server beside this daemon by how their bodies ended.",
                "end",
            ),
            connections_ended: counters(
                "burdockhall_relay_connections_ended_total",
                "Callers' connections that this daemon has ended by cause.",
                "cause",
            ),
            executions: counters(
                "burdockhall_relay_executions_total",
                "Requests for the backend server beside this daemon by outcome.",
                "outcome",
            ),
            execution_seconds: histogram(
                "burdockhall_relay_execution_seconds",
                "Time that a request waited for and ran on the backend server.",
            ),
            shed: counter(
                "burdockhall_relay_shed_total",
                "Root requests shed at this entry before any work.",
            ),
            shed_by_priority: counters(
                "burdockhall_relay_shed_by_priority_total",
                "Root requests shed at this entry by priority.",
                "priority",
            ),
            limited_organisations: int_gauge(
                "burdockhall_relay_limited_organisations",
                "Organisations that scarce services hold to the level, as far as this entry knows; at most 64.",
            ),
            crash_runs: counter(
                "burdockhall_relay_crash_runs_total",
                "Runs during which the backend server beside this daemon has ended.",
            ),
            held_back: int_gauge(
                "burdockhall_relay_held_back",
                "Requests that are held back because backend servers have crashed during them.",
            ),
            stated_rate: gauge(
                "burdockhall_relay_stated_rate",
                "Requests a second that the backend server beside this daemon takes; +Inf while it states no limit.",
            ),
            not_identified: counters(
                "burdockhall_relay_not_identified_total",
                "Requests refused for their API key or for want of a known parent, by cause.",
                "cause",
            ),
            organisations: int_gauge(
                "burdockhall_relay_organisations",
                "Organisations of the configuration in force.",
            ),
            api_keys: int_gauge(
                "burdockhall_relay_api_keys",
                "API keys of the configuration in force.",
            ),
            capacity_concurrency: int_gauge(
                "burdockhall_relay_capacity_concurrency",
                "Concurrent requests that the backend server beside this daemon serves best; 0 while not estimated.",
            ),
            capacity_per_s: gauge(
                "burdockhall_relay_capacity_per_second",
                "Requests a second at that concurrency; 0 while not estimated.",
            ),
            speed: gauge(
                "burdockhall_relay_speed",
                "Speed of the backend server beside this daemon relative to the usual; 0 while unknown.",
            ),
            capacity_state: int_gauges(
                "burdockhall_relay_capacity_state",
                "1 for the state of the capacity estimates, 0 for the others.",
                "state",
            ),
            load_ignored: counters(
                "burdockhall_relay_load_ignored_total",
                "Stated loads of the backend server beside this daemon that were ignored, by reason.",
                "reason",
            ),
            placed: counters(
                "burdockhall_relay_placed_total",
                "Requests sent to a worker by its distance: same_zone, same_region, other_region.",
                "distance",
            ),
            registry,
        };
        metrics.stated_rate.set(f64::INFINITY);
        metrics.register();
        metrics
    }
}

impl RelayMetrics {
    fn register(&self) {
        let collectors: [Box<dyn prometheus::core::Collector>; 21] = [
            Box::new(self.answers.clone()),
            Box::new(self.answer_seconds.clone()),
            Box::new(self.answer_bodies.clone()),
            Box::new(self.connections_ended.clone()),
            Box::new(self.executions.clone()),
            Box::new(self.execution_seconds.clone()),
            Box::new(self.shed.clone()),
            Box::new(self.shed_by_priority.clone()),
            Box::new(self.limited_organisations.clone()),
            Box::new(self.stated_rate.clone()),
            Box::new(self.crash_runs.clone()),
            Box::new(self.held_back.clone()),
            Box::new(self.not_identified.clone()),
            Box::new(self.organisations.clone()),
            Box::new(self.api_keys.clone()),
            Box::new(self.capacity_concurrency.clone()),
            Box::new(self.capacity_per_s.clone()),
            Box::new(self.speed.clone()),
            Box::new(self.capacity_state.clone()),
            Box::new(self.load_ignored.clone()),
            Box::new(self.placed.clone()),
        ];
        let collectors = collectors.into_iter().chain(self.quotas.collectors());
        for collector in collectors.chain(self.config.collectors()) {
            // The names are distinct constants, so registration cannot fail.
            let registered = self.registry.register(collector);
            debug_assert!(registered.is_ok());
        }
    }

    /// Counts an answer to a caller and observes the time since the request, in milliseconds.
    pub fn answered(&self, status: StatusCode, took_ms: u64) {
        self.answers.with_label_values(&[status.as_str()]).inc();
        self.answer_seconds.observe(took_ms as f64 / 1_000.0);
    }

    /// Counts an answer of the backend server whose body has ended.
    pub fn answer_ended(&self, end: AnswerEnd) {
        self.answer_bodies
            .with_label_values(&[<&str>::from(end)])
            .inc();
    }

    /// Counts a caller's connection that this daemon has ended.
    pub fn connection_ended(&self, cause: ConnectionEnd) {
        self.connections_ended
            .with_label_values(&[<&str>::from(cause)])
            .inc();
    }

    /// Counts a request for the backend server beside this daemon by outcome and observes the time
    /// that it waited and ran, in milliseconds.
    pub fn executed(&self, executed: &ExecutionOutcome, took_ms: u64) {
        let outcome = match executed {
            ExecutionOutcome::Done(_) => "done",
            ExecutionOutcome::NotRun { reason, .. } => reason.into(),
            ExecutionOutcome::Unknown { .. } => "unknown",
        };
        self.executions.with_label_values(&[outcome]).inc();
        self.execution_seconds.observe(took_ms as f64 / 1_000.0);
    }

    /// Counts a request that is sent to a worker at this distance.
    pub fn placed(&self, distance: Distance) {
        self.placed
            .with_label_values(&[<&str>::from(distance)])
            .inc();
    }

    /// Counts a root request of this priority that was shed.
    pub fn shed(&self, priority: u8) {
        self.shed.inc();
        let priority = priority.to_string();
        self.shed_by_priority.with_label_values(&[&priority]).inc();
    }

    /// Shows how many organisations are held to the level.
    pub fn organisations_limited(&self, count: usize) {
        self.limited_organisations.set(count as i64);
    }

    /// Counts a run during which the backend server has ended.
    pub fn crash_seen(&self) {
        self.crash_runs.inc();
    }

    /// Shows how many requests are held back because backend servers have crashed during them.
    pub fn requests_held_back(&self, count: usize) {
        self.held_back.set(count as i64);
    }

    /// Counts a request that was refused since nobody is known on whose behalf it is made.
    pub fn not_identified(&self, error: IdentityError) {
        let cause: &str = error.into();
        self.not_identified.with_label_values(&[cause]).inc();
    }

    /// Shows how many organisations and API keys the configuration in force has.
    pub fn organisations_in_force(&self, organisations: usize, api_keys: usize) {
        self.organisations.set(organisations as i64);
        self.api_keys.set(api_keys as i64);
    }

    /// Shows the rate limit of the backend server beside this daemon, in requests a second.
    pub fn rate_stated(&self, per_s: Option<f64>) {
        self.stated_rate.set(per_s.unwrap_or(f64::INFINITY));
    }

    /// Shows the estimates of the backend server beside this daemon.
    pub fn capacity_estimated(&self, estimator: &CapacityEstimator) {
        let concurrency = i64::from(estimator.concurrency());
        self.capacity_concurrency.set(concurrency);
        self.capacity_per_s
            .set(estimator.rate_per_s().unwrap_or_default());
        self.speed.set(estimator.speed().unwrap_or_default());
        for state in CapacityState::iter() {
            let value = i64::from(state == estimator.state());
            let name = <&str>::from(state);
            self.capacity_state.with_label_values(&[name]).set(value);
        }
    }

    /// Shows that nothing is estimated, as after the start of another process.
    pub fn capacity_unknown(&self) {
        self.capacity_concurrency.set(0);
        self.capacity_per_s.set(0.0);
        self.speed.set(0.0);
        self.capacity_state.reset();
    }

    /// Counts a stated load that was ignored.
    pub fn load_ignored(&self, reason: &str) {
        self.load_ignored.with_label_values(&[reason]).inc();
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, prometheus::Error> {
        let mut page = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok(String::from_utf8_lossy(&page).into_owned())
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("the name is valid")
}

fn gauge(name: &str, help: &str) -> Gauge {
    Gauge::new(name, help).expect("the name is valid")
}

fn int_gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("the name is valid")
}

fn counters(name: &str, help: &str, label: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), &[label]).expect("the name is valid")
}

fn int_gauges(name: &str, help: &str, label: &str) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(name, help), &[label]).expect("the name is valid")
}

fn histogram(name: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
    Histogram::with_opts(options).expect("the name is valid")
}
