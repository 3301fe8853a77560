//! Records on the platform's log service.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use super::audit::AuditBatch;
use crate::model::{
    Announcement, AuthorName, Sheet, SheetChange, SheetContent, SheetHash, SheetVersion,
};

/// A stream of the log.
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
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Stream {
    /// Publications of sheets.
    Sheets = 0,
    /// Announcements of backend servers.
    Members = 1,
    /// The audit trail.
    Audit = 2,
}

/// A point in the history of sheets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetBase {
    /// The version.
    pub version: SheetVersion,
    /// The hash over all publications up to this one; zero before the first.
    pub chain: SheetHash,
}

/// An operator's publication of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// Chosen by the publisher, so that it can find out whether a lost answer took effect.
    pub id: String,
    /// The sheet that it builds on; none starts a new history, whatever was in force.
    pub base: Option<SheetBase>,
    /// Who publishes.
    pub author: AuthorName,
    /// When, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// What differs from the base; from an empty sheet if there is no base.
    pub change: SheetChange,
}

impl Publication {
    /// The first publication of a history.
    pub fn first(id: &str, author: &str, published_ms: u64, content: &SheetContent) -> Publication {
        Publication {
            id: id.to_owned(),
            base: Some(SheetBase::default()),
            author: author.into(),
            published_ms,
            change: SheetChange::between(&SheetContent::default(), content),
        }
    }
}

/// A publication that was accepted, with its place in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedChange {
    /// The offset.
    pub offset: u64,
    /// The publication.
    pub publication: Publication,
}

/// What is kept of an accepted publication after its change has been folded in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The publication's id.
    pub id: String,
    /// The version that it made.
    pub version: SheetVersion,
    /// The chain hash before it.
    pub parent: SheetHash,
    /// The chain hash after it.
    pub chain: SheetHash,
    /// The hash of the sheet's content after it.
    pub content: SheetHash,
    /// Who published.
    pub author: AuthorName,
    /// When, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Its offset, if the record itself was seen here; not part of the state.
    #[serde(skip)]
    pub offset: Option<u64>,
}

/// The whole result of the fold: what a checkpoint holds and what peers exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetState {
    /// The sheet in force.
    pub sheet: Sheet,
    /// The hash over all publications up to this one.
    pub chain: SheetHash,
    /// All records below this offset are folded in.
    pub through: u64,
    /// The latest accepted publications, oldest first.
    pub recent: Vec<Accepted>,
}

/// What stands in a record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogRecord {
    /// A change of the sheet.
    Publication(Publication),
    /// The folded state, so that older records may expire.
    Checkpoint(Box<SheetState>),
    /// A backend server.
    Member(Announcement),
    /// Changes and refusals that one daemon has seen.
    Audit(AuditBatch),
}

/// A record with its place in the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// The offset.
    pub offset: u64,
    /// The record.
    pub record: LogRecord,
}

/// What one read of a stream gives.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogBatch {
    /// The oldest offset that is still kept.
    pub first_offset: u64,
    /// The offset to read from next.
    pub next_offset: u64,
    /// The records, in order.
    pub entries: Vec<LogEntry>,
}
