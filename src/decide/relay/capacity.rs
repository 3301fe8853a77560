//! Estimates how many requests one backend server serves best at a time, and how fast it is.
//!
//! Addresses servers of one service that differ in speed, that slow down before all slots are in
//! use, and that are slow for moments. The best concurrency is the one with the highest
//! throughput, which by Little's law is the number of running requests divided by their duration.
//! Durations are compared only with those of the same route, by [`LoadCurve`].

use std::collections::HashMap;

use rand::{Rng, RngExt};

use super::load_curve::{LOAD_STEPS, LoadCurve, Observation};
use super::server_load::ServerLoad;
use super::speed::SpeedMeter;
use crate::model::{ServiceName, TimeMs};

/// Variance of the logarithm of durations of one route at constant speed.
const DURATION_VARIANCE: f64 = 0.7;
/// Variance of the logarithm of the fourth figure at constant speed.
const STATED_VARIANCE: f64 = 0.02;
/// How fast the speed changes by itself, as a variance of its logarithm a second.
const DRIFT_PER_S: f64 = 0.15;
/// Smallest weight of the newest duration in the usual duration of a route.
const USUAL_WEIGHT: f64 = 0.01;
/// Shortest time between two decisions, in milliseconds.
const MIN_PERIOD_MS: f64 = 100.0;
/// Time between two decisions as a multiple of the mean duration, so that most requests of a
/// period have run at its limit.
const PERIOD_PER_DURATION: f64 = 1.0;
/// Time constant with which evidence is forgotten while requests wait, in milliseconds.
const MEMORY_MS: f64 = 6_000.0;
/// The same while the server is in state slow, since it may have changed for good.
const SLOW_MEMORY_MS: f64 = 1_000.0;
/// Lowest concurrency that is tried, as a fraction of the slots.
const FLOOR_RATIO: f64 = 0.4;
/// Expected gain of throughput from which the limit is moved at once, as a fraction.
const CLEAR_GAIN: f64 = 0.03;
/// Largest change of the limit in a second for smaller gains, as a fraction.
const MAX_DRIFT_PER_S: f64 = 0.05;
/// Throughput that may be given up for fewer running requests, which end earlier.
const SPARED_THROUGHPUT: f64 = 0.005;
/// Expected loss of throughput from which other limits are tried.
const UNCERTAIN_LOSS: f64 = 0.01;
/// Range of the limits that are tried, as multiples of the one found.
const TRIED_RATIOS: (f64, f64) = (0.7, 1.15);
/// Number of durations from which the estimates are used.
const MIN_DURATIONS: u32 = 40;
/// Time constant of the usual speed, in milliseconds.
const USUAL_LEVEL_MS: f64 = 6_000.0;
/// Slowdown against the usual speed from which the server is in state slow, and up to which it
/// stays in it.
const SLOW_FACTORS: (f64, f64) = (1.5, 1.25);

/// What is known about the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum CapacityState {
    /// Too few requests have ended since its process started; the fixed limit is in force.
    Unknown,
    /// It has just started and is still slow by its own statement; nothing is learned.
    Cold,
    /// It works as usual.
    Steady,
    /// It works clearly slower than usual.
    Slow,
}

/// Start of a request, to be handed back at its end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunStart {
    at: TimeMs,
    /// Running requests summed over time up to the start, in request-milliseconds.
    running_ms: f64,
}

/// End of a request that the backend server has answered.
#[derive(Debug, Clone, Copy)]
pub struct RunEnd<'a> {
    /// Its route.
    pub route: &'a ServiceName,
    /// Its duration, in milliseconds.
    pub took_ms: u64,
    /// Usual duration of the route over all workers of the service, in milliseconds, if the entry
    /// knows it.
    pub usual_ms: Option<u32>,
}

#[derive(Debug, Clone, Copy)]
struct RouteUsual {
    /// Logarithm of the usual duration without load, in milliseconds.
    level: f64,
    durations: u32,
}

/// The estimates for one process of a backend server.
#[derive(Debug, Clone)]
pub struct CapacityEstimator {
    slots: u32,
    start_limit: u32,
    state: CapacityState,
    curve: LoadCurve,
    /// Learns from the fourth figure whether it rises with the load.
    stated_curve: LoadCurve,
    routes: HashMap<ServiceName, RouteUsual>,
    durations: u32,
    running: u32,
    running_ms: f64,
    running_since: TimeMs,
    observed_at: TimeMs,
    stated_at: TimeMs,
    /// Logarithm of the last fourth figure.
    stated: Option<f64>,
    /// Logarithm of the usual duration over some seconds; [`LoadCurve::level`] varies around it.
    usual_level: f64,
    cold_until: TimeMs,
    found: f64,
    tried: f64,
    is_trying: bool,
    decided_at: TimeMs,
    mean_ms: f64,
    speed: SpeedMeter,
}

