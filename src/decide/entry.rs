//! Admission levels: how a backend server's overload is measured, and how the
//! entry daemon sheds by the levels that replies carry.

use super::message::Priority;
use super::sharded::Sharded;
use crate::model::{RequestName, ServiceName, TimeMs};

/// Length of the window over which offers and completions are compared, in milliseconds.
const WINDOW_MS: u64 = 100;
/// Buckets of priority: the importance and the four high bits of the rank.
const BUCKETS: usize = 5 * 16;
/// Wait in the queue that counts as overload, in milliseconds.
const OVERLOAD_WAIT_MS: u64 = 20;
/// Room above what was completed that the level leaves, to find out whether capacity has grown.
const PROBE_SHARE: f64 = 1.05;
/// A level that no reply has confirmed for this long no longer sheds, in milliseconds.
const LEVEL_LIFE_MS: u64 = 1_000;

/// Finds the lowest priority that the backend server has room for.
#[derive(Debug)]
pub struct LevelMeter {
    window_start: TimeMs,
    offered: [u32; BUCKETS],
    completed: u32,
    refused: u32,
    shortest_wait_ms: Option<u64>,
    level: Priority,
}

impl Default for LevelMeter {
    fn default() -> Self {
        LevelMeter {
            window_start: TimeMs::default(),
            offered: [0; BUCKETS],
            completed: 0,
            refused: 0,
            shortest_wait_ms: None,
            level: Priority::LOWEST,
        }
    }
}

impl LevelMeter {
    /// The level found at the end of the last window.
    pub fn level(&self) -> Priority {
        self.level
    }

    /// Takes in a request that was offered.
    pub fn offered(&mut self, now: TimeMs, priority: Priority) {
        if now.since_ms(self.window_start) >= WINDOW_MS {
            self.close_window(now);
        }
        self.offered[bucket(priority)] += 1;
    }

    /// Takes in a refusal for lack of room.
    pub fn refused(&mut self) {
        self.refused += 1;
    }

    /// Takes in a wait in the queue that ended with a start.
    pub fn waited(&mut self, wait_ms: u64) {
        let shortest = self.shortest_wait_ms.unwrap_or(wait_ms);
        self.shortest_wait_ms = Some(shortest.min(wait_ms));
    }

    /// Takes in a completion.
    pub fn completed(&mut self) {
        self.completed += 1;
    }

    fn close_window(&mut self, now: TimeMs) {
        let waited_long = self.shortest_wait_ms.unwrap_or(0) > OVERLOAD_WAIT_MS;
        let overloaded = self.refused > 0 || waited_long;
        self.level = if overloaded {
            self.level_for_capacity()
        } else {
            self.lower_level()
        };
        self.offered = [0; BUCKETS];
        self.completed = 0;
        self.refused = 0;
        self.shortest_wait_ms = None;
        self.window_start = now;
    }

    fn level_for_capacity(&self) -> Priority {
        let capacity = f64::from(self.completed) * PROBE_SHARE + 1.0;
        let mut admitted = 0.0;
        for index in (0..BUCKETS).rev() {
            admitted += f64::from(self.offered[index]);
            if admitted > capacity {
                return bucket_start(index + 1).max(self.level);
            }
        }
        self.level
    }

    fn lower_level(&self) -> Priority {
        bucket_start(bucket(self.level).saturating_sub(1))
    }
}

/// Levels last heard from each service and kind of request.
#[derive(Debug, Default)]
pub struct EntryLevels {
    levels: Sharded<(ServiceName, RequestName), HeardLevel>,
}

#[derive(Debug, Clone, Copy)]
struct HeardLevel {
    level: Priority,
    at: TimeMs,
}

impl EntryLevels {
    /// Takes in the level that a reply carried.
    pub fn heard(
        &self,
        now: TimeMs,
        service: &ServiceName,
        request: &RequestName,
        level: Priority,
    ) {
        let key = (service.clone(), request.clone());
        self.levels.insert(key, HeardLevel { level, at: now });
    }

    /// Whether a request of this priority should be started.
    pub fn admits(
        &self,
        now: TimeMs,
        service: &ServiceName,
        request: &RequestName,
        priority: Priority,
    ) -> bool {
        let key = (service.clone(), request.clone());
        let shard = self.levels.lock(&key);
        match shard.get(&key) {
            Some(heard) if now.since_ms(heard.at) <= LEVEL_LIFE_MS => priority >= heard.level,
            _ => true,
        }
    }
}

fn bucket(priority: Priority) -> usize {
    ((priority.0 >> 12) as usize).min(BUCKETS - 1)
}

fn bucket_start(index: usize) -> Priority {
    Priority((index.min(BUCKETS - 1) as u32) << 12)
}
