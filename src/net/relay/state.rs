//! State shared by all parts of a relay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use tokio::sync::{Notify, oneshot, watch};

use super::capacity::LocalCapacity;
use super::config_age::{ConfigNews, ReportedConfig};
use super::configuration::Configuration;
use super::crash_probe::CrashProbe;
use super::header_names::HeaderNames;
use super::log_limiter::{LineKind, LogLimiter};
use super::log_progress::LogProgress;
use super::pool::Pool;
use super::quotas::Quotas;
use super::relay_metrics::RelayMetrics;
use super::settle::Settlements;
use crate::config::RelaySettings;
use crate::decide::relay::admission::QueueDecision;
use crate::decide::relay::{
    Admission, CrashWitness, Departures, Directory, EndedRequests, EntryShares, Limits,
    LoadBalancer, LocalWorker, OrganisationTable, PauseDetector, PeerStatements, Readers,
    ReadingPlan, RequestDigest, RetryBudget, RetryWindow, RootKind, RootRequest, RouteTable,
    Shutdown, Standing, TrialOffers, WaiterId, WorkerShares, standing,
};
use crate::model::{Clock, ServiceName, TimeMs};

/// Range of the retry-after time of a request that is shed at the entry, in milliseconds. The
/// admitted share adapts to a change of load within about this time.
const SHED_RETRY_MS: std::ops::Range<u64> = 600..1_400;
/// Most organisations that the metric counts, and that a log line names.
const MAX_SHOWN_ORGANISATIONS: usize = 64;
const MAX_NAMED_ORGANISATIONS: usize = 8;

/// Serving and the stages of a shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serves callers and the backend server.
    Serving,
    /// Not ready, and takes no requests for its backend server; still serves callers, so that they
    /// can switch to another daemon.
    Leaving,
    /// Accepts no new connections.
    Closing,
}

/// A request running on the backend server beside this daemon.
#[derive(Debug, Clone)]
pub struct RunningRequest {
    /// Route, priority and admitted share of its root request.
    pub root: RootRequest,
    /// Whether it is a retry, or a nested call of one.
    pub is_retry: bool,
    /// Whether one of its nested calls has failed.
    pub has_failed_call: bool,
}

/// Mutable state for routing and admission decisions, behind one briefly held lock.
#[derive(Debug)]
pub struct Tables {
    /// Member records of all known daemons, including this one.
    pub directory: Directory,
    /// Load, failures and in-flight requests of each worker.
    pub load_balancer: LoadBalancer,
    /// Limits retries by service.
    pub budget: RetryBudget,
    /// Counts requests and retries that arrive for the backend server beside this daemon.
    pub arrivals: RetryWindow,
    /// Share of root requests admitted at this entry, by route and organisation.
    pub entry_shares: EntryShares,
    /// Whether some organisation was held to its level when last looked at.
    pub has_limited: bool,
    /// The backend server beside this daemon; `None` until its first heartbeat or its record from
    /// before a restart of the daemon.
    pub worker: Option<LocalWorker>,
    /// Whether the log service holds no record of an earlier process of this daemon.
    pub is_first_start: bool,
    /// Backend processes whose deregistration this daemon has confirmed.
    pub departures: Departures,
    /// When the backend server was found unreachable; cleared by a heartbeat or an answer.
    pub worker_unreachable_since: Option<TimeMs>,
    /// Concurrency limit and queue of the backend server beside this daemon.
    pub admission: Admission,
    /// Estimates of what the backend server beside this daemon serves best; `None` while they are
    /// off.
    pub capacity: Option<LocalCapacity>,
    /// Requests suspected of having crashed the backend server beside this daemon.
    pub witness: CrashWitness,
    /// Offers of requests that are held back to the daemons that let them run on trial.
    pub trial_offers: TrialOffers,
    /// Whether a task waits for the rate limit to let the head of the queue start.
    pub is_pacing: bool,
    /// What backend servers beside other daemons have stated in their answers.
    pub peer_statements: PeerStatements,
    /// Demand for the backend server beside this daemon, and the shares reported to entries.
    pub worker_shares: WorkerShares,
    /// Senders that wake the requests in the queue.
    pub waiting: HashMap<WaiterId, oneshot::Sender<QueueDecision>>,
    /// Running requests by request id.
    pub running: HashMap<String, RunningRequest>,
    /// Requests that have just ended, while the configuration names organisations.
    pub ended: EndedRequests<RunningRequest>,
    /// Random number generator, seeded at the start.
    pub rng: Xoshiro256PlusPlus,
    /// Revision of this daemon's newest member record.
    pub revision: u64,
    /// Beliefs about the daemons of this availability zone that read the log service.
    pub readers: Readers,
    /// Newest change that each daemon polled so far has sent.
    pub heard_changes: HashMap<SocketAddr, HeardChange>,
    /// Tells whether requests may have waited unread while this process was paused.
    pub pauses: PauseDetector,
}

