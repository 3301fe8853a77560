//! Small helpers of the commands.

use serde::Serialize;

/// Prints a value as indented JSON on standard output.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), serde_json::Error> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}
