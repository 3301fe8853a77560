//! Tracks how far this daemon and its peers have read a topic, to detect a long poll that hangs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// How long a peer must be ahead before this daemon counts as behind, in milliseconds. The log
/// service answers a read at once if there are records, so this is several times the latency of a
/// slow log service.
const BEHIND_MS: u64 = 1_000;
/// Bits of a position that hold the offset; the era is above them.
const OFFSET_BITS: u32 = 40;

/// A position in a topic. Offsets are given out again after the log service has come back from an
/// older copy, so a position is the era of the log service, then the offset.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogPosition(u64);

impl LogPosition {
    /// The position of an offset in an era.
    pub fn new(era: u64, offset: u64) -> LogPosition {
        let offset = offset.min((1 << OFFSET_BITS) - 1);
        LogPosition((era << OFFSET_BITS) | offset)
    }

    /// Number of times that the log service had come back from an older copy.
    pub fn era(self) -> u64 {
        self.0 >> OFFSET_BITS
    }

    /// The offset within the era.
    pub fn offset(self) -> u64 {
        self.0 & ((1 << OFFSET_BITS) - 1)
    }
}

/// Positions up to which this daemon and its peers have read a topic.
#[derive(Debug, Default)]
pub struct LogProgress {
    own: AtomicU64,
    peer: AtomicU64,
    peer_advanced: Notify,
}

impl LogProgress {
    /// The position that this daemon reads from next.
    pub fn own(&self) -> LogPosition {
        LogPosition(self.own.load(Ordering::Relaxed))
    }

    /// Records that this daemon has read up to a position.
    pub fn advance_own(&self, next: LogPosition) {
        self.own.fetch_max(next.0, Ordering::Relaxed);
    }

    /// Records that a peer has read up to a position.
    pub fn advance_peer(&self, next: LogPosition) {
        if self.peer.fetch_max(next.0, Ordering::Relaxed) < next.0 {
            self.peer_advanced.notify_one();
        }
    }

    /// Returns once a peer has been ahead of this daemon for a while.
    pub async fn wait_until_behind(&self) {
        loop {
            let peer_advanced = self.peer_advanced.notified();
            let peer = self.peer.load(Ordering::Relaxed);
            if peer <= self.own().0 {
                peer_advanced.await;
                continue;
            }
            tokio::time::sleep(Duration::from_millis(BEHIND_MS)).await;
            if self.own().0 < peer {
                return;
            }
        }
    }
}
