//! All that one daemon does for quotas: admits at its entry, aggregates for its availability zone if
//! it ranks first there, and for all zones if it ranks first among the aggregators.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;

use super::{
    Aggregator, FULL_SHARE, Level, Member, QuotaAnswer, QuotaRefusal, QuotaReport, QuotaTable,
    Ranking, Standing, Succession, Uplink,
};
use crate::decide::relay::silent_peers::SilentPeers;
use crate::model::{OrganisationName, TimeMs};

/// Longest time between two calls of [`QuotaNode::due`] while the process runs, in milliseconds.
const MAX_GAP_MS: u64 = 300;
/// How long after a pause reports may have waited in a socket, in milliseconds. Their leases would
/// be counted from too late a time.
const BACKLOG_MS: u64 = 100;
/// Interval of expiry and of changes for the log, in milliseconds.
const EXPIRE_MS: u64 = 500;
/// Interval at which aggregators are ranked again, in milliseconds.
const CHOOSE_MS: u64 = 50;
/// How long an organisation is within its quota until its limit counts as ended, in milliseconds.
const LIMIT_ENDS_MS: u64 = 3_000;

/// What a daemon is to the others, for metrics and log lines.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum QuotaRole {
    /// Leases its portion to an aggregator.
    Leases,
    /// Aggregates for its availability zone.
    Aggregator,
    /// Aggregates for all zones that report to it.
    Root,
    /// Decides alone.
    Standalone,
}

/// A report to be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Outgoing {
    /// Hop address of the aggregator.
    pub to: SocketAddr,
    /// The report.
    pub report: QuotaReport,
}

/// An organisation whose limit has begun or ended at this decider.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// The organisation.
    pub name: OrganisationName,
    /// Share of requests admitted; 1 if the limit has ended.
    pub share: f64,
}

/// The aggregators that rank first by this daemon's view.
#[derive(Debug, Clone, Copy)]
struct Chosen {
    at: TimeMs,
    aggregator: Option<SocketAddr>,
    root: Option<SocketAddr>,
}

/// The quotas at one daemon.
#[derive(Debug)]
pub struct QuotaNode {
    own: SocketAddr,
    member: Member,
    daemon_uplink: Uplink,
    is_alone: bool,
    zone: Aggregator,
    zone_uplink: Uplink,
    is_zone_alone: bool,
    root: Aggregator,
    silent: SilentPeers,
    succession: Succession,
    /// Ranks daemons by the directory.
    pub ranking: Ranking,
    table: Arc<QuotaTable>,
    chosen: Option<Chosen>,
    seen_at: Option<TimeMs>,
    resumed_at: Option<TimeMs>,
    expired_at: TimeMs,
    limited: HashMap<OrganisationName, TimeMs>,
}

impl QuotaNode {
    /// A daemon that knows no other yet; `incarnation` identifies its start.
    pub fn new(own: SocketAddr, incarnation: u32) -> QuotaNode {
        QuotaNode {
            own,
            member: Member::default(),
            daemon_uplink: Uplink::new(own, Level::Daemon, incarnation),
            is_alone: false,
            zone: Aggregator::default(),
            zone_uplink: Uplink::new(own, Level::Zone, incarnation),
            is_zone_alone: false,
            root: Aggregator::default(),
            silent: SilentPeers::default(),
            succession: Succession::default(),
            ranking: Ranking::default(),
            table: Arc::new(QuotaTable::default()),
            chosen: None,
            seen_at: None,
            resumed_at: None,
            expired_at: TimeMs(0),
            limited: HashMap::new(),
        }
    }

    /// Puts quotas in force. Buckets keep their tokens up to the new burst.
    pub fn configure(&mut self, table: Arc<QuotaTable>) {
        self.member.retain(&table);
        self.table = table;
    }

    /// The quotas in force.
    pub fn table(&self) -> &Arc<QuotaTable> {
        &self.table
    }

    /// Decides about one root request of an organisation.
    pub fn check(
        &mut self,
        now: TimeMs,
        name: &OrganisationName,
        rng: &mut impl Rng,
    ) -> Result<(), QuotaRefusal> {
        self.observe(now);
        self.note_standing(now);
        let (table, uplink) = (&self.table, &mut self.daemon_uplink);
        if !self.ranking.is_known() {
            return Member::refuse_unknown(table, uplink, name, rng);
        }
        let is_listed = self.ranking.is_listed();
        self.member.check(now, table, uplink, name, is_listed, rng)
    }

    /// Records that a request which was checked is sent to a backend server.
    pub fn record_admitted(&mut self, now: TimeMs, name: &OrganisationName) {
        if self.table.allowances.contains_key(name) {
            self.daemon_uplink.record(now, name, 0, 1);
        }
    }

