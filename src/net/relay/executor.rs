//! Runs requests on the backend server beside this daemon. All requests to that backend server
//! pass through here.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use tokio::sync::oneshot;

use super::answers::classify_answer;
use super::body::RelayBody;
use super::executor_log::{log_crash, log_refusal, log_start, unknown_outcome};
use super::hop::{HopRequest, empty_response, strip_connection_headers};
use super::identify;
use super::pool::ExchangeError;
use super::state::{Relay, RunningRequest, Stage, Tables, seconds_to_ms};
use crate::decide::relay::admission::QueueDecision;
use crate::decide::relay::{AdmissionDecision, AdmissionRequest, RunEnd, WaiterId};
use crate::model::{NotRunReason, ServiceName, TimeMs, UnknownReason};

/// Fraction of the drain time for which a draining backend server still gets requests that were
/// already on their way.
const DRAIN_FRACTION: f64 = 0.4;
/// Time beyond the deadline in which the backend server may still report the timeout itself, in
/// milliseconds.
const ANSWER_GRACE_MS: u64 = 100;
/// Least time left with which a request is still sent to the backend server, in milliseconds.
const MIN_LEFT_MS: u64 = 5;
/// Retry-after time if the backend server beside this daemon is draining or gone, in
/// milliseconds: about two heartbeats.
const LEAVING_RETRY_MS: u64 = 500;
/// How long an unreachable backend server is not tried again, in milliseconds. Also the
/// retry-after time when it refuses a request.
pub(super) const UNREACHABLE_MS: u64 = 400;
/// Retry-after time of a request that is held back because it crashes backend servers, in
/// milliseconds.
pub(super) const HELD_BACK_RETRY_MS: u64 = 60_000;
/// Longest idle time of a connection that is reused for a non-idempotent request, in
/// milliseconds. The backend server may close an idle connection while the request is being sent,
/// which would leave its outcome unknown.
const NON_IDEMPOTENT_IDLE_MS: u64 = 1_500;

/// One request for the backend server beside this daemon.
#[derive(Debug)]
pub struct LocalRequest {
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request.
    pub uri: Uri,
    /// Headers of the caller's request, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Metadata from the entry daemon.
    pub hop: HopRequest,
    /// When the caller stops waiting for the answer.
    pub deadline: TimeMs,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// An answer of a backend server.
#[derive(Debug)]
pub struct Done {
    /// The response; its body may still be arriving.
    pub response: Box<Response<RelayBody>>,
    /// Time from the start of the run to the head of the answer, in milliseconds.
    pub took_ms: u64,
    /// Whether the answer is a server error and a nested call of the request has failed too.
    pub nested_call_failed: bool,
}

/// The outcome of a request for a backend server.
#[derive(Debug)]
pub enum ExecutionOutcome {
    /// The backend server has answered.
    Done(Done),
    /// It has not run and will not.
    NotRun {
        /// Why it has not run.
        reason: NotRunReason,
        /// When the caller may retry, in milliseconds from now.
        retry_after_ms: u64,
        /// Whether the request reached the backend server.
        arrived: bool,
    },
    /// It may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: UnknownReason,
    },
}

impl ExecutionOutcome {
    /// Time that the backend server took, in milliseconds; 0 if it has not answered.
    pub fn took_ms(&self) -> u64 {
        match self {
            ExecutionOutcome::Done(done) => done.took_ms,
            ExecutionOutcome::NotRun { .. } | ExecutionOutcome::Unknown { .. } => 0,
        }
    }

    /// A refusal before the request reached the backend server.
    pub fn not_run(reason: NotRunReason, retry_after_ms: u64) -> ExecutionOutcome {
        ExecutionOutcome::NotRun {
            reason,
            retry_after_ms,
            arrived: false,
        }
    }
}

impl LocalRequest {
    /// Builds the request from a hop of another daemon.
    pub fn from_hop(relay: &Relay, parts: Parts, hop: HopRequest) -> LocalRequest {
        let mut headers = parts.headers;
        strip_connection_headers(&mut headers);
        LocalRequest {
            method: parts.method,
            uri: parts.uri,
            headers,
            deadline: relay.clock.now().plus_ms(hop.left_ms),
            idempotent: hop.key.is_none(),
            hop,
        }
    }

    pub(super) fn request_id<'a>(&'a self, relay: &Relay) -> &'a str {
        let id = self.headers.get(&relay.header_names.request_id);
        id.and_then(|id| id.to_str().ok()).unwrap_or_default()
    }
}

