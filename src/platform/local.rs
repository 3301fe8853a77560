//! HTTP endpoints for this VM: heartbeats and deregistration of the backend server, and the
//! readiness check.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;

use crate::decide::relay::Heartbeat;
use crate::model::ServiceName;
use crate::net::daemon::unix_ms;
use crate::net::relay::RelayBody;
use crate::net::relay::hop::empty_response;
use crate::net::relay::state::{Relay, Stage, seconds_to_ms};

/// Path of the backend server's calls; the query parameter `call` selects one.
const CALL_PATH: &str = "/rpc";
const HEARTBEAT_CALL: &str = "instances.heartbeat";
const DEREGISTER_CALL: &str = "instances.deregister";
const READY_PATH: &str = "/ready";
/// Maximum size of the body of a call, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

#[derive(Debug, Deserialize)]
struct WireHeartbeat {
    address: String,
    info: WireInfo,
    status: WireStatus,
    /// Start of the backend process, in milliseconds since the Unix epoch.
    #[serde(default)]
    born: u64,
}

#[derive(Debug, Deserialize)]
struct WireInfo {
    service: String,
    slots: u32,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireStatus {
    state: WireState,
    seq: u64,
    /// Remaining time of the slow phase after its start, in seconds.
    #[serde(default)]
    cold_remaining_s: f64,
}

#[derive(Debug, Default, Deserialize)]
struct WireDeregistration {
    /// Start of the backend process, in milliseconds since the Unix epoch.
    born: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

/// Handles heartbeats and deregistration of the backend server.
pub async fn backend(relay: Arc<Relay>, request: Request<Incoming>) -> Response<RelayBody> {
    if request.method() != Method::POST || request.uri().path() != CALL_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let query = request.uri().query().unwrap_or_default();
    let instance_id = query_parameter(query, "of").unwrap_or_default().to_owned();
    match query_parameter(query, "call") {
        Some(HEARTBEAT_CALL) => heartbeat(&relay, instance_id, request).await,
        Some(DEREGISTER_CALL) => deregistration(&relay, &instance_id, request).await,
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, String> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    match body.collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(error.to_string()),
    }
}

async fn deregistration(
    relay: &Relay,
    instance: &str,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let body = match read_body(request).await {
        Ok(body) => body,
        Err(error) => return malformed(instance, &error),
    };
    // The body is optional.
    let wire: WireDeregistration = match body.is_empty() {
        true => WireDeregistration::default(),
        false => match serde_json::from_slice(&body) {
            Ok(wire) => wire,
            Err(error) => return malformed(instance, &error.to_string()),
        },
    };
    let is_news = relay.record_deregistration(instance, wire.born);
    spdlog::info!("the backend server has deregistered", kv: { instance, is_news: });
    acknowledged()
}

async fn heartbeat(
    relay: &Relay,
    instance: String,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let body = match read_body(request).await {
        Ok(body) => body,
        Err(error) => return malformed(&instance, &error),
    };
    let wire: WireHeartbeat = match serde_json::from_slice(&body) {
        Ok(wire) => wire,
        Err(error) => return malformed(&instance, &error.to_string()),
    };
    if instance.is_empty() {
        return malformed(&instance, "no instance");
    }
    let backend = relay.settings.load().backend_address.to_string();
    if wire.address != backend {
        return malformed(&instance, &format!("{} is not on this VM", wire.address));
    }
    let heartbeat = Heartbeat {
        instance: instance.clone(),
        born_unix_ms: wire.born,
        sequence: wire.status.seq,
        service: ServiceName::from(wire.info.service.as_str()),
        slots: wire.info.slots,
        draining: wire.status.state == WireState::Draining,
        cold_ms: seconds_to_ms(wire.status.cold_remaining_s),
    };
    if let Err(field) = heartbeat.check(unix_ms()) {
        return malformed(&instance, &format!("{field} is out of range"));
    }
    let (_, is_confirmed) = relay.record_heartbeat(heartbeat);
    if is_confirmed {
        acknowledged()
    } else {
        let instance = instance.as_str();
        spdlog::info!("a heartbeat was not confirmed", kv: { instance });
        empty_response(StatusCode::CONFLICT)
    }
}

/// Answers the readiness check: 200 while the daemon serves and has a configuration, else 503.
pub async fn ready(relay: Arc<Relay>, request: Request<Incoming>) -> Response<RelayBody> {
    if request.uri().path() != READY_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let is_ready = *relay.stage.borrow() == Stage::Serving && relay.config_version() > 0;
    empty_response(if is_ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    })
}

fn acknowledged() -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::Full("{}".into()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn malformed(instance: &str, problem: &str) -> Response<RelayBody> {
    spdlog::warn!("a call of the backend server was rejected", kv: { instance, problem });
    empty_response(StatusCode::BAD_REQUEST)
}

/// Returns the value of a query parameter without percent-decoding it.
pub fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}