/// The newest change of a peer's directory that this daemon has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeardChange {
    /// The start of the peer that numbered the change.
    pub incarnation: u64,
    /// Number of the change.
    pub change: u64,
}

impl Tables {
    /// Share of a kind of root request that is admitted now, from 0 to 1.
    pub fn share(&self, now: TimeMs, kind: RootKind<'_>) -> f64 {
        let workers_of = |service: &ServiceName| self.directory.ready_count(service);
        self.entry_shares.share(now, kind, workers_of)
    }

    /// What a request may do after backend servers have crashed while it ran.
    pub fn standing(&self, digest: RequestDigest) -> Standing {
        let crashes = self.directory.crashes(digest);
        standing(crashes, self.witness.has_ended_well(digest))
    }

    /// The backend server beside this daemon if it is this instance.
    pub fn worker_of(&mut self, instance: &str) -> Option<&mut LocalWorker> {
        let worker = self.worker.as_mut();
        worker.filter(|worker| worker.heartbeat.instance == instance)
    }

    /// Rate limit that the backend server beside this daemon states, in requests a second.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.worker.as_ref().and_then(|worker| worker.rate.per_s())
    }

    /// Decides whether to admit a root request at this entry, and returns the share at which it was
    /// admitted.
    ///
    /// # Errors
    ///
    /// Returns the share and when to retry if the request is shed.
    pub fn admit(&mut self, now: TimeMs, kind: RootKind<'_>) -> Result<f64, Shed> {
        let directory = &self.directory;
        let workers_of = |service: &ServiceName| directory.ready_count(service);
        let shares = &mut self.entry_shares;
        let admitted = match kind.organisation {
            Some(_) => shares.admit_organisation(now, kind, self.rng.random(), workers_of),
            None => shares.admit(now, kind.route, workers_of),
        };
        admitted.ok_or_else(|| Shed {
            share: self.entry_shares.share(now, kind, workers_of),
            retry_after_ms: self.rng.random_range(SHED_RETRY_MS),
        })
    }
}

/// A root request that is shed at the entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shed {
    /// Share of this kind of root request that is admitted, in 0..=1.
    pub share: f64,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// State of one relay daemon.
#[derive(Debug)]
pub struct Relay {
    /// Settings; replaced when the settings file is read again.
    pub settings: arc_swap::ArcSwap<RelaySettings>,
    /// Header names of the platform.
    pub header_names: HeaderNames,
    /// Clock for deadlines and timestamps.
    pub clock: Clock,
    /// Connections to daemons, the backend server and the log service.
    pub pool: Arc<Pool>,
    /// The configuration in force; empty until the first one is read.
    pub configuration: ArcSwapOption<Configuration>,
    /// Limits of callers' connections and requests, those of the configuration in force.
    pub limits: watch::Sender<Limits>,
    /// Stage of the daemon; other than [`Stage::Serving`] only during the shutdown.
    pub stage: watch::Sender<Stage>,
    /// The shutdown, once it has begun.
    pub shutdown: ArcSwapOption<Shutdown>,
    /// Wakes the task that publishes this daemon's member record.
    pub record_changed: Notify,
    /// Wakes the task that polls peers, when one has a newer configuration or the log service fails.
    pub peer_poll_needed: Notify,
    /// Wakes the task that asks the backend server for its health.
    pub readiness_check_needed: Notify,
    /// Wakes the polls of other daemons that wait for changes of this daemon's state.
    pub state_changed: Notify,
    /// Whether this daemon reads the log service or follows a reader.
    pub reads_log: watch::Sender<bool>,
    /// Whether the log service has answered since this daemon began to read it.
    pub has_read_log: AtomicBool,
    /// Whether all member records have been read since the start, in the log service or at a daemon that
    /// had read them.
    pub knows_members: AtomicBool,
    /// Newest era of the log service seen, also by peers; `None` until the first answer.
    pub log_era: watch::Sender<Option<u64>>,
    /// How far this daemon and its peers have read the member records.
    pub members_read: LogProgress,
    /// How far this daemon and its peers have read the configuration.
    pub config_read: LogProgress,
    /// The newest configuration that another daemon has reported.
    pub(super) reported_config: Mutex<ReportedConfig>,
    /// When the newest configuration was last heard of, in milliseconds of the clock; 0 for never.
    pub(super) config_news: ConfigNews,
    /// Non-idempotent requests whose outcome may be queried.
    pub settlements: Settlements,
    /// Tells whether the backend server beside this daemon has ended.
    pub(super) crash_probe: CrashProbe,
    /// Quotas of organisations.
    pub quotas: Quotas,
    /// Rate limiter of log lines about requests.
    pub log_limiter: LogLimiter,
    /// Counters and histograms for the metrics listener.
    pub metrics: RelayMetrics,
    /// Whether the log service is unavailable.
    pub log_unavailable: AtomicBool,
    /// Random offset of this daemon in low-discrepancy sequences, from 0 to 1.
    pub sequence_offset: f64,
    /// Identifies this daemon's worker in share reports; a hash of its hop address.
    pub worker_id: u32,
    /// When this daemon was started.
    pub started: TimeMs,
    /// Identifies this start of the daemon.
    pub incarnation: u64,
    /// Next number for the hop key of a non-idempotent request.
    pub next_hop: AtomicU64,
    /// Number of callers' requests whose answer has not ended yet.
    pub open_requests: std::sync::atomic::AtomicUsize,
    tables: Mutex<Tables>,
}

