//! What operators ask of a publication, and how it can end.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::model::{AuthorName, SheetContent, SheetHash, SheetVersion, ZoneName};

/// An operator's request to publish a sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishRequest {
    /// Chosen by the publisher; the same for each repetition.
    pub id: String,
    /// The version that the operator has seen; none starts a new history.
    pub base: Option<SheetVersion>,
    /// The chain hash that the operator has seen, if it is known.
    pub base_chain: Option<SheetHash>,
    /// Who publishes.
    pub author: AuthorName,
    /// When, in milliseconds since the Unix epoch.
    pub published_ms: u64,
    /// The sheet.
    pub content: SheetContent,
}

/// How a publication stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "status")]
pub enum PublishStatus {
    /// Nothing was published.
    Refused {
        /// Why, and what to do about it.
        reason: String,
    },
    /// Another publication on the same base came first; nothing was published.
    Conflict {
        /// The version of the winner.
        version: SheetVersion,
        /// Who published it.
        author: AuthorName,
        /// When, in milliseconds since the Unix epoch.
        published_ms: u64,
    },
    /// Whether the publication took effect cannot be told yet.
    InDoubt {
        /// What to do about it.
        reason: String,
    },
    /// The sheet is in force here and in all zones that could be reached, but not in all.
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
            PublishStatus::Accepted(receipt) => write!(f, "{}", receipt_words(receipt)),
            PublishStatus::InForce(receipt) => write!(f, "{}", receipt_words(receipt)),
        }
    }
}

/// Where a publication is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishReceipt {
    /// The version that the sheet has got.
    pub version: SheetVersion,
    /// The offset of the record, if it was read by this daemon.
    pub offset: Option<u64>,
    /// Zones of which a daemon holds the sheet.
    pub zones_confirmed: Vec<ZoneName>,
    /// Zones of which no daemon could be reached.
    pub zones_missing: Vec<ZoneName>,
    /// Whether these are all zones; not so while the daemon that published has just started.
    pub zones_known: bool,
    /// Time from the request, in milliseconds.
    pub elapsed_ms: u64,
}

/// A publication with its id, as it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishReport {
    /// The publisher's id.
    pub id: String,
    /// The hash of the sheet that was to be published.
    pub content: SheetHash,
    /// How it ended.
    pub status: PublishStatus,
}

/// A receipt in words.
pub(super) fn receipt_words(receipt: &PublishReceipt) -> String {
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
