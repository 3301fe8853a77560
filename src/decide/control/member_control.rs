//! How workers are learned: from announcements on the log and from peers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::members::Members;
use super::record::{LogBatch, LogRecord, Stream};
use super::{ControlAction, ControlTurn};
use crate::model::{Announcement, TimeMs, Vm};

/// Time between two reads of the log, in milliseconds.
const READ_INTERVAL_MS: u64 = 500;
/// Time between two announcements of an unchanged backend server on the log, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 30_000;

/// A message about membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberMessage {
    /// Announcements that the sender knows.
    Known(Vec<Announcement>),
}

/// What one daemon knows of the others.
#[derive(Debug)]
pub struct MemberControl {
    #[allow(dead_code)]
    vm: Vm,
    members: Members,
    local: Option<Announcement>,
    next_offset: u64,
    next_read: TimeMs,
    next_renewal: TimeMs,
}

impl MemberControl {
    /// Knows nobody yet.
    pub fn new(vm: Vm) -> MemberControl {
        MemberControl {
            vm,
            members: Members::default(),
            local: None,
            next_offset: 0,
            next_read: TimeMs::default(),
            next_renewal: TimeMs::default(),
        }
    }

    /// The workers known here.
    pub fn workers(&self) -> Vec<Announcement> {
        self.members.snapshot()
    }

    /// Takes in what the backend server beside this daemon says.
    pub fn local_announced(&mut self, turn: &mut ControlTurn<'_>, announcement: Announcement) {
        self.local = Some(announcement.clone());
        if self.members.merge(&announcement) {
            self.learned(turn);
        }
        self.renew(turn);
    }

    /// Takes in records of the member stream.
    pub fn log_read(&mut self, turn: &mut ControlTurn<'_>, batch: LogBatch) {
        self.next_offset = batch.next_offset;
        let mut changed = false;
        for entry in batch.entries {
            if let LogRecord::Member(announcement) = entry.record {
                changed |= self.members.merge(&announcement);
            }
        }
        if changed {
            self.learned(turn);
        }
    }

    /// The log could not be read; the next tick tries again.
    pub fn log_failed(&mut self, _turn: &mut ControlTurn<'_>) {}

    /// Takes in a message.
    pub fn peer_said(
        &mut self,
        turn: &mut ControlTurn<'_>,
        _from: SocketAddr,
        message: MemberMessage,
    ) {
        match message {
            MemberMessage::Known(announcements) => {
                let mut changed = false;
                for announcement in &announcements {
                    changed |= self.members.merge(announcement);
                }
                if changed {
                    self.learned(turn);
                }
            }
        }
    }

    /// A message to `to` got no answer.
    pub fn peer_silent(&mut self, _turn: &mut ControlTurn<'_>, _to: SocketAddr) {}

    /// Renews the announcement and reads the log when it is time to.
    pub fn tick(&mut self, turn: &mut ControlTurn<'_>) {
        if turn.now >= self.next_renewal {
            self.renew(turn);
        }
        if turn.now >= self.next_read {
            self.next_read = turn.now.plus_ms(READ_INTERVAL_MS);
            turn.actions.push(ControlAction::ReadLog {
                stream: Stream::Members,
                from_offset: self.next_offset,
            });
        }
    }

    fn learned(&self, turn: &mut ControlTurn<'_>) {
        let workers = self.members.snapshot();
        turn.actions.push(ControlAction::WorkersLearned(workers));
    }

    fn renew(&mut self, turn: &mut ControlTurn<'_>) {
        self.next_renewal = turn.now.plus_ms(RENEW_INTERVAL_MS);
        if let Some(announcement) = self.local.clone() {
            turn.actions.push(ControlAction::Append {
                stream: Stream::Members,
                record: LogRecord::Member(announcement),
            });
        }
    }
}
