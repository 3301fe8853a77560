//! Speed of a backend server relative to the other workers of its service.
//!
//! A daemon does not see the other workers, but the entries that send it requests do. They state
//! the usual duration of the route over all workers that they use, and the daemon compares it with
//! the duration on its own backend server.

use crate::model::TimeMs;

/// Time constant of recent durations, in milliseconds.
const RECENT_MS: f64 = 800.0;
/// Time constant of the durations that are used while few recent ones are known, in milliseconds.
const LONGER_MS: f64 = 8_000.0;
/// Number of durations of the longer mean that count in addition to the recent ones.
const LONGER_WEIGHT: f64 = 6.0;
/// Number of durations with a usual one from which the speed is stated.
const MIN_DURATIONS: u32 = 8;
/// Range of the speeds that are stated.
const SPEED_RANGE: (f64, f64) = (0.05, 20.0);
/// Largest usual duration that counts, in milliseconds; longer than the deadline of any request.
const MAX_USUAL_MS: u32 = 600_000;

#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    took_ms: f64,
    usual_ms: f64,
    count: f64,
}

impl Sums {
    fn add(&mut self, kept: f64, took_ms: f64, usual_ms: f64) {
        self.took_ms = self.took_ms * kept + took_ms;
        self.usual_ms = self.usual_ms * kept + usual_ms;
        self.count = self.count * kept + 1.0;
    }
}

/// Compares durations with the usual ones that entries state.
#[derive(Debug, Clone, Copy, Default)]
pub struct SpeedMeter {
    recent: Sums,
    longer: Sums,
    durations: u32,
    at: TimeMs,
}

impl SpeedMeter {
    /// Records a duration and the usual one, both in milliseconds.
    pub fn record(&mut self, now: TimeMs, took_ms: u64, usual_ms: Option<u32>) {
        let Some(usual_ms) = usual_ms.filter(|usual_ms| (1..=MAX_USUAL_MS).contains(usual_ms))
        else {
            return;
        };
        let span_ms = now.since_ms(self.at) as f64;
        let (took_ms, usual_ms) = (took_ms as f64, f64::from(usual_ms));
        self.recent
            .add((-span_ms / RECENT_MS).exp(), took_ms, usual_ms);
        self.longer
            .add((-span_ms / LONGER_MS).exp(), took_ms, usual_ms);
        self.at = now;
        self.durations = self.durations.saturating_add(1);
    }

    /// Usual durations divided by those measured. 1 until enough entries have stated usual
    /// durations, which they do once they receive a speed.
    pub fn speed(&self) -> Option<f64> {
        if self.durations < MIN_DURATIONS {
            return Some(1.0);
        }
        let weight = LONGER_WEIGHT / self.longer.count;
        let usual_ms = self.recent.usual_ms + self.longer.usual_ms * weight;
        let took_ms = self.recent.took_ms + self.longer.took_ms * weight;
        let speed = usual_ms / took_ms.max(1.0);
        Some(speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1))
    }
}
