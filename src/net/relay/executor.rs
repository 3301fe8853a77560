//! Runs requests on the backend server beside this daemon, the only way to it.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use tokio::sync::oneshot;

use super::answers::judge;
use super::body::RelayBody;
use super::hop::{HopRequest, plain, strip_connection_headers};
use super::line_budget::LineKind;
use super::pool::ExchangeError;
use super::state::{Relay, RunningRequest, Stage, Tables, millis};
use crate::decide::relay::admission::Verdict;
use crate::decide::relay::{Offer, Offered, RootRequest, WaiterId};
use crate::model::{NotRunReason, ServiceName, TimeMs, UnknownReason};

/// Part of the drain time for which a leaving backend server still gets what is under way.
const DRAIN_SHARE: f64 = 0.4;
/// Time that the backend server gets beyond the deadline to say so itself, in milliseconds.
const ANSWER_GRACE_MS: u64 = 100;
/// Least time left that is worth handing over, in milliseconds.
const MIN_LEFT_MS: u64 = 5;
/// Time to come back if the backend server beside this daemon is leaving or gone, in
/// milliseconds: about two heartbeats.
const LEAVING_RETRY_MS: u64 = 500;
/// Time for which a backend server that could not be reached is not tried, in milliseconds.
pub(super) const LOST_MS: u64 = 400;
/// Longest time since its last use of a connection that takes a non-idempotent request, in
/// milliseconds: the backend server may close it just then, and the outcome would be unknown.
const ONCE_IDLE_MS: u64 = 1_500;

/// One request for the backend server beside this daemon.
#[derive(Debug)]
pub struct Order {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without those that concern one connection.
    pub headers: HeaderMap,
    /// What the entry says about it.
    pub hop: HopRequest,
    /// When its answer is worthless.
    pub deadline: TimeMs,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// What a backend server has answered.
#[derive(Debug)]
pub struct Done {
    /// Its answer.
    pub response: Box<Response<RelayBody>>,
    /// Time that it took, in milliseconds.
    pub took_ms: u64,
    /// Whether it is a failure, and a call that the request made has failed too.
    pub failed_beneath: bool,
}

/// How an order ends.
#[derive(Debug)]
pub enum Executed {
    /// The backend server has answered.
    Done(Done),
    /// It has not run and will not.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
        /// Whether the backend server was asked at all.
        arrived: bool,
    },
    /// It may have run.
    Unknown {
        /// Why this is all that is known.
        reason: UnknownReason,
    },
}

impl Executed {
    /// Time that the backend server took, in milliseconds; 0 if it has not answered.
    pub fn took_ms(&self) -> u64 {
        match self {
            Executed::Done(done) => done.took_ms,
            Executed::NotRun { .. } | Executed::Unknown { .. } => 0,
        }
    }

    /// A refusal before the backend server was asked.
    pub fn not_run(reason: NotRunReason, retry_after_ms: u64) -> Executed {
        Executed::NotRun {
            reason,
            retry_after_ms,
            arrived: false,
        }
    }
}

impl Order {
    /// The order that another daemon has sent.
    pub fn from_hop(relay: &Relay, parts: Parts, hop: HopRequest) -> Order {
        let mut headers = parts.headers;
        strip_connection_headers(&mut headers);
        Order {
            method: parts.method,
            uri: parts.uri,
            headers,
            deadline: relay.clock.now().plus_ms(hop.left_ms),
            idempotent: hop.key.is_none(),
            hop,
        }
    }

    fn request_id<'a>(&'a self, relay: &Relay) -> &'a str {
        let id = self.headers.get(&relay.dialect.request_id);
        id.and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}

