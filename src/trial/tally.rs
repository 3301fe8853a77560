//! Counts of the results that the callers of one run observed, by class and over time.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::decide::sharded::lock;

/// Duration of one slice of time, in milliseconds.
pub const SLICE_MS: u64 = 100;
/// Maximum value of the histograms, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Final outcome of a root request as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RootOutcome {
    /// A complete answer.
    Done,
    /// The guarantee that the request was not run.
    NotRun,
    /// An answer that leaves open whether the request ran.
    Unknown,
    /// An error, or no answer at all.
    Failed,
}

/// Counts of the root requests of one class.
#[derive(Debug, Default)]
pub struct ClassTally {
    /// Root requests started, without resubmissions.
    pub offered: AtomicU64,
    /// Root requests that ended as [`RootOutcome::Done`].
    pub done: AtomicU64,
    /// Root requests that ended as [`RootOutcome::NotRun`].
    pub not_run: AtomicU64,
    /// Root requests that ended as [`RootOutcome::Unknown`].
    pub unknown: AtomicU64,
    /// Root requests that ended as [`RootOutcome::Failed`].
    pub failed: AtomicU64,
}

/// Counts of one slice of time, [`SLICE_MS`] long.
#[derive(Debug, Default)]
pub struct Slice {
    /// Complete answers by class, in the order of the deployment.
    pub done: Vec<AtomicU64>,
    /// Refusals that callers received.
    pub refusals: AtomicU64,
    /// Sum of the latencies of complete answers, in microseconds.
    pub latency_sum_us: AtomicU64,
    /// Sum of the concurrency limits of the deep service's daemons.
    pub deep_limit: AtomicU64,
    /// Sum of the concurrency limits of the first service's daemons.
    pub front_limit: AtomicU64,
}

/// All counts of one run.
#[derive(Debug)]
pub struct Tally {
    start: Instant,
    /// Counts by class, in the order of the deployment.
    pub classes: Vec<ClassTally>,
    /// Counts by slice of time, from the start of the run.
    pub slices: Vec<Slice>,
    /// Answers that belong to another request or are incomplete.
    pub wrong_answers: AtomicU64,
    /// Bodies of the requests that were answered `not-run`.
    pub not_run_bodies: Mutex<Vec<String>>,
    /// Refusals that callers received, by reason.
    pub reasons: Mutex<BTreeMap<String, u64>>,
    start_lateness_us: Mutex<Histogram<u64>>,
    timer_lateness_us: Mutex<Histogram<u64>>,
}

impl Tally {
    /// Creates the tally of a run that starts now and lasts `run_duration_ms`.
    pub fn new(classes: usize, run_duration_ms: u64) -> Tally {
        let slice = || Slice {
            done: (0..classes).map(|_| AtomicU64::default()).collect(),
            ..Slice::default()
        };
        Tally {
            start: Instant::now(),
            classes: (0..classes).map(|_| ClassTally::default()).collect(),
            slices: (0..run_duration_ms.div_ceil(SLICE_MS))
                .map(|_| slice())
                .collect(),
            wrong_answers: AtomicU64::default(),
            not_run_bodies: Mutex::default(),
            reasons: Mutex::default(),
            start_lateness_us: Mutex::new(histogram()),
            timer_lateness_us: Mutex::new(histogram()),
        }
    }

    /// Start of the run.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Slice of the current time; `None` after the end of the run.
    pub fn current_slice(&self) -> Option<&Slice> {
        let index = self.start.elapsed().as_millis() as u64 / SLICE_MS;
        self.slices.get(index as usize)
    }

    /// Records the start of a root request and by how much it is behind schedule.
    pub fn record_start(&self, class: usize, lateness: Duration) {
        self.classes[class].offered.fetch_add(1, Ordering::Relaxed);
        let lateness_us = (lateness.as_micros() as u64).min(MAX_LATENCY_US);
        let _ = lock(&self.start_lateness_us).record(lateness_us);
    }

    /// Records how late a timer of a VM fired.
    pub fn record_timer(&self, lateness: Duration) {
        let lateness_us = (lateness.as_micros() as u64).min(MAX_LATENCY_US);
        let _ = lock(&self.timer_lateness_us).record(lateness_us);
    }

    /// Records the final outcome of a root request.
    pub fn record_outcome(&self, class: usize, outcome: RootOutcome, latency: Duration) {
        let tally = &self.classes[class];
        let count = match outcome {
            RootOutcome::Done => &tally.done,
            RootOutcome::NotRun => &tally.not_run,
            RootOutcome::Unknown => &tally.unknown,
            RootOutcome::Failed => &tally.failed,
        };
        count.fetch_add(1, Ordering::Relaxed);
        let Some(slice) = self
            .current_slice()
            .filter(|_| outcome == RootOutcome::Done)
        else {
            return;
        };
        slice.done[class].fetch_add(1, Ordering::Relaxed);
        let latency_us = latency.as_micros() as u64;
        slice
            .latency_sum_us
            .fetch_add(latency_us, Ordering::Relaxed);
    }

    /// Records a refusal with the body of the refused request and the reason.
    pub fn record_refusal(&self, body: &str, reason: &str) {
        lock(&self.not_run_bodies).push(body.to_owned());
        *lock(&self.reasons).entry(reason.to_owned()).or_default() += 1;
        if let Some(slice) = self.current_slice() {
            slice.refusals.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// 99th percentile of the lateness of request starts or of VM timers, whichever is greater, in
    /// milliseconds.
    pub fn late_p99_ms(&self) -> u64 {
        let callers = lock(&self.start_lateness_us).value_at_quantile(0.99);
        let vms = lock(&self.timer_lateness_us).value_at_quantile(0.99);
        callers.max(vms) / 1_000
    }

    /// Number of complete answers from slice `from` up to but not including slice `to`, in the
    /// classes whose index `counts` accepts.
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

/// Creates a histogram of durations in microseconds with three significant digits.
pub fn histogram() -> Histogram<u64> {
    match Histogram::new_with_bounds(1, MAX_LATENCY_US, 3) {
        Ok(histogram) => histogram,
        Err(_) => unreachable!("the constant bounds are valid"),
    }
}
