//! Settling: determines the outcome of a non-idempotent request whose hop broke.
//!
//! The daemon beside the backend server runs such a request in a task that does not depend on the
//! connection. If the connection breaks, the entry queries the outcome over a new one. A key that
//! was never received is fenced, so that a late copy of the request cannot run.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::body::RelayBody;
use super::executor::{self, Done, ExecutionOutcome, LocalRequest};
use super::hop::{HopOutcome, attach_reply, empty_response};
use super::state::Relay;
use crate::model::{NotRunReason, TimeMs, UnknownReason};

/// Path of the outcome query on the listener for hops.
pub const PATH: &str = "/burdockhall/settle";
/// How long a request keeps running without a waiting connection, in milliseconds. After that no
/// query is expected, and the caller has most likely left.
const ABANDON_MS: u64 = 400;
/// How long outcomes and fences are kept, in milliseconds. Longer than the deadline of any
/// request.
const RETENTION_MS: u64 = 60_000;
/// Largest answer that is kept for an outcome query, in bytes.
const MAX_STORED_BODY_BYTES: u64 = 128 * 1024;
/// Number of entries from which a new key first evicts finished entries that are older than
/// [`RETENTION_MS`]. Unfinished and younger entries stay, so it is not a hard limit.
const EVICTION_THRESHOLD: usize = 4_096;

/// Largest outcome query, in bytes.
const MAX_QUERY_BYTES: usize = 4 * 1024;

/// Body of an outcome query.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Key of the hop whose outcome is queried.
    pub key: String,
    /// How long the sender waits for the outcome, in milliseconds.
    pub left_ms: u64,
}

/// A finished outcome with its buffered answer, if any, for outcome queries.
#[derive(Debug, Clone)]
struct StoredOutcome {
    outcome: HopOutcome,
    answer: Option<(Arc<Parts>, Bytes)>,
}

#[derive(Debug, Clone)]
struct Settlement {
    since: TimeMs,
    /// Number of connections that wait for the outcome.
    waiters: watch::Sender<usize>,
    finished: watch::Sender<Option<StoredOutcome>>,
}

/// Non-idempotent requests by the key of their hop.
#[derive(Debug, Default)]
pub struct Settlements {
    by_key: Mutex<HashMap<String, Settlement>>,
}

impl Settlements {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Settlement>> {
        self.by_key.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a key as running; `None` if it was started or fenced before.
    fn start(&self, now: TimeMs, key: &str) -> Option<Settlement> {
        let mut by_key = self.lock();
        if by_key.contains_key(key) {
            return None;
        }
        if by_key.len() >= EVICTION_THRESHOLD {
            by_key.retain(|_, settlement| {
                now.since_ms(settlement.since) < RETENTION_MS
                    || settlement.finished.borrow().is_none()
            });
        }
        let settlement = Settlement {
            since: now,
            waiters: watch::Sender::new(0),
            finished: watch::Sender::new(None),
        };
        by_key.insert(key.to_owned(), settlement.clone());
        Some(settlement)
    }

    /// The settlement of a key; fences the key if it was never received.
    fn find_or_fence(&self, now: TimeMs, key: &str) -> Settlement {
        if let Some(settlement) = self.start(now, key) {
            spdlog::info!("a hop that is not known here was fenced", kv: { key });
            settlement.finished.send_replace(Some(StoredOutcome {
                outcome: HopOutcome::NotRun {
                    reason: NotRunReason::Fenced,
                    retry_after_ms: 0,
                    arrived: false,
                },
                answer: None,
            }));
            return settlement;
        }
        let by_key = self.lock();
        by_key.get(key).cloned().unwrap_or_else(|| Settlement {
            since: now,
            waiters: watch::Sender::new(0),
            finished: watch::Sender::new(Some(StoredOutcome {
                outcome: HopOutcome::Unknown,
                answer: None,
            })),
        })
    }

