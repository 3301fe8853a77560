//! Helpers for output and error messages.

use serde::Serialize;

/// Prints a value to standard output as indented JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), serde_json::Error> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Returns the name most similar to `typed`, if their edit distance is at most a third of the
/// longer one's length.
pub fn closest<'a>(typed: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let (distance, name) = names
        .map(|name| (edit_distance(typed, name), name))
        .min_by_key(|(distance, _)| *distance)?;
    (distance <= typed.len().max(name.len()) / 3).then_some(name)
}

/// Levenshtein distance between two texts, in characters.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, a_char) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b_char) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(a_char != *b_char);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

/// Formats a time in milliseconds since the Unix epoch as date and time in UTC, by RFC 3339.
pub fn utc(unix_ms: u64) -> String {
    let (days, in_day_ms) = (unix_ms / 86_400_000, unix_ms % 86_400_000);
    let (year, month, day) = civil_date(days);
    let (hour, minute) = (in_day_ms / 3_600_000, in_day_ms / 60_000 % 60);
    let second = in_day_ms / 1_000 % 60;
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts a number of days since 1970-01-01 to year, month and day in the Gregorian calendar.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // Years start in March, so that the leap day is the last day of its year. 719 468 is the
    // number of days from 0000-03-01 to 1970-01-01, 146 097 that of a 400-year era.
    let from_march = days + 719_468;
    let (era, day_of_era) = (from_march / 146_097, from_march % 146_097);
    let leaps = day_of_era / 1_460;
    let year_of_era = (day_of_era - leaps + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    (era * 400 + year_of_era + u64::from(month <= 2), month, day)
}
