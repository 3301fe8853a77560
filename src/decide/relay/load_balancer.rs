//! Load balancing: chooses the worker that gets a request.
//!
//! Each worker has a cost in milliseconds: the expected wait, plus penalties for slowness,
//! failures and distance. Traffic between availability zones and regions is billed, so a remote
//! worker is chosen only if it saves more waiting than its distance penalty.
//!
//! The expected wait counts because in zones whose workers differ in speed, workers otherwise
//! fill up one by one while others have free slots.

mod cost;
mod expected_time;
mod round_trip;
mod stats;
mod trend;

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::Rng;

use self::cost::{RatedCandidate, cheapest, without_outliers};
pub use self::expected_time::{Placement, PlacementRequest};
pub use self::round_trip::PlaceKey;
use self::round_trip::RoundTrips;
use self::stats::WorkerStats;
use super::retry_budget::Arrivals;
use crate::model::{Distance, ServiceName, TimeMs};

/// Initial backoff from an unreachable worker, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 250;
/// Maximum backoff from an unreachable worker, in milliseconds.
const MAX_BACKOFF_MS: u64 = 4_000;
/// Number of doublings from the initial to the maximum backoff.
const MAX_DOUBLINGS: u32 = 4;
/// Weight of the newest outcome in a worker's failure rate, a moving average.
const FAILURE_WEIGHT: f64 = 0.08;
/// Maximum age of a load report whose arrivals are used, in milliseconds.
const MAX_ARRIVALS_AGE_MS: u64 = 2_000;
/// Maximum age of a stated speed that is used, in milliseconds.
const MAX_SPEED_AGE_MS: u64 = 2_000;
/// Weight of the newest duration in the moving averages of routes and workers.
const DURATION_WEIGHT: f64 = 0.1;
/// Lower bound for the durations that slowness is computed from, in milliseconds.
const MIN_TYPICAL_MS: f64 = 5.0;

/// A worker that may be chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Hop address of its daemon.
    pub address: SocketAddr,
    /// Distance from this daemon.
    pub distance: Distance,
    /// Its availability zone.
    pub place: PlaceKey,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is the backend server on this VM.
    pub is_own: bool,
}

/// Load of a backend server as its daemon reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests; 0 if not reported.
    pub limit: u32,
    /// Mean request duration, in milliseconds; 0 if not reported.
    pub mean_ms: u32,
    /// Time that a rate limit makes the next request wait, in milliseconds.
    pub rate_wait_ms: u64,
    /// Requests that arrived there within the window of the retry budget.
    pub arrivals: Arrivals,
    /// Usual duration of a route over all workers of the service, divided by the duration on this
    /// worker, as a mean over recent requests; 2 is twice as fast as usual. `None` if its daemon does
    /// not estimate it.
    pub speed: Option<f64>,
}

/// Load, latency and failures of each worker, as this daemon observes them.
#[derive(Debug, Default)]
pub struct LoadBalancer {
    stats: HashMap<SocketAddr, WorkerStats>,
    /// Typical request duration by route over all workers, in milliseconds.
    typical_ms: HashMap<ServiceName, f64>,
    /// Mean duration by route on a worker of speed 1, in milliseconds, from the workers that state
    /// their speed.
    usual_ms: HashMap<ServiceName, f64>,
    round_trips: RoundTrips,
}

impl LoadBalancer {
    /// Chooses the cheapest worker that is not in `tried`, or `None` if all were tried. Avoided
    /// workers and outliers are chosen only if too few others are left.
    pub fn choose(
        &self,
        now: TimeMs,
        candidates: &[Candidate],
        tried: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        let untried: Vec<RatedCandidate> = candidates
            .iter()
            .filter(|candidate| !tried.contains(&candidate.address))
            .map(|candidate| self.rate(now, candidate))
            .collect();
        let available: Vec<RatedCandidate> = untried
            .iter()
            .copied()
            .filter(|rated| !rated.is_avoided)
            .collect();
        let rated = if available.is_empty() {
            &untried
        } else {
            &available
        };
        let good: Vec<RatedCandidate> = without_outliers(rated);
        cheapest(&good, rng).map(|rated| rated.candidate)
    }

