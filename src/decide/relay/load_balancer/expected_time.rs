//! Choice of a worker by the expected time until completion, where workers of the service state
//! their speed.
//!
//! Reports are up to half a second old, and some 80 daemons choose by them, so that a worker that
//! looks best would get all requests at once. Three rules prevent this. Two candidates are drawn at
//! random, in proportion to what each can serve, and the better one is only more likely to be
//! chosen. The zone that they are drawn from depends on utilizations that are smoothed over more
//! than the age of a report. A utilization that is not known is assumed to be a middle one.

use std::net::SocketAddr;

use rand::{Rng, RngExt};

use super::cost::{
    DEFAULT_MEAN_MS, FAILURE_COST_MS, OUTLIER_FAILURE_RATE, distance_cost_ms, keep_most,
};
use super::{Candidate, LoadBalancer};
use crate::model::{Distance, ServiceName, TimeMs};

/// Cost of a full worker, as a multiple of its service time; it grows with the fourth power of the
/// utilization. It is above the expected wait, since a request at a busy worker also makes those
/// after it wait, and reports of a worker that is about to be full come late. At 1.2 times its
/// limit, the fastest of four workers (speed 1.5) costs more than the slowest (0.5) at half of it.
const CONGESTION_COST: f64 = 2.0;
/// Power of the costs of two candidates that their odds are in proportion to: twice the cost is
/// chosen once in 5 times. With a power of 4, servers were above 1.2 times their limit beside ones
/// under half of it twice as often, with reports up to 450 ms late (tests/uneven_servers.rs).
const ODDS_POWER: i32 = 2;
/// Excess in cost, as a multiple of the service time, at which requests are spread over this and a
/// farther zone in proportion to what both can serve.
const SPREAD_EXCESS: f64 = 2.0;
/// Largest request body that is sent to another region if a worker of this one is usable, in bytes.
const MAX_REMOTE_BODY_BYTES: u64 = 16 * 1024;

/// A request for which a worker is chosen.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Its route.
    pub route: &'a ServiceName,
    /// Time left until the latency objective of the route, in milliseconds.
    pub objective_left_ms: u64,
    /// Size of its body as far as it is known, in bytes.
    pub body_bytes: u64,
}

/// A chosen worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Placement {
    /// The worker.
    pub candidate: Candidate,
    /// Expected time until the answer arrives, in milliseconds; `None` if no worker of the service
    /// states its speed.
    pub expected_ms: Option<f64>,
}

/// What is expected of one candidate.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    candidate: Candidate,
    is_avoided: bool,
    /// Requests that it serves in a millisecond.
    capacity: f64,
    wait_ms: f64,
    service_ms: f64,
    round_trip_ms: f64,
    utilization: f64,
    smoothed_utilization: f64,
    failure_rate: f64,
}

impl Estimate {
    fn expected_ms(&self) -> f64 {
        self.wait_ms + self.service_ms + self.round_trip_ms
    }

    /// Cost among the workers of one zone or region.
    fn cost_ms(&self) -> f64 {
        self.expected_ms()
            + congestion_cost_ms(self.service_ms, self.utilization)
            + self.failure_rate * FAILURE_COST_MS
            + distance_cost_ms(&self.candidate)
    }
}

fn congestion_cost_ms(service_ms: f64, utilization: f64) -> f64 {
    service_ms * CONGESTION_COST * utilization.powi(4)
}

/// Candidates at the same distance, as a mean weighted by what each can serve.
#[derive(Debug, Clone, Copy, Default)]
struct Tier {
    capacity: f64,
    service_ms: f64,
    utilization: f64,
    expected_ms: f64,
    /// Cost apart from congestion: service, round trip, failures and distance.
    base_cost_ms: f64,
}

