//! Exchange of configuration and member records between daemons, while the log service is
//! unavailable or when a reply shows that a peer has a newer configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, Uri};
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};

use super::body::{PooledConnection, RelayBody};
use super::follow::ConfigSource;
use super::hop::empty_response;
use super::state::Relay;
use crate::decide::relay::Member;

/// Path of the query for the configuration and the member records of a daemon.
pub const STATE_PATH: &str = "/burdockhall/state";
/// Path to which a daemon pushes its own member record.
pub const RECORD_PATH: &str = "/burdockhall/record";
/// Poll interval while the log service is unavailable, in milliseconds.
const POLL_MS: u64 = 500;
/// Shortest time between two polls, in milliseconds.
const MIN_POLL_MS: u64 = 100;
/// Timeout of an exchange with a peer, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;
/// Number of randomly chosen peers that a changed record is pushed to.
const PUSH_FANOUT: usize = 24;
/// Largest state or record that is read, in bytes.
const MAX_STATE_BYTES: usize = 8 * 1024 * 1024;
/// How long an idle connection to a peer is kept, in milliseconds.
const KEEP_MS: u64 = 10_000;

#[derive(Debug, Serialize, Deserialize)]
struct State {
    config_version: u64,
    /// The configuration's record as text; absent if this daemon has no configuration.
    config: Option<String>,
    members: Vec<Member>,
}

/// Answers with the configuration and member records that this daemon knows.
pub fn answer_state(relay: &Relay) -> Response<RelayBody> {
    let configuration = relay.configuration.load();
    let config = configuration.as_ref().map(|known| known.raw.clone());
    let config = config.and_then(|raw| String::from_utf8(raw.to_vec()).ok());
    let members = relay
        .tables()
        .directory
        .all()
        .map(|known| known.member.clone())
        .collect();
    let state = State {
        config_version: relay.config_version(),
        config,
        members,
    };
    match serde_json::to_vec(&state) {
        Ok(bytes) => Response::new(RelayBody::Full(bytes.into())),
        Err(error) => {
            let error = error.to_string();
            spdlog::error!("the state cannot be encoded", kv: { error });
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Merges the member record that a peer has pushed.
pub async fn receive_record(relay: &Relay, request: Request<Incoming>) -> Response<RelayBody> {
    let body = Limited::new(request.into_body(), MAX_STATE_BYTES)
        .collect()
        .await;
    let member = body
        .ok()
        .and_then(|whole| serde_json::from_slice::<Member>(&whole.to_bytes()).ok());
    match member {
        Some(member) => {
            relay.merge_members(vec![member], "peer");
            empty_response(StatusCode::OK)
        }
        None => empty_response(StatusCode::BAD_REQUEST),
    }
}

/// Polls random peers while the log service is unavailable, and when a peer has a newer
/// configuration.
pub async fn poll_peers(relay: Arc<Relay>, source: ConfigSource) {
    loop {
        let woken = relay.peer_poll_needed.notified();
        if relay.log_unavailable.load(Ordering::Relaxed) {
            let _ = tokio::time::timeout(Duration::from_millis(POLL_MS), woken).await;
        } else {
            woken.await;
        }
        let peer = {
            let mut tables = relay.tables();
            let peers = tables.directory.peers();
            peers.choose(&mut tables.rng).copied()
        };
        if let Some(peer) = peer {
            poll_peer(&relay, peer, source).await;
        }
        tokio::time::sleep(Duration::from_millis(MIN_POLL_MS)).await;
    }
}

async fn poll_peer(relay: &Arc<Relay>, peer: SocketAddr, source: ConfigSource) {
    let mut request = Request::new(RelayBody::Empty);
    *request.uri_mut() = Uri::from_static(STATE_PATH);
    let Some(bytes) = exchange(relay, peer, request).await else {
        return;
    };
    match serde_json::from_slice::<State>(&bytes) {
        Ok(state) => {
            if state.config_version > relay.config_version()
                && let Some(config) = state.config
            {
                source.install(relay, config.as_bytes(), "peer");
            }
            relay.merge_members(state.members, "peer");
        }
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("the state of a peer cannot be decoded", kv: { peer:, error });
        }
    }
}

/// Pushes this daemon's changed record to random peers while the log service is unavailable.
pub async fn push_record(relay: &Arc<Relay>, member: &Member) {
    let Ok(record) = serde_json::to_vec(member) else {
        return;
    };
    let mut peers = {
        let mut tables = relay.tables();
        let mut peers = tables.directory.peers();
        peers.shuffle(&mut tables.rng);
        peers
    };
    peers.truncate(PUSH_FANOUT);
    for peer in peers {
        let (relay, record) = (Arc::clone(relay), record.clone());
        tokio::spawn(async move {
            let mut request = Request::new(RelayBody::Full(record.into()));
            *request.method_mut() = Method::POST;
            *request.uri_mut() = Uri::from_static(RECORD_PATH);
            exchange(&relay, peer, request).await;
        });
    }
}

/// The body of a peer's answer; `None` if the exchange fails or times out.
async fn exchange(
    relay: &Arc<Relay>,
    peer: SocketAddr,
    request: Request<RelayBody>,
) -> Option<Vec<u8>> {
    let exchange = async {
        let exchanged = relay.pool.exchange(peer, request, KEEP_MS).await;
        let exchanged = exchanged.map_err(|error| error.to_string())?;
        let connection = PooledConnection {
            pool: Arc::clone(&relay.pool),
            key: peer,
            sender: exchanged.sender,
            keep_ms: KEEP_MS,
        };
        let body = RelayBody::answer(exchanged.response.into_body(), Some(connection));
        let whole = Limited::new(body, MAX_STATE_BYTES).collect().await;
        let whole = whole.map_err(|error| error.to_string())?;
        Ok::<_, String>(whole.to_bytes().to_vec())
    };
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let answered = tokio::time::timeout(timeout, exchange).await;
    let error = match answered {
        Ok(Ok(bytes)) => return Some(bytes),
        Ok(Err(error)) => error,
        Err(_) => format!("no answer within {TIMEOUT_MS} ms"),
    };
    spdlog::info!("a peer does not answer", kv: { peer:, error });
    None
}
