//! Shares: which part of each kind of root request is admitted at the entry.
//!
//! The load that this answers: a deep service is scarce while the services above it are not.
//! Root requests let in regardless fail after their work is done, when one of their calls is
//! refused. So the daemons beside a scarce service work out which part of each kind of root
//! request they can finish, by rank, and tell it upward on every reply; the entries admit
//! that part and refuse the rest before any work.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::model::{ServiceName, TimeMs};

/// Time over which demand is smoothed, in milliseconds.
const DEMAND_TIME_MS: f64 = 800.0;
/// Time between two computations of the shares, in milliseconds.
const INTERVAL_MS: u64 = 200;
/// Part of the capacity that is given out; the rest absorbs what varies.
const GIVEN_CAPACITY: f64 = 0.92;
/// Part of each kind that is admitted before higher ranks get more, so that none starves.
const FLOOR_SHARE: f64 = 0.35;
/// Least share, so that news of free capacity keeps arriving.
const MIN_SHARE: f64 = 0.05;
/// Shares above this are not worth telling.
const WHOLE_SHARE: f64 = 0.985;
/// Time for which the end of scarcity is told, in milliseconds.
const LIFTED_MS: u64 = 1_500;
/// Oldest report that is used or passed on, in milliseconds.
const MAX_AGE_MS: u64 = 2_000;
/// Weight of one report in an entry's estimate.
const REPORT_WEIGHT: f64 = 0.2;
/// Time without news after which a share begins to recover, in milliseconds.
const RECOVER_AFTER_MS: u64 = 600;
/// Time in which what is missing to a whole share halves without news, in milliseconds.
const RECOVER_HALF_LIFE_MS: f64 = 500.0;

/// The root request beneath which a request is made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RootMark {
    /// Route of the root request.
    pub route: ServiceName,
    /// Rank of the root request.
    pub priority: u8,
    /// Part of its kind that its entry admitted at the time.
    pub admitted: f64,
}

/// Shares at one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The scarce service.
    pub service: ServiceName,
    /// Age of the shares, in milliseconds.
    pub age_ms: u64,
    /// Share by route of the root request.
    pub shares: Vec<(ServiceName, f64)>,
}

#[derive(Debug, Clone, Default)]
struct Demand {
    priority: u8,
    /// Slots that all of this kind would fill, smoothed.
    slots: f64,
    /// Slot time that arrived since the last computation, in milliseconds.
    arrived_ms: f64,
    share: f64,
    lifted: Option<TimeMs>,
}

/// The demand for one backend server, and the shares that follow from it.
#[derive(Debug, Default)]
pub struct WorkerShares {
    demands: HashMap<ServiceName, Demand>,
    computed: TimeMs,
}

impl WorkerShares {
    /// Takes in that a request has arrived that will hold a slot for `expected_ms`.
    pub fn arrived(&mut self, mark: &RootMark, expected_ms: f64) {
        if !self.demands.contains_key(&mark.route) {
            let demand = Demand {
                share: 1.0,
                ..Demand::default()
            };
            self.demands.insert(mark.route.clone(), demand);
        }
        if let Some(demand) = self.demands.get_mut(&mark.route) {
            demand.priority = mark.priority;
            demand.arrived_ms += expected_ms / mark.admitted.clamp(MIN_SHARE, 1.0);
        }
    }

    /// The shares to tell, empty while nothing is scarce. `slots` is how many requests may run.
    pub fn report(&mut self, now: TimeMs, slots: u32, service: &ServiceName) -> Option<ShareReport> {
        self.compute(now, slots);
        let told = self.demands.iter().filter(|(_, demand)| {
            let is_lifted = demand.lifted.is_some_and(|at| now.since_ms(at) < LIFTED_MS);
            demand.share < WHOLE_SHARE || is_lifted
        });
        let shares: Vec<_> = told
            .map(|(route, demand)| (route.clone(), rounded(demand.share)))
            .collect();
        (!shares.is_empty()).then(|| ShareReport {
            service: service.clone(),
            age_ms: now.since_ms(self.computed),
            shares,
        })
    }

    fn compute(&mut self, now: TimeMs, slots: u32) {
        let span_ms = now.since_ms(self.computed);
        if span_ms < INTERVAL_MS {
            return;
        }
        self.computed = now;
        let weight = 1.0 - (-(span_ms as f64) / DEMAND_TIME_MS).exp();
        for demand in self.demands.values_mut() {
            let arrived = demand.arrived_ms / span_ms as f64;
            demand.slots += (arrived - demand.slots) * weight;
            demand.arrived_ms = 0.0;
        }
        self.demands.retain(|_, demand| demand.slots > 1e-4);
        self.divide(f64::from(slots) * GIVEN_CAPACITY, now);
    }

