//! Admission to the backend server beside this daemon: limit, queue and level.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use super::entry::LevelMeter;
use super::limit::Limiter;
use super::mechanisms::{LimitMode, Mechanisms};
use super::message::{CallId, Priority};
use crate::model::{CallerName, NotRunReason, TimeMs};

/// Longest that a request waits in the queue, in milliseconds.
const QUEUE_BOUND_MS: u64 = 200;
/// Requests that may wait, as a multiple of the limit.
const QUEUE_FACTOR: usize = 4;
/// Shortest wait that a refused caller is told, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// A request that asks to be admitted.
#[derive(Debug, Clone)]
pub struct Offer {
    /// The call.
    pub call: CallId,
    /// The caller, whose share it counts against.
    pub caller: CallerName,
    /// The caller's share of the slots in percent, if it is bounded.
    pub share_percent: Option<u32>,
    /// Importance and rank.
    pub priority: Priority,
    /// Service time already spent on the root request.
    pub sunk_ms: u64,
    /// When the root request must be finished.
    pub deadline: TimeMs,
}

/// The answer to an [`Offer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Hand it over now.
    Start,
    /// It waits.
    Queued,
    /// It is refused.
    Refused {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after_ms: u64,
    },
}

/// A request that leaves the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Released {
    /// The call.
    pub call: CallId,
    /// [`Verdict::Start`], or why it is refused.
    pub verdict: Verdict,
}

#[derive(Debug, Clone)]
struct Waiting {
    offer: Offer,
    since: TimeMs,
}

type Position = (Reverse<Priority>, Reverse<u64>, u64);

/// Admission of one backend server. Not for sharing: the daemon keeps it behind one short lock.
#[derive(Debug)]
pub struct Admission {
    mechanisms: Mechanisms,
    limiter: Limiter,
    level: LevelMeter,
    leaving: bool,
    in_flight: u32,
    in_flight_by_caller: HashMap<CallerName, u32>,
    queue: BTreeMap<Position, Waiting>,
    next_arrival: u64,
}

impl Admission {
    /// Admission for a backend server that has not announced itself yet.
    pub fn new(mechanisms: Mechanisms) -> Admission {
        Admission {
            mechanisms,
            limiter: Limiter::new(mechanisms.limit, 0),
            level: LevelMeter::default(),
            leaving: false,
            in_flight: 0,
            in_flight_by_caller: HashMap::new(),
            queue: BTreeMap::new(),
            next_arrival: 0,
        }
    }

    /// Takes in what the backend server announced.
    pub fn set_server(&mut self, slots: u32, leaving: bool) {
        self.limiter.set_slots(slots);
        self.leaving = leaving;
    }

    /// Refuses new work from now on.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Requests handed over and not finished.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The concurrency limit.
    pub fn limit(&self) -> u32 {
        self.limiter.limit()
    }

    /// The lowest priority that is admitted at present.
    pub fn level(&self) -> Priority {
        self.level.level()
    }

    /// Decides on a request.
    pub fn offer(&mut self, now: TimeMs, offer: Offer) -> Verdict {
        if self.leaving {
            return self.refuse(NotRunReason::Leaving, MIN_RETRY_AFTER_MS);
        }
        self.level.offered(now, offer.priority);
        if self.mechanisms.deadlines && !self.can_finish(now, &offer) {
            return self.refuse(NotRunReason::DeadlineTooShort, MIN_RETRY_AFTER_MS);
        }
        if self.has_room(&offer) {
            self.start(&offer);
            return Verdict::Start;
        }
        if self.queue.len() >= self.queue_bound() && !self.displaces(&offer) {
            self.level.refused();
            return self.refuse(NotRunReason::Overloaded, QUEUE_BOUND_MS);
        }
        self.enqueue(now, offer);
        Verdict::Queued
    }

    /// Takes in that a request which was started has ended.
    pub fn finished(&mut self, now: TimeMs, caller: &CallerName, service_ms: u64) {
        let saturated = self.in_flight >= self.limiter.limit();
        self.start_undone(caller);
        self.limiter.completed(now, service_ms, saturated);
        self.level.completed();
    }

