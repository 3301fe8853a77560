//! The services that this daemon calls, and the daemons subscribed to services here.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::model::{ServiceName, TimeMs};

/// Time after its last call at which a service is dropped, in milliseconds.
const INTEREST_TTL_MS: u64 = 3_600_000;
/// Time after its last request at which a subscriber is dropped, in milliseconds.
const SUBSCRIPTION_TTL_MS: u64 = 60_000;

/// Services whose workers in other zones this daemon tracks, and the subscribers by service.
#[derive(Debug, Default)]
pub struct Interests {
    last_called: BTreeMap<ServiceName, TimeMs>,
    subscribers: HashMap<ServiceName, HashMap<SocketAddr, TimeMs>>,
}

impl Interests {
    /// Records a call of a service; true if the service was not tracked before.
    pub fn record_call(&mut self, now: TimeMs, service: &ServiceName) -> bool {
        self.last_called.insert(service.clone(), now).is_none()
    }

    /// Whether this daemon has called a service recently.
    pub fn is_tracked(&self, service: &ServiceName) -> bool {
        self.last_called.contains_key(service)
    }

    /// Services called recently, by name.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.last_called.keys()
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
        self.last_called
            .retain(|_, last_called| now.since_ms(*last_called) < INTEREST_TTL_MS);
        self.subscribers.retain(|_, subscribers| {
            subscribers.retain(|_, last_asked| now.since_ms(*last_asked) < SUBSCRIPTION_TTL_MS);
            !subscribers.is_empty()
        });
    }
}
