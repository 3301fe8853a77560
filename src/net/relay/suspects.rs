//! Requests that are suspected of crashing backend servers: what this daemon sees of them, and what it
//! publishes with its member record.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use super::state::{Relay, Stage, Tables};
use crate::decide::relay::crash_review::turn_at;
use crate::decide::relay::crash_witness::MEMORY_MS;
use crate::decide::relay::{
    CrashWitness, Directory, LocalWorker, MemberState, RequestDigest, Standing,
};
use crate::model::{ServiceName, TimeMs};
use crate::net::daemon::unix_ms;

/// Retry-after time of a request that is held back because it crashes backend servers, in
/// milliseconds.
const HELD_BACK_RETRY_MS: u64 = 60_000;
/// The same before its first trial, in milliseconds. A good end is known everywhere by then.
const FIRST_TRIAL_RETRY_MS: u64 = 10_000;
/// Retry-after time of a request on probation while another one runs, in milliseconds.
const PROBATION_RETRY_MS: u64 = 1_000;

impl Relay {
    /// Records that the backend server beside this daemon ended while a request ran on it, unless
    /// that was planned.
    pub fn record_crash(&self, instance: &str, digest: RequestDigest, began_at: TimeMs) {
        let now = self.clock.now();
        let mut tables = self.tables();
        let tables = &mut *tables;
        let Some(worker) = tables.worker_of(instance) else {
            return;
        };
        let process = worker.process();
        let is_planned = worker.state != MemberState::Ready;
        let directory = &tables.directory;
        let is_held_back = |digest| directory.is_held_back(digest);
        let at_unix_ms = |digest| crash_time(directory, digest);
        if is_planned {
            return;
        }
        let was_held_back = is_held_back(digest);
        let witness = &mut tables.witness;
        witness.crashed(digest, process, began_at, at_unix_ms(digest), is_held_back);
        witness.process_ended(now, process, at_unix_ms, is_held_back);
        self.announce(tables, now);
        if !was_held_back {
            log_held_back(&tables.directory, &tables.witness, &[digest]);
        }
    }

    /// Records that nobody waits any more for the answer of a run on the backend server beside this
    /// daemon.
    pub fn record_abandoned(&self, instance: &str, digest: RequestDigest, began_at: TimeMs) {
        let now = self.clock.now();
        let mut tables = self.tables();
        let tables = &mut *tables;
        if let Some(worker) = tables.worker_of(instance)
            && worker.state == MemberState::Ready
        {
            let process = worker.process();
            tables.witness.abandoned(now, digest, process, began_at);
        }
    }

    /// Records that a process of the backend server beside this daemon has ended without notice. Requests
    /// whose callers had left by then may have crashed it.
    pub(super) fn record_process_end(&self, tables: &mut Tables, now: TimeMs, process: u64) {
        let directory = &tables.directory;
        let is_held_back = |digest| directory.is_held_back(digest);
        let at_unix_ms = |digest| crash_time(directory, digest);
        let witness = &mut tables.witness;
        let runs = witness.process_ended(now, process, at_unix_ms, is_held_back);
        if runs > 0 {
            let runs = runs as u64;
            spdlog::warn!("the backend server has ended after callers had left", kv: { runs });
            self.announce(tables, now);
        }
    }

    /// Records that nothing listens at the address of the backend server beside this daemon.
    pub fn record_unreachable(&self, instance: &str) {
        let now = self.clock.now();
        let mut tables = self.tables();
        if let Some(worker) = tables.worker_of(instance)
            && worker.state == MemberState::Ready
        {
            let process = worker.process();
            self.record_process_end(&mut tables, now, process);
        }
    }

    /// Whether a run on this instance beside this daemon was abandoned lately.
    pub fn has_abandoned(&self, instance: &str) -> bool {
        let now = self.clock.now();
        let mut tables = self.tables();
        let process = tables.worker_of(instance).map(|worker| worker.process());
        process.is_some_and(|process| tables.witness.has_abandoned(now, process))
    }

