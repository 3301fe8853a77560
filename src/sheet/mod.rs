//! Planning sheets as operators keep them: CSV exports of a spreadsheet.
//!
//! [`parse`] reads and checks an export as a whole and reports every finding at
//! once; [`words::describe`] tells the difference between two sheets in words.

mod cells;
mod conflicts;
pub mod issue;
mod rows;
pub mod words;

pub use issue::{Severity, SheetIssue};

use crate::model::SheetContent;

/// The result of checking an export.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Checked {
    /// The sheet in canonical form; complete only if there is no error.
    pub content: SheetContent,
    /// Errors and warnings, by row.
    pub issues: Vec<SheetIssue>,
}

impl Checked {
    /// Whether there is an error among the findings.
    pub fn has_errors(&self) -> bool {
        self.issues
            .iter()
            .any(|issue| issue.severity == Severity::Error)
    }
}

/// Reads and checks an export.
pub fn parse(bytes: &[u8]) -> Checked {
    let mut issues = Vec::new();
    let rows = rows::read(bytes, &mut issues);
    let mut rules = Vec::new();
    let mut shares = Vec::new();
    for row in &rows {
        cells::read(row, &mut rules, &mut shares, &mut issues);
    }
    conflicts::find(&rules, &shares, &mut issues);
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
    Checked {
        content: SheetContent::canonical(
            rules.into_iter().map(|numbered| numbered.value).collect(),
            shares.into_iter().map(|numbered| numbered.value).collect(),
        ),
        issues,
    }
}
