//! The context that travels with a request through the whole chain of calls.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::contract::Importance;
use super::names::CallerName;

/// Version of a planning sheet: one more than that of the sheet it builds on; zero is no sheet.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SheetVersion(pub u64);

impl SheetVersion {
    /// The version that a change on top of this one gets.
    pub fn next(self) -> SheetVersion {
        SheetVersion(self.0 + 1)
    }
}

impl fmt::Display for SheetVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies a root request: one that came from outside the call graph.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RootId(pub u64);

/// What one root request carries through every call made on its behalf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallContext {
    /// The root request.
    pub root: RootId,
    /// The caller on whose behalf the root request is made.
    pub caller: CallerName,
    /// Importance of the root request, the same in every layer.
    pub importance: Importance,
    /// Position inside its importance, drawn once at the entry; lower is shed first.
    pub rank: u16,
    /// Milliseconds left until the root request's deadline.
    pub time_left_ms: u64,
    /// Extra attempts that this call and all below it may still make.
    pub allowance: u32,
    /// Layers above this call.
    pub depth: u8,
    /// Service time already spent on the root request, in milliseconds.
    pub sunk_ms: u64,
    /// The sheet by which the entry daemon classified the root request.
    pub sheet_version: SheetVersion,
}
