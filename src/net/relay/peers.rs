//! What daemons tell each other beside requests: the configuration and their records, while
//! the log service is away or a reply shows that another daemon is ahead.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, Uri};
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};

use super::body::{Lent, RelayBody};
use super::follow::ConfigSource;
use super::hop::plain;
use super::state::Relay;
use crate::decide::relay::Member;

/// Path at which a daemon tells what it knows.
pub const STATE_PATH: &str = "/burdockhall/state";
/// Path at which a daemon takes another one's record.
pub const RECORD_PATH: &str = "/burdockhall/record";
/// Time between two questions while the log service is away, in milliseconds.
const ASK_MS: u64 = 500;
/// Shortest time between two questions, in milliseconds.
const MIN_ASK_MS: u64 = 100;
/// Longest wait for an answer, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;
/// Daemons that a change is pushed to.
const PUSHED_TO: usize = 24;
/// Largest state that is read, in bytes.
const MAX_STATE_BYTES: usize = 8 * 1024 * 1024;
/// How long a connection for questions is kept unused, in milliseconds.
const KEEP_MS: u64 = 10_000;

#[derive(Debug, Serialize, Deserialize)]
struct State {
    config_version: u64,
    /// The configuration's record, as text; none if the asking daemon is not behind.
    config: Option<String>,
    members: Vec<Member>,
}

/// Answers what this daemon knows.
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
            spdlog::error!("the state cannot be written", kv: { error });
            plain(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Takes another daemon's record.
pub async fn take_record(relay: &Relay, request: Request<Incoming>) -> Response<RelayBody> {
    let body = Limited::new(request.into_body(), MAX_STATE_BYTES)
        .collect()
        .await;
    let member = body
        .ok()
        .and_then(|whole| serde_json::from_slice::<Member>(&whole.to_bytes()).ok());
    match member {
        Some(member) => {
            relay.merge_members(vec![member], "peer");
            plain(StatusCode::OK)
        }
        None => plain(StatusCode::BAD_REQUEST),
    }
}

/// Asks other daemons while the log service is away, and when one of them is ahead.
pub async fn ask_others(relay: Arc<Relay>, source: ConfigSource) {
    loop {
        let woken = relay.peer_is_newer.notified();
        if relay.log_lost.load(Ordering::Relaxed) {
            let _ = tokio::time::timeout(Duration::from_millis(ASK_MS), woken).await;
        } else {
            woken.await;
        }
        let peer = {
            let mut tables = relay.tables();
            let peers = tables.directory.peers();
            peers.choose(&mut tables.rng).copied()
        };
        if let Some(peer) = peer {
            ask(&relay, peer, source).await;
        }
        tokio::time::sleep(Duration::from_millis(MIN_ASK_MS)).await;
    }
}

async fn ask(relay: &Arc<Relay>, peer: SocketAddr, source: ConfigSource) {
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
            spdlog::warn!("a peer's state cannot be read", kv: { peer:, error });
        }
    }
}

/// Tells other daemons about a change of this one, for want of the log service.
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
    peers.truncate(PUSHED_TO);
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

/// The body of a peer's answer, or nothing if there is none in time.
async fn exchange(
    relay: &Arc<Relay>,
    peer: SocketAddr,
    request: Request<RelayBody>,
) -> Option<Vec<u8>> {
    let exchange = async {
        let exchanged = relay.pool.exchange(peer, request, KEEP_MS).await;
        let exchanged = exchanged.map_err(|error| error.to_string())?;
        let lent = Lent {
            pool: Arc::clone(&relay.pool),
            key: peer,
            sender: exchanged.sender,
            keep_ms: KEEP_MS,
        };
        let body = RelayBody::answer(exchanged.response.into_body(), Some(lent));
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
