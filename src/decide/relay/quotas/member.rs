//! The decision at an entry: admits root requests of an organisation by the share that the aggregator
//! has set, or alone from this daemon's own portion.

use std::collections::HashMap;

use rand::{Rng, RngExt};

use super::{Allowance, Answers, QuotaTable, Standing, Uplink};
use crate::model::{OrganisationName, TimeMs};

/// Time in which those refused are to come back at a rate that there is room for, in milliseconds, as
/// long as the bucket of a decider needs to follow.
const SHARE_RETRY_MS: f64 = 500.0;
/// Retry-after time of a request for which no answer of an aggregator is there yet, in milliseconds.
const UNCOUNTED_RETRY_MS: f64 = 250.0;
/// Retry-after time of a request while the other daemons are not known, in milliseconds.
const UNKNOWN_RETRY_MS: f64 = 1_000.0;
/// Bounds of retry-after times before jitter, in milliseconds.
const RETRY_MS: (f64, f64) = (200.0, 10_000.0);
/// Jitter of retry-after times, as a ratio.
const JITTER: std::ops::Range<f64> = 0.75..1.5;
/// How long a token of a daemon on its own must have been there to count as saved up, in
/// milliseconds.
const SAVED_MS: u64 = 1_000;
/// Tokens that a daemon which begins to decide alone starts without if the organisation was limited.
const LIMITED_DEBT: f64 = 1.0;
/// Fraction of reserve and burst that all daemons on their own together may have saved up.
const SAVED_FRACTION: f64 = 0.5;

/// Why a request is refused for the quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalCause {
    /// The organisation exceeds its quota, by the share of the aggregator.
    Share,
    /// Too many requests are admitted that no aggregator has counted.
    Uncounted,
    /// This daemon decides alone, and its portion is used up.
    Portion,
    /// This daemon does not know the others yet, so it has no portion.
    Unknown,
}

/// A refusal for the quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// Share of the organisation's requests that the aggregator has last set, from 0 to 1.
    pub share: f64,
    /// When there is room for this organisation, with jitter, in milliseconds from now.
    pub retry_after_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    /// At 1 the next request is admitted.
    credit: f64,
    /// Random, from 0 to 1; rounds the number of requests that are admitted without an answer.
    chance: f64,
    /// Tokens of this daemon's own portion, and since when there is a whole one.
    tokens: f64,
    whole_since: Option<TimeMs>,
    updated_at: TimeMs,
    /// The period of deciding alone that the tokens belong to.
    period: u64,
}

/// What this daemon knows of each organisation whose requests it receives.
#[derive(Debug, Default)]
pub struct Member {
    entries: HashMap<OrganisationName, Entry>,
    /// Counts the periods in which this daemon decides alone.
    period: u64,
}

impl Member {
    /// Begins to decide alone, with tokens that no earlier period has left.
    pub fn begin_alone(&mut self) {
        self.period += 1;
    }

    /// Forgets organisations without a quota.
    pub fn retain(&mut self, table: &QuotaTable) {
        self.entries
            .retain(|name, _| table.allowances.contains_key(name));
    }

    /// Refuses a root request of a daemon that does not know the others.
    pub fn refuse_unknown(
        table: &QuotaTable,
        uplink: &Uplink,
        name: &OrganisationName,
        rng: &mut impl Rng,
    ) -> Result<(), QuotaRefusal> {
        if !table.allowances.contains_key(name) {
            return Ok(());
        }
        Err(QuotaRefusal {
            cause: RefusalCause::Unknown,
            share: uplink.share(name),
            retry_after_ms: (UNKNOWN_RETRY_MS * rng.random_range(JITTER)) as u64,
        })
    }

