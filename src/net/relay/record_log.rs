//! The log on which configurations and the records of daemons stand, as the relay needs it.

use thiserror::Error;

/// One record with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; none if the record removes its key.
    pub value: Option<Vec<u8>>,
    /// Its offset.
    pub offset: u64,
}

/// The newest record of each key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// From where to follow; records behind it may be in the snapshot already.
    pub next_offset: u64,
}

/// Records from an offset on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tail {
    /// The records, in order.
    pub records: Vec<KeyedRecord>,
    /// The offset to read from next.
    pub next_offset: u64,
}

/// What goes wrong with the log.
#[derive(Debug, Error)]
pub enum RecordLogError {
    /// The records from there on have expired.
    #[error("the records before offset {first_offset} have expired")]
    Expired {
        /// The oldest offset that is left.
        first_offset: u64,
    },
    /// The log refused the call; nothing was done.
    #[error("the log refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No answer; a write may have taken effect.
    #[error("no answer of the log: {0}")]
    Silent(String),
    /// The answer could not be read.
    #[error("the answer of the log cannot be read: {0}")]
    Malformed(String),
}

/// A log with keyed topics.
pub trait RecordLog: Clone + Send + Sync + 'static {
    /// Reads the newest record of each key.
    fn newest(&self, topic: &str) -> impl Future<Output = Result<Snapshot, RecordLogError>> + Send;

    /// Waits up to `wait_ms` for records from an offset on.
    fn tail(
        &self,
        topic: &str,
        from_offset: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Tail, RecordLogError>> + Send;

    /// Writes a record; without a value the key is removed.
    fn put(
        &self,
        topic: &str,
        key: &str,
        value: Option<&[u8]>,
    ) -> impl Future<Output = Result<(), RecordLogError>> + Send;
}
