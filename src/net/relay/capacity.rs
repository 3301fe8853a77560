//! Connects the capacity estimator with the backend server beside this daemon: requests, answers
//! and heartbeats go in, the limits of the admission come out.

use std::sync::Arc;

use hyper::header::HeaderMap;

use super::state::{Relay, Tables};
use crate::decide::relay::accepted::AcceptedShare;
use crate::decide::relay::admission::fixed_limit;
use crate::decide::relay::{
    CapacityEstimator, CapacityState, KnownLoad, LoadStatements, RunEnd, ServerLoad,
};
use crate::model::{ServiceName, TimeMs};

/// Shortest time between two log lines about changes of state, in milliseconds. Some servers are
/// slow for moments several times in ten seconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// What is estimated about one process of the backend server.
#[derive(Debug)]
pub struct LocalCapacity {
    process: u64,
    estimator: CapacityEstimator,
    statements: LoadStatements,
    accepted: AcceptedShare,
    /// When a change of state was last logged, and how many have not been since.
    logged_at: Option<TimeMs>,
    unlogged: u32,
}

/// An answer of the backend server.
#[derive(Debug, Clone, Copy)]
pub struct Answered<'a> {
    /// Instance that was addressed.
    pub instance: &'a str,
    /// When its request was sent.
    pub sent_at: TimeMs,
    /// Its headers.
    pub headers: &'a HeaderMap,
    /// Whether it refuses the request.
    pub is_refusal: bool,
}

impl LocalCapacity {
    fn new(now: TimeMs, process: u64, slots: u32) -> LocalCapacity {
        LocalCapacity {
            process,
            estimator: CapacityEstimator::new(now, slots, fixed_limit(slots)),
            statements: LoadStatements::default(),
            accepted: AcceptedShare::default(),
            logged_at: None,
            unlogged: 0,
        }
    }

    /// Speed relative to the usual, in hundredths, for replies to other daemons.
    pub fn speed_percent(&self) -> Option<u32> {
        let speed = self.estimator.speed()?;
        Some((speed * 100.0).round() as u32)
    }

    /// Share of requests that the backend server accepts while it has slots free, in 0..=1.
    pub fn accepted_share(&self, now: TimeMs) -> f64 {
        self.accepted.share(now)
    }
}

impl Tables {
    /// Records that a request starts on the backend server; returns the process whose estimates
    /// count it.
    pub fn count_start(&mut self, now: TimeMs, route: &ServiceName) -> Option<u64> {
        let capacity = self.capacity.as_mut()?;
        capacity.estimator.started(now, route);
        Some(capacity.process)
    }

    /// Records the end of a request that [`Tables::count_start`] has counted for `process`.
    pub fn count_end(
        &mut self,
        now: TimeMs,
        process: Option<u64>,
        route: &ServiceName,
        end: Option<RunEnd>,
    ) {
        if let Some(capacity) = &mut self.capacity
            && process == Some(capacity.process)
        {
            capacity.estimator.finished(now, route, end);
        }
    }
}

impl Relay {
    /// Takes over what a heartbeat says about the process, its slots and its remaining cold time.
    /// Estimates of another process are discarded.
    pub(super) fn update_capacity(&self, tables: &mut Tables, now: TimeMs) {
        let Some(worker) = &tables.worker else { return };
        let (process, slots) = (worker.process(), worker.heartbeat.slots);
        let cold_ms = worker.heartbeat.cold_ms;
        let is_known = tables.capacity.as_ref().map(|known| known.process) == Some(process);
        if !is_known {
            let is_on = self.settings.load().adaptive_capacity == Some(true);
            if tables.capacity.is_some() {
                self.metrics.capacity_unknown();
            }
            tables.capacity = is_on.then(|| LocalCapacity::new(now, process, slots));
        }
        if let Some(capacity) = &mut tables.capacity {
            let estimator = &mut capacity.estimator;
            estimator.set_slots(now, slots, fixed_limit(slots));
            estimator.set_cold(now, cold_ms);
        }
        apply_limits(tables);
    }

    /// Records the load that an answer states and whether it refuses the request. The first fourth
    /// figure of a process switches the estimator on.
    pub(super) fn record_answered_load(&self, answered: Answered<'_>) {
        let now = self.clock.now();
        let value = answered.headers.get(&self.header_names.load);
        let load = value.map(|value| ServerLoad::parse(value.as_bytes()));
        let mut tables = self.tables();
        let is_limited_by_rate = tables.rate_per_s().is_some();
        let running = tables.admission.running();
        let Some(worker) = tables.worker_of(answered.instance) else {
            return;
        };
        let (process, slots) = (worker.process(), worker.heartbeat.slots);
        let states_work = matches!(load, Some(Some(load)) if load.work_percent.is_some());
        if tables.capacity.is_none() && states_work {
            tables.capacity = Some(LocalCapacity::new(now, process, slots));
            let instance = answered.instance;
            spdlog::info!("the capacity of the backend server is estimated", kv: { instance, slots });
        }
        let Some(capacity) = &mut tables.capacity else {
            return;
        };
        // Requests over a stated rate limit are refused however many slots are free.
        if running <= slots && !(answered.is_refusal && is_limited_by_rate) {
            capacity.accepted.record(now, !answered.is_refusal);
        }
        let Some(load) = load else { return };
        let Some(load) = load else {
            self.metrics.load_ignored("malformed");
            return;
        };
        let known = KnownLoad {
            sent_at: answered.sent_at,
            running,
            slots,
        };
        match capacity.statements.check(load, known) {
            Ok(load) => capacity.estimator.stated(now, load),
            Err(reason) => self.metrics.load_ignored(reason.into()),
        }
    }

    /// Lets the estimator decide and puts its limits in force.
    pub(super) fn decide_capacity(self: &Arc<Relay>, tables: &mut Tables, now: TimeMs) {
        let Some(capacity) = &mut tables.capacity else {
            return;
        };
        let is_limited = tables.admission.waiting() > 0;
        let before = capacity.estimator.decide(now, is_limited, &mut tables.rng);
        let Some(before) = before else { return };
        let estimator = &capacity.estimator;
        self.metrics.capacity_estimated(estimator);
        if before != estimator.state() {
            log_state(capacity, now, before);
        }
        apply_limits(tables);
    }
}

fn apply_limits(tables: &mut Tables) {
    if let Some(capacity) = &tables.capacity {
        let estimator = &capacity.estimator;
        tables
            .admission
            .set_limit(estimator.concurrency(), estimator.limit_now());
    }
}

fn log_state(capacity: &mut LocalCapacity, now: TimeMs, before: CapacityState) {
    let is_recent = |at: TimeMs| now.since_ms(at) < LOG_INTERVAL_MS;
    if capacity.logged_at.is_some_and(is_recent) {
        capacity.unlogged += 1;
        return;
    }
    capacity.logged_at = Some(now);
    let unlogged = std::mem::take(&mut capacity.unlogged);
    let estimator = &capacity.estimator;
    let (from, to) = (<&str>::from(before), <&str>::from(estimator.state()));
    let concurrency = estimator.concurrency();
    let speed = estimator.speed().unwrap_or_default();
    let per_s = estimator.rate_per_s().unwrap_or_default();
    spdlog::info!("the backend server's capacity is in another state", kv: {
        from, to, concurrency, per_s, speed, unlogged
    });
}
