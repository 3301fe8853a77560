//! The versions of the configuration that a run publishes.

use serde_json::{Value, json};

use crate::fleet::SERVICES;
use crate::{changes, keys};

/// What versions of the configuration hold beside the usual.
#[derive(Debug, Clone, Copy, Default)]
pub struct Content {
    /// Organisations with API keys.
    pub has_keys: bool,
    /// Routes that move and are dropped, and other limits.
    pub has_changes: bool,
}

/// Returns a version of the configuration. Each version adds a route `/shows/VERSION/`, by which
/// [`crate::watch_configurations`] tells whether a host applies it.
pub fn record(version: usize, content: Content) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "calls.example", "pathPrefix": prefix, "kind": kind,
            "timeoutS": 2.5, "targetLatencyS": 0.5, "priority": 0, "service": service,
            "maxAttempts": 2, "public": name.starts_with("shows-"),
        })
    };
    let mut routes = vec![
        route("safe-a", "/safe/a/", "safe", "a"),
        route("safe-b", "/safe/b/", "safe", "b"),
        route("once-a", "/once/a/", "unsafe", "a"),
        route("once-b", "/once/b/", "unsafe", "b"),
    ];
    for shown_version in 1..=version {
        let name = format!("shows-{shown_version}");
        routes.push(route(
            &name,
            &format!("/shows/{shown_version}/"),
            "safe",
            "a",
        ));
    }
    let service =
        |name: &str| json!({ "name": name, "healthPath": "/healthz", "maxConnections": 500 });
    let mut record = json!({
        "version": format!("r{version}"), "routes": routes,
        "services": SERVICES.map(service),
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304,
            "headerTimeoutS": 3, "idleTimeoutS": 15 },
    });
    if content.has_changes {
        changes::extend(&mut record, version);
    }
    if content.has_keys {
        record["tenants"] = keys::organisations(version);
    }
    record
}
