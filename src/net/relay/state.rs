//! What all parts of a relay share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use tokio::sync::{Notify, oneshot, watch};

use super::dialect::Dialect;
use super::line_budget::{LineBudget, LineKind};
use super::log_progress::LogProgress;
use super::pool::Pool;
use super::relay_metrics::RelayMetrics;
use super::settle::Settlements;
use crate::config::RelaySettings;
use crate::decide::relay::admission::Verdict;
use crate::decide::relay::{
    Admission, Directory, EntryShares, Heartbeat, HeartbeatOutcome, LoadBalancer, LocalWorker,
    Member, MemberState, RepeatWindow, RetryBudget, RootRequest, RouteTable, WaiterId,
    WorkerShares,
};
use crate::model::{Clock, ServiceName, TimeMs};

/// A configuration as it was read, and its routes.
#[derive(Debug)]
pub struct Configuration {
    /// The routes.
    pub table: RouteTable,
    /// The record as the log holds it, for other daemons.
    pub raw: Bytes,
}

/// How far the daemon's shutdown is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serves.
    Serving,
    /// Not ready any more; still serves, so that callers can move over.
    Leaving,
    /// Takes nothing new.
    Closing,
}

/// A request that the backend server beside this daemon works on.
#[derive(Debug, Clone)]
pub struct RunningRequest {
    /// The root request above it.
    pub mark: RootRequest,
    /// Whether this run repeats another.
    pub is_repeat: bool,
    /// Whether a call that it made has failed.
    pub has_failed_call: bool,
}

/// Decisions and what they rest on, behind one short lock.
#[derive(Debug)]
pub struct Tables {
    /// The other daemons.
    pub directory: Directory,
    /// Load and failures of each.
    pub placing: LoadBalancer,
    /// What may be sent again.
    pub budget: RetryBudget,
    /// What arrives for the backend server beside this daemon.
    pub arrivals: RepeatWindow,
    /// What is admitted of each route.
    pub entry_shares: EntryShares,
    /// The backend server beside this daemon.
    pub worker: Option<LocalWorker>,
    /// When the backend server was found unreachable; cleared by a heartbeat or an answer.
    pub worker_lost: Option<TimeMs>,
    /// The queue in front of it.
    pub admission: Admission,
    /// The demand for it.
    pub worker_shares: WorkerShares,
    /// Who waits in the queue.
    pub waiting: HashMap<WaiterId, oneshot::Sender<Verdict>>,
    /// What runs, by the caller's id of the request.
    pub running: HashMap<String, RunningRequest>,
    /// Source of randomness.
    pub rng: Xoshiro256PlusPlus,
    /// Revision of this daemon's own record.
    pub revision: u64,
}

impl Tables {
    /// The part of a route's root requests that is admitted now.
    pub fn share(&self, now: TimeMs, route: &ServiceName) -> f64 {
        let workers_of = |service: &ServiceName| self.directory.ready_count(service);
        self.entry_shares.share(now, route, workers_of)
    }

    /// Decides about a root request at this entry: the share by which it was admitted, or none.
    pub fn admit(&mut self, now: TimeMs, route: &ServiceName) -> Option<f64> {
        let directory = &self.directory;
        let workers_of = |service: &ServiceName| directory.ready_count(service);
        self.entry_shares.admit(now, route, workers_of)
    }
}

/// One relay.
#[derive(Debug)]
pub struct Relay {
    /// Settings; the file may change while the daemon runs.
    pub settings: arc_swap::ArcSwap<RelaySettings>,
    /// Header names.
    pub dialect: Dialect,
    /// Time.
    pub clock: Clock,
    /// Connections.
    pub pool: Arc<Pool>,
    /// The configuration in force.
    pub configuration: ArcSwapOption<Configuration>,
    /// Stage of the shutdown.
    pub stage: watch::Sender<Stage>,
    /// Wakes the task that publishes this daemon's record.
    pub record_changed: Notify,
    /// Wakes the task that asks other daemons, when one of them has a newer configuration.
    pub peer_is_newer: Notify,
    /// How far the records of members were read, here and by others.
    pub members_read: LogProgress,
    /// Non-idempotent requests whose outcome may be asked for.
    pub settlements: Settlements,
    /// Bounds the log lines about requests.
    pub lines: LineBudget,
    /// Counters and histograms.
    pub metrics: RelayMetrics,
    /// Whether the log service answers.
    pub log_lost: std::sync::atomic::AtomicBool,
    /// Offset of this daemon in low-discrepancy sequences.
    pub phase: f64,
    /// Stands for this daemon's worker in reports of shares.
    pub worker_id: u32,
    /// When this daemon was started.
    pub started: TimeMs,
    /// Identifies this start of the daemon.
    pub incarnation: u64,
    /// Numbers the hops of non-idempotent requests.
    pub next_hop: AtomicU64,
    /// Requests of callers that have no answer yet.
    pub open_requests: std::sync::atomic::AtomicUsize,
    tables: Mutex<Tables>,
}

