//! Reads planning sheets from CSV exports of a spreadsheet.
//!
//! [`parse`] reads and checks a whole export and reports all issues at once;
//! [`diff::describe`] describes the difference between two sheets as text.

mod cells;
mod conflicts;
pub mod diff;
pub mod issue;
mod rows;

pub use issue::{Severity, SheetIssue};

use crate::model::SheetContent;

/// Result of [`parse`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ParsedSheet {
    /// Content of the sheet; incomplete if there are errors.
    pub content: SheetContent,
    /// Errors and warnings, sorted by row.
    pub issues: Vec<SheetIssue>,
}

impl ParsedSheet {
    /// Whether any issue is an error.
    pub fn has_errors(&self) -> bool {
        self.issues
            .iter()
            .any(|issue| issue.severity == Severity::Error)
    }
}

/// Parses and checks an export.
pub fn parse(bytes: &[u8]) -> ParsedSheet {
    let mut issues = Vec::new();
    let rows = rows::read(bytes, &mut issues);
    let mut rules = Vec::new();
    let mut shares = Vec::new();
    for row in &rows {
        cells::parse(row, &mut rules, &mut shares, &mut issues);
    }
    conflicts::check(&rules, &shares, &mut issues);
    if rules.is_empty() && issues.is_empty() {
        issues.push(SheetIssue::error(
            1,
            "kind",
            "",
            "the sheet has no rule",
            "add at least one row of kind `rule`",
        ));
    }
    issues.sort_by_key(|issue| (issue.row, issue.other_row));
    ParsedSheet {
        content: SheetContent::canonical(
            rules.into_iter().map(|located| located.value).collect(),
            shares.into_iter().map(|located| located.value).collect(),
        ),
        issues,
    }
}