    /// Estimated utilization of a worker relative to its limit, and the age of its last load
    /// report in milliseconds; `None` if it has never reported.
    pub fn utilization(&self, now: TimeMs, candidate: &Candidate) -> (f64, Option<u64>) {
        let worker = self.stats.get(&candidate.address);
        let worker = worker.copied().unwrap_or_default();
        let utilization = worker.utilization(now, candidate.slots);
        let has_reported = worker.reported_at > TimeMs(0);
        (
            utilization,
            has_reported.then(|| now.since_ms(worker.reported_at)),
        )
    }

    /// Total arrivals at these workers, extrapolated from those with a recent report.
    pub fn arrivals(&self, now: TimeMs, workers: impl Iterator<Item = SocketAddr>) -> Arrivals {
        let (mut all, mut fresh) = (0_u32, 0_u32);
        let mut sum = Arrivals::default();
        for address in workers {
            all += 1;
            let worker = self.stats.get(&address).copied().unwrap_or_default();
            let is_fresh = now.since_ms(worker.reported_at) <= MAX_ARRIVALS_AGE_MS;
            if worker.reported_at > TimeMs(0) && is_fresh {
                fresh += 1;
                sum.requests += worker.load.arrivals.requests;
                sum.retries += worker.load.arrivals.retries;
            }
        }
        let scale = f64::from(all) / f64::from(fresh.max(1));
        Arrivals {
            requests: sum.requests * scale,
            retries: sum.retries * scale,
        }
    }

    /// Usual duration of a route over all workers, in milliseconds, for a worker that compares its
    /// own durations with it; `None` if the worker has not stated a speed recently.
    pub fn usual_ms(&self, now: TimeMs, address: SocketAddr, route: &ServiceName) -> Option<u32> {
        let worker = self.stats.get(&address)?;
        worker.load.speed?;
        let is_recent = now.since_ms(worker.reported_at) <= MAX_SPEED_AGE_MS;
        let usual_ms = self.typical_ms.get(route).filter(|_| is_recent)?;
        Some(usual_ms.round().max(1.0) as u32)
    }

    /// Records that a request was sent to a worker.
    pub fn sent(&mut self, address: SocketAddr) {
        let worker = self.stats.entry(address).or_default();
        worker.sent_since_report += 1;
        worker.in_flight += 1;
    }

    /// Records that a request to a worker has ended, whatever its outcome.
    pub fn ended(&mut self, address: SocketAddr) {
        let worker = self.stats.entry(address).or_default();
        worker.in_flight = worker.in_flight.saturating_sub(1);
    }

    /// Records a load report, which also ends any backoff from the worker.
    pub fn reported(&mut self, now: TimeMs, address: SocketAddr, load: WorkerLoad) {
        let worker = self.stats.entry(address).or_default();
        worker.trend.record(now, &load);
        worker.load = load;
        worker.reported_at = now;
        worker.sent_since_report = 0;
        worker.consecutive_failures = 0;
        worker.avoid_until = TimeMs(0);
    }

    /// Records whether the worker itself handled a request without failure; the failure of a nested
    /// call is not the worker's.
    pub fn record_outcome(&mut self, now: TimeMs, address: SocketAddr, succeeded: bool) {
        let worker = self.stats.entry(address).or_default();
        let before = worker.failure_rate(now);
        let outcome = if succeeded { 0.0 } else { 1.0 };
        worker.failure_rate = before + (outcome - before) * FAILURE_WEIGHT;
        worker.failure_rate_at = now;
    }

