//! What the operators promise and allow for a kind of request.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// How much a request matters under overload; the least important is shed first.
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
    /// Course browsing, module reading: shed first.
    Sheddable = 0,
    /// May wait or fail without harm.
    Low = 1,
    /// The ordinary case.
    Normal = 2,
    /// A person is waiting at a deadline.
    High = 3,
    /// Redemptions, transfers, enrolments, certificates: shed last.
    Critical = 4,
}

/// What holds for one (caller, service, request) after the sheet's rules are applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// How much the request matters.
    pub importance: Importance,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// The longest a root request may take, in milliseconds.
    pub deadline_ms: u64,
    /// Attempts beyond the first, over the whole tree of calls of a root request.
    pub retry_allowance: u32,
}

impl Contract {
    /// The built-in rules that hold while no sheet is known: nothing may run
    /// twice, nothing is retried, all requests are equal.
    pub const SAFE: Contract = Contract {
        importance: Importance::Normal,
        idempotent: false,
        deadline_ms: 10_000,
        retry_allowance: 0,
    };
}
