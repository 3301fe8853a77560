//! Client of the log service that holds sheets, announcements of backend servers and the audit
//! trail.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::AnswerBounds;
use crate::decide::control::record::{LogBatch, LogEntry, LogRecord, Stream};
use crate::net::NetError;
use crate::net::http::{self, HttpClient};

/// Maximum number of idle connections to the log service.
const IDLE_CONNECTIONS: usize = 2;

/// Failure of a call to the log service.
#[derive(Debug, Error)]
pub enum LogError {
    /// The answer is missing or unreadable; an append may have taken effect.
    #[error("no answer from the log service, the append may have taken effect: {0}")]
    InDoubt(NetError),
    /// The connection failed, so the request did not reach the log service.
    #[error("the log service cannot be reached: {0}")]
    Unreachable(NetError),
    /// The log service answered with an error status.
    #[error("the log service refused with status {status}: {message}")]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Body of the answer.
        message: String,
    },
}

/// Answer of the log service to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the new record.
    pub offset: u64,
}

/// Page of records as the log service sends it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// Oldest offset that the log service still keeps.
    pub first_offset: u64,
    /// Offset at which the next read continues.
    pub next_offset: u64,
    /// Records in the order of their offsets.
    pub records: Vec<StoredRecord>,
}

/// Record as the log service stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Position of the record in its stream.
    pub offset: u64,
    /// JSON text, which the log service does not interpret.
    pub data: String,
}

/// Client of the log service.
#[derive(Debug, Clone)]
pub struct LogClient {
    address: SocketAddr,
    timeout_ms: u64,
    client: HttpClient,
}

impl LogClient {
    /// Creates a client that waits at most `timeout_ms` for each answer.
    pub fn new(address: SocketAddr, timeout_ms: u64) -> LogClient {
        LogClient {
            address,
            timeout_ms,
            client: http::client(IDLE_CONNECTIONS),
        }
    }

    /// Limits the size of the log service's answers.
    pub fn with_bounds(mut self, bounds: AnswerBounds) -> LogClient {
        self.client = http::bounded_client(IDLE_CONNECTIONS, bounds);
        self
    }

    /// Appends a record and returns its offset.
    pub async fn append(&self, stream: Stream, record: &LogRecord) -> Result<u64, LogError> {
        let data = serde_json::to_vec(record).map_err(malformed)?;
        let uri = format!("http://{}/streams/{stream}/records", self.address);
        let request = Request::post(uri)
            .body(Full::new(Bytes::from(data)))
            .map_err(malformed)?;
        let body = self.exchange(request).await?;
        let appended: Appended = serde_json::from_slice(&body).map_err(malformed)?;
        Ok(appended.offset)
    }

    /// Reads records from an offset. Records that cannot be decoded are skipped.
    pub async fn read(&self, stream: Stream, from_offset: u64) -> Result<LogBatch, LogError> {
        self.read_page(stream, &format!("from={from_offset}")).await
    }

    /// Reads the newest records, at most `records` of them.
    pub async fn read_tail(&self, stream: Stream, records: u32) -> Result<LogBatch, LogError> {
        self.read_page(stream, &format!("tail={records}")).await
    }

    async fn read_page(&self, stream: Stream, query: &str) -> Result<LogBatch, LogError> {
        let uri = format!("http://{}/streams/{stream}/records?{query}", self.address);
        let request = Request::get(uri)
            .body(Full::new(Bytes::new()))
            .map_err(malformed)?;
        let body = self.exchange(request).await?;
        let page: RecordPage = serde_json::from_slice(&body).map_err(malformed)?;
        Ok(LogBatch {
            first_offset: page.first_offset,
            next_offset: page.next_offset,
            entries: page.records.iter().filter_map(entry).collect(),
        })
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, LogError> {
        let result = http::exchange(&self.client, self.address, request, self.timeout_ms).await;
        let (status, _, body) = result.map_err(|error| match error {
            NetError::Connect { .. } => LogError::Unreachable(error),
            _ => LogError::InDoubt(error),
        })?;
        if status.is_success() {
            return Ok(body);
        }
        Err(LogError::Refused {
            status: status.as_u16(),
            message: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

fn entry(stored: &StoredRecord) -> Option<LogEntry> {
    let record = serde_json::from_str(&stored.data).ok()?;
    Some(LogEntry {
        offset: stored.offset,
        record,
    })
}

fn malformed(error: impl std::fmt::Display) -> LogError {
    LogError::InDoubt(NetError::Malformed(error.to_string()))
}
