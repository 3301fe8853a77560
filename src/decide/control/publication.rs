//! Requests to publish a sheet, and their outcomes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::model::{AuthorName, SheetContent, SheetHash, SheetVersion, ZoneName};

/// An operator's request to publish a sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishRequest {
    /// Idempotency key chosen by the publisher; a repeated request has the same one.
    pub id: String,
    /// The version that the operator's sheet is based on; `None` starts a new history.
    pub base: Option<SheetVersion>,
    /// The chain hash of that version, if the operator knows it.
    pub base_chain: Option<SheetHash>,
    /// The operator who publishes.
    pub author: AuthorName,
    /// Time of publication, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// The whole sheet to publish.
    pub content: SheetContent,
}

/// Outcome of a publication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "status")]
pub enum PublishStatus {
    /// Nothing was published.
    Refused {
        /// Cause and remedy, for the operator.
        reason: String,
    },
    /// Another publication on the same base came first; nothing was published.
    Conflict {
        /// The version that the other publication got.
        version: SheetVersion,
        /// Author of the other publication.
        author: AuthorName,
        /// Time of the other publication, in milliseconds since the Unix epoch.
        published_ms: u64,
    },
    /// It is not known yet whether the publication took effect.
    InDoubt {
        /// Cause and remedy, for the operator.
        reason: String,
    },
    /// The sheet is in force here and in the confirmed zones, but other zones did not confirm it or
    /// not all zones are known.
    Accepted(PublishReceipt),
    /// The sheet is in force in all zones.
    InForce(PublishReceipt),
}

impl fmt::Display for PublishStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PublishStatus::Refused { reason } => write!(f, "refused: {reason}"),
            PublishStatus::Conflict {
                version, author, ..
            } => write!(
                f,
                "conflict: version {version} by {author} came first; look at the difference \
                 from it with --dry-run and publish on top of it"
            ),
            PublishStatus::InDoubt { reason } => write!(f, "in doubt: {reason}"),
            PublishStatus::Accepted(receipt) => write!(f, "{}", describe_receipt(receipt)),
            PublishStatus::InForce(receipt) => write!(f, "{}", describe_receipt(receipt)),
        }
    }
}

/// Where an accepted publication is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishReceipt {
    /// The version assigned to the sheet.
    pub version: SheetVersion,
    /// Log offset of the record; absent if this daemon has not seen the record itself.
    pub offset: Option<u64>,
    /// Zones in which at least one daemon has confirmed the sheet.
    pub zones_confirmed: Vec<ZoneName>,
    /// Known zones in which no daemon has confirmed the sheet.
    pub zones_missing: Vec<ZoneName>,
    /// Whether all zones are known; false while the publishing daemon has only just started.
    pub zones_known: bool,
    /// Time since the request, in milliseconds.
    pub elapsed_ms: u64,
}

/// The outcome of one publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishReport {
    /// The id of the request.
    pub id: String,
    /// Hash of the requested sheet.
    pub content: SheetHash,
    /// The outcome.
    pub status: PublishStatus,
}

/// Formats a receipt for operators and the audit trail.
pub(super) fn describe_receipt(receipt: &PublishReceipt) -> String {
    let confirmed = receipt.zones_confirmed.len();
    if !receipt.zones_known {
        return format!(
            "accepted as version {} and held in {confirmed} zones, but the daemon that published \
             has not found all zones yet",
            receipt.version
        );
    }
    if receipt.zones_missing.is_empty() {
        return format!(
            "in force in {confirmed} zones after {} ms",
            receipt.elapsed_ms
        );
    }
    let missing: Vec<&str> = receipt.zones_missing.iter().map(ZoneName::as_str).collect();
    format!(
        "accepted as version {} and held in {confirmed} zones, not confirmed by {}",
        receipt.version,
        missing.join(", ")
    )
}
