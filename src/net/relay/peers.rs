//! Exchange of configuration and member records between daemons. Most daemons follow a reader of
//! the log service in their availability zone by long polls; readers exchange changes with other
//! readers while the log service is unavailable. An answer carries only what the other side lacks.
//! Readers also watch the configuration version of a reader in another zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};

use super::body::{PooledConnection, RelayBody};
use super::follow::ConfigSource;
use super::hop::empty_response;
use super::log_progress::LogPosition;
use super::state::{HeardChange, Relay};
use crate::decide::relay::Member;

/// Path of the query for the configuration and the member records of a daemon; its query part is a
/// [`StateQuery`].
pub const STATE_PATH: &str = "/burdockhall/state";
/// Path to which a daemon pushes its own member record.
pub const RECORD_PATH: &str = "/burdockhall/record";
/// Poll interval while the log service is unavailable or a newer configuration is known to exist, in
/// milliseconds.
const POLL_MS: u64 = 500;
/// Shortest time between two polls, in milliseconds.
const MIN_POLL_MS: u64 = 100;
/// How long a newer configuration may take to arrive before it is fetched, in milliseconds.
const CONFIG_DELAY_MS: u64 = 50;
/// How long a poll of a followed reader waits for changes, in milliseconds. With the margin, a
/// reader that has stopped is noticed well before a configuration must be in force.
const FOLLOW_WAIT_MS: u64 = 1_000;
/// Time after the wait in which the answer must arrive, in milliseconds.
const FOLLOW_MARGIN_MS: u64 = 300;
/// Pause between two polls of a followed reader, in milliseconds, so that one answer carries many
/// changes.
const FOLLOW_PAUSE_MS: u64 = 20;
/// Longest pause while there is no reader to follow, in milliseconds.
const NO_READER_PAUSE_MS: u64 = 300;
/// Longest time that a poll of another daemon is held, in milliseconds.
const MAX_HOLD_MS: u64 = 5_000;
/// Timeout of an exchange with a peer that does not wait, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;
/// Largest state or record that is read, in bytes.
const MAX_STATE_BYTES: usize = 8 * 1024 * 1024;
/// How long an idle connection to a peer is kept, in milliseconds.
const KEEP_MS: u64 = 10_000;

/// What the asking daemon has already, so that it is not sent again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StateQuery {
    /// Start of the answering daemon that numbered the change below.
    pub incarnation: u64,
    /// Newest change of the answering daemon that was received; 0 for none.
    pub change: u64,
    /// Digest of the asking daemon's member records.
    pub digest: u64,
    /// Configuration version of the asking daemon.
    pub config: u64,
    /// Whether the asking daemon believes that the answering one reaches the log service.
    pub reaches_log: bool,
    /// Whether only the version of the configuration is asked for, and only a newer one ends the
    /// wait.
    pub version_only: bool,
    /// How long to wait for something new, in milliseconds.
    pub wait_ms: u64,
}

impl StateQuery {
    /// Decodes the query part of a URI; what is missing or malformed counts as not known.
    pub fn decode(uri: &Uri) -> StateQuery {
        let mut decoded = StateQuery::default();
        for pair in uri.query().unwrap_or_default().split('&') {
            let Some((name, Ok(number))) = pair
                .split_once('=')
                .map(|(name, value)| (name, value.parse::<u64>()))
            else {
                continue;
            };
            match name {
                "of" => decoded.incarnation = number,
                "since" => decoded.change = number,
                "digest" => decoded.digest = number,
                "config" => decoded.config = number,
                "log" => decoded.reaches_log = number > 0,
                "version" => decoded.version_only = number > 0,
                "wait" => decoded.wait_ms = number,
                _ => {}
            }
        }
        decoded
    }

    /// Encodes the path and the query part.
    pub fn encode(&self) -> String {
        let StateQuery {
            incarnation,
            change,
            digest,
            config,
            reaches_log,
            version_only,
            wait_ms,
        } = self;
        let (log, version) = (u8::from(*reaches_log), u8::from(*version_only));
        format!(
            "{STATE_PATH}?of={incarnation}&since={change}&digest={digest}&config={config}&log={log}\
             &version={version}&wait={wait_ms}"
        )
    }
}

