//! Client of the log service that the relay uses. Its keyed topics keep the newest record of each
//! key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD as BASE64;
use bytes::{Buf, Bytes};
use http_body_util::{BodyExt, Limited};
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;

use crate::net::relay::body::PooledConnection;
use crate::net::relay::log_progress::LogPosition;
use crate::net::relay::pool::{ExchangeError, Pool};
use crate::net::relay::{KeyedRecord, RecordLog, RecordLogError, RelayBody, Snapshot, Tail};

/// Header of every answer: rises by one each time the log service comes back from an older copy.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");
/// Timeout of a call, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;
/// Time after the wait of a long poll in which its answer must arrive, in milliseconds: short, so
/// that a poll that hangs is noticed, and longer after polls that have timed out, since the log
/// service may be slow.
const POLL_MARGIN_MS: (u64, u64) = (500, 4_000);
/// Idle timeout of a connection to the log service, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 10_000;
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Size of the header of a read, in bytes: the end offset and the first offset kept.
const READ_HEADER_BYTES: usize = 16;
/// Size of the length prefix of each record, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Client of the log service with keyed topics.
#[derive(Debug, Clone)]
pub struct Store {
    address: SocketAddr,
    pool: Arc<Pool>,
    /// Newest era seen in an answer; an answer of an earlier one has been on its way for long.
    era: Arc<AtomicU64>,
    poll_timeouts: Arc<AtomicU32>,
}

/// An answer of the log service. Not `Debug`, as the types below: records may contain API keys.
struct Answer {
    status: StatusCode,
    era: u64,
    body: Bytes,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    items: Vec<PageItem>,
    has_more: bool,
    /// Offset after the last record of the topic.
    end_key: u64,
}

#[derive(Deserialize)]
struct PageItem {
    key: String,
    /// Value in base64; empty for a tombstone.
    value: String,
    offset: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Expired {
    first_offset: u64,
}

impl Store {
    /// Creates a client of the log service at `address`; `pool` holds its connections.
    pub fn new(address: SocketAddr, pool: Arc<Pool>) -> Store {
        Store {
            address,
            pool,
            era: Arc::default(),
            poll_timeouts: Arc::default(),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: RelayBody,
        timeout_ms: u64,
    ) -> Result<Answer, RecordLogError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .body(body)
            .map_err(|error| RecordLogError::Malformed(error.to_string()))?;
        let exchange = async {
            let sent = self
                .pool
                .exchange(self.address, request, IDLE_TIMEOUT_MS)
                .await;
            let exchanged = sent.map_err(|error| no_answer(&error))?;
            let status = exchanged.response.status();
            let era = self.check_era(exchanged.response.headers())?;
            let connection = PooledConnection {
                pool: Arc::clone(&self.pool),
                key: self.address,
                sender: exchanged.sender,
                keep_ms: IDLE_TIMEOUT_MS,
            };
            let body = RelayBody::answer(exchanged.response.into_body(), Some(connection));
            let collected = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let collected =
                collected.map_err(|error| RecordLogError::NoAnswer(error.to_string()))?;
            let body = collected.to_bytes();
            Ok(Answer { status, era, body })
        };
        let timeout = Duration::from_millis(timeout_ms);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(answered) => answered,
            Err(_) => Err(RecordLogError::NoAnswer(format!(
                "no answer within {timeout_ms} ms"
            ))),
        }
    }

    /// The era of an answer, 0 if the log service sends none.
    fn check_era(&self, headers: &HeaderMap) -> Result<u64, RecordLogError> {
        let era = headers.get(ERA_HEADER);
        let era = era.and_then(|era| era.to_str().ok()?.trim().parse().ok());
        let era = era.unwrap_or(0);
        let newest = self.era.fetch_max(era, Ordering::Relaxed).max(era);
        if era < newest {
            let problem = format!("the answer is of era {era}, and era {newest} has begun");
            return Err(RecordLogError::NoAnswer(problem));
        }
        Ok(era)
    }
}

impl RecordLog for Store {
    async fn newest(&self, topic: &str) -> Result<Snapshot, RecordLogError> {
        let mut snapshot = Snapshot::default();
        let mut after = String::new();
        let mut is_first = true;
        loop {
            let path = format!("/log-newest?topic={topic}&part=0{after}");
            let answer = self
                .call(Method::GET, &path, RelayBody::Empty, TIMEOUT_MS)
                .await?;
            if answer.status == StatusCode::NOT_FOUND {
                snapshot.next = LogPosition::new(answer.era, 0);
                return Ok(snapshot);
            }
            check_status(&answer)?;
            let page: Page = serde_json::from_slice(&answer.body)
                .map_err(|error| RecordLogError::Malformed(error.to_string()))?;
            // The pages are not one consistent snapshot: records written between two page reads
            // lie after the end offset of the first page, where the tail starts.
            if is_first {
                snapshot.next = LogPosition::new(answer.era, page.end_key);
                is_first = false;
            } else if snapshot.next.era() != answer.era {
                let problem = "the log service has come back from an older copy meanwhile";
                return Err(RecordLogError::NoAnswer(problem.to_owned()));
            }
            let last = page.items.last().map(|item| percent_encode(&item.key));
            for item in page.items {
                let value = BASE64.decode(&item.value).map_err(|error| {
                    RecordLogError::Malformed(format!("the value of {:?}: {error}", item.key))
                })?;
                snapshot.records.push(KeyedRecord {
                    key: item.key,
                    value: (!value.is_empty()).then_some(value),
                    offset: item.offset,
                });
            }
            match last {
                Some(last) if page.has_more => after = format!("&after={last}"),
                _ => return Ok(snapshot),
            }
        }
    }

