//! Timers of calls: deadlines, retry delays and other times at which a call must be checked.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Mutex;

use super::message::CallId;
use super::sharded::lock;
use crate::model::TimeMs;

/// Target of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wakeup {
    /// A call that this daemon dispatches to a backend server.
    Dispatch(CallId),
    /// A call that is queued for, or running on, the local backend server.
    Execution(CallId),
}

/// A min-heap of timers. Timers are never cancelled: the target ignores one that it no
/// longer needs.
#[derive(Debug, Default)]
pub struct Timers {
    heap: Mutex<BinaryHeap<Reverse<(TimeMs, Wakeup)>>>,
}

impl Timers {
    /// Wakes `target` at or after `at`.
    pub fn set(&self, at: TimeMs, target: Wakeup) {
        lock(&self.heap).push(Reverse((at, target)));
    }

    /// Removes and returns the timers that are due, earliest first.
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

    /// When the next timer is due; `None` if none is set.
    pub fn next(&self) -> Option<TimeMs> {
        lock(&self.heap).peek().map(|Reverse((at, _))| *at)
    }
}
