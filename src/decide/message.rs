//! Events that enter [`super::Node`], actions that leave it, and the messages between daemons.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use super::evidence::WireEvidence;
use crate::model::key::TICKET_SERIES;
use crate::model::sheet::Sheet;
use crate::model::vm::{Incarnation, WorkerId};
use crate::model::{
    Announcement, Answer, CallContext, CallKey, CallerName, Importance, NotRun, NotRunReason,
    Outcome, RequestName, ServiceName, SheetVersion, UnknownReason,
};

/// Identifies a call that somebody waits for at this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// Identifies one message sent on behalf of a call, to a daemon or to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId {
    /// The call that the message is sent for.
    pub call: CallId,
    /// Counts the messages of that call.
    pub number: u32,
}

/// Importance and rank as one number; under overload the smaller is shed first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u32);

impl Priority {
    /// Level that admits everything.
    pub const LOWEST: Priority = Priority(0);

    /// The priority of a request.
    pub fn new(importance: Importance, rank: u16) -> Priority {
        Priority(((importance as u32) << 16) | u32::from(rank))
    }
}

/// A request as a caller, or the local backend server, makes it.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The service asked for.
    pub service: ServiceName,
    /// The kind of request.
    pub request: RequestName,
    /// The caller; ignored for a call made beneath another.
    pub caller: CallerName,
    /// The idempotency key, if the caller has one.
    pub key: Option<CallKey>,
    /// The caller acknowledges all answers of its ticket below this counter.
    pub acknowledged_below: Option<u64>,
    /// The caller's own deadline as time left, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// The running call beneath which the local backend server makes this one.
    pub parent: Option<ParentCall>,
    /// Body.
    pub body: Bytes,
}

/// Names the running call that a backend server makes a further call beneath.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ParentCall {
    /// The call as this daemon handed it to the backend server.
    pub call: CallId,
    /// The backend server's counter of its calls beneath that one.
    pub ordinal: u32,
}

/// Identifies one message among all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MessageId {
    /// The process start that sends it.
    pub from: Incarnation,
    /// The call that it is sent for.
    pub call: CallId,
    /// Counts the messages of that call.
    pub number: u32,
}

/// A request to a backend server, as one daemon sends it to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecuteRequest {
    /// The daemon meant; any other refuses.
    pub to: WorkerId,
    /// Tells copies of this message from others.
    pub message: MessageId,
    /// The service.
    pub service: ServiceName,
    /// The kind of request.
    pub request: RequestName,
    /// What travels with the root request.
    pub context: CallContext,
    /// Whether this layer may run twice, by the sender's sheet.
    pub idempotent: bool,
    /// The key, always present if the call is not idempotent.
    pub key: Option<CallKey>,
    /// All keys of the ticket below this one are closed at their home.
    pub lowest_open: u64,
    /// Body.
    #[serde(skip)]
    pub body: Bytes,
}

/// A message to another daemon that expects a [`PeerReply`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PeerRequest {
    /// Run a request on the backend server beside the receiver.
    Execute(ExecuteRequest),
    /// Start, join or repeat a keyed call at its home.
    Submit(ExecuteRequest),
    /// Tell what became of a key; if it is not known, fence it.
    Settle {
        /// The daemon meant.
        to: WorkerId,
        /// The key.
        key: CallKey,
        /// The request that is asked for, if the asker has it: another one is refused.
        fingerprint: Option<u64>,
    },
    /// Keys and tickets of a home that are closed.
    Acknowledge {
        /// The daemon meant.
        to: WorkerId,
        /// The home.
        home: WorkerId,
        /// What is closed.
        closings: TicketClosings,
    },
}

/// Keys and tickets of one home that are closed, so that their records can go.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketClosings {
    /// For each series of ticket numbers: all tickets below this one are closed.
    pub floors: [u64; TICKET_SERIES],
    /// Tickets above the floors that are closed.
    pub closed: BTreeSet<u64>,
    /// Lowest open counters of tickets that are open.
    pub lowest_open: BTreeMap<u64, u64>,
}

