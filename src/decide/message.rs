//! Events handled by [`super::Node`], the actions it returns, and the messages between daemons.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

use super::evidence::WireEvidence;
use crate::model::key::TICKET_SERIES;
use crate::model::sheet::Sheet;
use crate::model::vm::WorkerId;
use crate::model::{
    Announcement, Answer, CallContext, CallKey, CallerName, Importance, Incarnation, NotRun,
    NotRunReason, Outcome, RequestName, ServiceName, SheetVersion, UnknownReason,
};

/// Identifies a call, or a message from another daemon; unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// Identifies one message that this daemon sends on behalf of a call, and its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExchangeId {
    /// The call that the message is sent for.
    pub call: CallId,
    /// Sequence number among the messages of that call.
    pub number: u32,
}

/// Importance and rank as one number; under overload the lowest priority is shed first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u32);

impl Priority {
    /// The lowest priority; as an admission level it admits every request.
    pub const LOWEST: Priority = Priority(0);

    /// Combines the importance (upper 16 bits) and the rank (lower 16 bits).
    pub fn new(importance: Importance, rank: u16) -> Priority {
        Priority(((importance as u32) << 16) | u32::from(rank))
    }
}

/// A request from a caller, or from the local backend server for a child call.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The service to call.
    pub service: ServiceName,
    /// The kind of request, which selects the rules of the sheet that apply.
    pub request: RequestName,
    /// The caller; ignored for a child call, which keeps the caller of its root request.
    pub caller: CallerName,
    /// The caller's idempotency key. The key of a child call is assigned by this daemon.
    pub key: Option<CallKey>,
    /// The caller acknowledges all answers of its ticket with a sequence number below this one.
    pub acknowledged_below: Option<u64>,
    /// Time left until the caller's own deadline, in milliseconds; `None` leaves it to the sheet.
    pub time_left_ms: Option<u64>,
    /// The running call for which the local backend server makes this one; `None` for a root request.
    pub parent: Option<ParentCall>,
    /// The request body.
    pub body: Bytes,
}

/// The parent of a child call, and the child call's number among those of that parent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ParentCall {
    /// The parent, by the id under which this daemon handed it to the backend server.
    pub call: CallId,
    /// Number of the child call among those of the parent, counted by the backend server from zero;
    /// a repetition of the call has the same number.
    pub child_ordinal: u32,
}

/// A request for a backend server, sent from one daemon to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecuteRequest {
    /// The recipient; a daemon of another incarnation refuses the request.
    pub to: WorkerId,
    /// The called service.
    pub service: ServiceName,
    /// The kind of request, which selects the rules of the sheet that apply.
    pub request: RequestName,
    /// Context of the root request, with the time and allowance left for this attempt.
    pub context: CallContext,
    /// Whether the request may run more than once, by the sender's sheet.
    pub idempotent: bool,
    /// The idempotency key; required unless the request is idempotent.
    pub key: Option<CallKey>,
    /// To an executor: all keys of the ticket with a sequence number below this one are closed at
    /// their home. To a home: the caller acknowledges the answers of these keys.
    pub lowest_open: u64,
    /// Identifies the request among those of its sender, to detect duplicates.
    pub attempt: AttemptId,
    /// The request body.
    #[serde(skip)]
    pub body: Bytes,
}

/// Identifies a request across all daemons; duplicates of a request have the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptId {
    /// The sending process.
    pub sender: Incarnation,
    /// Sequence number among the sender's requests.
    pub number: u64,
}

/// A message to another daemon that expects a [`PeerReply`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PeerRequest {
    /// Run a request on the backend server of the recipient.
    Execute(ExecuteRequest),
    /// Start a keyed call at its home, join it while it runs, or get its stored outcome.
    Submit(ExecuteRequest),
    /// Report the outcome of a key; fence the key if it is not known, so that it cannot run later.
    Settle {
        /// The recipient.
        to: WorkerId,
        /// The key.
        key: CallKey,
        /// Fingerprint of the request, if the sender has it; a key used for another request is
        /// refused.
        fingerprint: Option<u64>,
    },
    /// Drop the records of keys and tickets that a home has closed.
    Acknowledge {
        /// The recipient.
        to: WorkerId,
        /// The home.
        home: WorkerId,
        /// The closed keys and tickets.
        closings: TicketClosings,
    },
}

