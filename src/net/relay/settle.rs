//! Settling: determines the outcome of a non-idempotent request whose hop broke.
//!
//! The daemon beside the backend server runs such a request in a task that does not depend on the
//! connection. If the connection breaks, the entry queries the outcome over a new one. A key that
//! was never received is fenced, so that a late copy of the request cannot run.

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
use crate::decide::relay::{HasEnded, OutcomeTable};
use crate::model::{NotRunReason, TimeMs, UnknownReason};

/// Path of the outcome query on the listener for hops.
pub const PATH: &str = "/burdockhall/settle";
/// How long a request keeps running without a waiting connection, in milliseconds. After that no
/// query is expected, and the caller has most likely left.
const ABANDON_MS: u64 = 400;
/// Largest answer that is kept for an outcome query, in bytes.
const MAX_STORED_BODY_BYTES: u64 = 128 * 1024;
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
    /// Number of connections that wait for the outcome.
    waiters: watch::Sender<usize>,
    finished: watch::Sender<Option<StoredOutcome>>,
}

impl Settlement {
    fn new(finished: Option<StoredOutcome>) -> Settlement {
        Settlement {
            waiters: watch::Sender::new(0),
            finished: watch::Sender::new(finished),
        }
    }
}

impl HasEnded for Settlement {
    fn has_ended(&self) -> bool {
        self.finished.borrow().is_some()
    }
}

/// Non-idempotent requests by the key of their hop.
#[derive(Debug, Default)]
pub struct Settlements {
    by_key: Mutex<OutcomeTable<Settlement>>,
}

impl Settlements {
    fn lock(&self) -> MutexGuard<'_, OutcomeTable<Settlement>> {
        self.by_key.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a key as running, whose entry waits for `left_ms` milliseconds; `None` if it was started
    /// or fenced before.
    fn start(&self, now: TimeMs, key: &str, left_ms: u64) -> Option<Settlement> {
        let mut by_key = self.lock();
        if by_key.get(key).is_some() {
            return None;
        }
        let settlement = Settlement::new(None);
        by_key.insert(now, key, left_ms, settlement.clone());
        Some(settlement)
    }

    /// The settlement of a key; fences the key if it is not known.
    fn find_or_fence(&self, now: TimeMs, query: &SettleRequest) -> Settlement {
        let key = query.key.as_str();
        let mut by_key = self.lock();
        if let Some(known) = by_key.get(key) {
            return known.clone();
        }
        spdlog::info!("a hop that is not known here was fenced", kv: { key });
        let fenced = Settlement::new(Some(StoredOutcome {
            outcome: HopOutcome::NotRun {
                reason: NotRunReason::Fenced,
                retry_after_ms: 0,
                arrived: false,
            },
            answer: None,
        }));
        by_key.insert(now, key, query.left_ms, fenced.clone());
        fenced
    }

    /// Removes outcomes that no entry daemon asks for any more. Runs that have not ended stay.
    pub fn sweep(&self, now: TimeMs) {
        self.lock().expire(now);
    }

    /// For how long a daemon that started at `started` has kept the outcome of each request, in
    /// milliseconds.
    fn complete_ms(&self, now: TimeMs, started: TimeMs) -> u64 {
        self.lock().complete_ms(now, started)
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
    let left_ms = local_request.deadline.since_ms(now);
    let Some(settlement) = relay.settlements.start(now, key, left_ms) else {
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
    let settlement = relay.settlements.find_or_fence(relay.clock.now(), &query);
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
    let complete_ms = relay
        .settlements
        .complete_ms(relay.clock.now(), relay.started);
    reply.complete_ms = Some(complete_ms);
    attach_reply(&mut response, &reply);
    response
}
