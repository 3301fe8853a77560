//! Status of a daemon, the source of `GET /v1/status` and of the metrics.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use super::admin::AdminParts;
use super::listener_counts::{Bound, ListenerCounts};
use super::local::BackendAnnouncement;
use super::process::{self, ProcessStats};
use crate::decide::Counter;
use crate::decide::phase::Phase;
use crate::model::{Place, SheetVersion, WorkerId};

/// Response body of `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// Version of the daemon's software.
    pub version: String,
    /// Lifecycle phase of the daemon.
    pub phase: Phase,
    /// Address and incarnation of the daemon.
    pub worker: WorkerId,
    /// Region and availability zone of its VM.
    pub place: Place,
    /// Last announcement of the backend server; absent before the first one.
    pub backend_server: Option<BackendAnnouncement>,
    /// The sheet in force here.
    pub sheet: SheetStatus,
    /// Whether anything was received from the log service or another daemon since the start.
    pub heard: bool,
    /// Number of workers that this daemon knows.
    pub workers: usize,
    /// Present limits and queue lengths.
    pub gauges: Gauges,
    /// Event counts since the start, by counter name.
    pub counters: BTreeMap<String, u64>,
    /// Connections and refusals, by listener name.
    pub listeners: BTreeMap<String, ListenerStatus>,
    /// Resource usage of the process.
    pub process: ProcessStats,
}

/// Status of the sheet in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetStatus {
    /// Version of the sheet.
    pub version: SheetVersion,
    /// Author of the sheet.
    pub author: String,
    /// Publication time, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Whether the built-in safe rules apply because no sheet is known.
    pub built_in: bool,
    /// Time since this sheet was last known to be the newest, in milliseconds; `None` if it never
    /// was.
    pub age_ms: Option<u64>,
    /// Whether log records are missing, so that the daemon waits for a checkpoint.
    pub gap: bool,
    /// Whether this daemon reads the log for its zone.
    pub reader: bool,
    /// Whether its last read of the log failed.
    pub log_failing: bool,
}

/// Present limits and queue lengths of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gauges {
    /// Concurrency limit of the backend server, in requests.
    pub limit: u32,
    /// Requests running on the backend server.
    pub in_flight: u32,
    /// Requests queued for the backend server.
    pub queued: u64,
    /// Lowest priority admitted.
    pub admission_level: u32,
    /// Calls that the daemon is dispatching, for callers and for its backend server.
    pub calls: u64,
    /// Idempotency keys open at this home.
    pub open_keys: u64,
    /// Records of keyed requests kept at this executor.
    pub executor_records: u64,
}

/// Status of one listener.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerStatus {
    /// Number of open connections.
    pub connections: u64,
    /// Requests received that have no response yet.
    pub answering: u64,
    /// Refusals since the start, by the bound that caused them.
    pub refused: BTreeMap<String, u64>,
}

/// Collects the status from all parts of the daemon.
pub async fn collect(parts: &AdminParts) -> Status {
    let node = &parts.driver.node;
    let gauges = node.gauges();
    let sheet = parts.control.sheet_status().await;
    let listeners = parts.listener_counts.by_name();
    Status {
        version: env!("CARGO_PKG_VERSION").to_owned(),
        phase: parts.lifecycle.phase(),
        worker: node.vm().worker,
        place: node.vm().place.clone(),
        backend_server: parts.local_server.last_announcement(),
        sheet: SheetStatus {
            version: sheet.base.version,
            author: sheet.author.to_string(),
            published_ms: sheet.published_ms,
            built_in: sheet.built_in,
            age_ms: sheet.age_ms,
            gap: sheet.gap,
            reader: sheet.reader,
            log_failing: sheet.log_failing,
        },
        heard: parts.control.had_contact(),
        workers: parts.control.workers().await.len(),
        gauges: Gauges {
            limit: gauges.limit,
            in_flight: gauges.in_flight,
            queued: gauges.queued as u64,
            admission_level: gauges.level,
            calls: gauges.dispatches as u64,
            open_keys: gauges.open_keys as u64,
            executor_records: gauges.records as u64,
        },
        counters: Counter::iter()
            .map(|counter| (name(counter.into()), node.counters().get(counter)))
            .collect(),
        listeners: listeners
            .into_iter()
            .map(|(listener, counts)| (name(listener), listener_status(counts)))
            .collect(),
        process: process::stats(),
    }
}

fn listener_status(counts: &ListenerCounts) -> ListenerStatus {
    ListenerStatus {
        connections: counts.open(),
        answering: counts.answering(),
        refused: Bound::iter()
            .map(|bound| (name(bound.into()), counts.refused(bound)))
            .collect(),
    }
}

fn name(name: &'static str) -> String {
    name.to_owned()
}
