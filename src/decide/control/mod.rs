//! Sheets, membership and the audit trail: events and the time go in, actions come out.

pub mod audit;
pub mod checkpoint;
pub mod fold;
pub mod gateways;
pub mod interests;
pub mod member_control;
pub mod members;
pub mod publication;
pub mod publish;
pub mod record;
pub mod sheet_control;
pub mod spread;
pub mod verdict;

use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};

use self::audit::{AuditControl, AuditEntry};
pub use self::fold::first_version;
use self::member_control::{MemberControl, MemberMessage};
use self::publish::{PublishReport, PublishRequest};
use self::record::{LogBatch, LogRecord, Stream};
use self::sheet_control::SheetControl;
use self::spread::SheetMessage;
use crate::model::{Announcement, ServiceName, Sheet, SheetVersion, TimeMs, Vm, WorkerId};

/// A control message between two daemons. The receiver may answer with further ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlMessage {
    /// About sheets.
    Sheet(SheetMessage),
    /// About membership.
    Member(MemberMessage),
}

/// What happens to a [`Control`].
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// The backend server beside this daemon has announced itself or has changed.
    LocalAnnounced(Announcement),
    /// Records were read from the log.
    LogRead {
        /// The stream.
        stream: Stream,
        /// The records.
        batch: LogBatch,
    },
    /// The log could not be read.
    LogFailed {
        /// The stream.
        stream: Stream,
    },
    /// An append took effect.
    Appended {
        /// The stream.
        stream: Stream,
        /// The offset of the record.
        offset: u64,
    },
    /// It cannot be told whether an append took effect.
    AppendFailed {
        /// The stream.
        stream: Stream,
        /// The record.
        record: LogRecord,
    },
    /// A message from another daemon.
    PeerSaid {
        /// The other daemon's control address.
        from: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// A [`ControlAction::Send`] got no answer.
    PeerSilent {
        /// The other daemon's control address.
        to: SocketAddr,
    },
    /// The local backend server, or a caller at this entry, calls a service.
    ServiceCalled {
        /// The service.
        service: ServiceName,
    },
    /// A call carried a newer version than the one in force here.
    SheetWanted {
        /// The version.
        version: SheetVersion,
    },
    /// An operator publishes a sheet.
    Publish(PublishRequest),
    /// Something happened that belongs in the audit trail.
    Audited(AuditEntry),
    /// Time has passed.
    Tick,
}

/// What a [`Control`] wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlAction {
    /// Read a stream of the log.
    ReadLog {
        /// The stream.
        stream: Stream,
        /// The first offset wanted.
        from_offset: u64,
    },
    /// Read the newest records of a stream of the log.
    ReadLogTail {
        /// The stream.
        stream: Stream,
        /// Most records wanted.
        records: u32,
    },
    /// Append a record to a stream of the log.
    Append {
        /// The stream.
        stream: Stream,
        /// The record.
        record: LogRecord,
    },
    /// Send a message to another daemon, or answer one that it has sent.
    Send {
        /// The other daemon's control address.
        to: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// A newer sheet is in force.
    SheetLearned(Arc<Sheet>),
    /// The workers known have changed.
    WorkersLearned(Vec<Announcement>),
    /// Several daemons together have found that a worker is gone.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
        /// Control addresses of the daemons that could not reach it.
        voters: Vec<SocketAddr>,
    },
    /// A publication has ended.
    PublishEnded(PublishReport),
}

/// What the parts of [`Control`] share while they handle one event.
pub struct ControlTurn<'a> {
    /// The time.
    pub now: TimeMs,
    /// The time in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The random source of membership.
    pub rng: &'a mut Xoshiro256PlusPlus,
    /// The random source of sheets and the audit trail, so that neither part disturbs the other.
    pub sheet_rng: &'a mut Xoshiro256PlusPlus,
    /// The actions found.
    pub actions: &'a mut Vec<ControlAction>,
    /// Entries for the audit trail.
    pub audits: Vec<AuditEntry>,
}