    /// Takes in that a request which was started has not been handed over after all.
    pub fn start_undone(&mut self, caller: &CallerName) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(count) = self.in_flight_by_caller.get_mut(caller) {
            *count -= 1;
            if *count == 0 {
                self.in_flight_by_caller.remove(caller);
            }
        }
    }

    /// Takes requests out of the queue: those to start, and those that waited too long.
    pub fn release(&mut self, now: TimeMs) -> Vec<Released> {
        let mut released = Vec::new();
        self.refuse_stale(now, &mut released);
        while self.in_flight < self.limiter.limit() {
            let Some(position) = self.first_with_share() else {
                break;
            };
            let Some(waiting) = self.queue.remove(&position) else {
                break;
            };
            self.level.waited(now.since_ms(waiting.since));
            self.start(&waiting.offer);
            released.push(Released {
                call: waiting.offer.call,
                verdict: Verdict::Start,
            });
        }
        released
    }

    /// Drops a request from the queue; false if it does not wait there.
    pub fn withdraw(&mut self, call: CallId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|_, waiting| waiting.offer.call != call);
        self.queue.len() < before
    }

    fn refuse(&self, reason: NotRunReason, retry_after_ms: u64) -> Verdict {
        Verdict::Refused {
            reason,
            retry_after_ms,
        }
    }

    fn can_finish(&self, now: TimeMs, offer: &Offer) -> bool {
        let left_ms = offer.deadline.since_ms(now);
        let needed_ms = self.limiter.expected_ms().unwrap_or(0.0);
        left_ms > 0 && left_ms as f64 >= needed_ms
    }

    fn has_room(&self, offer: &Offer) -> bool {
        if self.mechanisms.limit == LimitMode::None {
            return true;
        }
        self.in_flight < self.limiter.limit() && self.queue.is_empty() && self.within_share(offer)
    }

    fn within_share(&self, offer: &Offer) -> bool {
        let Some(percent) = offer.share_percent else {
            return true;
        };
        if !self.mechanisms.caller_shares {
            return true;
        }
        let bound = (u64::from(self.limiter.limit()) * u64::from(percent)).div_ceil(100);
        let used = self.in_flight_by_caller.get(&offer.caller).copied();
        u64::from(used.unwrap_or(0)) < bound.max(1)
    }

    fn queue_bound(&self) -> usize {
        (self.limiter.limit() as usize).saturating_mul(QUEUE_FACTOR)
    }

    /// Whether the request goes before the last one that waits. The last one
    /// then is refused as stale at the next release.
    fn displaces(&mut self, offer: &Offer) -> bool {
        if !self.mechanisms.ordered_queue {
            return false;
        }
        let Some(mut last) = self.queue.last_entry() else {
            return false;
        };
        if last.get().offer.priority >= offer.priority {
            return false;
        }
        last.get_mut().since = TimeMs(0);
        true
    }

    fn enqueue(&mut self, now: TimeMs, offer: Offer) {
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        let position = if self.mechanisms.ordered_queue {
            (Reverse(offer.priority), Reverse(offer.sunk_ms), arrival)
        } else {
            (Reverse(Priority::LOWEST), Reverse(0), arrival)
        };
        self.queue.insert(position, Waiting { offer, since: now });
    }

    fn start(&mut self, offer: &Offer) {
        self.in_flight += 1;
        *self
            .in_flight_by_caller
            .entry(offer.caller.clone())
            .or_default() += 1;
    }

    fn refuse_stale(&mut self, now: TimeMs, released: &mut Vec<Released>) {
        if !self.mechanisms.ordered_queue {
            return;
        }
        let stale: Vec<Position> = self
            .queue
            .iter()
            .filter(|(_, waiting)| now.since_ms(waiting.since) > QUEUE_BOUND_MS)
            .map(|(position, _)| *position)
            .collect();
        for position in stale {
            let Some(waiting) = self.queue.remove(&position) else {
                continue;
            };
            self.level.refused();
            released.push(Released {
                call: waiting.offer.call,
                verdict: self.refuse(NotRunReason::QueueTimeout, QUEUE_BOUND_MS),
            });
        }
    }

    fn first_with_share(&self) -> Option<Position> {
        self.queue
            .iter()
            .find(|(_, waiting)| self.within_share(&waiting.offer))
            .map(|(position, _)| *position)
    }
}
