//! Load shedding at the entry daemon, by the admission levels reported in replies.

use super::message::Priority;
use super::sharded::Sharded;
use crate::model::{CallerName, RequestName, ServiceName, TimeMs};

/// Time constant of the moving average of reported levels, in milliseconds.
const AVERAGE_MS: f64 = 60.0;
/// Minimum weight of a reply in the average.
const LEAST_WEIGHT: f64 = 0.02;
/// Age after which a level that no reply has updated starts to decay, in milliseconds.
const FRESH_MS: u64 = 300;
/// Decay of a stale level, in priority units per millisecond.
const FALL_PER_MS: f64 = 128.0;
/// Maximum age of a caller's own level, in milliseconds. An older one is ignored in favour of the
/// level over all callers.
const CALLER_FRESH_MS: u64 = 1_000;

/// Admission levels by service and kind of request, for each caller and over all callers.
#[derive(Debug, Default)]
pub struct EntryLevels {
    levels: Sharded<LevelKey, HeardLevel>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct LevelKey {
    service: ServiceName,
    request: RequestName,
    caller: Option<CallerName>,
}

#[derive(Debug, Clone, Copy)]
struct HeardLevel {
    level: f64,
    at: TimeMs,
}

impl EntryLevels {
    /// Updates the averages with the level reported in a reply.
    pub fn heard(
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
            let heard = shard.entry(key).or_insert(HeardLevel {
                level: 0.0,
                at: TimeMs::default(),
            });
            heard.hear(now, f64::from(level.0));
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
        let own = self.levels.lock(&key).get(&key).copied();
        if let Some(own) = own
            && now.since_ms(own.at) <= CALLER_FRESH_MS
        {
            return own.at_time(now);
        }
        key.caller = None;
        let all = self.levels.lock(&key).get(&key).copied();
        all.map_or(Priority::LOWEST, |all| all.at_time(now))
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

impl HeardLevel {
    fn hear(&mut self, now: TimeMs, level: f64) {
        let age_ms = now.since_ms(self.at) as f64;
        let weight = (1.0 - (-age_ms / AVERAGE_MS).exp()).max(LEAST_WEIGHT);
        let current = f64::from(self.at_time(now).0);
        self.level = current + (level - current) * weight;
        self.at = now;
    }

    /// The level at `now`, decayed if it is stale.
    fn at_time(&self, now: TimeMs) -> Priority {
        let stale_ms = now.since_ms(self.at).saturating_sub(FRESH_MS);
        let fallen = self.level - stale_ms as f64 * FALL_PER_MS;
        Priority(fallen.max(0.0) as u32)
    }
}
