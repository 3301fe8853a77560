//! Placing: which worker gets a request.
//!
//! Each worker has a cost in milliseconds: the wait expected there, part of the time that it
//! takes, and what its distance is worth. Bytes between availability zones and regions are paid
//! for, so a farther worker is taken only if it spares more waiting than its distance is worth.
//!
//! The load that this answers: zones whose workers differ in speed fill up one by one while
//! others have room.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::{Rng, RngExt};

use super::retry_budget::Arrivals;
use crate::model::{Distance, ServiceName, TimeMs};

/// Load from which requests begin to wait for each other, as a part of the limit.
const BUSY_LOAD: f64 = 0.75;
/// Wait at a worker that is full but has no queue, in milliseconds.
const BUSY_COST_MS: f64 = 5.0;
/// What each multiple of the usual time on a request is worth, in milliseconds of waiting.
const SLOW_COST_MS: f64 = 10.0;
/// Time that a worker is taken to need before it has said, in milliseconds.
const UNKNOWN_MEAN_MS: f64 = 20.0;
/// What another VM of the availability zone is worth, in milliseconds of waiting.
const OTHER_VM_COST_MS: f64 = 1.0;
/// What another availability zone of the region is worth, in milliseconds of waiting.
const REGION_COST_MS: f64 = 6.0;
/// What another region is worth, in milliseconds of waiting: two crossings of the link and the
/// bytes that are paid for.
const REMOTE_COST_MS: f64 = 25.0;
/// Spread of the costs between two daemons that see the same, so that they do not all choose
/// the same worker.
const JITTER: f64 = 0.2;
/// Time in which a load that was reported halves, for want of newer news, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 500.0;
/// First time for which a worker is avoided after a failure, in milliseconds.
const FIRST_AVOID_MS: u64 = 250;
/// Longest time for which a worker is avoided, in milliseconds.
const MAX_AVOID_MS: u64 = 4_000;
/// Doublings between the first and the longest time of avoidance.
const MAX_DOUBLINGS: u32 = 4;
/// Weight of one outcome in a worker's failure rate.
const FAILURE_WEIGHT: f64 = 0.08;
/// Failure rate from which a worker is taken only if no other has room.
const GREY_RATE: f64 = 0.2;
/// What a failed request is worth, in milliseconds of waiting: it is run again or lost. Where
/// most workers fail now and then, none is passed over, and this makes the difference.
const FAILURE_COST_MS: f64 = 50.0;
/// Age up to which a report says how much arrives that repeats, in milliseconds.
const REPEATS_AGE_MS: u64 = 2_000;
/// Time in which a failure rate halves, so that a worker that has recovered is tried again,
/// in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;
/// A worker that takes so many times the usual time is taken only if no other has room.
const SLOW_FACTOR: f64 = 3.0;
/// Weight of one answer in the usual time of its route and in a worker's slowness.
const TIME_WEIGHT: f64 = 0.1;
/// Shortest usual time that slowness is measured against, in milliseconds.
const MIN_USUAL_MS: f64 = 5.0;

/// A worker that could take the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The daemon beside it.
    pub address: SocketAddr,
    /// How far away it is.
    pub distance: Distance,
    /// Its slots.
    pub slots: u32,
    /// Whether it is the backend server beside this daemon.
    pub is_own: bool,
}

/// Load as a daemon reports it about its backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at a time.
    pub limit: u32,
    /// Mean time of a request, in milliseconds.
    pub mean_ms: u32,
    /// What has arrived there within the window of the retry budget.
    pub arrivals: Arrivals,
}

#[derive(Debug, Clone, Copy, Default)]
struct View {
    load: WorkerLoad,
    reported: TimeMs,
    sent_since: u32,
    in_flight: u32,
    failures_in_row: u32,
    avoid_until: TimeMs,
    failure_rate: f64,
    judged: TimeMs,
    /// Time on a request as a multiple of the usual one, less 1.
    slowness: f64,
    timed: TimeMs,
}

impl View {
    fn utilization(&self, now: TimeMs, slots: u32) -> f64 {
        let limit = match self.load.limit {
            0 => slots,
            limit => limit,
        };
        let age_ms = now.since_ms(self.reported) as f64;
        let fresh = 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS);
        let reported = f64::from(self.load.running + self.load.waiting) * fresh;
        let busy = (reported + f64::from(self.sent_since)).max(f64::from(self.in_flight));
        busy / f64::from(limit.max(1))
    }

    fn slowness(&self, now: TimeMs) -> f64 {
        let age_ms = now.since_ms(self.timed) as f64;
        self.slowness * 0.5_f64.powf(age_ms / FAILURE_HALF_LIFE_MS)
    }

    fn failure_rate(&self, now: TimeMs) -> f64 {
        let age_ms = now.since_ms(self.judged) as f64;
        self.failure_rate * 0.5_f64.powf(age_ms / FAILURE_HALF_LIFE_MS)
    }
}

