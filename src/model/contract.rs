//! Contracts: what operators promise and allow for a kind of request.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// How important a request is under overload; the least important is shed first.
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
    EnumCount,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Importance {
    /// Shed first, such as browsing courses or reading modules.
    Sheddable = 0,
    /// Can wait or fail without harm.
    Low = 1,
    /// Ordinary requests.
    Normal = 2,
    /// A person waits for the answer and has a deadline.
    High = 3,
    /// Shed last, such as redemptions, transfers, enrolments and certificates.
    Critical = 4,
}

/// What applies to one caller, service and kind of request, by the rules of the sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Importance under overload.
    pub importance: Importance,
    /// Whether the request may run more than once without harm.
    pub idempotent: bool,
    /// Maximum duration of a root request, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum number of retries in the whole call tree of a root request.
    pub retry_allowance: u32,
}

impl Contract {
    /// The contract of requests that no rule matches, and of all requests while no sheet is
    /// known: non-idempotent, never retried, and of normal importance.
    pub const FALLBACK: Contract = Contract {
        importance: Importance::Normal,
        idempotent: false,
        deadline_ms: 10_000,
        retry_allowance: 0,
    };
}
