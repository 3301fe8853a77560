//! Estimates how many requests one backend server serves best at a time, and how fast it is.
//!
//! Addresses servers of one service that differ in speed, that slow down before all slots are in
//! use, and that are slow for moments. The best concurrency is the one with the highest
//! throughput, which by Little's law is the number of running requests divided by their duration.
//! Durations are compared only with those of the same route, by [`LoadCurve`].

use rand::{Rng, RngExt};

use super::load_curve::{LOAD_STEPS, LoadCurve, MAX_ADVANTAGE, Observation};
use super::run_counts::RunCounts;
use super::server_load::ServerLoad;
use super::speed::SpeedMeter;
use crate::model::{ServiceName, TimeMs};

/// Variance of the number of requests that end in a period, divided by that number.
const COUNT_VARIANCE: f64 = 0.9;
/// Variance of the logarithm of the fourth figure at constant speed.
const STATED_VARIANCE: f64 = 0.005;
/// Change of the logarithm of the fourth figure from one answer to the next that is abrupt.
const ABRUPT_CHANGE: f64 = 0.25;
/// Number of abrupt changes within about [`ABRUPT_CHANGES_MS`] from which the figure is ignored: it
/// says nothing about durations, which are much longer than the time between the changes.
const MAX_ABRUPT_CHANGES: f64 = 6.0;
/// Time constant of the count of abrupt changes, in milliseconds.
const ABRUPT_CHANGES_MS: f64 = 1_000.0;
/// How fast the speed changes by itself, as a variance of its logarithm a second.
const DRIFT_PER_S: f64 = 0.03;
/// Smallest weight of the newest duration in the mean duration.
const MEAN_WEIGHT: f64 = 0.01;
/// Shortest period, in milliseconds.
const MIN_PERIOD_MS: f64 = 60.0;
/// Shortest period as a multiple of the mean duration.
const PERIOD_PER_DURATION: f64 = 0.5;
/// Time before a period in which a changed limit takes effect, as a multiple of the mean duration.
const SETTLE_PER_DURATION: f64 = 0.5;
/// Change of the limit, as a fraction, that needs no time to take effect.
const SMALL_CHANGE: f64 = 0.25;
/// Fewest requests that end in a period.
const MIN_ENDED: f64 = 8.0;
/// Largest advantage of one curve over another while the server is in state slow, since it may have
/// changed for good.
const SLOW_ADVANTAGE: f64 = 3.0;
/// Time constant with which evidence is forgotten while requests wait, in milliseconds.
const MEMORY_MS: f64 = 30_000.0;
/// The same while the server is in state slow, since it may have changed for good.
const SLOW_MEMORY_MS: f64 = 10_000.0;
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
/// Number of periods from one trial of another limit to the next while the best one is known.
const TRIAL_INTERVAL: u32 = 3;
/// Fraction of these trials with a higher limit, which may overload the server.
const UPWARD_TRIALS: f64 = 0.35;
/// Number of durations from which the estimates are used.
const MIN_DURATIONS: u32 = 40;
/// Time constant of the usual speed, in milliseconds.
const USUAL_LEVEL_MS: f64 = 6_000.0;
/// Slowdown against the usual speed that may be an effect of load at the limit found.
const VERY_SLOW_FACTOR: f64 = 2.0;
/// Time with such a slowdown from which lower limits are tried, since the server may slow down earlier
/// than before, in milliseconds. Longer than the moments in which servers are slow at any load.
const LONG_SLOW_MS: u64 = 800;
/// Most trials of lower limits in one slow phase.
const MAX_SLOW_TRIALS: u32 = 5;
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

