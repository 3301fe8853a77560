//! The adaptive concurrency limit of one backend server.

use crate::decide::mechanisms::LimitMode;
use crate::model::TimeMs;

/// Length of the window over which completions are judged, in milliseconds.
const WINDOW_MS: u64 = 100;
/// Latency above the baseline by this factor counts as congestion.
const CONGESTION_FACTOR: f64 = 2.0;
/// What a congested window leaves of the limit.
const DECREASE_FACTOR: f64 = 0.9;
/// What a clean, fully used window adds to the limit, as a share of it.
const INCREASE_SHARE: f64 = 0.05;
/// How fast the baseline follows a latency above it, for each window.
const BASELINE_DRIFT: f64 = 0.02;
/// The limit never goes below this.
const FLOOR: f64 = 2.0;

/// Follows what the backend server completes, between a floor and its slots.
#[derive(Debug)]
pub struct Limiter {
    mode: LimitMode,
    slots: u32,
    limit: f64,
    baseline_ms: Option<f64>,
    window_start: TimeMs,
    window_count: u32,
    window_sum_ms: f64,
    window_saturated: bool,
}

impl Limiter {
    /// A limiter for a backend server with `slots` slots.
    pub fn new(mode: LimitMode, slots: u32) -> Limiter {
        Limiter {
            mode,
            slots,
            limit: f64::from(slots),
            baseline_ms: None,
            window_start: TimeMs::default(),
            window_count: 0,
            window_sum_ms: 0.0,
            window_saturated: false,
        }
    }

    /// Requests that may be at the backend server at once.
    pub fn limit(&self) -> u32 {
        match self.mode {
            LimitMode::None => u32::MAX,
            LimitMode::Fixed => self.slots.max(1),
            LimitMode::Adaptive => self.limit.floor() as u32,
        }
    }

    /// Takes in a newly announced number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.limit = self.ceiling();
    }

    /// Mean service time of late, in milliseconds, if any request has been completed.
    pub fn expected_ms(&self) -> Option<f64> {
        self.baseline_ms
    }

    /// Takes in one completion.
    pub fn completed(&mut self, now: TimeMs, service_ms: u64, saturated: bool) {
        self.window_count += 1;
        self.window_sum_ms += service_ms as f64;
        self.window_saturated |= saturated;
        if now.since_ms(self.window_start) >= WINDOW_MS {
            self.close_window(now);
        }
    }

    fn close_window(&mut self, now: TimeMs) {
        let mean_ms = self.window_sum_ms / f64::from(self.window_count);
        let baseline_ms = self.baseline_ms.unwrap_or(mean_ms);
        let congested = mean_ms > baseline_ms * CONGESTION_FACTOR + 1.0;
        if congested {
            self.limit = (self.limit * DECREASE_FACTOR).max(FLOOR.min(self.ceiling()));
        } else if self.window_saturated {
            self.limit = (self.limit * (1.0 + INCREASE_SHARE) + 0.5).min(self.ceiling());
        }
        self.baseline_ms = Some(if mean_ms < baseline_ms {
            mean_ms
        } else {
            baseline_ms + (mean_ms - baseline_ms) * BASELINE_DRIFT
        });
        self.window_start = now;
        self.window_count = 0;
        self.window_sum_ms = 0.0;
        self.window_saturated = false;
    }

    fn ceiling(&self) -> f64 {
        f64::from(self.slots.max(1))
    }
}