/// What this daemon knows about the load and the failures of each worker.
#[derive(Debug, Default)]
pub struct Placing {
    views: HashMap<SocketAddr, View>,
    /// Usual time of a route's requests at any worker, in milliseconds.
    usual_ms: HashMap<ServiceName, f64>,
}

impl Placing {
    /// Chooses a worker that was not tried yet; none if there is none that may be tried.
    pub fn choose(
        &self,
        now: TimeMs,
        candidates: &[Candidate],
        tried: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        let open: Vec<Rated> = candidates
            .iter()
            .filter(|candidate| !tried.contains(&candidate.address))
            .map(|candidate| self.rate(now, candidate))
            .collect();
        let sound: Vec<Rated> = open
            .iter()
            .copied()
            .filter(|rated| !rated.avoided)
            .collect();
        let rated = if sound.is_empty() { &open } else { &sound };
        let good: Vec<Rated> = without_outliers(rated);
        cheapest(&good, rng).map(|rated| rated.candidate)
    }

    /// The load of a worker as this daemon sees it, as a part of its limit, and the age of the
    /// report behind it in milliseconds; none if it has never reported.
    pub fn view(&self, now: TimeMs, candidate: &Candidate) -> (f64, Option<u64>) {
        let view = self.views.get(&candidate.address);
        let view = view.copied().unwrap_or_default();
        let load = view.utilization(now, candidate.slots);
        let has_reported = view.reported > TimeMs(0);
        (load, has_reported.then(|| now.since_ms(view.reported)))
    }

    /// What arrives at these workers together, judged by those that have said so lately.
    pub fn arrivals(&self, now: TimeMs, workers: impl Iterator<Item = SocketAddr>) -> Arrivals {
        let (mut all, mut fresh) = (0_u32, 0_u32);
        let mut sum = Arrivals::default();
        for address in workers {
            all += 1;
            let view = self.views.get(&address).copied().unwrap_or_default();
            let is_fresh = now.since_ms(view.reported) <= REPEATS_AGE_MS;
            if view.reported > TimeMs(0) && is_fresh {
                fresh += 1;
                sum.requests += view.load.arrivals.requests;
                sum.repeats += view.load.arrivals.repeats;
            }
        }
        let times = f64::from(all) / f64::from(fresh.max(1));
        Arrivals {
            requests: sum.requests * times,
            repeats: sum.repeats * times,
        }
    }

    /// Takes in that a request was sent.
    pub fn sent(&mut self, address: SocketAddr) {
        let view = self.views.entry(address).or_default();
        view.sent_since += 1;
        view.in_flight += 1;
    }

    /// Takes in that a request has ended, however it did.
    pub fn ended(&mut self, address: SocketAddr) {
        let view = self.views.entry(address).or_default();
        view.in_flight = view.in_flight.saturating_sub(1);
    }

    /// Takes in a reported load.
    pub fn reported(&mut self, now: TimeMs, address: SocketAddr, load: WorkerLoad) {
        let view = self.views.entry(address).or_default();
        view.load = load;
        view.reported = now;
        view.sent_since = 0;
        view.failures_in_row = 0;
        view.avoid_until = TimeMs(0);
    }

    /// Takes in how the worker itself did with a request.
    pub fn judged(&mut self, now: TimeMs, address: SocketAddr, succeeded: bool) {
        let view = self.views.entry(address).or_default();
        let before = view.failure_rate(now);
        let outcome = if succeeded { 0.0 } else { 1.0 };
        view.failure_rate = before + (outcome - before) * FAILURE_WEIGHT;
        view.judged = now;
    }

    /// Takes in how long a worker took for a request. Workers are compared on the same route,
    /// since routes of one service differ in the time they take.
    pub fn took(&mut self, now: TimeMs, address: SocketAddr, route: &ServiceName, took_ms: u64) {
        let took_ms = took_ms as f64;
        let usual_ms = match self.usual_ms.get_mut(route) {
            Some(usual_ms) => usual_ms,
            None => self.usual_ms.entry(route.clone()).or_insert(took_ms),
        };
        let times = took_ms / usual_ms.max(MIN_USUAL_MS);
        // One very slow worker must not pass for the usual.
        *usual_ms += (took_ms.min(*usual_ms * 2.0 + MIN_USUAL_MS) - *usual_ms) * TIME_WEIGHT;
        let view = self.views.entry(address).or_default();
        view.slowness += (times - 1.0 - view.slowness) * TIME_WEIGHT;
        view.timed = now;
    }

