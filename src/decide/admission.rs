//! Admission control of the local backend server: concurrency limit, queue, admission level.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};

use super::lanes::Lanes;
use super::level::LevelMeter;
use super::limit::Limiter;
use super::mechanisms::{LimitMode, Mechanisms};
use super::message::{CallId, Priority};
use crate::model::{CallerName, NotRunReason, TimeMs};

/// Longest wait of a request in the queue, in milliseconds.
const MAX_QUEUE_WAIT_MS: u64 = 200;
/// Length of the queue, as a multiple of the concurrency limit.
const QUEUE_LEN_FACTOR: usize = 4;
/// Retry-after of a request refused for lack of room, in milliseconds.
const OVERLOADED_RETRY_AFTER_MS: u64 = 500;
/// Low bits of a priority that hold the rank; the bits above hold the importance.
const RANK_BITS: u32 = 16;
/// Mask of the rank's bits.
const RANK_MASK: u32 = 0xffff;
/// Retry-after of a request refused because the backend server is leaving or the deadline is too
/// near, in milliseconds.
const SHORT_RETRY_AFTER_MS: u64 = 100;

/// A request that asks to be admitted.
#[derive(Debug, Clone)]
pub struct Offer {
    /// The call.
    pub call: CallId,
    /// The caller, whose lane the request counts against.
    pub caller: CallerName,
    /// The caller's share of the slots in percent; `None` if the sheet sets none.
    pub share_percent: Option<u32>,
    /// Importance and rank.
    pub priority: Priority,
    /// Time that backend servers have already spent on the root request.
    pub sunk_ms: u64,
    /// When the root request must be finished.
    pub deadline: TimeMs,
}

/// The answer to an [`Offer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Hand the request over to the backend server now.
    Start,
    /// The request waits in the queue.
    Queued,
    /// The request is refused.
    Refused {
        /// Why.
        reason: NotRunReason,
        /// When the caller may try again, in milliseconds from now.
        retry_after_ms: u64,
    },
}

/// A request that leaves the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Released {
    /// The call.
    pub call: CallId,
    /// [`AdmissionDecision::Start`] or [`AdmissionDecision::Refused`].
    pub decision: AdmissionDecision,
}

#[derive(Debug, Clone)]
struct Waiting {
    offer: Offer,
    since: TimeMs,
    /// It waits because its caller's lane is full, so its wait says nothing about the server.
    lane_full: bool,
}

/// Sort key of the queue: importance, sunk time, rank, order of arrival.
type Position = (Reverse<u32>, Reverse<u32>, Reverse<u32>, u64);

/// Admission control of one backend server. The daemon keeps it behind a mutex.
#[derive(Debug)]
pub struct Admission {
    mechanisms: Mechanisms,
    limiter: Limiter,
    level: LevelMeter,
    leaving: bool,
    in_flight: u32,
    lanes: Lanes,
    queue: BTreeMap<Position, Waiting>,
    positions: HashMap<CallId, Position>,
    by_age: VecDeque<(TimeMs, CallId)>,
    displaced: Vec<Released>,
    next_arrival: u64,
}

impl Admission {
    /// Creates admission control for a backend server that has not announced itself yet.
    pub fn new(mechanisms: Mechanisms) -> Admission {
        Admission {
            mechanisms,
            limiter: Limiter::new(mechanisms.limit, 0),
            level: LevelMeter::default(),
            leaving: false,
            in_flight: 0,
            lanes: Lanes::default(),
            queue: BTreeMap::new(),
            positions: HashMap::new(),
            by_age: VecDeque::new(),
            displaced: Vec::new(),
            next_arrival: 0,
        }
    }

    /// Applies the backend server's announcement.
    pub fn set_server(&mut self, slots: u32, leaving: bool) {
        self.limiter.set_slots(slots);
        self.leaving = leaving;
    }

    /// Refuses new work from now on.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Number of requests handed over and not finished.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of requests in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The concurrency limit.
    pub fn limit(&self) -> u32 {
        self.limiter.limit()
    }

