//! The client of the platform's log service.

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

/// Connections kept open to the log service.
const IDLE_CONNECTIONS: usize = 2;

/// What goes wrong with the log service.
#[derive(Debug, Error)]
pub enum LogError {
    /// It cannot be told whether the append took effect.
    #[error("no answer from the log service, the append may have taken effect: {0}")]
    InDoubt(NetError),
    /// The request did not reach the log service.
    #[error("the log service cannot be reached: {0}")]
    Unreachable(NetError),
    /// The log service refused.
    #[error("the log service refused with status {status}: {message}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body.
        message: String,
    },
}

/// An append, as the log service answers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the new record.
    pub offset: u64,
}

/// A page of records as the log service sends it; the data is opaque to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// The oldest offset that is still kept.
    pub first_offset: u64,
    /// The offset to read from next.
    pub next_offset: u64,
    /// The records, in order.
    pub records: Vec<StoredRecord>,
}

/// One record as the log service keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The offset.
    pub offset: u64,
    /// The data.
    pub data: String,
}

/// A client of the log service.
#[derive(Debug, Clone)]
pub struct LogClient {
    address: SocketAddr,
    timeout_ms: u64,
    client: HttpClient,
}

impl LogClient {
    /// A client that waits at most `timeout_ms` for each answer.
    pub fn new(address: SocketAddr, timeout_ms: u64) -> LogClient {
        LogClient {
            address,
            timeout_ms,
            client: http::client(IDLE_CONNECTIONS),
        }
    }

    /// The same client with bounds on what the log service answers.
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

    /// Reads records from an offset. Records that are not ours are passed over.
    pub async fn read(&self, stream: Stream, from_offset: u64) -> Result<LogBatch, LogError> {
        self.read_page(stream, &format!("from={from_offset}")).await
    }

    /// Reads the newest records, at most `records`.
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
