//! The way up: reports counts to an aggregator and leases portions to it.
//!
//! A lease begins with a report that names portions, and counts from the sending of the newest
//! report that was answered. Another aggregator gets portions and counts as soon as it has answered; the
//! earlier one drops the portions a moment later ([`super::aggregator::HOLD_MS`]). Until requests are
//! counted, the last shares hold, and the number of requests admitted is bounded.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::{Counts, FULL_SHARE, History, Level, QuotaAnswer, QuotaReport};
use crate::model::{OrganisationName, TimeMs};

/// How long portions count as leased after the sending of the last report that was answered, by
/// level, in milliseconds. An aggregator drops them earlier ([`super::aggregator::HOLD_MS`]), by at
/// least the delay of a report; a daemon waits for both levels above it.
const LEASE_MS: (u64, u64) = (1_400, 700);
/// Shortest time between two reports, by level, in milliseconds; an aggregator's cross regions.
const MIN_INTERVAL_MS: (u64, u64) = (20, 100);
/// How long a daemon collects requests before it reports them, in milliseconds.
const COLLECT_MS: u64 = 50;
/// Longest time between two reports, by level, in milliseconds. Two of them fit into the time for
/// which an aggregator holds portions.
const IDLE_INTERVAL_MS: (u64, u64) = (250, 250);
/// Timeout of a report, in milliseconds. Above the round trip between regions.
pub const REPORT_TIMEOUT_MS: u64 = 300;

/// How long an answer takes at most while all is well, in milliseconds, within a zone.
const PROMPT_MS: u64 = 100;
/// Within this time another aggregator answers if the present one has failed, in milliseconds.
const BRIEF_MS: u64 = 500;

/// How long a transfer may take beyond the end of the earlier lease, in milliseconds.
const BRIEFLY_ALONE_MS: u64 = 200;
/// Time from which the aggregator above has counts of most daemons, after all have restarted, in
/// milliseconds.
const FIRST_COUNTS_MS: u64 = 200;
/// Time after which the shares of a lease take account of all daemons, even if this one had nothing to
/// report, in milliseconds.
const SETTLED_MS: u64 = 400;

/// Who decides about this daemon's or zone's portions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// The aggregator above.
    Leased,
    /// Nobody new yet: the last shares hold while an aggregator is looked for.
    Transferring,
    /// This daemon or zone itself.
    Standalone,
}

/// How promptly the aggregator above answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answers {
    /// At once, and it has counted requests of this daemon or zone.
    Counted,
    /// Not at once, but there was time for few reports only.
    Brief,
    /// Not for longer than the choice of another aggregator takes.
    Late,
}

#[derive(Debug)]
struct InFlight {
    to: SocketAddr,
    number: u64,
    portions: u32,
    counts: HashMap<OrganisationName, Counts>,
    history: Vec<(OrganisationName, Vec<u32>)>,
    /// When the first of the requests was counted.
    since: Option<TimeMs>,
    sent_at: TimeMs,
    is_open: bool,
}

/// One daemon's or zone's relation to the aggregator above it.
#[derive(Debug)]
pub struct Uplink {
    own: SocketAddr,
    level: Level,
    incarnation: u32,
    last_number: u64,
    /// Since when aggregators are looked for.
    started_at: Option<TimeMs>,
    parent: Option<SocketAddr>,
    is_leased: bool,
    /// Whether counts of this daemon or zone have been answered since it decided alone.
    is_counted: bool,
    /// Sending of the newest answered report that leased portions to whomever.
    leased_at: Option<TimeMs>,
    /// When the lease of the parent began.
    lease_began: Option<TimeMs>,
    in_flight: Option<InFlight>,
    /// Sending of the first report to whomever since the last answer.
    unanswered_since: Option<TimeMs>,
    pending: HashMap<OrganisationName, Counts>,
    pending_since: Option<TimeMs>,
    is_urgent: bool,
    sent_at: Option<TimeMs>,
    shares: HashMap<OrganisationName, u16>,
    /// Admitted requests that an aggregator has counted.
    history: HashMap<OrganisationName, History>,
    /// The part of it that was taken over from others and that the aggregator above does not know.
    untold: HashMap<OrganisationName, History>,
}

