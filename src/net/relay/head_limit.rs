//! Bounds what a connection may receive before the head of an answer is complete. The HTTP library
//! bounds one head, and skips any number of informational ones before it.

use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::observed_stream::StreamObserver;

/// Largest number of bytes received between a request and the end of its answer's head. Covers
/// the buffer of the HTTP library, which may hold a part of the body.
pub const MAX_HEAD_BYTES: u64 = 256 * 1024;
/// The allowance while no head is awaited.
const UNLIMITED: u64 = u64::MAX;

/// How many bytes a connection may still receive.
#[derive(Debug, Clone)]
pub struct HeadAllowance(Arc<AtomicU64>);

impl HeadAllowance {
    /// The allowance of a new connection, on which the head of an answer is awaited.
    pub fn new() -> HeadAllowance {
        HeadAllowance(Arc::new(AtomicU64::new(MAX_HEAD_BYTES)))
    }

    /// Bounds the bytes from now on, when a request is sent.
    pub fn await_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Lifts the bound, when the head of the answer has arrived.
    pub fn head_arrived(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }
}

impl StreamObserver for HeadAllowance {
    /// Takes received bytes from the allowance.
    fn received(&self, received_bytes: u64) -> std::io::Result<()> {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return Ok(());
        }
        self.0
            .store(left.saturating_sub(received_bytes), Ordering::Relaxed);
        if received_bytes > left {
            let message = format!("no answer within {MAX_HEAD_BYTES} bytes");
            return Err(Error::new(ErrorKind::InvalidData, message));
        }
        Ok(())
    }
}

impl Default for HeadAllowance {
    fn default() -> HeadAllowance {
        HeadAllowance::new()
    }
}
