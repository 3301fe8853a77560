//! The daemon's log lines: JSON or text on standard error, with structured fields.
//!
//! A line is written when a decision changes, never for each request, and holds no body.

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

/// Makes the settings hold, with lines on standard output that never block their writer.
///
/// A thread of its own writes the lines. Lines that do not fit its buffer are dropped and
/// counted, and the count is written once there is room.
pub fn install_bounded(logging: Logging) -> Result<(), spdlog::Error> {
    let sink = BoundedSink::start(logging.format);
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(level(logging.level)))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Waits until the lines written so far are on their way, for a short while at most.
pub fn flush() {
    spdlog::default_logger().flush();
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

/// Most bytes of lines that wait to be written.
const BUFFER_BYTES: usize = 512 * 1024;
/// Time over which lines are gathered into one write.
const GATHER: Duration = Duration::from_millis(100);
/// Longest wait for the buffer to empty at the end.
const FLUSH_WAIT: Duration = Duration::from_millis(200);

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Waiting {
    bytes: String,
    dropped: u64,
}

/// A sink that hands lines to a thread and drops those that do not fit its buffer.
struct BoundedSink {
    prop: SinkProp,
    format: LogFormat,
    waiting: Arc<(Mutex<Waiting>, Condvar)>,
}

impl BoundedSink {
    fn start(format: LogFormat) -> BoundedSink {
        let waiting: Arc<(Mutex<Waiting>, Condvar)> = Arc::default();
        let shared = Arc::clone(&waiting);
        std::thread::spawn(move || write_lines(&shared));
        BoundedSink {
            prop: SinkProp::default(),
            format,
            waiting,
        }
    }
}

/// Writes what has gathered, for as long as the process lives.
fn write_lines(shared: &(Mutex<Waiting>, Condvar)) {
    let (waiting, filled) = shared;
    loop {
        let gathered = {
            let locked = waiting.lock().unwrap_or_else(PoisonError::into_inner);
            let mut locked = filled
                .wait_while(locked, |waiting| waiting.bytes.is_empty())
                .unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *locked)
        };
        let mut output = std::io::stdout().lock();
        // Standard output that is closed has no reader to tell.
        let _ = output.write_all(gathered.bytes.as_bytes());
        if gathered.dropped > 0 {
            let dropped = gathered.dropped;
            let _ = writeln!(
                output,
                r#"{{"message":"log lines were dropped","dropped":{dropped}}}"#
            );
        }
        let _ = output.flush();
        drop(output);
        std::thread::sleep(GATHER);
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
        let (waiting, filled) = &*self.waiting;
        let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.bytes.len() + line.len() > BUFFER_BYTES {
            waiting.dropped += 1;
            return Ok(());
        }
        waiting.bytes.push_str(&line);
        filled.notify_one();
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        let until = Instant::now() + FLUSH_WAIT;
        while Instant::now() < until {
            let (waiting, _) = &*self.waiting;
            let is_empty = waiting
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .bytes
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
