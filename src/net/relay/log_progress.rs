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
    own_offset: AtomicU64,
    peer_offset: AtomicU64,
    peer_advanced: Notify,
}

impl LogProgress {
    /// The offset that this daemon reads from next.
    pub fn own_offset(&self) -> u64 {
        self.own_offset.load(Ordering::Relaxed)
    }

    /// Records that this daemon has read up to an offset.
    pub fn advance_own(&self, next_offset: u64) {
        self.own_offset.fetch_max(next_offset, Ordering::Relaxed);
    }

    /// Records that a peer has read up to an offset.
    pub fn advance_peer(&self, next_offset: u64) {
        if self.peer_offset.fetch_max(next_offset, Ordering::Relaxed) < next_offset {
            self.peer_advanced.notify_one();
        }
    }

    /// Returns once a peer has been ahead of this daemon for a while.
    pub async fn wait_until_behind(&self) {
        loop {
            let peer_advanced = self.peer_advanced.notified();
            let peer_offset = self.peer_offset.load(Ordering::Relaxed);
            if peer_offset <= self.own_offset() {
                peer_advanced.await;
                continue;
            }
            tokio::time::sleep(Duration::from_millis(BEHIND_MS)).await;
            if self.own_offset() < peer_offset {
                return;
            }
        }
    }
}
