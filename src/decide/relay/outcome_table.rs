//! Which outcomes of non-idempotent requests a daemon keeps, and what it proves that one is missing.
//!
//! An outcome is kept until the deadline of its request at least: its entry may ask for it until then. A
//! request that has not ended is never dropped. What is dropped earlier, or later, is remembered by
//! the time at which it was received, since a missing outcome proves nothing about requests of that
//! age.

use std::collections::HashMap;

use crate::model::TimeMs;

/// How long an outcome is kept at least, in milliseconds: a copy of a request that was fenced may arrive
/// late.
const MIN_KEPT_MS: u64 = 60_000;
/// How long after the deadline of its request an outcome is kept, in milliseconds.
const AFTER_DEADLINE_MS: u64 = 10_000;
/// Number of outcomes from which on the oldest ones of requests that have ended are dropped. Requests
/// with deadlines far ahead would fill the memory otherwise.
const MAX_OUTCOMES: usize = 16_384;
/// Part of them that is dropped at a time.
const DROPPED_FRACTION: usize = 8;

/// Whether a request has ended, so that its outcome may be dropped.
pub trait HasEnded {
    /// Whether it has.
    fn has_ended(&self) -> bool;
}

#[derive(Debug)]
struct Kept<T> {
    outcome: T,
    received: TimeMs,
    until: TimeMs,
}

/// Outcomes by key.
#[derive(Debug)]
pub struct OutcomeTable<T> {
    by_key: HashMap<String, Kept<T>>,
    /// Newest time at which a request was received whose outcome was dropped.
    dropped_until: TimeMs,
}

impl<T> Default for OutcomeTable<T> {
    fn default() -> OutcomeTable<T> {
        OutcomeTable {
            by_key: HashMap::new(),
            dropped_until: TimeMs(0),
        }
    }
}

impl<T: HasEnded> OutcomeTable<T> {
    /// The outcome of a key.
    pub fn get(&self, key: &str) -> Option<&T> {
        self.by_key.get(key).map(|kept| &kept.outcome)
    }

    /// Stores the outcome of a request that is received now, whose entry waits for `left_ms`
    /// milliseconds more.
    pub fn insert(&mut self, now: TimeMs, key: &str, left_ms: u64, outcome: T) {
        if self.by_key.len() >= MAX_OUTCOMES {
            self.drop_oldest();
        }
        let kept_ms = left_ms.saturating_add(AFTER_DEADLINE_MS).max(MIN_KEPT_MS);
        let kept = Kept {
            outcome,
            received: now,
            until: now.plus_ms(kept_ms),
        };
        self.by_key.insert(key.to_owned(), kept);
    }

    /// Drops outcomes that no entry asks for any more. Returns how many there were.
    pub fn expire(&mut self, now: TimeMs) -> usize {
        let before = self.by_key.len();
        let dropped_until = &mut self.dropped_until;
        self.by_key.retain(|_, kept| {
            let is_kept = now < kept.until || !kept.outcome.has_ended();
            if !is_kept {
                *dropped_until = (*dropped_until).max(kept.received);
            }
            is_kept
        });
        before - self.by_key.len()
    }

    /// Number of outcomes.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// For how long the daemon, which started at `started`, has kept the outcome of each request that it
    /// received, in milliseconds. A key that is missing proves that a request which was sent after
    /// that has not run here.
    pub fn complete_ms(&self, now: TimeMs, started: TimeMs) -> u64 {
        now.since_ms(started.max(self.dropped_until))
    }

    fn drop_oldest(&mut self) {
        let ended = self.by_key.values().filter(|kept| kept.outcome.has_ended());
        let mut received: Vec<TimeMs> = ended.map(|kept| kept.received).collect();
        let dropped = received.len().div_ceil(DROPPED_FRACTION);
        if dropped == 0 {
            return;
        }
        let (_, newest_dropped, _) = received.select_nth_unstable(dropped - 1);
        let newest_dropped = *newest_dropped;
        self.by_key
            .retain(|_, kept| kept.received > newest_dropped || !kept.outcome.has_ended());
        self.dropped_until = self.dropped_until.max(newest_dropped);
    }
}
