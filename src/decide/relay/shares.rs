//! Load shedding at the entry: the share of each route's root requests that is admitted.
//!
//! When a downstream service is overloaded and the services that call it are not, root requests
//! that are admitted anyway fail after most of their work is done, as soon as one of their calls
//! is refused. Therefore the daemons of an overloaded service compute, by priority, which share
//! of each route's root requests they can serve, and report it upstream with every reply. Entry
//! daemons admit that share and shed the rest before any work is done.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::model::{OrganisationName, ServiceName, TimeMs};

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
/// Minimum share, since replies to admitted requests carry the reports of free capacity.
const MIN_SHARE: f64 = 0.05;
/// Shares from this value on count as 1 and are not reported.
const FULL_SHARE: f64 = 0.985;
/// How long a share that has returned to 1 is still reported, in milliseconds.
const REPORT_LIFTED_MS: u64 = 1_500;
/// Maximum age of a report that is used or forwarded, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 1_500;
/// Maximum number of reports that are forwarded in one message.
const MAX_FORWARDED_REPORTS: usize = 8;
/// Factor on the allocated capacity after an interval with a standing queue or a refusal.
const CAPACITY_DECREASE_FACTOR: f64 = 0.93;
/// Added to the allocated fraction after an interval without either.
const CAPACITY_INCREASE: f64 = 0.04;
/// Lower bound of the allocated fraction of the capacity.
const MIN_CAPACITY_RATIO: f64 = 0.6;
/// Waiting requests per slot above which a queue counts as standing.
const STANDING_QUEUE_PER_SLOT: f64 = 0.25;

/// The root request that a request belongs to; sent along with every call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RootRequest {
    /// Route of the root request.
    #[serde(rename = "r")]
    pub route: ServiceName,
    /// Priority of the root request; 0 is the highest.
    #[serde(rename = "p")]
    pub priority: u8,
    /// Organisation on whose behalf it is made; `None` without an API key.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationName>,
    /// Share of the route's root requests that the entry admitted at the time, in 0..=1.
    #[serde(rename = "a")]
    pub admitted: f64,
}

/// Shares that one worker of an overloaded service reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The overloaded service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Identifies the reporting worker within the service.
    #[serde(rename = "w")]
    pub worker: u32,
    /// Time since the shares were computed, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Admitted share by route of the root request, in 0..=1.
    #[serde(rename = "r")]
    pub shares: Vec<(ServiceName, f64)>,
    /// Fraction of the worker's capacity that a rate limit leaves, in 0..=1.
    #[serde(rename = "f", default = "whole", skip_serializing_if = "is_whole")]
    pub capacity_ratio: f64,
}

fn whole() -> f64 {
    1.0
}

fn is_whole(ratio: &f64) -> bool {
    *ratio >= 1.0
}

#[derive(Debug, Clone, Default)]
struct Demand {
    priority: u8,
    /// Slots that all root requests of the route would occupy; a moving average.
    slots: f64,
    /// Slot time demanded since the last computation, in milliseconds.
    arrived_ms: f64,
    share: f64,
    lifted_at: Option<TimeMs>,
}

/// Demand for one backend server by route, and the shares computed from it.
#[derive(Debug)]
pub struct WorkerShares {
    demands: HashMap<ServiceName, Demand>,
    computed_at: TimeMs,
    /// Fraction of the capacity that is allocated; lowered while it proves too high.
    capacity_ratio: f64,
    has_refused: bool,
}

impl Default for WorkerShares {
    fn default() -> WorkerShares {
        WorkerShares {
            demands: HashMap::new(),
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
            let demand = Demand {
                share: 1.0,
                ..Demand::default()
            };
            self.demands.insert(root.route.clone(), demand);
        }
        if let Some(demand) = self.demands.get_mut(&root.route) {
            demand.priority = root.priority;
            demand.arrived_ms += expected_ms / root.admitted.clamp(MIN_SHARE, 1.0);
        }
    }

    /// Records that a request was refused because the queue was too long.
    pub fn record_refusal(&mut self) {
        self.has_refused = true;
    }

    /// The report to send, or `None` while all shares are 1.
    pub fn report(&mut self, now: TimeMs, reporter: Reporter<'_>) -> Option<ShareReport> {
        self.compute(now, reporter);
        let reported = self.demands.iter().filter(|(_, demand)| {
            let is_lifted = demand
                .lifted_at
                .is_some_and(|at| now.since_ms(at) < REPORT_LIFTED_MS);
            demand.share < FULL_SHARE || is_lifted
        });
        let shares: Vec<_> = reported
            .map(|(route, demand)| (route.clone(), rounded(demand.share)))
            .collect();
        (!shares.is_empty()).then(|| ShareReport {
            service: reporter.service.clone(),
            worker: reporter.worker,
            age_ms: now.since_ms(self.computed_at),
            shares,
            capacity_ratio: reporter.capacity_ratio,
        })
    }

    /// Slots that the whole demand would occupy, and the allocated fraction of the capacity.
    pub fn summary(&self) -> (f64, f64) {
        let demand = self.demands.values().map(|demand| demand.slots).sum();
        (demand, self.capacity_ratio)
    }

