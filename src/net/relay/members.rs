//! Member records of this daemon and of others, and the state of the backend server beside it.

use std::net::SocketAddr;

use super::log_limiter::LineKind;
use super::state::{Relay, Stage, Tables};
use super::suspects::log_held_back;
use crate::decide::relay::{
    AnsweredRate, Arrival, Departure, Heartbeat, HeartbeatOutcome, LocalWorker, Member,
    MemberState, RelayedRate, RequestDigest, RestoredEvidence, StatedRate,
};
use crate::model::TimeMs;

/// Source of member records that were read in the log service.
pub(super) const LOG_SOURCE: &str = "log";

impl Relay {
    /// Processes a heartbeat of the backend server beside this daemon, and returns its outcome and
    /// whether it may be confirmed.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat) -> (HeartbeatOutcome, bool) {
        let arrival = self.arrival();
        let now = self.clock.now();
        let mut tables = self.tables();
        let known_by = match &tables.worker {
            None => "nothing",
            Some(worker) if !worker.readiness.is_heard() => "its record",
            Some(_) => "a heartbeat",
        };
        let (slots, drains) = (heartbeat.slots, heartbeat.draining);
        let (sequence, born_unix_ms) = (heartbeat.sequence, heartbeat.born_unix_ms);
        let instance = heartbeat.instance.clone();
        let rate_before = tables.rate_per_s();
        let worker = tables.worker.as_ref();
        let worker = worker.filter(|worker| worker.state == MemberState::Ready);
        let process_before = worker.map(LocalWorker::process);
        let was_proven = worker.is_some_and(|worker| worker.readiness.is_proven());
        let outcome = match &mut tables.worker {
            Some(worker) => worker.apply_heartbeat(now, heartbeat, arrival),
            None => {
                tables.worker = Some(LocalWorker::new(now, heartbeat, arrival));
                HeartbeatOutcome::Changed
            }
        };
        if outcome == HeartbeatOutcome::Changed {
            remember_departure(&mut tables);
            let process = tables.worker.as_ref().map(LocalWorker::process);
            if let Some(before) = process_before
                && process != process_before
            {
                self.record_process_end(&mut tables, now, before);
            }
        }
        if outcome != HeartbeatOutcome::Stale {
            tables.worker_unreachable_since = None;
            tables.admission.set_slots(slots);
            self.update_capacity(&mut tables, now);
        }
        // Another process has stated nothing yet.
        if tables.rate_per_s() != rate_before {
            self.enforce_rate(&mut tables);
        }
        self.announce_if_changed(&mut tables, now);
        self.readiness_check_needed.notify_one();
        let Some(worker) = &tables.worker else {
            return (outcome, false);
        };
        let is_proven = worker.readiness.is_proven();
        if outcome != HeartbeatOutcome::Refreshed
            || known_by != "a heartbeat"
            || is_proven != was_proven
        {
            let (instance, outcome) = (instance.as_str(), <&str>::from(outcome));
            let (state, up_ms) = (<&str>::from(worker.state), arrival.up_ms);
            spdlog::info!("a heartbeat was taken in", kv: {
                instance, sequence, born_unix_ms, outcome, known_by, state, is_proven:, up_ms
            });
        }
        (outcome, worker.confirms(drains))
    }

    /// The arrival of a heartbeat that is read now.
    fn arrival(&self) -> Arrival {
        let held_ms = self.observe_pauses();
        let up_ms = self.clock.now().since_ms(self.started);
        let now_unix_ms = crate::net::daemon::unix_ms();
        Arrival {
            up_ms: up_ms.saturating_sub(held_ms),
            started_unix_ms: now_unix_ms.saturating_sub(up_ms),
            now_unix_ms,
            is_first_start: self.tables().is_first_start,
        }
    }

    /// Records that the log service holds no record of an earlier process of this daemon. None has published
    /// a backend server then, so none has confirmed that one leaves.
    pub(super) fn record_first_start(&self) {
        let now = self.clock.now();
        let mut tables = self.tables();
        tables.is_first_start = true;
        if let Some(worker) = &mut tables.worker {
            worker.readiness.record_first_start();
            self.announce_if_changed(&mut tables, now);
        }
    }

    /// Records the answer of this instance beside this daemon to the health check sent at `asked`.
    pub(super) fn record_health(&self, instance: &str, asked: TimeMs, is_ready: bool) {
        let now = self.clock.now();
        let mut tables = self.tables();
        if let Some(worker) = tables.worker_of(instance) {
            let readiness = &mut worker.readiness;
            readiness.record_health(self.started, asked, is_ready);
        }
        self.announce_if_changed(&mut tables, now);
    }

    /// Records what an answer of the backend server beside this daemon states about its rate limit.
    pub fn record_stated_rate(&self, instance: &str, answer: AnsweredRate) {
        let mut tables = self.tables();
        let Some(worker) = tables.worker_of(instance) else {
            return;
        };
        if answer.rate == StatedRate::Malformed && self.may_log(LineKind::Failed) {
            spdlog::warn!("a rate limit cannot be read", kv: { instance });
        }
        if worker.rate.record_answer(answer) {
            self.enforce_rate(&mut tables);
        }
    }

    /// Records that an answer of the backend server beside this daemon states that it is leaving.
    pub fn record_stated_leaving(&self, instance: &str) {
        let now = self.clock.now();
        let mut tables = self.tables();
        let is_news = tables
            .worker_of(instance)
            .is_some_and(|worker| worker.drain(now));
        if is_news {
            spdlog::info!("the backend server states that it is leaving", kv: { instance });
            self.announce(&mut tables, now);
        }
    }

    /// Records a rate limit of the backend server beside this daemon that another daemon has heard.
    pub fn record_relayed_rate(&self, relayed: &RelayedRate) {
        let now = self.clock.now();
        let mut tables = self.tables();
        let Some(worker) = &mut tables.worker else {
            return;
        };
        let heartbeat = &worker.heartbeat;
        let is_same = heartbeat.instance == relayed.instance
            && heartbeat.born_unix_ms == relayed.born_unix_ms;
        if is_same && worker.rate.record_relayed(now, relayed) {
            self.enforce_rate(&mut tables);
        }
    }

    /// Puts the rate limit in force that the current process of the backend server has stated.
    fn enforce_rate(&self, tables: &mut Tables) {
        let Some(worker) = &tables.worker else { return };
        let per_s = worker.rate.per_s();
        tables.admission.set_rate(self.clock.now(), per_s);
        self.metrics.rate_stated(per_s);
        let instance = worker.heartbeat.instance.as_str();
        let per_s = per_s.map_or("none".to_owned(), |per_s| per_s.to_string());
        spdlog::info!("the backend server states another rate limit", kv: { instance, per_s });
    }

    /// Records that a backend server beside this daemon is leaving; true if this changes the state of
    /// the one that is known. `born_unix_ms` is the start of its process if it states one.
    pub fn record_deregistration(&self, instance: &str, born_unix_ms: Option<u64>) -> bool {
        let now = self.clock.now();
        let born_until_unix_ms = born_unix_ms.unwrap_or_else(crate::net::daemon::unix_ms);
        let mut tables = self.tables();
        // Remembered also if the process is known: a later one of the same instance may be unknown.
        tables.departures.record(Departure {
            instance: instance.to_owned(),
            born_until_unix_ms,
        });
        let is_news = match &mut tables.worker {
            Some(worker) => worker.leave(now, instance, born_unix_ms),
            None => false,
        };
        if is_news {
            self.announce(&mut tables, now);
        }
        is_news
    }

    /// Merges member records; returns how many were newer than the known ones. Implausible ones are
    /// passed over.
    pub fn merge_members(&self, members: Vec<Member>, source: &'static str) -> usize {
        let now = self.clock.now();
        let own = self.own_address();
        let mut tables = self.tables();
        let mut newer = 0;
        let now_unix_ms = crate::net::daemon::unix_ms();
        for member in members {
            if let Err(field) = member.check(now_unix_ms) {
                let (address, field) = (member.address, <&str>::from(field));
                spdlog::warn!("an implausible member record was passed over", kv: {
                    address:, field, source
                });
                continue;
            }
            if member.address == own {
                self.restore_worker(&mut tables, now, &member, source);
                continue;
            }
            let address = member.address;
            let (state, revision) = (member.state, member.revision);
            let (service, instance) = (member.service.clone(), member.instance.clone());
            let before = tables.directory.get(address);
            let is_other = before.is_none_or(|known| known.member.instance != instance);
            let suspects = member.suspects.iter().map(|suspect| suspect.digest);
            let free: Vec<RequestDigest> = suspects
                .filter(|digest| !tables.directory.is_held_back(*digest))
                .collect();
            if tables.directory.merge(now, member) {
                newer += 1;
                log_held_back(&tables.directory, &tables.witness, &free);
                if is_other {
                    tables.load_balancer.forget(address);
                }
                let (service, state) = (service.as_str(), <&str>::from(state));
                let instance = instance.as_str();
                spdlog::info!("a member has changed", kv: {
                    address:, service, instance, state, revision, source
                });
            }
        }
        if newer > 0 {
            self.state_changed.notify_waiters();
        }
        newer
    }

    /// Removes the member record of a daemon and closes idle connections to it.
    pub fn remove_member(&self, address: SocketAddr, source: &'static str) {
        let mut tables = self.tables();
        tables.peer_statements.forget(address);
        let was_known = tables.directory.remove(address);
        drop(tables);
        if was_known {
            self.pool.close_idle(address);
            spdlog::info!("a member was removed", kv: { address:, source });
        }
    }

    /// Restores the backend server from this daemon's own record of before its restart. The
    /// backend server may still run, and its deregistration may already have been acknowledged.
    /// The log service may have lost newer records than the one it holds, so that a peer's copy may
    /// have a higher revision than this daemon's own record; it is then published again above it.
    fn restore_worker(
        &self,
        tables: &mut Tables,
        now: TimeMs,
        member: &Member,
        source: &'static str,
    ) {
        tables.revision = tables.revision.max(member.revision);
        let is_suspect_new = tables.witness.restore(
            now,
            member.revision,
            &RestoredEvidence {
                suspects: &member.suspects,
                reviews: &member.reviews,
            },
        );
        if let Some(worker) = &mut tables.worker {
            let known = &worker.heartbeat;
            if known.instance == member.instance && known.born_unix_ms == member.born_unix_ms {
                worker.restore_state(member.state);
            }
            let state = worker.state;
            let published = tables.directory.get(member.address);
            let is_outdated = published.is_some_and(|published| {
                let published = &published.member;
                let is_superseded = published.revision <= member.revision && published != member;
                let has_left = published.state == MemberState::Ready && state != published.state;
                is_superseded || has_left
            });
            if is_outdated || is_suspect_new {
                self.announce(tables, now);
            }
            return;
        }
        if member.state == MemberState::Stopped {
            return;
        }
        let heartbeat = Heartbeat {
            instance: member.instance.clone(),
            born_unix_ms: member.born_unix_ms,
            sequence: 0,
            service: member.service.clone(),
            slots: member.slots,
            draining: false,
            cold_ms: 0,
        };
        tables.admission.set_slots(heartbeat.slots);
        tables.worker = Some(LocalWorker::restored(now, heartbeat, member.state));
        self.readiness_check_needed.notify_one();
        self.update_capacity(tables, now);
        tables.directory.merge(now, member.clone());
        // The log already holds this record, so nothing is published unless it is outdated.
        if remember_departure(tables) {
            self.announce(tables, now);
        }
        let instance = member.instance.as_str();
        spdlog::info!("restored the backend server from the record of before the restart", kv: {
            instance, source
        });
    }

    /// Has the backend server published if its record is outdated, unless it counts as ready without having
    /// shown that it is: other daemons may know that it is leaving.
    fn announce_if_changed(&self, tables: &mut Tables, now: TimeMs) {
        let Some(worker) = &tables.worker else { return };
        let known = tables.directory.get(self.own_address());
        let is_published = known.is_some_and(|known| {
            let member = &known.member;
            let next = self.own_record(worker, member.revision);
            member.state == next.state
                && member.instance == next.instance
                && member.born_unix_ms == next.born_unix_ms
                && member.service == next.service
                && member.slots == next.slots
        });
        if !is_published && !worker.is_unproven(now) {
            self.announce(tables, now);
        }
    }

    /// This daemon's member record as it is now, without suspected requests.
    fn own_record(&self, worker: &LocalWorker, revision: u64) -> Member {
        let settings = self.settings.load();
        let heartbeat = &worker.heartbeat;
        Member {
            address: settings.hop_address,
            revision,
            place: settings.place.clone(),
            service: heartbeat.service.clone(),
            instance: heartbeat.instance.clone(),
            born_unix_ms: heartbeat.born_unix_ms,
            slots: heartbeat.slots,
            state: match worker.state {
                MemberState::Ready if *self.stage.borrow() > Stage::Serving => MemberState::Stopped,
                state => state,
            },
            suspects: Vec::new(),
            reviews: Vec::new(),
        }
    }

    /// Creates a new revision of this daemon's member record and has it published.
    pub(super) fn announce(&self, tables: &mut Tables, now: TimeMs) {
        let Some(worker) = &tables.worker else { return };
        // The Unix time as a lower bound keeps the revision above those from before a restart.
        let revision = (tables.revision + 1).max(crate::net::daemon::unix_ms());
        let member = Member {
            suspects: tables.witness.publish(revision),
            reviews: tables.witness.reviews().publish(revision),
            ..self.own_record(worker, revision)
        };
        let (service, instance) = (member.service.as_str(), member.instance.as_str());
        let state = <&str>::from(member.state);
        spdlog::info!("the backend server has changed", kv: { service, instance, state, revision });
        tables.revision = revision;
        tables.directory.merge(now, member);
        self.record_changed.notify_one();
        self.state_changed.notify_waiters();
    }

    /// Publishes that this daemon is stopping.
    pub fn announce_stop(&self) {
        let now = self.clock.now();
        let mut tables = self.tables();
        self.announce(&mut tables, now);
    }

    /// This daemon's own member record; `None` until its backend server is known.
    pub fn own_member(&self) -> Option<Member> {
        let own = self.own_address();
        let tables = self.tables();
        tables.directory.get(own).map(|known| known.member.clone())
    }
}

/// Marks the backend server as gone if it deregistered before this daemon knew it; true if it did.
fn remember_departure(tables: &mut Tables) -> bool {
    let Some(worker) = &mut tables.worker else {
        return false;
    };
    let heartbeat = &worker.heartbeat;
    let has_left = tables
        .departures
        .has_left(&heartbeat.instance, heartbeat.born_unix_ms);
    if has_left && worker.state != MemberState::Gone {
        worker.has_left();
        let instance = worker.heartbeat.instance.as_str();
        spdlog::info!("the backend server had deregistered before it was known", kv: { instance });
        return true;
    }
    false
}