    /// Records that a backend server has answered a request of this entry.
    pub fn record_ended_well(&self, digest: RequestDigest) {
        let mut tables = self.tables();
        if self.clear_own_suspect(&mut tables, digest) {
            let now = self.clock.now();
            self.announce(&mut tables, now);
        }
    }

    /// Records that the backend server beside this daemon has answered a request, which may clear it of
    /// crashes everywhere.
    pub fn record_run_ended_well(&self, digest: RequestDigest) {
        let now = self.clock.now();
        let mut tables = self.tables();
        let tables = &mut *tables;
        let mut has_changed = self.clear_own_suspect(tables, digest);
        if tables.directory.standing(digest) != Standing::Free {
            let suspicion = tables.directory.suspicion(digest);
            let reviews = tables.witness.reviews();
            if reviews.ended_well(now, digest, suspicion) {
                let (crashes, trials) = (suspicion.crashes.of_caller, suspicion.trials);
                spdlog::info!("good ends have cleared a request", kv: { digest:, crashes, trials });
                has_changed = true;
            }
        }
        if has_changed {
            self.announce(tables, now);
        }
    }

    /// Records that a request has ended well; returns whether this daemon had suspected it.
    fn clear_own_suspect(&self, tables: &mut Tables, digest: RequestDigest) -> bool {
        let was_suspected = tables.witness.ended_well(self.clock.now(), digest);
        if was_suspected {
            spdlog::info!("a request is no longer suspected", kv: { digest: });
        }
        was_suspected
    }

    /// Forgets suspected requests whose last crash is long ago or was cleared, and reserves the trials
    /// that are due.
    pub fn review_suspects(&self) {
        let (now, now_unix_ms) = (self.clock.now(), unix_ms());
        let mut tables = self.tables();
        let tables = &mut *tables;
        let forgotten_unix_ms = now_unix_ms.saturating_sub(MEMORY_MS);
        tables.directory.forget_crashes_until(forgotten_unix_ms);
        let evidence = tables.directory.evidence();
        let witness = &mut tables.witness;
        let mut has_changed = witness.expire(now, |digest| evidence.cleared_unix_ms(digest));
        let is_suspected = |digest| evidence.is_suspected(digest);
        has_changed |= witness.reviews().expire(now, is_suspected);
        if let Some(service) = self.service_on_trial(&tables.worker, now) {
            let held_back = tables.directory.held_back_at(service, turn_at(now_unix_ms));
            for digest in witness.reviews().reserve(now, now_unix_ms, &held_back) {
                spdlog::info!("a trial of a request that is held back is reserved", kv: { digest: });
                has_changed = true;
            }
        }
        if has_changed {
            self.announce(tables, now);
        }
        let held_back = tables.directory.held_back_count();
        self.metrics.requests_held_back(held_back);
    }

    /// The service whose suspected requests may be tried here: that of a sound backend server, beside a
    /// daemon that knows the crashes and can have a trial acknowledged.
    fn service_on_trial<'a>(
        &self,
        worker: &'a Option<LocalWorker>,
        now: TimeMs,
    ) -> Option<&'a ServiceName> {
        let can_reserve = self.knows_members.load(Ordering::Relaxed)
            && !self.log_unavailable.load(Ordering::Relaxed)
            && *self.stage.borrow() == Stage::Serving;
        let worker = worker.as_ref().filter(|worker| worker.is_sound(now))?;
        can_reserve.then_some(&worker.heartbeat.service)
    }

    /// Records that the log service holds this revision of this daemon's member record.
    pub(super) fn record_acknowledged(&self, revision: u64) {
        let now = self.clock.now();
        let mut tables = self.tables();
        for digest in tables.witness.reviews().acknowledged(now, revision) {
            spdlog::info!("a request that is held back may run once", kv: { digest: });
        }
    }
}