impl CapacityEstimator {
    /// Creates an estimator for a new process with `slots` slots, which starts at `start_limit`.
    pub fn new(now: TimeMs, slots: u32, start_limit: u32) -> CapacityEstimator {
        let start = f64::from(start_limit);
        CapacityEstimator {
            slots,
            start_limit,
            state: CapacityState::Unknown,
            curve: LoadCurve::default(),
            stated_curve: LoadCurve::default(),
            routes: HashMap::new(),
            durations: 0,
            running: 0,
            running_ms: 0.0,
            running_since: now,
            observed_at: now,
            stated_at: now,
            stated: None,
            usual_level: 0.0,
            cold_until: now,
            found: start,
            tried: start,
            is_trying: false,
            decided_at: now,
            mean_ms: 0.0,
            speed: SpeedMeter::default(),
        }
    }

    /// Records that a request has started.
    pub fn started(&mut self, now: TimeMs) -> RunStart {
        self.count_running(now);
        self.running += 1;
        RunStart {
            at: now,
            running_ms: self.running_ms,
        }
    }

    /// Records that a request has ended; `end` only if the backend server has answered it.
    pub fn finished(&mut self, now: TimeMs, start: RunStart, end: Option<RunEnd<'_>>) {
        self.count_running(now);
        self.running = self.running.saturating_sub(1);
        let Some(end) = end else { return };
        if now < self.cold_until {
            return;
        }
        let span_ms = now.since_ms(start.at) as f64;
        let running = if span_ms > 0.0 {
            (self.running_ms - start.running_ms) / span_ms
        } else {
            f64::from(self.running + 1)
        };
        self.speed.record(now, end.took_ms, end.usual_ms);
        self.learn(now, end.route, end.took_ms, self.step(running));
    }

    /// Records the figures that an answer states, if it has a fourth one.
    pub fn stated(&mut self, now: TimeMs, load: ServerLoad) {
        let Some(percent) = load.work_percent else {
            return;
        };
        if now < self.cold_until {
            return;
        }
        let stated = (f64::from(percent.max(1)) / 100.0).ln();
        let load = self.step(f64::from(load.running));
        let drift = DRIFT_PER_S * now.since_ms(self.stated_at) as f64 / 1_000.0;
        self.stated_curve.loosen(drift + STATED_VARIANCE);
        self.stated_at = now;
        let unloaded = stated - self.stated_curve.slowdown(load);
        if let Some(before) = self.stated.replace(unloaded) {
            // The same sudden change is to be expected in durations, whatever the load.
            let change = unloaded - before;
            self.curve.loosen(change * change);
        }
        self.stated_curve.observe(Observation {
            load,
            slowdown: stated,
            variance: STATED_VARIANCE,
        });
    }

    /// Records for how long the backend server states to be slow after its start.
    pub fn set_cold(&mut self, now: TimeMs, cold_ms: u64) {
        if cold_ms > 0 || now < self.cold_until {
            self.cold_until = now.plus_ms(cold_ms);
        }
    }

    /// Sets the number of slots of the same process and the limit that holds without estimates.
    pub fn set_slots(&mut self, now: TimeMs, slots: u32, start_limit: u32) {
        if (slots, start_limit) == (self.slots, self.start_limit) {
            return;
        }
        let (running, running_ms) = (self.running, self.running_ms);
        *self = CapacityEstimator {
            running,
            running_ms,
            ..CapacityEstimator::new(now, slots, start_limit)
        };
    }

    /// Decides the limits; call it whenever a request has ended. `is_limited` tells whether
    /// requests wait. Returns the state before, if it has changed.
    pub fn decide(
        &mut self,
        now: TimeMs,
        is_limited: bool,
        rng: &mut impl Rng,
    ) -> Option<CapacityState> {
        let span_ms = now.since_ms(self.decided_at) as f64;
        if span_ms < (self.mean_ms * PERIOD_PER_DURATION).max(MIN_PERIOD_MS) {
            return None;
        }
        self.decided_at = now;
        let before = self.state;
        self.set_state(now, span_ms);
        let is_learning = matches!(self.state, CapacityState::Steady | CapacityState::Slow);
        if is_learning {
            self.curve.normalise(Some(&self.stated_curve));
            self.stated_curve.normalise(None);
            if is_limited {
                self.forget(span_ms);
            }
            self.search(span_ms);
        }
        self.tried = self.found;
        self.is_trying = is_learning && is_limited && !self.is_trying;
        if self.is_trying {
            self.tried = self.limit_to_try(rng);
        }
        (before != self.state).then_some(before)
    }

    /// Concurrency at which the backend server serves best, as far as known.
    pub fn concurrency(&self) -> u32 {
        rounded(self.found).min(self.slots).max(1)
    }

    /// How many requests may run now; differs from [`CapacityEstimator::concurrency`] while another
    /// limit is tried.
    pub fn limit_now(&self) -> u32 {
        rounded(self.tried).min(self.slots).max(1)
    }

    /// Requests a second at the concurrency found; `None` before the first duration.
    pub fn rate_per_s(&self) -> Option<f64> {
        (self.mean_ms > 0.0).then(|| self.found * 1_000.0 / self.mean_ms)
    }