    /// Reports that are due now. To be called every few milliseconds.
    pub fn due(&mut self, now: TimeMs) -> Vec<Outgoing> {
        self.observe(now);
        self.note_standing(now);
        let mut outgoing = Vec::new();
        let Chosen {
            aggregator, root, ..
        } = self.choose(now);
        if let Some((to, report)) = self.daemon_uplink.due(now, aggregator, 1) {
            self.dispatch(now, to, report, &mut outgoing);
        }
        if !self.zone.is_unused() {
            let portions = self.zone.portions(now);
            if let Some((to, report)) = self.zone_uplink.due(now, root, portions) {
                self.dispatch(now, to, report, &mut outgoing);
            }
        }
        if now.since_ms(self.expired_at) >= EXPIRE_MS {
            self.expired_at = now;
            self.daemon_uplink.expire(now);
            self.zone_uplink.expire(now);
            self.zone.expire(now, &self.table);
            self.root.expire(now, &self.table);
        }
        outgoing
    }

    /// Answers a report; `None` if it may have waited while this process was paused, and while the
    /// daemons are not known.
    pub fn receive(&mut self, now: TimeMs, report: &QuotaReport) -> Option<QuotaAnswer> {
        self.observe(now);
        if !self.ranking.is_known() {
            return None;
        }
        if self
            .resumed_at
            .is_some_and(|at| now.since_ms(at) < BACKLOG_MS)
        {
            return None;
        }
        self.note_standing(now);
        match report.level {
            Level::Daemon => Some(self.receive_as_zone(now, report)),
            Level::Zone => Some(self.receive_as_root(now, report)),
        }
    }

    /// Takes over the answer of an aggregator.
    pub fn answered(&mut self, now: TimeMs, level: Level, from: SocketAddr, answer: QuotaAnswer) {
        self.silent.answered(from);
        match level {
            Level::Daemon => self.daemon_uplink.answered(now, from, answer, true),
            Level::Zone => {
                let (told, root) = (answer.root, self.zone_uplink.parent());
                let (ranking, silent) = (&self.ranking, &self.silent);
                let is_chosen = (self.succession).answered(now, from, told, root, ranking, silent);
                self.zone_uplink.answered(now, from, answer, is_chosen);
                self.chosen = None;
            }
        }
        self.note_standing(now);
    }

    /// Records that an aggregator has not answered.
    pub fn failed(&mut self, now: TimeMs, level: Level, to: SocketAddr) {
        self.silent.failed(now, to);
        self.chosen = None;
        match level {
            Level::Daemon => self.daemon_uplink.failed(),
            Level::Zone => self.zone_uplink.failed(),
        }
    }

    /// Has the zones choose another root, before this process stops.
    pub fn leave(&mut self) {
        self.succession.leave();
        self.chosen = None;
    }

    /// What this daemon is to the others.
    pub fn role(&self, now: TimeMs) -> QuotaRole {
        if self.root.portions(now) > 0 {
            QuotaRole::Root
        } else if self.zone.portions(now) > 0 {
            QuotaRole::Aggregator
        } else if self.daemon_uplink.standing(now) == Standing::Standalone {
            QuotaRole::Standalone
        } else {
            QuotaRole::Leases
        }
    }

    /// The aggregator that this daemon reports to.
    pub fn aggregator(&self) -> Option<SocketAddr> {
        self.daemon_uplink.parent()
    }

    /// Number of organisations that this daemon knows to be limited.
    pub fn limited_count(&self) -> usize {
        self.daemon_uplink.limited().len()
    }

    /// Organisations whose limit has begun or ended here since the last call, if this daemon
    /// decides.
    pub fn limit_changes(&mut self, now: TimeMs) -> Vec<LimitChange> {
        let decider = if self.root.portions(now) > 0 {
            Some(&mut self.root)
        } else if self.is_zone_alone && self.zone.portions(now) > 0 {
            Some(&mut self.zone)
        } else {
            None
        };
        let shares = decider.map_or(&[][..], |decider| decider.shares(now, &self.table));
        let mut changes = Vec::new();
        for (name, share) in shares {
            if self.limited.insert(name.clone(), now).is_none() {
                let (name, share) = (name.clone(), to_ratio(*share));
                changes.push(LimitChange { name, share });
            }
        }
        self.limited.retain(|name, at| {
            let is_limited = now.since_ms(*at) < LIMIT_ENDS_MS;
            if !is_limited {
                let name = name.clone();
                changes.push(LimitChange { name, share: 1.0 });
            }
            is_limited
        });
        changes
    }

