//! Monotonic counters of decisions, exported as metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// Names a counter. The metric takes its name from the variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(usize)]
pub enum Counter {
    /// Calls that ended `done`.
    Done,
    /// Calls that ended `not-run`.
    NotRun,
    /// Calls that ended `unknown`.
    Unknown,
    /// Root requests shed at this entry.
    ShedAtEntry,
    /// Requests refused by admission.
    Refused,
    /// Requests handed to the backend server.
    HandedOver,
    /// Attempts beyond the first.
    Retries,
    /// Queries to an executor over a new connection for the outcome of a key.
    Resolved,
    /// Requests refused because their caller's lane was full.
    LaneFull,
    /// Invariants that would have been broken.
    Breaches,
}

/// All counters of one daemon.
#[derive(Debug, Default)]
pub struct Counters {
    counts: [AtomicU64; Counter::COUNT],
}

impl Counters {
    /// Increments a counter.
    pub fn add(&self, counter: Counter) {
        self.counts[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The present value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }
}
