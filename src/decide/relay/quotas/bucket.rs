//! The token bucket of one organisation at whoever decides about it, and the share of requests that
//! follows from it. Addresses an organisation whose demand exceeds its quota.

use super::Allowance;
use crate::model::TimeMs;

/// Time over which tokens are spent, or a debt is paid back, in seconds. Longer than the delay of
/// reports, so that the share does not oscillate.
const HORIZON_S: f64 = 0.5;
/// Time constant of the moving average of the demand, in seconds. About the delay of reports: a jump
/// is noticed at once, and requests that are reported together are not taken for a jump.
const DEMAND_S: f64 = 0.15;
/// Time that the first report of an organisation covers, in seconds.
const FIRST_REPORT_S: f64 = 0.1;
/// Demand below which an organisation counts as idle, in requests a second.
const IDLE_PER_S: f64 = 0.01;

/// Tokens and demand of one organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    tokens: f64,
    demand_per_s: f64,
    since: TimeMs,
    updated_at: TimeMs,
}

impl Bucket {
    /// A bucket with some tokens and no demand.
    pub fn new(now: TimeMs, tokens: f64) -> Bucket {
        Bucket {
            tokens,
            demand_per_s: 0.0,
            since: now,
            updated_at: now,
        }
    }

    /// Adds the tokens that have accrued; `held` is the fraction of the quota that is held. Tokens
    /// above the burst are dropped.
    pub fn advance(&mut self, now: TimeMs, allowance: &Allowance, held: f64) {
        let elapsed_s = now.since_ms(self.updated_at) as f64 / 1_000.0;
        let accrued = allowance.per_s * held * elapsed_s;
        self.tokens = (self.tokens + accrued).min(allowance.burst * held);
        self.demand_per_s *= (-elapsed_s / DEMAND_S).exp();
        self.updated_at = self.updated_at.max(now);
    }

    /// Counts requests of a report.
    pub fn record(&mut self, received: u32, admitted: u32) {
        self.demand_per_s += f64::from(received) / DEMAND_S;
        self.tokens -= f64::from(admitted);
    }

    /// Share of requests to admit, from 0 to 1, for the fraction `held` of the quota.
    pub fn share(&self, allowance: &Allowance, held: f64) -> f64 {
        let allowed_per_s = allowance.per_s * held + self.tokens / HORIZON_S;
        // A moving average that has just begun is too low.
        let known_s = self.updated_at.since_ms(self.since) as f64 / 1_000.0 + FIRST_REPORT_S;
        let demand_per_s = self.demand_per_s / (1.0 - (-known_s / DEMAND_S).exp());
        if allowed_per_s >= demand_per_s {
            return 1.0;
        }
        allowed_per_s.max(0.0) / demand_per_s
    }

    /// Whether nothing would change if the bucket were created anew, full.
    pub fn is_idle(&self, allowance: &Allowance, held: f64) -> bool {
        self.demand_per_s < IDLE_PER_S && self.tokens >= allowance.burst * held
    }

    /// Drops all tokens but these and keeps the demand; a debt stays, up to `most_debt`.
    pub fn restart(&mut self, tokens: f64, most_debt: f64) {
        self.tokens = self.tokens.clamp(-most_debt, tokens);
    }

    /// Requests admitted beyond the tokens that had accrued.
    pub fn debt(&self) -> f64 {
        (-self.tokens).max(0.0)
    }
}