impl Relay {
    /// A relay without a configuration, members or a backend server.
    pub fn new(settings: RelaySettings, header_names: HeaderNames) -> Arc<Relay> {
        let mut rng = Xoshiro256PlusPlus::from_rng(&mut rand::rng());
        let clock = Clock::Boot;
        let bounds = &settings.bounds;
        let budget = RetryBudget::new(
            bounds.retry_ratio,
            seconds_to_ms(bounds.retry_window_s),
            bounds.retry_slack,
        );
        let sequence_offset = rng.random();
        let incarnation = rng.random();
        let quotas = Quotas::new(&settings, &mut rng);
        Arc::new(Relay {
            header_names,
            started: clock.now(),
            pool: Pool::new(clock.clone()),
            clock,
            configuration: ArcSwapOption::empty(),
            limits: watch::Sender::new(Limits::default()),
            stage: watch::Sender::new(Stage::Serving),
            shutdown: ArcSwapOption::empty(),
            record_changed: Notify::new(),
            peer_poll_needed: Notify::new(),
            readiness_check_needed: Notify::new(),
            state_changed: Notify::new(),
            reads_log: watch::Sender::new(true),
            has_read_log: AtomicBool::new(false),
            knows_members: AtomicBool::new(false),
            log_era: watch::Sender::new(None),
            members_read: LogProgress::default(),
            config_read: LogProgress::default(),
            reported_config: Mutex::default(),
            config_news: ConfigNews::default(),
            settlements: Settlements::default(),
            crash_probe: CrashProbe::default(),
            quotas,
            log_limiter: LogLimiter::default(),
            metrics: RelayMetrics::default(),
            log_unavailable: AtomicBool::new(false),
            sequence_offset,
            worker_id: xxhash_rust::xxh3::xxh3_64(settings.hop_address.to_string().as_bytes())
                as u32,
            incarnation,
            next_hop: AtomicU64::new(0),
            open_requests: std::sync::atomic::AtomicUsize::new(0),
            tables: Mutex::new(Tables {
                directory: Directory::new(settings.hop_address, settings.place.clone()),
                load_balancer: LoadBalancer::default(),
                budget,
                arrivals: RetryWindow::new(seconds_to_ms(bounds.retry_window_s)),
                entry_shares: EntryShares::default(),
                has_limited: false,
                worker: None,
                is_first_start: false,
                departures: Departures::default(),
                worker_unreachable_since: None,
                admission: Admission::new(1),
                capacity: None,
                witness: CrashWitness::default(),
                trial_offers: TrialOffers::default(),
                is_pacing: false,
                peer_statements: PeerStatements::default(),
                worker_shares: WorkerShares::default(),
                waiting: HashMap::new(),
                running: HashMap::new(),
                ended: EndedRequests::default(),
                rng,
                revision: 0,
                readers: Readers::default(),
                heard_changes: HashMap::new(),
                pauses: PauseDetector::default(),
            }),
            settings: arc_swap::ArcSwap::from_pointee(settings),
        })
    }

    /// Locks the tables. The lock is never held across an await.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a nested call of a running request has failed.
    pub fn has_failed_call(&self, request_id: &str) -> bool {
        let tables = self.tables();
        let running = tables.running.get(request_id);
        running.is_some_and(|running| running.has_failed_call)
    }

    /// Records that a nested call of a request has failed, if the request still runs.
    pub fn record_failed_call(&self, parent_id: &str) {
        if let Some(running) = self.tables().running.get_mut(parent_id) {
            running.has_failed_call = true;
        }
    }

