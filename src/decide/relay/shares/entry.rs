//! The entry's side of load shedding: admits root requests by the shares that the workers of
//! overloaded services report.

use std::collections::{BTreeSet, HashMap};

use super::{FULL_SHARE, MIN_ORGANISATION_SHARE, MIN_SHARE, RootKind, ShareReport};
use crate::model::{OrganisationName, ServiceName, TimeMs};

/// Maximum age of a report that is used or forwarded, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 1_500;
/// Maximum number of reports that are forwarded in one message.
const MAX_FORWARDED_REPORTS: usize = 8;
/// Most organisations with a credit, which bounds memory. Beyond, all start anew at random, which
/// keeps the admitted fraction on average.
const MAX_ORGANISATION_CREDITS: usize = 1_024;

/// Newest report of one worker.
#[derive(Debug, Clone)]
struct ReceivedReport {
    at: TimeMs,
    report: ShareReport,
}

/// Reports of overloaded services received by an entry daemon, and the admission based on them.
#[derive(Debug, Default)]
pub struct EntryShares {
    /// By overloaded service, then by worker.
    received: HashMap<ServiceName, HashMap<u32, ReceivedReport>>,
    /// Credit of each route; at 1 the next root request is admitted.
    credits: HashMap<ServiceName, f64>,
    /// Credits of organisations that are or were held back, at most [`MAX_ORGANISATION_CREDITS`].
    organisation_credits: HashMap<OrganisationName, f64>,
}

impl EntryShares {
    /// Stores a report, received directly or forwarded by another daemon, if it is the newest of
    /// its worker and not too old.
    pub fn record_report(&mut self, now: TimeMs, report: &ShareReport) {
        if report.age_ms > MAX_REPORT_AGE_MS {
            return;
        }
        let at = TimeMs(now.0.saturating_sub(report.age_ms));
        if !self.received.contains_key(&report.service) {
            self.received.insert(report.service.clone(), HashMap::new());
        }
        let Some(workers) = self.received.get_mut(&report.service) else {
            return;
        };
        let is_outdated = workers
            .get(&report.worker)
            .is_some_and(|known| known.at >= at);
        if !is_outdated {
            let received = ReceivedReport {
                at,
                report: report.clone(),
            };
            workers.insert(report.worker, received);
        }
    }

    /// Reports to forward to other daemons, newest first. Expired reports are dropped.
    pub fn reports(&mut self, now: TimeMs) -> Vec<ShareReport> {
        if self.received.is_empty() {
            return Vec::new();
        }
        self.received.retain(|_, workers| {
            workers.retain(|_, received| now.since_ms(received.at) <= MAX_REPORT_AGE_MS);
            !workers.is_empty()
        });
        let received = self.received.values().flat_map(HashMap::values);
        let mut newest: Vec<&ReceivedReport> = received.collect();
        newest.sort_by_key(|received| now.since_ms(received.at));
        newest.truncate(MAX_FORWARDED_REPORTS);
        let reports = newest.into_iter().map(|received| ShareReport {
            age_ms: now.since_ms(received.at),
            ..received.report.clone()
        });
        reports.collect()
    }

    /// The share of a kind of root request that is admitted now: the lowest share over all
    /// services. The share at a service is the mean over its workers, whose number `workers_of`
    /// returns, weighted by the capacity that rate limits leave them: what a limited worker cannot
    /// take, the others may have room for. Workers without a report count as 1.
    pub fn share<'a>(
        &self,
        now: TimeMs,
        kind: impl Into<RootKind<'a>>,
        workers_of: impl Fn(&ServiceName) -> usize,
    ) -> f64 {
        let kind = kind.into();
        let mut least: f64 = 1.0;
        for (service, workers) in &self.received {
            let fresh = workers
                .values()
                .filter(|received| now.since_ms(received.at) <= MAX_REPORT_AGE_MS);
            let (mut missing, mut capacity) = (0.0, workers_of(service).max(workers.len()) as f64);
            for received in fresh {
                let ShareReport { capacity_ratio, .. } = received.report;
                missing += (1.0 - received.report.share(kind)) * capacity_ratio;
                capacity -= 1.0 - capacity_ratio;
            }
            least = least.min(1.0 - missing / capacity);
        }
        if least >= FULL_SHARE {
            1.0
        } else if kind.organisation.is_some() {
            least.max(MIN_ORGANISATION_SHARE)
        } else {
            least.max(MIN_SHARE)
        }
    }

    /// Admits one root request without an organisation and returns the share in force, or `None` if
    /// it is shed.
    pub fn admit(
        &mut self,
        now: TimeMs,
        route: &ServiceName,
        workers_of: impl Fn(&ServiceName) -> usize,
    ) -> Option<f64> {
        let share = self.share(now, route, workers_of);
        if share >= 1.0 {
            return Some(1.0);
        }
        let credit = match self.credits.get_mut(route) {
            Some(credit) => credit,
            None => self.credits.entry(route.clone()).or_insert(0.5),
        };
        take_credit(credit, share).then_some(share)
    }

    /// Admits one root request of an organisation and returns the share in force, or `None` if it is
    /// shed. `start` is a random number in 0..1, with which the credit of an organisation that has
    /// none begins: a daemon sees most organisations rarely, and with a fixed start would admit the
    /// first request of each always or never.
    pub fn admit_organisation(
        &mut self,
        now: TimeMs,
        kind: RootKind<'_>,
        start: f64,
        workers_of: impl Fn(&ServiceName) -> usize,
    ) -> Option<f64> {
        let share = self.share(now, kind, workers_of);
        let Some(organisation) = kind.organisation.filter(|_| share < 1.0) else {
            return Some(share);
        };
        let credits = &mut self.organisation_credits;
        if !credits.contains_key(organisation) {
            if credits.len() >= MAX_ORGANISATION_CREDITS {
                credits.clear();
            }
            credits.insert(organisation.clone(), start);
        }
        // Kept while the share is 1, so that what is left of the credit still counts later.
        let credit = credits.get_mut(organisation)?;
        take_credit(credit, share).then_some(share)
    }

    /// Organisations that some report in force lists as above the level, at most `max_count`.
    pub fn limited(&self, now: TimeMs, max_count: usize) -> BTreeSet<&OrganisationName> {
        let workers = self.received.values().flat_map(HashMap::values);
        let fresh = workers.filter(|received| now.since_ms(received.at) <= MAX_REPORT_AGE_MS);
        let priorities = fresh.flat_map(|received| received.report.priorities.iter().flatten());
        let mut limited = BTreeSet::new();
        for (name, _) in priorities.flat_map(|shares| &shares.listed) {
            if limited.len() < max_count {
                limited.insert(name);
            }
        }
        limited
    }
}

/// Adds the share to a credit and takes 1 from it for a request that is admitted. The credit stays
/// below 1, so that the admitted fraction follows the share.
fn take_credit(credit: &mut f64, share: f64) -> bool {
    *credit += share;
    let is_admitted = *credit >= 1.0;
    if is_admitted {
        *credit -= 1.0;
    }
    is_admitted
}
