//! What a daemon says of itself to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use super::admin::AdminParts;
use super::listener_counts::{Bound, ListenerCounts};
use super::local::BackendAnnouncement;
use super::process::{self, ProcessFigures};
use crate::decide::Counter;
use crate::decide::phase::Phase;
use crate::model::{Place, SheetVersion, WorkerId};

/// A daemon's status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The product's version.
    pub version: String,
    /// The phase of the daemon's life.
    pub phase: Phase,
    /// The daemon.
    pub worker: WorkerId,
    /// Where its VM stands.
    pub place: Place,
    /// What the backend server has last announced.
    pub backend_server: Option<BackendAnnouncement>,
    /// The sheet in force here.
    pub sheet: SheetStatus,
    /// Whether the log service or another daemon has been heard since the start.
    pub heard: bool,
    /// Workers known here.
    pub workers: usize,
    /// What the daemon holds now.
    pub gauges: Gauges,
    /// What it has counted since its start.
    pub counters: BTreeMap<String, u64>,
    /// Its listeners.
    pub listeners: BTreeMap<String, ListenerStatus>,
    /// What the operating system says of the process.
    pub process: ProcessFigures,
}

/// The sheet in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetStatus {
    /// The version.
    pub version: SheetVersion,
    /// Who published it.
    pub author: String,
    /// When, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Whether no sheet is known, so that the built-in safe rules hold.
    pub built_in: bool,
    /// Time since this was known to be the newest sheet, in milliseconds; none if it never was.
    pub age_ms: Option<u64>,
    /// Whether records of the log are missing, so that a checkpoint is waited for.
    pub gap: bool,
    /// Whether this daemon reads the log for its zone.
    pub reader: bool,
    /// Whether its last read of the log failed.
    pub log_failing: bool,
}

/// What a daemon holds now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gauges {
    /// The concurrency limit of the backend server.
    pub limit: u32,
    /// Requests running on the backend server.
    pub in_flight: u32,
    /// Requests that wait for the backend server.
    pub queued: u64,
    /// The lowest priority admitted.
    pub admission_level: u32,
    /// Calls that the daemon moves.
    pub calls: u64,
    /// Keys open at this home.
    pub open_keys: u64,
    /// Records at this executor.
    pub executor_records: u64,
}

/// One listener.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenerStatus {
    /// Connections open.
    pub connections: u64,
    /// Requests whose answer is due.
    pub answering: u64,
    /// How often each bound was reached.
    pub refused: BTreeMap<String, u64>,
}

/// Looks at everything.
pub async fn collect(parts: &AdminParts) -> Status {
    let node = &parts.pump.node;
    let gauges = node.gauges();
    let sheet = parts.control.sheet_status().await;
    let listeners = parts.listeners.by_name();
    Status {
        version: env!("CARGO_PKG_VERSION").to_owned(),
        phase: parts.lifecycle.phase(),
        worker: node.vm().worker,
        place: node.vm().place.clone(),
        backend_server: parts.local_server.last(),
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
        heard: parts.control.has_heard(),
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
        process: process::figures(),
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