impl Tier {
    fn of(estimates: &[Estimate], distance: Distance) -> Option<Tier> {
        let mut tier = Tier::default();
        let members = estimates
            .iter()
            .filter(|estimate| estimate.candidate.distance == distance);
        for estimate in members {
            let base_cost_ms = estimate.service_ms
                + estimate.round_trip_ms
                + estimate.failure_rate * FAILURE_COST_MS
                + distance_cost_ms(&estimate.candidate);
            tier.capacity += estimate.capacity;
            tier.service_ms += estimate.capacity * estimate.service_ms;
            tier.utilization += estimate.capacity * estimate.smoothed_utilization;
            tier.expected_ms += estimate.capacity * estimate.expected_ms();
            tier.base_cost_ms += estimate.capacity * base_cost_ms;
        }
        if tier.capacity <= 0.0 {
            return None;
        }
        tier.service_ms /= tier.capacity;
        tier.utilization /= tier.capacity;
        tier.expected_ms /= tier.capacity;
        tier.base_cost_ms /= tier.capacity;
        Some(tier)
    }

    fn cost_ms(&self) -> f64 {
        self.base_cost_ms + congestion_cost_ms(self.service_ms, self.utilization)
    }

    /// Fraction of the requests that a farther tier gets instead of this one.
    fn fraction_for(&self, farther: &Tier) -> f64 {
        let excess_ms = self.cost_ms() - farther.cost_ms();
        let by_capacity = farther.capacity / (self.capacity + farther.capacity);
        by_capacity * (excess_ms / (self.service_ms * SPREAD_EXCESS)).clamp(0.0, 1.0)
    }
}

