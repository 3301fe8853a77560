//! A stand-in for the platform's store: topics of keyed records in one partition, in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD as BASE64;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::decide::sharded::lock;
use crate::net::NetError;
use crate::net::http;
use crate::net::relay::KeyedRecord;
use crate::net::relay::log_progress::LogPosition;
use crate::platform::local::query_parameter;
use crate::platform::store::{decode_records, encode_record};

/// Length of the two offsets in front of the records of a read answer.
const READ_HEADER_BYTES: usize = 16;
/// Header of every answer with the number of times that the store came back from an older copy.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");
/// Maximum number of entries on one page of the newest records.
const PAGE_ITEMS: usize = 100;

/// Faults that a test injects into the store.
#[derive(Debug, Default)]
pub struct StoreFaults {
    /// Whether every request is refused with status 503.
    pub down: AtomicBool,
    /// A topic of which every request is refused with status 503.
    pub down_topic: Mutex<Option<String>>,
    /// Delay of each answer, in milliseconds.
    pub slow_ms: AtomicU64,
    /// Number of appends that take effect but get no answer.
    pub lose_answers: AtomicU64,
    /// Number of reads that get no answer although there are records.
    pub hang_reads: AtomicU64,
}

/// Topics of a store at some time, which it can come back from.
#[derive(Debug, Clone)]
pub struct StoreCopy(BTreeMap<String, Topic>);

#[derive(Debug, Clone, Default)]
struct Topic {
    first_offset: u64,
    records: Vec<KeyedRecord>,
    newest: BTreeMap<String, KeyedRecord>,
}

impl Topic {
    /// The offset of the next record to be appended.
    fn end(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn append(&mut self, key: &str, value: Option<Vec<u8>>) -> u64 {
        let record = KeyedRecord {
            key: key.to_owned(),
            value,
            offset: self.end(),
        };
        let offset = record.offset;
        if record.value.is_some() {
            self.newest.insert(key.to_owned(), record.clone());
        } else {
            self.newest.remove(key);
        }
        self.records.push(record);
        offset
    }
}

#[derive(Debug, Default)]
struct Shared {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Notify,
    faults: StoreFaults,
    era: AtomicU64,
    calls: AtomicU64,
}

/// A running stand-in store. Dropping it closes its listener.
#[derive(Debug)]
pub struct StandInStore {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl StandInStore {
    /// Starts a store; port 0 takes any free port.
    pub async fn start(address: SocketAddr) -> Result<StandInStore, NetError> {
        let listener = http::listen(address).await?;
        let address = listener.local_addr().unwrap_or(address);
        let shared = Arc::new(Shared::default());
        let task = {
            let shared = Arc::clone(&shared);
            tokio::spawn(http::serve(listener, move |request| {
                handle(Arc::clone(&shared), request)
            }))
        };
        Ok(StandInStore {
            address,
            shared,
            task,
        })
    }

    /// Faults to inject; they can be changed while it runs.
    pub fn faults(&self) -> &StoreFaults {
        &self.shared.faults
    }

    /// Appends a record directly, as an operator does, and returns its offset.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut topics = lock(&self.shared.topics);
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.append(key, Some(value.to_vec()));
        drop(topics);
        self.shared.changed.notify_waiters();
        offset
    }

    /// The newest value of a key; `None` if the key has none or was deleted.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let topics = lock(&self.shared.topics);
        topics.get(topic)?.newest.get(key)?.value.clone()
    }

    /// Copies all topics.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(lock(&self.shared.topics).clone())
    }

    /// Comes back from an older copy: the era rises by one, and what was written since is lost.
    /// Long polls go on waiting, as on connections that nothing closes.
    pub fn restore(&self, copy: StoreCopy) {
        *lock(&self.shared.topics) = copy.0;
        self.shared.era.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets the era that answers tell.
    pub fn set_era(&self, era: u64) {
        self.shared.era.store(era, Ordering::Relaxed);
    }

    /// Number of calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }

    /// Expires all records of a topic's history; the newest record of each key remains available.
    pub fn expire_history(&self, topic: &str) {
        let mut topics = lock(&self.shared.topics);
        if let Some(topic) = topics.get_mut(topic) {
            topic.first_offset = topic.end();
            topic.records.clear();
        }
    }
}

impl Drop for StandInStore {
    fn drop(&mut self) {
        self.task.abort();
    }
}

type Answer = Response<Full<Bytes>>;

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    shared.calls.fetch_add(1, Ordering::Relaxed);
    let mut answered = answer_call(&shared, request).await;
    let era = HeaderValue::from(shared.era.load(Ordering::Relaxed));
    answered.headers_mut().insert(ERA_HEADER, era);
    answered
}

