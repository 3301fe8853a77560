//! How far a topic was read here and elsewhere, to notice a long poll that hangs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::Notify;

/// Time for which another daemon must be ahead, in milliseconds. A read that has records to
/// return is answered at once, so this is several times what a slow log service takes.
const BEHIND_MS: u64 = 1_000;

/// Offsets up to which a topic was read.
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

    /// Takes in that this daemon has read up to an offset.
    pub fn read(&self, next_offset: u64) {
        self.here.fetch_max(next_offset, Ordering::Relaxed);
    }

    /// Takes in that another daemon has read up to an offset.
    pub fn heard(&self, next_offset: u64) {
        if self.elsewhere.fetch_max(next_offset, Ordering::Relaxed) < next_offset {
            self.advanced.notify_one();
        }
    }

    /// Returns once another daemon has been ahead of this one for a while.
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
