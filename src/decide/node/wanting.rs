//! The services called through this daemon, each reported once so that all its workers are learned.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::decide::sharded::{Sharded, lock};
use crate::model::{ServiceName, TimeMs};

/// A service that goes on being called is reported again after this time, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 600_000;

/// Services called, and those not yet reported.
#[derive(Debug, Default)]
pub(super) struct CalledServices {
    reported: Sharded<ServiceName, TimeMs>,
    new: Mutex<Vec<ServiceName>>,
    any_new: AtomicBool,
}

impl CalledServices {
    /// Takes in a call.
    pub(super) fn called(&self, now: TimeMs, service: &ServiceName) {
        let mut shard = self.reported.lock(service);
        match shard.get(service) {
            Some(reported) if now.since_ms(*reported) < REPORT_INTERVAL_MS => return,
            _ => shard.insert(service.clone(), now),
        };
        drop(shard);
        self.note(service);
    }

    /// Reports a service whether it was reported before or not.
    pub(super) fn note(&self, service: &ServiceName) {
        lock(&self.new).push(service.clone());
        self.any_new.store(true, Ordering::Release);
    }

    /// The services to report now.
    pub(super) fn take_new(&self) -> Vec<ServiceName> {
        if !self.any_new.swap(false, Ordering::AcqRel) {
            return Vec::new();
        }
        std::mem::take(&mut *lock(&self.new))
    }
}
