//! Findings of the check of a sheet.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::Display;

/// Whether a finding prevents publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// The sheet cannot be published.
    Error,
    /// The sheet can be published, but may not mean what was wanted.
    Warning,
}

/// One finding, with its place and what to do about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetIssue {
    /// Error or warning.
    pub severity: Severity,
    /// The line in the file; the header is line 1.
    pub row: u64,
    /// The other row, where two rows disagree.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub other_row: Option<u64>,
    /// Name of the column.
    pub column: String,
    /// What stands in the cell.
    pub value: String,
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    pub remedy: String,
}

impl SheetIssue {
    /// An error in one cell.
    pub fn error(row: u64, column: &str, value: &str, message: &str, remedy: &str) -> SheetIssue {
        SheetIssue {
            severity: Severity::Error,
            row,
            other_row: None,
            column: column.to_owned(),
            value: value.to_owned(),
            message: message.to_owned(),
            remedy: remedy.to_owned(),
        }
    }

    /// The same finding as a warning.
    pub fn warning(self) -> SheetIssue {
        SheetIssue {
            severity: Severity::Warning,
            ..self
        }
    }

    /// The same finding about two rows.
    pub fn with_other_row(self, other_row: u64) -> SheetIssue {
        SheetIssue {
            other_row: Some(other_row),
            ..self
        }
    }
}

impl fmt::Display for SheetIssue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.other_row {
            Some(other) => write!(f, "{}: rows {other} and {}", self.severity, self.row)?,
            None => write!(f, "{}: row {}", self.severity, self.row)?,
        }
        let (column, value) = (&self.column, &self.value);
        let (message, remedy) = (&self.message, &self.remedy);
        write!(f, ", column {column}, value `{value}`: {message}; {remedy}")
    }
}
