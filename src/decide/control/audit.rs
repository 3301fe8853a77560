//! The audit trail: who changed what, when, from which version to which.
//!
//! Each daemon buffers entries and appends them in batches, so that the append rate depends on
//! the number of daemons that have entries, not on the number of entries.

use std::collections::VecDeque;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use super::record::{LogRecord, Stream};
use super::{ControlAction, ControlTurn};
use crate::model::{AuthorName, ServiceName, SheetVersion, TimeMs, WorkerId};

/// Longest time that an entry is held back to be batched with others, in milliseconds.
const BATCH_WAIT_MS: u64 = 5_000;
/// Longest time that a drain entry is held back, in milliseconds; the daemon may exit soon after
/// it.
const DRAIN_WAIT_MS: u64 = 500;
/// Longest backoff before a failed append is retried, in milliseconds.
const RETRY_WAIT_MS: u64 = 20_000;
/// Most entries in one append.
const MAX_BATCH_ENTRIES: usize = 100;
/// Most entries buffered while the log cannot be written; beyond it the oldest are dropped.
pub const MAX_BUFFERED_ENTRIES: usize = 1_000;
/// Most [`AuditKind::AdminRefused`] entries buffered, so that a flood of refused requests evicts
/// nothing else.
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
    /// A publication lost to another one on the same base.
    SheetConflict,
    /// A publication was refused, or it is unknown whether it took effect.
    SheetRefused,
    /// A backend server drains or has drained.
    Drain,
    /// A quorum of daemons found a backend server lost, or it is back.
    Membership,
    /// The administration API refused a request.
    AdminRefused,
}

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    /// Time of the event, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Kind of event.
    pub kind: AuditKind,
    /// Who caused it; for a daemon's own decisions, its address.
    pub author: AuthorName,
    /// Services affected; empty if the entry is not about individual services.
    pub services: Vec<ServiceName>,
    /// Sheet version before the event, if it concerns a sheet.
    pub from_version: Option<SheetVersion>,
    /// Sheet version after the event; absent if it published none.
    pub to_version: Option<SheetVersion>,
    /// Free-text description of the event.
    pub detail: String,
}

/// A batch of one daemon's entries, stored as one log record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditBatch {
    /// The daemon that recorded the entries.
    pub worker: WorkerId,
    /// Sequence number of the first entry among all entries of this daemon; readers deduplicate
    /// by it, since a retried append may store a batch twice.
    pub first: u64,
    /// Entries dropped by this daemon since it started.
    pub dropped: u64,
    /// The entries, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// Buffers one daemon's entries until they are on the log.
#[derive(Debug)]
pub struct AuditControl {
    worker: WorkerId,
    buffer: VecDeque<AuditEntry>,
    first_number: u64,
    dropped: u64,
    in_flight: Option<AuditBatch>,
    appending: bool,
    due_at: Option<TimeMs>,
}

impl AuditControl {
    /// Creates an empty buffer for the daemon `worker`.
    pub fn new(worker: WorkerId) -> AuditControl {
        AuditControl {
            worker,
            buffer: VecDeque::new(),
            first_number: 0,
            dropped: 0,
            in_flight: None,
            appending: false,
            due_at: None,
        }
    }

    /// Number of entries dropped since the daemon started.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Number of entries that are not yet on the log, including those of an append in flight.
    pub fn pending(&self) -> usize {
        let in_flight = self.in_flight.as_ref();
        self.buffer.len() + in_flight.map_or(0, |batch| batch.entries.len())
    }

    /// Buffers an entry and schedules an append; a full buffer drops an entry.
    pub fn add(&mut self, turn: &mut ControlTurn<'_>, entry: AuditEntry) {
        let kind = entry.kind;
        if kind == AuditKind::AdminRefused && self.buffered_refusals() >= MAX_BUFFERED_REFUSALS {
            self.dropped += 1;
            return;
        }
        self.buffer.push_back(entry);
        if self.buffer.len() > MAX_BUFFERED_ENTRIES {
            self.buffer.pop_front();
            self.first_number += 1;
            self.dropped += 1;
        }
        let wait_ms = if kind == AuditKind::Drain {
            DRAIN_WAIT_MS
        } else {
            BATCH_WAIT_MS
        };
        self.schedule(turn, wait_ms);
    }

    /// Handles a successful append.
    pub fn appended(&mut self, turn: &mut ControlTurn<'_>) {
        self.in_flight = None;
        self.appending = false;
        if !self.buffer.is_empty() {
            self.schedule(turn, BATCH_WAIT_MS);
        }
    }

    /// Schedules a retry of the same batch, since the failed append may still have taken effect.
    pub fn append_failed(&mut self, turn: &mut ControlTurn<'_>) {
        self.appending = false;
        self.schedule(turn, RETRY_WAIT_MS);
    }

    /// Appends the next batch if one is due.
    pub fn tick(&mut self, turn: &mut ControlTurn<'_>) {
        if self.due_at.is_none_or(|due| turn.now < due) {
            return;
        }
        self.due_at = None;
        let batch = self.in_flight.take().unwrap_or_else(|| self.next_batch());
        turn.actions.push(ControlAction::Append {
            stream: Stream::Audit,
            record: LogRecord::Audit(batch.clone()),
        });
        self.in_flight = Some(batch);
        self.appending = true;
    }

    fn buffered_refusals(&self) -> usize {
        let kinds = self.buffer.iter().map(|entry| entry.kind);
        kinds
            .filter(|kind| *kind == AuditKind::AdminRefused)
            .count()
    }

    fn next_batch(&mut self) -> AuditBatch {
        let count = self.buffer.len().min(MAX_BATCH_ENTRIES);
        let batch = AuditBatch {
            worker: self.worker,
            first: self.first_number,
            dropped: self.dropped,
            entries: self.buffer.drain(..count).collect(),
        };
        self.first_number += count as u64;
        batch
    }

    /// Schedules an append with jitter, so that daemons that see the same event do not all append
    /// at once.
    fn schedule(&mut self, turn: &mut ControlTurn<'_>, wait_ms: u64) {
        if !self.appending {
            let wait_ms = turn.sheet_rng.random_range(wait_ms / 10..=wait_ms);
            let due = turn.now.plus_ms(wait_ms);
            self.due_at = Some(self.due_at.map_or(due, |earlier| earlier.min(due)));
        }
    }
}
