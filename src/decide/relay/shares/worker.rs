//! The worker's side of load shedding: measures the demand for one backend server and computes which
//! shares of it can be served.

use std::collections::{BTreeMap, HashMap};

use super::level::OrganisationShares;
use super::organisation_demand::OrganisationDemands;
use super::{FULL_SHARE, MIN_SHARE, PriorityShares, RootRequest, ShareReport, rounded};
use crate::model::{ServiceName, TimeMs};

/// Time constant of the moving average of demand, in milliseconds.
const DEMAND_TIME_CONSTANT_MS: f64 = 500.0;
/// Minimum interval between two computations of the shares, in milliseconds.
const MIN_COMPUTE_INTERVAL_MS: u64 = 200;
/// Fraction of the capacity that is allocated; any rest is headroom for fluctuations.
const ALLOCATED_CAPACITY_RATIO: f64 = 1.0;
/// Share of each route that is admitted before higher priorities get more, so that none
/// starves.
const GUARANTEED_SHARE: f64 = 0.35;
/// Fraction of the capacity that these guaranteed shares may use in total; the rest goes to the
/// highest priority first.
const GUARANTEED_CAPACITY_RATIO: f64 = 0.4;
/// How long a share that has returned to 1 is still reported, in milliseconds.
const REPORT_LIFTED_MS: u64 = 1_500;
/// Factor on the allocated capacity after an interval with a standing queue or a refusal.
const CAPACITY_DECREASE_FACTOR: f64 = 0.93;
/// Added to the allocated fraction after an interval without either.
const CAPACITY_INCREASE: f64 = 0.04;
/// Lower bound of the allocated fraction of the capacity.
const MIN_CAPACITY_RATIO: f64 = 0.6;
/// Waiting requests per slot above which a queue counts as standing.
const STANDING_QUEUE_PER_SLOT: f64 = 0.25;

#[derive(Debug, Clone, Default)]
struct Demand {
    priority: u8,
    /// Whether it is that of organisations. Requests without an organisation count apart: a route
    /// has one priority for them, which a new configuration may change.
    is_of_organisations: bool,
    /// Slots that all root requests of the route would occupy; a moving average.
    slots: f64,
    /// Slot time demanded since the last computation, in milliseconds.
    arrived_ms: f64,
    share: f64,
    lifted_at: Option<TimeMs>,
}

impl Demand {
    /// Whether its share is below 1 or has been until shortly before.
    fn is_reported(&self, now: TimeMs) -> bool {
        let is_lifted = self
            .lifted_at
            .is_some_and(|at| now.since_ms(at) < REPORT_LIFTED_MS);
        self.share < FULL_SHARE || is_lifted
    }
}

/// Demand for one backend server by route and organisation, and the shares computed from it.
#[derive(Debug)]
pub struct WorkerShares {
    /// By route; the demands of one route differ in priority or kind.
    demands: HashMap<ServiceName, Vec<Demand>>,
    organisations: OrganisationDemands,
    /// Shares of the organisations of each scarce priority.
    divided: BTreeMap<u8, OrganisationShares>,
    computed_at: TimeMs,
    /// Fraction of the capacity that is allocated; lowered while it proves too high.
    capacity_ratio: f64,
    has_refused: bool,
}

impl Default for WorkerShares {
    fn default() -> WorkerShares {
        WorkerShares {
            demands: HashMap::new(),
            organisations: OrganisationDemands::default(),
            divided: BTreeMap::new(),
            computed_at: TimeMs(0),
            capacity_ratio: 1.0,
            has_refused: false,
        }
    }
}

/// The reporting worker and the state of its queue.
#[derive(Debug, Clone, Copy)]
pub struct Reporter<'a> {
    /// Service of the worker.
    pub service: &'a ServiceName,
    /// Identifies the worker within the service.
    pub worker: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Fraction of its capacity that a rate limit leaves, in 0..=1.
    pub capacity_ratio: f64,
    /// Number of waiting requests.
    pub waiting: usize,
}

impl WorkerShares {
    /// Records the arrival of a request that is expected to occupy a slot for `expected_ms`. That
    /// time is divided by the admitted share, so that the demand includes root requests that are
    /// shed at the entry.
    pub fn record_arrival(&mut self, root: &RootRequest, expected_ms: f64) {
        if !self.demands.contains_key(&root.route) {
            self.demands.insert(root.route.clone(), Vec::new());
        }
        let slot_ms = expected_ms / root.admitted_share();
        if let Some(demands) = self.demands.get_mut(&root.route) {
            let is_of_organisations = root.organisation.is_some();
            let found = demands.iter_mut().position(|demand| {
                demand.is_of_organisations == is_of_organisations
                    && (!is_of_organisations || demand.priority == root.priority)
            });
            let index = found.unwrap_or_else(|| {
                demands.push(Demand {
                    is_of_organisations,
                    share: 1.0,
                    ..Demand::default()
                });
                demands.len() - 1
            });
            demands[index].priority = root.priority;
            demands[index].arrived_ms += slot_ms;
        }
        if let Some(organisation) = &root.organisation {
            self.organisations
                .record(root.priority, organisation, slot_ms);
        }
    }

    /// Records that a request was refused because the queue was too long.
    pub fn record_refusal(&mut self) {
        self.has_refused = true;
    }

