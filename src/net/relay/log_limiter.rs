//! Rate limit on log lines about requests. Lines about failed requests have a limit of their own,
//! so that lines about served requests do not crowd them out.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::model::TimeMs;

/// Most lines a second about served requests; a busy daemon writes about every second one.
const MAX_SERVED_LINES_PER_S: u32 = 100;
/// Most lines a second about requests that failed, were refused or were retried.
const MAX_FAILED_LINES_PER_S: u32 = 200;
/// Most lines a second about requests that no route matches.
const MAX_NO_ROUTE_LINES_PER_S: u32 = 50;
/// Most lines a second about connections that this daemon ends.
const MAX_CONNECTION_LINES_PER_S: u32 = 20;
/// Length of the fixed window in which lines are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// The kind of request that a line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// Served, or sent to the backend server.
    Served,
    /// Failed, refused or retried.
    Failed,
    /// Without a route. These have a limit of their own, since a daemon whose configuration is out
    /// of date shows it here first.
    NoRoute,
    /// A connection rather than a request.
    Connection,
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
    /// Lines about requests without a route.
    pub no_route: u64,
    /// Lines about connections.
    pub connection: u64,
}

#[derive(Debug, Default)]
struct Windows {
    served: Window,
    failed: Window,
    no_route: Window,
    connection: Window,
}

/// The rate limiter of one daemon.
#[derive(Debug, Default)]
pub struct LogLimiter {
    windows: Mutex<Windows>,
}

impl LogLimiter {
    /// Whether a line may be written now; a refused line is counted as dropped.
    pub fn allow(&self, now: TimeMs, kind: LineKind) -> bool {
        let mut windows = self.lock();
        match kind {
            LineKind::Served => windows.served.allow(now, MAX_SERVED_LINES_PER_S),
            LineKind::Failed => windows.failed.allow(now, MAX_FAILED_LINES_PER_S),
            LineKind::NoRoute => windows.no_route.allow(now, MAX_NO_ROUTE_LINES_PER_S),
            LineKind::Connection => windows.connection.allow(now, MAX_CONNECTION_LINES_PER_S),
        }
    }

    /// Numbers of dropped lines since the last call.
    pub fn take_dropped(&self) -> Dropped {
        let mut windows = self.lock();
        Dropped {
            served: std::mem::take(&mut windows.served.dropped),
            failed: std::mem::take(&mut windows.failed.dropped),
            no_route: std::mem::take(&mut windows.no_route.dropped),
            connection: std::mem::take(&mut windows.connection.dropped),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Windows> {
        self.windows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
