//! The adaptive concurrency limit of one backend server.
//!
//! The signal is the server's own time on a request, without the time spent waiting for
//! child calls: a slow downstream service is no reason to send less work here. A window
//! whose own time is far above the baseline starts a probe of a lower limit. If the own
//! time does not fall with the limit, the server is slower at any concurrency: the new
//! time becomes the baseline and the limit is restored.
//!
//! A server that announced more slots than it has queues requests internally from the
//! start, so its baseline is inflated too. Therefore a saturated limit is probed from time
//! to time: if the own time falls with the limit, requests were queued inside the server.

use crate::decide::mechanisms::LimitMode;
use crate::model::TimeMs;

/// Shortest length of the window over which completions are averaged, in milliseconds.
const WINDOW_MS: u64 = 100;
/// Fewest completions in a window; a window with fewer goes on.
const MIN_COMPLETIONS: u32 = 24;
/// Ratio of mean own time to baseline above which a window counts as congested.
const CONGESTION_FACTOR: f64 = 1.5;
/// Excess over the congestion threshold that is always allowed, in milliseconds.
const SLACK_MS: f64 = 1.0;
/// Factor that a probe applies to the limit.
const DECREASE_FACTOR: f64 = 0.8;
/// Relative fall of the own time that confirms a decrease, as a share of the relative
/// decrease of the limit.
const MIN_FALL_SHARE: f64 = 0.6;
/// Share by which a saturated window without congestion raises the limit.
const INCREASE_SHARE: f64 = 0.1;
/// Fraction of the distance to a higher own time that the baseline moves in each window.
const BASELINE_DRIFT: f64 = 0.01;
/// Time between the end of a probe and the next periodic one, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 5_000;
/// Time after which the lowest recent own time is replaced, in milliseconds.
const MINIMUM_LIFETIME_MS: u64 = 500;
/// Lowest limit, unless the server has fewer slots.
const MIN_LIMIT: f64 = 2.0;

/// Adapts the limit between a floor and the announced slots to the completions of the server.
#[derive(Debug)]
pub struct Limiter {
    mode: LimitMode,
    slots: u32,
    limit: f64,
    baseline_ms: Option<f64>,
    probe: Probe,
    recent_minimum: RecentMinimum,
    window: Window,
}

/// State of a probe of a lower limit.
#[derive(Debug, Clone, Copy)]
enum Probe {
    /// No probe is running; the next periodic one starts at `next` at the earliest.
    Idle { next: TimeMs },
    /// The limit is lowered, but the next `stale_completions` may have started before that.
    Settling {
        before: Sample,
        stale_completions: u32,
    },
    /// The present window shows the own time at the lower limit.
    Measuring { before: Sample },
}

/// Tracks the lowest recent own time.
#[derive(Debug, Default)]
struct RecentMinimum {
    expected_ms: Option<f64>,
    since: TimeMs,
    interval_minimum_ms: Option<f64>,
}

/// Mean own time at a limit.
#[derive(Debug, Clone, Copy)]
struct Sample {
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
    /// Creates a limiter for a backend server with `slots` slots.
    pub fn new(mode: LimitMode, slots: u32) -> Limiter {
        Limiter {
            mode,
            slots,
            limit: f64::from(slots),
            baseline_ms: None,
            probe: Probe::Idle {
                next: TimeMs::default(),
            },
            recent_minimum: RecentMinimum::default(),
            window: Window::default(),
        }
    }

    /// Maximum number of requests at the backend server at once.
    pub fn limit(&self) -> u32 {
        match self.mode {
            LimitMode::None => u32::MAX,
            LimitMode::Fixed => self.slots.max(1),
            LimitMode::Adaptive => self.limit.floor() as u32,
        }
    }

    /// Applies an announced number of slots. A changed number resets the limit to it.
    pub fn set_slots(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.limit = self.ceiling();
    }

    /// The lowest recent own time, in milliseconds; `None` until a request has been completed.
    pub fn expected_ms(&self) -> Option<f64> {
        self.recent_minimum.expected_ms
    }

