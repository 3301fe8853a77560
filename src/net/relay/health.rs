//! Asks a backend server that was restored after a restart whether it is ready, so that it need not wait
//! for its next heartbeat.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};

use super::state::Relay;
use crate::decide::relay::MemberState;
use crate::net::http::{self, HttpClient};

/// How long after the start a backend server may be restored, in milliseconds.
const STARTUP_MS: u64 = 5_000;
/// Pause until it is restored and its health path is known, in milliseconds.
const POLL_MS: u64 = 50;
/// Timeout of one health check, in milliseconds.
const TIMEOUT_MS: u64 = 500;
/// Pause after a health check without success, in milliseconds.
const RETRY_MS: u64 = 200;
/// Most health checks after a start. A backend server that does not answer them is used from its next
/// heartbeat on.
const MAX_CHECKS: u32 = 5;

/// Checks the health of a restored backend server until it is known to be ready or is heard; returns some
/// seconds after the start at the latest.
pub async fn check_restored(relay: Arc<Relay>) {
    let client = http::client(0);
    let mut checks = 0;
    while checks < MAX_CHECKS && relay.clock.now().since_ms(relay.started) < STARTUP_MS {
        let pause_ms = match next_check(&relay) {
            NextCheck::Never => return,
            NextCheck::NotYet => POLL_MS,
            NextCheck::Now { instance, uri } => {
                let address = relay.settings.load().backend_address;
                checks += 1;
                if is_ready(&relay, &client, address, &instance, &uri).await {
                    relay.record_health(&instance);
                    return;
                }
                RETRY_MS
            }
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

enum NextCheck {
    Now {
        instance: String,
        uri: String,
    },
    /// Not restored yet, or its health path is not known.
    NotYet,
    /// Heard or leaving.
    Never,
}

fn next_check(relay: &Relay) -> NextCheck {
    let tables = relay.tables();
    let Some(worker) = &tables.worker else {
        return NextCheck::NotYet;
    };
    if !worker.is_unheard() || worker.state != MemberState::Ready {
        return NextCheck::Never;
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

/// Whether the backend server at the address is this instance and says that it is ready.
async fn is_ready(
    relay: &Relay,
    client: &HttpClient,
    address: SocketAddr,
    instance: &str,
    uri: &str,
) -> bool {
    let request = match Request::get(uri).body(Full::new(Bytes::new())) {
        Ok(request) => request,
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("a health path cannot be used", kv: { uri, error });
            return false;
        }
    };
    match http::exchange(client, address, request, TIMEOUT_MS).await {
        Ok((status, headers, _)) => {
            let answered = headers.get(&relay.header_names.instance);
            let is_same =
                answered.is_some_and(|answered| answered.as_bytes() == instance.as_bytes());
            let is_ready =
                status == StatusCode::OK && is_same && !relay.header_names.is_leaving(&headers);
            let status = status.as_u16();
            spdlog::info!("the restored backend server was asked for its health", kv: {
                instance, status, is_same:, is_ready:
            });
            is_ready
        }
        Err(error) => {
            let error = error.to_string();
            spdlog::info!("the restored backend server does not answer a health check", kv: {
                instance, error
            });
            false
        }
    }
}