/// Closed keys and tickets of one home, whose records an executor can drop.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketClosings {
    /// For each series of ticket numbers, the number below which all tickets are closed.
    pub floors: [u64; TICKET_SERIES],
    /// Numbers of closed tickets at or above the floors.
    pub closed: BTreeSet<u64>,
    /// The lowest open sequence number of each open ticket, by ticket number.
    pub lowest_open: BTreeMap<u64, u64>,
}

impl PeerRequest {
    /// The recipient of the message.
    pub fn to(&self) -> WorkerId {
        match self {
            PeerRequest::Execute(request) | PeerRequest::Submit(request) => request.to,
            PeerRequest::Settle { to, .. } | PeerRequest::Acknowledge { to, .. } => *to,
        }
    }
}

/// Serialised form of an [`Outcome`] between daemons; the body of an answer is sent after it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireOutcome {
    /// The request ran; the body of the answer is sent separately.
    Done {
        /// HTTP status of the answer.
        status: u16,
        /// Media type of the answer.
        content_type: String,
        /// Length of the body in bytes; a body of another length is rejected as truncated.
        body_bytes: u64,
    },
    /// The request did not run.
    NotRun {
        /// The reason.
        reason: NotRunReason,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// Proof that the request did not run.
        evidence: WireEvidence,
    },
    /// It is unknown whether the request ran.
    Unknown {
        /// The reason.
        reason: UnknownReason,
    },
}

impl WireOutcome {
    /// Splits an outcome into its header and the body of the answer.
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

    /// Combines a header with the body of its answer; `None` if the body has the wrong length.
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
                evidence: evidence.into_trusted(),
            })),
            WireOutcome::Unknown { reason } => Some(Outcome::Unknown(reason)),
        }
    }
}

/// The reply to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq)]
pub struct PeerReply {
    /// The replying daemon.
    pub from: WorkerId,
    /// The key of the request, unchanged.
    pub key: Option<CallKey>,
    /// How the call ended. The reply to an acknowledgement never says `NotRun`.
    pub outcome: Outcome,
    /// The part of the request's allowance that was not used.
    pub allowance_left: u32,
    /// The strictest admission level of the replying daemon and of all child calls.
    pub level: Priority,
    /// Time that backend servers spent on this call and its child calls, in milliseconds.
    pub service_ms: u64,
}

/// A request to hand to the local backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct LocalRun {
    /// The call's id, which the backend server passes as the parent of its child calls.
    pub call: CallId,
    /// The called service.
    pub service: ServiceName,
    /// The kind of request, which selects the rules of the sheet that apply.
    pub request: RequestName,
    /// The caller of the root request.
    pub caller: CallerName,
    /// The idempotency key, passed on for the backend server's own log.
    pub key: Option<CallKey>,
    /// Time left until the deadline, in milliseconds.
    pub time_left_ms: u64,
    /// The request body.
    pub body: Bytes,
}

/// How sending a message or receiving its reply failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// No connection was established, so no byte was sent.
    NoByteSent,
    /// The connection broke, or the reply was incomplete.
    Broken,
    /// The connection made no progress within its timeout.
    Silent,
}

