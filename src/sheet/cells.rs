//! Parses the cells of a row into a rule or a share.

use super::SheetIssue;
use super::rows::{Column, Row};
use crate::model::{CallerShare, Contract, Importance, Rule};

/// Maximum deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Maximum number of retries for one root request.
const MAX_RETRY_ALLOWANCE: u64 = 100;
/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Matches any service, request or caller, as an empty cell does.
const ANY: &str = "*";

/// A value and the row that it was read from.
#[derive(Debug)]
pub(super) struct Numbered<T> {
    pub row: u64,
    pub value: T,
}

/// Parses a row and reports all its issues, not only the first.
pub(super) fn read(
    row: &Row,
    rules: &mut Vec<Numbered<Rule>>,
    shares: &mut Vec<Numbered<CallerShare>>,
    issues: &mut Vec<SheetIssue>,
) {
    let mut cells = Cells { row, issues };
    match row.cell(Column::Kind).to_ascii_lowercase().as_str() {
        "rule" => {
            if let Some(value) = cells.rule() {
                rules.push(Numbered {
                    row: row.line,
                    value,
                });
            }
        }
        "share" => {
            if let Some(value) = cells.share() {
                shares.push(Numbered {
                    row: row.line,
                    value,
                });
            }
        }
        "" => cells.error(
            Column::Kind,
            "the kind is missing",
            "write `rule` or `share`",
        ),
        _ => cells.error(
            Column::Kind,
            "there is no such kind",
            "write `rule` or `share`",
        ),
    }
}

struct Cells<'a> {
    row: &'a Row,
    issues: &'a mut Vec<SheetIssue>,
}

impl<'a> Cells<'a> {
    fn rule(&mut self) -> Option<Rule> {
        self.must_be_empty(&[Column::SharePercent], "rule");
        let service = self.name(Column::Service);
        let request = self.name(Column::Request);
        let caller = self.name(Column::Caller);
        let importance = self.importance();
        let idempotent = self.yes_or_no(Column::Idempotent);
        let deadline_ms = self.number(Column::DeadlineMs, 1, MAX_DEADLINE_MS);
        let allowance = self.number(Column::RetryAllowance, 0, MAX_RETRY_ALLOWANCE);
        Some(Rule {
            service: service?.map(Into::into),
            request: request?.map(Into::into),
            caller: caller?.map(Into::into),
            contract: Contract {
                importance: importance?,
                idempotent: idempotent?,
                deadline_ms: deadline_ms?,
                retry_allowance: allowance? as u32,
            },
        })
    }

    fn share(&mut self) -> Option<CallerShare> {
        let of_rules = [
            Column::Service,
            Column::Request,
            Column::Importance,
            Column::Idempotent,
            Column::DeadlineMs,
            Column::RetryAllowance,
        ];
        self.must_be_empty(&of_rules, "share");
        let caller = self.name(Column::Caller);
        let percent = self.percent();
        if caller == Some(None) {
            let message = "a share is for one caller";
            self.error(Column::Caller, message, "name the caller");
            return None;
        }
        Some(CallerShare {
            caller: caller??.into(),
            percent: percent?,
        })
    }

    /// Parses a name; `Some(None)` matches any name, `None` means that an error was reported.
    fn name(&mut self, column: Column) -> Option<Option<&'a str>> {
        let row = self.row;
        let value = row.cell(column);
        if value.is_empty() || value == ANY {
            return Some(None);
        }
        if value.len() > MAX_NAME_BYTES {
            let message = format!("the name is longer than {MAX_NAME_BYTES} bytes");
            self.error(column, &message, "shorten it");
            return None;
        }
        if value.chars().any(char::is_control) {
            let message = "the name contains a line break or another control character";
            self.error(column, message, "remove it from the cell");
            return None;
        }
        Some(Some(value))
    }

    fn importance(&mut self) -> Option<Importance> {
        let value = self.row.cell(Column::Importance).to_ascii_lowercase();
        let importance = value.parse().ok();
        if importance.is_none() {
            let message = self.missing_or("there is no such importance", &value);
            let remedy = "write `sheddable`, `low`, `normal`, `high` or `critical`";
            self.error(Column::Importance, message, remedy);
        }
        importance
    }

    fn yes_or_no(&mut self, column: Column) -> Option<bool> {
        let value = self.row.cell(column).to_ascii_lowercase();
        match value.as_str() {
            "yes" | "true" => return Some(true),
            "no" | "false" => return Some(false),
            _ => {}
        }
        let message = self.missing_or("this is neither yes nor no", &value);
        self.error(column, message, "write `yes` or `no`");
        None
    }

    fn percent(&mut self) -> Option<u32> {
        let value = self.row.cell(Column::SharePercent);
        let digits = value.strip_suffix('%').unwrap_or(value).trim_end();
        if digits.contains([',', '.']) {
            let message = "the share has a decimal comma or point";
            let remedy = "round it to whole percent, such as `12` for `12,5`";
            self.error(Column::SharePercent, message, remedy);
            return None;
        }
        self.bounded(Column::SharePercent, digits, 1, 100)
            .map(|percent| percent as u32)
    }

    fn number(&mut self, column: Column, low: u64, high: u64) -> Option<u64> {
        self.bounded(column, self.row.cell(column), low, high)
    }

    fn bounded(&mut self, column: Column, digits: &str, low: u64, high: u64) -> Option<u64> {
        let plain = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
        let number = plain.then(|| digits.parse::<u64>().unwrap_or(u64::MAX));
        if let Some(number) = number.filter(|number| (low..=high).contains(number)) {
            return Some(number);
        }
        let message = match number {
            Some(_) => "the number is out of bounds",
            None => self.missing_or("this is not a whole number", digits),
        };
        let remedy = format!("write a whole number from {low} to {high}, digits only");
        self.error(column, message, &remedy);
        None
    }

    fn must_be_empty(&mut self, columns: &[Column], kind: &str) {
        for column in columns {
            if !self.row.cell(*column).is_empty() {
                let message = format!("the column does not belong to a row of kind `{kind}`");
                self.error(*column, &message, "empty the cell");
            }
        }
    }

    fn missing_or(&self, message: &'static str, value: &str) -> &'static str {
        if value.is_empty() {
            "the value is missing"
        } else {
            message
        }
    }

    fn error(&mut self, column: Column, message: &str, remedy: &str) {
        let (row, value) = (self.row.line, self.row.cell(column));
        let issue = SheetIssue::error(row, column.into(), value, message, remedy);
        self.issues.push(issue);
    }
}
