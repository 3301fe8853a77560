//! The audit trail: who changed what, when, from which version to which.
//!
//! Each daemon collects entries and appends them in batches, so that the rate
//! of appends depends on the number of daemons with news and not on the news.

use std::collections::VecDeque;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use super::record::{LogRecord, Stream};
use super::{ControlAction, ControlTurn};
use crate::model::{AuthorName, ServiceName, SheetVersion, TimeMs, WorkerId};

/// Longest time that an entry waits for others to share its append, in milliseconds.
const BATCH_WAIT_MS: u64 = 5_000;
/// The same for a drain, after which the daemon may soon be gone, in milliseconds.
const DRAIN_WAIT_MS: u64 = 500;
/// Longest wait before an append is tried again, in milliseconds.
const RETRY_WAIT_MS: u64 = 20_000;
/// Most entries in one append.
const MAX_BATCH_ENTRIES: usize = 100;
/// Most entries kept while the log cannot be written; the oldest are dropped.
pub const MAX_BUFFERED_ENTRIES: usize = 1_000;
/// Most refusals among them, so that a flood of refused requests displaces nothing else.
pub const MAX_BUFFERED_REFUSALS: usize = 200;

/// What an entry of the audit trail is about.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum AuditKind {
    /// A sheet was accepted.
    SheetAccepted,
    /// A publication lost against another.
    SheetConflict,
    /// A publication was refused, or cannot be told to have taken effect.
    SheetRefused,
    /// A backend server drains or has drained.
    Drain,
    /// Daemons agree that a backend server is lost, or is back.
    Membership,
    /// The administration API refused a request.
    AdminRefused,
}

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What happened.
    pub kind: AuditKind,
    /// Who did it; a daemon's own decisions have its address.
    pub author: AuthorName,
    /// The services concerned; none if the entry is not about single services.
    pub services: Vec<ServiceName>,
    /// The version before.
    pub from_version: Option<SheetVersion>,
    /// The version after.
    pub to_version: Option<SheetVersion>,
    /// What happened, in words.
    pub detail: String,
}

/// Entries of one daemon, as they stand in one record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditBatch {
    /// The daemon.
    pub worker: WorkerId,
    /// Number of the first entry among all of this daemon; a batch may stand in the log twice.
    pub first: u64,
    /// Entries that this daemon has had to drop since it started.
    pub dropped: u64,
    /// The entries, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// The entries of one daemon that are not yet on the log.
#[derive(Debug)]
pub struct AuditControl {
    worker: WorkerId,
    buffer: VecDeque<AuditEntry>,
    first: u64,
    dropped: u64,
    in_flight: Option<AuditBatch>,
    appending: bool,
    due: Option<TimeMs>,
}

impl AuditControl {
    /// No entry yet.
    pub fn new(worker: WorkerId) -> AuditControl {
        AuditControl {
            worker,
            buffer: VecDeque::new(),
            first: 0,
            dropped: 0,
            in_flight: None,
            appending: false,
            due: None,
        }
    }

    /// Entries that had to be dropped since the start of the daemon.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Entries that are not yet on the log.
    pub fn waiting(&self) -> usize {
        let in_flight = self.in_flight.as_ref();
        self.buffer.len() + in_flight.map_or(0, |batch| batch.entries.len())
    }

    /// Takes in an entry.
    pub fn add(&mut self, turn: &mut ControlTurn<'_>, entry: AuditEntry) {
        let kind = entry.kind;
        if kind == AuditKind::AdminRefused && self.refusals() >= MAX_BUFFERED_REFUSALS {
            self.dropped += 1;
            return;
        }
        self.buffer.push_back(entry);
        if self.buffer.len() > MAX_BUFFERED_ENTRIES {
            self.buffer.pop_front();
            self.first += 1;
            self.dropped += 1;
        }
        let wait_ms = if kind == AuditKind::Drain {
            DRAIN_WAIT_MS
        } else {
            BATCH_WAIT_MS
        };
        self.schedule(turn, wait_ms);
    }

    /// The append took effect.
    pub fn appended(&mut self, turn: &mut ControlTurn<'_>) {
        self.in_flight = None;
        self.appending = false;
        if !self.buffer.is_empty() {
            self.schedule(turn, BATCH_WAIT_MS);
        }
    }

    /// It cannot be told whether the append took effect; the same batch is sent again.
    pub fn append_failed(&mut self, turn: &mut ControlTurn<'_>) {
        self.appending = false;
        self.schedule(turn, RETRY_WAIT_MS);
    }

    /// Appends a batch when it is time to.
    pub fn tick(&mut self, turn: &mut ControlTurn<'_>) {
        if self.due.is_none_or(|due| turn.now < due) {
            return;
        }
        self.due = None;
        let batch = self.in_flight.take().unwrap_or_else(|| self.next_batch());
        turn.actions.push(ControlAction::Append {
            stream: Stream::Audit,
            record: LogRecord::Audit(batch.clone()),
        });
        self.in_flight = Some(batch);
        self.appending = true;
    }

    fn refusals(&self) -> usize {
        let kinds = self.buffer.iter().map(|entry| entry.kind);
        kinds
            .filter(|kind| *kind == AuditKind::AdminRefused)
            .count()
    }

    fn next_batch(&mut self) -> AuditBatch {
        let count = self.buffer.len().min(MAX_BATCH_ENTRIES);
        let batch = AuditBatch {
            worker: self.worker,
            first: self.first,
            dropped: self.dropped,
            entries: self.buffer.drain(..count).collect(),
        };
        self.first += count as u64;
        batch
    }

    /// The jitter keeps daemons that see the same event from appending at once.
    fn schedule(&mut self, turn: &mut ControlTurn<'_>, wait_ms: u64) {
        if !self.appending {
            let wait_ms = turn.sheet_rng.random_range(wait_ms / 10..=wait_ms);
            let due = turn.now.plus_ms(wait_ms);
            self.due = Some(self.due.map_or(due, |earlier| earlier.min(due)));
        }
    }
}
