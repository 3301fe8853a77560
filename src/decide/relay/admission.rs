//! Admission control for one backend server: a concurrency limit, a rate limit while the backend
//! server states one, and a priority queue.
//!
//! All requests to the backend server pass through its daemon, so the daemon knows exactly how
//! many run there and holds the queue itself. The queue is ordered because under overload a
//! plain FIFO queue makes calls of half-finished requests wait behind new root requests, and
//! gives slots to requests that can no longer meet their deadline.

use std::collections::{HashMap, VecDeque};

use super::rate_limiter::RateLimiter;
use super::wait_queue::{WaitQueue, Waiting};
use crate::model::{OrganisationName, ServiceName, TimeMs};

/// Fraction of the slots that is used; a backend server may slow down when it is nearly full.
const USABLE_SLOTS_RATIO: f64 = 0.94;
/// Fraction of its remaining time that a root request may spend in the queue.
const MAX_ROOT_WAIT_RATIO: f64 = 0.2;
/// Fraction of its remaining time that a call of a running request may spend in the queue. Lower
/// than for a root request, which makes several calls in sequence that may each wait this long.
const MAX_CALL_WAIT_RATIO: f64 = 0.15;
/// Fraction of its expected duration that must remain until the deadline when a request starts.
const MIN_TIME_LEFT_RATIO: f64 = 0.6;
/// Weight of the newest duration in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// Expected duration before any request has completed, in milliseconds.
const INITIAL_EXPECTED_MS: f64 = 100.0;
/// Minimum retry delay that a refusal asks for, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// Identifies a waiting request within one [`Admission`]; numbers are not reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// A request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest<'a> {
    /// Route of the request; the expected duration is tracked per route.
    pub route: &'a ServiceName,
    /// Priority of its root request; 0 is the highest.
    pub priority: u8,
    /// Organisation of its root request.
    pub organisation: Option<&'a OrganisationName>,
    /// Whether a running request makes this call; refusing it wastes that request's work.
    pub is_call: bool,
    /// Time after which the answer is of no use.
    pub deadline: TimeMs,
}

