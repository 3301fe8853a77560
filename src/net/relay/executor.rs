//! Runs requests on the backend server beside this daemon. All requests to that backend server
//! pass through here.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};

use super::answer_end::{AbandonGuard, EndWatcher, OpenRun, RunSuspect};
use super::answers::classify_answer;
use super::body::RelayBody;
use super::executor_log::{log_refusal, log_start, unknown_outcome};
use super::hop::{HopRequest, empty_response, strip_connection_headers};
use super::identify;
use super::pool::ExchangeError;
use super::slot::{Slot, admit};
use super::state::Relay;
use crate::model::{NotRunReason, TimeMs, UnknownReason};

/// Time beyond the deadline in which the backend server may still report the timeout itself, in
/// milliseconds.
const ANSWER_GRACE_MS: u64 = 100;
/// How long an unreachable backend server is not tried again, in milliseconds. Also the
/// retry-after time when it refuses a request.
pub(super) const UNREACHABLE_MS: u64 = 400;
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
    /// Whether the body ends with the backend server's connection, so that a crash looks like its end.
    pub ends_with_connection: bool,
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

async fn exchange(
    relay: &Arc<Relay>,
    local_request: LocalRequest,
    body: RelayBody,
    mut slot: Slot,
) -> ExecutionOutcome {
    let address = relay.settings.load().backend_address;
    let request_id = local_request.request_id(relay).to_owned();
    let suspect = RunSuspect {
        digest: local_request.hop.digest,
        instance: local_request.hop.instance.clone(),
        path: local_request.uri.path().to_owned(),
    };
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
        let pool = &relay.pool;
        let exchanged = pool
            .exchange_with_backend(address, request, max_idle_ms, &request_id)
            .await?;
        relay.tables().worker_unreachable_since = None;
        let took_ms = relay.clock.now().since_ms(slot.started);
        let executed = classify_answer(relay, &request_id, &suspect.instance, exchanged, took_ms);
        Ok::<_, ExchangeError>(buffer_if_short(relay, &request_id, executed).await)
    };
    let unless_abandoned = AbandonGuard::new(relay, &suspect, slot.started);
    let result = match tokio::time::timeout(timeout, answer).await {
        Ok(result) => {
            unless_abandoned.run_ended();
            result
        }
        Err(_) => {
            let cause = "no answer in time";
            return unknown_outcome(relay, &request_id, UnknownReason::DeadlinePassed, cause);
        }
    };
    let mut executed = match result {
        Ok(mut executed) => {
            if let ExecutionOutcome::Done(done) = &mut executed {
                slot.head_ms = Some(done.took_ms);
                done.nested_call_failed =
                    done.response.status().is_server_error() && relay.has_failed_call(&request_id);
            }
            executed
        }
        Err(ExchangeError::NotSent { message, .. }) => {
            relay.tables().worker_unreachable_since = Some(relay.clock.now());
            suspect.record_abandoned_if_crashed(&slot).await;
            let cause = message;
            spdlog::warn!("the backend server cannot be reached", kv: { request_id, cause });
            ExecutionOutcome::not_run(NotRunReason::BackendUnreachable, UNREACHABLE_MS)
        }
        Err(ExchangeError::Broken { message, .. }) => {
            unknown_outcome(relay, &request_id, UnknownReason::BackendBroke, &message)
        }
    };
    match &mut executed {
        ExecutionOutcome::Unknown {
            reason: UnknownReason::BackendBroke,
        } => {
            suspect.record_if_crashed(&slot).await;
        }
        ExecutionOutcome::Done(done) => {
            let run = EndWatcher::Run(Box::new(OpenRun {
                slot,
                suspect,
                ends_with_connection: done.ends_with_connection,
            }));
            let body = done.response.body_mut();
            let left_ms = deadline.since_ms(relay.clock.now()) + ANSWER_GRACE_MS;
            body.end_within(Duration::from_millis(left_ms));
            body.watch(run);
        }
        ExecutionOutcome::Unknown { .. } | ExecutionOutcome::NotRun { .. } => {}
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
