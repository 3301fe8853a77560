//! The admission level of one backend server: the lowest priority that it has room for.
//!
//! Each window compares the offered load by priority with the server's capacity. The
//! level is the priority above which the offered load just fills the capacity.

use super::message::Priority;
use crate::model::TimeMs;

/// Length of the window over which offered load and capacity are compared, in milliseconds.
const WINDOW_MS: u64 = 100;
/// Priority buckets for each importance.
const BUCKETS_PER_IMPORTANCE: usize = 16;
/// Number of values of [`Importance`](crate::model::Importance).
const IMPORTANCES: usize = 5;
/// Priority buckets. A bucket is the importance with the four high bits of the rank.
const BUCKETS: usize = IMPORTANCES * BUCKETS_PER_IMPORTANCE;
/// Number of priorities in one bucket.
const BUCKET_WIDTH: f64 = 4_096.0;
/// Weight of the newest window in the moving averages.
const NEWEST_WEIGHT: f64 = 0.3;
/// Mean queue wait above which the server counts as overloaded, in milliseconds.
const TARGET_WAIT_MS: f64 = 10.0;
/// Share of the capacity to admit while waits are short. It exceeds 1 to find out whether
/// the capacity has grown.
const PROBE_SHARE: f64 = 1.05;
/// Share of the capacity to admit while requests wait too long, so that the queue drains.
const DRAIN_SHARE: f64 = 0.98;
/// Share of the capacity to admit while requests are refused.
const SHED_SHARE: f64 = 0.93;
/// Utilisation below which the level falls regardless of the offered load.
const IDLE_UTILISATION: f64 = 0.85;
/// First downward step of the level, in buckets; each further one is twice as long.
const FIRST_STEP: f64 = 0.5;
/// Longest downward step, in buckets.
const LONGEST_STEP: f64 = 16.0;
/// Fraction of the distance to a higher target that the level moves in one window.
const RAISE_SHARE: f64 = 0.5;

/// Computes the admission level from offered load, starts, refusals and utilisation.
#[derive(Debug)]
pub struct LevelMeter {
    window_start: TimeMs,
    window: Window,
    last_in_flight: u32,
    last_change: TimeMs,
    offered: [f64; BUCKETS],
    capacity: Option<f64>,
    level: f64,
    step: f64,
}

#[derive(Debug)]
struct Window {
    offered: [u32; BUCKETS],
    started: u32,
    refused: u32,
    wait_sum_ms: u64,
    busy_slot_ms: u64,
}

impl Default for Window {
    fn default() -> Self {
        Window {
            offered: [0; BUCKETS],
            started: 0,
            refused: 0,
            wait_sum_ms: 0,
            busy_slot_ms: 0,
        }
    }
}

impl Default for LevelMeter {
    fn default() -> Self {
        LevelMeter {
            window_start: TimeMs::default(),
            window: Window::default(),
            last_in_flight: 0,
            last_change: TimeMs::default(),
            offered: [0.0; BUCKETS],
            capacity: None,
            level: 0.0,
            step: FIRST_STEP,
        }
    }
}

impl LevelMeter {
    /// The level computed at the end of the last window.
    pub fn level(&self) -> Priority {
        Priority((self.level * BUCKET_WIDTH) as u32)
    }

    /// Counts a request as offered.
    pub fn offered(&mut self, priority: Priority) {
        self.window.offered[bucket(priority)] += 1;
    }

    /// Counts a refusal for lack of room.
    pub fn refused(&mut self) {
        self.window.refused += 1;
    }

    /// Counts a start after `wait_ms` in the queue, which may be zero.
    pub fn started(&mut self, wait_ms: u64) {
        self.window.started += 1;
        self.window.wait_sum_ms += wait_ms;
    }

    /// Sets the number of requests at the backend server from `now` on.
    pub fn set_in_flight(&mut self, now: TimeMs, in_flight: u32) {
        let span_ms = now.since_ms(self.last_change);
        self.window.busy_slot_ms += span_ms * u64::from(self.last_in_flight);
        self.last_change = now;
        self.last_in_flight = in_flight;
    }

    /// Ends the window if its time is over and updates the level. `limit` is the concurrency limit.
    pub fn tick(&mut self, now: TimeMs, limit: u32) {
        let span_ms = now.since_ms(self.window_start);
        if span_ms < WINDOW_MS {
            return;
        }
        self.set_in_flight(now, self.last_in_flight);
        let window = std::mem::take(&mut self.window);
        self.window_start = now;
        self.update_level(&window, span_ms, limit);
    }

    fn update_level(&mut self, window: &Window, span_ms: u64, limit: u32) {
        let windows = span_ms as f64 / WINDOW_MS as f64;
        let slot_ms = f64::from(limit.max(1)) * span_ms as f64;
        let utilisation = (window.busy_slot_ms as f64 / slot_ms).clamp(0.0, 1.0);
        self.update_averages(window, windows, utilisation);
        let mean_wait_ms = window.wait_sum_ms as f64 / f64::from(window.started.max(1));
        let share = if window.refused > 0 {
            SHED_SHARE
        } else if mean_wait_ms > TARGET_WAIT_MS {
            DRAIN_SHARE
        } else {
            PROBE_SHARE
        };
        let overloaded = share < PROBE_SHARE;
        let target = self.level_for(self.capacity.unwrap_or(0.0) * share);
        if overloaded {
            self.step = FIRST_STEP;
            self.level += (target - self.level).max(0.0) * RAISE_SHARE;
            return;
        }
        let floor = if utilisation < IDLE_UTILISATION {
            0.0
        } else {
            target
        };
        self.level -= (self.level - floor).clamp(0.0, self.step);
        self.step = (self.step * 2.0).min(LONGEST_STEP);
    }

    fn update_averages(&mut self, window: &Window, windows: f64, utilisation: f64) {
        for (mean, count) in self.offered.iter_mut().zip(window.offered) {
            *mean += (f64::from(count) / windows - *mean) * NEWEST_WEIGHT;
        }
        if utilisation < f64::EPSILON {
            return;
        }
        let newest = f64::from(window.started) / windows / utilisation;
        let capacity = self.capacity.unwrap_or(newest);
        self.capacity = Some(capacity + (newest - capacity) * NEWEST_WEIGHT);
    }

    /// The level above which the offered load adds up to `capacity`, in buckets. If all of
    /// the load fits, returns the present level minus the spare capacity, converted to
    /// buckets at the highest load seen in a bucket.
    fn level_for(&self, capacity: f64) -> f64 {
        let mut admitted = 0.0;
        let mut density = 0.0;
        for index in (0..BUCKETS).rev() {
            let offered = self.offered[index];
            if admitted + offered > capacity {
                let share = (capacity - admitted).max(0.0) / offered;
                return (index as f64 + 1.0 - share).min(BUCKETS as f64 - 1.0);
            }
            admitted += offered;
            if offered > density {
                density = offered;
            }
        }
        let spare_buckets = (capacity - admitted) / density.max(f64::MIN_POSITIVE);
        (self.level - spare_buckets).max(0.0)
    }
}

fn bucket(priority: Priority) -> usize {
    ((f64::from(priority.0) / BUCKET_WIDTH) as usize).min(BUCKETS - 1)
}