/// Admits the order, runs it and waits for the head of the answer. Dropping the future
/// gives up the order: it leaves the queue, or its connection is closed.
pub async fn run(relay: &Arc<Relay>, order: Order, body: RelayBody) -> Executed {
    let started = relay.clock.now();
    let executed = match admit(relay, &order).await {
        Ok(slot) => {
            let waited_ms = relay.clock.now().since_ms(started);
            log_run(relay, &order, waited_ms);
            exchange(relay, order, body, slot).await
        }
        Err(refused) => {
            log_refusal(relay, &order, &refused, started);
            refused
        }
    };
    relay
        .metrics
        .executed(&executed, relay.clock.now().since_ms(started));
    executed
}

/// A slot of the backend server, free again when it is dropped.
struct Slot {
    relay: Arc<Relay>,
    route: ServiceName,
    request_id: String,
    started: TimeMs,
    took_ms: Option<u64>,
}

impl Slot {
    fn new(relay: &Arc<Relay>, order: &Order, tables: &mut Tables) -> Slot {
        let request_id = order.request_id(relay).to_owned();
        let running = RunningRequest {
            mark: order.hop.root.clone(),
            is_repeat: order.hop.is_repeat,
            has_failed_call: false,
        };
        tables.running.insert(request_id.clone(), running);
        Slot {
            relay: Arc::clone(relay),
            route: order.hop.route.clone(),
            request_id,
            started: relay.clock.now(),
            took_ms: None,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut tables = self.relay.tables();
        tables.running.remove(&self.request_id);
        tables.admission.finished(&self.route, self.took_ms);
        start_waiting(&self.relay, &mut tables);
    }
}

/// Starts or refuses waiting requests as far as there is room.
fn start_waiting(relay: &Relay, tables: &mut Tables) {
    let now = relay.clock.now();
    while let Some(verdict) = tables.admission.next(now) {
        let waiter_id = match verdict {
            Verdict::Start(waiter_id) | Verdict::Refuse { waiter_id, .. } => waiter_id,
        };
        let waiter = tables.waiting.remove(&waiter_id);
        let told = waiter.is_some_and(|waiter| waiter.send(verdict).is_ok());
        if !told && let Verdict::Start(_) = verdict {
            tables.admission.released();
        }
    }
}

/// A place in the queue, given up when it is dropped.
struct Place {
    relay: Arc<Relay>,
    waiter_id: WaiterId,
    receiver: oneshot::Receiver<Verdict>,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut tables = self.relay.tables();
        tables.waiting.remove(&self.waiter_id);
        if tables.admission.cancel(self.waiter_id) {
            return;
        }
        // The verdict may have been sent and not been received.
        if let Ok(Verdict::Start(_)) = self.receiver.try_recv() {
            tables.admission.released();
            start_waiting(&self.relay, &mut tables);
        }
    }
}

async fn admit(relay: &Arc<Relay>, order: &Order) -> Result<Slot, Executed> {
    let mut place = {
        let mut tables = relay.tables();
        let tables = &mut *tables;
        let now = relay.clock.now();
        check_worker(relay, tables, order, now)?;
        let expected_ms = tables.admission.expected_ms(&order.hop.route);
        if order.hop.is_first {
            tables
                .worker_shares
                .record_arrival(&order.hop.root, expected_ms);
        }
        let offer = Offer {
            route: &order.hop.route,
            priority: order.hop.root.priority,
            is_call: order.hop.is_call,
            deadline: order.deadline,
        };
        match tables.admission.offer(now, offer) {
            Offered::Run => return Ok(Slot::new(relay, order, tables)),
            Offered::TooLate => {
                return Err(Executed::not_run(NotRunReason::DeadlineTooShort, 0));
            }
            Offered::Refuse { retry_after_ms } => {
                tables.worker_shares.record_refusal();
                return Err(Executed::not_run(NotRunReason::Overloaded, retry_after_ms));
            }
            Offered::Wait(waiter_id) => {
                let (sender, receiver) = oneshot::channel();
                tables.waiting.insert(waiter_id, sender);
                Place {
                    relay: Arc::clone(relay),
                    waiter_id,
                    receiver,
                }
            }
        }
    };
    let wait_ms = order.deadline.since_ms(relay.clock.now());
    let waited = tokio::time::timeout(Duration::from_millis(wait_ms), &mut place.receiver).await;
    match waited {
        Ok(Ok(Verdict::Start(_))) => {
            let mut tables = relay.tables();
            let now = relay.clock.now();
            // Made first, so that the slot is free again if the worker has left meanwhile.
            let slot = Slot::new(relay, order, &mut tables);
            let checked = check_worker(relay, &mut tables, order, now);
            drop(tables);
            checked.map(|()| slot)
        }
        Ok(Ok(Verdict::Refuse { retry_after_ms, .. })) => Err(Executed::not_run(
            NotRunReason::QueueTimeout,
            retry_after_ms,
        )),
        _ => Err(Executed::not_run(NotRunReason::QueueTimeout, 0)),
    }
}

