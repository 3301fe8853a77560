//! What a caller's connection waits for, and how long it may.

use super::routes::Limits;
use crate::model::TimeMs;

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
    /// The answer to a request.
    Answering,
}

impl ConnectionPhase {
    /// The phase after bytes were received.
    pub fn received(self, now: TimeMs) -> ConnectionPhase {
        match self {
            ConnectionPhase::Idle { .. } => ConnectionPhase::Head { since: now },
            ConnectionPhase::Head { .. } | ConnectionPhase::Answering => self,
        }
    }

    /// When the connection ends unless the phase changes; `None` for never.
    pub fn ends_at(self, limits: Limits) -> Option<TimeMs> {
        match self {
            ConnectionPhase::Idle { since } => Some(since.plus_ms(limits.idle_ms)),
            ConnectionPhase::Head { since } => Some(since.plus_ms(limits.header_ms)),
            ConnectionPhase::Answering => None,
        }
    }
}
