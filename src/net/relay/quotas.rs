//! Exchange of quota reports between daemons, over the hop listener, and the check at the entry.
//! Nothing is exchanged while the configuration in force has no quota.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, Uri};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::body::RelayBody;
use super::hop::empty_response;
use super::peers::exchange;
use super::state::Relay;
use crate::config::RelaySettings;
use crate::decide::relay::Organisation;
use crate::decide::relay::quotas::uplink::REPORT_TIMEOUT_MS;
use crate::decide::relay::quotas::{
    LimitChange, Outgoing, QuotaAnswer, QuotaBounds, QuotaNode, QuotaRefusal, QuotaReport,
    QuotaRole, QuotaTable,
};
use crate::model::TimeMs;

/// Path to which a daemon sends a [`QuotaReport`]; the answer is a [`QuotaAnswer`].
pub const QUOTAS_PATH: &str = "/burdockhall/quotas";
/// Interval at which due reports are looked for, in milliseconds. The shortest time between two
/// reports is twice as long.
const TICK_MS: u64 = 10;
/// Interval at which changes of the directory and of the settings are taken over, in milliseconds.
const SYNC_MS: u64 = 50;
/// Interval of log lines and metrics, in milliseconds.
const OBSERVE_MS: u64 = 500;
/// Longest pause while no quota is in force, in milliseconds.
const INACTIVE_MS: u64 = 1_000;
/// Largest report or answer that is read, in bytes; one about 10,000 organisations has a quarter.
const MAX_REPORT_BYTES: usize = 1024 * 1024;
/// Most log lines about limits that begin or end, each [`OBSERVE_MS`].
const MAX_LIMIT_LINES: usize = 5;

/// The quotas at this daemon, behind a lock of their own that is held briefly.
#[derive(Debug)]
pub struct Quotas {
    is_active: AtomicBool,
    state: Mutex<QuotaState>,
}

#[derive(Debug)]
struct QuotaState {
    node: QuotaNode,
    rng: Xoshiro256PlusPlus,
    /// What the table in force was made from.
    config: u64,
    bounds: QuotaBounds,
    role: Option<QuotaRole>,
}

impl Quotas {
    /// No quotas yet.
    pub fn new(settings: &RelaySettings, rng: &mut Xoshiro256PlusPlus) -> Quotas {
        let node = QuotaNode::new(settings.hop_address, rng.random());
        Quotas {
            is_active: AtomicBool::new(false),
            state: Mutex::new(QuotaState {
                node,
                rng: Xoshiro256PlusPlus::from_rng(rng),
                config: 0,
                bounds: QuotaBounds::default(),
                role: None,
            }),
        }
    }

    fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, QuotaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Relay {
    /// Decides whether a root request is within the quota of its organisation. The error says why not,
    /// and when there is room.
    pub fn check_quota(&self, organisation: &Organisation) -> Result<(), QuotaRefusal> {
        if organisation.quota.is_none() || !self.quotas.is_active() {
            return Ok(());
        }
        let now = self.clock.now();
        let checked = {
            let mut state = self.quotas.lock();
            let QuotaState { node, rng, .. } = &mut *state;
            node.check(now, &organisation.name, rng)
        };
        checked.inspect_err(|refusal| self.metrics.quotas.refused(refusal.cause))
    }

    /// Records that a root request which was checked is sent to a backend server.
    pub fn record_admitted(&self, organisation: &Organisation) {
        if organisation.quota.is_some() && self.quotas.is_active() {
            let now = self.clock.now();
            self.quotas
                .lock()
                .node
                .record_admitted(now, &organisation.name);
        }
    }

    /// The aggregator that this daemon reports to, for log lines.
    pub(super) fn quota_aggregator(&self) -> String {
        let aggregator = self.quotas.lock().node.aggregator();
        aggregator.map_or("none".to_owned(), |address| address.to_string())
    }

    /// What this daemon is to the others with regard to quotas; `None` while there are none.
    pub fn quota_role(&self) -> Option<QuotaRole> {
        let now = self.clock.now();
        let is_active = self.quotas.is_active();
        is_active.then(|| self.quotas.lock().node.role(now))
    }

    /// Gives up the role of root, before this process stops.
    pub fn leave_quotas(&self) {
        self.quotas.lock().node.leave();
    }

    /// Takes over the configuration in force, the directory and the settings.
    pub(super) fn sync_quotas(&self) {
        let configuration = self.configuration.load();
        let Some(configuration) = configuration.as_ref() else {
            return;
        };
        let version = configuration.table.version;
        let organisations = configuration.table.organisations.as_ref();
        if organisations.is_none() && !self.quotas.is_active() {
            return;
        }
        let bounds = QuotaBounds::from(&**self.settings.load());
        let tables = self.tables();
        let mut state = self.quotas.lock();
        // A daemon that knows only itself would take the whole of each quota for its own.
        let knows_members = self.knows_members.load(Ordering::Relaxed);
        let has_moved = knows_members && state.node.ranking.update(&tables.directory);
        drop(tables);
        if !has_moved && state.config == version && state.bounds == bounds {
            return;
        }
        let all = organisations.map_or(&[][..], |known| known.all());
        let quotas = all
            .iter()
            .filter_map(|organisation| Some((&organisation.name, organisation.quota?)));
        let table = QuotaTable::new(&bounds, quotas, state.node.ranking.fleet());
        let is_active = !table.allowances.is_empty();
        state.node.configure(Arc::new(table));
        state.config = version;
        state.bounds = bounds;
        self.quotas.is_active.store(is_active, Ordering::Relaxed);
    }
}

impl From<&RelaySettings> for QuotaBounds {
    fn from(settings: &RelaySettings) -> QuotaBounds {
        let bounds = &settings.bounds;
        QuotaBounds {
            window_s: bounds.quota_window_s,
            excess: bounds.quota_excess,
            slack: bounds.quota_slack,
        }
    }
}

/// Sends the reports that are due, until the runtime ends.
pub async fn report(relay: Arc<Relay>) {
    let (mut synced_at, mut observed_at) = (TimeMs(0), TimeMs(0));
    loop {
        let changed = relay.state_changed.notified();
        let now = relay.clock.now();
        if now.since_ms(synced_at) >= SYNC_MS {
            synced_at = now;
            relay.sync_quotas();
        }
        if !relay.quotas.is_active() {
            let pause = Duration::from_millis(INACTIVE_MS);
            let _ = tokio::time::timeout(pause, changed).await;
            synced_at = TimeMs(0);
            continue;
        }
        let due = relay.quotas.lock().node.due(now);
        for outgoing in due {
            tokio::spawn(send(Arc::clone(&relay), outgoing));
        }
        if now.since_ms(observed_at) >= OBSERVE_MS {
            observed_at = now;
            observe(&relay, now);
        }
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
    }
}

async fn send(relay: Arc<Relay>, outgoing: Outgoing) {
    let Outgoing { to, report } = outgoing;
    let level = report.level;
    let answer = match serde_json::to_vec(&report) {
        Ok(bytes) => {
            let mut request = Request::new(RelayBody::Full(bytes.into()));
            *request.method_mut() = Method::POST;
            *request.uri_mut() = Uri::from_static(QUOTAS_PATH);
            let bytes = exchange(&relay, to, request, REPORT_TIMEOUT_MS).await;
            bytes.and_then(|bytes| serde_json::from_slice::<QuotaAnswer>(&bytes).ok())
        }
        Err(error) => {
            let error = error.to_string();
            spdlog::error!("a quota report cannot be encoded", kv: { error });
            None
        }
    };
    let now = relay.clock.now();
    let node = &mut relay.quotas.lock().node;
    match answer {
        Some(answer) => node.answered(now, level, to, answer),
        None => node.failed(now, level, to),
    }
}

/// Answers a report of another daemon; 503 while this daemon cannot.
pub async fn answer(relay: &Relay, request: Request<Incoming>) -> Response<RelayBody> {
    let body = Limited::new(request.into_body(), MAX_REPORT_BYTES)
        .collect()
        .await;
    let report = body
        .ok()
        .and_then(|whole| serde_json::from_slice::<QuotaReport>(&whole.to_bytes()).ok());
    let Some(report) = report else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let answer = if relay.quotas.is_active() {
        let now = relay.clock.now();
        relay.quotas.lock().node.receive(now, &report)
    } else {
        None
    };
    match answer.map(|answer| serde_json::to_vec(&answer)) {
        Some(Ok(bytes)) => Response::new(RelayBody::Full(bytes.into())),
        Some(Err(_)) | None => empty_response(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// Logs changes of the role and of limits, and updates the metrics.
fn observe(relay: &Relay, now: TimeMs) {
    let (role, changes, limited, aggregator, has_changed) = {
        let mut state = relay.quotas.lock();
        let role = state.node.role(now);
        let has_changed = state.role.replace(role) != Some(role);
        let changes = state.node.limit_changes(now);
        let (limited, aggregator) = (state.node.limited_count(), state.node.aggregator());
        (role, changes, limited, aggregator, has_changed)
    };
    if has_changed {
        let role = <&str>::from(role);
        let aggregator = aggregator.map_or("none".to_owned(), |address| address.to_string());
        spdlog::info!("the role of this daemon for quotas has changed", kv: { role, aggregator });
    }
    for LimitChange { name, share } in changes.iter().take(MAX_LIMIT_LINES) {
        let organisation = name.as_str();
        if *share < 1.0 {
            let share = format!("{share:.3}");
            spdlog::info!("an organisation exceeds its quota and is limited", kv: {
                organisation, share
            });
        } else {
            spdlog::info!("an organisation is within its quota again", kv: { organisation });
        }
    }
    if changes.len() > MAX_LIMIT_LINES {
        let left_out = changes.len() - MAX_LIMIT_LINES;
        spdlog::info!("log lines about limited organisations were left out", kv: { left_out });
    }
    relay.metrics.quotas.observed(role, limited, &changes);
}
