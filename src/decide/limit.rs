//! The adaptive concurrency limit of one backend server.
//!
//! The signal is the server's own time on a request, without the calls it makes
//! beneath: a slow service beneath is no reason to send less work here. A window
//! in which that time is inflated lowers the limit; if the time does not fall
//! with it, the server is slower at any concurrency, so the new time becomes the
//! baseline and the limit climbs back.

use crate::decide::mechanisms::LimitMode;
use crate::model::TimeMs;

/// Length of the window over which completions are judged, in milliseconds.
const WINDOW_MS: u64 = 100;
/// Fewest completions that a window is judged by.
const MIN_COMPLETIONS: u32 = 4;
/// Own time above the baseline by this factor counts as congestion.
const CONGESTION_FACTOR: f64 = 1.5;
/// Inflation that is always allowed, in milliseconds.
const SLACK_MS: f64 = 1.0;
/// What a congested window leaves of the limit.
const DECREASE_FACTOR: f64 = 0.8;
/// Share of a decrease by which the own time has to fall for the decrease to count as a help.
const HELP_SHARE: f64 = 0.4;
/// What a clean, fully used window adds to the limit, as a share of it.
const INCREASE_SHARE: f64 = 0.1;
/// How fast the baseline follows a time above it, for each window.
const BASELINE_DRIFT: f64 = 0.01;
/// The limit never goes below this.
const FLOOR: f64 = 2.0;

/// Follows what the backend server completes, between a floor and its slots.
#[derive(Debug)]
pub struct Limiter {
    mode: LimitMode,
    slots: u32,
    limit: f64,
    baseline_ms: Option<f64>,
    before_decrease: Option<Judged>,
    window: Window,
}

/// Own time at a limit.
#[derive(Debug, Clone, Copy)]
struct Judged {
    limit: f64,
    mean_ms: f64,
}

#[derive(Debug, Default)]
struct Window {
    start: TimeMs,
    count: u32,
    sum_ms: f64,
    saturated: bool,
}

impl Limiter {
    /// A limiter for a backend server with `slots` slots.
    pub fn new(mode: LimitMode, slots: u32) -> Limiter {
        Limiter {
            mode,
            slots,
            limit: f64::from(slots),
            baseline_ms: None,
            before_decrease: None,
            window: Window::default(),
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
        self.before_decrease = None;
    }

    /// The least own time of late, in milliseconds, if any request has been completed.
    pub fn expected_ms(&self) -> Option<f64> {
        self.baseline_ms
    }

    /// Takes in one completion with the server's own time on it.
    pub fn completed(&mut self, now: TimeMs, own_ms: u64, saturated: bool) {
        self.window.count += 1;
        self.window.sum_ms += own_ms as f64;
        self.window.saturated |= saturated;
        let over = now.since_ms(self.window.start) >= WINDOW_MS;
        if over && self.window.count >= MIN_COMPLETIONS {
            self.close_window(now);
        }
    }

    fn close_window(&mut self, now: TimeMs) {
        let mean_ms = self.window.sum_ms / f64::from(self.window.count);
        let baseline_ms = self.baseline_ms.unwrap_or(mean_ms);
        let congested = mean_ms > baseline_ms * CONGESTION_FACTOR + SLACK_MS;
        if congested && self.decrease_was_useless(mean_ms) {
            self.baseline_ms = Some(mean_ms);
            self.before_decrease = None;
            self.increase();
        } else if congested {
            self.decrease(mean_ms);
            self.baseline_ms = Some(baseline_ms + (mean_ms - baseline_ms) * BASELINE_DRIFT);
        } else {
            self.before_decrease = None;
            let drifted_ms = baseline_ms + (mean_ms - baseline_ms) * BASELINE_DRIFT;
            self.baseline_ms = Some(mean_ms.min(drifted_ms));
            if self.window.saturated {
                self.increase();
            }
        }
        self.window = Window {
            start: now,
            ..Window::default()
        };
    }

    /// Whether the own time has not fallen although the limit has.
    fn decrease_was_useless(&self, mean_ms: f64) -> bool {
        let Some(before) = self.before_decrease else {
            return false;
        };
        let cut = 1.0 - self.limit / before.limit;
        let fall = 1.0 - mean_ms / before.mean_ms;
        fall < cut * HELP_SHARE
    }

    fn decrease(&mut self, mean_ms: f64) {
        self.before_decrease = Some(Judged {
            limit: self.limit,
            mean_ms,
        });
        let floor = FLOOR.min(self.ceiling());
        self.limit = (self.limit * DECREASE_FACTOR).max(floor);
    }

    fn increase(&mut self) {
        let raised = self.limit * (1.0 + INCREASE_SHARE) + 0.5;
        self.limit = raised.min(self.ceiling());
    }

    fn ceiling(&self) -> f64 {
        f64::from(self.slots.max(1))
    }
}