impl Uplink {
    /// An uplink without an aggregator.
    pub fn new(own: SocketAddr, level: Level, incarnation: u32) -> Uplink {
        Uplink {
            own,
            level,
            incarnation,
            last_number: 0,
            started_at: None,
            parent: None,
            is_leased: false,
            is_counted: false,
            leased_at: None,
            lease_began: None,
            in_flight: None,
            unanswered_since: None,
            pending: HashMap::new(),
            pending_since: None,
            is_urgent: false,
            sent_at: None,
            shares: HashMap::new(),
            history: HashMap::new(),
            untold: HashMap::new(),
        }
    }

    /// Who decides now.
    pub fn standing(&self, now: TimeMs) -> Standing {
        let lease_ms = self.by_level(LEASE_MS);
        let since = self.leased_at.or(self.started_at);
        match since {
            Some(at) if now.since_ms(at) >= lease_ms => Standing::Standalone,
            Some(_) | None if self.is_leased => Standing::Leased,
            Some(_) | None => Standing::Transferring,
        }
    }

    /// Looks for an aggregator anew after a pause in which an earlier lease has run out.
    pub fn resume(&mut self, now: TimeMs) {
        if self.standing(now) == Standing::Standalone {
            self.leased_at = None;
            self.started_at = Some(now);
            self.parent = None;
            self.is_leased = false;
            self.is_counted = false;
            self.unanswered_since = None;
        }
    }

    /// How the aggregator above answers.
    pub fn answers(&self, now: TimeMs) -> Answers {
        let unanswered_ms = self.unanswered_ms(now);
        match () {
            () if unanswered_ms > BRIEF_MS => Answers::Late,
            () if unanswered_ms <= PROMPT_MS && self.is_counted => Answers::Counted,
            () => Answers::Brief,
        }
    }

    /// Requests of an organisation that are usually admitted in the time that no answer covers.
    pub fn usual(&self, now: TimeMs, name: &OrganisationName) -> f64 {
        let since = self.in_flight.as_ref().and_then(|sent| sent.since);
        let Some(since) = since.or(self.pending_since) else {
            return 0.0;
        };
        if self.shares.contains_key(name) {
            return 0.0;
        }
        let history = self.history.get(name);
        let per_s = history.map_or(0.0, |history| history.usual_per_s(now));
        per_s * now.since_ms(since).min(BRIEF_MS) as f64 / 1_000.0
    }

    /// Takes over what another has counted of an organisation.
    pub fn merge_history(&mut self, now: TimeMs, name: &OrganisationName, counts: &[u32]) {
        for known in [&mut self.history, &mut self.untold] {
            known.entry(name.clone()).or_default().merge(now, counts);
        }
    }

    /// Remembers requests that were admitted from own portions.
    pub fn remember(&mut self, now: TimeMs, name: &OrganisationName, admitted: u32) {
        if admitted > 0 {
            let history = self.history.entry(name.clone()).or_default();
            history.record(now, admitted);
        }
    }

    /// Forgets organisations without requests in the last seconds.
    pub fn expire(&mut self, now: TimeMs) {
        for known in [&mut self.history, &mut self.untold] {
            known.retain(|_, history| !history.is_empty(now));
        }
    }

    fn unanswered_ms(&self, now: TimeMs) -> u64 {
        self.unanswered_since.map_or(0, |since| now.since_ms(since))
    }

    /// Keeps to shares of before the lease until the aggregator above has counted something.
    pub fn keep_shares(&mut self, shares: &[(OrganisationName, u16)]) {
        for (name, share) in shares {
            let kept = self.shares.entry(name.clone()).or_insert(FULL_SHARE);
            *kept = (*kept).min(*share);
        }
    }

    /// The aggregator above, if one has answered.
    pub fn parent(&self) -> Option<SocketAddr> {
        self.parent
    }

    /// Share of an organisation's requests that the aggregator above has last set.
    pub fn share(&self, name: &OrganisationName) -> f64 {
        let share = self.shares.get(name).copied().unwrap_or(FULL_SHARE);
        f64::from(share) / f64::from(FULL_SHARE)
    }

