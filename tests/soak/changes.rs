//! Versions of the configuration that move and drop a route and change the header limit, and callers
//! that keep their connections over the changes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use serde_json::{Value, json};
use strum::{EnumIter, IntoEnumIterator};

use crate::callers::{CallerBody, reuse_or_connect};
use crate::checks::{RECORDING_DELAY, is_undisturbed};
use crate::fleet::{Fleet, History, SERVICES};
use crate::{CONFIG_PROPAGATION, STABILIZATION};

/// Begins the ids of the requests that these callers send.
pub const ID_PREFIX: &str = "change-";
const PAUSE: Duration = Duration::from_millis(120);
const TIMEOUT: Duration = Duration::from_secs(3);
/// Size of a head between the two limits, in bytes.
const LONG_HEAD_BYTES: usize = 30_000;

/// What a version changes and a request shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
enum Shown {
    MovedRoute,
    DroppedRoute,
    HeaderLimit,
}

impl Shown {
    /// The service at which a version has the request run; `None` if it refuses the request.
    fn runs_at(self, version: usize) -> Option<&'static str> {
        match self {
            Shown::MovedRoute => Some(SERVICES[version % 2]),
            Shown::DroppedRoute => (!version.is_multiple_of(3)).then_some("a"),
            Shown::HeaderLimit => (version.is_multiple_of(2)).then_some("a"),
        }
    }

    fn request(self, id: &str) -> Request<CallerBody> {
        let path = match self {
            Shown::MovedRoute => format!("/moves/echo.{id}"),
            Shown::DroppedRoute => format!("/drops/echo.{id}"),
            Shown::HeaderLimit => format!("/safe/a/echo.{id}"),
        };
        let padding_bytes = if self == Shown::HeaderLimit {
            LONG_HEAD_BYTES
        } else {
            0
        };
        Request::post(path)
            .header("host", "calls.example")
            .header("x-request-id", id)
            .header("x-deadline-ms", 2_000)
            .header("x-padding", "p".repeat(padding_bytes))
            .body(CallerBody::whole(Bytes::new()))
            .expect("cannot build the request")
    }
}

/// Adds what [`Shown`] shows to a version of the configuration.
pub fn extend(record: &mut Value, version: usize) {
    let route = |name: &str, service: &str| {
        json!({
            "name": name, "host": "calls.example", "pathPrefix": format!("/{name}/"),
            "kind": "safe", "timeoutS": 2.5, "targetLatencyS": 0.5, "priority": 0,
            "service": service, "maxAttempts": 2, "public": true,
        })
    };
    let moved = Shown::MovedRoute
        .runs_at(version)
        .map(|service| route("moves", service));
    let dropped = Shown::DroppedRoute
        .runs_at(version)
        .map(|service| route("drops", service));
    if let Some(routes) = record["routes"].as_array_mut() {
        routes.extend(moved.into_iter().chain(dropped));
    }
    let is_long_allowed = Shown::HeaderLimit.runs_at(version).is_some();
    let header_bytes = if is_long_allowed { 65_536 } else { 16_384 };
    record["limits"]["maxHeaderBytes"] = header_bytes.into();
}

/// A request and what its caller saw.
#[derive(Debug)]
pub struct Probe {
    host: usize,
    id: String,
    shown: Shown,
    sent_at: Instant,
    ended_at: Instant,
    /// `None` if there was no answer.
    status: Option<u16>,
}

/// Sends requests to one host until `stop` is set, on one connection for as long as it is open.
pub async fn probe(fleet: Arc<Fleet>, host: usize, stop: Arc<AtomicBool>) -> Vec<Probe> {
    let address = fleet.hosts[host].settings.callers_address;
    let mut probes = Vec::new();
    let mut kept: Option<SendRequest<CallerBody>> = None;
    while !stop.load(Ordering::Relaxed) {
        for shown in Shown::iter() {
            tokio::time::sleep(PAUSE).await;
            let id = format!("{ID_PREFIX}{host}-{}", probes.len());
            let Some(mut sender) = reuse_or_connect(kept.take(), address).await else {
                continue;
            };
            let sent_at = Instant::now();
            let answer = async {
                let response = sender.send_request(shown.request(&id)).await.ok()?;
                let status = response.status().as_u16();
                response.collect().await.ok()?;
                Some(status)
            };
            let status = tokio::time::timeout(TIMEOUT, answer).await.ok().flatten();
            kept = status.is_some().then_some(sender);
            probes.push(Probe {
                host,
                id,
                shown,
                sent_at,
                ended_at: Instant::now(),
                status,
            });
        }
    }
    probes
}

/// Returns one line for each request that was handled as only an older version allows, on a host
/// that was calm.
pub fn find_violations(fleet: &Fleet, probes: &[Probe], history: &History) -> Vec<String> {
    let mut ran_at = std::collections::HashMap::new();
    for host in &fleet.hosts {
        for run in host.worker.runs() {
            if let Some(id) = run.headers.get("x-request-id") {
                ran_at.insert(id.clone(), host.settings.service.clone());
            }
        }
    }
    let mut violations = Vec::new();
    for probe in probes {
        let disturbed_from = probe.sent_at - STABILIZATION - CONFIG_PROPAGATION;
        if !is_undisturbed(history, probe.host, disturbed_from, probe.ended_at) {
            continue;
        }
        let acked_before = |at: Instant| {
            let acks = history.config_acked_at.iter();
            acks.filter(|acked_at| **acked_at <= at).count()
        };
        let oldest = acked_before(probe.sent_at - CONFIG_PROPAGATION).max(1);
        let newest = acked_before(probe.ended_at + RECORDING_DELAY);
        let is_allowed = |service: Option<&str>| {
            (oldest..=newest).any(|version| probe.shown.runs_at(version) == service)
        };
        let ran_at = ran_at.get(&probe.id).map(|service| service.as_str());
        let is_refused = matches!(probe.status, Some(404 | 431));
        if (ran_at.is_some() || is_refused) && !is_allowed(ran_at) {
            violations.push(format!(
                "CONFIG: {probe:?} ran at {ran_at:?}, versions {oldest} to {newest}"
            ));
        }
    }
    eprintln!("{} requests on open connections over changes", probes.len());
    violations
}
