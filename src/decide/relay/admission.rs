//! Admission beside one backend server: what runs, what waits and what is refused.
//!
//! The daemon is the only way to its backend server, so it knows exactly what runs there and
//! holds the queue itself. The load that this answers: more arrives than the slots complete.
//! Without an order, calls beneath a request half done wait behind new root requests, and
//! requests that can no longer finish in time take slots from those that can.

use std::collections::{BTreeMap, HashMap};

use crate::model::{ServiceName, TimeMs};

/// Part of the slots that is used; backend servers may slow down when they are nearly full.
const USED_SLOTS: f64 = 0.94;
/// Part of the time left that a root request may spend in the queue.
const ROOT_WAIT_SHARE: f64 = 0.2;
/// Part of the time left that a call beneath a running request may spend in the queue. Small,
/// since a request makes several calls one after the other and each may wait as long.
const CALL_WAIT_SHARE: f64 = 0.15;
/// Part of its expected time that must be left when a request starts.
const LEFT_SHARE: f64 = 0.6;
/// Weight of a completion in the mean times.
const MEAN_WEIGHT: f64 = 0.1;
/// Time that a request is expected to take before any has completed, in milliseconds.
const FIRST_EXPECTED_MS: f64 = 100.0;
/// Shortest time to come back after a refusal, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketNo(pub u64);

/// A request that asks to run.
#[derive(Debug, Clone, Copy)]
pub struct Offer<'a> {
    /// Its kind, by which the time it takes is expected.
    pub route: &'a ServiceName,
    /// Rank of its root request; 0 goes first.
    pub priority: u8,
    /// Whether it is a call beneath a running request, whose work would be lost.
    pub is_call: bool,
    /// When its answer is worthless.
    pub deadline: TimeMs,
}

/// What becomes of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offered {
    /// It runs now and must be reported by [`Admission::finished`].
    Run,
    /// It waits; [`Admission::next`] will start or refuse it.
    Wait(TicketNo),
    /// It does not run, though there is room: the time left is too short for it.
    TooLate,
    /// It does not run for want of room.
    Refuse {
        /// When there is likely to be room, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What becomes of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It runs now.
    Start(TicketNo),
    /// It can no longer finish in time, or has made room for one of a higher rank.
    Refuse {
        /// The request.
        ticket: TicketNo,
        /// When there is likely to be room, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Order in the queue: rank, calls before roots, the earlier deadline, arrival.
type Order = (u8, bool, TimeMs, TicketNo);

#[derive(Debug, Clone, Copy)]
struct Waiting {
    expected_ms: f64,
}

/// Running and waiting requests of one backend server.
#[derive(Debug)]
pub struct Admission {
    limit: u32,
    running: u32,
    waiting: BTreeMap<Order, Waiting>,
    tickets: HashMap<TicketNo, Order>,
    mean_ms: f64,
    mean_by_route: HashMap<ServiceName, f64>,
    next_ticket: u64,
}

impl Admission {
    /// For a backend server with so many slots.
    pub fn new(slots: u32) -> Admission {
        Admission {
            limit: limit_of(slots),
            running: 0,
            waiting: BTreeMap::new(),
            tickets: HashMap::new(),
            mean_ms: FIRST_EXPECTED_MS,
            mean_by_route: HashMap::new(),
            next_ticket: 0,
        }
    }

    /// Follows a change of the slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit = limit_of(slots);
    }

    /// Requests that may run at a time.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Mean time of a request, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Time that a request of this kind is expected to take, in milliseconds.
    pub fn expected_ms(&self, route: &ServiceName) -> f64 {
        let known = self.mean_by_route.get(route).copied();
        known.unwrap_or(self.mean_ms)
    }

    /// Decides about a new request.
    pub fn offer(&mut self, now: TimeMs, offer: Offer<'_>) -> Offered {
        let expected_ms = self.expected_ms(offer.route);
        let left_ms = offer.deadline.since_ms(now) as f64;
        if self.running < self.limit && self.waiting.is_empty() {
            if left_ms < expected_ms * LEFT_SHARE * LEFT_SHARE {
                return Offered::TooLate;
            }
            self.running += 1;
            return Offered::Run;
        }
        let ticket = TicketNo(self.next_ticket);
        let order = (offer.priority, !offer.is_call, offer.deadline, ticket);
        let ahead = self.waiting.range(..order).count();
        let wait_ms = self.wait_ms(ahead);
        let share = if offer.is_call {
            CALL_WAIT_SHARE
        } else {
            ROOT_WAIT_SHARE
        };
        if wait_ms > left_ms * share || wait_ms + expected_ms * LEFT_SHARE > left_ms {
            return self.refuse(ahead);
        }
        self.next_ticket += 1;
        self.waiting.insert(order, Waiting { expected_ms });
        self.tickets.insert(ticket, order);
        Offered::Wait(ticket)
    }

    /// Frees the slot of a request that did not run to its end.
    pub fn released(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes in that a running request has ended; `took_ms` if it ran to its end.
    pub fn finished(&mut self, route: &ServiceName, took_ms: Option<u64>) {
        self.released();
        let Some(took_ms) = took_ms else { return };
        let took_ms = took_ms as f64;
        self.mean_ms += (took_ms - self.mean_ms) * MEAN_WEIGHT;
        match self.mean_by_route.get_mut(route) {
            Some(mean_ms) => *mean_ms += (took_ms - *mean_ms) * MEAN_WEIGHT,
            None => {
                self.mean_by_route.insert(route.clone(), took_ms);
            }
        }
    }

    /// Drops a waiting request; false if it does not wait any more.
    pub fn cancel(&mut self, ticket: TicketNo) -> bool {
        match self.tickets.remove(&ticket) {
            Some(order) => self.waiting.remove(&order).is_some(),
            None => false,
        }
    }

    /// The next waiting request to start or to refuse, if any.
    pub fn next(&mut self, now: TimeMs) -> Option<Verdict> {
        let (order, waiting) = self.waiting.first_key_value()?;
        let (_, _, deadline, ticket) = *order;
        let is_late = (deadline.since_ms(now) as f64) < waiting.expected_ms * LEFT_SHARE;
        if !is_late && self.running >= self.limit {
            return None;
        }
        self.cancel(ticket);
        if is_late {
            let retry_after_ms = self.retry_after_ms(self.waiting.len());
            return Some(Verdict::Refuse {
                ticket,
                retry_after_ms,
            });
        }
        self.running += 1;
        Some(Verdict::Start(ticket))
    }

    fn refuse(&self, ahead: usize) -> Offered {
        Offered::Refuse {
            retry_after_ms: self.retry_after_ms(ahead),
        }
    }

    /// Time until so many waiting requests have started, in milliseconds.
    fn wait_ms(&self, ahead: usize) -> f64 {
        (ahead as f64 + 1.0) * self.mean_ms / f64::from(self.limit.max(1))
    }

    fn retry_after_ms(&self, ahead: usize) -> u64 {
        (self.wait_ms(ahead) as u64).max(MIN_RETRY_AFTER_MS)
    }
}

fn limit_of(slots: u32) -> u32 {
    ((f64::from(slots) * USED_SLOTS) as u32).max(1)
}
