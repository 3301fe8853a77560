//! What the callers of one run saw, by class and over time.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::decide::sharded::lock;

/// Length of one slice of time, in milliseconds.
pub const SLICE_MS: u64 = 100;
/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// How a root request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RootEnd {
    /// With the whole answer.
    Done,
    /// With the promise that it was not run.
    NotRun,
    /// Without certainty.
    Unknown,
    /// With an error, or without any answer.
    Failed,
}

/// Counts of one class.
#[derive(Debug, Default)]
pub struct ClassTally {
    /// Root requests offered.
    pub offered: AtomicU64,
    /// Ended with the whole answer.
    pub done: AtomicU64,
    /// Ended not run.
    pub not_run: AtomicU64,
    /// Ended without certainty.
    pub unknown: AtomicU64,
    /// Ended otherwise.
    pub failed: AtomicU64,
}

/// One slice of time.
#[derive(Debug, Default)]
pub struct Slice {
    /// Whole answers by class.
    pub done: Vec<AtomicU64>,
    /// Refusals that callers received.
    pub refusals: AtomicU64,
    /// Sum of the latencies of whole answers, in microseconds.
    pub latency_sum_us: AtomicU64,
    /// Concurrency limits of the deep service's daemons, summed.
    pub deep_limit: AtomicU64,
    /// Concurrency limits of the first service's daemons, summed.
    pub front_limit: AtomicU64,
}

/// All counts of one run.
#[derive(Debug)]
pub struct Tally {
    start: Instant,
    /// By class, in the order of the deployment.
    pub classes: Vec<ClassTally>,
    /// By time.
    pub slices: Vec<Slice>,
    /// Answers that were not the caller's or not whole.
    pub wrong_answers: AtomicU64,
    /// Bodies of the requests that were answered `not-run`.
    pub not_run_bodies: Mutex<Vec<String>>,
    /// Refusals by reason.
    pub reasons: Mutex<BTreeMap<String, u64>>,
    late_us: Mutex<Histogram<u64>>,
    vm_late_us: Mutex<Histogram<u64>>,
}

impl Tally {
    /// A tally for a run that starts now.
    pub fn new(classes: usize, span_ms: u64) -> Tally {
        let slice = || Slice {
            done: (0..classes).map(|_| AtomicU64::default()).collect(),
            ..Slice::default()
        };
        Tally {
            start: Instant::now(),
            classes: (0..classes).map(|_| ClassTally::default()).collect(),
            slices: (0..span_ms.div_ceil(SLICE_MS)).map(|_| slice()).collect(),
            wrong_answers: AtomicU64::default(),
            not_run_bodies: Mutex::default(),
            reasons: Mutex::default(),
            late_us: Mutex::new(histogram()),
            vm_late_us: Mutex::new(histogram()),
        }
    }

    /// When the run started.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// The slice of the present moment, if the run has not ended.
    pub fn slice(&self) -> Option<&Slice> {
        let index = self.start.elapsed().as_millis() as u64 / SLICE_MS;
        self.slices.get(index as usize)
    }

    /// Takes in that a root request starts, and by how much too late.
    pub fn offered(&self, class: usize, late: Duration) {
        self.classes[class].offered.fetch_add(1, Ordering::Relaxed);
        let late_us = (late.as_micros() as u64).min(MAX_LATENCY_US);
        let _ = lock(&self.late_us).record(late_us);
    }

    /// Takes in by how much too late a timer of a VM fired.
    pub fn fired(&self, late: Duration) {
        let late_us = (late.as_micros() as u64).min(MAX_LATENCY_US);
        let _ = lock(&self.vm_late_us).record(late_us);
    }

    /// Takes in how a root request ended.
    pub fn ended(&self, class: usize, end: RootEnd, latency: Duration) {
        let tally = &self.classes[class];
        let count = match end {
            RootEnd::Done => &tally.done,
            RootEnd::NotRun => &tally.not_run,
            RootEnd::Unknown => &tally.unknown,
            RootEnd::Failed => &tally.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
        let Some(slice) = self.slice().filter(|_| end == RootEnd::Done) else {
            return;
        };
        slice.done[class].fetch_add(1, Ordering::Relaxed);
        let latency_us = latency.as_micros() as u64;
        slice
            .latency_sum_us
            .fetch_add(latency_us, Ordering::Relaxed);
    }

    /// Takes in a refusal that a caller received, with its reason.
    pub fn refused(&self, body: &str, reason: &str) {
        lock(&self.not_run_bodies).push(body.to_owned());
        *lock(&self.reasons).entry(reason.to_owned()).or_default() += 1;
        if let Some(slice) = self.slice() {
            slice.refusals.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lateness at 99 in 100 of the callers' starts or of the VMs' timers,
    /// whichever is greater, in milliseconds.
    pub fn late_p99_ms(&self) -> u64 {
        let callers = lock(&self.late_us).value_at_quantile(0.99);
        let vms = lock(&self.vm_late_us).value_at_quantile(0.99);
        callers.max(vms) / 1_000
    }

    /// Whole answers between two slices, of the classes that `counts` admits.
    pub fn done_between(&self, from: usize, to: usize, counts: impl Fn(usize) -> bool) -> u64 {
        let slices = &self.slices[from.min(self.slices.len())..to.min(self.slices.len())];
        let of_slice = |slice: &Slice| -> u64 {
            let classes = slice.done.iter().enumerate();
            classes
                .filter(|(class, _)| counts(*class))
                .map(|(_, done)| done.load(Ordering::Relaxed))
                .sum()
        };
        slices.iter().map(of_slice).sum()
    }
}

/// A histogram of spans in microseconds.
pub fn histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, MAX_LATENCY_US, 3) {
        Ok(histogram) => histogram,
        Err(_) => unreachable!("the bounds are constants in order"),
    }
}
