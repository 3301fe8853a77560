//! An aggregator: leases the portions of the daemons that report to it, and decides about the
//! portions that it holds.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::bucket::Bucket;
use super::{FULL_SHARE, QuotaReport, QuotaTable};
use crate::model::{OrganisationName, TimeMs};

/// How long portions are held after the reporting daemon last knew of the lease, in milliseconds.
/// More than two intervals of reports; see [`super::uplink::LEASE_MS`] for its counterpart.
pub const HOLD_MS: u64 = 600;
/// How long a reporting daemon's number is remembered after its last report, in milliseconds. Longer
/// than any report is repeated.
const FORGET_MS: u64 = 5_000;
/// Debt with which buckets start, in seconds of the rate: what an organisation far above its quota has
/// beyond it until the demand is known. One that keeps 0.6 of its quota is not limited by it.
const START_DEBT_S: f64 = 0.2;
/// Interval at which shares are computed, in milliseconds.
const SHARES_MS: u64 = 10;

#[derive(Debug, Clone, Copy)]
struct Child {
    incarnation: u32,
    number: u64,
    portions: u32,
    held_until: TimeMs,
    heard_at: TimeMs,
}

/// What an aggregator knows of those that report to it, and its buckets.
#[derive(Debug, Default)]
pub struct Aggregator {
    children: HashMap<SocketAddr, Child>,
    buckets: HashMap<OrganisationName, Bucket>,
    /// Since when it decides; buckets of organisations that were idle since then have filled.
    decides_since: TimeMs,
    shares: Vec<(OrganisationName, u16)>,
    shares_at: Option<TimeMs>,
}

impl Aggregator {
    /// Takes over the lease of a report; true if its counts have not been counted yet.
    pub fn accept(&mut self, now: TimeMs, report: &QuotaReport) -> bool {
        let known = self.children.get(&report.from);
        let is_new = known.is_none_or(|child| {
            child.incarnation != report.incarnation || child.number < report.number
        });
        let is_outdated = known.is_some_and(|child| {
            child.incarnation == report.incarnation && child.number > report.number
        });
        if is_outdated {
            return false;
        }
        let left_ms = HOLD_MS.saturating_sub(report.age_ms);
        self.children.insert(
            report.from,
            Child {
                incarnation: report.incarnation,
                number: report.number,
                portions: report.portions,
                held_until: now.plus_ms(left_ms),
                heard_at: now,
            },
        );
        is_new && report.portions > 0
    }

    /// Portions held now, in daemons.
    pub fn portions(&self, now: TimeMs) -> u32 {
        let held = self.children.values();
        held.filter(|child| now < child.held_until)
            .map(|child| child.portions)
            .sum()
    }

    /// Whether nobody has reported for a while.
    pub fn is_unused(&self) -> bool {
        self.children.is_empty()
    }

    /// Forgets daemons that have not reported for a while, and buckets that are idle.
    pub fn expire(&mut self, now: TimeMs, table: &QuotaTable) {
        self.children
            .retain(|_, child| now.since_ms(child.heard_at) < FORGET_MS);
        let held = table.fraction(self.portions(now));
        self.buckets.retain(|name, bucket| {
            let Some(allowance) = table.allowances.get(name) else {
                return false;
            };
            bucket.advance(now, allowance, held);
            !bucket.is_idle(allowance, held)
        });
    }

    /// Begins to decide about organisations of which nothing is known.
    pub fn begin_anew(&mut self, now: TimeMs) {
        self.buckets.clear();
        self.decides_since = now;
        self.shares_at = None;
    }

    /// Begins to decide, with almost empty buckets, so that no restart and no change of view adds a
    /// burst. An organisation that was limited, as `was_limited` tells, keeps its debt.
    pub fn begin(
        &mut self,
        now: TimeMs,
        table: &QuotaTable,
        was_limited: impl Fn(&OrganisationName) -> bool,
    ) {
        let held = table.fraction(self.portions(now));
        for (name, bucket) in &mut self.buckets {
            let allowance = table.allowances.get(name);
            let allowance = allowance.filter(|_| was_limited(name));
            let most_debt = allowance.map_or(0.0, |allowance| {
                (allowance.burst + allowance.reserve) * held
            });
            bucket.restart(table.start_tokens * held, most_debt);
        }
        self.decides_since = now;
        self.shares_at = None;
    }

    /// Debts of organisations, in whole requests.
    pub fn debts(&self) -> impl Iterator<Item = (&OrganisationName, u32)> {
        let debts = self.buckets.iter();
        let debts = debts.map(|(name, bucket)| (name, bucket.debt() as u32));
        debts.filter(|(_, debt)| *debt > 0)
    }

    /// Counts the requests of a report in the buckets.
    pub fn record(&mut self, now: TimeMs, table: &QuotaTable, report: &QuotaReport) {
        let held = table.fraction(self.portions(now));
        for (name, received, admitted) in &report.counts {
            let Some(allowance) = table.allowances.get(name) else {
                continue;
            };
            let bucket = match self.buckets.get_mut(name) {
                Some(bucket) => bucket,
                None => {
                    let idle_s = now.since_ms(self.decides_since) as f64 / 1_000.0;
                    let tokens =
                        (table.start_tokens + allowance.per_s * (idle_s - START_DEBT_S)) * held;
                    let tokens = tokens.min(allowance.burst * held);
                    let bucket = Bucket::new(now, tokens);
                    self.buckets.entry(name.clone()).or_insert(bucket)
                }
            };
            bucket.advance(now, allowance, held);
            bucket.record(*received, *admitted);
        }
    }

    /// Shares of the organisations that are limited now, by the buckets.
    pub fn shares(&mut self, now: TimeMs, table: &QuotaTable) -> &[(OrganisationName, u16)] {
        let is_fresh = self
            .shares_at
            .is_some_and(|at| now.since_ms(at) < SHARES_MS);
        if !is_fresh {
            self.shares_at = Some(now);
            self.shares.clear();
            let held = table.fraction(self.portions(now));
            for (name, bucket) in &mut self.buckets {
                let Some(allowance) = table.allowances.get(name) else {
                    continue;
                };
                bucket.advance(now, allowance, held);
                let share = (bucket.share(allowance, held) * f64::from(FULL_SHARE)) as u16;
                if share < FULL_SHARE {
                    self.shares.push((name.clone(), share));
                }
            }
        }
        &self.shares
    }
}
