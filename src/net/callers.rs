//! HTTP API for callers: calls, tickets, and queries for the outcome of a key.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde::Serialize;

use super::backend::{CALLER_HEADER, KEY_HEADER, OUTCOME_HEADER, TIME_LEFT_HEADER};
use super::http::{self, FullResponse};
use super::node_driver::{CallResult, NodeDriver};
use crate::decide::message::ParentCall;
use crate::decide::{CallerRequest, Event};
use crate::model::{CallKey, NotRunReason, Outcome, Ticket, UnknownReason};

/// Header with a sequence number: the caller has the outcome of every call of the key's ticket
/// below it.
pub const ACKNOWLEDGED_HEADER: &str = "burdockhall-acknowledged-below";

#[derive(Debug, Serialize)]
struct TicketBody {
    ticket: String,
}

#[derive(Debug, Serialize)]
struct ClosedBody {
    closed: bool,
}

#[derive(Debug, Serialize)]
struct OutcomeBody {
    outcome: &'static str,
    reason: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    remedy: &'static str,
}

/// Routes one request of a caller.
pub async fn handle(driver: Arc<NodeDriver>, request: Request<Bytes>) -> FullResponse {
    let (parts, body) = request.into_parts();
    let Some(segments) = path_segments(parts.uri.path()) else {
        let message = "the path is not percent-encoded UTF-8; write # as %23 and ~ as ~ or %7E";
        return http::error(StatusCode::BAD_REQUEST, message);
    };
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    match (parts.method, segments.as_slice()) {
        (Method::POST, ["ticket", service]) => issue_ticket(&driver, service),
        (Method::DELETE, ["ticket", ticket]) => close_ticket(&driver, ticket),
        (Method::GET, ["key", key]) => query_key(&driver, key).await,
        (_, ["call", service, name]) => {
            match caller_request(&parts.headers, service, name, None, body) {
                Ok(request) => call(&driver, request).await,
                Err(message) => http::error(StatusCode::BAD_REQUEST, &message),
            }
        }
        _ => http::error(
            StatusCode::NOT_FOUND,
            "no such route; there are /call/{service}/{request}, POST /ticket/{service}, \
             DELETE /ticket/{ticket} and GET /key/{key}",
        ),
    }
}

/// Dispatches a call and converts its outcome into a response.
pub async fn call(driver: &Arc<NodeDriver>, request: CallerRequest) -> FullResponse {
    let result = driver
        .wait_for_outcome(|call| Event::CallArrived { call, request })
        .await;
    respond(result)
}

/// Builds a call from its path segments, headers and body; returns a message for the caller if a
/// header is malformed.
pub fn caller_request(
    headers: &HeaderMap,
    service: &str,
    name: &str,
    parent: Option<ParentCall>,
    body: Bytes,
) -> Result<CallerRequest, String> {
    let key = match http::header(headers, KEY_HEADER) {
        Some(text) => Some(text.parse::<CallKey>().map_err(|error| error.to_string())?),
        None => None,
    };
    Ok(CallerRequest {
        service: service.into(),
        request: name.into(),
        caller: http::header(headers, CALLER_HEADER)
            .unwrap_or_default()
            .into(),
        key,
        acknowledged_below: number_header(headers, ACKNOWLEDGED_HEADER)?,
        time_left_ms: number_header(headers, TIME_LEFT_HEADER)?,
        parent,
        body,
    })
}

fn issue_ticket(driver: &Arc<NodeDriver>, service: &str) -> FullResponse {
    match driver.node.issue_ticket(&service.into()) {
        Some(ticket) => {
            let body = TicketBody {
                ticket: ticket.to_string(),
            };
            http::json(StatusCode::OK, &body)
        }
        None if driver.node.is_draining() => http::error(
            StatusCode::SERVICE_UNAVAILABLE,
            "the daemon is leaving and issues no more tickets; ask another daemon",
        ),
        None => http::error(
            StatusCode::SERVICE_UNAVAILABLE,
            "no worker of the service is known yet, or the table of tickets is full; \
             try again in a second, or ask another daemon",
        ),
    }
}