    fn compute(&mut self, now: TimeMs, reporter: Reporter<'_>) {
        let span_ms = now.since_ms(self.computed_at);
        if span_ms < MIN_COMPUTE_INTERVAL_MS {
            return;
        }
        self.computed_at = now;
        let weight = 1.0 - (-(span_ms as f64) / DEMAND_TIME_CONSTANT_MS).exp();
        for demand in self.demands.values_mut() {
            let arrived = demand.arrived_ms / span_ms as f64;
            demand.slots += (arrived - demand.slots) * weight;
            demand.arrived_ms = 0.0;
        }
        self.demands.retain(|_, demand| demand.slots > 1e-4);
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
        let total: f64 = self.demands.values().map(|demand| demand.slots).sum();
        let guaranteed =
            (capacity * GUARANTEED_CAPACITY_RATIO / total.max(1e-9)).min(GUARANTEED_SHARE);
        let mut left = (capacity - total * guaranteed).max(0.0);
        let mut priorities: Vec<u8> = self.demands.values().map(|d| d.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        for priority in priorities {
            let has_priority = |demand: &&mut Demand| demand.priority == priority;
            let wanted: f64 = self
                .demands
                .values_mut()
                .filter(has_priority)
                .map(|demand| demand.slots * (1.0 - guaranteed))
                .sum();
            let granted = if wanted <= left {
                1.0
            } else {
                left / wanted.max(1e-9)
            };
            left = (left - wanted * granted).max(0.0);
            for demand in self.demands.values_mut().filter(has_priority) {
                let share = (guaranteed + (1.0 - guaranteed) * granted).clamp(MIN_SHARE, 1.0);
                if demand.share < FULL_SHARE && share >= FULL_SHARE {
                    demand.lifted_at = Some(now);
                }
                demand.share = share;
            }
        }
    }
}

/// Newest report of one worker.
#[derive(Debug, Clone)]
struct ReceivedReport {
    at: TimeMs,
    shares: Vec<(ServiceName, f64)>,
    capacity_ratio: f64,
}

/// Reports of overloaded services received by an entry daemon, and the admission based on them.
#[derive(Debug, Default)]
pub struct EntryShares {
    /// By overloaded service, then by worker.
    received: HashMap<ServiceName, HashMap<u32, ReceivedReport>>,
    /// Credit of each route; at 1 the next root request is admitted.
    credits: HashMap<ServiceName, f64>,
}

impl EntryShares {
    /// Stores a report, received directly or forwarded by another daemon, if it is the newest of
    /// its worker and not too old.
    pub fn record_report(&mut self, now: TimeMs, report: &ShareReport) {
        if report.age_ms > MAX_REPORT_AGE_MS {
            return;
        }
        let at = TimeMs(now.0.saturating_sub(report.age_ms));
        if !self.received.contains_key(&report.service) {
            self.received.insert(report.service.clone(), HashMap::new());
        }
        let Some(workers) = self.received.get_mut(&report.service) else {
            return;
        };
        let is_outdated = workers
            .get(&report.worker)
            .is_some_and(|known| known.at >= at);
        if !is_outdated {
            let received = ReceivedReport {
                at,
                shares: report.shares.clone(),
                capacity_ratio: report.capacity_ratio,
            };
            workers.insert(report.worker, received);
        }
    }

    /// Reports to forward to other daemons, newest first. Expired reports are dropped.
    pub fn reports(&mut self, now: TimeMs) -> Vec<ShareReport> {
        if self.received.is_empty() {
            return Vec::new();
        }
        self.received.retain(|_, workers| {
            workers.retain(|_, received| now.since_ms(received.at) <= MAX_REPORT_AGE_MS);
            !workers.is_empty()
        });
        let mut reports: Vec<ShareReport> = Vec::new();
        for (service, workers) in &self.received {
            reports.extend(workers.iter().map(|(worker, received)| ShareReport {
                service: service.clone(),
                worker: *worker,
                age_ms: now.since_ms(received.at),
                shares: received.shares.clone(),
                capacity_ratio: received.capacity_ratio,
            }));
        }
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(MAX_FORWARDED_REPORTS);
        reports
    }

    /// The share of a route's root requests that is admitted now: the lowest share over all
    /// services. The share at a service is the mean over its workers, whose number `workers_of`
    /// returns, weighted by the capacity that rate limits leave them: what a limited worker cannot
    /// take, the others may have room for. Workers without a report count as 1.
    pub fn share(
        &self,
        now: TimeMs,
        route: &ServiceName,
        workers_of: impl Fn(&ServiceName) -> usize,
    ) -> f64 {
        let mut least: f64 = 1.0;
        for (service, workers) in &self.received {
            let fresh = workers
                .values()
                .filter(|received| now.since_ms(received.at) <= MAX_REPORT_AGE_MS);
            let (mut missing, mut capacity) = (0.0, workers_of(service).max(workers.len()) as f64);
            for received in fresh {
                let shares = received.shares.iter().filter(|(name, _)| name == route);
                let missing_share: f64 = shares.map(|(_, share)| 1.0 - share).sum();
                missing += missing_share * received.capacity_ratio;
                capacity -= 1.0 - received.capacity_ratio;
            }
            least = least.min(1.0 - missing / capacity);
        }
        if least >= FULL_SHARE {
            1.0
        } else {
            least.max(MIN_SHARE)
        }
    }

    /// Admits one root request and returns the share in force, or `None` if it is shed.
    pub fn admit(
        &mut self,
        now: TimeMs,
        route: &ServiceName,
        workers_of: impl Fn(&ServiceName) -> usize,
    ) -> Option<f64> {
        let share = self.share(now, route, workers_of);
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

/// Rounds to two decimals to keep messages short.
fn rounded(share: f64) -> f64 {
    (share * 100.0).round() / 100.0
}
