//! The adaptive concurrency limit of one backend server.
//!
//! The signal is the server's own time on a request, without the calls it makes
//! beneath: a slow service beneath is no reason to send less work here. A window
//! in which that time is inflated lowers the limit; if the time does not fall
//! with it, the server is slower at any concurrency, so the new time becomes the
//! baseline and the limit climbs back.
//!
//! A server that announced more slots than it has queues from the start, so its
//! baseline is inflated too. Now and then a saturated limit is therefore lowered
//! for a moment: if the own time falls with it, requests had queued inside.

use crate::decide::mechanisms::LimitMode;
use crate::model::TimeMs;

/// Length of the window over which completions are judged, in milliseconds.
const WINDOW_MS: u64 = 100;
/// Fewest completions that a window is judged by.
const MIN_COMPLETIONS: u32 = 24;
/// Own time above the baseline by this factor counts as congestion.
const CONGESTION_FACTOR: f64 = 1.5;
/// Inflation that is always allowed, in milliseconds.
const SLACK_MS: f64 = 1.0;
/// What a congested window leaves of the limit.
const DECREASE_FACTOR: f64 = 0.8;
/// Share of a decrease by which the own time has to fall for the decrease to count as a help.
const HELP_SHARE: f64 = 0.6;
/// What a clean, fully used window adds to the limit, as a share of it.
const INCREASE_SHARE: f64 = 0.1;
/// How fast the baseline follows a time above it, for each window.
const BASELINE_DRIFT: f64 = 0.01;
/// Time between two trials of a lower limit, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 5_000;
/// Time after which the least own time is taken anew, in milliseconds.
const LEAST_LIFE_MS: u64 = 500;
/// The limit never goes below this.
const FLOOR: f64 = 2.0;

/// Follows what the backend server completes, between a floor and its slots.
#[derive(Debug)]
pub struct Limiter {
    mode: LimitMode,
    slots: u32,
    limit: f64,
    baseline_ms: Option<f64>,
    trial: Trial,
    least: Least,
    window: Window,
}

/// Where a trial of a lower limit is.
#[derive(Debug, Clone, Copy)]
enum Trial {
    /// None before this time.
    Idle { next: TimeMs },
    /// The limit is lowered; so many completions began before that.
    Settling { before: Judged, stale: u32 },
    /// This window is judged.
    Judging { before: Judged },
}

/// The least own time of late.
#[derive(Debug, Default)]
struct Least {
    expected_ms: Option<f64>,
    since: TimeMs,
    ms: Option<f64>,
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
            trial: Trial::Idle {
                next: TimeMs::default(),
            },
            least: Least::default(),
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
    }

    /// The least own time of late, in milliseconds, if any request has been completed.
    pub fn expected_ms(&self) -> Option<f64> {
        self.least.expected_ms
    }

    /// Takes in one completion with the server's own time on it.
    pub fn completed(&mut self, now: TimeMs, own_ms: u64, saturated: bool) {
        self.least.take(now, own_ms as f64);
        if self.mode != LimitMode::Adaptive {
            return;
        }
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
        let window = std::mem::take(&mut self.window);
        self.window.start = now;
        if self.on_trial(now, &window, mean_ms) {
            return;
        }
        let baseline_ms = self.baseline_ms.unwrap_or(mean_ms);
        let congested = mean_ms > baseline_ms * CONGESTION_FACTOR + SLACK_MS;
        if congested {
            return self.begin_trial(now, mean_ms);
        }
        let drifted_ms = baseline_ms + (mean_ms - baseline_ms) * BASELINE_DRIFT;
        self.baseline_ms = Some(mean_ms.min(drifted_ms));
        if !window.saturated {
            return;
        }
        self.increase();
        if matches!(self.trial, Trial::Idle { next } if next <= now) {
            self.begin_trial(now, mean_ms);
        }
    }

    /// Lowers the limit to find out whether the own time falls with it.
    fn begin_trial(&mut self, now: TimeMs, mean_ms: f64) {
        if self.limit <= FLOOR.min(self.ceiling()) {
            self.trial = Trial::Idle {
                next: now.plus_ms(TRIAL_INTERVAL_MS),
            };
            return;
        }
        self.trial = Trial::Settling {
            before: Judged {
                limit: self.limit,
                mean_ms,
            },
            stale: self.limit() + 1,
        };
        self.lower();
    }

    /// Goes on with a trial; false if there is none.
    fn on_trial(&mut self, now: TimeMs, window: &Window, mean_ms: f64) -> bool {
        match self.trial {
            Trial::Idle { .. } => return false,
            Trial::Settling { before, stale } if window.count < stale => {
                let stale = stale - window.count;
                self.trial = Trial::Settling { before, stale };
            }
            Trial::Settling { before, .. } => self.trial = Trial::Judging { before },
            Trial::Judging { before } => self.judge(now, before, mean_ms),
        }
        true
    }

    /// Keeps the lower limit if the own time fell with it, and tries a still
    /// lower one. Else the server is as slow at any concurrency.
    fn judge(&mut self, now: TimeMs, before: Judged, mean_ms: f64) {
        if self.fell_with_limit(before, mean_ms) {
            let least_ms = self.baseline_ms.map_or(mean_ms, |ms| ms.min(mean_ms));
            self.baseline_ms = Some(least_ms);
            return self.begin_trial(now, mean_ms);
        }
        self.baseline_ms = Some(mean_ms);
        self.limit = before.limit.min(self.ceiling());
        self.trial = Trial::Idle {
            next: now.plus_ms(TRIAL_INTERVAL_MS),
        };
    }

    fn fell_with_limit(&self, before: Judged, mean_ms: f64) -> bool {
        let cut = 1.0 - self.limit / before.limit;
        let fall = 1.0 - mean_ms / before.mean_ms;
        fall >= cut * HELP_SHARE
    }

    fn lower(&mut self) {
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

impl Least {
    fn take(&mut self, now: TimeMs, own_ms: f64) {
        let least = self.ms.map_or(own_ms, |ms| ms.min(own_ms));
        self.ms = Some(least);
        let faster = self.expected_ms.is_none_or(|expected| own_ms < expected);
        if faster || now.since_ms(self.since) >= LEAST_LIFE_MS {
            self.expected_ms = Some(least);
            self.since = now;
            self.ms = None;
        }
    }
}