fn close_ticket(driver: &Arc<NodeDriver>, text: &str) -> FullResponse {
    let ticket = match text.parse::<Ticket>() {
        Ok(ticket) => ticket,
        Err(error) => return http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    if driver.node.close_ticket(&ticket) {
        return http::json(StatusCode::OK, &ClosedBody { closed: true });
    }
    http::error(
        StatusCode::CONFLICT,
        "the ticket is not open at this daemon, or one of its calls is still running; \
         ask the daemon that issued it, after the last answer",
    )
}

async fn query_key(driver: &Arc<NodeDriver>, text: &str) -> FullResponse {
    let key = match text.parse::<CallKey>() {
        Ok(key) => key,
        Err(error) => return http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let result = driver
        .wait_for_outcome(|call| Event::KeyQueried { call, key })
        .await;
    respond(result)
}

/// Splits a path at slashes and percent-decodes each segment; `None` if one is malformed.
fn path_segments(path: &str) -> Option<Vec<String>> {
    path.trim_matches('/')
        .split('/')
        .map(percent_decode)
        .collect()
}

/// Percent-decodes a path segment, in which `+` stands for itself.
fn percent_decode(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, after @ ..] = rest {
        if *first != b'%' {
            decoded.push(*first);
            rest = after;
            continue;
        }
        let digits = std::str::from_utf8(after.get(..2)?).ok()?;
        if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
            return None;
        }
        decoded.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &after[2..];
    }
    String::from_utf8(decoded).ok()
}

fn number_header(headers: &HeaderMap, name: &str) -> Result<Option<u64>, String> {
    let Some(text) = http::header(headers, name) else {
        return Ok(None);
    };
    let number = text
        .parse()
        .map_err(|_| format!("the header {name} is {text:?}, not a whole number"))?;
    Ok(Some(number))
}

fn respond(result: Option<CallResult>) -> FullResponse {
    let Some(result) = result else {
        return http::error(StatusCode::SERVICE_UNAVAILABLE, "the daemon is stopping");
    };
    match result.outcome {
        Outcome::Done(answer) => {
            let mut response = Response::new(Full::new(answer.body));
            *response.status_mut() =
                StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            if let Ok(value) = HeaderValue::from_str(&answer.content_type)
                && !value.is_empty()
            {
                response.headers_mut().insert(CONTENT_TYPE, value);
            }
            with_outcome(response, "done")
        }
        Outcome::NotRun(refusal) => {
            let body = OutcomeBody {
                outcome: "not-run",
                reason: refusal.reason.to_string(),
                retry_after_ms: Some(refusal.retry_after_ms),
                remedy: not_run_remedy(refusal.reason),
            };
            let mut response = http::json(not_run_status(refusal.reason), &body);
            let seconds = refusal.retry_after_ms.div_ceil(1_000).max(1);
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
            with_outcome(response, "not-run")
        }
        Outcome::Unknown(reason) => {
            let body = OutcomeBody {
                outcome: "unknown",
                reason: reason.to_string(),
                retry_after_ms: None,
                remedy: "ask GET /key/{key} for the outcome; do not send the request with a new key",
            };
            let response = http::json(unknown_status(reason), &body);
            with_outcome(response, "unknown")
        }
    }
}

fn with_outcome(mut response: FullResponse, outcome: &'static str) -> FullResponse {
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    response
}

fn not_run_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::KeyRequired | NotRunReason::IdempotentParent => {
            StatusCode::PRECONDITION_REQUIRED
        }
        NotRunReason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        NotRunReason::ShedAtEntry | NotRunReason::ShareExhausted => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn not_run_remedy(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::KeyRequired => {
            "the request is not idempotent: get a ticket with POST /ticket/{service} and send the \
             header burdockhall-key: N:TICKET, counting N up from 0"
        }
        NotRunReason::IdempotentParent => {
            "a non-idempotent call was made beneath an idempotent one: mark the outer request \
             as non-idempotent in the sheet"
        }
        NotRunReason::KeyReused => "the key belongs to another request: count it up",
        _ => "come back after the time given, with a new key if the request has one",
    }
}

fn unknown_status(reason: UnknownReason) -> StatusCode {
    match reason {
        UnknownReason::KeyAcknowledged => StatusCode::GONE,
        UnknownReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}