impl Relay {
    /// A relay that knows nothing yet.
    pub fn new(settings: RelaySettings, dialect: Dialect) -> Arc<Relay> {
        let mut rng = Xoshiro256PlusPlus::from_rng(&mut rand::rng());
        let clock = Clock::Boot;
        let bounds = &settings.bounds;
        let budget = RetryBudget::new(
            bounds.retry_ratio,
            millis(bounds.retry_window_s),
            bounds.retry_slack,
        );
        let phase = rng.random();
        let incarnation = rng.random();
        Arc::new(Relay {
            dialect,
            started: clock.now(),
            pool: Pool::new(clock.clone()),
            clock,
            configuration: ArcSwapOption::empty(),
            stage: watch::Sender::new(Stage::Serving),
            record_changed: Notify::new(),
            peer_is_newer: Notify::new(),
            members_read: LogProgress::default(),
            settlements: Settlements::default(),
            lines: LineBudget::default(),
            metrics: RelayMetrics::default(),
            log_lost: std::sync::atomic::AtomicBool::new(false),
            phase,
            worker_id: xxhash_rust::xxh3::xxh3_64(settings.hop_address.to_string().as_bytes())
                as u32,
            incarnation,
            next_hop: AtomicU64::new(0),
            open_requests: std::sync::atomic::AtomicUsize::new(0),
            tables: Mutex::new(Tables {
                directory: Directory::new(settings.hop_address, settings.place.clone()),
                placing: LoadBalancer::default(),
                budget,
                arrivals: RepeatWindow::new(millis(bounds.retry_window_s)),
                entry_shares: EntryShares::default(),
                worker: None,
                worker_lost: None,
                admission: Admission::new(1),
                worker_shares: WorkerShares::default(),
                waiting: HashMap::new(),
                running: HashMap::new(),
                rng,
                revision: 0,
            }),
            settings: arc_swap::ArcSwap::from_pointee(settings),
        })
    }

    /// The tables. The lock is never held over an await.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a call beneath a running request has failed.
    pub fn has_failed_call(&self, request_id: &str) -> bool {
        let tables = self.tables();
        let running = tables.running.get(request_id);
        running.is_some_and(|running| running.has_failed_call)
    }

    /// Takes in that a call beneath a request has failed, if the request still runs.
    pub fn call_failed(&self, parent_id: &str) {
        if let Some(running) = self.tables().running.get_mut(parent_id) {
            running.has_failed_call = true;
        }
    }

    /// Whether a log line about a request may be written now.
    pub fn may_log(&self, kind: LineKind) -> bool {
        self.lines.allow(self.clock.now(), kind)
    }

    /// Address at which other daemons reach this one.
    pub fn own_address(&self) -> SocketAddr {
        self.settings.load().hop_address
    }

    /// Version of the configuration in force, 0 for none.
    pub fn config_version(&self) -> u64 {
        let configuration = self.configuration.load();
        configuration
            .as_ref()
            .map_or(0, |known| known.table.version)
    }

    /// Puts a configuration in force if it is newer than the one known; true if it is.
    pub fn install(&self, table: RouteTable, raw: Bytes, source: &str) -> bool {
        let (from, to) = (self.config_version(), table.version);
        if to <= from {
            return false;
        }
        let routes = table.routes().len();
        self.configuration
            .store(Some(Arc::new(Configuration { table, raw })));
        spdlog::info!("a configuration is in force", kv: { from, to, routes, source });
        true
    }