/// Whether the backend server that the order names is the one beside this daemon, and takes work.
fn check_worker(
    relay: &Relay,
    tables: &mut Tables,
    order: &Order,
    now: TimeMs,
) -> Result<(), Executed> {
    let drain_ms = millis(relay.settings.load().bounds.drain_s * DRAIN_SHARE);
    let refuse = |reason| Err(Executed::not_run(reason, LEAVING_RETRY_MS));
    if *relay.stage.borrow() > Stage::Serving {
        return refuse(NotRunReason::Leaving);
    }
    let Some(worker) = &tables.worker else {
        return refuse(NotRunReason::NoWorker);
    };
    if worker.heartbeat.instance != order.hop.instance {
        return refuse(NotRunReason::WrongIncarnation);
    }
    if !worker.takes_work(now, drain_ms) {
        return refuse(NotRunReason::Leaving);
    }
    if tables
        .worker_lost
        .is_some_and(|at| now.since_ms(at) < LOST_MS)
    {
        return refuse(NotRunReason::BackendUnreachable);
    }
    if order.deadline.since_ms(now) < MIN_LEFT_MS {
        return Err(Executed::not_run(NotRunReason::DeadlineTooShort, 0));
    }
    Ok(())
}

async fn exchange(relay: &Arc<Relay>, order: Order, body: RelayBody, mut slot: Slot) -> Executed {
    let address = relay.settings.load().backend_address;
    let request_id = order.request_id(relay).to_owned();
    let (deadline, idempotent) = (order.deadline, order.idempotent);
    let is_repeat = order.hop.is_repeat;
    relay.tables().arrivals.record(relay.clock.now(), is_repeat);
    let left_ms = deadline.since_ms(relay.clock.now());
    let max_idle_ms = if idempotent { u64::MAX } else { ONCE_IDLE_MS };
    let request = worker_request(relay, order, body, left_ms);
    let timeout = Duration::from_millis(left_ms + ANSWER_GRACE_MS);
    let answer = async {
        let exchanged = relay.pool.exchange(address, request, max_idle_ms).await?;
        relay.tables().worker_lost = None;
        let took_ms = relay.clock.now().since_ms(slot.started);
        let executed = judge(relay, &request_id, exchanged, took_ms);
        Ok::<_, ExchangeError>(whole_if_short(relay, &request_id, executed).await)
    };
    let result = match tokio::time::timeout(timeout, answer).await {
        Ok(result) => result,
        Err(_) => {
            let cause = "no answer in time";
            return unknown(relay, &request_id, UnknownReason::DeadlinePassed, cause);
        }
    };
    match result {
        Ok(mut executed) => {
            if let Executed::Done(done) = &mut executed {
                slot.took_ms = Some(done.took_ms);
                done.failed_beneath =
                    done.response.status().is_server_error() && relay.has_failed_call(&request_id);
            }
            executed
        }
        Err(ExchangeError::NotSent { message, .. }) => {
            relay.tables().worker_lost = Some(relay.clock.now());
            let cause = message;
            spdlog::warn!("the backend server cannot be reached", kv: { request_id, cause });
            Executed::not_run(NotRunReason::BackendUnreachable, LOST_MS)
        }
        Err(ExchangeError::Broken { message, .. }) => {
            unknown(relay, &request_id, UnknownReason::BackendBroke, &message)
        }
    }
}