/// Admits the request, sends it to the backend server and waits for the head of the answer.
/// Dropping the future cancels the request: it leaves the queue, or its connection is closed.
pub async fn run(
    relay: &Arc<Relay>,
    local_request: LocalRequest,
    body: RelayBody,
) -> ExecutionOutcome {
    let started = relay.clock.now();
    let executed = match admit(relay, &local_request).await {
        Ok(slot) => {
            let waited_ms = relay.clock.now().since_ms(started);
            log_start(relay, &local_request, waited_ms);
            exchange(relay, local_request, body, slot).await
        }
        Err(refused) => {
            log_refusal(relay, &local_request, &refused, started);
            refused
        }
    };
    relay
        .metrics
        .executed(&executed, relay.clock.now().since_ms(started));
    executed
}

/// An occupied slot of the backend server, released on drop.
struct Slot {
    relay: Arc<Relay>,
    route: ServiceName,
    request_id: String,
    started: TimeMs,
    took_ms: Option<u64>,
    /// Usual duration of the route over all workers, in milliseconds, if the entry knows it.
    usual_ms: Option<u32>,
    /// Process whose capacity estimates count the request.
    counted_by: Option<u64>,
}

impl Slot {
    fn new(relay: &Arc<Relay>, local_request: &LocalRequest, tables: &mut Tables) -> Slot {
        let request_id = local_request.request_id(relay).to_owned();
        let running = RunningRequest {
            root: local_request.hop.root.clone(),
            is_retry: local_request.hop.is_retry,
            has_failed_call: false,
        };
        tables.running.insert(request_id.clone(), running);
        let started = relay.clock.now();
        let counted_by = tables.count_start(started, &local_request.hop.route);
        Slot {
            relay: Arc::clone(relay),
            route: local_request.hop.route.clone(),
            request_id,
            started,
            took_ms: None,
            usual_ms: local_request.hop.usual_ms,
            counted_by,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut tables = self.relay.tables();
        let ended = tables.running.remove(&self.request_id);
        if let Some(ended) = ended
            && self.relay.names_organisations()
        {
            let now = self.relay.clock.now();
            tables.ended.record(now, &self.request_id, ended);
        }
        tables.admission.finished(&self.route, self.took_ms);
        let now = self.relay.clock.now();
        let end = self.took_ms.map(|took_ms| RunEnd {
            took_ms,
            usual_ms: self.usual_ms,
        });
        tables.count_end(now, self.counted_by, &self.route, end);
        self.relay.decide_capacity(&mut tables, now);
        start_waiting(&self.relay, &mut tables);
    }
}

/// Starts queued requests while slots are free, and refuses those with too little time left.
fn start_waiting(relay: &Arc<Relay>, tables: &mut Tables) {
    let now = relay.clock.now();
    while let Some(decision) = tables.admission.next(now) {
        let waiter_id = match decision {
            QueueDecision::Start(waiter_id) | QueueDecision::Refuse { waiter_id, .. } => waiter_id,
        };
        let waiter = tables.waiting.remove(&waiter_id);
        let was_delivered = waiter.is_some_and(|waiter| waiter.send(decision).is_ok());
        if !was_delivered && let QueueDecision::Start(_) = decision {
            tables.admission.released();
        }
    }
    pace(relay, tables);
}

/// Has the queue looked at again when the rate limit lets its head start.
fn pace(relay: &Arc<Relay>, tables: &mut Tables) {
    let now = relay.clock.now();
    if tables.is_pacing {
        return;
    }
    let Some(until) = tables.admission.paced_until(now) else {
        return;
    };
    tables.is_pacing = true;
    let wait = Duration::from_millis(until.since_ms(now).max(1));
    let relay = Arc::clone(relay);
    tokio::spawn(async move {
        tokio::time::sleep(wait).await;
        let mut tables = relay.tables();
        tables.is_pacing = false;
        start_waiting(&relay, &mut tables);
    });
}

/// A place in the queue, removed from it on drop.
struct QueueEntry {
    relay: Arc<Relay>,
    waiter_id: WaiterId,
    receiver: oneshot::Receiver<QueueDecision>,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut tables = self.relay.tables();
        tables.waiting.remove(&self.waiter_id);
        if tables.admission.cancel(self.waiter_id) {
            return;
        }
        // The decision may have been sent but not received; its slot must be released.
        if let Ok(QueueDecision::Start(_)) = self.receiver.try_recv() {
            tables.admission.released();
            start_waiting(&self.relay, &mut tables);
        }
    }
}

