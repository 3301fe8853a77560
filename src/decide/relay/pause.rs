//! Detects that this process was paused, so that requests which have waited in its sockets
//! meanwhile are not taken for new ones.

use crate::model::TimeMs;

/// Longest time between two observations while the process runs, in milliseconds. Above the
/// interval of the observations that do not depend on requests.
pub const MAX_GAP_MS: u64 = 1_500;
/// How long after a pause a request may be one that has waited in a socket, in milliseconds.
const BACKLOG_MS: u64 = 100;

/// Observes the clock and tells how long requests may have waited unread.
#[derive(Debug, Default)]
pub struct PauseDetector {
    seen_at: Option<TimeMs>,
    resumed_at: Option<TimeMs>,
    paused_ms: u64,
}

impl PauseDetector {
    /// Observes the time; returns the length of a pause that has just ended, in milliseconds.
    pub fn observe(&mut self, now: TimeMs) -> Option<u64> {
        let seen_at = self.seen_at.replace(now)?;
        let gap_ms = now.since_ms(seen_at);
        if gap_ms <= MAX_GAP_MS {
            return None;
        }
        self.resumed_at = Some(now);
        self.paused_ms = gap_ms;
        Some(gap_ms)
    }

    /// Longest time that a request which is read now may have waited during a pause, in
    /// milliseconds; 0 if there was none just before.
    pub fn held_ms(&self, now: TimeMs) -> u64 {
        match self.resumed_at {
            Some(at) if now.since_ms(at) < BACKLOG_MS => self.paused_ms,
            Some(_) | None => 0,
        }
    }
}