    /// Removes entries whose retention time has passed; no entry daemon queries them any more.
    pub fn sweep(&self, now: TimeMs) {
        self.lock().retain(|key, settlement| {
            let age_ms = now.since_ms(settlement.since);
            let is_expired = age_ms >= RETENTION_MS;
            if is_expired && settlement.finished.borrow().is_none() {
                let key = key.as_str();
                spdlog::warn!("a run was forgotten before it had ended", kv: { key, age_ms });
            }
            !is_expired
        });
    }
}

/// Counts a connection as waiting until it is dropped.
struct Waiter(watch::Sender<usize>);

impl Waiter {
    fn new(waiters: &watch::Sender<usize>) -> Waiter {
        waiters.send_modify(|count| *count += 1);
        Waiter(waiters.clone())
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// Runs a non-idempotent request in a task that outlives the connection it came on.
pub async fn run(
    relay: &Arc<Relay>,
    local_request: LocalRequest,
    body: RelayBody,
    key: &str,
) -> ExecutionOutcome {
    let now = relay.clock.now();
    let Some(settlement) = relay.settlements.start(now, key) else {
        return ExecutionOutcome::not_run(NotRunReason::Fenced, 0);
    };
    let waiter = Waiter::new(&settlement.waiters);
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let task = {
        let (relay, settlement) = (Arc::clone(relay), settlement.clone());
        async move {
            let executed = tokio::select! {
                executed = executor::run(&relay, local_request, body) => executed,
                () = abandoned(&settlement) => ExecutionOutcome::Unknown {
                    reason: UnknownReason::Cancelled
                },
            };
            let (executed, stored) = store_answer(executed).await;
            settlement.finished.send_replace(Some(stored));
            // If the connection is gone, the outcome can still be queried.
            let _ = sender.send(executed);
        }
    };
    tokio::spawn(task);
    let executed = receiver.await;
    drop(waiter);
    executed.unwrap_or(ExecutionOutcome::Unknown {
        reason: UnknownReason::Cancelled,
    })
}

/// Returns once no connection has waited for the outcome for [`ABANDON_MS`].
async fn abandoned(settlement: &Settlement) {
    let mut waiters = settlement.waiters.subscribe();
    loop {
        if waiters.wait_for(|count| *count == 0).await.is_err() {
            return;
        }
        let reattached = async { waiters.wait_for(|count| *count > 0).await.is_ok() };
        let waited = tokio::time::timeout(Duration::from_millis(ABANDON_MS), reattached).await;
        if waited.is_err() {
            return;
        }
    }
}

/// Buffers a short answer for outcome queries; a longer one is passed on, and its outcome is
/// stored as unknown.
async fn store_answer(executed: ExecutionOutcome) -> (ExecutionOutcome, StoredOutcome) {
    let outcome = HopOutcome::from(&executed);
    let unknown = StoredOutcome {
        outcome: HopOutcome::Unknown,
        answer: None,
    };
    let done = match executed {
        ExecutionOutcome::Done(done) => done,
        other => {
            let stored = StoredOutcome {
                outcome,
                answer: None,
            };
            return (other, stored);
        }
    };
    let length = done.response.body().size_hint().exact();
    if length.is_none_or(|length| length > MAX_STORED_BODY_BYTES) {
        return (ExecutionOutcome::Done(done), unknown);
    }
    let (parts, body) = done.response.into_parts();
    match body.collect().await {
        Ok(whole) => {
            let bytes = whole.to_bytes();
            let parts = Arc::new(parts);
            let stored = StoredOutcome {
                outcome,
                answer: Some((Arc::clone(&parts), bytes.clone())),
            };
            let response = Box::new(rebuild(&parts, bytes));
            (ExecutionOutcome::Done(Done { response, ..done }), stored)
        }
        Err(error) => {
            let cause = error.to_string();
            spdlog::warn!("an answer broke off before it was whole", kv: { cause });
            let reason = UnknownReason::BackendBroke;
            (ExecutionOutcome::Unknown { reason }, unknown)
        }
    }
}

fn rebuild(parts: &Parts, bytes: Bytes) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::Full(bytes));
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers.clone();
    response
}

/// Answers an outcome query of an entry daemon.
pub async fn answer(relay: &Arc<Relay>, request: Request<Incoming>) -> Response<RelayBody> {
    let query = Limited::new(request.into_body(), MAX_QUERY_BYTES)
        .collect()
        .await;
    let query = query.ok().and_then(|whole| {
        let bytes = whole.to_bytes();
        serde_json::from_slice::<SettleRequest>(&bytes).ok()
    });
    let Some(query) = query else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let settlement = relay
        .settlements
        .find_or_fence(relay.clock.now(), &query.key);
    let waiter = Waiter::new(&settlement.waiters);
    let mut finished = settlement.finished.subscribe();
    let waited = tokio::time::timeout(
        Duration::from_millis(query.left_ms),
        finished.wait_for(Option::is_some),
    );
    let stored = match waited.await {
        Ok(Ok(stored)) => stored.clone(),
        _ => None,
    };
    drop(waiter);
    let stored = stored.unwrap_or(StoredOutcome {
        outcome: HopOutcome::Unknown,
        answer: None,
    });
    let key = query.key.as_str();
    let outcome = <&str>::from(stored.outcome);
    spdlog::info!("a broken hop was settled", kv: { key, outcome });
    let mut response = match stored.answer {
        Some((parts, bytes)) => rebuild(&parts, bytes),
        None => empty_response(StatusCode::ACCEPTED),
    };
    let mut reply = relay.reply(stored.outcome, 0);
    reply.up_ms = Some(relay.clock.now().since_ms(relay.started));
    attach_reply(&mut response, &reply);
    response
}