    /// Takes in that the daemon could not be reached or has broken off; returns how long it
    /// is avoided, in milliseconds.
    pub fn unreachable(&mut self, now: TimeMs, address: SocketAddr) -> u64 {
        let view = self.views.entry(address).or_default();
        if now < view.avoid_until {
            return view.avoid_until.since_ms(now);
        }
        let doublings = view.failures_in_row.min(MAX_DOUBLINGS);
        let avoid_ms = (FIRST_AVOID_MS << doublings).min(MAX_AVOID_MS);
        view.failures_in_row += 1;
        view.avoid_until = now.plus_ms(avoid_ms);
        avoid_ms
    }

    /// Takes in that the daemon says its backend server takes no work for now.
    pub fn closed(&mut self, now: TimeMs, address: SocketAddr, for_ms: u64) {
        let view = self.views.entry(address).or_default();
        view.avoid_until = now.plus_ms(for_ms);
    }

    /// Forgets a worker, as when another has taken its place.
    pub fn forget(&mut self, address: SocketAddr) {
        if let Some(view) = self.views.get_mut(&address) {
            let in_flight = view.in_flight;
            *view = View {
                in_flight,
                ..View::default()
            };
        }
    }

    fn rate(&self, now: TimeMs, candidate: &Candidate) -> Rated {
        let view = self.views.get(&candidate.address);
        let view = view.copied().unwrap_or_default();
        Rated {
            candidate: *candidate,
            load: view.utilization(now, candidate.slots),
            mean_ms: f64::from(view.load.mean_ms),
            avoided: now < view.avoid_until,
            failure_rate: view.failure_rate(now),
            times: 1.0 + view.slowness(now),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Rated {
    candidate: Candidate,
    load: f64,
    mean_ms: f64,
    avoided: bool,
    failure_rate: f64,
    /// Time on a request as a multiple of the usual one.
    times: f64,
}

impl Rated {
    fn cost_ms(&self, usual_times: f64) -> f64 {
        let mean_ms = if self.mean_ms > 0.0 {
            self.mean_ms
        } else {
            UNKNOWN_MEAN_MS
        };
        let queued_ms = (self.load - 1.0).max(0.0) * mean_ms;
        let busy = ((self.load - BUSY_LOAD) / (1.0 - BUSY_LOAD)).clamp(0.0, 1.0);
        let distance_ms = match self.candidate.distance {
            _ if self.candidate.is_own => 0.0,
            Distance::SameZone => OTHER_VM_COST_MS,
            Distance::SameRegion => REGION_COST_MS,
            Distance::OtherRegion => REMOTE_COST_MS,
        };
        let slow_ms = (self.times / usual_times - 1.0).max(0.0) * SLOW_COST_MS;
        let failed_ms = self.failure_rate * FAILURE_COST_MS;
        queued_ms + busy * BUSY_COST_MS + slow_ms + failed_ms + distance_ms
    }
}

/// The workers but for the failing and the slow ones, unless that leaves fewer than half.
fn without_outliers(rated: &[Rated]) -> Vec<Rated> {
    let usual = usual_times(rated);
    let is_good =
        |rated: &&Rated| rated.failure_rate < GREY_RATE && rated.times <= usual * SLOW_FACTOR;
    let good: Vec<Rated> = rated.iter().filter(is_good).copied().collect();
    if good.len() * 2 < rated.len() {
        return rated.to_vec();
    }
    good
}

/// The lower median of the workers' times, which a few slow ones do not move.
fn usual_times(rated: &[Rated]) -> f64 {
    let mut times: Vec<f64> = rated.iter().map(|rated| rated.times).collect();
    times.sort_by(f64::total_cmp);
    times
        .get(times.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(1.0)
}

fn cheapest(rated: &[Rated], rng: &mut impl Rng) -> Option<Rated> {
    let usual = usual_times(rated);
    let mut best: Option<(f64, Rated)> = None;
    for rated in rated {
        let cost_ms = rated.cost_ms(usual) * (1.0 + JITTER * rng.random::<f64>());
        if best.is_none_or(|(least_ms, _)| cost_ms < least_ms) {
            best = Some((cost_ms, *rated));
        }
    }
    best.map(|(_, rated)| rated)
}
