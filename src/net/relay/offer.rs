//! One offer: sends a classified request to one worker, here or over a hop, and says what became
//! of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderValue;
use hyper::{Method, Request, Response, Uri, Version};

use super::attempt::{HOP_MARGIN_MS, NO_WORKER_RETRY_MS};
use super::body::{Lent, RelayBody};
use super::entry::Call;
use super::executor::{self, Done, Executed, Order};
use super::hop::{
    HOP_HEADER, HopOutcome, HopReply, HopRequest, REPLY_HEADER, strip_connection_headers,
};
use super::pool::{ExchangeError, Exchanged};
use super::settle::{self, SettleRequest};
use super::state::Relay;
use crate::decide::relay::{Candidate, WorkerLoad, is_proof_of_absence};
use crate::model::{NotRunReason, TimeMs, UnknownReason};

/// Time beyond the deadline in which an answer that is on its way may still arrive, in
/// milliseconds.
const REPLY_GRACE_MS: u64 = 150;
/// Longest time for which an idle connection to another daemon is used again, in milliseconds.
/// Short, since idle connections hold most of a daemon's memory after a surge.
const HOP_IDLE_MS: u64 = 1_500;
/// Time for which a worker that says it takes no work is passed over, in milliseconds.
const CLOSED_MS: u64 = 700;

/// Counts a request as in flight to a worker while it lives.
struct InFlight {
    relay: Arc<Relay>,
    address: SocketAddr,
}