    /// All organisations that the aggregator above limits.
    pub fn limited(&self) -> &HashMap<OrganisationName, u16> {
        &self.shares
    }

    /// Counts requests for the next report.
    pub fn record(&mut self, now: TimeMs, name: &OrganisationName, received: u32, admitted: u32) {
        let counts = match self.pending.get_mut(name) {
            Some(counts) => counts,
            None => self.pending.entry(name.clone()).or_default(),
        };
        counts.received += received;
        counts.admitted += admitted;
        self.pending_since.get_or_insert(now);
    }

    /// Has the next report sent without collecting further requests.
    pub fn hurry(&mut self) {
        self.is_urgent = true;
    }

    /// Requests of an organisation that were admitted and that no answer has covered.
    pub fn uncounted(&self, name: &OrganisationName) -> u32 {
        let pending = self.pending.get(name).map_or(0, |counts| counts.admitted);
        let sent = self.in_flight.as_ref();
        let sent = sent.and_then(|sent| sent.counts.get(name));
        pending + sent.map_or(0, |counts| counts.admitted)
    }

    /// Organisations with requests that no answer has covered, and how many were admitted.
    pub fn all_uncounted(&self) -> impl Iterator<Item = (&OrganisationName, u32)> {
        let names = self.pending.keys();
        let sent = self.in_flight.iter().flat_map(|sent| sent.counts.keys());
        let sent = sent.filter(|name| !self.pending.contains_key(*name));
        names.chain(sent).map(|name| (name, self.uncounted(name)))
    }

    /// The report that is due now, and where to. `chosen` is the aggregator that ranks first among
    /// those that answer; `portions` is the number of daemons whose portions can be leased.
    pub fn due(
        &mut self,
        now: TimeMs,
        chosen: Option<SocketAddr>,
        portions: u32,
    ) -> Option<(SocketAddr, QuotaReport)> {
        self.started_at.get_or_insert(now);
        let chosen = chosen?;
        if self.in_flight.as_ref().is_some_and(|sent| sent.is_open) || !self.is_due(now, chosen) {
            return None;
        }
        self.sent_at = Some(now);
        self.unanswered_since.get_or_insert(now);
        self.is_urgent = false;
        // Another aggregator must answer before anything changes.
        let may_lease = self.parent == Some(chosen) && portions > 0;
        if may_lease && self.standing(now) == Standing::Standalone {
            self.drop_own_requests(now);
        }
        let portions = if may_lease { portions } else { 0 };
        let unanswered = self.in_flight.take();
        let (number, mut counts, mut history, mut since) = match unanswered {
            Some(sent) if sent.to == chosen && may_lease => {
                (sent.number, sent.counts, sent.history, sent.since)
            }
            unanswered => {
                self.count_again(now, unanswered);
                self.last_number += 1;
                (self.last_number, HashMap::new(), Vec::new(), None)
            }
        };
        let mut age_ms = 0;
        if may_lease {
            if counts.is_empty() {
                counts = std::mem::take(&mut self.pending);
                since = self.pending_since.take();
            }
            // A repeated report has the history that it had; what has come since is told by the next.
            if history.is_empty() {
                let mut untold = std::mem::take(&mut self.untold);
                let known = if self.is_leased {
                    &mut untold
                } else {
                    &mut self.history
                };
                let known = known.iter_mut();
                history = known
                    .map(|(name, history)| (name.clone(), history.counts(now)))
                    .collect();
            }
            let leased_at = self.leased_at.filter(|_| self.is_leased);
            age_ms = leased_at.map_or(0, |at| now.since_ms(at));
        }
        let report = QuotaReport {
            from: self.own,
            level: self.level,
            incarnation: self.incarnation,
            number,
            portions,
            age_ms,
            counts: counts
                .iter()
                .map(|(name, counts)| (name.clone(), counts.received, counts.admitted))
                .collect(),
            over_ms: since.map_or(0, |since| now.since_ms(since)),
            history: history.clone(),
            root: self.parent.filter(|_| self.level == Level::Zone),
        };
        self.in_flight = Some(InFlight {
            to: chosen,
            number,
            portions,
            counts,
            history,
            since,
            sent_at: now,
            is_open: true,
        });
        Some((chosen, report))
    }

