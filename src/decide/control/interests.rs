//! Which services this daemon calls, and who asked this daemon about which.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::model::{ServiceName, TimeMs};

/// A service that has not been called for this long is dropped, in milliseconds.
const INTEREST_LIFE_MS: u64 = 3_600_000;
/// A subscriber that has not asked for this long is dropped, in milliseconds.
const SUBSCRIPTION_LIFE_MS: u64 = 60_000;

/// Services whose workers outside the zone this daemon wants to know.
#[derive(Debug, Default)]
pub struct Interests {
    called: BTreeMap<ServiceName, TimeMs>,
    subscribers: HashMap<ServiceName, HashMap<SocketAddr, TimeMs>>,
}

impl Interests {
    /// Takes in that a service is called; true if that is new.
    pub fn called(&mut self, now: TimeMs, service: &ServiceName) -> bool {
        self.called.insert(service.clone(), now).is_none()
    }

    /// Whether this daemon calls a service.
    pub fn wants(&self, service: &ServiceName) -> bool {
        self.called.contains_key(service)
    }

    /// The services called.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.called.keys()
    }

    /// Takes in that another daemon asks about a service.
    pub fn subscribe(&mut self, now: TimeMs, service: &ServiceName, subscriber: SocketAddr) {
        let subscribers = self.subscribers.entry(service.clone()).or_default();
        subscribers.insert(subscriber, now);
    }

    /// Who wants to know of changes in a service.
    pub fn subscribers(&self, service: &ServiceName) -> impl Iterator<Item = SocketAddr> {
        let subscribers = self.subscribers.get(service);
        subscribers
            .into_iter()
            .flat_map(|subscribers| subscribers.keys().copied())
    }

    /// Drops what is too old.
    pub fn expire(&mut self, now: TimeMs) {
        self.called
            .retain(|_, called| now.since_ms(*called) < INTEREST_LIFE_MS);
        self.subscribers.retain(|_, subscribers| {
            subscribers.retain(|_, asked| now.since_ms(*asked) < SUBSCRIPTION_LIFE_MS);
            !subscribers.is_empty()
        });
    }
}
