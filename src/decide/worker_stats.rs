//! Statistics of this daemon's own calls to one worker. They override what the worker reports.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::model::TimeMs;

/// How long a worker counts as saturated after it refused for lack of room, in milliseconds.
const SATURATED_MS: u64 = 50;
/// Consecutive failures that eject a worker.
const FAILURES_TO_EJECT: u32 = 3;
/// Length of the first ejection, in milliseconds; each further one is twice as long.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 5;
/// Length of the slow start of a worker that joins a running service, in milliseconds.
const SLOW_START_MS: u64 = 5_000;
/// Share of a worker's slots that counts at the beginning of its slow start.
const SLOW_START_SHARE: f64 = 0.1;

/// Counters and times of one worker. A time of zero is not set.
#[derive(Debug, Default)]
pub struct WorkerStats {
    in_flight: AtomicU32,
    saturated_until_ms: AtomicU64,
    consecutive_failures: AtomicU32,
    ejections: AtomicU32,
    ejected_until_ms: AtomicU64,
    slow_start_from_ms: AtomicU64,
}

impl WorkerStats {
    /// Creates the statistics of a worker that joined a running service at `now` and goes
    /// through a slow start.
    pub fn with_slow_start(now: TimeMs) -> WorkerStats {
        WorkerStats {
            slow_start_from_ms: AtomicU64::new(now.0),
            ..WorkerStats::default()
        }
    }

    /// This daemon's calls that the worker has not answered.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records that a call was sent.
    pub fn sent(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a call was answered or abandoned.
    pub fn ended(&self) {
        let decrease = |count: u32| Some(count.saturating_sub(1));
        let _ = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrease);
    }

    /// Records that the worker answered a call, which ends a series of failures.
    pub fn answered(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
        if self.ejections.load(Ordering::Relaxed) > 0 {
            self.ejections.store(0, Ordering::Relaxed);
        }
    }

    /// Records that the worker refused a call for lack of room.
    pub fn saturated(&self, now: TimeMs) {
        let until_ms = now.plus_ms(SATURATED_MS).0;
        self.saturated_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Records that a call failed in transit. Returns true if the worker should be ejected.
    pub fn failed(&self) -> bool {
        self.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1 >= FAILURES_TO_EJECT
    }

    /// Ejects the worker for a time that doubles with each ejection until it answers a call.
    pub fn eject(&self, now: TimeMs) {
        let doublings = self.ejections.fetch_add(1, Ordering::Relaxed);
        let span_ms = FIRST_EJECTION_MS << doublings.min(MAX_DOUBLINGS);
        let until_ms = now.plus_ms(span_ms).0;
        self.ejected_until_ms.store(until_ms, Ordering::Relaxed);
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    /// Whether the worker is ejected at `now`.
    pub fn is_ejected(&self, now: TimeMs) -> bool {
        self.ejected_until_ms.load(Ordering::Relaxed) > now.0
    }

    /// Whether the worker has room, judged by own calls in flight and its recent refusals.
    pub fn has_room(&self, now: TimeMs, slots: u32) -> bool {
        let saturated = self.saturated_until_ms.load(Ordering::Relaxed) > now.0;
        !saturated && f64::from(self.in_flight()) < self.effective_slots(now, slots)
    }

    /// Load of the worker with one more call: own calls in flight for each effective slot.
    pub fn load(&self, now: TimeMs, slots: u32) -> f64 {
        (f64::from(self.in_flight()) + 1.0) / self.effective_slots(now, slots)
    }

    /// The slots that count: fewer than announced during the slow start, but at least one.
    fn effective_slots(&self, now: TimeMs, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let from_ms = self.slow_start_from_ms.load(Ordering::Relaxed);
        if from_ms == 0 {
            return slots;
        }
        let age_ms = now.since_ms(TimeMs(from_ms));
        let share = (age_ms as f64 / SLOW_START_MS as f64).clamp(SLOW_START_SHARE, 1.0);
        (slots * share).max(1.0)
    }
}
