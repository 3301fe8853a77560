//! Times at which a call has to be looked at again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Mutex;

use super::message::CallId;
use super::sharded::lock;
use crate::model::TimeMs;

/// What a timer wakes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wakeup {
    /// A call that this daemon moves towards a backend server.
    Dispatch(CallId),
    /// A call that waits for, or runs on, the local backend server.
    Execution(CallId),
}

/// A heap of wake-ups. A wake-up that is no longer needed is harmless.
#[derive(Debug, Default)]
pub struct Timers {
    heap: Mutex<BinaryHeap<Reverse<(TimeMs, Wakeup)>>>,
}

impl Timers {
    /// Wakes `target` at or after `at`.
    pub fn set(&self, at: TimeMs, target: Wakeup) {
        lock(&self.heap).push(Reverse((at, target)));
    }

    /// Takes out the wake-ups that are due.
    pub fn due(&self, now: TimeMs) -> Vec<Wakeup> {
        let mut heap = lock(&self.heap);
        let mut due = Vec::new();
        while let Some(Reverse((at, target))) = heap.peek() {
            if *at > now {
                break;
            }
            due.push(*target);
            heap.pop();
        }
        due
    }

    /// When the next wake-up is due.
    pub fn next(&self) -> Option<TimeMs> {
        lock(&self.heap).peek().map(|Reverse((at, _))| *at)
    }
}
