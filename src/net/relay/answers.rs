//! What an answer of the backend server proves, and what becomes of its connection.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};

use super::body::{Lent, RelayBody};
use super::executor::{Done, Executed, LOST_MS, unknown};
use super::hop::{KEEP_ALIVE, strip_connection_headers};
use super::pool::Exchanged;
use super::state::Relay;
use crate::model::{NotRunReason, UnknownReason};

/// Time for which an unused connection is kept if the backend server does not say, in
/// milliseconds.
const DEFAULT_KEEP_MS: u64 = 3_000;
/// Part of the announced time for which an unused connection is kept.
const KEEP_SHARE: f64 = 0.75;

/// What an answer of the backend server proves.
pub(super) fn judge(
    relay: &Relay,
    request_id: &str,
    exchanged: Exchanged,
    took_ms: u64,
) -> Executed {
    let Exchanged { response, sender } = exchanged;
    let dialect = &relay.dialect;
    let headers = response.headers();
    let status = response.status();
    // An answer to another request would be late or doubled: this one's may still come.
    let echoed = headers.get(&dialect.request_id).map(HeaderValue::as_bytes);
    if echoed.is_some_and(|echoed| echoed != request_id.as_bytes()) {
        return unknown(
            relay,
            request_id,
            UnknownReason::BackendBroke,
            "answer to another request",
        );
    }
    let has_refused = headers.contains_key(&dialect.not_run);
    if has_refused || status == StatusCode::MISDIRECTED_REQUEST {
        let retry_after_ms = LOST_MS;
        let reason = if status == StatusCode::MISDIRECTED_REQUEST {
            NotRunReason::WrongIncarnation
        } else {
            NotRunReason::Overloaded
        };
        give_back(relay, response, sender);
        return Executed::NotRun {
            reason,
            retry_after_ms,
            arrived: true,
        };
    }
    let is_signed = headers.contains_key(&dialect.signature);
    if !is_signed && (status.is_success() || is_promise(status) || echoed.is_none()) {
        let message = format!("status {status} without a signature");
        return unknown(relay, request_id, UnknownReason::BackendBroke, &message);
    }
    Executed::Done(Done {
        response: Box::new(answer(relay, response, sender)),
        took_ms,
        failed_beneath: false,
    })
}

/// Statuses by which a caller is promised that its request has not run.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn answer(
    relay: &Relay,
    response: Response<Incoming>,
    sender: SendRequest<RelayBody>,
) -> Response<RelayBody> {
    let (mut parts, incoming) = response.into_parts();
    let lent = Lent {
        pool: Arc::clone(&relay.pool),
        key: relay.settings.load().backend_address,
        sender,
        keep_ms: keep_ms(&parts.headers),
    };
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(&relay.dialect.load);
    Response::from_parts(parts, RelayBody::answer(incoming, Some(lent)))
}

/// Gives a connection back whose answer has a body that nobody needs, if the body is short.
fn give_back(relay: &Relay, response: Response<Incoming>, sender: SendRequest<RelayBody>) {
    let (_, body) = answer(relay, response, sender).into_parts();
    if let RelayBody::Streamed(_) = body {
        tokio::spawn(async move {
            // A body that breaks off ends its connection, which is all there is to do.
            let _ = http_body_util::BodyExt::collect(body).await;
        });
    }
}

/// How long the backend server's connection is kept unused, in milliseconds.
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
        (timeout_s as f64 * 1_000.0 * KEEP_SHARE) as u64
    })
}
