//! The token bucket of one organisation at whoever decides about it, and the share of requests that
//! follows from it. Addresses an organisation whose demand exceeds its quota.

use super::Allowance;
use crate::model::TimeMs;

/// Time over which tokens are spent, or a debt is paid back, in seconds. Longer than the delay of
/// reports, so that the share does not oscillate.
const HORIZON_S: f64 = 0.5;
/// Shortest time constant of the moving average of the demand, in seconds. About the delay of reports:
/// a jump is noticed at once, and requests that are reported together are not taken for a jump.
const DEMAND_S: f64 = 0.15;
/// Requests at the allowed rate that the time constant covers at least: two requests that come together
/// are not taken for a jump.
const DEMAND_REQUESTS: f64 = 2.0;
/// Longest time constant, in seconds.
const MAX_DEMAND_S: f64 = 1.0;
/// Time that the first report of an organisation covers, in seconds.
const FIRST_REPORT_S: f64 = 0.1;
/// Standard deviations of the demand, as random arrivals have it, by which the demand may exceed the
/// rate by chance alone. Requests that are reported together are within this too.
const CHANCE: f64 = 1.5;
/// Tokens that a bucket may hold at least, whatever part of the quota it is for: two requests that are
/// reported together are not refused.
const MIN_BURST: f64 = 1.0;
/// Demand below which an organisation counts as idle, in requests a second.
const IDLE_PER_S: f64 = 0.01;
/// Longest time for which tokens that a full bucket has dropped are remembered, in seconds: the interval of
/// an aggregator's reports.
const MAX_DROPPED_S: f64 = 0.1;

/// Tokens and demand of one organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    tokens: f64,
    /// Tokens that a full bucket has dropped lately, for requests that came before and are reported
    /// together.
    dropped: f64,
    demand_per_s: f64,
    since: TimeMs,
    updated_at: TimeMs,
}

impl Bucket {
    /// A bucket with some tokens and no demand.
    pub fn new(now: TimeMs, tokens: f64) -> Bucket {
        Bucket {
            tokens,
            dropped: 0.0,
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
        let tokens = self.tokens + accrued;
        self.tokens = tokens.min(most_tokens(allowance, held));
        let most_dropped = allowance.per_s * held * MAX_DROPPED_S;
        self.dropped = (self.dropped + tokens - self.tokens).min(most_dropped);
        self.demand_per_s *= (-elapsed_s / demand_s(allowance, held)).exp();
        self.updated_at = self.updated_at.max(now);
    }

    /// Counts requests of a report that have come over `over_s` seconds; `spent` of them take tokens.
    pub fn record(
        &mut self,
        allowance: &Allowance,
        held: f64,
        (received, spent): (f64, f64),
        over_s: f64,
    ) {
        let demand_s = demand_s(allowance, held);
        // The moving average of requests that came evenly while no report was possible.
        let spans = ((over_s - DEMAND_S) / demand_s).max(f64::EPSILON);
        self.demand_per_s += received / demand_s * (1.0 - (-spans).exp()) / spans;
        let accrued = allowance.per_s * held * over_s;
        let back = self.dropped.min(accrued).min(spent);
        self.dropped -= back;
        self.tokens += back - spent;
    }

    /// Drops all tokens above `most`, which may be a debt.
    pub fn limit(&mut self, most: f64) {
        self.tokens = self.tokens.min(most);
    }

    /// Share of requests to admit, from 0 to 1, for the fraction `held` of the quota.
    pub fn share(&self, allowance: &Allowance, held: f64) -> f64 {
        let allowed_per_s = allowance.per_s * held + self.tokens / HORIZON_S;
        let certain_per_s = self.certain_per_s(allowance, held);
        if allowed_per_s >= certain_per_s {
            return 1.0;
        }
        allowed_per_s.max(0.0) / certain_per_s
    }

    /// Whether the demand exceeds the whole quota.
    pub fn exceeds(&self, allowance: &Allowance, held: f64) -> bool {
        self.certain_per_s(allowance, held) > allowance.per_s
    }

    /// The demand without what may be chance.
    fn certain_per_s(&self, allowance: &Allowance, held: f64) -> f64 {
        // A moving average that has just begun is too low.
        let known_s = self.updated_at.since_ms(self.since) as f64 / 1_000.0 + FIRST_REPORT_S;
        let demand_s = demand_s(allowance, held);
        let demand_per_s = self.demand_per_s / (1.0 - (-known_s / demand_s).exp());
        // One without tokens has exceeded its quota already.
        let chance = if self.tokens > 0.0 { CHANCE } else { 0.0 };
        demand_per_s - chance * (demand_per_s / (2.0 * demand_s)).sqrt()
    }

    /// Whether nothing would change if the bucket were created anew, full.
    pub fn is_idle(&self, allowance: &Allowance, held: f64) -> bool {
        self.demand_per_s < IDLE_PER_S && self.tokens >= most_tokens(allowance, held)
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

/// Time constant of the moving average of the demand, in seconds.
fn demand_s(allowance: &Allowance, held: f64) -> f64 {
    let per_s = (allowance.per_s * held).max(f64::MIN_POSITIVE);
    (DEMAND_REQUESTS / per_s).clamp(DEMAND_S, MAX_DEMAND_S)
}

fn most_tokens(allowance: &Allowance, held: f64) -> f64 {
    (allowance.burst * held).max(MIN_BURST)
}
