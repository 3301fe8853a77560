//! A stand-in for the log service, with appends, reads from an offset, limited retention and
//! fault injection.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use tokio::task::JoinHandle;

use crate::decide::sharded::lock;
use crate::net::NetError;
use crate::net::http::{self, FullResponse};
use crate::platform::log::{Appended, RecordPage, StoredRecord};

/// Maximum number of records in one page.
const PAGE_RECORDS: usize = 1_000;
/// Size after which a page takes no further record.
const PAGE_BYTES: usize = 1_000_000;

/// Faults that a test injects into the log service.
#[derive(Debug, Default)]
pub struct LogFaults {
    /// Whether every request is refused with status 503.
    pub down: AtomicBool,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: AtomicU64,
    /// Number of appends that take effect but get no answer.
    pub lose_answers: AtomicU64,
}

#[derive(Debug, Default)]
struct StreamLog {
    first_offset: u64,
    records: VecDeque<String>,
}

/// A running stand-in log service. Dropping it closes its listener.
#[derive(Debug)]
pub struct StandInLog {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Faults to inject; they can be changed while it runs.
    pub faults: Arc<LogFaults>,
    streams: Arc<Mutex<HashMap<String, StreamLog>>>,
    task: JoinHandle<()>,
}

impl StandInLog {
    /// Starts a log service; port 0 takes any free port.
    pub async fn start(address: SocketAddr) -> Result<StandInLog, NetError> {
        let listener = http::listen(address).await?;
        let address = listener.local_addr().unwrap_or(address);
        let faults = Arc::new(LogFaults::default());
        let streams = Arc::new(Mutex::new(HashMap::new()));
        let shared = (Arc::clone(&faults), Arc::clone(&streams));
        let task = tokio::spawn(http::serve(listener, move |request| {
            let (faults, streams) = shared.clone();
            handle(faults, streams, request)
        }));
        Ok(StandInLog {
            address,
            faults,
            streams,
            task,
        })
    }

    /// Drops the oldest records of a stream so that at most `keep` remain.
    pub fn truncate(&self, stream: &str, keep: usize) {
        let mut streams = lock(&self.streams);
        if let Some(log) = streams.get_mut(stream) {
            while log.records.len() > keep {
                log.records.pop_front();
                log.first_offset += 1;
            }
        }
    }
}

impl Drop for StandInLog {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn handle(
    faults: Arc<LogFaults>,
    streams: Arc<Mutex<HashMap<String, StreamLog>>>,
    request: Request<Incoming>,
) -> FullResponse {
    let slow_ms = faults.slow_ms.load(Ordering::Relaxed);
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    if faults.down.load(Ordering::Relaxed) {
        return http::error(StatusCode::SERVICE_UNAVAILABLE, "down");
    }
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let ["streams", stream, "records"] = segments.as_slice() else {
        return http::error(StatusCode::NOT_FOUND, "no such route");
    };
    if parts.method == Method::GET {
        let query = parts.uri.query().unwrap_or_default();
        return http::json(StatusCode::OK, &read_query(&streams, stream, query));
    }
    let data = match http::read_body(body).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(message) => return http::error(StatusCode::PAYLOAD_TOO_LARGE, &message),
    };
    let offset = append(&streams, stream, data);
    let decrement = |count: u64| count.checked_sub(1);
    let lost = faults
        .lose_answers
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
    if lost.is_ok() {
        std::future::pending::<()>().await;
    }
    http::json(StatusCode::OK, &Appended { offset })
}

fn append(streams: &Mutex<HashMap<String, StreamLog>>, stream: &str, data: String) -> u64 {
    let mut streams = lock(streams);
    let log = streams.entry(stream.to_owned()).or_default();
    log.records.push_back(data);
    log.first_offset + log.records.len() as u64 - 1
}

/// Reads a page from an offset (`from=N`), or a page of the last N records (`tail=N`).
fn read_query(
    streams: &Mutex<HashMap<String, StreamLog>>,
    stream: &str,
    query: &str,
) -> RecordPage {
    let number = |name: &str| query.strip_prefix(name)?.parse::<u64>().ok();
    if let Some(tail) = number("tail=") {
        let end = {
            let mut streams = lock(streams);
            let log = streams.entry(stream.to_owned()).or_default();
            log.first_offset + log.records.len() as u64
        };
        return read(streams, stream, end.saturating_sub(tail));
    }
    read(streams, stream, number("from=").unwrap_or(0))
}

fn read(streams: &Mutex<HashMap<String, StreamLog>>, stream: &str, from: u64) -> RecordPage {
    let mut streams = lock(streams);
    let log = streams.entry(stream.to_owned()).or_default();
    let skip = from.saturating_sub(log.first_offset) as usize;
    let start = log.first_offset + skip as u64;
    let mut bytes = 0;
    let records: Vec<StoredRecord> = log
        .records
        .iter()
        .skip(skip)
        .take(PAGE_RECORDS)
        .take_while(|data| {
            let fits = bytes <= PAGE_BYTES;
            bytes += data.len();
            fits
        })
        .zip(start..)
        .map(|(data, offset)| StoredRecord {
            offset,
            data: data.clone(),
        })
        .collect();
    RecordPage {
        first_offset: log.first_offset,
        next_offset: records.last().map_or(from, |last| last.offset + 1),
        records,
    }
}
