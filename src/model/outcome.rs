//! How a call ends: `done`, `not-run` or `unknown`.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::decide::evidence::NotRunEvidence;

/// A whole answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status that the backend server gave.
    pub status: u16,
    /// Media type of the body, empty if none was given.
    pub content_type: String,
    /// The body, whole.
    pub body: Bytes,
}

/// How a call ends.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The backend server ran the request and this is its whole answer.
    Done(Answer),
    /// The request was not run, and no late copy of it will be.
    NotRun(NotRun),
    /// It cannot be told whether the request ran.
    Unknown(UnknownReason),
}

/// A promise that a request was not run, with the evidence that allows it.
#[derive(Debug, Clone, PartialEq)]
pub struct NotRun {
    /// Why the request was refused.
    pub reason: NotRunReason,
    /// When the caller should come back, in milliseconds.
    pub retry_after_ms: u64,
    /// What proves that the request was not run.
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
    /// Shed by importance at the entry daemon.
    ShedAtEntry,
    /// Refused by the admission of the backend server's daemon.
    Overloaded,
    /// Waited in the admission queue for the longest that is allowed.
    QueueTimeout,
    /// The time left was too short to finish.
    DeadlineTooShort,
    /// The backend server is leaving.
    Leaving,
    /// No backend server of the service is known or reachable.
    NoWorker,
    /// The table of open keys is full.
    KeyTableFull,
    /// The key was fenced while the loss of its home was being settled.
    Fenced,
    /// The caller went away before the request was handed over.
    Cancelled,
    /// The caller's share of the backend server's slots is used up.
    ShareExhausted,
    /// A non-idempotent request came without a key.
    KeyRequired,
    /// A non-idempotent call was made beneath an idempotent one.
    IdempotentParent,
    /// The key came with another request than before.
    KeyReused,
    /// The key names another process start than the one that was asked.
    WrongIncarnation,
    /// The backend server could not be reached by its own daemon.
    BackendUnreachable,
    /// The daemon could not learn the sheet by which the request was classified.
    SheetBehind,
    /// An invariant of the program would have been broken.
    InvariantBreach,
}

/// Why it cannot be told whether a request ran.
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
    /// The backend server broke off after the request was handed over.
    BackendBroke,
    /// The deadline passed while the request was running.
    DeadlinePassed,
    /// The executor or home has been replaced by another process start.
    IncarnationGone,
    /// The executor could not be reached to resolve the request.
    ExecutorSilent,
    /// The caller went away while the request was running.
    Cancelled,
    /// The caller has acknowledged the answer, so that its record was dropped.
    KeyAcknowledged,
    /// The tables are so full that not even a refusal can be kept.
    TableExhausted,
}
