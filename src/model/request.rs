//! The context that a request carries through its whole call tree.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::contract::Importance;
use super::names::CallerName;

/// Version of a planning sheet: one more than that of the sheet it is based on; a new history
/// starts at its time of publication in seconds. Zero is the built-in sheet, before the first
/// publication.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SheetVersion(pub u64);

impl SheetVersion {
    /// Returns the version of a change based on this one.
    pub fn next(self) -> SheetVersion {
        SheetVersion(self.0 + 1)
    }
}

impl fmt::Display for SheetVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies a root request: one that comes from a caller, not from a backend server while it
/// runs another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RootId(pub u64);

/// Context of a root request, passed on to every call made on its behalf.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallContext {
    /// Identifies the root request.
    pub root: RootId,
    /// The caller on whose behalf the root request is made.
    pub caller: CallerName,
    /// Importance of the root request; child calls inherit it unchanged.
    pub importance: Importance,
    /// Rank among requests of the same importance, drawn at random once by the entry daemon;
    /// lower ranks are shed first.
    pub rank: u16,
    /// Time left until the root request's deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Maximum number of retries left for this call and its descendants.
    pub allowance: u32,
    /// Number of calls above this one in the call tree; zero for the root request.
    pub depth: u8,
    /// Service time already spent on the root request, in milliseconds.
    pub sunk_ms: u64,
    /// Version of the sheet by which the entry daemon classified the root request.
    pub sheet_version: SheetVersion,
}
