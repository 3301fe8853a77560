//! An aggregator: leases the portions of the daemons that report to it, and decides about the
//! portions that it holds.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::bucket::Bucket;
use super::{Allowance, FULL_SHARE, Held, History, QuotaReport, QuotaTable};
use crate::model::{OrganisationName, TimeMs};

/// How long portions are held after the reporting daemon last knew of the lease, in milliseconds.
/// More than two intervals of reports; see [`super::uplink::LEASE_MS`] for its counterpart.
pub const HOLD_MS: u64 = 600;
/// How long a reporting daemon's number is remembered after its last report, in milliseconds. Longer
/// than any report is repeated.
const FORGET_MS: u64 = 5_000;
/// How long after it has begun a decider learns what earlier ones have counted, in milliseconds.
const INHERIT_MS: u64 = 1_000;
/// Debt of an organisation above its quota of which nobody knows what it had before, in seconds of the
/// rate.
const START_DEBT_S: f64 = 0.4;
/// Time in which all that can reach a new decider have reported to it, in milliseconds.
const GATHERED_MS: u64 = 400;
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
    /// What those that report here had counted by earlier deciders.
    inherited: HashMap<OrganisationName, History>,
    /// Whether the inherited counts have been compared with the portions that have come.
    is_gathered: bool,
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

    /// Portions held now, and those that have lapsed since their daemons last reported.
    fn held(&self, now: TimeMs, table: &QuotaTable) -> Held {
        let mut held = Held::default();
        for child in self.children.values() {
            let fraction = table.fraction(child.portions);
            if now < child.held_until {
                held.leased += fraction;
            } else {
                let lapsed_s = now.since_ms(child.held_until) as f64 / 1_000.0;
                held.lapsed += fraction;
                held.lapsed_s += fraction * lapsed_s;
            }
        }
        held
    }

    /// The fraction of one quota that may be given away. A decider that has just begun does not hold all
    /// portions yet: those that report here may go on as they have used to.
    fn usable(&self, now: TimeMs, held: &Held, name: &OrganisationName, quota: &Allowance) -> f64 {
        let bucket = self.buckets.get(name);
        if bucket.is_some_and(|bucket| bucket.exceeds(quota, held.leased)) {
            return held.leased.min(1.0);
        }
        let usable = held.usable(quota);
        if now.since_ms(self.decides_since) >= INHERIT_MS {
            return usable;
        }
        let inherited = self.inherited.get(name);
        let usual_per_s = inherited.map_or(0.0, |history| history.usual_per_s(now));
        usable.max((usual_per_s / quota.per_s).min(1.0))
    }

    /// Whether nobody has reported for a while.
    pub fn is_unused(&self) -> bool {
        self.children.is_empty()
    }

    /// Forgets daemons that have not reported for a while, and buckets that are idle.
    pub fn expire(&mut self, now: TimeMs, table: &QuotaTable) {
        self.children
            .retain(|_, child| now.since_ms(child.heard_at) < FORGET_MS);
        let held = self.held(now, table);
        self.buckets.retain(|name, bucket| {
            let Some(allowance) = table.allowances.get(name) else {
                return false;
            };
            let held = held.usable(allowance);
            bucket.advance(now, allowance, held);
            !bucket.is_idle(allowance, held)
        });
    }

    /// Begins to decide about organisations of which nothing is known.
    pub fn begin_anew(&mut self, now: TimeMs) {
        self.buckets.clear();
        self.inherited.clear();
        self.is_gathered = false;
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
        let held = self.held(now, table);
        for (name, bucket) in &mut self.buckets {
            let allowance = table.allowances.get(name);
            let allowance = allowance.filter(|_| was_limited(name));
            let most_debt = allowance.map_or(0.0, |allowance| {
                (allowance.burst + allowance.reserve) * held.leased
            });
            bucket.restart(table.start_tokens * held.leased, most_debt);
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

    /// Takes account of what earlier deciders have counted: nobody gets a second burst. A decider that
    /// is not new has counted it itself.
    pub fn inherit(
        &mut self,
        now: TimeMs,
        table: &QuotaTable,
        history: &[(OrganisationName, Vec<u32>)],
    ) {
        if now.since_ms(self.decides_since) >= INHERIT_MS {
            self.inherited.clear();
            return;
        }
        for (name, counts) in history {
            let Some(allowance) = table.allowances.get(name) else {
                continue;
            };
            let inherited = self.inherited.entry(name.clone()).or_default();
            inherited.merge(now, counts);
            let left = allowance.burst - inherited.excess(now, allowance.per_s);
            let bucket = self.buckets.entry(name.clone());
            let bucket = bucket.or_insert_with(|| Bucket::new(now, allowance.burst));
            bucket.limit(left);
        }
    }

    /// Limits the bursts of a decider that has got a part of the portions only, as in a partition: what
    /// was admitted counts against this part.
    fn gather(&mut self, now: TimeMs, table: &QuotaTable) {
        if self.is_gathered || now.since_ms(self.decides_since) < GATHERED_MS {
            return;
        }
        self.is_gathered = true;
        let held = self.held(now, table).leased.min(1.0);
        for (name, bucket) in &mut self.buckets {
            let Some(allowance) = table.allowances.get(name) else {
                continue;
            };
            match self.inherited.get_mut(name) {
                Some(inherited) => {
                    let excess = inherited.excess(now, allowance.per_s * held);
                    bucket.limit(allowance.burst * held - excess);
                }
                None if bucket.exceeds(allowance, held) => {
                    bucket.limit(-allowance.per_s * held * START_DEBT_S);
                }
                None => {}
            }
        }
    }

    /// Counts the requests of a report in the buckets.
    pub fn record(&mut self, now: TimeMs, table: &QuotaTable, report: &QuotaReport) {
        let held = self.held(now, table);
        for (name, received, admitted) in &report.counts {
            let Some(allowance) = table.allowances.get(name) else {
                continue;
            };
            let held = self.usable(now, &held, name, allowance);
            let bucket = match self.buckets.get_mut(name) {
                Some(bucket) => bucket,
                None => {
                    let idle_s = now.since_ms(self.decides_since) as f64 / 1_000.0;
                    let tokens = (table.start_tokens + allowance.per_s * idle_s) * held;
                    let tokens = tokens.min(allowance.burst * held);
                    let bucket = Bucket::new(now, tokens);
                    self.buckets.entry(name.clone()).or_insert(bucket)
                }
            };
            bucket.advance(now, allowance, held);
            // What those who report here for the first time have usually had was within the quota.
            let is_new = now.since_ms(self.decides_since) < INHERIT_MS;
            let mut known = report.history.iter().filter(|_| is_new);
            let usual_per_s = known
                .find(|(known, _)| known == name)
                .map_or(0.0, |(_, counts)| History::usual_of(counts));
            let over_s = report.over_ms as f64 / 1_000.0;
            let spent = (f64::from(*admitted) - usual_per_s * over_s).max(0.0);
            bucket.record(allowance, held, (f64::from(*received), spent), over_s);
        }
    }

    /// Shares of the organisations that are limited now, by the buckets.
    pub fn shares(&mut self, now: TimeMs, table: &QuotaTable) -> &[(OrganisationName, u16)] {
        let is_fresh = self
            .shares_at
            .is_some_and(|at| now.since_ms(at) < SHARES_MS);
        if !is_fresh {
            self.gather(now, table);
            self.shares_at = Some(now);
            self.shares.clear();
            let held = self.held(now, table);
            let names: Vec<_> = self.buckets.keys().cloned().collect();
            for name in &names {
                let Some(allowance) = table.allowances.get(name) else {
                    continue;
                };
                let held = self.usable(now, &held, name, allowance);
                let Some(bucket) = self.buckets.get_mut(name) else {
                    continue;
                };
                bucket.advance(now, allowance, held);
                let mut bucket = *bucket;
                if !self.is_gathered && bucket.exceeds(allowance, held) {
                    // Counted against the portions that have come so far, until all could come.
                    let inherited = self.inherited.get_mut(name);
                    let excess =
                        inherited.map_or(0.0, |known| known.excess(now, allowance.per_s * held));
                    bucket.limit(allowance.burst * held - excess);
                }
                let share = (bucket.share(allowance, held) * f64::from(FULL_SHARE)) as u16;
                if share < FULL_SHARE {
                    self.shares.push((name.clone(), share));
                }
            }
        }
        &self.shares
    }
}