/// Not `Debug`, since the configuration's record contains API keys.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
struct State {
    incarnation: u64,
    /// Newest change of the answering daemon.
    change: u64,
    config_version: u64,
    /// The configuration's record as text; absent if the asking daemon's is as new.
    #[serde(skip_serializing_if = "Option::is_none")]
    config: Option<String>,
    /// Records that the asking daemon may lack.
    members: Vec<Member>,
    reaches_log: bool,
    /// Newest era of the log service that the answering daemon knows.
    era: Option<u64>,
    config_read: LogPosition,
    members_read: LogPosition,
    /// Time since the answering daemon had news of the configuration, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    config_age_ms: Option<u64>,
}

/// Answers with what the asking daemon lacks; waits for something new if it lacks nothing.
pub async fn answer_state(relay: &Relay, uri: &Uri) -> Response<RelayBody> {
    let query = StateQuery::decode(uri);
    let hold = Duration::from_millis(query.wait_ms.min(MAX_HOLD_MS));
    let until = tokio::time::Instant::now() + hold;
    loop {
        let changed = relay.state_changed.notified();
        if has_news(relay, &query) || tokio::time::timeout_at(until, changed).await.is_err() {
            break;
        }
    }
    match serde_json::to_vec(&lacking_state(relay, &query)) {
        Ok(bytes) => Response::new(RelayBody::Full(bytes.into())),
        Err(error) => {
            let error = error.to_string();
            spdlog::error!("the state cannot be encoded", kv: { error });
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn has_news(relay: &Relay, query: &StateQuery) -> bool {
    if relay.config_version() > query.config {
        return true;
    }
    if query.version_only {
        return false;
    }
    if relay.reaches_log() != query.reaches_log {
        return true;
    }
    let tables = relay.tables();
    let directory = &tables.directory;
    let has_changed =
        query.incarnation != relay.incarnation || directory.last_change() > query.change;
    has_changed && directory.digest() != query.digest
}

fn lacking_state(relay: &Relay, query: &StateQuery) -> State {
    // Read before the records, so that these are at least as new.
    let (config_read, members_read) = (relay.config_read.own(), relay.members_read.own());
    if query.version_only {
        return State {
            config_version: relay.config_version(),
            config_read,
            members_read,
            ..State::default()
        };
    }
    let configuration = relay.configuration.load();
    let newer = configuration
        .as_ref()
        .filter(|known| known.table.version > query.config);
    let config = newer.and_then(|known| String::from_utf8(known.raw.to_vec()).ok());
    let tables = relay.tables();
    let directory = &tables.directory;
    let since = if query.incarnation == relay.incarnation {
        query.change
    } else {
        0
    };
    let members = if directory.digest() == query.digest {
        Vec::new()
    } else {
        directory.changes_since(since).cloned().collect()
    };
    State {
        incarnation: relay.incarnation,
        change: directory.last_change(),
        config_version: relay.config_version(),
        config,
        members,
        reaches_log: relay.reaches_log(),
        era: *relay.log_era.borrow(),
        config_read,
        members_read,
        config_age_ms: relay.stated_config_age_ms(),
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
            if relay.is_config_behind() {
                relay.peer_poll_needed.notify_one();
            }
            empty_response(StatusCode::OK)
        }
        None => empty_response(StatusCode::BAD_REQUEST),
    }
}

/// Follows a reader of this availability zone, until the runtime ends.
pub async fn follow_reader(relay: Arc<Relay>, source: ConfigSource) {
    let mut reaches_log = false;
    let mut last_reader = None;
    loop {
        let changed = relay.state_changed.notified();
        let Some(reader) = relay.plan_reading().follows else {
            let pause = Duration::from_millis(NO_READER_PAUSE_MS);
            let _ = tokio::time::timeout(pause, changed).await;
            continue;
        };
        if last_reader.replace(reader) != Some(reader) {
            reaches_log = false;
        }
        let wait_ms = FOLLOW_WAIT_MS;
        let polled = poll_peer(&relay, reader, source, reaches_log, wait_ms).await;
        reaches_log = polled.as_ref().is_some_and(|state| state.reaches_log);
        let now = relay.clock.now();
        match polled {
            Some(_) => relay.tables().readers.answered(now, reader, reaches_log),
            None => relay.tables().readers.failed(now, reader),
        }
        tokio::time::sleep(Duration::from_millis(FOLLOW_PAUSE_MS)).await;
    }
}

/// Polls other daemons while the log service is unavailable, and while one of them has a newer
/// configuration.
pub async fn poll_peers(relay: Arc<Relay>, source: ConfigSource) {
    loop {
        let woken = relay.peer_poll_needed.notified();
        let is_unavailable = || relay.log_unavailable.load(Ordering::Relaxed);
        if is_unavailable() || relay.is_config_behind() {
            let _ = tokio::time::timeout(Duration::from_millis(POLL_MS), woken).await;
        } else {
            woken.await;
        }
        tokio::time::sleep(Duration::from_millis(CONFIG_DELAY_MS)).await;
        if !is_unavailable() && !relay.is_config_behind() {
            continue;
        }
        let peer = relay.take_config_reporter().or_else(|| {
            let now = relay.clock.now();
            let mut tables = relay.tables();
            let tables = &mut *tables;
            tables.readers.next_peer(now, &tables.directory)
        });
        if let Some(peer) = peer
            && poll_peer(&relay, peer, source, false, 0).await.is_none()
        {
            relay.tables().readers.failed(relay.clock.now(), peer);
        }
        tokio::time::sleep(Duration::from_millis(MIN_POLL_MS)).await;
    }
}

/// Asks a daemon for what this one lacks and takes it over; `None` if it does not answer.
async fn poll_peer(
    relay: &Arc<Relay>,
    peer: SocketAddr,
    source: ConfigSource,
    reaches_log: bool,
    wait_ms: u64,
) -> Option<State> {
    let query = {
        let tables = relay.tables();
        let heard = tables.heard_changes.get(&peer);
        StateQuery {
            incarnation: heard.map_or(0, |heard| heard.incarnation),
            change: heard.map_or(0, |heard| heard.change),
            digest: tables.directory.digest(),
            config: relay.config_version(),
            reaches_log,
            version_only: false,
            wait_ms,
        }
    };
    let sent = relay.clock.now();
    let mut state = query_state(relay, peer, &query).await?;
    take_over(relay, peer, source, &mut state);
    if state.reaches_log {
        let age_ms = state.config_age_ms.unwrap_or(0);
        relay.record_config_heard(sent, wait_ms, age_ms);
    }
    Some(state)
}

/// Sends a query to a daemon; `None` if it does not answer.
async fn query_state(relay: &Arc<Relay>, peer: SocketAddr, query: &StateQuery) -> Option<State> {
    let mut request = Request::new(RelayBody::Empty);
    *request.uri_mut() = query.encode().parse().ok()?;
    let timeout_ms = match query.wait_ms {
        0 => TIMEOUT_MS,
        wait_ms => wait_ms + FOLLOW_MARGIN_MS,
    };
    let bytes = exchange(relay, peer, request, timeout_ms).await?;
    match serde_json::from_slice(&bytes) {
        Ok(state) => Some(state),
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("the state of a peer cannot be decoded", kv: { peer:, error });
            None
        }
    }
}

/// Watches the configuration version of a daemon in another zone while this daemon reads the log
/// service, until the runtime ends. A newer version is fetched by [`poll_peers`] if the own read does
/// not bring it first.
pub async fn watch_other_zone(relay: Arc<Relay>) {
    let mut reads_log = relay.reads_log.subscribe();
    loop {
        // The sender lives as long as the relay, so an error means that the relay is gone.
        let _ = reads_log.wait_for(|reads_log| *reads_log).await;
        let now = relay.clock.now();
        let watched = {
            let tables = relay.tables();
            tables.readers.watches(now, &tables.directory)
        };
        let Some(peer) = watched else {
            tokio::time::sleep(Duration::from_millis(NO_READER_PAUSE_MS)).await;
            continue;
        };
        let query = StateQuery {
            config: relay.newest_known_config(),
            version_only: true,
            wait_ms: FOLLOW_WAIT_MS,
            ..StateQuery::default()
        };
        match query_state(&relay, peer, &query).await {
            Some(state) => {
                relay.tables().readers.reached(peer);
                relay.observe_config(state.config_version, Some(peer));
                relay.config_read.advance_peer(state.config_read);
                relay.members_read.advance_peer(state.members_read);
            }
            None => relay.tables().readers.failed(relay.clock.now(), peer),
        }
        tokio::time::sleep(Duration::from_millis(FOLLOW_PAUSE_MS)).await;
    }
}

fn take_over(relay: &Relay, peer: SocketAddr, source: ConfigSource, state: &mut State) {
    if state.config_version > relay.config_version()
        && let Some(config) = state.config.take()
    {
        source.install(relay, config.as_bytes(), "peer");
    }
    relay.merge_members(std::mem::take(&mut state.members), "peer");
    // The peer has read the records itself, or at another daemon.
    if state.members_read != LogPosition::default() {
        relay.knows_members.store(true, Ordering::Relaxed);
    }
    let (incarnation, change) = (state.incarnation, state.change);
    let heard = HeardChange {
        incarnation,
        change,
    };
    relay.tables().heard_changes.insert(peer, heard);
    if let Some(era) = state.era {
        relay.observe_era(era);
    }
    if *relay.reads_log.borrow() {
        // A reader notices here that its own reads hang.
        relay.config_read.advance_peer(state.config_read);
        relay.members_read.advance_peer(state.members_read);
    } else {
        relay.config_read.advance_own(state.config_read);
        relay.members_read.advance_own(state.members_read);
    }
}

/// Pushes this daemon's changed record to readers of all zones while the log service is unavailable.
pub async fn push_record(relay: &Arc<Relay>, member: &Member) {
    let targets = {
        let tables = relay.tables();
        tables
            .readers
            .spread_targets(relay.clock.now(), &tables.directory)
    };
    for (_, peer) in targets {
        push_to(relay, peer, member);
    }
}

/// Makes this daemon known to one that has refused a request and knows no configuration. That one may have
/// been started again while the log service gives no answer, and can now ask this one for its state.
pub(super) fn introduce(relay: &Arc<Relay>, peer: SocketAddr) {
    if let Some(member) = relay.own_member() {
        push_to(relay, peer, &member);
    }
}

/// Sends a member record to a daemon, in a task.
fn push_to(relay: &Arc<Relay>, peer: SocketAddr, member: &Member) {
    let record = match serde_json::to_vec(member) {
        Ok(record) => record,
        Err(error) => {
            let error = error.to_string();
            spdlog::error!("cannot encode this daemon's member record", kv: { error });
            return;
        }
    };
    let relay = Arc::clone(relay);
    tokio::spawn(async move {
        let mut request = Request::new(RelayBody::Full(record.into()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(RECORD_PATH);
        exchange(&relay, peer, request, TIMEOUT_MS).await;
    });
}

/// The body of a peer's answer; `None` if the exchange fails or times out.
pub(super) async fn exchange(
    relay: &Arc<Relay>,
    peer: SocketAddr,
    request: Request<RelayBody>,
    timeout_ms: u64,
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
    let timeout = Duration::from_millis(timeout_ms);
    let answered = tokio::time::timeout(timeout, exchange).await;
    let error = match answered {
        Ok(Ok(bytes)) => return Some(bytes),
        Ok(Err(error)) => error,
        Err(_) => format!("no answer within {timeout_ms} ms"),
    };
    spdlog::info!("a peer does not answer", kv: { peer:, error });
    None
}
