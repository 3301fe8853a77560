//! Which requests a daemon that shuts down still passes on, and until when they may run.

use crate::model::TimeMs;

/// Time between the deadline of a request and the end of the shutdown, in milliseconds. Covers an
/// answer in transit between daemons, and its way to the caller.
const ANSWER_MS: u64 = 250;

/// A planned shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// Until when new requests are taken.
    pub accepts_until: TimeMs,
    /// When requests without an answer are cut off.
    pub ends_at: TimeMs,
}

impl Shutdown {
    /// The deadline with which a request is passed on that has become whole at `now`; `None` if it
    /// is refused. Callers know that requests are taken until [`Self::accepts_until`]; later ones are
    /// passed on only if they cannot outlast the shutdown.
    pub fn deadline(&self, now: TimeMs, deadline: TimeMs) -> Option<TimeMs> {
        let latest = TimeMs(self.ends_at.0.saturating_sub(ANSWER_MS));
        let is_accepted = now <= self.accepts_until || deadline <= latest;
        is_accepted.then(|| deadline.min(latest))
    }
}
