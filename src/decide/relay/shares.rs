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
const DEMAND_TIME_MS: f64 = 500.0;
/// Time between two computations of the shares, in milliseconds.
const INTERVAL_MS: u64 = 200;
/// Part of the capacity that is given out; the rest absorbs what varies.
const GIVEN_CAPACITY: f64 = 1.0;
/// Part of each kind that is admitted before higher ranks get more, so that none starves.
const FLOOR_SHARE: f64 = 0.35;
/// Part of the capacity that the floors may take, so that the highest rank goes first.
const FLOOR_CAPACITY: f64 = 0.4;
/// Least share, so that news of free capacity keeps arriving.
const MIN_SHARE: f64 = 0.05;
/// Shares above this are not worth telling.
const WHOLE_SHARE: f64 = 0.985;
/// Time for which the end of scarcity is told, in milliseconds.
const LIFTED_MS: u64 = 1_500;
/// Oldest report that is used or passed on, in milliseconds.
const MAX_AGE_MS: u64 = 1_500;
/// Most reports that are passed on with one message.
const MAX_PASSED: usize = 8;
/// What an interval with a standing queue or a refusal leaves of the capacity given out.
const PRESSURE_DECREASE: f64 = 0.93;
/// What an interval without one adds to it.
const PRESSURE_INCREASE: f64 = 0.04;
/// The capacity given out never falls below this part.
const MIN_PRESSURE: f64 = 0.6;
/// Requests that wait for each slot from which a queue counts as standing.
const STANDING_QUEUE: f64 = 0.25;

/// The root request beneath which a request is made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RootMark {
    /// Route of the root request.
    #[serde(rename = "r")]
    pub route: ServiceName,
    /// Rank of the root request.
    #[serde(rename = "p")]
    pub priority: u8,
    /// Part of its kind that its entry admitted at the time.
    #[serde(rename = "a")]
    pub admitted: f64,
}

/// Shares at one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The scarce service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Stands for the worker that reports.
    #[serde(rename = "w")]
    pub worker: u32,
    /// Age of the shares, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Share by route of the root request.
    #[serde(rename = "r")]
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
#[derive(Debug)]
pub struct WorkerShares {
    demands: HashMap<ServiceName, Demand>,
    computed: TimeMs,
    /// Part of the capacity that is given out, lowered while it proves too much.
    pressure: f64,
    refused: bool,
}

impl Default for WorkerShares {
    fn default() -> WorkerShares {
        WorkerShares {
            demands: HashMap::new(),
            computed: TimeMs(0),
            pressure: 1.0,
            refused: false,
        }
    }
}

