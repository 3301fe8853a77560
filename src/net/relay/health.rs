//! Asks a backend server that was known before the start of this daemon, or is heard of soon after it,
//! whether it is ready: its first heartbeats may have been made before a leaving that the daemon process
//! before this one has confirmed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use super::state::Relay;
use crate::decide::relay::{MAX_HEARTBEAT_DELAY_MS, MemberState};
use crate::net::http::{self, HttpClient};

/// Longest time until it is found that a check is due, in milliseconds.
const POLL_MS: u64 = 250;
/// Timeout of one health check, in milliseconds.
const TIMEOUT_MS: u64 = 500;
/// Pause after a health check that does not show readiness, in milliseconds: of the first ones, and of
/// those after [`QUICK_RETRIES`].
const RETRY_MS: (u64, u64) = (200, 1_000);
/// Number of such checks in a row that are repeated quickly.
const QUICK_RETRIES: u32 = 5;

/// Checks the health of the backend server until it is proven that it had not left before the start. A
/// heartbeat proves it at the latest from [`MAX_HEARTBEAT_DELAY_MS`] on, when this returns.
pub async fn check_readiness(relay: Arc<Relay>) {
    let client = http::client(0);
    let mut retries = 0;
    while relay.clock.now().since_ms(relay.started) < MAX_HEARTBEAT_DELAY_MS {
        let (instance, uri) = match next_check(&relay) {
            NextCheck::Never => return,
            NextCheck::NotYet => {
                wait_for_change(&relay, POLL_MS).await;
                continue;
            }
            NextCheck::Now { instance, uri } => (instance, uri),
        };
        let asked = relay.clock.now();
        let health = ask(&relay, &client, &instance, &uri).await;
        if health != Health::Unknown {
            relay.record_health(&instance, asked, health == Health::Ready);
        }
        if health == Health::Leaving {
            relay.record_stated_leaving(&instance);
        }
        if health == Health::Ready {
            retries = 0;
            continue;
        }
        retries += 1;
        let (first_ms, later_ms) = RETRY_MS;
        let pause_ms = match retries {
            ..=QUICK_RETRIES => first_ms,
            _ => later_ms,
        };
        wait_for_change(&relay, pause_ms).await;
    }
}

/// Waits until the backend server is heard of or its health path becomes known, for `longest_ms` at most.
async fn wait_for_change(relay: &Relay, longest_ms: u64) {
    let changed = relay.readiness_check_needed.notified();
    let _ = tokio::time::timeout(Duration::from_millis(longest_ms), changed).await;
}

/// What a health check shows of one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Health {
    Ready,
    /// It is not ready, or another instance has answered.
    NotReady,
    /// It states that it is leaving.
    Leaving,
    /// There was no answer, or the check was rejected as any request may be.
    Unknown,
}

enum NextCheck {
    Now {
        instance: String,
        uri: String,
    },
    /// It is not known, is leaving or has been checked lately, or its health path is not known.
    NotYet,
    /// It has not left before the start.
    Never,
}

fn next_check(relay: &Relay) -> NextCheck {
    let now = relay.clock.now();
    let tables = relay.tables();
    let Some(worker) = &tables.worker else {
        return NextCheck::NotYet;
    };
    if worker.readiness.is_proven() {
        return NextCheck::Never;
    }
    if worker.state != MemberState::Ready || !worker.readiness.needs_check(now) {
        return NextCheck::NotYet;
    }
    let configuration = relay.configuration.load();
    let service = &worker.heartbeat.service;
    let path = configuration
        .as_ref()
        .and_then(|known| known.table.health_path(service));
    match path {
        Some(path) => NextCheck::Now {
            instance: worker.heartbeat.instance.clone(),
            uri: format!("http://{}{path}", relay.settings.load().backend_address),
        },
        None => NextCheck::NotYet,
    }
}

/// Asks the backend server beside this daemon whether it is this instance and ready.
async fn ask(relay: &Relay, client: &HttpClient, instance: &str, uri: &str) -> Health {
    let request = match Request::get(uri).body(Full::new(Bytes::new())) {
        Ok(request) => request,
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("a health path cannot be used", kv: { uri, error });
            return Health::Unknown;
        }
    };
    let address = relay.settings.load().backend_address;
    let (status, headers, _) = match http::exchange(client, address, request, TIMEOUT_MS).await {
        Ok(answer) => answer,
        Err(error) => {
            let error = error.to_string();
            spdlog::info!("the backend server does not answer a health check", kv: {
                instance, error
            });
            return Health::Unknown;
        }
    };
    let names = &relay.header_names;
    let answered = headers.get(&names.instance);
    let is_same = answered.is_some_and(|answered| answered.as_bytes() == instance.as_bytes());
    let health = match status {
        _ if is_same && names.is_leaving(&headers) => Health::Leaving,
        StatusCode::OK if is_same => Health::Ready,
        _ if headers.contains_key(&names.not_run) => Health::Unknown,
        _ => Health::NotReady,
    };
    log_check(instance, status, is_same, health.into());
    health
}

fn log_check(instance: &str, status: StatusCode, is_same: bool, health: &'static str) {
    let status = status.as_u16();
    spdlog::info!("the backend server was asked for its health", kv: {
        instance, status, is_same:, health
    });
}
