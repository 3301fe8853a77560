//! Cost of a worker in milliseconds where no worker of the service states its speed: the expected
//! wait, plus penalties for slowness, failures and distance.

use rand::{Rng, RngExt};

use super::Candidate;
use crate::model::Distance;

/// Utilization above which requests begin to slow each other down.
const BUSY_UTILIZATION: f64 = 0.75;
/// Cost of a worker that is full but has no queue, in milliseconds.
const BUSY_COST_MS: f64 = 5.0;
/// Cost for each multiple of the typical request duration, in milliseconds.
const SLOWNESS_COST_MS: f64 = 10.0;
/// Assumed mean duration of a worker that has not reported one, in milliseconds.
pub(super) const DEFAULT_MEAN_MS: f64 = 20.0;
/// Cost of another VM in the same availability zone, in milliseconds.
const OTHER_VM_COST_MS: f64 = 1.0;
/// Cost of another availability zone in the same region, in milliseconds.
const OTHER_ZONE_COST_MS: f64 = 6.0;
/// Cost of another region, in milliseconds: a round trip on the link and billed traffic.
const OTHER_REGION_COST_MS: f64 = 25.0;
/// Relative random jitter of the costs, so that daemons with the same view do not all choose the
/// same worker.
const JITTER: f64 = 0.2;
/// Failure rate from which a worker counts as an outlier.
pub(super) const OUTLIER_FAILURE_RATE: f64 = 0.2;
/// Cost at a failure rate of 1, in milliseconds: a failed request is retried or lost. It makes the
/// difference where most workers fail occasionally, since then none is excluded as an outlier.
pub(super) const FAILURE_COST_MS: f64 = 50.0;
/// Multiple of the typical request duration above which a worker counts as an outlier.
const OUTLIER_SLOWDOWN: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
pub(super) struct RatedCandidate {
    pub(super) candidate: Candidate,
    pub(super) utilization: f64,
    pub(super) mean_ms: f64,
    pub(super) rate_wait_ms: f64,
    pub(super) is_avoided: bool,
    pub(super) failure_rate: f64,
    /// Request duration as a multiple of the typical one.
    pub(super) slowdown: f64,
}

impl RatedCandidate {
    fn cost_ms(&self, median_slowdown: f64) -> f64 {
        let mean_ms = if self.mean_ms > 0.0 {
            self.mean_ms
        } else {
            DEFAULT_MEAN_MS
        };
        let queue_wait_ms = (self.utilization - 1.0).max(0.0) * mean_ms;
        let queue_wait_ms = queue_wait_ms.max(self.rate_wait_ms);
        let busy =
            ((self.utilization - BUSY_UTILIZATION) / (1.0 - BUSY_UTILIZATION)).clamp(0.0, 1.0);
        let distance_cost_ms = distance_cost_ms(&self.candidate);
        let slowness_cost_ms = (self.slowdown / median_slowdown - 1.0).max(0.0) * SLOWNESS_COST_MS;
        let failure_cost_ms = self.failure_rate * FAILURE_COST_MS;
        queue_wait_ms + busy * BUSY_COST_MS + slowness_cost_ms + failure_cost_ms + distance_cost_ms
    }
}

/// Cost of sending a request to a worker: time on the network and billed traffic, in milliseconds.
pub(super) fn distance_cost_ms(candidate: &Candidate) -> f64 {
    match candidate.distance {
        _ if candidate.is_own => 0.0,
        Distance::SameZone => OTHER_VM_COST_MS,
        Distance::SameRegion => OTHER_ZONE_COST_MS,
        Distance::OtherRegion => OTHER_REGION_COST_MS,
    }
}

/// Removes the workers that are not good, unless fewer than half would be left.
pub(super) fn keep_most<T>(workers: &mut Vec<T>, is_good: impl Fn(&T) -> bool) {
    let good = workers.iter().filter(|worker| is_good(worker)).count();
    if good * 2 >= workers.len() {
        workers.retain(is_good);
    }
}

/// Removes workers that fail often or are slow; keeps all if fewer than half would be left.
pub(super) fn without_outliers(rated: &[RatedCandidate]) -> Vec<RatedCandidate> {
    let median = median_slowdown(rated);
    let mut good = rated.to_vec();
    keep_most(&mut good, |rated| {
        rated.failure_rate < OUTLIER_FAILURE_RATE && rated.slowdown <= median * OUTLIER_SLOWDOWN
    });
    good
}

/// The lower median of the workers' relative durations, which is robust against a few slow ones.
fn median_slowdown(rated: &[RatedCandidate]) -> f64 {
    let mut slowdown: Vec<f64> = rated.iter().map(|rated| rated.slowdown).collect();
    slowdown.sort_by(f64::total_cmp);
    slowdown
        .get(slowdown.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(1.0)
}

pub(super) fn cheapest(rated: &[RatedCandidate], rng: &mut impl Rng) -> Option<RatedCandidate> {
    let median = median_slowdown(rated);
    let mut best: Option<(f64, RatedCandidate)> = None;
    for rated in rated {
        let cost_ms = rated.cost_ms(median) * (1.0 + JITTER * rng.random::<f64>());
        if best.is_none_or(|(least_ms, _)| cost_ms < least_ms) {
            best = Some((cost_ms, *rated));
        }
    }
    best.map(|(_, rated)| rated)
}
