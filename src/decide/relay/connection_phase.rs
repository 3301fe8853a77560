//! What a caller's connection waits for, and how long it may.

use super::routes::Limits;
use crate::model::TimeMs;

/// Longest time for which the other side of a connection may take no byte of an answer, in milliseconds.
/// Longer than callers wait for one, since an answer is passed on also when it is late.
pub const MAX_BLOCKED_MS: u64 = 30_000;

/// What a caller's connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The next request.
    Idle {
        /// When the connection was opened or the last answer ended.
        since: TimeMs,
    },
    /// The rest of a request head.
    Head {
        /// When its first bytes were received.
        since: TimeMs,
    },
    /// The end of requests and their answers.
    Answering {
        /// Number of requests. There is more than one if a backend server has answered early and
        /// the body of its request is still held when the next request arrives.
        requests: u32,
    },
}

impl ConnectionPhase {
    /// The phase after bytes were received.
    pub fn received(self, now: TimeMs) -> ConnectionPhase {
        match self {
            ConnectionPhase::Idle { .. } => ConnectionPhase::Head { since: now },
            ConnectionPhase::Head { .. } | ConnectionPhase::Answering { .. } => self,
        }
    }

    /// The phase after a request head was received.
    pub fn request_arrived(self) -> ConnectionPhase {
        let before = match self {
            ConnectionPhase::Answering { requests } => requests,
            ConnectionPhase::Idle { .. } | ConnectionPhase::Head { .. } => 0,
        };
        ConnectionPhase::Answering {
            requests: before + 1,
        }
    }

    /// The phase after a request and its answer have ended.
    pub fn request_ended(self, now: TimeMs) -> ConnectionPhase {
        match self {
            ConnectionPhase::Answering { requests } if requests > 1 => ConnectionPhase::Answering {
                requests: requests - 1,
            },
            _ => ConnectionPhase::Idle { since: now },
        }
    }

    /// When the connection ends unless the phase changes; `None` for never.
    pub fn ends_at(self, limits: Limits) -> Option<TimeMs> {
        match self {
            ConnectionPhase::Idle { since } => Some(since.plus_ms(limits.idle_ms)),
            ConnectionPhase::Head { since } => Some(since.plus_ms(limits.header_ms)),
            ConnectionPhase::Answering { .. } => None,
        }
    }
}