async fn admit(relay: &Arc<Relay>, local_request: &LocalRequest) -> Result<Slot, ExecutionOutcome> {
    let mut queue_entry = {
        let mut tables = relay.tables();
        let tables = &mut *tables;
        let now = relay.clock.now();
        check_worker(relay, tables, local_request, now)?;
        let expected_ms = tables.admission.expected_ms(&local_request.hop.route);
        if local_request.hop.is_first {
            tables
                .worker_shares
                .record_arrival(&local_request.hop.root, expected_ms);
        }
        let request = AdmissionRequest {
            route: &local_request.hop.route,
            priority: local_request.hop.root.priority,
            organisation: local_request.hop.root.organisation.as_ref(),
            is_call: local_request.hop.is_call,
            deadline: local_request.deadline,
        };
        match tables.admission.admit(now, request) {
            AdmissionDecision::Start => return Ok(Slot::new(relay, local_request, tables)),
            AdmissionDecision::TooLate => {
                return Err(ExecutionOutcome::not_run(NotRunReason::DeadlineTooShort, 0));
            }
            AdmissionDecision::Refuse { retry_after_ms } => {
                tables.worker_shares.record_refusal();
                return Err(ExecutionOutcome::not_run(
                    NotRunReason::Overloaded,
                    retry_after_ms,
                ));
            }
            AdmissionDecision::Wait(waiter_id) => {
                let (sender, receiver) = oneshot::channel();
                tables.waiting.insert(waiter_id, sender);
                if tables.admission.has_dropped() {
                    tables.worker_shares.record_refusal();
                    start_waiting(relay, tables);
                } else {
                    pace(relay, tables);
                }
                QueueEntry {
                    relay: Arc::clone(relay),
                    waiter_id,
                    receiver,
                }
            }
        }
    };
    let wait_ms = local_request.deadline.since_ms(relay.clock.now());
    let waited =
        tokio::time::timeout(Duration::from_millis(wait_ms), &mut queue_entry.receiver).await;
    match waited {
        Ok(Ok(QueueDecision::Start(_))) => {
            let mut tables = relay.tables();
            let now = relay.clock.now();
            // Created before the check, so that dropping it releases the slot if the worker no
            // longer takes requests.
            let slot = Slot::new(relay, local_request, &mut tables);
            let checked = check_worker(relay, &mut tables, local_request, now);
            drop(tables);
            checked.map(|()| slot)
        }
        Ok(Ok(QueueDecision::Refuse { retry_after_ms, .. })) => Err(ExecutionOutcome::not_run(
            NotRunReason::QueueTimeout,
            retry_after_ms,
        )),
        _ => Err(ExecutionOutcome::not_run(NotRunReason::QueueTimeout, 0)),
    }
}

/// Checks that the instance named by the request is the one beside this daemon and that it takes
/// requests.
fn check_worker(
    relay: &Relay,
    tables: &mut Tables,
    local_request: &LocalRequest,
    now: TimeMs,
) -> Result<(), ExecutionOutcome> {
    let drain_ms = seconds_to_ms(relay.settings.load().bounds.drain_s * DRAIN_FRACTION);
    let refuse = |reason| Err(ExecutionOutcome::not_run(reason, LEAVING_RETRY_MS));
    if *relay.stage.borrow() > Stage::Serving {
        return refuse(NotRunReason::Leaving);
    }
    if tables.is_held_back(local_request.hop.digest) {
        return Err(ExecutionOutcome::not_run(
            NotRunReason::HeldBack,
            HELD_BACK_RETRY_MS,
        ));
    }
    let Some(worker) = &tables.worker else {
        return refuse(NotRunReason::NoWorker);
    };
    if worker.heartbeat.instance != local_request.hop.instance {
        return refuse(NotRunReason::WrongIncarnation);
    }
    if !worker.takes_work(now, drain_ms) {
        return refuse(NotRunReason::Leaving);
    }
    if tables
        .worker_unreachable_since
        .is_some_and(|at| now.since_ms(at) < UNREACHABLE_MS)
    {
        return refuse(NotRunReason::BackendUnreachable);
    }
    if local_request.deadline.since_ms(now) < MIN_LEFT_MS {
        return Err(ExecutionOutcome::not_run(NotRunReason::DeadlineTooShort, 0));
    }
    Ok(())
}

