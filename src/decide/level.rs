//! The admission level of one backend server: the lowest priority it has room for.
//!
//! Each window compares what was offered, by priority, with what the server could
//! take. The level is the point above which the offers just fill the capacity.

use super::message::Priority;
use crate::model::TimeMs;

/// Length of the window over which offers and capacity are compared, in milliseconds.
const WINDOW_MS: u64 = 100;
/// Buckets of priority for each importance.
const BUCKETS_PER_IMPORTANCE: usize = 16;
/// Importances.
const IMPORTANCES: usize = 5;
/// Buckets of priority: the importance and the four high bits of the rank.
const BUCKETS: usize = IMPORTANCES * BUCKETS_PER_IMPORTANCE;
/// Priorities in one bucket.
const BUCKET_WIDTH: f64 = 4_096.0;
/// Weight of the newest window in the averages.
const NEWEST_WEIGHT: f64 = 0.3;
/// Mean wait in the queue above which the server counts as overloaded, in milliseconds.
const TARGET_WAIT_MS: f64 = 10.0;
/// Share of the capacity that the level admits while nobody waits long, to find out whether it has grown.
const PROBE_SHARE: f64 = 1.05;
/// Share of the capacity that the level admits while requests wait too long.
const DRAIN_SHARE: f64 = 0.98;
/// Share of the capacity that the level admits while requests are refused.
const SHED_SHARE: f64 = 0.93;
/// Utilisation below which the level falls whatever was offered.
const IDLE_UTILISATION: f64 = 0.85;
/// First step downwards, in buckets.
const FIRST_STEP: f64 = 0.5;
/// Longest step downwards, in buckets.
const LONGEST_STEP: f64 = 16.0;
/// Share of the way that one window raises the level.
const RAISE_SHARE: f64 = 0.5;

/// Finds the lowest priority that the backend server has room for.
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
    /// The level found at the end of the last window.
    pub fn level(&self) -> Priority {
        Priority((self.level * BUCKET_WIDTH) as u32)
    }

    /// Takes in a request that was offered.
    pub fn offered(&mut self, priority: Priority) {
        self.window.offered[bucket(priority)] += 1;
    }

    /// Takes in a refusal for lack of room.
    pub fn refused(&mut self) {
        self.window.refused += 1;
    }

    /// Takes in a start after a wait in the queue, which may be zero.
    pub fn started(&mut self, wait_ms: u64) {
        self.window.started += 1;
        self.window.wait_sum_ms += wait_ms;
    }

    /// Takes in that from `now` on, `in_flight` requests are at the backend server.
    pub fn in_flight(&mut self, now: TimeMs, in_flight: u32) {
        let span_ms = now.since_ms(self.last_change);
        self.window.busy_slot_ms += span_ms * u64::from(self.last_in_flight);
        self.last_change = now;
        self.last_in_flight = in_flight;
    }

    /// Closes the window if it is over. `limit` is the concurrency limit.
    pub fn tick(&mut self, now: TimeMs, limit: u32) {
        let span_ms = now.since_ms(self.window_start);
        if span_ms < WINDOW_MS {
            return;
        }
        self.in_flight(now, self.last_in_flight);
        let window = std::mem::take(&mut self.window);
        self.window_start = now;
        self.close(&window, span_ms, limit);
    }

    fn close(&mut self, window: &Window, span_ms: u64, limit: u32) {
        let windows = span_ms as f64 / WINDOW_MS as f64;
        let slot_ms = f64::from(limit.max(1)) * span_ms as f64;
        let utilisation = (window.busy_slot_ms as f64 / slot_ms).clamp(0.0, 1.0);
        self.average(window, windows, utilisation);
        let mean_wait_ms = window.wait_sum_ms as f64 / f64::from(window.started.max(1));
        let share = if window.refused > 0 {
            SHED_SHARE
        } else if mean_wait_ms > TARGET_WAIT_MS {
            DRAIN_SHARE
        } else {
            PROBE_SHARE
        };
        let stressed = share < PROBE_SHARE;
        let wanted = self.level_for(self.capacity.unwrap_or(0.0) * share);
        if stressed {
            self.step = FIRST_STEP;
            self.level += (wanted - self.level).max(0.0) * RAISE_SHARE;
            return;
        }
        let floor = if utilisation < IDLE_UTILISATION {
            0.0
        } else {
            wanted
        };
        self.level -= (self.level - floor).clamp(0.0, self.step);
        self.step = (self.step * 2.0).min(LONGEST_STEP);
    }

    fn average(&mut self, window: &Window, windows: f64, utilisation: f64) {
        for (average, count) in self.offered.iter_mut().zip(window.offered) {
            *average += (f64::from(count) / windows - *average) * NEWEST_WEIGHT;
        }
        if utilisation < f64::EPSILON {
            return;
        }
        let newest = f64::from(window.started) / windows / utilisation;
        let capacity = self.capacity.unwrap_or(newest);
        self.capacity = Some(capacity + (newest - capacity) * NEWEST_WEIGHT);
    }

    /// The level above which the offers add up to `capacity`, in buckets. Where
    /// there are fewer offers, it goes on downwards at the density last seen.
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
        let beneath = (capacity - admitted) / density.max(f64::MIN_POSITIVE);
        (self.level - beneath).max(0.0)
    }
}

fn bucket(priority: Priority) -> usize {
    ((f64::from(priority.0) / BUCKET_WIDTH) as usize).min(BUCKETS - 1)
}
