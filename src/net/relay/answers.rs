//! Derives the outcome of a request from the backend server's answer and returns the connection
//! to its pool.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

use super::body::{PooledConnection, RelayBody};
use super::capacity::Answered;
use super::executor::{Done, ExecutionOutcome, UNREACHABLE_MS};
use super::executor_log::unknown_outcome;
use super::hop::{KEEP_ALIVE, strip_connection_headers};
use super::pool::{Exchanged, Sender};
use super::state::Relay;
use crate::decide::relay::{AnsweredRate, StatedRate};
use crate::model::{NotRunReason, TimeMs, UnknownReason};
use crate::net::http;

/// How long an idle connection is kept if the backend server sends no keep-alive timeout, in
/// milliseconds.
const DEFAULT_KEEP_MS: u64 = 3_000;
/// Fraction of the announced keep-alive timeout for which an idle connection is kept, so that it
/// is dropped here before the backend server closes it.
const KEEP_FRACTION: f64 = 0.75;
/// Most bytes of an unneeded body that are read in order to keep the connection.
const MAX_DISCARDED_BYTES: usize = 16 * 1024;
/// Longest time for which an unneeded body is read, in milliseconds.
const DISCARD_TIMEOUT_MS: u64 = 500;

/// Derives the outcome of a request from the headers and status of the backend server's answer.
pub(super) fn classify_answer(
    relay: &Relay,
    request_id: &str,
    instance: &str,
    exchanged: Exchanged,
    took_ms: u64,
) -> ExecutionOutcome {
    let Exchanged {
        response,
        mut sender,
    } = exchanged;
    let header_names = &relay.header_names;
    let headers = response.headers();
    let status = response.status();
    if !http::is_final(status) {
        let message = format!("status {} is none of an answer", status.as_u16());
        return unknown_outcome(relay, request_id, UnknownReason::BackendBroke, &message);
    }
    // The answer belongs to another request, for example a late or duplicate one, or does not say
    // to which it belongs. The answer to this request may still arrive, so its outcome is unknown.
    let echoed = headers
        .get(&header_names.request_id)
        .map(HeaderValue::as_bytes);
    if echoed != Some(request_id.as_bytes()) {
        return unknown_outcome(
            relay,
            request_id,
            UnknownReason::BackendBroke,
            "answer to another request",
        );
    }
    let has_refused = headers.contains_key(&header_names.not_run);
    if status != StatusCode::MISDIRECTED_REQUEST {
        let rate = headers.get_all(&header_names.rate_limit).iter();
        let rate = StatedRate::parse(rate.map(HeaderValue::as_bytes));
        let heard_at = relay.clock.now();
        let is_refusal = has_refused || !headers.contains_key(&header_names.signature);
        let answered = AnsweredRate {
            sent_at: TimeMs(heard_at.0.saturating_sub(took_ms)),
            heard_at,
            rate,
            is_refusal,
        };
        relay.record_stated_rate(instance, answered);
        relay.record_answered_load(Answered {
            instance,
            sent_at: answered.sent_at,
            headers,
            is_refusal: has_refused,
        });
        if header_names.is_leaving(headers) {
            relay.record_stated_leaving(instance);
        }
    }
    if has_refused || status == StatusCode::MISDIRECTED_REQUEST {
        let retry_after_ms = UNREACHABLE_MS;
        let reason = if status == StatusCode::MISDIRECTED_REQUEST {
            NotRunReason::WrongIncarnation
        } else {
            NotRunReason::Overloaded
        };
        sender.record_refusal(request_id);
        discard_body(relay, response, sender);
        return ExecutionOutcome::NotRun {
            reason,
            retry_after_ms,
            arrived: true,
        };
    }
    let is_signed = headers.contains_key(&header_names.signature);
    if !is_signed && (status.is_success() || promises_not_run(status)) {
        let message = format!("status {status} without a signature");
        return unknown_outcome(relay, request_id, UnknownReason::BackendBroke, &message);
    }
    let has_length = response.body().size_hint().exact().is_some();
    let is_chunked = headers.contains_key(TRANSFER_ENCODING);
    ExecutionOutcome::Done(Done {
        response: Box::new(answer(relay, response, sender)),
        took_ms,
        nested_call_failed: false,
        ends_with_connection: !has_length && !is_chunked,
    })
}

/// Whether the status tells a caller that its request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn answer(relay: &Relay, response: Response<Incoming>, sender: Sender) -> Response<RelayBody> {
    let (mut parts, incoming) = response.into_parts();
    let connection = PooledConnection {
        pool: Arc::clone(&relay.pool),
        key: relay.settings.load().backend_address,
        sender,
        keep_ms: keep_ms(&parts.headers),
    };
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(&relay.header_names.load);
    Response::from_parts(parts, RelayBody::answer(incoming, Some(connection)))
}

/// Reads an unneeded body to its end, so that the connection returns to the pool; one that is long
/// or slow ends with its connection.
fn discard_body(relay: &Relay, response: Response<Incoming>, sender: Sender) {
    let (_, body) = answer(relay, response, sender).into_parts();
    if let RelayBody::Streamed(_) = body {
        tokio::spawn(async move {
            let body = Limited::new(body, MAX_DISCARDED_BYTES);
            let timeout = Duration::from_millis(DISCARD_TIMEOUT_MS);
            let discarded = tokio::time::timeout(timeout, body.collect()).await;
            if !matches!(discarded, Ok(Ok(_))) {
                spdlog::info!("the body of a refusal was not read to its end", kv: {
                    MAX_DISCARDED_BYTES, DISCARD_TIMEOUT_MS
                });
            }
        });
    }
}

/// How long the connection may stay idle in the pool, in milliseconds; 0 if the backend server
/// closes it after this answer.
fn keep_ms(headers: &HeaderMap) -> u64 {
    let closes = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok());
    if closes.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return 0;
    }
    let announced = headers
        .get(KEEP_ALIVE)
        .and_then(|value| value.to_str().ok());
    let timeout_s = announced.and_then(|value| {
        let mut parts = value.split(',');
        parts.find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    timeout_s.map_or(DEFAULT_KEEP_MS, |timeout_s| {
        (timeout_s as f64 * 1_000.0 * KEEP_FRACTION) as u64
    })
}
