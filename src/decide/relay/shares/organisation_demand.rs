//! Demand for one backend server by priority and organisation.
//!
//! One worker receives few requests of most organisations, so their demand is averaged over about
//! 2 s. A large organisation is known sooner; its burst must be told from the others' usual load
//! within the first second.

use std::collections::{BTreeMap, HashMap};

use super::level::{OrganisationShares, divide};
use crate::model::OrganisationName;

/// Time constants of the two moving averages of an organisation's demand, in milliseconds: the
/// short one is that of the demand by route.
const SHORT_TIME_CONSTANT_MS: f64 = 500.0;
const LONG_TIME_CONSTANT_MS: f64 = 2_000.0;
/// Requests within the short average at which both averages count half. With as many, random
/// variation changes the short average by a fifth.
const HALF_TRUST_REQUESTS: f64 = 25.0;
/// Most organisations whose demand is kept for one priority, which bounds memory. The demand of
/// others is summed.
const MAX_TRACKED: usize = 1_024;
/// Organisations that are kept when there are too many: the largest, so that new ones have room.
const KEPT_OF_TRACKED: usize = 768;
/// Demand below which an organisation is forgotten, in slots.
const MIN_SLOTS: f64 = 1e-4;

#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    /// Slot time demanded since the last computation, in milliseconds.
    arrived_ms: f64,
    arrived: f64,
    /// Slots that all its root requests would occupy: short and long moving average.
    short_slots: f64,
    long_slots: f64,
    /// Requests that the short average is based on; a moving sum.
    requests: f64,
}

impl Demand {
    fn record(&mut self, slot_ms: f64) {
        self.arrived_ms += slot_ms;
        self.arrived += 1.0;
    }

    fn advance(&mut self, span_ms: f64) {
        let arrived = self.arrived_ms / span_ms;
        let short = (-span_ms / SHORT_TIME_CONSTANT_MS).exp();
        let long = (-span_ms / LONG_TIME_CONSTANT_MS).exp();
        self.short_slots += (arrived - self.short_slots) * (1.0 - short);
        self.long_slots += (arrived - self.long_slots) * (1.0 - long);
        self.requests = self.requests * short + self.arrived;
        self.arrived_ms = 0.0;
        self.arrived = 0.0;
    }

    /// Estimated demand in slots: the short average as far as enough requests are behind it.
    fn slots(&self) -> f64 {
        let trust = self.requests / (self.requests + HALF_TRUST_REQUESTS);
        self.long_slots + (self.short_slots - self.long_slots) * trust
    }
}

#[derive(Debug, Default)]
struct PriorityDemand {
    organisations: HashMap<OrganisationName, Demand>,
    /// Demand of the organisations beyond [`MAX_TRACKED`].
    untracked: Demand,
}

/// Demand by priority and organisation.
#[derive(Debug, Default)]
pub struct OrganisationDemands {
    by_priority: BTreeMap<u8, PriorityDemand>,
}

impl OrganisationDemands {
    /// Records a request that demands `slot_ms` milliseconds of a slot.
    pub fn record(&mut self, priority: u8, organisation: &OrganisationName, slot_ms: f64) {
        let demands = self.by_priority.entry(priority).or_default();
        if let Some(demand) = demands.organisations.get_mut(organisation) {
            demand.record(slot_ms);
        } else if demands.organisations.len() < MAX_TRACKED {
            let demand = demands.organisations.entry(organisation.clone());
            demand.or_default().record(slot_ms);
        } else {
            demands.untracked.record(slot_ms);
        }
    }

    /// Updates the moving averages after `span_ms` milliseconds and drops what is negligible.
    pub fn advance(&mut self, span_ms: f64) {
        for demands in self.by_priority.values_mut() {
            demands.untracked.advance(span_ms);
            demands.organisations.retain(|_, demand| {
                demand.advance(span_ms);
                demand.long_slots > MIN_SLOTS
            });
            if demands.organisations.len() >= MAX_TRACKED {
                demands.drop_smallest();
            }
        }
        self.by_priority.retain(|_, demands| {
            !demands.organisations.is_empty() || demands.untracked.long_slots > MIN_SLOTS
        });
    }

    /// Whether there is any demand.
    pub fn is_empty(&self) -> bool {
        self.by_priority.is_empty()
    }

    /// Divides a part of the capacity over the organisations of a priority. `demanded` is the sum of
    /// their demands by the short average, in slots, and `share` the part of it that can be served.
    pub fn divide(&self, priority: u8, demanded: f64, share: f64) -> OrganisationShares {
        let none = PriorityDemand::default();
        let demands = self.by_priority.get(&priority).unwrap_or(&none);
        let tracked = demands.organisations.values().map(Demand::slots);
        let total = tracked.sum::<f64>() + demands.untracked.slots();
        // The sum of the organisations' estimates lags behind the short average.
        let scale = demanded / total.max(1e-9);
        let each = demands.organisations.iter();
        let each = each.map(|(name, demand)| (name, demand.slots() * scale));
        let untracked = demands.untracked.slots() * scale;
        divide(each.collect(), untracked, demanded * share)
    }
}

impl PriorityDemand {
    /// Adds the smallest organisations to those that are summed.
    fn drop_smallest(&mut self) {
        let mut slots: Vec<f64> = self.organisations.values().map(Demand::slots).collect();
        slots.sort_unstable_by(|a, b| b.total_cmp(a));
        let least = slots[KEPT_OF_TRACKED.min(slots.len() - 1)];
        let untracked = &mut self.untracked;
        self.organisations.retain(|_, demand| {
            let is_kept = demand.slots() > least;
            if !is_kept {
                untracked.short_slots += demand.short_slots;
                untracked.long_slots += demand.long_slots;
                untracked.requests += demand.requests;
            }
            is_kept
        });
    }
}
