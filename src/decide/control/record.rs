//! Records on the platform's log service.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::model::sheet::{CallerShare, Rule};
use crate::model::{Announcement, AuthorName, SheetVersion};

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
}

/// An operator's publication of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publication {
    /// Chosen by the publisher, so that it can find out whether a lost answer took effect.
    pub id: String,
    /// The version that it builds on.
    pub base: SheetVersion,
    /// Who publishes.
    pub author: AuthorName,
    /// When, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// The rules.
    pub rules: Vec<Rule>,
    /// Shares of callers.
    pub shares: Vec<CallerShare>,
}

/// What stands in a record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogRecord {
    /// A sheet.
    Publication(Publication),
    /// A backend server.
    Member(Announcement),
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