/// Where a request may run, as far as crashes during it tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Permission {
    Anywhere,
    /// Only beside this daemon, which has reserved a trial of it.
    OnTrial(SocketAddr),
    /// Beside the daemon that comes first in the order of trials.
    OnProbation,
    HeldBack,
}

impl Permission {
    /// Whether the request may be sent to the daemon at this address.
    pub(super) fn covers(self, address: SocketAddr) -> bool {
        match self {
            Permission::Anywhere | Permission::OnProbation => true,
            Permission::OnTrial(reserved_by) => reserved_by == address,
            Permission::HeldBack => false,
        }
    }
}

impl Tables {
    /// Whether a request may run on the backend server beside this daemon, as far as crashes during it
    /// tell.
    pub(super) fn may_run_here(&mut self, digest: RequestDigest) -> bool {
        match self.standing(digest) {
            Standing::Free => true,
            Standing::OnProbation => {
                let reviews = self.witness.reviews();
                reviews.has_free_probation(digest) || reviews.has_open_trial(digest)
            }
            Standing::HeldBack => self.witness.reviews().has_open_trial(digest),
        }
    }

    /// When the caller of a request that may not run may retry, in milliseconds: after what may clear it.
    pub(super) fn held_back_retry_ms(&self, digest: RequestDigest) -> u64 {
        if self.standing(digest) == Standing::OnProbation {
            return PROBATION_RETRY_MS;
        }
        match self.directory.suspicion(digest).trials {
            0 => FIRST_TRIAL_RETRY_MS,
            _ => HELD_BACK_RETRY_MS,
        }
    }

    /// Records that a request begins to run on the backend server beside this daemon; returns how:
    /// [`Standing::HeldBack`] stands for a trial.
    pub(super) fn begin_run(&mut self, digest: RequestDigest) -> Standing {
        let standing = self.standing(digest);
        let reviews = self.witness.reviews();
        match standing {
            Standing::Free => Standing::Free,
            Standing::OnProbation if reviews.has_free_probation(digest) => {
                reviews.begin_probation(digest);
                Standing::OnProbation
            }
            Standing::OnProbation | Standing::HeldBack => {
                reviews.begin_trial(digest);
                Standing::HeldBack
            }
        }
    }

    /// Where this entry may send a request now; counts an offer to a trial.
    pub(super) fn permission(
        &mut self,
        now: TimeMs,
        service: &ServiceName,
        digest: RequestDigest,
    ) -> Permission {
        let otherwise = match self.standing(digest) {
            Standing::Free => return Permission::Anywhere,
            Standing::OnProbation => Permission::OnProbation,
            Standing::HeldBack => Permission::HeldBack,
        };
        match self.directory.trial_at(service, digest) {
            Some((address, reserved_unix_ms))
                if self.trial_offers.take(now, digest, reserved_unix_ms) =>
            {
                Permission::OnTrial(address)
            }
            Some(_) | None => otherwise,
        }
    }
}

/// When a crash that is seen now has happened, in milliseconds since the Unix epoch: later than all that
/// is known to be cleared, whatever the clocks of other daemons say.
fn crash_time(directory: &Directory, digest: RequestDigest) -> u64 {
    let cleared_unix_ms = directory.evidence().cleared_unix_ms(digest);
    unix_ms().max(cleared_unix_ms + 1)
}

/// Logs those of the requests that are held back, and whether this daemon has seen them end well lately.
pub(super) fn log_held_back(
    directory: &Directory,
    witness: &CrashWitness,
    digests: &[RequestDigest],
) {
    let held_back = digests
        .iter()
        .filter(|digest| directory.is_held_back(**digest));
    for digest in held_back {
        let crashes = directory.crashes(*digest);
        let (crashes, of_all_callers) = (crashes.of_caller, crashes.of_all_callers);
        let has_ended_well = witness.has_ended_well(*digest);
        spdlog::warn!("backend servers have crashed during a request", kv: {
            digest:, crashes, of_all_callers, has_ended_well:
        });
    }
}
