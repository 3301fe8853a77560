//! Decodes and validates the configuration that operators write.

use std::collections::HashSet;

use serde::Deserialize;
use serde_json::Value;

use super::tenants;
use crate::decide::relay::{Limits, Route, RouteTable, ServiceConfig, WeightedService};
use crate::model::ServiceName;
use crate::net::relay::state::seconds_to_ms;

/// Prefix of a version number.
const VERSION_PREFIX: char = 'r';

/// Not `Debug`, since it contains API keys.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireConfig {
    version: String,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    limits: WireLimits,
    /// Organisations; absent if requests need no API key.
    tenants: Option<Value>,
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
    /// Latency objective, in seconds.
    #[serde(rename = "targetLatencyS")]
    objective_s: f64,
    #[serde(default)]
    priority: u8,
    service: Option<String>,
    /// Weighted services; if there are any, `service` is ignored.
    #[serde(rename = "weightedClusters", default)]
    targets: Vec<WireWeightedService>,
    #[serde(default = "one")]
    max_attempts: u32,
    /// Whether requests need no API key.
    #[serde(default)]
    public: bool,
}

/// Whether a request is idempotent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireKind {
    Safe,
    Unsafe,
}

#[derive(Debug, Deserialize)]
struct WireWeightedService {
    service: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireService {
    name: String,
    max_connections: u32,
    health_path: Option<String>,
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
    let digits = wire.version.strip_prefix(VERSION_PREFIX);
    let version = digits.and_then(|digits| digits.parse().ok());
    let version = version.ok_or_else(|| format!("version {:?} is not r<number>", wire.version))?;
    let services: Vec<ServiceConfig> = wire.services.iter().map(service).collect();
    let names: HashSet<&str> = wire.services.iter().map(|service| &*service.name).collect();
    let mut prefixes = HashSet::new();
    for route in &wire.routes {
        validate(route, &names)?;
        if !prefixes.insert((&route.host, &route.path_prefix)) {
            return Err(format!(
                "route {:?} repeats another's host and prefix",
                route.name
            ));
        }
    }
    let limits = limits(&wire.limits)?;
    let organisations = wire.tenants.as_ref().map(tenants::decode).transpose()?;
    let routes = wire.routes.into_iter().map(route).collect();
    let mut table = RouteTable::new(version, routes, services, limits);
    table.organisations = organisations;
    Ok(table)
}

fn validate(route: &WireRoute, services: &HashSet<&str>) -> Result<(), String> {
    let invalid = |problem: &str| Err(format!("route {:?}: {problem}", route.name));
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return invalid("the path prefix does not begin and end with a slash");
    }
    if route.timeout_s.is_some_and(|timeout_s| timeout_s <= 0.0) || route.objective_s <= 0.0 {
        return invalid("the timeout or the latency objective is not above zero");
    }
    let service_names = route.targets.iter().map(|target| &target.service);
    let mut service_names = service_names.chain(&route.service);
    if route.targets.is_empty() && route.service.is_none() {
        return invalid("no service is given");
    }
    if let Some(unknown) = service_names.find(|name| !services.contains(name.as_str())) {
        return invalid(&format!("service {unknown:?} is not defined"));
    }
    let total: f64 = route.targets.iter().map(|target| target.weight).sum();
    let is_negative = route.targets.iter().any(|target| target.weight < 0.0);
    if !route.targets.is_empty() && (is_negative || total <= 0.0) {
        return invalid("a weight is negative or all weights are zero");
    }
    Ok(())
}

fn route(wire: WireRoute) -> Route {
    let mut targets: Vec<WeightedService> = wire.targets.into_iter().map(target).collect();
    if let Some(service) = wire.service
        && targets.is_empty()
    {
        targets.push(WeightedService {
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
    route.targets = targets;
    route.idempotent = wire.kind == WireKind::Safe;
    route.timeout_ms = wire.timeout_s.map(seconds_to_ms);
    route.objective_ms = seconds_to_ms(wire.objective_s);
    route.priority = wire.priority;
    route.is_public = wire.public;
    route.max_attempts = wire.max_attempts.max(1);
    route
}

fn target(wire: WireWeightedService) -> WeightedService {
    WeightedService {
        service: ServiceName::from(wire.service.as_str()),
        weight: wire.weight,
    }
}

fn service(wire: &WireService) -> ServiceConfig {
    ServiceConfig {
        name: ServiceName::from(wire.name.as_str()),
        max_connections: wire.max_connections,
        health_path: wire.health_path.clone(),
    }
}

fn limits(wire: &WireLimits) -> Result<Limits, String> {
    if wire.header_timeout_s <= 0.0 || wire.idle_timeout_s <= 0.0 {
        return Err("a timeout in the limits is not above zero".to_owned());
    }
    Ok(Limits {
        header_bytes: wire.max_header_bytes,
        body_bytes: wire.max_body_bytes,
        header_ms: seconds_to_ms(wire.header_timeout_s),
        idle_ms: seconds_to_ms(wire.idle_timeout_s),
    })
}
