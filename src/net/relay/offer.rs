//! A single attempt: sends a routed request to one worker, on this VM or over a hop, and returns
//! its outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, Uri, Version};

use super::answer_end::{EndWatcher, OpenAttempt};
use super::attempt::{HOP_MARGIN_MS, NO_WORKER_RETRY_MS};
use super::body::{PooledConnection, RelayBody};
use super::entry::Call;
use super::executor::{self, Done, ExecutionOutcome, LocalRequest};
use super::hop::{
    HOP_HEADER, HopOutcome, HopReply, HopRequest, REPLY_HEADER, strip_connection_headers,
};
use super::peers;
use super::pool::{ExchangeError, Exchanged};
use super::settle::{self, SettleRequest};
use super::state::Relay;
use crate::decide::relay::{Candidate, WorkerLoad, is_proof_of_absence};
use crate::model::{NotRunReason, TimeMs, UnknownReason};
use crate::net::http;

/// Time beyond the deadline in which an answer in transit may still arrive, in milliseconds.
const REPLY_GRACE_MS: u64 = 150;
/// Longest idle time after which a connection to another daemon is reused, in milliseconds. Kept
/// short because idle connections hold most of a daemon's memory after a surge.
const HOP_IDLE_MS: u64 = 1_500;

/// Offers the request to one worker and returns the outcome.
pub(super) async fn offer(
    relay: &Arc<Relay>,
    call: &Call<'_>,
    candidate: &Candidate,
    hop: HopRequest,
    body: RelayBody,
) -> ExecutionOutcome {
    let mut attempt = OpenAttempt::new(relay, candidate.address, call);
    let mut executed = send(relay, call, candidate, hop, body).await;
    if let ExecutionOutcome::Done(done) = &mut executed {
        attempt.ends_with_connection = done.ends_with_connection;
        let watcher = EndWatcher::Attempt(attempt);
        done.response.body_mut().watch(watcher);
    }
    executed
}

async fn send(
    relay: &Arc<Relay>,
    call: &Call<'_>,
    candidate: &Candidate,
    hop: HopRequest,
    body: RelayBody,
) -> ExecutionOutcome {
    let sent = relay.clock.now();
    if candidate.is_own {
        let local_request = LocalRequest {
            method: call.method.clone(),
            uri: call.uri.clone(),
            headers: call.headers.clone(),
            deadline: relay.clock.now().plus_ms(hop.left_ms),
            idempotent: call.route.idempotent,
            hop,
        };
        let executed = executor::run(relay, local_request, body).await;
        let reply = relay.reply(HopOutcome::from(&executed), executed.took_ms());
        apply_reply(relay, candidate.address, &reply);
        return executed;
    }
    let (key, left_ms) = (hop.key.clone(), hop.left_ms);
    let request = match hop_request(call, &hop, body) {
        Ok(request) => request,
        Err(error) => {
            let request_id = call.id;
            spdlog::error!("a hop cannot be encoded", kv: { request_id, error });
            return ExecutionOutcome::not_run(NotRunReason::InvariantBreach, NO_WORKER_RETRY_MS);
        }
    };
    let timeout = Duration::from_millis(left_ms + HOP_MARGIN_MS + REPLY_GRACE_MS);
    let address = candidate.address;
    let reply = async {
        let exchange = relay.pool.exchange(address, request, HOP_IDLE_MS);
        let exchanged = exchange.await?;
        let hop_ms = relay.clock.now().since_ms(sent);
        let answered = read_reply(relay, address, exchanged).await?;
        if let (ExecutionOutcome::Done(done), Some(load)) = (&answered.executed, answered.load) {
            let rest_ms = hop_ms.saturating_sub(done.took_ms);
            let mut tables = relay.tables();
            tables
                .load_balancer
                .record_round_trip(candidate, &load, rest_ms);
        }
        Ok::<_, ExchangeError>(answered.executed)
    };
    let answered = match tokio::time::timeout(timeout, reply).await {
        Ok(answered) => answered,
        Err(_) => {
            return ExecutionOutcome::Unknown {
                reason: UnknownReason::DeadlinePassed,
            };
        }
    };
    match answered {
        Ok(mut executed) => {
            if let ExecutionOutcome::Done(done) = &mut executed {
                let passed = Duration::from_millis(relay.clock.now().since_ms(sent));
                let left = timeout.saturating_sub(passed);
                done.response.body_mut().end_within(left);
            }
            executed
        }
        Err(error) => {
            let now = relay.clock.now();
            let avoid_ms = relay.tables().load_balancer.unreachable(now, address);
            let request_id = call.id;
            let cause = error.to_string();
            spdlog::warn!("a hop has failed", kv: { request_id, address:, cause, avoid_ms });
            match (error, key) {
                (ExchangeError::NotSent { .. }, _) => {
                    ExecutionOutcome::not_run(NotRunReason::NoWorker, NO_WORKER_RETRY_MS)
                }
                (ExchangeError::Broken { .. }, Some(key)) => {
                    query_outcome(relay, call, address, key, sent).await
                }
                (ExchangeError::Broken { .. }, None) => ExecutionOutcome::Unknown {
                    reason: UnknownReason::ExecutorSilent,
                },
            }
        }
    }
}

