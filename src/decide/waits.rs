//! Tracks which services the runs of each caller wait for, so that a full lane is
//! attributed to the slow resource and not to the caller that waited for it.

use std::collections::HashMap;

use super::sharded::Sharded;
use crate::model::{CallerName, ServiceName, TimeMs};

/// Shortest time between two notes about one lane, in milliseconds.
const NOTE_INTERVAL_MS: u64 = 1_000;

/// Open child calls of each caller's runs, by called service.
#[derive(Debug, Default)]
pub struct DependencyWaits {
    callers: Sharded<CallerName, CallerWaits>,
}

#[derive(Debug, Default)]
struct CallerWaits {
    open_calls: HashMap<ServiceName, u32>,
    last_note: Option<TimeMs>,
}

impl DependencyWaits {
    /// Records that a run of the caller calls a service.
    pub fn begin(&self, caller: &CallerName, service: &ServiceName) {
        let mut shard = self.callers.lock(caller);
        let waits = shard.entry(caller.clone()).or_default();
        *waits.open_calls.entry(service.clone()).or_default() += 1;
    }

    /// Records that such a call has ended.
    pub fn end(&self, caller: &CallerName, service: &ServiceName) {
        let mut shard = self.callers.lock(caller);
        let Some(waits) = shard.get_mut(caller) else {
            return;
        };
        if let Some(count) = waits.open_calls.get_mut(service) {
            *count -= 1;
            if *count == 0 {
                waits.open_calls.remove(service);
            }
        }
        if waits.open_calls.is_empty() {
            shard.remove(caller);
        }
    }

    /// Returns the service that most open calls of the caller's runs go to, or `own_service`
    /// if there is none. `None` if a note about the lane was made less than `NOTE_INTERVAL_MS` ago.
    pub fn resource_to_note(
        &self,
        now: TimeMs,
        caller: &CallerName,
        own_service: &ServiceName,
    ) -> Option<ServiceName> {
        let mut shard = self.callers.lock(caller);
        let waits = shard.entry(caller.clone()).or_default();
        let recent = |last_note| now.since_ms(last_note) < NOTE_INTERVAL_MS;
        if waits.last_note.is_some_and(recent) {
            return None;
        }
        waits.last_note = Some(now);
        let most = waits.open_calls.iter().max_by_key(|(_, count)| **count);
        Some(most.map_or_else(|| own_service.clone(), |(service, _)| service.clone()))
    }
}