    async fn tail(
        &self,
        topic: &str,
        from: LogPosition,
        wait_ms: u64,
    ) -> Result<Tail, RecordLogError> {
        let offset = from.offset();
        let path = format!("/log-read?topic={topic}&part=0&from={offset}&waitMs={wait_ms}");
        let (first_ms, longest_ms) = POLL_MARGIN_MS;
        let timeouts = self.poll_timeouts.load(Ordering::Relaxed);
        let margin_ms = (first_ms << timeouts.min(8)).min(longest_ms);
        let called = self
            .call(Method::GET, &path, RelayBody::Empty, wait_ms + margin_ms)
            .await;
        let answer = match called {
            Ok(answer) => answer,
            Err(error) => {
                self.poll_timeouts.fetch_add(1, Ordering::Relaxed);
                return Err(error);
            }
        };
        self.poll_timeouts.store(0, Ordering::Relaxed);
        check_status(&answer)?;
        decode_records(answer.body, LogPosition::new(answer.era, offset))
    }

    async fn put(
        &self,
        topic: &str,
        key: &str,
        value: Option<&[u8]>,
    ) -> Result<u64, RecordLogError> {
        let record = encode_record(key, value.unwrap_or_default())?;
        let path = format!("/log-append?topic={topic}&part=0");
        let body = RelayBody::Full(record);
        let answer = self.call(Method::POST, &path, body, TIMEOUT_MS).await?;
        check_status(&answer)?;
        Ok(answer.era)
    }
}

fn no_answer(error: &ExchangeError) -> RecordLogError {
    RecordLogError::NoAnswer(error.to_string())
}

fn check_status(answer: &Answer) -> Result<(), RecordLogError> {
    let status = answer.status;
    if status.is_success() {
        return Ok(());
    }
    if status == StatusCode::GONE {
        let expired: Expired = serde_json::from_slice(&answer.body)
            .map_err(|error| RecordLogError::Malformed(error.to_string()))?;
        return Err(RecordLogError::Expired {
            first_offset: expired.first_offset,
        });
    }
    Err(RecordLogError::Refused {
        status: status.as_u16(),
    })
}

/// Encodes a record of a keyed topic with its length prefix; an empty value is a tombstone.
pub fn encode_record(key: &str, value: &[u8]) -> Result<Bytes, RecordLogError> {
    let key_bytes = u8::try_from(key.len())
        .map_err(|_| RecordLogError::Malformed(format!("the key {key:?} is too long")))?;
    let length = 1 + key.len() + value.len();
    let mut record = Vec::with_capacity(LENGTH_PREFIX_BYTES + length);
    record.extend_from_slice(&(length as u32).to_be_bytes());
    record.push(key_bytes);
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    Ok(record.into())
}

/// Decodes the records of a read that started at `from`. A record without a valid key is logged
/// and skipped.
pub fn decode_records(mut body: Bytes, from: LogPosition) -> Result<Tail, RecordLogError> {
    let malformed = |problem: &str| RecordLogError::Malformed(problem.to_owned());
    if body.len() < READ_HEADER_BYTES {
        return Err(malformed("the read is shorter than its head"));
    }
    body.advance(READ_HEADER_BYTES);
    let mut records = Vec::new();
    let mut offset = from.offset();
    while body.len() >= LENGTH_PREFIX_BYTES {
        let length = body.get_u32() as usize;
        if body.len() < length {
            return Err(malformed("the last record is truncated"));
        }
        let record = body.split_to(length);
        match decode_record(&record, offset) {
            Some(record) => records.push(record),
            None => spdlog::warn!("a record has no key and is passed over", kv: { offset }),
        }
        offset += 1;
    }
    let next = LogPosition::new(from.era(), offset);
    Ok(Tail { records, next })
}

fn decode_record(record: &[u8], offset: u64) -> Option<KeyedRecord> {
    let (key_bytes, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*key_bytes))?;
    Some(KeyedRecord {
        key: String::from_utf8(key.to_vec()).ok()?,
        value: (!value.is_empty()).then(|| value.to_vec()),
        offset,
    })
}

fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