    /// Decides about one root request. A daemon that is not listed as active has no portion.
    pub fn check(
        &mut self,
        now: TimeMs,
        table: &QuotaTable,
        uplink: &mut Uplink,
        name: &OrganisationName,
        is_listed: bool,
        rng: &mut impl Rng,
    ) -> Result<(), QuotaRefusal> {
        let Some(allowance) = table.allowances.get(name) else {
            return Ok(());
        };
        let portion = if is_listed { table.fraction(1) } else { 0.0 };
        uplink.record(now, name, 1, 0);
        let entry = match self.entries.get_mut(name) {
            Some(entry) => entry,
            None => self.entries.entry(name.clone()).or_insert(Entry {
                credit: rng.random(),
                chance: rng.random(),
                tokens: 0.0,
                whole_since: None,
                updated_at: now,
                period: 0,
            }),
        };
        let decided = match uplink.standing(now) {
            Standing::Standalone => {
                if entry.period != self.period {
                    entry.period = self.period;
                    // What a limited organisation had beyond its quota is not counted by anyone else.
                    let is_limited = uplink.share(name) < 1.0;
                    let debt = if is_limited { LIMITED_DEBT } else { 0.0 };
                    let unusual = f64::from(uplink.uncounted(name)) - uplink.usual(now, name);
                    entry.tokens = rng.random::<f64>() - debt - unusual.max(0.0);
                    entry.whole_since = None;
                    entry.updated_at = now;
                }
                entry.take_own(now, portion, allowance, rng)
            }
            Standing::Leased | Standing::Transferring => {
                let answers = uplink.answers(now);
                let usual = uplink.usual(now, name);
                let most = table.member_uncounted(allowance, answers, usual);
                let uncounted = f64::from(uplink.uncounted(name));
                if uncounted + 1.0 >= most / 2.0 {
                    uplink.hurry();
                }
                if answers == Answers::Counted {
                    entry.chance = rng.random();
                }
                // Below one request by chance, drawn once for all requests without an answer.
                if uncounted + entry.chance >= most {
                    Err((RefusalCause::Uncounted, UNCOUNTED_RETRY_MS))
                } else {
                    entry.take_share(uplink.share(name))
                }
            }
        };
        decided.map_err(|(cause, after_ms)| {
            let (least, most) = RETRY_MS;
            let retry_after_ms = after_ms.clamp(least, most) * rng.random_range(JITTER);
            QuotaRefusal {
                cause,
                share: uplink.share(name),
                retry_after_ms: retry_after_ms as u64,
            }
        })
    }
}

impl Entry {
    fn take_share(&mut self, share: f64) -> Result<(), (RefusalCause, f64)> {
        if share >= 1.0 {
            return Ok(());
        }
        self.credit += share;
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return Ok(());
        }
        // Those refused in this time, coming back in the time returned, use the rate that there is.
        let after_ms = SHARE_RETRY_MS * (1.0 - share) / share.max(0.01);
        Err((RefusalCause::Share, after_ms))
    }

    /// Takes a token of this daemon's own portion. A token that was saved up is valid only with such
    /// a probability that all daemons together, deciding alone, keep the bound; otherwise it is lost.
    fn take_own(
        &mut self,
        now: TimeMs,
        portion: f64,
        allowance: &Allowance,
        rng: &mut impl Rng,
    ) -> Result<(), (RefusalCause, f64)> {
        if portion <= 0.0 {
            return Err((RefusalCause::Portion, UNCOUNTED_RETRY_MS));
        }
        let per_ms = allowance.per_s * portion / 1_000.0;
        let before = self.tokens;
        let elapsed_ms = now.since_ms(self.updated_at) as f64;
        let most = (allowance.burst * portion).max(1.0);
        self.tokens = (before + per_ms * elapsed_ms).min(most);
        if self.tokens >= 1.0 && self.whole_since.is_none() {
            let whole_ms = ((1.0 - before).max(0.0) / per_ms) as u64;
            self.whole_since = Some(self.updated_at.plus_ms(whole_ms));
        }
        self.updated_at = now;
        if self.tokens < 1.0 {
            let after_ms = (1.0 - self.tokens) / per_ms;
            return Err((RefusalCause::Portion, after_ms));
        }
        let is_saved = self
            .whole_since
            .is_some_and(|since| now.since_ms(since) >= SAVED_MS);
        self.tokens -= 1.0;
        if self.tokens < 1.0 {
            self.whole_since = None;
        }
        let valid = (allowance.burst + allowance.reserve) * SAVED_FRACTION * portion;
        if is_saved && valid < 1.0 {
            // Daemons that lose or use a saved token together must not have the next one together.
            self.tokens -= rng.random::<f64>();
            if !rng.random_bool(valid) {
                return Err((RefusalCause::Portion, 1.0 / per_ms));
            }
        }
        Ok(())
    }
}
