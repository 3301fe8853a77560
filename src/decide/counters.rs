//! Counts of what the decisions did, for the metrics. They only grow.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// What is counted.
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
    /// Calls shed at this entry.
    ShedAtEntry,
    /// Requests refused by admission.
    Refused,
    /// Requests handed to the backend server.
    HandedOver,
    /// Attempts beyond the first.
    Retries,
    /// Keys that had to be resolved over a new connection.
    Resolved,
    /// Requests refused because their caller's lane was full.
    LaneFull,
    /// Invariants that would have been broken.
    Breaches,
}

/// All counts of one daemon.
#[derive(Debug, Default)]
pub struct Counters {
    counts: [AtomicU64; Counter::COUNT],
}

impl Counters {
    /// Counts one.
    pub fn add(&self, counter: Counter) {
        self.counts[counter as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// The count so far.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }
}
