//! Decides when to write a checkpoint of the folded state, so that older log records may expire.

use rand::RngExt;

use super::ControlTurn;
use super::record::{LogRecord, SheetState};
use crate::model::TimeMs;

/// Time since the last checkpoint after which one is written, in milliseconds.
///
/// The log service must retain records for several times this long.
pub const CHECKPOINT_INTERVAL_MS: u64 = 600_000;
/// Records since the last checkpoint after which one is written.
pub const CHECKPOINT_RECORDS: u64 = 500;
/// Longest random delay of a due checkpoint, in milliseconds; a checkpoint of another daemon may
/// make it unnecessary meanwhile.
pub const CHECKPOINT_JITTER_MS: u64 = 30_000;

/// Schedules one daemon's next checkpoint.
#[derive(Debug, Default)]
pub struct CheckpointSchedule {
    interval_start: Option<TimeMs>,
    records_since_checkpoint: u64,
    due_at: Option<TimeMs>,
}

impl CheckpointSchedule {
    /// Counts records read from the log; a checkpoint among them resets the schedule.
    pub fn observe<'a>(&mut self, now: TimeMs, records: impl Iterator<Item = &'a LogRecord>) {
        self.interval_start.get_or_insert(now);
        for record in records {
            match record {
                LogRecord::Checkpoint(_) => {
                    self.interval_start = Some(now);
                    self.records_since_checkpoint = 0;
                    self.due_at = None;
                }
                _ => self.records_since_checkpoint += 1,
            }
        }
    }

    /// Whether to write a checkpoint now. If so, the next one is scheduled after the longest
    /// jitter, in case this one does not reach the log.
    pub fn is_due(&mut self, turn: &mut ControlTurn<'_>) -> bool {
        let Some(interval_start) = self.interval_start else {
            return false;
        };
        let interval_over = turn.now.since_ms(interval_start) >= CHECKPOINT_INTERVAL_MS;
        if !interval_over && self.records_since_checkpoint < CHECKPOINT_RECORDS {
            return false;
        }
        let jitter_ms = turn.sheet_rng.random_range(0..=CHECKPOINT_JITTER_MS);
        let due = *self.due_at.get_or_insert(turn.now.plus_ms(jitter_ms));
        if turn.now < due {
            return false;
        }
        self.due_at = Some(turn.now.plus_ms(CHECKPOINT_JITTER_MS));
        true
    }

    /// Wraps a state as a checkpoint record.
    pub fn record(state: SheetState) -> LogRecord {
        LogRecord::Checkpoint(Box::new(state))
    }
}