    /// Divides the capacity: a floor for each kind, then what is left by rank.
    fn divide(&mut self, capacity: f64, now: TimeMs) {
        let total: f64 = self.demands.values().map(|demand| demand.slots).sum();
        let floor = (capacity / total.max(1e-9)).min(FLOOR_SHARE);
        let mut left = (capacity - total * floor).max(0.0);
        let mut priorities: Vec<u8> = self.demands.values().map(|d| d.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        for priority in priorities {
            let of_rank = |demand: &&mut Demand| demand.priority == priority;
            let wanted: f64 = self
                .demands
                .values_mut()
                .filter(of_rank)
                .map(|demand| demand.slots * (1.0 - floor))
                .sum();
            let part = if wanted <= left {
                1.0
            } else {
                left / wanted.max(1e-9)
            };
            left = (left - wanted * part).max(0.0);
            for demand in self.demands.values_mut().filter(of_rank) {
                let share = (floor + (1.0 - floor) * part).clamp(MIN_SHARE, 1.0);
                if demand.share < WHOLE_SHARE && share >= WHOLE_SHARE {
                    demand.lifted = Some(now);
                }
                demand.share = share;
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    share: f64,
    at: TimeMs,
}

impl Estimate {
    fn now(&self, now: TimeMs) -> f64 {
        let silent_ms = now.since_ms(self.at);
        if silent_ms <= RECOVER_AFTER_MS {
            return self.share;
        }
        let over_ms = (silent_ms - RECOVER_AFTER_MS) as f64;
        1.0 - (1.0 - self.share) * 0.5_f64.powf(over_ms / RECOVER_HALF_LIFE_MS)
    }
}

/// What an entry has heard about scarce services, and the admission that follows.
#[derive(Debug, Default)]
pub struct EntryShares {
    /// By scarce service, then by route of the root request.
    heard: HashMap<ServiceName, HashMap<ServiceName, Estimate>>,
    /// What each route has saved up towards its next admission.
    credits: HashMap<ServiceName, f64>,
}

impl EntryShares {
    /// Takes in a report.
    pub fn heard(&mut self, now: TimeMs, report: &ShareReport) {
        if report.age_ms > MAX_AGE_MS {
            return;
        }
        let at = TimeMs(now.0.saturating_sub(report.age_ms));
        if !self.heard.contains_key(&report.service) {
            self.heard.insert(report.service.clone(), HashMap::new());
        }
        let Some(routes) = self.heard.get_mut(&report.service) else {
            return;
        };
        for (route, share) in &report.shares {
            match routes.get_mut(route) {
                Some(estimate) => {
                    let known = estimate.now(now);
                    estimate.share = known + (share - known) * REPORT_WEIGHT;
                    estimate.at = estimate.at.max(at);
                }
                None => {
                    let share = 1.0 + (share - 1.0) * REPORT_WEIGHT;
                    routes.insert(route.clone(), Estimate { share, at });
                }
            }
        }
    }

    /// What to pass on to others.
    pub fn reports(&mut self, now: TimeMs) -> Vec<ShareReport> {
        if self.heard.is_empty() {
            return Vec::new();
        }
        self.heard.retain(|_, routes| {
            routes.retain(|_, estimate| now.since_ms(estimate.at) <= MAX_AGE_MS);
            !routes.is_empty()
        });
        let reports = self.heard.iter().map(|(service, routes)| {
            let newest = routes.values().map(|estimate| estimate.at).max();
            ShareReport {
                service: service.clone(),
                age_ms: now.since_ms(newest.unwrap_or(now)),
                shares: routes
                    .iter()
                    .map(|(route, estimate)| (route.clone(), rounded(estimate.share)))
                    .collect(),
            }
        });
        reports.collect()
    }

    /// The part of a route's root requests that is admitted now.
    pub fn share(&self, now: TimeMs, route: &ServiceName) -> f64 {
        let shares = self.heard.values().filter_map(|routes| routes.get(route));
        let least = shares.map(|estimate| estimate.now(now)).fold(1.0, f64::min);
        if least >= WHOLE_SHARE { 1.0 } else { least }
    }

    /// Decides about one root request: the share by which it was admitted, or none.
    pub fn admit(&mut self, now: TimeMs, route: &ServiceName) -> Option<f64> {
        let share = self.share(now, route);
        if share >= 1.0 {
            return Some(1.0);
        }
        let credit = match self.credits.get_mut(route) {
            Some(credit) => credit,
            None => self.credits.entry(route.clone()).or_insert(0.5),
        };
        *credit += share;
        if *credit < 1.0 {
            return None;
        }
        *credit -= 1.0;
        Some(share)
    }
}

/// Two digits are enough, and keep messages short.
fn rounded(share: f64) -> f64 {
    (share * 100.0).round() / 100.0
}