    /// Observes the clock, and returns the longest time that a request which is read now may have
    /// waited while this process was paused, in milliseconds.
    pub fn observe_pauses(&self) -> u64 {
        let now = self.clock.now();
        let (paused_ms, held_ms) = {
            let pauses = &mut self.tables().pauses;
            (pauses.observe(now), pauses.held_ms(now))
        };
        if let Some(paused_ms) = paused_ms {
            spdlog::warn!("this daemon was paused", kv: { paused_ms });
        }
        held_ms
    }

    /// Whether a log line about a request may be written now.
    pub fn may_log(&self, kind: LineKind) -> bool {
        self.log_limiter.allow(self.clock.now(), kind)
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

    /// Whether the configuration in force names organisations.
    pub fn names_organisations(&self) -> bool {
        let configuration = self.configuration.load();
        configuration
            .as_ref()
            .is_some_and(|known| known.table.organisations.is_some())
    }

    /// Puts a configuration in force if it is newer than the current one; true if it is.
    pub fn install(&self, table: RouteTable, raw: Bytes, source: &'static str) -> bool {
        let (from, to) = (self.config_version(), table.version);
        if to <= from {
            return false;
        }
        let routes = table.routes().len();
        let organisations = table.organisations.as_ref();
        let keys = organisations.map_or(0, OrganisationTable::key_count);
        let organisations = organisations.map_or(0, |known| known.all().len());
        let limits = table.limits;
        self.metrics.organisations_in_force(organisations, keys);
        self.configuration.store(Some(Arc::new(Configuration {
            table,
            raw,
            source,
            since: self.clock.now(),
        })));
        self.limits
            .send_if_modified(|before| std::mem::replace(before, limits) != limits);
        let reported_ms = self.config_reported_ms(to);
        spdlog::info!("a configuration is in force", kv: {
            from, to, routes, organisations, keys, source, reported_ms
        });
        self.sync_quotas();
        self.readiness_check_needed.notify_one();
        self.state_changed.notify_waiters();
        true
    }

    /// Records the era of an answer of the log service, or one that a peer has seen.
    pub fn observe_era(&self, era: u64) {
        let before = *self.log_era.borrow();
        let is_new = before.is_none_or(|before| before < era);
        if is_new {
            self.log_era.send_replace(Some(era));
        }
        if let Some(before) = before
            && is_new
        {
            spdlog::warn!("the log service has come back from an older copy", kv: { before, era });
        }
    }

    /// Decides whether this daemon reads the log service and whom it follows.
    pub fn plan_reading(&self) -> ReadingPlan {
        let plan = {
            let tables = self.tables();
            tables.readers.plan(self.clock.now(), &tables.directory)
        };
        let reads_log = plan.reads_log;
        let has_changed = self
            .reads_log
            .send_if_modified(|before| std::mem::replace(before, reads_log) != reads_log);
        if has_changed {
            // What this daemon knew of the log service says nothing about it later.
            self.has_read_log.store(false, Ordering::Relaxed);
            self.log_unavailable.store(false, Ordering::Relaxed);
            spdlog::info!("the source of configurations and member records has changed", kv: {
                reads_log:
            });
        }
        plan
    }

    /// Shows how many organisations scarce services hold to the level, and logs when that begins and
    /// ends. Called once a second, which bounds the lines.
    pub fn observe_limited(&self) {
        let now = self.clock.now();
        let mut tables = self.tables();
        let limited = tables.entry_shares.limited(now, MAX_SHOWN_ORGANISATIONS);
        let count = limited.len();
        let begins = (count > 0 && !tables.has_limited).then(|| {
            let names = limited.iter().take(MAX_NAMED_ORGANISATIONS);
            let names: Vec<&str> = names.map(|name| name.as_str()).collect();
            names.join(" ")
        });
        let ends = count == 0 && tables.has_limited;
        tables.has_limited = count > 0;
        drop(tables);
        self.metrics.organisations_limited(count);
        if let Some(organisations) = begins {
            spdlog::info!("organisations are held to their level", kv: { count, organisations });
        } else if ends {
            spdlog::info!("no organisation is held to its level any more");
        }
    }

    /// Whether this daemon reads the log service and gets answers.
    pub fn reaches_log(&self) -> bool {
        *self.reads_log.borrow()
            && self.has_read_log.load(Ordering::Relaxed)
            && !self.log_unavailable.load(Ordering::Relaxed)
            && *self.stage.borrow() == Stage::Serving
    }
}

/// Converts seconds to milliseconds, rounded down.
pub fn seconds_to_ms(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}
