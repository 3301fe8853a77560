//! Per-caller bulkheads: each caller has a lane, a bounded part of the backend server's
//! slots and queue, so that one caller's slow dependency can't take the slots of all.
//!
//! A share set by the sheet always bounds the lane. Without one, a lane is bounded only
//! while its runs hold their slots far longer than those of another caller of the same or
//! higher importance. A surge of quick requests is not bounded, since it costs other
//! callers nothing but their place in the queue.

use std::collections::HashMap;

use super::message::Priority;
use crate::model::{CallerName, TimeMs};

/// Share of the slots for a slow lane whose caller has no share in the sheet, in percent.
const SLOW_SHARE_PERCENT: u32 = 60;
/// Ratio of two lanes' mean slot-holding times above which the longer one counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// Difference of two lanes' slot-holding times that is always allowed, in milliseconds.
const SLOW_SLACK_MS: f64 = 5.0;
/// Weight of the newest run in the moving average of a lane's slot-holding time.
const NEWEST_WEIGHT: f64 = 0.1;
/// Low bits of a priority that hold the rank; the bits above hold the importance.
const RANK_BITS: u32 = 16;
/// Divisor of the queue length: one lane may fill 1/`QUEUE_SHARE_DIVISOR` of the queue.
const QUEUE_SHARE_DIVISOR: usize = 2;
/// How long a lane without requests is kept after its last one, in milliseconds.
const ACTIVE_MS: u64 = 1_000;

/// Slots and queue places in use, by caller.
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
    mean_held_ms: Option<f64>,
    queued: u32,
    importance: u32,
    last_offer: TimeMs,
}

impl Lanes {
    /// Records that a caller has offered a request.
    pub fn offered(&mut self, now: TimeMs, caller: &CallerName, priority: Priority) {
        let lane = self.lane(caller);
        lane.last_offer = now;
        lane.importance = lane.importance.max(priority.0 >> RANK_BITS);
    }

    /// Records that a request took a slot.
    pub fn started(&mut self, now: TimeMs, caller: &CallerName) {
        let lane = self.lane(caller);
        lane.in_flight += 1;
        lane.started_sum_ms += now.0;
    }

    /// Records that a request freed its slot after holding it for `held_ms`.
    pub fn ended(&mut self, now: TimeMs, caller: &CallerName, held_ms: u64) {
        let lane = self.lane(caller);
        lane.in_flight = lane.in_flight.saturating_sub(1);
        let started_ms = now.0.saturating_sub(held_ms);
        lane.started_sum_ms = lane.started_sum_ms.saturating_sub(started_ms);
        let average_ms = lane.mean_held_ms.unwrap_or(held_ms as f64);
        lane.mean_held_ms = Some(average_ms + (held_ms as f64 - average_ms) * NEWEST_WEIGHT);
    }

    /// Records that a request was queued.
    pub fn queued(&mut self, caller: &CallerName) {
        self.lane(caller).queued += 1;
    }

    /// Records that a request left the queue.
    pub fn dequeued(&mut self, caller: &CallerName) {
        let lane = self.lane(caller);
        lane.queued = lane.queued.saturating_sub(1);
    }

    /// Whether the caller may take one more of `limit` slots.
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

    /// Whether a lane holds slots far longer than another lane of the same or higher importance.
    fn is_slow(&self, now: TimeMs, lane: &Lane, caller: &CallerName) -> bool {
        let held_ms = lane.estimated_held_ms(now);
        self.lanes.iter().any(|(other_caller, other)| {
            other_caller != caller
                && other.importance >= lane.importance
                && other
                    .mean_held_ms
                    .is_some_and(|other_ms| held_ms > other_ms * SLOW_FACTOR + SLOW_SLACK_MS)
        })
    }

    /// Whether the caller has filled its part of a queue of length `bound`.
    pub fn queue_full(&self, caller: &CallerName, bound: usize) -> bool {
        let queued = self.lanes.get(caller).map_or(0, |lane| lane.queued);
        queued as usize >= bound.div_ceil(QUEUE_SHARE_DIVISOR)
    }

    /// Removes the lanes of inactive callers.
    pub fn tick(&mut self, now: TimeMs) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now.plus_ms(ACTIVE_MS);
        self.lanes.retain(|_, lane| {
            lane.in_flight > 0 || lane.queued > 0 || now.since_ms(lane.last_offer) < ACTIVE_MS
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
    /// Estimates how long a run holds its slot: the larger of the moving average and twice
    /// the mean age of the runs in flight. The latter reveals a slow dependency before the
    /// runs that wait for it end.
    fn estimated_held_ms(&self, now: TimeMs) -> f64 {
        let average_ms = self.mean_held_ms.unwrap_or(0.0);
        if self.in_flight == 0 {
            return average_ms;
        }
        let mean_start_ms = self.started_sum_ms as f64 / f64::from(self.in_flight);
        average_ms.max(2.0 * (now.0 as f64 - mean_start_ms))
    }
}
