//! The services that this daemon calls, and the daemons subscribed to services here.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::model::{ServiceName, TimeMs};

/// Time after its last call at which a service is dropped, in milliseconds.
const INTEREST_LIFE_MS: u64 = 3_600_000;
/// Time after its last request at which a subscriber is dropped, in milliseconds.
const SUBSCRIPTION_LIFE_MS: u64 = 60_000;

/// Services whose workers in other zones this daemon tracks, and the subscribers by service.
#[derive(Debug, Default)]
pub struct Interests {
    called: BTreeMap<ServiceName, TimeMs>,
    subscribers: HashMap<ServiceName, HashMap<SocketAddr, TimeMs>>,
}

impl Interests {
    /// Records a call of a service; true if the service was not tracked before.
    pub fn called(&mut self, now: TimeMs, service: &ServiceName) -> bool {
        self.called.insert(service.clone(), now).is_none()
    }

    /// Whether this daemon has called a service recently.
    pub fn wants(&self, service: &ServiceName) -> bool {
        self.called.contains_key(service)
    }

    /// Services called recently, by name.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.called.keys()
    }

    /// Subscribes a daemon to a service, or renews its subscription.
    pub fn subscribe(&mut self, now: TimeMs, service: &ServiceName, subscriber: SocketAddr) {
        let subscribers = self.subscribers.entry(service.clone()).or_default();
        subscribers.insert(subscriber, now);
    }

    /// Control addresses of the daemons subscribed to a service.
    pub fn subscribers(&self, service: &ServiceName) -> impl Iterator<Item = SocketAddr> {
        let subscribers = self.subscribers.get(service);
        subscribers
            .into_iter()
            .flat_map(|subscribers| subscribers.keys().copied())
    }

    /// Drops expired services and subscribers.
    pub fn expire(&mut self, now: TimeMs) {
        self.called
            .retain(|_, called| now.since_ms(*called) < INTEREST_LIFE_MS);
        self.subscribers.retain(|_, subscribers| {
            subscribers.retain(|_, asked| now.since_ms(*asked) < SUBSCRIPTION_LIFE_MS);
            !subscribers.is_empty()
        });
    }
}