    /// Records the duration of a request. It is compared with other workers on the same route,
    /// since the routes of one service differ in their durations.
    pub fn record_duration(
        &mut self,
        now: TimeMs,
        address: SocketAddr,
        route: &ServiceName,
        took_ms: u64,
    ) {
        let took_ms = took_ms as f64;
        self.record_usual(now, address, route, took_ms);
        let typical_ms = match self.typical_ms.get_mut(route) {
            Some(typical_ms) => typical_ms,
            None => self.typical_ms.entry(route.clone()).or_insert(took_ms),
        };
        // Shorter durations are not told apart; otherwise a worker that answers at once would make
        // one without measurements look slow.
        let slowdown = took_ms.max(MIN_TYPICAL_MS) / typical_ms.max(MIN_TYPICAL_MS);
        // Caps the sample so that one very slow worker does not raise the typical duration.
        *typical_ms +=
            (took_ms.min(*typical_ms * 2.0 + MIN_TYPICAL_MS) - *typical_ms) * DURATION_WEIGHT;
        let worker = self.stats.entry(address).or_default();
        worker.slowness += (slowdown - 1.0 - worker.slowness) * DURATION_WEIGHT;
        worker.slowness_at = now;
    }

    /// Records the time of a hop less the time that the server took, in milliseconds, if the reply
    /// shows that nothing waits there.
    pub fn record_round_trip(&mut self, candidate: &Candidate, load: &WorkerLoad, rest_ms: u64) {
        if load.waiting == 0 && load.running < load.limit && !candidate.is_own {
            self.round_trips.record(candidate.place, rest_ms);
        }
    }

    /// Records that a daemon could not be reached or closed the connection early; returns the
    /// backoff in milliseconds.
    pub fn unreachable(&mut self, now: TimeMs, address: SocketAddr) -> u64 {
        let worker = self.stats.entry(address).or_default();
        if now < worker.avoid_until {
            return worker.avoid_until.since_ms(now);
        }
        let doublings = worker.consecutive_failures.min(MAX_DOUBLINGS);
        let backoff_ms = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        worker.consecutive_failures += 1;
        worker.avoid_until = now.plus_ms(backoff_ms);
        backoff_ms
    }

    /// Avoids a worker for `for_ms`, since its daemon says that it accepts no requests for now.
    pub fn avoid_for(&mut self, now: TimeMs, address: SocketAddr, for_ms: u64) {
        let worker = self.stats.entry(address).or_default();
        worker.avoid_until = now.plus_ms(for_ms);
    }

    /// Resets the statistics of a worker, as when another backend process has replaced it. The
    /// count of requests in flight stays.
    pub fn forget(&mut self, address: SocketAddr) {
        if let Some(worker) = self.stats.get_mut(&address) {
            let in_flight = worker.in_flight;
            *worker = WorkerStats {
                in_flight,
                ..WorkerStats::default()
            };
        }
    }

    /// Records the duration that the request would have had on a worker of speed 1.
    fn record_usual(
        &mut self,
        now: TimeMs,
        address: SocketAddr,
        route: &ServiceName,
        took_ms: f64,
    ) {
        let worker = self.stats.get(&address);
        let Some(speed) = worker.and_then(|worker| worker.trend.speed(now)) else {
            return;
        };
        let sample_ms = took_ms * speed;
        match self.usual_ms.get_mut(route) {
            Some(usual_ms) => *usual_ms += (sample_ms - *usual_ms) * DURATION_WEIGHT,
            None => {
                self.usual_ms.insert(route.clone(), sample_ms);
            }
        }
    }

    fn rate(&self, now: TimeMs, candidate: &Candidate) -> RatedCandidate {
        let worker = self.stats.get(&candidate.address);
        let worker = worker.copied().unwrap_or_default();
        RatedCandidate {
            candidate: *candidate,
            utilization: worker.utilization(now, candidate.slots),
            mean_ms: f64::from(worker.load.mean_ms),
            rate_wait_ms: worker.rate_wait_ms(now),
            is_avoided: now < worker.avoid_until,
            failure_rate: worker.failure_rate(now),
            slowdown: 1.0 + worker.slowness(now),
        }
    }
}
