//! Route table, replaced as a whole when a newer configuration arrives.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use super::organisations::OrganisationTable;
use crate::model::ServiceName;

/// Step of the low-discrepancy sequence: the fractional part of the golden ratio.
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;

/// A service that gets part of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the weights of the route's other services.
    pub weight: f64,
}

/// Maps a host and path prefix to services.
#[derive(Debug)]
pub struct Route {
    /// Name, unique within a table.
    pub name: ServiceName,
    /// Host of the request, in lower case and without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// Weighted services, at least one.
    pub targets: Vec<WeightedService>,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Timeout of a whole request, all attempts included, in milliseconds; `None` if the
    /// configuration sets none.
    pub timeout_ms: Option<u64>,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the highest and shed last.
    pub priority: u8,
    /// Whether requests need no API key where the configuration names organisations.
    pub is_public: bool,
    /// Maximum number of attempts per request that may have run on a backend server. Attempts that
    /// were refused before they ran do not count.
    pub max_attempts: u32,
    /// Number of requests distributed so far; the index into the low-discrepancy sequence.
    distributed: AtomicU64,
}

impl Route {
    /// Creates an idempotent route of priority 0 to one service, with two attempts.
    pub fn new(name: &str, host: &str, path_prefix: &str, service: &str) -> Route {
        Route {
            name: name.into(),
            host: host.to_owned(),
            path_prefix: path_prefix.to_owned(),
            targets: vec![WeightedService {
                service: service.into(),
                weight: 1.0,
            }],
            idempotent: true,
            timeout_ms: None,
            objective_ms: 1_000,
            priority: 0,
            is_public: false,
            max_attempts: 2,
            distributed: AtomicU64::new(0),
        }
    }

    /// The time left for a request, in milliseconds, if its caller leaves it `left_ms`.
    pub fn limit_left_ms(&self, left_ms: u64) -> u64 {
        self.timeout_ms
            .map_or(left_ms, |timeout_ms| left_ms.min(timeout_ms))
    }

    /// Chooses the service of the next request, such that any run of consecutive requests is
    /// distributed close to the weights.
    ///
    /// `phase` in 0..1 differs between daemons, so that their sequences are not synchronized.
    pub fn next_service(&self, phase: f64) -> &ServiceName {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let number = self.distributed.fetch_add(1, Ordering::Relaxed);
        let mut point = (phase + number as f64 * GOLDEN_STEP).fract() * total;
        for target in &self.targets {
            if point < target.weight {
                return &target.service;
            }
            point -= target.weight;
        }
        &self.targets[self.targets.len() - 1].service
    }
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Name that routes refer to.
    pub name: ServiceName,
    /// Maximum number of connections that one worker accepts, from all callers together.
    pub max_connections: u32,
    /// Path of the backend servers' health check, if they have one.
    pub health_path: Option<String>,
}

/// Limits for callers' connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request head, in milliseconds.
    pub header_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Limits while there is no configuration.
    fn default() -> Limits {
        Limits {
            header_bytes: 64 * 1024,
            body_bytes: u64::MAX,
            header_ms: 60_000,
            idle_ms: 60_000,
        }
    }
}

/// All routes of one version of the configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// Version of the configuration; a higher one replaces a lower one.
    pub version: u64,
    /// Services that the routes refer to.
    pub services: Vec<ServiceConfig>,
    /// Limits for callers.
    pub limits: Limits,
    /// Organisations and their API keys; `None` if the configuration names none, so that no request needs
    /// a key.
    pub organisations: Option<OrganisationTable>,
    routes: Vec<Route>,
    by_host: HashMap<String, HashMap<String, usize>>,
}

impl RouteTable {
    /// Path of the health check of a service's backend servers, if it is known.
    pub fn health_path(&self, service: &ServiceName) -> Option<&str> {
        let mut services = self.services.iter();
        let service = services.find(|config| config.name == *service)?;
        service.health_path.as_deref()
    }

    /// Builds the table and its index by host and path prefix.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServiceConfig>,
        limits: Limits,
    ) -> RouteTable {
        let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.path_prefix.clone(), index);
        }
        RouteTable {
            version,
            services,
            limits,
            organisations: None,
            routes,
            by_host,
        }
    }

    /// Finds the route of `host` with the longest prefix of `path`. The cost depends on the length
    /// of the path, not on the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_name(host);
        let prefixes = match self.by_host.get(host) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(index) = prefixes.get(&path[..=slash]) {
                return Some(&self.routes[*index]);
            }
            end = slash;
        }
        None
    }

    /// All routes in the order of the configuration.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

/// Strips the port from a `Host` value.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|digit| digit.is_ascii_digit()) => name,
        _ => host,
    }
}