fn hop_request(
    call: &Call<'_>,
    hop: &HopRequest,
    body: RelayBody,
) -> Result<Request<RelayBody>, String> {
    let header = serde_json::to_vec(hop).map_err(|error| error.to_string())?;
    let header = HeaderValue::try_from(header).map_err(|error| error.to_string())?;
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = call.headers.clone();
    request.headers_mut().insert(HOP_HEADER, header);
    Ok(request)
}

/// Applies the reply metadata of a daemon: load, shares, read offset and member record.
fn apply_reply(relay: &Arc<Relay>, address: SocketAddr, reply: &HopReply) {
    relay.observe_config(reply.config, Some(address));
    if reply.config == 0 && reply.outcome.takes_no_requests() {
        peers::introduce(relay, address);
    }
    relay.members_read.advance_peer(reply.members_read);
    apply_load(relay, address, reply);
    if let Some(member) = &reply.member {
        // Merged after the load: if the record names another instance, the mark that the worker
        // takes no requests is cleared again.
        relay.merge_members(vec![member.clone()], "reply");
    }
}

fn apply_load(relay: &Relay, address: SocketAddr, reply: &HopReply) {
    let now = relay.clock.now();
    let mut tables = relay.tables();
    tables
        .load_balancer
        .reported(now, address, worker_load(reply));
    if let Some(rate) = &reply.rate {
        tables.peer_statements.record_rate(now, address, rate);
    }
    for report in &reply.shares {
        tables.entry_shares.record_report(now, report);
    }
    if let Some(avoid_ms) = reply.outcome.avoid_ms() {
        tables.load_balancer.avoid_for(now, address, avoid_ms);
    }
}

fn worker_load(reply: &HopReply) -> WorkerLoad {
    WorkerLoad {
        running: reply.running,
        waiting: reply.waiting,
        limit: reply.limit,
        mean_ms: reply.mean_ms,
        rate_wait_ms: reply.rate_wait_ms,
        arrivals: reply.arrivals,
        speed: reply.speed.map(|percent| f64::from(percent) / 100.0),
    }
}

/// Answer of another daemon.
struct HopAnswer {
    executed: ExecutionOutcome,
    /// Load that it reports; `None` if its answer is incomplete.
    load: Option<WorkerLoad>,
    /// For how long that daemon has kept the outcome of each request, in milliseconds, if its answer says
    /// so.
    complete_ms: Option<u64>,
}

