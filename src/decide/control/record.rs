//! Records stored on the platform's log service.

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
    /// Announcements of backend servers, for discovery.
    Members = 1,
    /// The audit trail.
    Audit = 2,
}

/// Identifies a state in the history of sheets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetBase {
    /// Sheet version; zero before the first publication.
    pub version: SheetVersion,
    /// Chain hash over all publications up to this version; zero before the first.
    pub chain: SheetHash,
}

/// An operator's publication of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// Idempotency key chosen by the publisher, by which it finds out whether a publication whose
    /// answer was lost took effect.
    pub id: String,
    /// The state that it is based on; `None` starts a new history, whatever is in force.
    pub base: Option<SheetBase>,
    /// The operator who publishes.
    pub author: AuthorName,
    /// Time of publication, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Difference from the base, or from an empty sheet if there is no base.
    pub change: SheetChange,
}

impl Publication {
    /// Builds the first publication on an empty log, with the default base.
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

/// An accepted publication with its log offset.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedChange {
    /// Offset of the publication's record.
    pub offset: u64,
    /// The publication as it stands in the record.
    pub publication: Publication,
}

/// Summary of an accepted publication, kept after its change has been folded in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Id of the publication.
    pub id: String,
    /// The version assigned to it.
    pub version: SheetVersion,
    /// Chain hash before the publication; zero for a new history.
    pub parent: SheetHash,
    /// Chain hash after the publication.
    pub chain: SheetHash,
    /// Hash of the sheet's content after the publication.
    pub content: SheetHash,
    /// The operator who published.
    pub author: AuthorName,
    /// Time of publication, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// Log offset, if this daemon has seen the record itself; not part of the exchanged state.
    #[serde(skip)]
    pub offset: Option<u64>,
}

/// The complete state of a fold, as stored in checkpoints and exchanged between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetState {
    /// The sheet in force.
    pub sheet: Sheet,
    /// Chain hash over all publications up to this state.
    pub chain: SheetHash,
    /// Log offset below which all records are folded in.
    pub through: u64,
    /// The latest accepted publications, oldest first.
    pub recent: Vec<Accepted>,
}

/// Content of a log record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogRecord {
    /// A change of the sheet, in the stream of sheets.
    Publication(Publication),
    /// The folded state, so that older records may expire; in the stream of sheets.
    Checkpoint(Box<SheetState>),
    /// The announcement of a backend server, in the stream of members.
    Member(Announcement),
    /// Audit entries of one daemon, in the stream of the audit trail.
    Audit(AuditBatch),
}

/// A record with its offset in the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// Offset in the stream.
    pub offset: u64,
    /// The record at that offset.
    pub record: LogRecord,
}

/// Result of one read of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogBatch {
    /// The oldest offset that the log still retains.
    pub first_offset: u64,
    /// The offset to read from next.
    pub next_offset: u64,
    /// The records, in order of their offsets.
    pub entries: Vec<LogEntry>,
}
