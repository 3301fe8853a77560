//! Control plane of one daemon: sheets, membership and the audit trail.
//!
//! A state machine without I/O: it takes events and the time, and returns actions.

pub mod audit;
pub mod checkpoint;
pub mod failure_votes;
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

/// A control message between two daemons. The receiver may answer with further messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlMessage {
    /// Publication and spread of sheets.
    Sheet(SheetMessage),
    /// Membership: which workers exist, and whether they are alive.
    Member(MemberMessage),
}

/// An input of [`Control::handle`].
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// The local backend server has announced itself or has changed.
    LocalAnnounced(Announcement),
    /// Records were read from the log.
    LogRead {
        /// The stream that was read.
        stream: Stream,
        /// The records, with the offset to continue from.
        batch: LogBatch,
    },
    /// The log could not be read.
    LogFailed {
        /// The stream whose read failed.
        stream: Stream,
    },
    /// An append took effect.
    Appended {
        /// The stream that was appended to.
        stream: Stream,
        /// Offset of the appended record.
        offset: u64,
    },
    /// An append failed or got no answer; it may still have taken effect.
    AppendFailed {
        /// The stream that was appended to.
        stream: Stream,
        /// The record that may be missing.
        record: LogRecord,
    },
    /// A message arrived from another daemon.
    MessageReceived {
        /// Control address of the sender.
        from: SocketAddr,
        /// The message received.
        message: ControlMessage,
    },
    /// A [`ControlAction::Send`] got no answer.
    MessageUnanswered {
        /// Control address of the daemon that did not answer.
        to: SocketAddr,
    },
    /// The local backend server, or a caller at this entry, calls a service.
    ServiceCalled {
        /// The service that is called.
        service: ServiceName,
    },
    /// A call carried a newer sheet version than the one in force here.
    NewerVersionSeen {
        /// The version that the call carried.
        version: SheetVersion,
    },
    /// An operator publishes a sheet.
    Publish(PublishRequest),
    /// An entry is to be added to the audit trail.
    Audited(AuditEntry),
    /// Periodic trigger of timers.
    Tick,
}

/// An output of [`Control::handle`], for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlAction {
    /// Read a stream of the log.
    ReadLog {
        /// The stream to read.
        stream: Stream,
        /// The first offset to read.
        from_offset: u64,
    },
    /// Read the newest records of a stream of the log.
    ReadLogTail {
        /// The stream to read.
        stream: Stream,
        /// Most records to return.
        records: u32,
    },
    /// Append a record to a stream of the log.
    Append {
        /// The stream to append to.
        stream: Stream,
        /// The record to append.
        record: LogRecord,
    },
    /// Send a message to another daemon, or answer one of its messages.
    Send {
        /// Control address of the receiver.
        to: SocketAddr,
        /// The message to send.
        message: ControlMessage,
    },
    /// A newer sheet is in force.
    SheetLearned(Arc<Sheet>),
    /// The workers that calls from this daemon may go to have changed.
    WorkersLearned(Vec<Announcement>),
    /// A quorum of daemons has found that a worker is gone.
    WorkerGone {
        /// The worker that is gone.
        worker: WorkerId,
        /// Control addresses of the daemons that could not reach it.
        voters: Vec<SocketAddr>,
    },
    /// A publication requested at this daemon has ended.
    PublishEnded(PublishReport),
}

/// State of one turn, which is the handling of one event: what the parts of [`Control`] share
/// meanwhile.
pub struct ControlTurn<'a> {
    /// The current time on the daemon's clock.
    pub now: TimeMs,
    /// The current time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Random number generator for membership.
    pub rng: &'a mut Xoshiro256PlusPlus,
    /// Random number generator for sheets and the audit trail; separate, so that draws of one part
    /// do not change those of the other.
    pub sheet_rng: &'a mut Xoshiro256PlusPlus,
    /// Actions to carry out, in order.
    pub actions: &'a mut Vec<ControlAction>,
    /// Entries to add to the audit trail after the event.
    pub audits: Vec<AuditEntry>,
}

/// The control plane state of one daemon. It is owned by a single task.
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
    /// Creates the state of the daemon on `vm`, with no sheet and no other daemon known.
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

    /// Sets the control addresses to probe while no zone peer is known.
    pub fn set_bootstrap_peers(&mut self, bootstrap_peers: Vec<SocketAddr>) {
        self.members.set_bootstrap_peers(bootstrap_peers);
    }

    /// The sheet state.
    pub fn sheets(&self) -> &SheetControl {
        &self.sheets
    }

    /// Sets the Unix time of the origin of the daemon's clock, in milliseconds.
    pub fn set_unix_origin(&mut self, unix_origin_ms: u64) {
        self.unix_origin_ms = unix_origin_ms;
    }

    /// The buffered audit trail.
    pub fn audit(&self) -> &AuditControl {
        &self.audit
    }

    /// The membership state.
    pub fn members(&self) -> &MemberControl {
        &self.members
    }

    /// Handles an event and appends the resulting actions to `actions`.
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
                // A later tick reads the members again; this state machine never reads the audit
                // trail.
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
            ControlEvent::MessageReceived { from, message } => match message {
                ControlMessage::Sheet(message) => self.sheets.message_received(turn, from, message),
                ControlMessage::Member(message) => {
                    self.members.message_received(turn, from, message)
                }
            },
            ControlEvent::MessageUnanswered { to } => {
                self.members.message_unanswered(turn, to);
                self.sheets.message_unanswered(turn, to);
            }
            ControlEvent::ServiceCalled { service } => {
                self.members.service_called(turn, &service);
            }
            ControlEvent::Publish(request) => self.sheets.publish(turn, request),
            ControlEvent::Audited(entry) => turn.audits.push(entry),
            ControlEvent::NewerVersionSeen { version } => {
                self.sheets.newer_version_seen(turn, version)
            }
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