/// Outcome of [`Admission::admit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Starts now; its end must be reported with [`Admission::finished`] or
    /// [`Admission::released`].
    Start,
    /// Waits; [`Admission::next`] starts or refuses it later.
    Wait(WaiterId),
    /// Not run although a slot is free: the remaining time is too short.
    TooLate,
    /// Not run because the queue is too long for the remaining time.
    Refuse {
        /// Estimated time until a slot is free, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Outcome of [`Admission::next`] for the request at the head of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// Starts now; its end must be reported as after [`AdmissionDecision::Start`].
    Start(WaiterId),
    /// Can no longer meet its deadline, or has made room for a request of another organisation.
    Refuse {
        /// The refused request.
        waiter_id: WaiterId,
        /// Estimated time until a slot is free, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Running and waiting requests of one backend server.
#[derive(Debug)]
pub struct Admission {
    limit: u32,
    /// How many requests may run now; `limit` unless another limit is tried.
    limit_now: u32,
    rate: Option<RateLimiter>,
    running: u32,
    waiting: WaitQueue,
    /// Requests that have made room for others and are to be refused.
    dropped: VecDeque<WaiterId>,
    mean_ms: f64,
    mean_by_route: HashMap<ServiceName, f64>,
    next_waiter_id: u64,
}

impl Admission {
    /// Creates an idle admission for a backend server with `slots` slots.
    pub fn new(slots: u32) -> Admission {
        Admission {
            limit: fixed_limit(slots),
            limit_now: fixed_limit(slots),
            rate: None,
            running: 0,
            waiting: WaitQueue::default(),
            dropped: VecDeque::new(),
            mean_ms: INITIAL_EXPECTED_MS,
            mean_by_route: HashMap::new(),
            next_waiter_id: 0,
        }
    }

    /// Sets the fixed limit for a number of slots; running requests continue.
    pub fn set_slots(&mut self, slots: u32) {
        let limit = fixed_limit(slots);
        self.set_limit(limit, limit);
    }

    /// Sets the limit and how many requests may run now; running requests continue.
    pub fn set_limit(&mut self, limit: u32, limit_now: u32) {
        self.limit = limit.max(1);
        self.limit_now = limit_now.max(1);
    }

    /// Sets the rate limit in requests a second; `None` for no limit.
    pub fn set_rate(&mut self, now: TimeMs, per_s: Option<f64>) {
        match (&mut self.rate, per_s) {
            (Some(rate), Some(per_s)) => rate.set_per_s(now, per_s),
            (rate, per_s) => *rate = per_s.map(|per_s| RateLimiter::new(now, per_s)),
        }
    }

    /// Maximum number of requests that run concurrently.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Number of requests that run concurrently when the backend server is fully used: the
    /// concurrency limit, or what the rate limit allows at the mean request duration.
    pub fn capacity(&self) -> u32 {
        let by_rate = self.rate.map(|rate| {
            let running = rate.per_s() * self.mean_ms / 1_000.0;
            (running.ceil() as u32).max(1)
        });
        by_rate.map_or(self.limit, |by_rate| by_rate.min(self.limit))
    }

    /// Time that the rate limit makes a request wait that arrives now, in milliseconds.
    pub fn rate_wait_ms(&self, now: TimeMs) -> u64 {
        self.wait_by_rate_ms(now, self.waiting.len()) as u64
    }

    /// When the head of the queue may start, if only the rate limit holds it back.
    pub fn paced_until(&self, now: TimeMs) -> Option<TimeMs> {
        if self.waiting.is_empty() || self.running >= self.limit_now {
            return None;
        }
        let wait_ms = self.rate?.wait_ms(now, 0);
        Some(now.plus_ms(wait_ms.ceil() as u64))
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Moving average of request durations over all routes, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Expected duration of a request of this route, in milliseconds.
    pub fn expected_ms(&self, route: &ServiceName) -> f64 {
        let known = self.mean_by_route.get(route).copied();
        known.unwrap_or(self.mean_ms)
    }

    /// Starts, queues or refuses a new request.
    pub fn admit(&mut self, now: TimeMs, request: AdmissionRequest<'_>) -> AdmissionDecision {
        let expected_ms = self.expected_ms(request.route);
        let left_ms = request.deadline.since_ms(now) as f64;
        if self.running < self.limit_now && self.waiting.is_empty() {
            if left_ms < expected_ms * MIN_TIME_LEFT_RATIO * MIN_TIME_LEFT_RATIO {
                return AdmissionDecision::TooLate;
            }
            if self.take_token(now) {
                self.running += 1;
                return AdmissionDecision::Start;
            }
        }
        let rank = (request.priority, !request.is_call);
        let ahead = self
            .waiting
            .ahead(rank, request.organisation, request.deadline);
        let wait_ms = self.wait_ms(now, ahead);
        let max_wait_ratio = if request.is_call {
            MAX_CALL_WAIT_RATIO
        } else {
            MAX_ROOT_WAIT_RATIO
        };
        if wait_ms > left_ms * max_wait_ratio
            || wait_ms + expected_ms * MIN_TIME_LEFT_RATIO > left_ms
        {
            return self.refuse(now, ahead);
        }
        // Where several organisations wait, the whole rank must be served in time: the new request
        // pushes others back.
        if let Some(count) = self.waiting.contended(rank, request.organisation)
            && self.wait_ms(now, count) > left_ms * max_wait_ratio
        {
            let to_drop = self
                .waiting
                .to_drop(rank, request.organisation, expected_ms);
            let Some(to_drop) = to_drop else {
                return self.refuse(now, count);
            };
            self.waiting.remove(to_drop);
            self.dropped.push_back(to_drop);
        }
        let waiter_id = WaiterId(self.next_waiter_id);
        self.next_waiter_id += 1;
        let waiting = Waiting {
            waiter_id,
            deadline: request.deadline,
            expected_ms,
        };
        self.waiting.insert(rank, request.organisation, waiting);
        AdmissionDecision::Wait(waiter_id)
    }

    /// Whether requests have made room for others; [`Self::next`] refuses them.
    pub fn has_dropped(&self) -> bool {
        !self.dropped.is_empty()
    }

    /// Frees the slot of a request that did not run to completion, without recording a duration.
    pub fn released(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Frees the slot of a running request; `took_ms` is its duration if it completed.
    pub fn finished(&mut self, route: &ServiceName, took_ms: Option<u64>) {
        self.released();
        let Some(took_ms) = took_ms else { return };
        let took_ms = took_ms as f64;
        self.mean_ms += (took_ms - self.mean_ms) * EWMA_WEIGHT;
        match self.mean_by_route.get_mut(route) {
            Some(mean_ms) => *mean_ms += (took_ms - *mean_ms) * EWMA_WEIGHT,
            None => {
                self.mean_by_route.insert(route.clone(), took_ms);
            }
        }
    }

    /// Removes a waiting request; returns false if it is no longer in the queue.
    pub fn cancel(&mut self, waiter_id: WaiterId) -> bool {
        self.dropped.retain(|dropped| *dropped != waiter_id);
        self.waiting.remove(waiter_id)
    }

    /// Removes the head of the queue if it can start or has become too late. Call it again until
    /// it returns `None`.
    pub fn next(&mut self, now: TimeMs) -> Option<QueueDecision> {
        if let Some(waiter_id) = self.dropped.pop_front() {
            let retry_after_ms = self.retry_after_ms(now, self.waiting.len());
            return Some(QueueDecision::Refuse {
                waiter_id,
                retry_after_ms,
            });
        }
        let head = self.waiting.head()?;
        let waiter_id = head.waiter_id;
        let left_ms = head.deadline.since_ms(now) as f64;
        let is_late = left_ms < head.expected_ms * MIN_TIME_LEFT_RATIO;
        if !is_late && (self.running >= self.limit_now || !self.take_token(now)) {
            return None;
        }
        if is_late {
            self.waiting.remove(waiter_id);
            let retry_after_ms = self.retry_after_ms(now, self.waiting.len());
            return Some(QueueDecision::Refuse {
                waiter_id,
                retry_after_ms,
            });
        }
        self.waiting.serve(head);
        self.running += 1;
        Some(QueueDecision::Start(waiter_id))
    }

    /// Takes a token of the rate limit, if there is one.
    fn take_token(&mut self, now: TimeMs) -> bool {
        self.rate.as_mut().is_none_or(|rate| rate.take(now))
    }

    fn refuse(&self, now: TimeMs, ahead: usize) -> AdmissionDecision {
        AdmissionDecision::Refuse {
            retry_after_ms: self.retry_after_ms(now, ahead),
        }
    }

    /// Estimated wait behind `ahead` queued requests, in milliseconds.
    fn wait_ms(&self, now: TimeMs, ahead: usize) -> f64 {
        let by_slots = (ahead as f64 + 1.0) * self.mean_ms / f64::from(self.limit.max(1));
        by_slots.max(self.wait_by_rate_ms(now, ahead))
    }

    fn wait_by_rate_ms(&self, now: TimeMs, ahead: usize) -> f64 {
        self.rate.map_or(0.0, |rate| rate.wait_ms(now, ahead))
    }

    fn retry_after_ms(&self, now: TimeMs, ahead: usize) -> u64 {
        (self.wait_ms(now, ahead) as u64).max(MIN_RETRY_AFTER_MS)
    }
}

/// The limit for a backend server with `slots` slots whose best concurrency is not estimated.
pub fn fixed_limit(slots: u32) -> u32 {
    ((f64::from(slots) * USABLE_SLOTS_RATIO) as u32).max(1)
}