    /// The admission level: the lowest priority that is admitted at present.
    pub fn level(&self) -> Priority {
        self.level.level()
    }

    /// Admits, queues or refuses a request.
    pub fn offer(&mut self, now: TimeMs, offer: Offer) -> AdmissionDecision {
        if self.leaving {
            return refuse(NotRunReason::Leaving, SHORT_RETRY_AFTER_MS);
        }
        self.tick(now);
        self.level.offered(offer.priority);
        self.lanes.offered(now, &offer.caller, offer.priority);
        if self.mechanisms.deadlines && !self.can_finish(now, &offer) {
            return refuse(NotRunReason::DeadlineTooShort, SHORT_RETRY_AFTER_MS);
        }
        if self.has_room(now, &offer) {
            self.level.started(0);
            self.start(now, &offer);
            return AdmissionDecision::Start;
        }
        let lane_full = !self.within_share(now, &offer);
        if lane_full && self.lanes.queue_full(&offer.caller, self.max_queue_len()) {
            return refuse(NotRunReason::ShareExhausted, OVERLOADED_RETRY_AFTER_MS);
        }
        if self.queue.len() >= self.max_queue_len() && !self.displace_for(&offer) {
            self.level.refused();
            return refuse(NotRunReason::Overloaded, OVERLOADED_RETRY_AFTER_MS);
        }
        self.enqueue(now, offer, lane_full);
        AdmissionDecision::Queued
    }

    /// Records that a started request has ended. `held_ms` is how long it held its slot,
    /// `own_ms` the same without the time spent waiting for child calls.
    pub fn finished(&mut self, now: TimeMs, caller: &CallerName, own_ms: u64, held_ms: u64) {
        let saturated = self.in_flight >= self.limiter.limit();
        self.free_slot(now, caller, held_ms);
        self.limiter.completed(now, own_ms, saturated);
    }

    /// Frees the slot of a started request that was held for `held_ms`, without judging the
    /// limit by it.
    pub fn free_slot(&mut self, now: TimeMs, caller: &CallerName, held_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.level.set_in_flight(now, self.in_flight);
        self.lanes.ended(now, caller, held_ms);
    }

    /// Removes from the queue the requests that may start and those that waited too long, and
    /// returns them with the requests displaced since the last call.
    pub fn release(&mut self, now: TimeMs) -> Vec<Released> {
        self.tick(now);
        let mut released = std::mem::take(&mut self.displaced);
        self.refuse_stale(now, &mut released);
        while self.in_flight < self.limiter.limit() {
            let Some(waiting) = self
                .first_within_share(now)
                .and_then(|first| self.dequeue(first))
            else {
                break;
            };
            let call = waiting.offer.call;
            if self.mechanisms.deadlines && !self.can_finish(now, &waiting.offer) {
                let decision = refuse(NotRunReason::DeadlineTooShort, SHORT_RETRY_AFTER_MS);
                released.push(Released { call, decision });
                continue;
            }
            let wait_ms = if waiting.lane_full {
                0
            } else {
                now.since_ms(waiting.since)
            };
            self.level.started(wait_ms);
            self.start(now, &waiting.offer);
            let decision = AdmissionDecision::Start;
            released.push(Released { call, decision });
        }
        released
    }

    /// Removes a request from the queue. Returns false if it is not queued.
    pub fn withdraw(&mut self, call: CallId) -> bool {
        match self.positions.get(&call).copied() {
            Some(position) => self.dequeue(position).is_some(),
            None => false,
        }
    }

    fn tick(&mut self, now: TimeMs) {
        self.lanes.tick(now);
        let limit = self.limiter.limit();
        self.level.tick(now, limit);
    }

    fn can_finish(&self, now: TimeMs, offer: &Offer) -> bool {
        let left_ms = offer.deadline.since_ms(now);
        if self.in_flight == 0 {
            // With every request refused, no run could show that the server is faster again.
            return left_ms > 0;
        }
        let needed_ms = self.limiter.expected_ms().unwrap_or(0.0);
        left_ms > 0 && left_ms as f64 >= needed_ms
    }