/// Waits for the body of a short answer; one that breaks off is no answer.
async fn whole_if_short(relay: &Relay, request_id: &str, executed: Executed) -> Executed {
    let Executed::Done(done) = executed else {
        return executed;
    };
    let (parts, body) = done.response.into_parts();
    match body.whole_if_short().await {
        Ok(body) => Executed::Done(Done {
            response: Box::new(Response::from_parts(parts, body)),
            ..done
        }),
        Err(error) => unknown(
            relay,
            request_id,
            UnknownReason::BackendBroke,
            &error.to_string(),
        ),
    }
}

pub(super) fn unknown(
    relay: &Relay,
    request_id: &str,
    reason: UnknownReason,
    cause: &str,
) -> Executed {
    let outcome = "unknown";
    let reason_name = <&str>::from(reason);
    let config = relay.config_version();
    spdlog::warn!("the outcome of a request is unknown", kv: {
        request_id, outcome, reason_name, cause, config
    });
    Executed::Unknown { reason }
}

fn worker_request(
    relay: &Relay,
    order: Order,
    body: RelayBody,
    left_ms: u64,
) -> Request<RelayBody> {
    let mut request = Request::new(body);
    *request.method_mut() = order.method;
    *request.uri_mut() = order.uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = order.headers;
    let dialect = &relay.dialect;
    let headers = request.headers_mut();
    headers.insert(dialect.time_left_ms.clone(), HeaderValue::from(left_ms));
    if let Ok(instance) = HeaderValue::try_from(order.hop.instance) {
        headers.insert(dialect.expected_instance.clone(), instance);
    }
    request
}

fn log_run(relay: &Relay, order: &Order, waited_ms: u64) {
    if !relay.may_log(LineKind::Served) {
        return;
    }
    let request_id = order.request_id(relay);
    let (running, limit) = {
        let tables = relay.tables();
        (tables.admission.running(), tables.admission.limit())
    };
    let (route, instance) = (order.hop.route.as_str(), order.hop.instance.as_str());
    let left_ms = order.deadline.since_ms(relay.clock.now());
    spdlog::info!("a request is handed to the backend server", kv: {
        request_id, route, instance, running, limit, waited_ms, left_ms
    });
}

fn log_refusal(relay: &Relay, order: &Order, refused: &Executed, started: TimeMs) {
    let Executed::NotRun {
        reason,
        retry_after_ms,
        ..
    } = refused
    else {
        return;
    };
    if !relay.may_log(LineKind::Failed) {
        return;
    }
    let request_id = order.request_id(relay);
    let (reason, retry_after_ms) = (<&str>::from(*reason), *retry_after_ms);
    let (running, waiting, limit) = {
        let tables = relay.tables();
        let admission = &tables.admission;
        (
            admission.running(),
            admission.waiting() as u64,
            admission.limit(),
        )
    };
    let now = relay.clock.now();
    let left_ms = order.deadline.since_ms(now);
    let waited_ms = now.since_ms(started);
    let route = order.hop.route.as_str();
    let RootRequest { priority, .. } = order.hop.root;
    let priority = u64::from(priority);
    spdlog::info!("a request was refused beside its backend server", kv: {
        request_id, route, reason, retry_after_ms, running, waiting, limit, left_ms, waited_ms,
        priority
    });
}

/// The answer that stands for a refusal or an unknown outcome towards another daemon.
pub fn stand_in(executed: Executed) -> Response<RelayBody> {
    match executed {
        Executed::Done(done) => *done.response,
        Executed::NotRun { .. } => plain(StatusCode::SERVICE_UNAVAILABLE),
        Executed::Unknown { .. } => plain(StatusCode::BAD_GATEWAY),
    }
}