impl PeerRequest {
    /// The daemon that the message is meant for.
    pub fn to(&self) -> WorkerId {
        match self {
            PeerRequest::Execute(request) | PeerRequest::Submit(request) => request.to,
            PeerRequest::Settle { to, .. } | PeerRequest::Acknowledge { to, .. } => *to,
        }
    }
}

/// An [`Outcome`] as it travels between daemons; the body of an answer travels beside it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireOutcome {
    /// Ran; the answer's body is beside this value.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Media type of the answer.
        content_type: String,
        /// Length of the body in bytes; a body of another length is not the answer.
        body_bytes: u64,
    },
    /// Did not run.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after_ms: u64,
        /// The proof.
        evidence: WireEvidence,
    },
    /// Cannot be told.
    Unknown {
        /// Why.
        reason: UnknownReason,
    },
}

impl WireOutcome {
    /// Takes an outcome apart into what travels in the header and the body.
    pub fn from_outcome(outcome: Outcome) -> (WireOutcome, Bytes) {
        match outcome {
            Outcome::Done(answer) => {
                let header = WireOutcome::Done {
                    status: answer.status,
                    content_type: answer.content_type,
                    body_bytes: answer.body.len() as u64,
                };
                (header, answer.body)
            }
            Outcome::NotRun(not_run) => {
                let header = WireOutcome::NotRun {
                    reason: not_run.reason,
                    retry_after_ms: not_run.retry_after_ms,
                    evidence: not_run.evidence.into(),
                };
                (header, Bytes::new())
            }
            Outcome::Unknown(reason) => (WireOutcome::Unknown { reason }, Bytes::new()),
        }
    }

    /// Puts an outcome together again; `None` if the body is not whole.
    pub(crate) fn into_outcome(self, body: Bytes) -> Option<Outcome> {
        match self {
            WireOutcome::Done {
                status,
                content_type,
                body_bytes,
            } => (body.len() as u64 == body_bytes).then_some(Outcome::Done(Answer {
                status,
                content_type,
                body,
            })),
            WireOutcome::NotRun {
                reason,
                retry_after_ms,
                evidence,
            } => Some(Outcome::NotRun(NotRun {
                reason,
                retry_after_ms,
                evidence: evidence.vouched_for(),
            })),
            WireOutcome::Unknown { reason } => Some(Outcome::Unknown(reason)),
        }
    }
}

/// The reply to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq)]
pub struct PeerReply {
    /// The daemon that replies.
    pub from: WorkerId,
    /// The key that the reply is about, as the request gave it.
    pub key: Option<CallKey>,
    /// How the call ended. For an acknowledgement, not-run is never said.
    pub outcome: Outcome,
    /// What is left of the allowance that the request granted.
    pub allowance_left: u32,
    /// The strictest admission level at the replying daemon and beneath it.
    pub level: Priority,
    /// Time that backend servers spent on this call, in milliseconds.
    pub service_ms: u64,
}

/// A request for the backend server beside this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalRun {
    /// The call, which the backend server names in calls it makes beneath this one.
    pub call: CallId,
    /// The service.
    pub service: ServiceName,
    /// The kind of request.
    pub request: RequestName,
    /// The caller.
    pub caller: CallerName,
    /// The key, for the backend server's own log.
    pub key: Option<CallKey>,
    /// Milliseconds left until the deadline.
    pub time_left_ms: u64,
    /// Body.
    pub body: Bytes,
}

/// How a message failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// The connection was never made: no byte has left this daemon.
    NoByteSent,
    /// The connection broke, or what came back was not a whole reply.
    Broken,
    /// The connection made no progress for the longest that is allowed.
    Silent,
}

