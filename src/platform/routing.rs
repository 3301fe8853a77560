//! Decodes and validates the configuration that operators write.

use std::collections::HashSet;

use serde::Deserialize;

use crate::decide::relay::{Limits, Part, Route, RouteTable, ServiceRules};
use crate::model::ServiceName;
use crate::net::relay::state::millis;

/// Prefix of a version number.
const VERSION_PREFIX: char = 'r';

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireConfig {
    version: String,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: WireLimits,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: WireKind,
    #[serde(rename = "timeoutS")]
    timeout_s: Option<f64>,
    /// Latency target, in seconds.
    #[serde(rename = "targetLatencyS")]
    objective_s: f64,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    /// Weighted services; if there are any, `service` is ignored.
    #[serde(rename = "weightedClusters", default)]
    parts: Vec<WirePart>,
    #[serde(default = "one")]
    max_attempts: u32,
}

/// Whether a request is idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireKind {
    Safe,
    Unsafe,
}

#[derive(Debug, Deserialize)]
struct WirePart {
    service: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireService {
    name: String,
    max_connections: u32,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: u64,
    #[serde(rename = "headerTimeoutS")]
    header_timeout_s: f64,
    #[serde(rename = "idleTimeoutS")]
    idle_timeout_s: f64,
}

fn one() -> u32 {
    1
}

/// Decodes a configuration record; the error describes the first problem found.
pub fn decode(raw: &[u8]) -> Result<RouteTable, String> {
    let wire: WireConfig = serde_json::from_slice(raw).map_err(|error| error.to_string())?;
    let number = wire.version.strip_prefix(VERSION_PREFIX);
    let version = number.and_then(|number| number.parse().ok());
    let version = version.ok_or_else(|| format!("version {:?} is not r<number>", wire.version))?;
    let services: Vec<ServiceRules> = wire.services.iter().map(service).collect();
    let names: HashSet<&str> = wire.services.iter().map(|service| &*service.name).collect();
    let mut places = HashSet::new();
    for route in &wire.routes {
        check(route, &names)?;
        if !places.insert((&route.host, &route.path_prefix)) {
            return Err(format!(
                "route {:?} repeats another's host and prefix",
                route.name
            ));
        }
    }
    let limits = limits(&wire.limits)?;
    let routes = wire.routes.into_iter().map(route).collect();
    Ok(RouteTable::new(version, routes, services, limits))
}

fn check(route: &WireRoute, services: &HashSet<&str>) -> Result<(), String> {
    let wrong = |problem: &str| Err(format!("route {:?}: {problem}", route.name));
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return wrong("the path prefix does not begin and end with a slash");
    }
    if route.timeout_s.is_some_and(|timeout_s| timeout_s <= 0.0) || route.objective_s <= 0.0 {
        return wrong("the timeout or the latency target is not above zero");
    }
    let named = route.parts.iter().map(|part| &part.service);
    let mut named = named.chain(&route.service);
    if route.parts.is_empty() && route.service.is_none() {
        return wrong("no service is given");
    }
    if let Some(unknown) = named.find(|name| !services.contains(name.as_str())) {
        return wrong(&format!("service {unknown:?} is not defined"));
    }
    let total: f64 = route.parts.iter().map(|part| part.weight).sum();
    let is_negative = route.parts.iter().any(|part| part.weight < 0.0);
    if !route.parts.is_empty() && (is_negative || total <= 0.0) {
        return wrong("a weight is negative or all weights are zero");
    }
    Ok(())
}

fn route(wire: WireRoute) -> Route {
    let mut parts: Vec<Part> = wire.parts.into_iter().map(part).collect();
    if let Some(service) = wire.service
        && parts.is_empty()
    {
        parts.push(Part {
            service: service.as_str().into(),
            weight: 1.0,
        });
    }
    let mut route = Route::new(
        &wire.name,
        &wire.host.to_ascii_lowercase(),
        &wire.path_prefix,
        "",
    );
    route.parts = parts;
    route.idempotent = wire.kind == WireKind::Safe;
    route.timeout_ms = wire.timeout_s.map(millis);
    route.objective_ms = millis(wire.objective_s);
    route.priority = wire.priority;
    route.max_attempts = wire.max_attempts.max(1);
    route
}

fn part(wire: WirePart) -> Part {
    Part {
        service: ServiceName::from(wire.service.as_str()),
        weight: wire.weight,
    }
}

fn service(wire: &WireService) -> ServiceRules {
    ServiceRules {
        name: ServiceName::from(wire.name.as_str()),
        max_connections: wire.max_connections,
    }
}

fn limits(wire: &WireLimits) -> Result<Limits, String> {
    if wire.header_timeout_s <= 0.0 || wire.idle_timeout_s <= 0.0 {
        return Err("a timeout in the limits is not above zero".to_owned());
    }
    Ok(Limits {
        header_bytes: wire.max_header_bytes,
        body_bytes: wire.max_body_bytes,
        header_ms: millis(wire.header_timeout_s),
        idle_ms: millis(wire.idle_timeout_s),
    })
}
