//! Interface to the log service that stores configurations and member records.

use std::fmt;

use thiserror::Error;

use super::log_progress::LogPosition;

/// A record of a keyed topic.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key; a newer record of the same key replaces this one.
    pub key: String,
    /// The value; `None` if the record is a tombstone, which removes its key.
    pub value: Option<Vec<u8>>,
    /// Offset in the topic.
    pub offset: u64,
}

impl fmt::Debug for KeyedRecord {
    /// Leaves out the value, which contains API keys if it is a configuration.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyedRecord")
            .field("key", &self.key)
            .field("value_bytes", &self.value.as_ref().map(Vec::len))
            .field("offset", &self.offset)
            .finish()
    }
}

/// The newest record of each key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// One record per key, in no particular order.
    pub records: Vec<KeyedRecord>,
    /// Where to read from next; records from there on may already be in the snapshot.
    pub next: LogPosition,
}

/// Records from an offset on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tail {
    /// The records, in order.
    pub records: Vec<KeyedRecord>,
    /// Where to read from next. In an era other than the one read from, records may have been
    /// skipped.
    pub next: LogPosition,
}

/// Why a call to the log service failed.
#[derive(Debug, Error)]
pub enum RecordLogError {
    /// The records at the requested offset have expired.
    #[error("the records before offset {first_offset} have expired")]
    Expired {
        /// Oldest offset that is still available.
        first_offset: u64,
    },
    /// The log service refused the call without effect.
    #[error("the log service refused with status {status}")]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
    },
    /// No answer; a write may have taken effect.
    #[error("no answer from the log service: {0}")]
    NoAnswer(String),
    /// The answer could not be decoded.
    #[error("the answer of the log service cannot be decoded: {0}")]
    Malformed(String),
}

/// Client of a log service with keyed topics. The log service may come back from a copy some
/// seconds old; each time its era rises by one, and records acknowledged since are lost.
pub trait RecordLog: Clone + Send + Sync + 'static {
    /// Reads the newest record of each key.
    fn newest(&self, topic: &str) -> impl Future<Output = Result<Snapshot, RecordLogError>> + Send;

    /// Waits up to `wait_ms` for records from a position on.
    fn tail(
        &self,
        topic: &str,
        from: LogPosition,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Tail, RecordLogError>> + Send;

    /// Appends a record and returns the era in which it was acknowledged; `None` as the value
    /// removes the key.
    fn put(
        &self,
        topic: &str,
        key: &str,
        value: Option<&[u8]>,
    ) -> impl Future<Output = Result<u64, RecordLogError>> + Send;
}
