//! Rate limit on log lines about requests. Lines about failed requests have a limit of their own,
//! so that lines about served requests do not crowd them out.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::model::TimeMs;

/// Most lines a second about served requests; a busy daemon writes about every second one.
const MAX_SERVED_LINES_PER_S: u32 = 100;
/// Most lines a second about requests that failed, were refused or were retried.
const MAX_FAILED_LINES_PER_S: u32 = 200;
/// Length of the fixed window in which lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// The kind of request that a line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// Served, or sent to the backend server.
    Served,
    /// Failed, refused, retried or without a route.
    Failed,
}

#[derive(Debug, Default)]
struct Window {
    start: TimeMs,
    written: u32,
    dropped: u64,
}

impl Window {
    fn allow(&mut self, now: TimeMs, max_lines: u32) -> bool {
        if now.since_ms(self.start) >= WINDOW_MS {
            self.start = now;
            self.written = 0;
        }
        if self.written >= max_lines {
            self.dropped += 1;
            return false;
        }
        self.written += 1;
        true
    }
}

/// Numbers of lines dropped since the last call of [`LogLimiter::take_dropped`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Lines about served requests.
    pub served: u64,
    /// Lines about failed requests.
    pub failed: u64,
}

/// The rate limiter of one daemon.
#[derive(Debug, Default)]
pub struct LogLimiter {
    windows: Mutex<(Window, Window)>,
}

impl LogLimiter {
    /// Whether a line may be written now; a refused line is counted as dropped.
    pub fn allow(&self, now: TimeMs, kind: LineKind) -> bool {
        let mut windows = self.lock();
        match kind {
            LineKind::Served => windows.0.allow(now, MAX_SERVED_LINES_PER_S),
            LineKind::Failed => windows.1.allow(now, MAX_FAILED_LINES_PER_S),
        }
    }

    /// Numbers of dropped lines since the last call.
    pub fn take_dropped(&self) -> Dropped {
        let mut windows = self.lock();
        Dropped {
            served: std::mem::take(&mut windows.0.dropped),
            failed: std::mem::take(&mut windows.1.dropped),
        }
    }

    fn lock(&self) -> MutexGuard<'_, (Window, Window)> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
