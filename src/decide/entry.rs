//! Load shedding at the entry daemon, by the admission levels reported in replies.

use super::message::Priority;
use super::sharded::Sharded;
use crate::model::{CallerName, RequestName, ServiceName, TimeMs};

/// Time constant of the moving average of reported levels, in milliseconds.
const AVERAGE_TIME_CONSTANT_MS: f64 = 60.0;
/// Minimum weight of a reply in the average.
const MIN_WEIGHT: f64 = 0.02;
/// Age after which a level that no reply has updated starts to decay, in milliseconds.
const LEVEL_FRESH_MS: u64 = 300;
/// Decay of a stale level, in priority units per millisecond.
const DECAY_PER_MS: f64 = 128.0;
/// Maximum age of a caller's own level, in milliseconds. An older one is ignored in favour of the
/// level over all callers.
const CALLER_LEVEL_FRESH_MS: u64 = 1_000;

/// Admission levels by service and kind of request, for each caller and over all callers.
#[derive(Debug, Default)]
pub struct EntryLevels {
    levels: Sharded<LevelKey, ObservedLevel>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LevelKey {
    service: ServiceName,
    request: RequestName,
    caller: Option<CallerName>,
}

#[derive(Debug, Clone, Copy)]
struct ObservedLevel {
    level: f64,
    updated_at: TimeMs,
}

impl EntryLevels {
    /// Updates the averages with the level reported in a reply.
    pub fn observe(
        &self,
        now: TimeMs,
        service: &ServiceName,
        request: &RequestName,
        caller: &CallerName,
        level: Priority,
    ) {
        for caller in [Some(caller.clone()), None] {
            let key = LevelKey {
                service: service.clone(),
                request: request.clone(),
                caller,
            };
            let mut shard = self.levels.lock(&key);
            let observed = shard.entry(key).or_insert(ObservedLevel {
                level: 0.0,
                updated_at: TimeMs::default(),
            });
            observed.update(now, f64::from(level.0));
        }
    }

    /// The admission level for a caller's requests; those with a lower priority are shed.
    pub fn level(
        &self,
        now: TimeMs,
        service: &ServiceName,
        request: &RequestName,
        caller: &CallerName,
    ) -> Priority {
        let mut key = LevelKey {
            service: service.clone(),
            request: request.clone(),
            caller: Some(caller.clone()),
        };
        let caller_level = self.levels.lock(&key).get(&key).copied();
        if let Some(caller_level) = caller_level
            && now.since_ms(caller_level.updated_at) <= CALLER_LEVEL_FRESH_MS
        {
            return caller_level.decayed_at(now);
        }
        key.caller = None;
        let overall_level = self.levels.lock(&key).get(&key).copied();
        overall_level.map_or(Priority::LOWEST, |level| level.decayed_at(now))
    }

    /// Whether a request of this priority is admitted.
    pub fn admits(
        &self,
        now: TimeMs,
        service: &ServiceName,
        request: &RequestName,
        caller: &CallerName,
        priority: Priority,
    ) -> bool {
        priority >= self.level(now, service, request, caller)
    }
}

impl ObservedLevel {
    fn update(&mut self, now: TimeMs, level: f64) {
        let age_ms = now.since_ms(self.updated_at) as f64;
        let weight = (1.0 - (-age_ms / AVERAGE_TIME_CONSTANT_MS).exp()).max(MIN_WEIGHT);
        let current = f64::from(self.decayed_at(now).0);
        self.level = current + (level - current) * weight;
        self.updated_at = now;
    }

    /// The level at `now`, decayed if it is stale.
    fn decayed_at(&self, now: TimeMs) -> Priority {
        let stale_ms = now.since_ms(self.updated_at).saturating_sub(LEVEL_FRESH_MS);
        let decayed = self.level - stale_ms as f64 * DECAY_PER_MS;
        Priority(decayed.max(0.0) as u32)
    }
}