async fn answer_call(shared: &Shared, request: Request<Incoming>) -> Answer {
    let slow_ms = shared.faults.slow_ms.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    if shared.faults.down.load(Ordering::Relaxed) {
        return answer(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    let uri = request.uri().clone();
    let query = uri.query().unwrap_or_default();
    let topic = query_parameter(query, "topic")
        .unwrap_or_default()
        .to_owned();
    if lock(&shared.faults.down_topic).as_ref() == Some(&topic) {
        return answer(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    }
    match (request.method(), uri.path()) {
        (&Method::POST, "/log-append") => append(shared, &topic, request).await,
        (&Method::GET, "/log-newest") => newest(shared, &topic, query),
        (&Method::GET, "/log-read") => read(shared, &topic, query).await,
        _ => answer(StatusCode::NOT_FOUND, Vec::new()),
    }
}

async fn append(shared: &Shared, topic: &str, request: Request<Incoming>) -> Answer {
    let Ok(body) = request.into_body().collect().await else {
        return answer(StatusCode::BAD_REQUEST, Vec::new());
    };
    // An append's body has the format of a read answer without the header.
    let mut buffer = vec![0; READ_HEADER_BYTES];
    buffer.extend_from_slice(&body.to_bytes());
    let Ok(appended) = decode_records(buffer.into(), LogPosition::default()) else {
        return answer(StatusCode::BAD_REQUEST, Vec::new());
    };
    let (offset, end) = {
        let mut topics = lock(&shared.topics);
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.end();
        for record in appended.records {
            topic.append(&record.key, record.value);
        }
        (offset, topic.end())
    };
    shared.changed.notify_waiters();
    if uses_up(&shared.faults.lose_answers) {
        std::future::pending::<()>().await;
    }
    json_answer(&json!({ "offset": offset, "endKey": end }))
}

fn newest(shared: &Shared, topic: &str, query: &str) -> Answer {
    let after = query_parameter(query, "after").unwrap_or_default();
    let after = after.replace("%3A", ":");
    let mut topics = lock(&shared.topics);
    let topic = topics.entry(topic.to_owned()).or_default();
    let remaining: Vec<&KeyedRecord> = topic
        .newest
        .values()
        .filter(|record| record.key > after)
        .collect();
    let items: Vec<_> = remaining
        .iter()
        .take(PAGE_ITEMS)
        .map(|record| {
            let value = BASE64.encode(record.value.as_deref().unwrap_or_default());
            json!({ "key": record.key, "value": value, "offset": record.offset })
        })
        .collect();
    let has_more = remaining.len() > items.len();
    json_answer(&json!({ "items": items, "hasMore": has_more, "endKey": topic.end() }))
}

async fn read(shared: &Shared, topic: &str, query: &str) -> Answer {
    let number = |name| query_parameter(query, name).and_then(|text| text.parse::<u64>().ok());
    let from = number("from").unwrap_or(0);
    let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
    let until = tokio::time::Instant::now() + wait;
    loop {
        let changed = shared.changed.notified();
        if let Some(answered) = read_now(shared, topic, from) {
            if uses_up(&shared.faults.hang_reads) {
                std::future::pending::<()>().await;
            }
            return answered;
        }
        if tokio::time::timeout_at(until, changed).await.is_err() {
            let end = lock(&shared.topics)
                .entry(topic.to_owned())
                .or_default()
                .end();
            return answer(StatusCode::OK, [end.to_be_bytes(), [0; 8]].concat());
        }
    }
}

/// Takes one from a count of faults; false if none is left.
fn uses_up(count: &AtomicU64) -> bool {
    let used = count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
        left.checked_sub(1)
    });
    used.is_ok()
}

/// Answers with the records from an offset, or with status 410 if they have expired; `None` if
/// there are no records yet.
fn read_now(shared: &Shared, topic: &str, from: u64) -> Option<Answer> {
    let mut topics = lock(&shared.topics);
    let topic = topics.entry(topic.to_owned()).or_default();
    if from < topic.first_offset || from > topic.end() {
        let mut gone = json_answer(&json!({ "firstOffset": topic.first_offset }));
        *gone.status_mut() = StatusCode::GONE;
        return Some(gone);
    }
    let records = topic.records.iter().filter(|record| record.offset >= from);
    let mut body = [topic.end().to_be_bytes(), topic.first_offset.to_be_bytes()].concat();
    for record in records {
        let value = record.value.as_deref().unwrap_or_default();
        body.extend_from_slice(&encode_record(&record.key, value).ok()?);
    }
    (body.len() > READ_HEADER_BYTES).then(|| answer(StatusCode::OK, body))
}

fn json_answer(value: &serde_json::Value) -> Answer {
    answer(StatusCode::OK, value.to_string().into_bytes())
}

fn answer(status: StatusCode, body: Vec<u8>) -> Answer {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
