//! The compiled route table: replaced as a whole when a newer configuration arrives.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::model::ServiceName;

/// Step of the low-discrepancy sequence: the fractional part of the golden ratio.
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;

/// A service that takes part of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the other parts.
    pub weight: f64,
}

/// One route.
#[derive(Debug)]
pub struct Route {
    /// Name, unique within a table.
    pub name: ServiceName,
    /// Host that the request names, lower case and without a port.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// The services, at least one.
    pub parts: Vec<Part>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time until the final answer, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// Latency objective, in milliseconds.
    pub objective_ms: u64,
    /// Rank; 0 is shed last.
    pub priority: u8,
    /// Most workers that one request may be sent to.
    pub max_attempts: u32,
    /// Requests that have been distributed among the parts.
    distributed: AtomicU64,
}

impl Route {
    /// A route to one service, idempotent, with two attempts.
    pub fn new(name: &str, host: &str, path_prefix: &str, service: &str) -> Route {
        Route {
            name: name.into(),
            host: host.to_owned(),
            path_prefix: path_prefix.to_owned(),
            parts: vec![Part {
                service: service.into(),
                weight: 1.0,
            }],
            idempotent: true,
            timeout_ms: None,
            objective_ms: 1_000,
            priority: 0,
            max_attempts: 2,
            distributed: AtomicU64::new(0),
        }
    }

    /// The service of the next request, so that any run of requests comes close to the weights.
    ///
    /// `phase` in 0..1 differs between daemons, so that they do not move in step.
    pub fn next_service(&self, phase: f64) -> &ServiceName {
        let total: f64 = self.parts.iter().map(|part| part.weight).sum();
        let number = self.distributed.fetch_add(1, Ordering::Relaxed);
        let mut point = (phase + number as f64 * GOLDEN_STEP).fract() * total;
        for part in &self.parts {
            if point < part.weight {
                return &part.service;
            }
            point -= part.weight;
        }
        &self.parts[self.parts.len() - 1].service
    }
}

/// What the configuration says of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRules {
    /// The service.
    pub name: ServiceName,
    /// Most connections that one worker accepts, from all callers together.
    pub max_connections: u32,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Longest time for a head, in milliseconds.
    pub header_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

/// All routes of one version of the configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The services.
    pub services: Vec<ServiceRules>,
    /// The bounds on callers.
    pub limits: Limits,
    routes: Vec<Route>,
    by_host: HashMap<String, HashMap<String, usize>>,
}

impl RouteTable {
    /// Compiles the routes for look-ups.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServiceRules>,
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
            routes,
            by_host,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`. The time depends on
    /// the path's length, not on the number of routes.
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

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

/// A host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|digit| digit.is_ascii_digit()) => name,
        _ => host,
    }
}