/// An input of a [`super::Node`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller, or the local backend server, calls a service.
    CallArrived {
        /// A new id from [`super::Node::next_call`].
        call: CallId,
        /// The request.
        request: CallerRequest,
    },
    /// A caller queries the outcome of a key; a key that is not known is fenced.
    KeyQueried {
        /// A new id from [`super::Node::next_call`].
        call: CallId,
        /// The key.
        key: CallKey,
    },
    /// The waiter for the call has disconnected.
    CallAbandoned {
        /// The call.
        call: CallId,
    },
    /// A message from another daemon has arrived.
    PeerArrived {
        /// A new id from [`super::Node::next_call`].
        call: CallId,
        /// The message.
        message: PeerRequest,
    },
    /// The reply to an [`Action::SendPeer`].
    PeerReplied {
        /// The message that was replied to.
        exchange: ExchangeId,
        /// The reply.
        reply: PeerReply,
    },
    /// An [`Action::SendPeer`] failed.
    PeerFailed {
        /// The message that failed.
        exchange: ExchangeId,
        /// The kind of failure.
        failure: SendFailure,
    },
    /// The backend server answered an [`Action::RunLocal`].
    BackendReplied {
        /// The id under which the call was handed over.
        call: CallId,
        /// The complete answer.
        answer: Answer,
    },
    /// An [`Action::RunLocal`] failed.
    BackendFailed {
        /// The id under which the call was handed over.
        call: CallId,
        /// The kind of failure.
        failure: SendFailure,
    },
    /// The backend server answered an [`Action::RunLocal`] by refusing to run the request.
    BackendRefused {
        /// The id under which the call was handed over.
        call: CallId,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// This daemon has learned a sheet; one older than the sheet in force has no effect.
    SheetLearned(std::sync::Arc<Sheet>),
    /// All workers that this daemon knows now; replaces the previous list.
    WorkersLearned(Vec<Announcement>),
    /// The local backend server has announced its number of slots, or that it is leaving.
    LocalServer {
        /// Requests that it can run concurrently.
        slots: u32,
        /// Whether it accepts no new work.
        leaving: bool,
    },
    /// This daemon is draining: refuse new root requests and finish the rest.
    Draining,
    /// A timer is due, see [`super::Node::next_wakeup`].
    Tick,
}

/// An output of a [`super::Node`], to be carried out by its driver.
#[derive(Debug, Clone)]
pub enum Action {
    /// Answer the caller, or the local backend server.
    Answer {
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
        /// The key of the call; `None` if it has none.
        key: Option<CallKey>,
    },
    /// Reply to another daemon.
    ReplyPeer {
        /// The id under which the message arrived.
        call: CallId,
        /// The reply.
        reply: PeerReply,
    },
    /// Send a message to another daemon and report the reply or the failure.
    SendPeer {
        /// Identifies the message in the reported event.
        exchange: ExchangeId,
        /// The message.
        message: PeerRequest,
        /// Use a new connection rather than a pooled one.
        fresh_connection: bool,
        /// Maximum wait for the reply, in milliseconds.
        timeout_ms: u64,
    },
    /// The reply is not needed any more: close its connection.
    CancelPeer {
        /// The message.
        exchange: ExchangeId,
    },
    /// Hand a request to the backend server and report the answer or the failure.
    RunLocal(LocalRun),
    /// Ask the backend server to stop working on a call.
    CancelLocal {
        /// The id under which the call was handed over.
        call: CallId,
    },
    /// Fetch a sheet: a call was classified by a newer one than that in force here.
    FetchSheet {
        /// The version.
        version: SheetVersion,
    },
    /// Learn all workers of a service that is called through this daemon.
    DiscoverWorkers {
        /// The service.
        service: ServiceName,
    },
    /// Log a note for operators.
    Note(Note),
}

/// A change or an incident that is logged for operators.
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
    /// A request was refused because its caller's lane is full; `resource` tells what the caller's
    /// runs wait for.
    LaneFull {
        /// The caller whose lane it is.
        lane: CallerName,
        /// The service that most of the caller's runs wait for in child calls, or the requested
        /// service if they wait for none.
        resource: ServiceName,
    },
    /// A request would have violated an invariant and was refused.
    Breach {
        /// Name of the invariant, as logged.
        invariant: &'static str,
        /// The key of the request, if it has one.
        key: Option<CallKey>,
    },
}