    fn dispatch(
        &mut self,
        now: TimeMs,
        to: SocketAddr,
        report: QuotaReport,
        outgoing: &mut Vec<Outgoing>,
    ) {
        if to != self.own {
            outgoing.push(Outgoing { to, report });
            return;
        }
        let level = report.level;
        match self.receive(now, &report) {
            Some(answer) => self.answered(now, level, to, answer),
            None => match level {
                Level::Daemon => self.daemon_uplink.failed(),
                Level::Zone => self.zone_uplink.failed(),
            },
        }
    }

    fn receive_as_zone(&mut self, now: TimeMs, report: &QuotaReport) -> QuotaAnswer {
        if self.is_zone_alone && self.zone.portions(now) == 0 {
            self.zone.begin_anew(now);
        }
        let is_new = self.zone.accept(now, report);
        if is_new {
            for (name, counts) in &report.history {
                self.zone_uplink.merge_history(now, name, counts);
            }
        }
        let mut shares: Vec<(OrganisationName, u16)> = Vec::new();
        if is_new {
            // Followed also while the root decides, so that demand and debt are known if it fails.
            self.zone.record(now, &self.table, report);
        }
        if self.is_zone_alone {
            if is_new {
                for (name, _, admitted) in &report.counts {
                    self.zone_uplink.remember(now, name, *admitted);
                }
            }
            shares.extend_from_slice(self.zone.shares(now, &self.table));
            return QuotaAnswer { shares, root: None };
        }
        if is_new {
            for (name, received, admitted) in &report.counts {
                if self.table.allowances.contains_key(name) {
                    self.zone_uplink.record(now, name, *received, *admitted);
                }
            }
        }
        // Until the root has counted them, a zone admits no more than its part of the reserve.
        let table = &self.table;
        let portions = self.zone.portions(now);
        let is_leased = self.zone_uplink.standing(now) == Standing::Leased;
        let exhausted = self.zone_uplink.all_uncounted().filter(|(name, admitted)| {
            let allowance = table.allowances.get(*name);
            allowance.is_some_and(|allowance| {
                let usual = self.zone_uplink.usual(now, name);
                f64::from(*admitted) >= table.zone_uncounted(allowance, portions, is_leased, usual)
            })
        });
        let mut limited = self.zone_uplink.limited().clone();
        limited.extend(exhausted.map(|(name, _)| (name.clone(), 0)));
        shares.extend(limited);
        QuotaAnswer { shares, root: None }
    }

    fn receive_as_root(&mut self, now: TimeMs, report: &QuotaReport) -> QuotaAnswer {
        let root = self.succession.name_root(
            now,
            self.zone_uplink.parent(),
            report.root,
            &self.ranking,
            &self.silent,
        );
        if self.root.portions(now) == 0 {
            self.root.begin_anew(now);
        }
        if self.root.accept(now, report) {
            self.root.inherit(now, &self.table, &report.history);
            self.root.record(now, &self.table, report);
        }
        QuotaAnswer {
            shares: self.root.shares(now, &self.table).to_vec(),
            root,
        }
    }

    fn choose(&mut self, now: TimeMs) -> Chosen {
        match self.chosen {
            Some(chosen) if now.since_ms(chosen.at) < CHOOSE_MS => chosen,
            Some(_) | None => {
                let chosen = Chosen {
                    at: now,
                    aggregator: self.ranking.aggregator(now, &self.silent),
                    root: self.succession.choose(
                        now,
                        self.zone_uplink.parent(),
                        &self.ranking,
                        &self.silent,
                    ),
                };
                self.chosen = Some(chosen);
                chosen
            }
        }
    }

    fn observe(&mut self, now: TimeMs) {
        let seen_at = self.seen_at.replace(now);
        if seen_at.is_some_and(|at| now.since_ms(at) > MAX_GAP_MS) {
            self.resumed_at = Some(now);
            self.daemon_uplink.resume(now);
            self.zone_uplink.resume(now);
        }
    }

    fn note_standing(&mut self, now: TimeMs) {
        let is_alone = self.daemon_uplink.standing(now) == Standing::Standalone;
        if is_alone && !self.is_alone {
            self.member.begin_alone();
        }
        self.is_alone = is_alone;
        let is_zone_alone = self.zone_uplink.standing(now) == Standing::Standalone;
        if is_zone_alone && !self.is_zone_alone {
            let limited = self.zone_uplink.limited();
            let was_limited = |name: &OrganisationName| limited.contains_key(name);
            self.zone.begin(now, &self.table, was_limited);
        }
        if !is_zone_alone && self.is_zone_alone {
            let shares = self.zone.shares(now, &self.table);
            self.zone_uplink.keep_shares(shares);
            for (name, debt) in self.zone.debts() {
                self.zone_uplink.record(now, name, 0, debt);
            }
        }
        self.is_zone_alone = is_zone_alone;
    }
}

fn to_ratio(share: u16) -> f64 {
    f64::from(share) / f64::from(FULL_SHARE)
}
