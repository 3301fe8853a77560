//! Outcomes of a call: `done`, `not-run` or `unknown`.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::decide::evidence::NotRunEvidence;

/// A complete answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body; empty if the backend server named none.
    pub content_type: String,
    /// The complete body.
    pub body: Bytes,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The backend server ran the request and returned this answer.
    Done(Answer),
    /// The request was not run, and no delayed duplicate of it will run.
    NotRun(NotRun),
    /// Whether the request ran cannot be determined.
    Unknown(UnknownReason),
}

/// A guarantee that a request was not run, with the evidence for it.
#[derive(Debug, Clone, PartialEq)]
pub struct NotRun {
    /// Why the request was refused.
    pub reason: NotRunReason,
    /// How long the caller should wait before a retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Proof that the request was not run.
    pub evidence: NotRunEvidence,
}

/// Why a request was not run.
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
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NotRunReason {
    /// The entry daemon shed the request because of its priority.
    ShedAtEntry,
    /// The admission control of the backend server's daemon refused the request.
    Overloaded,
    /// The request reached the maximum waiting time in the admission queue.
    QueueTimeout,
    /// The time left until the deadline was too short for the request to finish.
    DeadlineTooShort,
    /// The backend server is leaving and accepts no new requests.
    Leaving,
    /// No backend server of the service is known or reachable.
    NoWorker,
    /// The table of open keys is full.
    KeyTableFull,
    /// The key was fenced while its outcome was settled after the loss of its home.
    Fenced,
    /// The caller disconnected before the request was handed to the backend server.
    Cancelled,
    /// The caller's share of the backend server's slots is in use.
    ShareExhausted,
    /// A non-idempotent request had no key.
    KeyRequired,
    /// An idempotent request made a non-idempotent child call.
    IdempotentParent,
    /// The key was used before with a different request.
    KeyReused,
    /// The key names another incarnation of the daemon that received it.
    WrongIncarnation,
    /// The backend server's own daemon could not reach it.
    BackendUnreachable,
    /// Backend servers have crashed while the same request ran on them.
    HeldBack,
    /// The daemon could not obtain the sheet by which the request was classified.
    SheetBehind,
    /// Running the request would have violated an internal invariant.
    InvariantBreach,
}

/// Why it cannot be determined whether a request ran.
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
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum UnknownReason {
    /// The exchange with the backend server failed after the request was handed over.
    BackendBroke,
    /// The deadline passed while the request was running.
    DeadlinePassed,
    /// A new incarnation has replaced the executor or home.
    IncarnationGone,
    /// The executor could not be reached to query the outcome.
    ExecutorSilent,
    /// The caller disconnected while the request was running.
    Cancelled,
    /// The caller has acknowledged the answer, so its record was dropped.
    KeyAcknowledged,
    /// The tables are too full to record even a refusal.
    TableExhausted,
}