impl LoadBalancer {
    /// Chooses a worker that is not in `tried`, or returns `None` if all were tried: by the
    /// expected time until completion if a worker of the service states its speed, else as
    /// [`LoadBalancer::choose`].
    pub fn place(
        &self,
        now: TimeMs,
        request: PlacementRequest<'_>,
        candidates: &[Candidate],
        tried: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<Placement> {
        let states_speed = |candidate: &Candidate| {
            let worker = self.stats.get(&candidate.address);
            worker.is_some_and(|worker| worker.load.speed.is_some())
        };
        if !candidates.iter().any(states_speed) {
            let candidate = self.choose(now, candidates, tried, rng)?;
            return Some(Placement {
                candidate,
                expected_ms: None,
            });
        }
        let usual_ms = self.usual_ms.get(request.route).copied();
        let mut estimates: Vec<Estimate> = candidates
            .iter()
            .filter(|candidate| !tried.contains(&candidate.address))
            .map(|candidate| self.estimate(now, candidate, usual_ms))
            .collect();
        if estimates.iter().any(|estimate| !estimate.is_avoided) {
            estimates.retain(|estimate| !estimate.is_avoided);
        }
        keep_most(&mut estimates, |estimate| {
            estimate.failure_rate < OUTLIER_FAILURE_RATE
        });
        let is_remote = |candidate: &Candidate| candidate.distance != Distance::SameZone;
        let tried_remote = candidates
            .iter()
            .any(|candidate| is_remote(candidate) && tried.contains(&candidate.address));
        let distance = choose_distance(&estimates, request, tried_remote, rng)?;
        estimates.retain(|estimate| estimate.candidate.distance == distance);
        let chosen = one_of_two(&mut estimates, rng)?;
        Some(Placement {
            candidate: chosen.candidate,
            expected_ms: Some(chosen.expected_ms()),
        })
    }

    fn estimate(&self, now: TimeMs, candidate: &Candidate, usual_ms: Option<f64>) -> Estimate {
        let worker = self.stats.get(&candidate.address);
        let worker = worker.copied().unwrap_or_default();
        let limit = worker.limit(candidate.slots);
        let speed = worker.trend.speed(now);
        let speed = speed.unwrap_or_else(|| 1.0 / (1.0 + worker.slowness(now)));
        let reported_mean_ms = f64::from(worker.load.mean_ms);
        let service_ms = match usual_ms {
            Some(usual_ms) => usual_ms / speed,
            None if reported_mean_ms > 0.0 => reported_mean_ms,
            None => DEFAULT_MEAN_MS / speed,
        };
        let mean_ms = if reported_mean_ms > 0.0 {
            reported_mean_ms
        } else {
            service_ms
        };
        let utilization = worker.expected_utilization(now, candidate.slots, service_ms);
        let queue_wait_ms = (utilization + 1.0 / limit - 1.0).max(0.0) * mean_ms;
        let round_trip_ms = if candidate.is_own {
            0.0
        } else {
            let measured_ms = self.round_trips.to(candidate.place);
            measured_ms.unwrap_or_else(|| distance_cost_ms(candidate))
        };
        Estimate {
            candidate: *candidate,
            is_avoided: now < worker.avoid_until,
            capacity: limit * speed,
            wait_ms: queue_wait_ms.max(worker.rate_wait_ms(now)),
            service_ms,
            round_trip_ms,
            utilization,
            smoothed_utilization: worker.trend.utilization(now),
            failure_rate: worker.failure_rate(now),
        }
    }
}

/// Chooses between the workers of this zone, of the region's other zones and of other regions. A
/// request that has failed in another zone is offered to the nearest workers, since that zone may be
/// unreachable.
fn choose_distance(
    estimates: &[Estimate],
    request: PlacementRequest<'_>,
    tried_remote: bool,
    rng: &mut impl Rng,
) -> Option<Distance> {
    let own = Tier::of(estimates, Distance::SameZone);
    let region = Tier::of(estimates, Distance::SameRegion);
    let (nearest, home) = match (own, region) {
        (Some(own), _) => (Distance::SameZone, own),
        (None, Some(region)) => (Distance::SameRegion, region),
        (None, None) => return estimates.first().map(|only| only.candidate.distance),
    };
    if tried_remote {
        return Some(nearest);
    }
    let mut point = rng.random::<f64>();
    if nearest == Distance::SameZone
        && let Some(region) = region
    {
        point -= home.fraction_for(&region);
        if point < 0.0 {
            return Some(Distance::SameRegion);
        }
    }
    if request.body_bytes > MAX_REMOTE_BODY_BYTES {
        return Some(nearest);
    }
    let remote = Tier::of(estimates, Distance::OtherRegion);
    let meets_objective = |tier: &Tier| tier.expected_ms <= request.objective_left_ms as f64;
    if let Some(remote) = remote.filter(meets_objective) {
        point -= home.fraction_for(&remote);
        if point < 0.0 {
            return Some(Distance::OtherRegion);
        }
    }
    Some(nearest)
}

/// Draws two candidates in proportion to what they can serve and chooses one of them. The worker
/// on this VM, which needs no hop, is always one of the two.
fn one_of_two(estimates: &mut Vec<Estimate>, rng: &mut impl Rng) -> Option<Estimate> {
    let own = estimates
        .iter()
        .position(|estimate| estimate.candidate.is_own);
    let first = match own {
        Some(own) => own,
        None => draw(estimates, rng)?,
    };
    let one = estimates.swap_remove(first);
    let Some(second) = draw(estimates, rng) else {
        return Some(one);
    };
    let other = estimates[second];
    let ratio = one.cost_ms() / other.cost_ms().max(f64::MIN_POSITIVE);
    let odds_of_other = ratio.powi(ODDS_POWER);
    let is_other = rng.random::<f64>() * (1.0 + odds_of_other) < odds_of_other;
    Some(if is_other { other } else { one })
}

/// Draws an index in proportion to what the candidates can serve.
fn draw(estimates: &[Estimate], rng: &mut impl Rng) -> Option<usize> {
    let total: f64 = estimates.iter().map(|estimate| estimate.capacity).sum();
    let mut point = rng.random::<f64>() * total;
    for (index, estimate) in estimates.iter().enumerate() {
        point -= estimate.capacity;
        if point < 0.0 {
            return Some(index);
        }
    }
    estimates.len().checked_sub(1)
}
