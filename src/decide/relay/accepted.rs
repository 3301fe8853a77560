//! The share of requests that a backend server accepts while it has slots free.
//!
//! A server that refuses requests although slots are free serves less than its slots suggest, and
//! counts by what it accepts.

use crate::model::TimeMs;

/// Time constant of the counts, in milliseconds.
const TIME_CONSTANT_MS: f64 = 1_000.0;
/// Accepted requests that are assumed in addition, so that single refusals change little.
const ASSUMED_ACCEPTED: f64 = 3.0;
/// Lowest share that is reported.
const MIN_SHARE: f64 = 0.05;

/// Moving counts of accepted and refused requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct AcceptedShare {
    accepted: f64,
    refused: f64,
    at: TimeMs,
}

impl AcceptedShare {
    /// Records whether the backend server has accepted a request.
    pub fn record(&mut self, now: TimeMs, is_accepted: bool) {
        let kept = self.kept(now);
        self.accepted *= kept;
        self.refused *= kept;
        self.at = now;
        if is_accepted {
            self.accepted += 1.0;
        } else {
            self.refused += 1.0;
        }
    }

    /// The accepted share, in 0..=1; returns to 1 when nothing is refused any more.
    pub fn share(&self, now: TimeMs) -> f64 {
        let kept = self.kept(now);
        let accepted = self.accepted * kept + ASSUMED_ACCEPTED;
        (accepted / (accepted + self.refused * kept)).max(MIN_SHARE)
    }

    fn kept(&self, now: TimeMs) -> f64 {
        (-(now.since_ms(self.at) as f64) / TIME_CONSTANT_MS).exp()
    }
}
