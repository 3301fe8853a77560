//! What this daemon has seen of one worker by its own calls. It overrules what the worker reports.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::model::TimeMs;

/// How long a worker counts as saturated after it refused for lack of room, in milliseconds.
const SATURATED_MS: u64 = 50;
/// Failures in a row that eject a worker.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection, in milliseconds; each further one is twice as long.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Most doublings of the ejection.
const MAX_DOUBLINGS: u32 = 5;
/// How long a worker that joined late takes to get its full share, in milliseconds.
const RAMP_MS: u64 = 5_000;
/// Share of its slots that a worker which has just joined counts with.
const RAMP_START: f64 = 0.1;

/// Counts and marks of one worker.
#[derive(Debug, Default)]
pub struct WorkerStats {
    in_flight: AtomicU32,
    saturated_until_ms: AtomicU64,
    failures: AtomicU32,
    ejections: AtomicU32,
    ejected_until_ms: AtomicU64,
    ramp_from_ms: AtomicU64,
}

impl WorkerStats {
    /// Stats of a worker that joined at `now` beside others, so that it starts cold.
    pub fn cold(now: TimeMs) -> WorkerStats {
        WorkerStats {
            ramp_from_ms: AtomicU64::new(now.0),
            ..WorkerStats::default()
        }
    }

    /// Calls of this daemon that the worker has not answered.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Takes in that a call is sent.
    pub fn sent(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes in that a call is answered or given up.
    pub fn ended(&self) {
        let decrease = |count: u32| Some(count.saturating_sub(1));
        let _ = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrease);
    }

    /// Takes in that the worker answered a call.
    pub fn answered(&self) {
        self.failures.store(0, Ordering::Relaxed);
        if self.ejections.load(Ordering::Relaxed) > 0 {
            self.ejections.store(0, Ordering::Relaxed);
        }
    }

    /// Takes in that the worker refused a call for lack of room.
    pub fn saturated(&self, now: TimeMs) {
        let until_ms = now.plus_ms(SATURATED_MS).0;
        self.saturated_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Takes in that a call failed on the way. True if the worker should be ejected.
    pub fn failed(&self) -> bool {
        self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= FAILURES_TO_EJECT
    }

    /// Sends the worker no calls for a time that doubles with each ejection.
    pub fn eject(&self, now: TimeMs) {
        let doublings = self.ejections.fetch_add(1, Ordering::Relaxed);
        let span_ms = FIRST_EJECTION_MS << doublings.min(MAX_DOUBLINGS);
        let until_ms = now.plus_ms(span_ms).0;
        self.ejected_until_ms.store(until_ms, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
    }

    /// Whether the worker is ejected.
    pub fn is_ejected(&self, now: TimeMs) -> bool {
        self.ejected_until_ms.load(Ordering::Relaxed) > now.0
    }

    /// Whether the worker has room, by own calls in flight and its last refusals.
    pub fn has_room(&self, now: TimeMs, slots: u32) -> bool {
        let saturated = self.saturated_until_ms.load(Ordering::Relaxed) > now.0;
        !saturated && f64::from(self.in_flight()) < self.effective_slots(now, slots)
    }

    /// Own calls in flight for each slot.
    pub fn load(&self, now: TimeMs, slots: u32) -> f64 {
        (f64::from(self.in_flight()) + 1.0) / self.effective_slots(now, slots)
    }

    /// The slots that count, fewer while the worker is cold.
    fn effective_slots(&self, now: TimeMs, slots: u32) -> f64 {
        let slots = f64::from(slots.max(1));
        let from_ms = self.ramp_from_ms.load(Ordering::Relaxed);
        if from_ms == 0 {
            return slots;
        }
        let age_ms = now.since_ms(TimeMs(from_ms));
        let share = (age_ms as f64 / RAMP_MS as f64).clamp(RAMP_START, 1.0);
        (slots * share).max(1.0)
    }
}