/// What happens to a [`super::Node`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller, or the local backend server, asks for a service.
    CallArrived {
        /// Number given by [`super::Node::next_call`].
        call: CallId,
        /// The request.
        request: CallerRequest,
    },
    /// A caller asks what became of a key, which fences it if it is not known.
    KeyQueried {
        /// Number given by [`super::Node::next_call`].
        call: CallId,
        /// The key.
        key: CallKey,
    },
    /// Whoever waited for the call has gone.
    CallAbandoned {
        /// The call.
        call: CallId,
    },
    /// A message from another daemon.
    PeerArrived {
        /// Number given by [`super::Node::next_call`].
        call: CallId,
        /// The message.
        message: PeerRequest,
    },
    /// The reply to an [`Action::SendPeer`].
    PeerReplied {
        /// The message replied to.
        exchange: ExchangeId,
        /// The reply.
        reply: PeerReply,
    },
    /// An [`Action::SendPeer`] failed.
    PeerFailed {
        /// The message that failed.
        exchange: ExchangeId,
        /// How.
        failure: SendFailure,
    },
    /// The backend server answered an [`Action::RunLocal`].
    BackendReplied {
        /// The call as it was handed over.
        call: CallId,
        /// The whole answer.
        answer: Answer,
    },
    /// An [`Action::RunLocal`] failed.
    BackendFailed {
        /// The call as it was handed over.
        call: CallId,
        /// How.
        failure: SendFailure,
    },
    /// The backend server answered an [`Action::RunLocal`] that it did not run the request.
    BackendRefused {
        /// The call as it was handed over.
        call: CallId,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The newest sheet that this daemon has learned.
    SheetLearned(std::sync::Arc<Sheet>),
    /// The workers that this daemon now knows of.
    WorkersLearned(Vec<Announcement>),
    /// The backend server beside this daemon has announced its size, or its leaving.
    LocalServer {
        /// Requests that it can work on at once.
        slots: u32,
        /// Whether it takes no new work.
        leaving: bool,
    },
    /// This daemon is stopping: refuse new root requests and finish the rest.
    Draining,
    /// Time has passed.
    Tick,
}

/// What a [`super::Node`] wants done.
#[derive(Debug, Clone)]
pub enum Action {
    /// Answer the caller, or the local backend server.
    Answer {
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
        /// The key's ticket was acknowledged through this outcome or the call has no key.
        key: Option<CallKey>,
    },
    /// Reply to another daemon.
    ReplyPeer {
        /// The call as it arrived.
        call: CallId,
        /// The reply.
        reply: PeerReply,
    },
    /// Send a message to another daemon and report the reply or the failure.
    SendPeer {
        /// Names the message in the report.
        exchange: ExchangeId,
        /// The message.
        message: PeerRequest,
        /// Use a connection that has never been used before.
        fresh_connection: bool,
        /// Longest time without a reply, in milliseconds.
        timeout_ms: u64,
    },
    /// Nobody waits for the reply any more: close its connection.
    CancelPeer {
        /// The message.
        exchange: ExchangeId,
    },
    /// Hand a request to the backend server and report the answer or the failure.
    RunLocal(LocalRun),
    /// Ask the backend server to stop working on a call.
    CancelLocal {
        /// The call as it was handed over.
        call: CallId,
    },
    /// A call was classified by a newer sheet than the one in force here: learn it.
    WantSheet {
        /// The version.
        version: SheetVersion,
    },
    /// A service is called of which all workers should be known.
    WantWorkers {
        /// The service.
        service: ServiceName,
    },
    /// A decision changed in a way that operators want to see.
    Note(Note),
}

/// A change of a decision, for the log and the audit trail.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// The concurrency limit of the local backend server has changed.
    LimitChanged {
        /// The limit before.
        from: u32,
        /// The limit now.
        to: u32,
    },
    /// The admission level at the local backend server has changed.
    LevelChanged {
        /// The level before.
        from: Priority,
        /// The level now.
        to: Priority,
    },
    /// An invariant would have been broken; the request was refused.
    Breach {
        /// The invariant, by its name in the metrics.
        invariant: &'static str,
        /// The key concerned.
        key: Option<CallKey>,
    },
}