    /// The report to send, or `None` while all shares are 1.
    pub fn report(&mut self, now: TimeMs, reporter: Reporter<'_>) -> Option<ShareReport> {
        self.compute(now, reporter);
        let mut shares: Vec<(ServiceName, f64)> = Vec::new();
        let mut priorities: Vec<PriorityShares> = Vec::new();
        for (route, demand) in self.each_demand().filter(|(_, d)| d.is_reported(now)) {
            if !demand.is_of_organisations {
                shares.push((route.clone(), rounded(demand.share)));
                continue;
            }
            let known = priorities
                .iter_mut()
                .find(|known| known.priority == demand.priority);
            match known {
                Some(known) => known.routes.push(route.clone()),
                None => priorities.push(self.priority_shares(route, demand.priority)),
            }
        }
        let has_organisations = !self.organisations.is_empty();
        (!shares.is_empty() || !priorities.is_empty()).then(|| ShareReport {
            service: reporter.service.clone(),
            worker: reporter.worker,
            age_ms: now.since_ms(self.computed_at),
            shares,
            priorities: has_organisations.then_some(priorities),
            capacity_ratio: reporter.capacity_ratio,
        })
    }

    fn each_demand(&self) -> impl Iterator<Item = (&ServiceName, &Demand)> {
        let demands = self.demands.iter();
        demands.flat_map(|(route, demands)| demands.iter().map(move |demand| (route, demand)))
    }

    /// The shares to report for the organisations of a priority, so far with one route.
    fn priority_shares(&self, route: &ServiceName, priority: u8) -> PriorityShares {
        let divided = self.divided.get(&priority);
        PriorityShares {
            priority,
            routes: vec![route.clone()],
            common: divided.map_or(1.0, |divided| divided.common),
            listed: divided.map_or(Vec::new(), |divided| divided.listed.clone()),
        }
    }

    /// Slots that the whole demand would occupy, and the allocated fraction of the capacity.
    pub fn summary(&self) -> (f64, f64) {
        let demand = self.each_demand().map(|(_, demand)| demand.slots).sum();
        (demand, self.capacity_ratio)
    }

    fn compute(&mut self, now: TimeMs, reporter: Reporter<'_>) {
        let span_ms = now.since_ms(self.computed_at);
        if span_ms < MIN_COMPUTE_INTERVAL_MS {
            return;
        }
        self.computed_at = now;
        let weight = 1.0 - (-(span_ms as f64) / DEMAND_TIME_CONSTANT_MS).exp();
        for demand in self.demands.values_mut().flatten() {
            let arrived = demand.arrived_ms / span_ms as f64;
            demand.slots += (arrived - demand.slots) * weight;
            demand.arrived_ms = 0.0;
        }
        self.demands.retain(|_, demands| {
            demands.retain(|demand| demand.slots > 1e-4);
            !demands.is_empty()
        });
        self.organisations.advance(span_ms as f64);
        let slots = f64::from(reporter.slots);
        let is_standing = reporter.waiting as f64 > slots * STANDING_QUEUE_PER_SLOT;
        self.capacity_ratio = if is_standing || std::mem::take(&mut self.has_refused) {
            (self.capacity_ratio * CAPACITY_DECREASE_FACTOR).max(MIN_CAPACITY_RATIO)
        } else {
            (self.capacity_ratio + CAPACITY_INCREASE).min(1.0)
        };
        self.allocate(slots * ALLOCATED_CAPACITY_RATIO * self.capacity_ratio, now);
    }

    /// Allocates the capacity: a guaranteed share for each route, then the rest by priority.
    fn allocate(&mut self, capacity: f64, now: TimeMs) {
        let total: f64 = self.each_demand().map(|(_, demand)| demand.slots).sum();
        let guaranteed =
            (capacity * GUARANTEED_CAPACITY_RATIO / total.max(1e-9)).min(GUARANTEED_SHARE);
        let mut left = (capacity - total * guaranteed).max(0.0);
        self.divided.clear();
        let mut priorities: Vec<u8> = self.each_demand().map(|(_, d)| d.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        for priority in priorities {
            let has_priority = |demand: &&mut Demand| demand.priority == priority;
            let wanted: f64 = self
                .demands
                .values_mut()
                .flatten()
                .filter(has_priority)
                .map(|demand| demand.slots * (1.0 - guaranteed))
                .sum();
            let granted = if wanted <= left {
                1.0
            } else {
                left / wanted.max(1e-9)
            };
            left = (left - wanted * granted).max(0.0);
            let share = (guaranteed + (1.0 - guaranteed) * granted).clamp(MIN_SHARE, 1.0);
            let mut demanded = 0.0;
            let demands = self.demands.values_mut().flatten();
            for demand in demands.filter(has_priority) {
                if demand.share < FULL_SHARE && share >= FULL_SHARE {
                    demand.lifted_at = Some(now);
                }
                demand.share = share;
                demanded += f64::from(u8::from(demand.is_of_organisations)) * demand.slots;
            }
            if share < FULL_SHARE && demanded > 0.0 {
                let divided = self.organisations.divide(priority, demanded, share);
                self.divided.insert(priority, divided);
            }
        }
    }
}
