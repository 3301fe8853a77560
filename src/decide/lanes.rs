//! A bounded lane of the backend server's slots and queue for each caller, so
//! that one caller's slow dependency cannot hold the slots of all.
//!
//! A sheet's share always bounds a lane. Without one a lane is bounded only
//! while its runs hold their slots far longer than those of another caller that
//! matters as much: a surge of quick requests costs others no more than order.

use std::collections::HashMap;

use super::message::Priority;
use crate::model::{CallerName, TimeMs};

/// Share of the slots for a slow lane that no sheet bounds, in percent.
const SLOW_SHARE_PERCENT: u32 = 60;
/// A lane is slow if it holds slots longer than another by this factor.
const SLOW_FACTOR: f64 = 2.0;
/// Difference between two lanes that never counts, in milliseconds.
const SLOW_SLACK_MS: f64 = 5.0;
/// Weight of the newest run in the average time that a lane holds a slot.
const NEWEST_WEIGHT: f64 = 0.1;
/// Bits of a priority that hold the rank.
const RANK_BITS: u32 = 16;
/// Part of the queue that one lane may fill.
const QUEUE_PART: usize = 2;
/// How long a caller counts as active after its last request, in milliseconds.
const ACTIVE_MS: u64 = 1_000;

/// Slots held and places in the queue taken, by caller.
#[derive(Debug, Default)]
pub struct Lanes {
    lanes: HashMap<CallerName, Lane>,
    next_sweep: TimeMs,
}

#[derive(Debug, Default)]
struct Lane {
    in_flight: u32,
    /// Sum of the start times of the runs in flight, in milliseconds.
    started_sum_ms: u64,
    held_ms: Option<f64>,
    queued: u32,
    importance: u32,
    seen: TimeMs,
}

impl Lanes {
    /// Takes in that a caller offers a request.
    pub fn seen(&mut self, now: TimeMs, caller: &CallerName, priority: Priority) {
        let lane = self.lane(caller);
        lane.seen = now;
        lane.importance = lane.importance.max(priority.0 >> RANK_BITS);
    }

    /// Takes in that a request has got a slot.
    pub fn started(&mut self, now: TimeMs, caller: &CallerName) {
        let lane = self.lane(caller);
        lane.in_flight += 1;
        lane.started_sum_ms += now.0;
    }

    /// Takes in that a request has given its slot back after holding it for a time.
    pub fn ended(&mut self, now: TimeMs, caller: &CallerName, held_ms: u64) {
        let lane = self.lane(caller);
        lane.in_flight = lane.in_flight.saturating_sub(1);
        let started_ms = now.0.saturating_sub(held_ms);
        lane.started_sum_ms = lane.started_sum_ms.saturating_sub(started_ms);
        let average_ms = lane.held_ms.unwrap_or(held_ms as f64);
        lane.held_ms = Some(average_ms + (held_ms as f64 - average_ms) * NEWEST_WEIGHT);
    }

    /// Takes in that a request waits.
    pub fn queued(&mut self, caller: &CallerName) {
        self.lane(caller).queued += 1;
    }

    /// Takes in that a request no longer waits.
    pub fn unqueued(&mut self, caller: &CallerName) {
        let lane = self.lane(caller);
        lane.queued = lane.queued.saturating_sub(1);
    }

    /// Whether the caller may hold one more of `limit` slots.
    pub fn has_slot(
        &self,
        now: TimeMs,
        caller: &CallerName,
        limit: u32,
        share_percent: Option<u32>,
    ) -> bool {
        let Some(lane) = self.lanes.get(caller) else {
            return true;
        };
        let percent = share_percent.unwrap_or(SLOW_SHARE_PERCENT);
        let bound = (u64::from(limit) * u64::from(percent)).div_ceil(100);
        if u64::from(lane.in_flight) < bound.max(1) {
            return true;
        }
        share_percent.is_none() && !self.is_slow(now, lane, caller)
    }

    /// Whether a lane holds slots far longer than another one that matters as much.
    fn is_slow(&self, now: TimeMs, lane: &Lane, caller: &CallerName) -> bool {
        let held_ms = lane.held_ms(now);
        self.lanes.iter().any(|(other_caller, other)| {
            other_caller != caller
                && other.importance >= lane.importance
                && other
                    .held_ms
                    .is_some_and(|other_ms| held_ms > other_ms * SLOW_FACTOR + SLOW_SLACK_MS)
        })
    }

    /// Whether the caller has filled its part of a queue with `bound` places.
    pub fn queue_full(&self, caller: &CallerName, bound: usize) -> bool {
        let queued = self.lanes.get(caller).map_or(0, |lane| lane.queued);
        queued as usize >= bound.div_ceil(QUEUE_PART)
    }

    /// Forgets callers that have not been active.
    pub fn tick(&mut self, now: TimeMs) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now.plus_ms(ACTIVE_MS);
        self.lanes.retain(|_, lane| {
            lane.in_flight > 0 || lane.queued > 0 || now.since_ms(lane.seen) < ACTIVE_MS
        });
    }

    fn lane(&mut self, caller: &CallerName) -> &mut Lane {
        if !self.lanes.contains_key(caller) {
            self.lanes.insert(caller.clone(), Lane::default());
        }
        self.lanes.entry(caller.clone()).or_default()
    }
}

impl Lane {
    /// How long a run holds its slot: the average, or twice the mean age of the
    /// runs in flight, which tells of a slow dependency before they end.
    fn held_ms(&self, now: TimeMs) -> f64 {
        let average_ms = self.held_ms.unwrap_or(0.0);
        if self.in_flight == 0 {
            return average_ms;
        }
        let mean_start_ms = self.started_sum_ms as f64 / f64::from(self.in_flight);
        average_ms.max(2.0 * (now.0 as f64 - mean_start_ms))
    }
}
