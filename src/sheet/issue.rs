//! Issues found by the check of a sheet.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::Display;

/// Severity of an issue, which determines whether the sheet can be published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// The sheet cannot be published.
    Error,
    /// The sheet can be published, but may contain a mistake.
    Warning,
}

/// An issue in a sheet, with its location and a remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetIssue {
    /// Whether the issue prevents publication.
    pub severity: Severity,
    /// Line in the file, starting at 1 for the header.
    pub row: u64,
    /// Line of the other row, if the issue concerns two rows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub other_row: Option<u64>,
    /// Name of the column; empty if the issue concerns no single column.
    pub column: String,
    /// Content of the cell, or the service, request and caller of a repeated rule.
    pub value: String,
    /// Description of the problem.
    pub message: String,
    /// How to solve the problem.
    pub remedy: String,
}

impl SheetIssue {
    /// Creates an error in one cell.
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

    /// Turns the issue into a warning.
    pub fn warning(self) -> SheetIssue {
        SheetIssue {
            severity: Severity::Warning,
            ..self
        }
    }

    /// Adds the line of another row that the issue concerns.
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
