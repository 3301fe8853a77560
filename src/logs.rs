//! Structured log lines as JSON or text, on standard error or, without blocking, on standard
//! output.
//!
//! A decision is logged when it changes, not for each request. Request bodies are never logged.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant, UNIX_EPOCH};

use serde_json::{Map, Value};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{GetSinkProp, Sink, SinkProp, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf};

use crate::config::{LogFormat, LogLevel, Logging};
use crate::decide::Note;

/// Installs a logger that writes to standard error as the default logger of this process.
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

/// Installs a logger that writes to standard output and never blocks the logging thread.
///
/// A background thread writes the lines. Lines that do not fit the buffer are dropped and
/// counted; the count is logged with the next write.
pub fn install_bounded(logging: Logging) -> Result<(), spdlog::Error> {
    let sink = BoundedSink::start(logging.format);
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(level(logging.level)))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Flushes the default logger. A bounded logger waits for a short time for its buffer to
/// empty.
pub fn flush() {
    spdlog::default_logger().flush();
}

/// Logs a changed decision.
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

/// Capacity of the buffer of pending lines, in bytes.
const MAX_BUFFER_BYTES: usize = 512 * 1024;
/// Pause between two writes, in which lines collect into one batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time that a flush waits for the buffer to empty.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines not written yet, and the number of lines dropped since the last write.
#[derive(Debug, Default)]
struct PendingLines {
    text: String,
    dropped: u64,
}

/// Log sink that passes lines to a background thread and drops those that do not fit its buffer.
struct BoundedSink {
    prop: SinkProp,
    format: LogFormat,
    pending: Arc<(Mutex<PendingLines>, Condvar)>,
}

impl BoundedSink {
    fn start(format: LogFormat) -> BoundedSink {
        let pending: Arc<(Mutex<PendingLines>, Condvar)> = Arc::default();
        let shared = Arc::clone(&pending);
        std::thread::spawn(move || write_lines(&shared));
        BoundedSink {
            prop: SinkProp::default(),
            format,
            pending,
        }
    }
}

/// Writes pending lines in batches; runs until the process ends.
fn write_lines(shared: &(Mutex<PendingLines>, Condvar)) {
    let (pending, not_empty) = shared;
    loop {
        let batch = {
            let locked = pending.lock().unwrap_or_else(PoisonError::into_inner);
            let mut locked = not_empty
                .wait_while(locked, |pending| pending.text.is_empty())
                .unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *locked)
        };
        let mut output = std::io::stdout().lock();
        // A write error is ignored: if standard output is closed, nobody can read a report of it.
        let _ = output.write_all(batch.text.as_bytes());
        if batch.dropped > 0 {
            let dropped = batch.dropped;
            let _ = writeln!(
                output,
                r#"{{"message":"log lines were dropped","dropped":{dropped}}}"#
            );
        }
        let _ = output.flush();
        drop(output);
        std::thread::sleep(BATCH_INTERVAL);
    }
}

impl Sink for BoundedSink {
    fn should_log(&self, _: Level) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let mut line = StringBuf::new();
        let mut context = FormatterContext::new();
        match self.format {
            LogFormat::Json => JsonLines.format(record, &mut line, &mut context)?,
            LogFormat::Text => TextLines.format(record, &mut line, &mut context)?,
        }
        let (pending, not_empty) = &*self.pending;
        let mut pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.text.len() + line.len() > MAX_BUFFER_BYTES {
            pending.dropped += 1;
            return Ok(());
        }
        pending.text.push_str(&line);
        not_empty.notify_one();
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while Instant::now() < deadline {
            let (pending, _) = &*self.pending;
            let is_empty = pending
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .text
                .is_empty();
            if is_empty {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }
}

impl GetSinkProp for BoundedSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
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

/// Formats a record as one line of JSON: `time_ms`, `level`, `message` and the record's fields.
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

/// Formats a record as text: time, level, message, then the record's fields as `name=value`.
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

/// Replaces control characters by spaces, so that a value cannot forge another log line.
fn one_line(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect()
}

fn time_ms(record: &Record<'_>) -> u64 {
    let since = record.time().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
