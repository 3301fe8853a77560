//! Small helpers of the commands.

use serde::Serialize;

/// Prints a value as indented JSON on standard output.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), serde_json::Error> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// The name that `typed` was most likely meant to be, if one is near enough.
pub fn closest<'a>(typed: &str, names: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let (distance, name) = names
        .map(|name| (edit_distance(typed, name), name))
        .min_by_key(|(distance, _)| *distance)?;
    (distance <= typed.len().max(name.len()) / 3).then_some(name)
}

/// Fewest insertions, deletions and replacements of characters that turn one text into the other.
fn edit_distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (line, letter) in one.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = line + 1;
        for (column, counterpart) in other.iter().enumerate() {
            let replaced = diagonal + usize::from(letter != *counterpart);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[other.len()]
}
