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
pub(super) struct Located<T> {
    pub row: u64,
    pub value: T,
}

/// Parses a row and reports all its issues, not only the first.
pub(super) fn parse(
    row: &Row,
    rules: &mut Vec<Located<Rule>>,
    shares: &mut Vec<Located<CallerShare>>,
    issues: &mut Vec<SheetIssue>,
) {
    let mut parser = RowParser { row, issues };
    match row.cell(Column::Kind).to_ascii_lowercase().as_str() {
        "rule" => {
            if let Some(value) = parser.parse_rule() {
                rules.push(Located {
                    row: row.line,
                    value,
                });
            }
        }
        "share" => {
            if let Some(value) = parser.parse_share() {
                shares.push(Located {
                    row: row.line,
                    value,
                });
            }
        }
        "" => parser.error(
            Column::Kind,
            "the kind is missing",
            "write `rule` or `share`",
        ),
        _ => parser.error(
            Column::Kind,
            "there is no such kind",
            "write `rule` or `share`",
        ),
    }
}

struct RowParser<'a> {
    row: &'a Row,
    issues: &'a mut Vec<SheetIssue>,
}

impl<'a> RowParser<'a> {
    fn parse_rule(&mut self) -> Option<Rule> {
        self.require_empty(&[Column::SharePercent], "rule");
        let service = self.parse_name(Column::Service);
        let request = self.parse_name(Column::Request);
        let caller = self.parse_name(Column::Caller);
        let importance = self.parse_importance();
        let idempotent = self.parse_bool(Column::Idempotent);
        let deadline_ms = self.parse_number(Column::DeadlineMs, 1, MAX_DEADLINE_MS);
        let allowance = self.parse_number(Column::RetryAllowance, 0, MAX_RETRY_ALLOWANCE);
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

    fn parse_share(&mut self) -> Option<CallerShare> {
        let rule_columns = [
            Column::Service,
            Column::Request,
            Column::Importance,
            Column::Idempotent,
            Column::DeadlineMs,
            Column::RetryAllowance,
        ];
        self.require_empty(&rule_columns, "share");
        let caller = self.parse_name(Column::Caller);
        let percent = self.parse_percent();
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
    fn parse_name(&mut self, column: Column) -> Option<Option<&'a str>> {
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

    fn parse_importance(&mut self) -> Option<Importance> {
        let value = self.row.cell(Column::Importance).to_ascii_lowercase();
        let importance = value.parse().ok();
        if importance.is_none() {
            let message = self.missing_or("there is no such importance", &value);
            let remedy = "write `sheddable`, `low`, `normal`, `high` or `critical`";
            self.error(Column::Importance, message, remedy);
        }
        importance
    }

    fn parse_bool(&mut self, column: Column) -> Option<bool> {
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

    fn parse_percent(&mut self) -> Option<u32> {
        let value = self.row.cell(Column::SharePercent);
        let digits = value.strip_suffix('%').unwrap_or(value).trim_end();
        if digits.contains([',', '.']) {
            let message = "the share has a decimal comma or point";
            let remedy = "round it to whole percent, such as `12` for `12,5`";
            self.error(Column::SharePercent, message, remedy);
            return None;
        }
        self.parse_in_range(Column::SharePercent, digits, 1, 100)
            .map(|percent| percent as u32)
    }

    fn parse_number(&mut self, column: Column, low: u64, high: u64) -> Option<u64> {
        self.parse_in_range(column, self.row.cell(column), low, high)
    }

    fn parse_in_range(&mut self, column: Column, digits: &str, low: u64, high: u64) -> Option<u64> {
        let is_decimal = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
        let number = is_decimal.then(|| digits.parse::<u64>().unwrap_or(u64::MAX));
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

    fn require_empty(&mut self, columns: &[Column], kind: &str) {
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