    /// Takes over the answer to the report in flight. With `is_chosen` an aggregator that was only asked
    /// becomes the one above.
    pub fn answered(
        &mut self,
        now: TimeMs,
        from: SocketAddr,
        answer: QuotaAnswer,
        is_chosen: bool,
    ) {
        let Some(sent) = self
            .in_flight
            .take_if(|sent| sent.is_open && sent.to == from)
        else {
            return;
        };
        self.unanswered_since = None;
        if self.parent != Some(from) {
            if is_chosen {
                self.switch(from);
            }
            return;
        }
        if sent.portions == 0 {
            return;
        }
        for (name, counts) in &sent.counts {
            self.remember(now, name, counts.admitted);
        }
        // A transfer ends with a moment of deciding alone.
        let alone_ms = self.by_level(LEASE_MS) + BRIEFLY_ALONE_MS;
        if self.leased_at.is_none_or(|at| now.since_ms(at) >= alone_ms) {
            self.is_counted = false;
            self.shares.clear();
        }
        if self.is_leased {
            let lease_ms = self.lease_began.map_or(0, |at| now.since_ms(at));
            let has_counts = !sent.counts.is_empty() && lease_ms >= FIRST_COUNTS_MS;
            self.is_counted |= has_counts || lease_ms >= SETTLED_MS;
            self.shares = answer.shares.into_iter().collect();
        } else {
            // The aggregator above knows little yet.
            self.lease_began = Some(now);
            self.keep_shares(&answer.shares);
        }
        self.is_leased = true;
        self.leased_at = Some(sent.sent_at);
    }

    /// Records that the report in flight was not answered; it is repeated under the same number.
    pub fn failed(&mut self) {
        if let Some(sent) = &mut self.in_flight {
            sent.is_open = false;
        }
    }

    fn switch(&mut self, parent: SocketAddr) {
        self.parent = Some(parent);
        self.is_leased = false;
        // Has the lease begin at once.
        self.sent_at = None;
    }

    /// Counts the requests of a report that was not answered for the next one.
    fn count_again(&mut self, now: TimeMs, unanswered: Option<InFlight>) {
        let Some(sent) = unanswered else {
            return;
        };
        for (name, counts) in sent.counts {
            self.record(now, &name, counts.received, counts.admitted);
        }
        self.pending_since = sent.since.or(self.pending_since);
    }

    /// Drops counts of requests that this daemon or zone has admitted from its own portions. What
    /// limited organisations had at a daemon stays; an aggregator reports debts of its own buckets.
    fn drop_own_requests(&mut self, now: TimeMs) {
        for (name, mut counts) in std::mem::take(&mut self.pending) {
            let is_limited = self.shares.contains_key(&name);
            if self.level == Level::Daemon && counts.admitted > 0 && is_limited {
                counts.received = 0;
                self.pending.insert(name, counts);
            } else {
                self.remember(now, &name, counts.admitted);
            }
        }
        self.pending_since = self.pending_since.filter(|_| !self.pending.is_empty());
    }

    fn is_due(&self, now: TimeMs, chosen: SocketAddr) -> bool {
        let Some(sent_at) = self.sent_at else {
            return true;
        };
        let since_ms = now.since_ms(sent_at);
        if since_ms < self.by_level(MIN_INTERVAL_MS) {
            return false;
        }
        let has_failed = self.in_flight.is_some();
        let is_switching = self.parent != Some(chosen);
        if has_failed || is_switching || !self.is_leased || self.is_urgent {
            return true;
        }
        let is_collected = self.is_leased
            && self.pending_since.is_some_and(|since| {
                self.level == Level::Zone || now.since_ms(since) >= COLLECT_MS
            });
        is_collected || since_ms >= self.by_level(IDLE_INTERVAL_MS)
    }

    fn by_level(&self, (daemon_ms, zone_ms): (u64, u64)) -> u64 {
        match self.level {
            Level::Daemon => daemon_ms,
            Level::Zone => zone_ms,
        }
    }
}
