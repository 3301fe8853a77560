//! Splits the bytes of an export into rows of named cells.

use csv::{ByteRecord, ReaderBuilder, Trim};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoEnumIterator, IntoStaticStr};

use super::SheetIssue;

/// UTF-8 byte-order mark, with which some spreadsheets start a file.
const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

/// A column of a sheet. The names in the header are the variants in snake case.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Display, EnumCount, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case", ascii_case_insensitive)]
pub(super) enum Column {
    Kind,
    Service,
    Request,
    Caller,
    Importance,
    Idempotent,
    DeadlineMs,
    RetryAllowance,
    SharePercent,
}

/// A row with at least one non-empty cell.
#[derive(Debug)]
pub(super) struct Row {
    pub line: u64,
    cells: [String; Column::COUNT],
}

impl Row {
    /// Returns the text of a cell without surrounding whitespace; empty if the row lacks the cell.
    pub fn cell(&self, column: Column) -> &str {
        &self.cells[column as usize]
    }
}

/// Reads all non-empty rows. Reading stops at a record that is not valid CSV; the issues name it.
pub(super) fn read(bytes: &[u8], issues: &mut Vec<SheetIssue>) -> Vec<Row> {
    if bytes.starts_with(b"\xFF\xFE") || bytes.starts_with(b"\xFE\xFF") {
        issues.push(SheetIssue::error(
            1,
            "",
            "",
            "the file is UTF-16",
            "export it as `CSV UTF-8`",
        ));
        return Vec::new();
    }
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    let mut rdr = ReaderBuilder::new()
        .delimiter(delimiter(bytes))
        .has_headers(false)
        .flexible(true)
        .trim(Trim::All)
        .from_reader(bytes);
    let mut records = rdr.byte_records();
    let Some(Ok(header)) = records.next() else {
        issues.push(SheetIssue::error(
            1,
            "",
            "",
            "the file is empty",
            &format!("the first row names the columns: {}", column_names()),
        ));
        return Vec::new();
    };
    let Some(columns) = header_columns(&header, issues) else {
        return Vec::new();
    };
    let mut rows = Vec::new();
    for record in records {
        match record {
            Ok(record) if record.iter().all(<[u8]>::is_empty) => {}
            Ok(record) => {
                let line = line_number(bytes, record.position());
                rows.push(parse_row(line, &record, &columns, issues));
            }
            Err(error) => {
                let line = error.position().map_or(0, csv::Position::line);
                let message = error.to_string();
                let remedy = "export the sheet again as CSV";
                issues.push(SheetIssue::error(line, "", "", &message, remedy));
                break;
            }
        }
    }
    rows
}

/// Detects the delimiter from the first line: spreadsheets in locales with a decimal comma
/// separate cells by semicolons, and some exports use tabs.
fn delimiter(bytes: &[u8]) -> u8 {
    let first_line = bytes.split(|byte| *byte == b'\n').next().unwrap_or(bytes);
    let count = |delimiter: u8| first_line.iter().filter(|byte| **byte == delimiter).count();
    [b';', b'\t']
        .into_iter()
        .find(|delimiter| count(*delimiter) > count(b','))
        .unwrap_or(b',')
}

/// Returns the column at each position, or `None` if the header has errors.
fn header_columns(
    header: &ByteRecord,
    issues: &mut Vec<SheetIssue>,
) -> Option<Vec<Option<Column>>> {
    let issue_count = issues.len();
    let mut columns = Vec::new();
    for name in header.iter() {
        let name = String::from_utf8_lossy(name);
        let column = name.parse::<Column>().ok();
        if column.is_none() && !name.is_empty() {
            let remedy = format!("remove it or use one of {}", column_names());
            issues.push(SheetIssue::error(
                1,
                &name,
                &name,
                "there is no such column",
                &remedy,
            ));
        }
        if column.is_some() && columns.contains(&column) {
            let message = "the column is there twice";
            issues.push(SheetIssue::error(
                1,
                &name,
                &name,
                message,
                "remove one of them",
            ));
        }
        columns.push(column);
    }
    for column in Column::iter().filter(|column| !columns.contains(&Some(*column))) {
        let remedy = format!("add a column `{column}` to the first row");
        let name = column.to_string();
        issues.push(SheetIssue::error(
            1,
            &name,
            "",
            "the column is missing",
            &remedy,
        ));
    }
    (issues.len() == issue_count).then_some(columns)
}

fn parse_row(
    line: u64,
    record: &ByteRecord,
    columns: &[Option<Column>],
    issues: &mut Vec<SheetIssue>,
) -> Row {
    let mut cells: [String; Column::COUNT] = Default::default();
    for (index, value) in record.iter().enumerate() {
        let text = String::from_utf8_lossy(value).into_owned();
        let Some(column) = columns.get(index).copied().flatten() else {
            if !text.is_empty() {
                let message = format!("cell {} is beyond the columns named in row 1", index + 1);
                let remedy = "remove it, or quote a cell that contains the separator";
                issues.push(SheetIssue::error(line, "", &text, &message, remedy));
            }
            continue;
        };
        if std::str::from_utf8(value).is_err() {
            let name = column.to_string();
            let remedy = "export the sheet as `CSV UTF-8`";
            issues.push(SheetIssue::error(
                line,
                &name,
                &text,
                "the cell is not UTF-8",
                remedy,
            ));
        }
        cells[column as usize] = text;
    }
    Row { line, cells }
}

/// Returns the line number of a record. The reader's position is that of the first empty line
/// before the record, so those lines are added.
fn line_number(bytes: &[u8], position: Option<&csv::Position>) -> u64 {
    let Some(position) = position else {
        return 0;
    };
    let rest = bytes.get(position.byte() as usize..).unwrap_or_default();
    let line_breaks = rest.iter().take_while(|byte| matches!(byte, b'\r' | b'\n'));
    position.line() + line_breaks.filter(|byte| **byte == b'\n').count() as u64
}

fn column_names() -> String {
    let names: Vec<&str> = Column::iter().map(Into::into).collect();
    names.join(", ")
}
