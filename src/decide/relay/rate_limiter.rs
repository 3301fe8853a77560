//! A token bucket that bounds how many requests begin at a backend server.
//!
//! The rate limit of a backend server is a sum over all daemons. All requests to it pass through
//! the daemon beside it, so one bucket there keeps the sum without any agreement between daemons.

use crate::model::TimeMs;

/// Lower bound of the rate, in requests a second: the end of a limit is stated in an answer, so a
/// request must get through now and then.
const MIN_PER_S: f64 = 0.5;
/// Size of the bucket in seconds of the rate, beyond one request. Bounds the burst after an idle
/// time or a pause of the process.
const BURST_S: f64 = 0.5;

/// Tokens for requests, refilled at a constant rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimiter {
    per_s: f64,
    tokens: f64,
    refilled_at: TimeMs,
}

impl RateLimiter {
    /// Creates an empty bucket for `per_s` requests a second.
    pub fn new(now: TimeMs, per_s: f64) -> RateLimiter {
        RateLimiter {
            per_s: per_s.max(MIN_PER_S),
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// The rate, in requests a second; not less than the lower bound.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Changes the rate and keeps the tokens that fit.
    pub fn set_per_s(&mut self, now: TimeMs, per_s: f64) {
        self.refill(now);
        self.per_s = per_s.max(MIN_PER_S);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes a token for a request that begins now; returns false if there is none.
    pub fn take(&mut self, now: TimeMs) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Time until a request may begin that has `ahead` others before it, in milliseconds.
    pub fn wait_ms(&self, now: TimeMs, ahead: usize) -> f64 {
        let missing = ahead as f64 + 1.0 - self.tokens_at(now);
        missing.max(0.0) / self.per_s * 1_000.0
    }

    fn capacity(&self) -> f64 {
        1.0 + self.per_s * BURST_S
    }

    fn tokens_at(&self, now: TimeMs) -> f64 {
        let refilled = now.since_ms(self.refilled_at) as f64 / 1_000.0 * self.per_s;
        (self.tokens + refilled).min(self.capacity())
    }

    /// A clock that steps back refills nothing, and nothing twice.
    fn refill(&mut self, now: TimeMs) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }
}
