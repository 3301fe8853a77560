//! The daemon's log lines: JSON or text on standard error, with structured fields.
//!
//! A line is written when a decision changes, never for each request, and holds no body.

use std::fmt::Write;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use serde_json::{Map, Value};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::StdStreamSink;
use spdlog::terminal_style::StyleMode;
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf};

use crate::config::{LogFormat, LogLevel, Logging};
use crate::decide::Note;

/// Makes the settings hold for all log lines of this process.
pub fn install(logging: Logging) -> Result<(), spdlog::Error> {
    let builder = StdStreamSink::builder()
        .stderr()
        .style_mode(StyleMode::Never);
    let builder = match logging.format {
        LogFormat::Json => builder.formatter(JsonLines),
        LogFormat::Text => builder.formatter(TextLines),
    };
    let logger = Logger::builder()
        .sink(builder.build_arc()?)
        .level_filter(LevelFilter::MoreSevereEqual(level(logging.level)))
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes the line for a changed decision.
pub fn decision(note: &Note) {
    match note {
        Note::LimitChanged { from, to } => {
            let (from, to) = (*from, *to);
            spdlog::debug!("the concurrency limit has changed", kv: { from, to });
        }
        Note::LevelChanged { from, to } => {
            let (from, to) = (from.0, to.0);
            spdlog::info!("the admission level has changed", kv: { from, to });
        }
        Note::LaneFull { lane, resource } => {
            let (lane, resource) = (lane.as_str(), resource.as_str());
            spdlog::warn!("a caller's lane is full", kv: { lane, resource });
        }
        Note::Breach { invariant, key } => {
            let invariant = *invariant;
            let key = key.as_ref().map(ToString::to_string).unwrap_or_default();
            spdlog::error!("an invariant would have been broken", kv: { invariant, key });
        }
    }
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

/// One JSON object a line: `time_ms`, `level`, `message` and the line's own fields.
#[derive(Debug, Clone, Copy)]
pub struct JsonLines;

impl Formatter for JsonLines {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let mut line = Map::new();
        line.insert("time_ms".to_owned(), Value::from(time_ms(record)));
        line.insert("level".to_owned(), Value::from(record.level().as_str()));
        line.insert("message".to_owned(), Value::from(record.payload()));
        for (key, value) in record.key_values() {
            let number = value.to_u64().map(Value::from);
            let value = number.unwrap_or_else(|| Value::from(value.to_string()));
            line.insert(key.as_str().to_owned(), value);
        }
        writeln!(dest, "{}", Value::Object(line)).map_err(spdlog::Error::FormatRecord)
    }
}

/// Text for a person: time, level, message, then the line's own fields as `name=value`.
#[derive(Debug, Clone, Copy)]
pub struct TextLines;

impl Formatter for TextLines {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let mut line = format!(
            "{} {:5} {}",
            time_ms(record),
            record.level().as_str(),
            one_line(record.payload())
        );
        for (key, value) in record.key_values() {
            let text = value.to_string();
            let _ = write!(line, " {}={}", key.as_str(), one_line(&text));
        }
        writeln!(dest, "{line}").map_err(spdlog::Error::FormatRecord)
    }
}

/// The text without control characters, which could forge a line of their own.
fn one_line(text: &str) -> String {
    text.chars()
        .map(|letter| if letter.is_control() { ' ' } else { letter })
        .collect()
}

fn time_ms(record: &Record<'_>) -> u64 {
    let since = record.time().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