/// The decisions of one daemon about sheets and membership. One task owns it.
#[derive(Debug)]
pub struct Control {
    sheets: SheetControl,
    members: MemberControl,
    audit: AuditControl,
    unix_origin_ms: u64,
    rng: Xoshiro256PlusPlus,
    sheet_rng: Xoshiro256PlusPlus,
}

impl Control {
    /// A control for the daemon on `vm` that knows nothing yet.
    pub fn new(vm: Vm, seed: u64) -> Control {
        Control {
            sheets: SheetControl::new(vm.clone()),
            audit: AuditControl::new(vm.worker),
            unix_origin_ms: 0,
            members: MemberControl::new(vm),
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            sheet_rng: Xoshiro256PlusPlus::seed_from_u64(!seed),
        }
    }

    /// Control addresses to try while no peer is known.
    pub fn set_hints(&mut self, hints: Vec<SocketAddr>) {
        self.members.set_hints(hints);
    }

    /// The part for sheets.
    pub fn sheets(&self) -> &SheetControl {
        &self.sheets
    }

    /// Sets the time since the Unix epoch at the origin of the clock, in milliseconds.
    pub fn set_unix_origin(&mut self, unix_origin_ms: u64) {
        self.unix_origin_ms = unix_origin_ms;
    }

    /// The part for the audit trail.
    pub fn audit(&self) -> &AuditControl {
        &self.audit
    }

    /// The part for membership.
    pub fn members(&self) -> &MemberControl {
        &self.members
    }

    /// Takes in an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: TimeMs, event: ControlEvent, actions: &mut Vec<ControlAction>) {
        let turn = &mut ControlTurn {
            now,
            unix_ms: self.unix_origin_ms + now.0,
            rng: &mut self.rng,
            sheet_rng: &mut self.sheet_rng,
            actions,
            audits: Vec::new(),
        };
        match event {
            ControlEvent::LocalAnnounced(announcement) => {
                self.members.local_announced(turn, announcement);
            }
            ControlEvent::LogRead { stream, batch } => match stream {
                Stream::Sheets => self.sheets.log_read(turn, batch),
                Stream::Members => self.members.log_read(turn, batch),
                Stream::Audit => {}
            },
            ControlEvent::LogFailed { stream } => match stream {
                Stream::Sheets => self.sheets.log_failed(turn),
                // A later tick reads the members again; the audit trail is never read here.
                Stream::Members | Stream::Audit => {}
            },
            ControlEvent::Appended { stream, offset } => match stream {
                Stream::Sheets => self.sheets.appended(turn, offset),
                Stream::Members => {}
                Stream::Audit => self.audit.appended(turn),
            },
            ControlEvent::AppendFailed { stream, .. } => match stream {
                Stream::Sheets => self.sheets.append_failed(turn),
                Stream::Members => self.members.append_failed(turn),
                Stream::Audit => self.audit.append_failed(turn),
            },
            ControlEvent::PeerSaid { from, message } => match message {
                ControlMessage::Sheet(message) => self.sheets.peer_said(turn, from, message),
                ControlMessage::Member(message) => self.members.peer_said(turn, from, message),
            },
            ControlEvent::PeerSilent { to } => {
                self.members.peer_silent(turn, to);
                self.sheets.peer_silent(turn, to);
            }
            ControlEvent::ServiceCalled { service } => {
                self.members.service_called(turn, &service);
            }
            ControlEvent::Publish(request) => self.sheets.publish(turn, request),
            ControlEvent::Audited(entry) => turn.audits.push(entry),
            ControlEvent::SheetWanted { version } => self.sheets.sheet_wanted(turn, version),
            ControlEvent::Tick => {
                self.members.tick(turn);
                self.sheets.tick(turn, &self.members);
                self.audit.tick(turn);
            }
        }
        for entry in std::mem::take(&mut turn.audits) {
            self.audit.add(turn, entry);
        }
    }
}