async fn exchange(
    relay: &Arc<Relay>,
    local_request: LocalRequest,
    body: RelayBody,
    mut slot: Slot,
) -> ExecutionOutcome {
    let address = relay.settings.load().backend_address;
    let request_id = local_request.request_id(relay).to_owned();
    let instance = local_request.hop.instance.clone();
    let digest = local_request.hop.digest;
    let path = local_request.uri.path().to_owned();
    let (deadline, idempotent) = (local_request.deadline, local_request.idempotent);
    let is_retry = local_request.hop.is_retry;
    relay.tables().arrivals.record(relay.clock.now(), is_retry);
    let left_ms = deadline.since_ms(relay.clock.now());
    let max_idle_ms = if idempotent {
        u64::MAX
    } else {
        NON_IDEMPOTENT_IDLE_MS
    };
    let request = worker_request(relay, local_request, body, left_ms);
    let timeout = Duration::from_millis(left_ms + ANSWER_GRACE_MS);
    let answer = async {
        let exchanged = relay.pool.exchange(address, request, max_idle_ms).await?;
        relay.tables().worker_unreachable_since = None;
        let took_ms = relay.clock.now().since_ms(slot.started);
        let executed = classify_answer(relay, &request_id, &instance, exchanged, took_ms);
        Ok::<_, ExchangeError>(buffer_if_short(relay, &request_id, executed).await)
    };
    let result = match tokio::time::timeout(timeout, answer).await {
        Ok(result) => result,
        Err(_) => {
            let cause = "no answer in time";
            return unknown_outcome(relay, &request_id, UnknownReason::DeadlinePassed, cause);
        }
    };
    let executed = match result {
        Ok(mut executed) => {
            if let ExecutionOutcome::Done(done) = &mut executed {
                slot.took_ms = Some(done.took_ms);
                relay.record_ended_well(digest);
                done.nested_call_failed =
                    done.response.status().is_server_error() && relay.has_failed_call(&request_id);
            }
            executed
        }
        Err(ExchangeError::NotSent { message, .. }) => {
            relay.tables().worker_unreachable_since = Some(relay.clock.now());
            let cause = message;
            spdlog::warn!("the backend server cannot be reached", kv: { request_id, cause });
            ExecutionOutcome::not_run(NotRunReason::BackendUnreachable, UNREACHABLE_MS)
        }
        Err(ExchangeError::Broken { message, .. }) => {
            unknown_outcome(relay, &request_id, UnknownReason::BackendBroke, &message)
        }
    };
    if let ExecutionOutcome::Unknown {
        reason: UnknownReason::BackendBroke,
    } = executed
        && relay.crash_probe.has_ended(&relay.clock, address).await
    {
        log_crash(relay, &request_id, &instance, digest, &path);
        relay.record_crash(&instance, digest, slot.started);
    }
    executed
}

/// Buffers a short answer; if its body breaks off, the outcome is unknown.
async fn buffer_if_short(
    relay: &Relay,
    request_id: &str,
    executed: ExecutionOutcome,
) -> ExecutionOutcome {
    let ExecutionOutcome::Done(done) = executed else {
        return executed;
    };
    let (parts, body) = done.response.into_parts();
    match body.buffer_if_short().await {
        Ok(body) => ExecutionOutcome::Done(Done {
            response: Box::new(Response::from_parts(parts, body)),
            ..done
        }),
        Err(error) => unknown_outcome(
            relay,
            request_id,
            UnknownReason::BackendBroke,
            &error.to_string(),
        ),
    }
}

fn worker_request(
    relay: &Relay,
    local_request: LocalRequest,
    body: RelayBody,
    left_ms: u64,
) -> Request<RelayBody> {
    let mut request = Request::new(body);
    *request.method_mut() = local_request.method;
    *request.uri_mut() = local_request.uri;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = local_request.headers;
    let header_names = &relay.header_names;
    let headers = request.headers_mut();
    // The entry has done this too, unless it had a configuration without organisations.
    let configuration = relay.configuration.load();
    let table = configuration.as_ref().map(|known| &known.table);
    let organisation = local_request.hop.root.organisation.as_ref();
    identify::replace_headers(relay, table, headers, organisation);
    headers.insert(
        header_names.time_left_ms.clone(),
        HeaderValue::from(left_ms),
    );
    if let Ok(instance) = HeaderValue::try_from(local_request.hop.instance) {
        headers.insert(header_names.expected_instance.clone(), instance);
    }
    request
}

/// Converts the outcome to a response to another daemon; refusals and unknown outcomes become a
/// status without a body.
pub fn into_response(executed: ExecutionOutcome) -> Response<RelayBody> {
    match executed {
        ExecutionOutcome::Done(done) => *done.response,
        ExecutionOutcome::NotRun { .. } => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        ExecutionOutcome::Unknown { .. } => empty_response(StatusCode::BAD_GATEWAY),
    }
}
