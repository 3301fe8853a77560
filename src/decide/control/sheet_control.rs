//! How the sheet in force is learned: from the log and from peers.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::fold::SheetFold;
use super::member_control::MemberControl;
use super::record::{LogBatch, LogRecord, Stream};
use super::{ControlAction, ControlTurn};
use crate::model::{Sheet, SheetVersion, TimeMs, Vm};

/// Time between two reads of the log, in milliseconds.
const READ_INTERVAL_MS: u64 = 500;

/// A message about sheets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SheetMessage {
    /// The sheet in force at the sender.
    InForce(Sheet),
}

/// What one daemon knows of sheets.
#[derive(Debug)]
pub struct SheetControl {
    #[allow(dead_code)]
    vm: Vm,
    fold: SheetFold,
    next_offset: u64,
    next_read: TimeMs,
}

impl SheetControl {
    /// Knows no sheet yet.
    pub fn new(vm: Vm) -> SheetControl {
        SheetControl {
            vm,
            fold: SheetFold::default(),
            next_offset: 0,
            next_read: TimeMs::default(),
        }
    }

    /// The sheet in force here.
    pub fn sheet(&self) -> &Arc<Sheet> {
        self.fold.sheet()
    }

    /// Takes in records of the sheet stream.
    pub fn log_read(&mut self, turn: &mut ControlTurn<'_>, batch: LogBatch) {
        self.next_offset = batch.next_offset;
        let before = self.fold.sheet().version;
        for entry in batch.entries {
            if let LogRecord::Publication(publication) = entry.record {
                self.fold.apply(&publication);
            }
        }
        if self.fold.sheet().version > before {
            let sheet = Arc::clone(self.fold.sheet());
            turn.actions.push(ControlAction::SheetLearned(sheet));
        }
    }

    /// The log could not be read; the next tick tries again.
    pub fn log_failed(&mut self, _turn: &mut ControlTurn<'_>) {}

    /// Takes in a message.
    pub fn peer_said(
        &mut self,
        _turn: &mut ControlTurn<'_>,
        _from: SocketAddr,
        message: SheetMessage,
    ) {
        match message {
            SheetMessage::InForce(_) => {}
        }
    }

    /// Looks for a version that a call carried.
    pub fn sheet_wanted(&mut self, turn: &mut ControlTurn<'_>, version: SheetVersion) {
        if version > self.fold.sheet().version {
            self.read(turn);
        }
    }

    /// Reads the log when it is time to.
    pub fn tick(&mut self, turn: &mut ControlTurn<'_>, _members: &MemberControl) {
        if turn.now >= self.next_read {
            self.read(turn);
        }
    }

    fn read(&mut self, turn: &mut ControlTurn<'_>) {
        self.next_read = turn.now.plus_ms(READ_INTERVAL_MS);
        turn.actions.push(ControlAction::ReadLog {
            stream: Stream::Sheets,
            from_offset: self.next_offset,
        });
    }
}
