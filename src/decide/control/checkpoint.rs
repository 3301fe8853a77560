//! When to write the folded state to the log again, so that older records may expire.

use rand::RngExt;

use super::ControlTurn;
use super::record::{LogRecord, SheetState};
use crate::model::TimeMs;

/// Time without a checkpoint after which one is written, in milliseconds.
///
/// The log service must keep records for several times this long.
pub const CHECKPOINT_INTERVAL_MS: u64 = 600_000;
/// Records without a checkpoint after which one is written.
pub const CHECKPOINT_RECORDS: u64 = 500;
/// Longest random delay, in which another daemon's checkpoint may come first, in milliseconds.
pub const CHECKPOINT_JITTER_MS: u64 = 30_000;

/// One daemon's plan for its next checkpoint.
#[derive(Debug, Default)]
pub struct CheckpointPlan {
    last_seen: Option<TimeMs>,
    records_since: u64,
    due: Option<TimeMs>,
}

impl CheckpointPlan {
    /// Takes note of records that were read from the log.
    pub fn seen<'a>(&mut self, now: TimeMs, records: impl Iterator<Item = &'a LogRecord>) {
        self.last_seen.get_or_insert(now);
        for record in records {
            match record {
                LogRecord::Checkpoint(_) => {
                    self.last_seen = Some(now);
                    self.records_since = 0;
                    self.due = None;
                }
                _ => self.records_since += 1,
            }
        }
    }

    /// Whether the checkpoint is to be written now.
    pub fn is_due(&mut self, turn: &mut ControlTurn<'_>) -> bool {
        let Some(last_seen) = self.last_seen else {
            return false;
        };
        let old = turn.now.since_ms(last_seen) >= CHECKPOINT_INTERVAL_MS;
        if !old && self.records_since < CHECKPOINT_RECORDS {
            return false;
        }
        let jitter_ms = turn.sheet_rng.random_range(0..=CHECKPOINT_JITTER_MS);
        let due = *self.due.get_or_insert(turn.now.plus_ms(jitter_ms));
        if turn.now < due {
            return false;
        }
        self.due = Some(turn.now.plus_ms(CHECKPOINT_JITTER_MS));
        true
    }

    /// The record of a state.
    pub fn record(state: SheetState) -> LogRecord {
        LogRecord::Checkpoint(Box::new(state))
    }
}
