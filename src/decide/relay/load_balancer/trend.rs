//! Utilization and speed of one worker, smoothed over its load reports.
//!
//! A single report shows one instant, up to half a second ago. Whoever moved requests between
//! zones by it would see the effect late and move too many of them back again.

use super::WorkerLoad;
use crate::model::TimeMs;

/// Time constant of the smoothing, in milliseconds. Reports are 50 to 500 ms old; a time constant
/// of twice that keeps the loop through the reports stable, and is short against waves of 15 s and
/// long against slow spells of 600 ms.
const SMOOTHING_MS: f64 = 1_000.0;
/// Half-life of a smoothed utilization that no newer report replaces, in milliseconds.
const UTILIZATION_HALF_LIFE_MS: f64 = 1_000.0;
/// Assumed utilization of a worker without a recent report: neither idle, which would draw all
/// requests, nor busy, which would exclude it.
const ASSUMED_UTILIZATION: f64 = 0.5;
/// Utilizations above this one are not told apart, so that a long queue that has gone is
/// forgotten quickly.
const MAX_UTILIZATION: f64 = 1.5;
/// How long a speed is used after the report that states it, in milliseconds.
const SPEED_LIFETIME_MS: u64 = 2_000;
/// Range of the speeds that are used; others are limited to it.
const SPEEDS: (f64, f64) = (0.05, 20.0);

/// Smoothed values of one worker.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Trend {
    utilization: Option<(TimeMs, f64)>,
    speed: Option<(TimeMs, f64)>,
}

impl Trend {
    pub(super) fn record(&mut self, now: TimeMs, load: &WorkerLoad) {
        if load.limit > 0 {
            let requests = f64::from(load.running + load.waiting);
            let utilization = (requests / f64::from(load.limit)).min(MAX_UTILIZATION);
            let before = self.utilization.unwrap_or((now, utilization));
            self.utilization = Some((now, smoothed(before, now, utilization)));
        }
        let stated = load.speed.filter(|speed| speed.is_finite());
        self.speed = stated.map(|speed| {
            let speed = speed.clamp(SPEEDS.0, SPEEDS.1);
            let known = self.speed.filter(|known| is_in_force(now, known.0));
            (now, smoothed(known.unwrap_or((now, speed)), now, speed))
        });
    }

    /// Smoothed number of requests there relative to its limit.
    pub(super) fn utilization(&self, now: TimeMs) -> f64 {
        let Some((at, utilization)) = self.utilization else {
            return ASSUMED_UTILIZATION;
        };
        let decay = 0.5_f64.powf(now.since_ms(at) as f64 / UTILIZATION_HALF_LIFE_MS);
        ASSUMED_UTILIZATION + (utilization - ASSUMED_UTILIZATION) * decay
    }

    /// Speed relative to the usual one; `None` if no recent report states it.
    pub(super) fn speed(&self, now: TimeMs) -> Option<f64> {
        let (at, speed) = self.speed?;
        is_in_force(now, at).then_some(speed)
    }
}

fn is_in_force(now: TimeMs, reported_at: TimeMs) -> bool {
    now.since_ms(reported_at) <= SPEED_LIFETIME_MS
}

fn smoothed((at, before): (TimeMs, f64), now: TimeMs, sample: f64) -> f64 {
    let age_ms = now.since_ms(at) as f64;
    sample + (before - sample) * (-age_ms / SMOOTHING_MS).exp()
}