    /// Usual durations divided by those of this backend server; `None` while unknown.
    pub fn speed(&self) -> Option<f64> {
        match self.state {
            CapacityState::Unknown | CapacityState::Cold => None,
            CapacityState::Steady | CapacityState::Slow => self.speed.speed(),
        }
    }

    /// State of the estimates.
    pub fn state(&self) -> CapacityState {
        self.state
    }

    fn count_running(&mut self, now: TimeMs) {
        let span_ms = now.since_ms(self.running_since) as f64;
        self.running_ms += f64::from(self.running) * span_ms;
        self.running_since = now;
    }

    fn step(&self, running: f64) -> usize {
        let step = running * LOAD_STEPS as f64 / f64::from(self.slots.max(1));
        (step.round() as usize).min(LOAD_STEPS)
    }

    fn learn(&mut self, now: TimeMs, route: &ServiceName, took_ms: u64, load: usize) {
        // Half a millisecond: durations are rounded down.
        let duration = (took_ms as f64 + 0.5).ln();
        let span_s = now.since_ms(self.observed_at) as f64 / 1_000.0;
        self.observed_at = now;
        self.curve.loosen(DRIFT_PER_S * span_s);
        let expected = self.curve.level() + self.curve.slowdown(load);
        let usual = match self.routes.get_mut(route) {
            Some(usual) => usual,
            None => {
                let usual = RouteUsual {
                    level: duration - expected,
                    durations: 0,
                };
                self.routes.entry(route.clone()).or_insert(usual)
            }
        };
        usual.durations += 1;
        let weight = 1.0 / f64::from(usual.durations);
        let error = duration - usual.level - expected;
        if usual.durations > 1 {
            self.curve.observe(Observation {
                load,
                slowdown: duration - usual.level,
                variance: DURATION_VARIANCE * (1.0 + weight),
            });
        }
        usual.level += error * weight.max(USUAL_WEIGHT);
        self.durations = self.durations.saturating_add(1);
        let mean_weight = (1.0 / f64::from(self.durations)).max(USUAL_WEIGHT);
        self.mean_ms += (took_ms as f64 - self.mean_ms) * mean_weight;
    }

    fn set_state(&mut self, now: TimeMs, span_ms: f64) {
        if now < self.cold_until {
            self.state = CapacityState::Cold;
            self.found = f64::from(self.start_limit);
            return;
        }
        if self.durations < MIN_DURATIONS {
            self.state = CapacityState::Unknown;
            return;
        }
        let level = self.curve.level();
        if self.state == CapacityState::Unknown || self.state == CapacityState::Cold {
            self.usual_level = level;
        }
        let slower = level - self.usual_level;
        let weight = 1.0 - (-span_ms / USUAL_LEVEL_MS).exp();
        self.usual_level += slower * weight;
        let factor = match self.state {
            CapacityState::Slow => SLOW_FACTORS.1,
            _ => SLOW_FACTORS.0,
        };
        self.state = if slower > factor.ln() {
            CapacityState::Slow
        } else {
            CapacityState::Steady
        };
    }

    fn forget(&mut self, span_ms: f64) {
        let memory_ms = match self.state {
            CapacityState::Slow => SLOW_MEMORY_MS,
            _ => MEMORY_MS,
        };
        let fraction = 1.0 - (-span_ms / memory_ms).exp();
        self.curve.forget(fraction);
        self.stated_curve.forget(fraction);
    }

    /// Moves the limit towards the highest expected throughput.
    fn search(&mut self, span_ms: f64) {
        let floor = self.step(f64::from(self.slots) * FLOOR_RATIO);
        let efficiency: Vec<f64> = (0..=LOAD_STEPS)
            .map(|load| self.curve.efficiency(load))
            .collect();
        let highest = efficiency.iter().copied().fold(0.0, f64::max);
        let is_good = |load: &usize| efficiency[*load] >= highest - SPARED_THROUGHPUT;
        let best = (floor..=LOAD_STEPS).find(is_good).unwrap_or(LOAD_STEPS);
        let target = f64::from(self.slots) * best as f64 / LOAD_STEPS as f64;
        let gain = highest - efficiency[self.step(self.found)];
        let most = self.found * MAX_DRIFT_PER_S * span_ms.min(1_000.0) / 1_000.0;
        self.found = if gain > CLEAR_GAIN {
            target
        } else {
            target.clamp(self.found - most, self.found + most)
        };
    }

    fn limit_to_try(&self, rng: &mut impl Rng) -> f64 {
        let loss = 1.0 - self.curve.efficiency(self.step(self.found));
        let tried = if loss > UNCERTAIN_LOSS {
            let best = self.curve.draw_best(rng);
            let best = f64::from(self.slots) * best as f64 / LOAD_STEPS as f64;
            best.clamp(self.found * TRIED_RATIOS.0, self.found * TRIED_RATIOS.1)
        } else {
            let sign = if rng.random::<bool>() { 1.0 } else { -1.0 };
            self.found * (1.0 + sign * MAX_DRIFT_PER_S)
        };
        tried.max(f64::from(self.slots) * FLOOR_RATIO)
    }
}

fn rounded(limit: f64) -> u32 {
    limit.round() as u32
}
