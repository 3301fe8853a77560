//! How many log lines about requests a daemon writes a second. Lines about requests that failed
//! have a budget of their own, so that served ones do not crowd them out.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::model::TimeMs;

/// Most lines a second about requests that were served. At the rate of a busy daemon of today
/// about every second one is written.
const SERVED_PER_S: u32 = 100;
/// Most lines a second about requests that failed, were refused or were sent again.
const FAILED_PER_S: u32 = 200;
/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// What a line is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// A request that went well.
    Served,
    /// A request that did not.
    Failed,
}

#[derive(Debug, Default)]
struct Window {
    start: TimeMs,
    written: u32,
    dropped: u64,
}

impl Window {
    fn allow(&mut self, now: TimeMs, most: u32) -> bool {
        if now.since_ms(self.start) >= WINDOW_MS {
            self.start = now;
            self.written = 0;
        }
        if self.written >= most {
            self.dropped += 1;
            return false;
        }
        self.written += 1;
        true
    }
}

/// Lines left out since they were last counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Dropped {
    /// About served requests.
    pub served: u64,
    /// About failed ones.
    pub failed: u64,
}

/// The budget of one daemon.
#[derive(Debug, Default)]
pub struct LineBudget {
    windows: Mutex<(Window, Window)>,
}

impl LineBudget {
    /// Whether a line may be written now.
    pub fn allow(&self, now: TimeMs, kind: LineKind) -> bool {
        let mut windows = self.lock();
        match kind {
            LineKind::Served => windows.0.allow(now, SERVED_PER_S),
            LineKind::Failed => windows.1.allow(now, FAILED_PER_S),
        }
    }

    /// How many lines were left out since the last call.
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