    fn has_room(&self, now: TimeMs, offer: &Offer) -> bool {
        if self.mechanisms.limit == LimitMode::None {
            return true;
        }
        let free = self.in_flight < self.limiter.limit();
        free && self.queue.is_empty() && self.within_share(now, offer)
    }

    fn within_share(&self, now: TimeMs, offer: &Offer) -> bool {
        if !self.mechanisms.caller_shares {
            return true;
        }
        let limit = self.limiter.limit();
        self.lanes
            .has_slot(now, &offer.caller, limit, offer.share_percent)
    }

    fn max_queue_len(&self) -> usize {
        (self.limiter.limit() as usize).saturating_mul(QUEUE_LEN_FACTOR)
    }

    /// Removes the last request of the queue if `offer` sorts before it. Returns whether it did.
    fn displace_for(&mut self, offer: &Offer) -> bool {
        if !self.mechanisms.ordered_queue {
            return false;
        }
        let Some(&last) = self.queue.keys().next_back() else {
            return false;
        };
        if last <= self.position(offer) {
            return false;
        }
        let Some(waiting) = self.dequeue(last) else {
            return false;
        };
        self.level.refused();
        self.displaced.push(Released {
            call: waiting.offer.call,
            decision: refuse(NotRunReason::Overloaded, OVERLOADED_RETRY_AFTER_MS),
        });
        true
    }

    fn position(&self, offer: &Offer) -> Position {
        if !self.mechanisms.ordered_queue {
            return (Reverse(0), Reverse(0), Reverse(0), self.next_arrival);
        }
        let importance = offer.priority.0 >> RANK_BITS;
        let rank = offer.priority.0 & RANK_MASK;
        let sunk = (offer.sunk_ms + 1).ilog2();
        (
            Reverse(importance),
            Reverse(sunk),
            Reverse(rank),
            self.next_arrival,
        )
    }

    fn enqueue(&mut self, now: TimeMs, offer: Offer, lane_full: bool) {
        let position = self.position(&offer);
        self.next_arrival += 1;
        self.positions.insert(offer.call, position);
        self.by_age.push_back((now, offer.call));
        self.lanes.queued(&offer.caller);
        let waiting = Waiting {
            offer,
            since: now,
            lane_full,
        };
        self.queue.insert(position, waiting);
    }

    fn dequeue(&mut self, position: Position) -> Option<Waiting> {
        let waiting = self.queue.remove(&position)?;
        self.positions.remove(&waiting.offer.call);
        self.lanes.dequeued(&waiting.offer.caller);
        Some(waiting)
    }

    fn start(&mut self, now: TimeMs, offer: &Offer) {
        self.in_flight += 1;
        self.level.set_in_flight(now, self.in_flight);
        self.lanes.started(now, &offer.caller);
    }

    fn refuse_stale(&mut self, now: TimeMs, released: &mut Vec<Released>) {
        while let Some(&(since, call)) = self.by_age.front() {
            let waits = self.positions.contains_key(&call);
            let stale = self.mechanisms.ordered_queue && now.since_ms(since) > MAX_QUEUE_WAIT_MS;
            if waits && !stale {
                break;
            }
            self.by_age.pop_front();
            let position = self.positions.get(&call).copied();
            let Some(waiting) = position.and_then(|position| self.dequeue(position)) else {
                continue;
            };
            let reason = if waiting.lane_full {
                NotRunReason::ShareExhausted
            } else {
                self.level.refused();
                NotRunReason::QueueTimeout
            };
            let decision = refuse(reason, OVERLOADED_RETRY_AFTER_MS);
            released.push(Released { call, decision });
        }
    }

    fn first_within_share(&self, now: TimeMs) -> Option<Position> {
        self.queue
            .iter()
            .find(|(_, waiting)| self.within_share(now, &waiting.offer))
            .map(|(position, _)| *position)
    }
}

fn refuse(reason: NotRunReason, retry_after_ms: u64) -> AdmissionDecision {
    AdmissionDecision::Refused {
        reason,
        retry_after_ms,
    }
}
