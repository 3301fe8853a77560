//! Tracks how far this daemon and its peers have read a topic, to detect a long poll that hangs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::Notify;

/// How long a peer must be ahead before this daemon counts as behind, in milliseconds. The log
/// service answers a read at once if there are records, so this is several times the latency of a
/// slow log service.
const BEHIND_MS: u64 = 1_000;

/// Offsets up to which this daemon and its peers have read a topic.
#[derive(Debug, Default)]
pub struct LogProgress {
    here: AtomicU64,
    elsewhere: AtomicU64,
    advanced: Notify,
}

impl LogProgress {
    /// The offset that this daemon reads from next.
    pub fn here(&self) -> u64 {
        self.here.load(Ordering::Relaxed)
    }

    /// Records that this daemon has read up to an offset.
    pub fn read(&self, next_offset: u64) {
        self.here.fetch_max(next_offset, Ordering::Relaxed);
    }

    /// Records that a peer has read up to an offset.
    pub fn heard(&self, next_offset: u64) {
        if self.elsewhere.fetch_max(next_offset, Ordering::Relaxed) < next_offset {
            self.advanced.notify_one();
        }
    }

    /// Returns once a peer has been ahead of this daemon for a second.
    pub async fn fallen_behind(&self) {
        loop {
            let advanced = self.advanced.notified();
            let elsewhere = self.elsewhere.load(Ordering::Relaxed);
            if elsewhere <= self.here() {
                advanced.await;
                continue;
            }
            tokio::time::sleep(Duration::from_millis(BEHIND_MS)).await;
            if self.here() < elsewhere {
                return;
            }
        }
    }
}