    /// Records a completion. `own_ms` is the server's own time on it; `saturated` tells whether
    /// the limit was reached.
    pub fn completed(&mut self, now: TimeMs, own_ms: u64, saturated: bool) {
        self.recent_minimum.record(now, own_ms as f64);
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
        if self.advance_probe(now, &window, mean_ms) {
            return;
        }
        let baseline_ms = self.baseline_ms.unwrap_or(mean_ms);
        let congested = mean_ms > baseline_ms * CONGESTION_FACTOR + SLACK_MS;
        if congested {
            return self.start_probe(now, mean_ms);
        }
        let drifted_ms = baseline_ms + (mean_ms - baseline_ms) * BASELINE_DRIFT;
        self.baseline_ms = Some(mean_ms.min(drifted_ms));
        if !window.saturated {
            return;
        }
        self.increase();
        if matches!(self.probe, Probe::Idle { next } if next <= now) {
            self.start_probe(now, mean_ms);
        }
    }

    /// Starts a probe: lowers the limit to see whether the own time falls with it.
    fn start_probe(&mut self, now: TimeMs, mean_ms: f64) {
        if self.limit <= MIN_LIMIT.min(self.ceiling()) {
            self.probe = Probe::Idle {
                next: now.plus_ms(PROBE_INTERVAL_MS),
            };
            return;
        }
        self.probe = Probe::Settling {
            before: Sample {
                limit: self.limit,
                mean_ms,
            },
            stale_completions: self.limit() + 1,
        };
        self.decrease();
    }

    /// Advances a running probe by a window. Returns false if there is none.
    fn advance_probe(&mut self, now: TimeMs, window: &Window, mean_ms: f64) -> bool {
        match self.probe {
            Probe::Idle { .. } => return false,
            Probe::Settling {
                before,
                stale_completions,
            } if window.count < stale_completions => {
                let stale_completions = stale_completions - window.count;
                self.probe = Probe::Settling {
                    before,
                    stale_completions,
                };
            }
            Probe::Settling { before, .. } => self.probe = Probe::Measuring { before },
            Probe::Measuring { before } => self.finish_probe(now, before, mean_ms),
        }
        true
    }

    /// Keeps the lower limit if the own time fell with it, and probes a still lower one.
    /// Otherwise the server is as slow at any concurrency, so the limit is restored.
    fn finish_probe(&mut self, now: TimeMs, before: Sample, mean_ms: f64) {
        if self.fell_with_limit(before, mean_ms) {
            let minimum_ms = self.baseline_ms.map_or(mean_ms, |ms| ms.min(mean_ms));
            self.baseline_ms = Some(minimum_ms);
            return self.start_probe(now, mean_ms);
        }
        self.baseline_ms = Some(mean_ms);
        self.limit = before.limit.min(self.ceiling());
        self.probe = Probe::Idle {
            next: now.plus_ms(PROBE_INTERVAL_MS),
        };
    }

    fn fell_with_limit(&self, before: Sample, mean_ms: f64) -> bool {
        let cut = 1.0 - self.limit / before.limit;
        let fall = 1.0 - mean_ms / before.mean_ms;
        fall >= cut * MIN_FALL_SHARE
    }

    fn decrease(&mut self) {
        let floor = MIN_LIMIT.min(self.ceiling());
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

impl RecentMinimum {
    fn record(&mut self, now: TimeMs, own_ms: f64) {
        let minimum_ms = self.interval_minimum_ms.map_or(own_ms, |ms| ms.min(own_ms));
        self.interval_minimum_ms = Some(minimum_ms);
        let faster = self.expected_ms.is_none_or(|expected| own_ms < expected);
        if faster || now.since_ms(self.since) >= MINIMUM_LIFETIME_MS {
            self.expected_ms = Some(minimum_ms);
            self.since = now;
            self.interval_minimum_ms = None;
        }
    }
}
