//! Placing: which worker gets a request.
//!
//! Near workers first, since bytes between availability zones and regions are paid for. A
//! request spills over to a farther tier only while every nearer worker is full. Within a
//! tier two random workers are compared by load, so that daemons with views of different age
//! do not all choose the same one.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::{Rng, RngExt};

use crate::model::{Distance, TimeMs};

/// Load up to which a worker in the same zone is taken before the rest of the region.
const ZONE_FULL: f64 = 0.8;
/// Load up to which the own region is taken before others.
const REGION_FULL: f64 = 1.0;
/// Load up to which workers of other regions are taken at all, unless all are fuller.
const REMOTE_FULL: f64 = 0.9;
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
/// Time in which a failure rate halves, so that a worker that has recovered is tried again,
/// in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;
/// A worker that takes so many times as long as the quickest of its tier counts as slow.
const SLOW_FACTOR: f64 = 4.0;

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

    fn failure_rate(&self, now: TimeMs) -> f64 {
        let age_ms = now.since_ms(self.judged) as f64;
        self.failure_rate * 0.5_f64.powf(age_ms / FAILURE_HALF_LIFE_MS)
    }
}

/// What this daemon knows about the load and the failures of each worker.
#[derive(Debug, Default)]
pub struct Placing {
    views: HashMap<SocketAddr, View>,
}

/// The tiers in the order in which they fill.
const TIERS: [(Distance, f64); 3] = [
    (Distance::SameZone, ZONE_FULL),
    (Distance::SameRegion, REGION_FULL),
    (Distance::OtherRegion, REMOTE_FULL),
];

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
        let sound: Vec<Rated> = open.iter().copied().filter(|rated| !rated.avoided).collect();
        let rated = if sound.is_empty() { &open } else { &sound };
        let good: Vec<Rated> = without_outliers(rated);
        choose_by_tier(&good, rng)
            .or_else(|| least_loaded(rated, rng))
            .map(|rated| rated.candidate)
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
            grey: view.failure_rate(now) >= GREY_RATE,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Rated {
    candidate: Candidate,
    load: f64,
    mean_ms: f64,
    avoided: bool,
    grey: bool,
}

/// The workers but for the failing and the slow ones, unless that leaves fewer than half.
fn without_outliers(rated: &[Rated]) -> Vec<Rated> {
    let known = rated.iter().filter(|rated| rated.mean_ms > 0.0);
    let quickest_ms = known.map(|rated| rated.mean_ms).fold(f64::MAX, f64::min);
    let is_good =
        |rated: &&Rated| !rated.grey && rated.mean_ms <= quickest_ms.max(1.0) * SLOW_FACTOR;
    let good: Vec<Rated> = rated.iter().filter(is_good).copied().collect();
    if good.len() * 2 < rated.len() {
        return rated.to_vec();
    }
    good
}

fn choose_by_tier(rated: &[Rated], rng: &mut impl Rng) -> Option<Rated> {
    for (distance, full) in TIERS {
        let tier: Vec<Rated> = rated
            .iter()
            .filter(|rated| rated.candidate.distance == distance && rated.load < full)
            .copied()
            .collect();
        let own = tier.iter().find(|rated| rated.candidate.is_own);
        if let Some(own) = own {
            return Some(*own);
        }
        if let Some(chosen) = better_of_two(&tier, rng) {
            return Some(chosen);
        }
    }
    None
}

fn better_of_two(tier: &[Rated], rng: &mut impl Rng) -> Option<Rated> {
    match tier {
        [] => None,
        [only] => Some(*only),
        _ => {
            let one = rng.random_range(0..tier.len());
            let other = (one + rng.random_range(1..tier.len())) % tier.len();
            let (one, other) = (tier[one], tier[other]);
            Some(if one.load <= other.load { one } else { other })
        }
    }
}

/// The least loaded of all, nearer ones a little ahead.
fn least_loaded(rated: &[Rated], rng: &mut impl Rng) -> Option<Rated> {
    let start = if rated.is_empty() {
        0
    } else {
        rng.random_range(0..rated.len())
    };
    let turned = rated.iter().cycle().skip(start).take(rated.len());
    turned
        .min_by(|one, other| handicap(one).total_cmp(&handicap(other)))
        .copied()
}

fn handicap(rated: &Rated) -> f64 {
    let distance = match rated.candidate.distance {
        Distance::SameZone => 0.0,
        Distance::SameRegion => 0.05,
        Distance::OtherRegion => 0.2,
    };
    rated.load + distance
}