/// The worker that reports, and what its queue looks like.
#[derive(Debug, Clone, Copy)]
pub struct Reporter<'a> {
    /// Its service.
    pub service: &'a ServiceName,
    /// Stands for the worker.
    pub worker: u32,
    /// Requests that may run.
    pub slots: u32,
    /// Requests that wait.
    pub waiting: usize,
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

    /// Takes in that a request was refused for want of room.
    pub fn refused(&mut self) {
        self.refused = true;
    }

    /// The shares to tell, none while nothing is scarce.
    pub fn report(&mut self, now: TimeMs, reporter: Reporter<'_>) -> Option<ShareReport> {
        self.compute(now, reporter);
        let told = self.demands.iter().filter(|(_, demand)| {
            let is_lifted = demand.lifted.is_some_and(|at| now.since_ms(at) < LIFTED_MS);
            demand.share < WHOLE_SHARE || is_lifted
        });
        let shares: Vec<_> = told
            .map(|(route, demand)| (route.clone(), rounded(demand.share)))
            .collect();
        (!shares.is_empty()).then(|| ShareReport {
            service: reporter.service.clone(),
            worker: reporter.worker,
            age_ms: now.since_ms(self.computed),
            shares,
        })
    }

    /// Slots that all demand would fill, and the part of the capacity that is given out.
    pub fn summary(&self) -> (f64, f64) {
        let demand = self.demands.values().map(|demand| demand.slots).sum();
        (demand, self.pressure)
    }

    fn compute(&mut self, now: TimeMs, reporter: Reporter<'_>) {
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
        let slots = f64::from(reporter.slots);
        let is_standing = reporter.waiting as f64 > slots * STANDING_QUEUE;
        self.pressure = if is_standing || std::mem::take(&mut self.refused) {
            (self.pressure * PRESSURE_DECREASE).max(MIN_PRESSURE)
        } else {
            (self.pressure + PRESSURE_INCREASE).min(1.0)
        };
        self.divide(slots * GIVEN_CAPACITY * self.pressure, now);
    }

    /// Divides the capacity: a floor for each kind, then what is left by rank.
    fn divide(&mut self, capacity: f64, now: TimeMs) {
        let total: f64 = self.demands.values().map(|demand| demand.slots).sum();
        let floor = (capacity * FLOOR_CAPACITY / total.max(1e-9)).min(FLOOR_SHARE);
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

/// What one worker has reported.
#[derive(Debug, Clone)]
struct Heard {
    at: TimeMs,
    shares: Vec<(ServiceName, f64)>,
}

/// What an entry has heard about scarce services, and the admission that follows.
#[derive(Debug, Default)]
pub struct EntryShares {
    /// By scarce service, then by worker.
    heard: HashMap<ServiceName, HashMap<u32, Heard>>,
    /// What each route has saved up towards its next admission.
    credits: HashMap<ServiceName, f64>,
}

impl EntryShares {
    /// Takes in a report, also one that another daemon passes on. The newest of each worker
    /// counts.
    pub fn heard(&mut self, now: TimeMs, report: &ShareReport) {
        if report.age_ms > MAX_AGE_MS {
            return;
        }
        let at = TimeMs(now.0.saturating_sub(report.age_ms));
        if !self.heard.contains_key(&report.service) {
            self.heard.insert(report.service.clone(), HashMap::new());
        }
        let Some(workers) = self.heard.get_mut(&report.service) else {
            return;
        };
        let is_older = workers
            .get(&report.worker)
            .is_some_and(|known| known.at >= at);
        if !is_older {
            let shares = report.shares.clone();
            workers.insert(report.worker, Heard { at, shares });
        }
    }

    /// What to pass on to others, newest first.
    pub fn reports(&mut self, now: TimeMs) -> Vec<ShareReport> {
        if self.heard.is_empty() {
            return Vec::new();
        }
        self.heard.retain(|_, workers| {
            workers.retain(|_, heard| now.since_ms(heard.at) <= MAX_AGE_MS);
            !workers.is_empty()
        });
        let mut reports: Vec<ShareReport> = Vec::new();
        for (service, workers) in &self.heard {
            reports.extend(workers.iter().map(|(worker, heard)| ShareReport {
                service: service.clone(),
                worker: *worker,
                age_ms: now.since_ms(heard.at),
                shares: heard.shares.clone(),
            }));
        }
        reports.sort_by_key(|report| report.age_ms);
        reports.truncate(MAX_PASSED);
        reports
    }

    /// The part of a route's root requests that is admitted now: at each scarce service the
    /// mean over its workers, of which `workers_of` tells the number; workers that report
    /// nothing have room. The scarcest service decides.
    pub fn share(
        &self,
        now: TimeMs,
        route: &ServiceName,
        workers_of: impl Fn(&ServiceName) -> usize,
    ) -> f64 {
        let mut least: f64 = 1.0;
        for (service, workers) in &self.heard {
            let fresh = workers
                .values()
                .filter(|heard| now.since_ms(heard.at) <= MAX_AGE_MS);
            let missing: f64 = fresh
                .flat_map(|heard| &heard.shares)
                .filter(|(name, _)| name == route)
                .map(|(_, share)| 1.0 - share)
                .sum();
            let count = workers_of(service).max(workers.len()) as f64;
            least = least.min(1.0 - missing / count);
        }
        if least >= WHOLE_SHARE {
            1.0
        } else {
            least.max(MIN_SHARE)
        }
    }

    /// Decides about one root request: the share by which it was admitted, or none.
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

/// Two digits are enough, and keep messages short.
fn rounded(share: f64) -> f64 {
    (share * 100.0).round() / 100.0
}