/// End of a request that the backend server has answered.
#[derive(Debug, Clone, Copy)]
pub struct RunEnd {
    /// Its duration, in milliseconds.
    pub took_ms: u64,
    /// Usual duration of the route over all workers of the service, in milliseconds, if the entry
    /// knows it.
    pub usual_ms: Option<u32>,
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
    runs: RunCounts,
    durations: u32,
    /// Start of the period, without the time in which the limit took effect.
    period_at: Option<TimeMs>,
    stated_at: TimeMs,
    /// Moving count of abrupt changes of the fourth figure.
    abrupt_changes: f64,
    /// Logarithm of the last fourth figure.
    stated: Option<f64>,
    /// Logarithm of the usual duration over some seconds; [`LoadCurve::level`] varies around it.
    usual_level: f64,
    cold_until: TimeMs,
    very_slow_since: Option<TimeMs>,
    slow_trials: u32,
    found: f64,
    tried: f64,
    periods: u32,
    /// Whether requests waited at the end of the last period.
    was_limited: bool,
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
            runs: RunCounts::new(now),
            durations: 0,
            period_at: Some(now),
            stated_at: now,
            abrupt_changes: 0.0,
            stated: None,
            usual_level: 0.0,
            cold_until: now,
            very_slow_since: None,
            slow_trials: 0,
            found: start,
            tried: start,
            periods: 0,
            was_limited: false,
            decided_at: now,
            mean_ms: 0.0,
            speed: SpeedMeter::default(),
        }
    }

    /// Records that a request has started.
    pub fn started(&mut self, now: TimeMs, route: &ServiceName) {
        self.runs.started(now, route);
    }

    /// Records that a request has ended; `end` only if the backend server has answered it.
    pub fn finished(&mut self, now: TimeMs, route: &ServiceName, end: Option<RunEnd>) {
        let end = end.filter(|_| now >= self.cold_until);
        self.runs.finished(now, route, end.is_some());
        let Some(end) = end else { return };
        self.durations = self.durations.saturating_add(1);
        let weight = (1.0 / f64::from(self.durations)).max(MEAN_WEIGHT);
        self.mean_ms += (end.took_ms as f64 - self.mean_ms) * weight;
        self.speed.record(now, end.took_ms, end.usual_ms);
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
        let load = self.steps(f64::from(load.running));
        let span_ms = now.since_ms(self.stated_at) as f64;
        self.stated_curve.loosen(DRIFT_PER_S * span_ms / 1_000.0);
        self.stated_at = now;
        self.abrupt_changes *= (-span_ms / ABRUPT_CHANGES_MS).exp();
        let unloaded = stated - self.stated_curve.slowdown(load);
        if let Some(before) = self.stated.replace(unloaded) {
            // The same sudden change is to be expected in durations, whatever the load.
            let change = unloaded - before;
            if change.abs() > ABRUPT_CHANGE {
                self.abrupt_changes += 1.0;
            }
            if self.abrupt_changes > MAX_ABRUPT_CHANGES {
                return;
            }
            self.curve.loosen(change * change);
        }
        self.stated_curve.observe(Observation {
            load,
            slowdown: stated,
            variance: STATED_VARIANCE,
            is_evidence: self.was_limited,
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
        let mut runs = self.runs.clone();
        runs.forget();
        *self = CapacityEstimator {
            runs,
            ..CapacityEstimator::new(now, slots, start_limit)
        };
    }

    /// Decides the limits; call it whenever a request has ended. `is_limited` tells whether
    /// requests wait. Returns the state before, if the limits were decided.
    pub fn decide(
        &mut self,
        now: TimeMs,
        is_limited: bool,
        rng: &mut impl Rng,
    ) -> Option<CapacityState> {
        let span_ms = now.since_ms(self.decided_at) as f64;
        let settled_ms = self.mean_ms * SETTLE_PER_DURATION;
        if self.period_at.is_none() && span_ms >= settled_ms {
            self.start_period(now);
        }
        let period_ms = now.since_ms(self.period_at?) as f64;
        let is_short = period_ms < (self.mean_ms * PERIOD_PER_DURATION).max(MIN_PERIOD_MS);
        if is_short || self.runs.ended() < MIN_ENDED {
            return None;
        }
        self.learn(period_ms, is_limited && self.was_limited);
        self.was_limited = is_limited;
        self.period_at = None;
        self.decided_at = now;
        let before = self.state;
        self.set_state(now, span_ms);
        let is_learning = matches!(self.state, CapacityState::Steady | CapacityState::Slow);
        if is_learning {
            let advantage = if self.is_slow_for_long(now) {
                SLOW_ADVANTAGE
            } else {
                MAX_ADVANTAGE
            };
            self.curve.normalise(Some(&self.stated_curve), advantage);
            self.stated_curve.normalise(None, advantage);
            if is_limited {
                self.forget(span_ms);
            }
            self.search(span_ms, is_limited);
        }
        let before_limit = self.limit_now();
        let is_uncertain = 1.0 - self.curve.efficiency(self.steps(self.found)) > UNCERTAIN_LOSS;
        self.periods = self.periods.wrapping_add(1);
        let is_due = is_uncertain || self.periods.is_multiple_of(TRIAL_INTERVAL);
        self.tried = if is_learning && is_limited && is_due {
            self.limit_to_try(now, rng)
        } else {
            self.found
        };
        let change = f64::from(self.limit_now().abs_diff(before_limit));
        if change <= self.found * SMALL_CHANGE {
            self.start_period(now);
        }
        Some(before)
    }

    /// Concurrency at which the backend server serves best, as far as known.
    pub fn concurrency(&self) -> u32 {
        whole(self.found).min(self.slots).max(1)
    }

    /// How many requests may run now; differs from [`CapacityEstimator::concurrency`] while another
    /// limit is tried.
    pub fn limit_now(&self) -> u32 {
        whole(self.tried).min(self.slots).max(1)
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

    fn start_period(&mut self, now: TimeMs) {
        self.period_at = Some(now);
        self.runs.start_period();
    }

    fn steps(&self, running: f64) -> f64 {
        running * LOAD_STEPS as f64 / f64::from(self.slots.max(1))
    }

    /// Learns from a period: how many requests have ended, compared with how many would have ended
    /// at usual speed.
    fn learn(&mut self, period_ms: f64, is_evidence: bool) {
        self.curve.loosen(DRIFT_PER_S * period_ms / 1_000.0);
        let sums = self.runs.sums();
        let load = self.steps(sums.running_ms / period_ms);
        if sums.ended >= 1.0 && sums.expected > 0.0 {
            self.curve.observe(Observation {
                load,
                slowdown: (sums.expected / sums.ended).ln(),
                variance: COUNT_VARIANCE / sums.ended,
                is_evidence,
            });
        }
        let slowdown = self.curve.level() + self.curve.slowdown(load);
        self.runs.learn(slowdown.exp());
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
        if slower > VERY_SLOW_FACTOR.ln() {
            self.very_slow_since.get_or_insert(now);
        } else {
            (self.very_slow_since, self.slow_trials) = (None, 0);
        }
    }

    fn is_slow_for_long(&self, now: TimeMs) -> bool {
        let since = self.very_slow_since;
        since.is_some_and(|since| now.since_ms(since) >= LONG_SLOW_MS)
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

    /// Moves the limit towards the highest expected throughput; slowly while it holds nothing back.
    fn search(&mut self, span_ms: f64, is_limited: bool) {
        let floor = (f64::from(self.slots) * FLOOR_RATIO) as u32;
        let limits = floor.max(1)..=self.slots;
        let efficiency = |limit: &u32| self.curve.efficiency(self.steps(f64::from(*limit)));
        let highest = limits.clone().map(|limit| efficiency(&limit));
        let highest = highest.fold(0.0, f64::max);
        let is_good = |limit: &u32| efficiency(limit) >= highest - SPARED_THROUGHPUT;
        let target = f64::from(limits.clone().find(is_good).unwrap_or(self.slots));
        let gain = highest - self.curve.efficiency(self.steps(self.found));
        let most = self.found * MAX_DRIFT_PER_S * span_ms.min(1_000.0) / 1_000.0;
        self.found = if is_limited && gain > CLEAR_GAIN {
            target
        } else {
            target.clamp(self.found - most, self.found + most)
        };
    }

    fn limit_to_try(&mut self, now: TimeMs, rng: &mut impl Rng) -> f64 {
        let loss = 1.0 - self.curve.efficiency(self.steps(self.found));
        let tried = if self.is_slow_for_long(now) && self.slow_trials < MAX_SLOW_TRIALS {
            self.slow_trials += 1;
            self.found * TRIED_RATIOS.0
        } else if loss > UNCERTAIN_LOSS {
            let best = self.curve.draw_best(rng);
            let best = f64::from(self.slots) * best as f64 / LOAD_STEPS as f64;
            best.clamp(self.found * TRIED_RATIOS.0, self.found * TRIED_RATIOS.1)
        } else {
            let is_up = rng.random::<f64>() < UPWARD_TRIALS;
            let change = (self.found * MAX_DRIFT_PER_S).max(1.0);
            self.found + if is_up { change } else { -change }
        };
        tried.max(f64::from(self.slots) * FLOOR_RATIO)
    }
}

fn whole(limit: f64) -> u32 {
    limit.round() as u32
}