async fn read_reply(
    relay: &Arc<Relay>,
    address: SocketAddr,
    exchanged: Exchanged,
) -> Result<HopAnswer, ExchangeError> {
    let Exchanged { response, sender } = exchanged;
    let (mut parts, incoming) = response.into_parts();
    let reply = parts.headers.remove(REPLY_HEADER);
    let reply = reply.and_then(|reply| serde_json::from_slice::<HopReply>(reply.as_bytes()).ok());
    let closes = parts.headers.contains_key(hyper::header::CONNECTION);
    let connection = PooledConnection {
        pool: Arc::clone(&relay.pool),
        key: address,
        sender,
        keep_ms: if closes { 0 } else { HOP_IDLE_MS },
    };
    strip_connection_headers(&mut parts.headers);
    let body = RelayBody::answer(incoming, Some(connection));
    // A daemon of an older build may have passed on a status that ends no exchange.
    let Some(reply) = reply.filter(|_| http::is_final(parts.status)) else {
        let reason = UnknownReason::ExecutorSilent;
        return Ok(HopAnswer {
            executed: ExecutionOutcome::Unknown { reason },
            load: None,
            complete_ms: None,
        });
    };
    apply_reply(relay, address, &reply);
    let body = body.buffer_if_short().await;
    let body = body.map_err(|error| ExchangeError::Broken {
        address,
        message: error.to_string(),
    })?;
    let executed = match reply.outcome {
        HopOutcome::Done | HopOutcome::NestedCallFailed => ExecutionOutcome::Done(Done {
            response: Box::new(Response::from_parts(parts, body)),
            took_ms: reply.took_ms,
            nested_call_failed: reply.outcome == HopOutcome::NestedCallFailed,
            ends_with_connection: reply.ends_with_connection,
        }),
        HopOutcome::NotRun {
            reason,
            retry_after_ms,
            arrived,
        } => ExecutionOutcome::NotRun {
            reason,
            retry_after_ms,
            arrived,
        },
        HopOutcome::Unknown => ExecutionOutcome::Unknown {
            reason: UnknownReason::BackendBroke,
        },
    };
    Ok(HopAnswer {
        executed,
        load: Some(worker_load(&reply)),
        complete_ms: reply.complete_ms,
    })
}

/// Queries the outcome of a non-idempotent request that was sent at `sent`, over a new connection.
async fn query_outcome(
    relay: &Arc<Relay>,
    call: &Call<'_>,
    address: SocketAddr,
    key: String,
    sent: TimeMs,
) -> ExecutionOutcome {
    let unknown = || ExecutionOutcome::Unknown {
        reason: UnknownReason::ExecutorSilent,
    };
    let left_ms = call.deadline.since_ms(relay.clock.now());
    let query = SettleRequest { key, left_ms };
    let Ok(query) = serde_json::to_vec(&query) else {
        return unknown();
    };
    let mut request = Request::new(RelayBody::Full(query.into()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(settle::PATH);
    let timeout = Duration::from_millis(left_ms + REPLY_GRACE_MS);
    let reply = async {
        let exchange = relay.pool.exchange(address, request, 0);
        read_reply(relay, address, exchange.await?).await
    };
    let (executed, complete_ms) = match tokio::time::timeout(timeout, reply).await {
        Ok(Ok(HopAnswer {
            executed,
            complete_ms,
            ..
        })) => (executed, complete_ms),
        Ok(Err(_)) | Err(_) => (unknown(), None),
    };
    let since_sent_ms = relay.clock.now().since_ms(sent);
    let is_fenced = matches!(
        executed,
        ExecutionOutcome::NotRun {
            reason: NotRunReason::Fenced,
            ..
        }
    );
    let executed = if is_fenced && !is_proof_of_absence(complete_ms, since_sent_ms) {
        unknown()
    } else {
        executed
    };
    let (request_id, outcome) = (call.id, <&str>::from(HopOutcome::from(&executed)));
    let complete_ms =
        complete_ms.map_or("unknown".to_owned(), |complete_ms| complete_ms.to_string());
    spdlog::info!("the outcome of a broken hop was asked for", kv: {
        request_id, address:, outcome, since_sent_ms, complete_ms
    });
    executed
}