    /// Takes in a heartbeat of the backend server beside this daemon.
    pub fn hear(&self, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let now = self.clock.now();
        let mut tables = self.tables();
        let slots = heartbeat.slots;
        let outcome = match &mut tables.worker {
            Some(worker) => worker.apply_heartbeat(now, heartbeat),
            None => {
                tables.worker = Some(LocalWorker::new(now, heartbeat));
                HeartbeatOutcome::Changed
            }
        };
        if outcome != HeartbeatOutcome::Stale {
            tables.worker_lost = None;
            tables.admission.set_slots(slots);
        }
        if outcome == HeartbeatOutcome::Changed {
            self.announce(&mut tables, now);
        }
        outcome
    }

    /// Takes in that the backend server beside this daemon leaves; true if that is news.
    pub fn leave(&self, instance: &str) -> bool {
        let now = self.clock.now();
        let mut tables = self.tables();
        let is_news = match &mut tables.worker {
            Some(worker) => worker.leave(now, instance),
            None => false,
        };
        if is_news {
            self.announce(&mut tables, now);
        }
        is_news
    }

    /// Takes in records of other daemons; returns how many were news.
    pub fn merge_members(&self, members: Vec<Member>, source: &'static str) -> usize {
        let now = self.clock.now();
        let own = self.own_address();
        let mut tables = self.tables();
        let mut news = 0;
        for member in members {
            if member.address == own {
                self.adopt(&mut tables, now, &member);
                continue;
            }
            let address = member.address;
            let (state, revision) = (member.state, member.revision);
            let (service, instance) = (member.service.clone(), member.instance.clone());
            let before = tables.directory.get(address);
            let is_other = before.is_none_or(|known| known.member.instance != instance);
            if tables.directory.merge(now, member) {
                news += 1;
                if is_other {
                    tables.placing.forget(address);
                }
                let (service, state) = (service.as_str(), <&str>::from(state));
                let instance = instance.as_str();
                spdlog::info!("a member has changed", kv: {
                    address:, service, instance, state, revision, source
                });
            }
        }
        news
    }

    /// Takes in that the record of a daemon was removed.
    pub fn remove_member(&self, address: SocketAddr, source: &'static str) {
        if self.tables().directory.remove(address) {
            self.pool.forget(address);
            spdlog::info!("a member was removed", kv: { address:, source });
        }
    }

    /// A record of this daemon from before its restart: the backend server may still run, and
    /// may have been told that its leaving is acknowledged.
    fn adopt(&self, tables: &mut Tables, now: TimeMs, member: &Member) {
        tables.revision = tables.revision.max(member.revision);
        if let Some(worker) = &mut tables.worker {
            let known = &worker.heartbeat;
            if known.instance == member.instance && known.born_unix_ms == member.born_unix_ms {
                worker.restore_state(member.state);
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
        let mut worker = LocalWorker::new(now, heartbeat);
        worker.restore_state(member.state);
        tables.worker = Some(worker);
        // The log holds this very record, so nothing is published.
        tables.directory.merge(now, member.clone());
        let instance = member.instance.as_str();
        spdlog::info!("the backend server of the last run is assumed to go on", kv: { instance });
    }

    /// Makes this daemon's record anew and has it published.
    fn announce(&self, tables: &mut Tables, now: TimeMs) {
        let Some(worker) = &tables.worker else { return };
        let settings = self.settings.load();
        let heartbeat = &worker.heartbeat;
        // A daemon that has lost its revision starts above the ones of its earlier runs.
        let revision = (tables.revision + 1).max(crate::net::daemon::unix_ms());
        let member = Member {
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
        };
        let (service, instance) = (member.service.as_str(), member.instance.as_str());
        let state = <&str>::from(member.state);
        spdlog::info!("the backend server has changed", kv: { service, instance, state, revision });
        tables.revision = revision;
        tables.directory.merge(now, member);
        self.record_changed.notify_one();
    }

    /// Announces that this daemon stops.
    pub fn announce_stop(&self) {
        let now = self.clock.now();
        let mut tables = self.tables();
        self.announce(&mut tables, now);
    }

    /// This daemon's own record.
    pub fn own_member(&self) -> Option<Member> {
        let own = self.own_address();
        let tables = self.tables();
        tables.directory.get(own).map(|known| known.member.clone())
    }
}

/// Seconds of the settings as milliseconds.
pub fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}