impl InFlight {
    fn new(relay: &Arc<Relay>, address: SocketAddr) -> InFlight {
        relay.tables().placing.sent(address);
        InFlight {
            relay: Arc::clone(relay),
            address,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.relay.tables().placing.ended(self.address);
    }
}

/// Offers the request to one worker and says what became of it.
pub(super) async fn offer(
    relay: &Arc<Relay>,
    call: &Call<'_>,
    candidate: &Candidate,
    hop: HopRequest,
    body: RelayBody,
) -> Executed {
    let _in_flight = InFlight::new(relay, candidate.address);
    let sent = relay.clock.now();
    if candidate.is_own {
        let order = Order {
            method: call.method.clone(),
            uri: call.uri.clone(),
            headers: call.headers.clone(),
            deadline: relay.clock.now().plus_ms(hop.left_ms),
            idempotent: call.route.idempotent,
            hop,
        };
        let executed = executor::run(relay, order, body).await;
        let reply = relay.reply(HopOutcome::from(&executed), executed.took_ms());
        take_reply(relay, candidate.address, &reply);
        return executed;
    }
    let (key, left_ms) = (hop.key.clone(), hop.left_ms);
    let request = match hop_request(call, &hop, body) {
        Ok(request) => request,
        Err(error) => {
            let request_id = call.id;
            spdlog::error!("a hop could not be written", kv: { request_id, error });
            return Executed::not_run(NotRunReason::InvariantBreach, NO_WORKER_RETRY_MS);
        }
    };
    let timeout = Duration::from_millis(left_ms + HOP_MARGIN_MS + REPLY_GRACE_MS);
    let address = candidate.address;
    let reply = async {
        let exchange = relay.pool.exchange(address, request, HOP_IDLE_MS);
        let replied = read_reply(relay, address, exchange.await?).await?;
        Ok::<_, ExchangeError>(replied.executed)
    };
    let replied = match tokio::time::timeout(timeout, reply).await {
        Ok(replied) => replied,
        Err(_) => {
            return Executed::Unknown {
                reason: UnknownReason::DeadlinePassed,
            };
        }
    };
    match replied {
        Ok(executed) => executed,
        Err(error) => {
            let now = relay.clock.now();
            let avoid_ms = relay.tables().placing.unreachable(now, address);
            let request_id = call.id;
            let cause = error.to_string();
            spdlog::warn!("a hop has failed", kv: { request_id, address:, cause, avoid_ms });
            match (error, key) {
                (ExchangeError::NotSent { .. }, _) => {
                    Executed::not_run(NotRunReason::NoWorker, NO_WORKER_RETRY_MS)
                }
                (ExchangeError::Broken { .. }, Some(key)) => {
                    resolve(relay, call, address, key, sent).await
                }
                (ExchangeError::Broken { .. }, None) => Executed::Unknown {
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

/// Takes in what a daemon says with its answer.
fn take_reply(relay: &Relay, address: SocketAddr, reply: &HopReply) {
    if reply.config > relay.config_version() {
        relay.peer_is_newer.notify_one();
    }
    relay.members_read.heard(reply.members_read);
    take_load(relay, address, reply);
    if let Some(member) = &reply.member {
        // Another run of the backend server there is not closed.
        relay.merge_members(vec![member.clone()], "reply");
    }
}

fn take_load(relay: &Relay, address: SocketAddr, reply: &HopReply) {
    let now = relay.clock.now();
    let mut tables = relay.tables();
    let load = WorkerLoad {
        running: reply.running,
        waiting: reply.waiting,
        limit: reply.limit,
        mean_ms: reply.mean_ms,
        arrivals: reply.arrivals,
    };
    tables.placing.reported(now, address, load);
    for report in &reply.shares {
        tables.entry_shares.record_report(now, report);
    }
    if reply.outcome.is_closed() {
        tables.placing.avoid_for(now, address, CLOSED_MS);
    }
}

/// What another daemon has answered.
struct Replied {
    executed: Executed,
    /// How long it has been up, in milliseconds, if it says so.
    up_ms: Option<u64>,
}

async fn read_reply(
    relay: &Arc<Relay>,
    address: SocketAddr,
    exchanged: Exchanged,
) -> Result<Replied, ExchangeError> {
    let Exchanged { response, sender } = exchanged;
    let (mut parts, incoming) = response.into_parts();
    let reply = parts.headers.remove(REPLY_HEADER);
    let reply = reply.and_then(|reply| serde_json::from_slice::<HopReply>(reply.as_bytes()).ok());
    let closes = parts.headers.contains_key(hyper::header::CONNECTION);
    let lent = Lent {
        pool: Arc::clone(&relay.pool),
        key: address,
        sender,
        keep_ms: if closes { 0 } else { HOP_IDLE_MS },
    };
    strip_connection_headers(&mut parts.headers);
    let body = RelayBody::answer(incoming, Some(lent));
    let Some(reply) = reply else {
        let reason = UnknownReason::ExecutorSilent;
        return Ok(Replied {
            executed: Executed::Unknown { reason },
            up_ms: None,
        });
    };
    take_reply(relay, address, &reply);
    let body = body.whole_if_short().await;
    let body = body.map_err(|error| ExchangeError::Broken {
        address,
        message: error.to_string(),
    })?;
    let executed = match reply.outcome {
        HopOutcome::Done | HopOutcome::FailedBeneath => Executed::Done(Done {
            response: Box::new(Response::from_parts(parts, body)),
            took_ms: reply.took_ms,
            failed_beneath: reply.outcome == HopOutcome::FailedBeneath,
        }),
        HopOutcome::NotRun {
            reason,
            retry_after_ms,
            arrived,
        } => Executed::NotRun {
            reason,
            retry_after_ms,
            arrived,
        },
        HopOutcome::Unknown => Executed::Unknown {
            reason: UnknownReason::BackendBroke,
        },
    };
    let up_ms = reply.up_ms;
    Ok(Replied { executed, up_ms })
}

/// Asks over a new connection what became of a non-idempotent request that was sent at `sent`.
async fn resolve(
    relay: &Arc<Relay>,
    call: &Call<'_>,
    address: SocketAddr,
    key: String,
    sent: TimeMs,
) -> Executed {
    let unknown = || Executed::Unknown {
        reason: UnknownReason::ExecutorSilent,
    };
    let left_ms = call.deadline.since_ms(relay.clock.now());
    let question = SettleRequest { key, left_ms };
    let Ok(question) = serde_json::to_vec(&question) else {
        return unknown();
    };
    let mut request = Request::new(RelayBody::Full(question.into()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(settle::PATH);
    let timeout = Duration::from_millis(left_ms + REPLY_GRACE_MS);
    let reply = async {
        let exchange = relay.pool.exchange(address, request, 0);
        read_reply(relay, address, exchange.await?).await
    };
    let (executed, up_ms) = match tokio::time::timeout(timeout, reply).await {
        Ok(Ok(Replied { executed, up_ms })) => (executed, up_ms),
        Ok(Err(_)) | Err(_) => (unknown(), None),
    };
    let since_sent_ms = relay.clock.now().since_ms(sent);
    let is_absent = matches!(
        executed,
        Executed::NotRun {
            reason: NotRunReason::Fenced,
            ..
        }
    );
    let executed = if is_absent && !is_proof_of_absence(up_ms, since_sent_ms) {
        unknown()
    } else {
        executed
    };
    let (request_id, outcome) = (call.id, <&str>::from(HopOutcome::from(&executed)));
    let up_ms = up_ms.map_or("unknown".to_owned(), |up_ms| up_ms.to_string());
    spdlog::info!("the outcome of a broken hop was asked for", kv: {
        request_id, address:, outcome, since_sent_ms, up_ms
    });
    executed
}
