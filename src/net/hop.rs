//! Calls between daemons: one HTTP exchange a message, the message in a header
//! as JSON and the request's or answer's body as the body.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::error::NetError;
use super::http::{self, FullResponse, HttpClient};
use super::pump::Pump;
use crate::decide::{Event, PeerReply, PeerRequest, Priority, WireOutcome};
use crate::model::{CallKey, WorkerId};

const MESSAGE_HEADER: &str = "burdockhall-message";
const REPLY_HEADER: &str = "burdockhall-reply";
/// Connections kept open to each daemon.
const IDLE_CONNECTIONS: usize = 32;

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WireReply {
    from: WorkerId,
    key: Option<CallKey>,
    outcome: WireOutcome,
    allowance_left: u32,
    level: Priority,
    service_ms: u64,
}

/// Sends messages to other daemons.
#[derive(Debug, Clone)]
pub struct HopClient {
    pooled: HttpClient,
    fresh: HttpClient,
}

impl Default for HopClient {
    fn default() -> Self {
        HopClient {
            pooled: http::client(IDLE_CONNECTIONS),
            fresh: http::client(0),
        }
    }
}

impl HopClient {
    /// Sends one message and waits for its reply.
    pub async fn send(
        &self,
        message: PeerRequest,
        fresh_connection: bool,
        timeout_ms: u64,
    ) -> Result<PeerReply, NetError> {
        let address = message.to().address;
        let key = message_key(&message).cloned();
        let request = encode_request(address, message)?;
        let client = if fresh_connection {
            &self.fresh
        } else {
            &self.pooled
        };
        let (_, headers, body) = http::exchange(client, address, request, timeout_ms).await?;
        let reply = decode_reply(address, &headers, body)?;
        if reply.key.is_some() && reply.key != key {
            return Err(NetError::Broken {
                address,
                message: "the reply is about another key".to_owned(),
            });
        }
        Ok(reply)
    }
}

/// Answers one message from another daemon.
pub async fn handle(pump: Arc<Pump>, request: Request<Bytes>) -> FullResponse {
    let (parts, body) = request.into_parts();
    let message = match decode_request(&parts.headers, body) {
        Ok(message) => message,
        Err(error) => return http::error(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let reply = pump
        .wait_for_peer(|call| Event::PeerArrived { call, message })
        .await;
    match reply.and_then(encode_reply) {
        Some(response) => response,
        None => http::error(StatusCode::SERVICE_UNAVAILABLE, "the daemon is stopping"),
    }
}

fn message_key(message: &PeerRequest) -> Option<&CallKey> {
    match message {
        PeerRequest::Execute(request) | PeerRequest::Submit(request) => request.key.as_ref(),
        PeerRequest::Settle { key, .. } => Some(key),
        PeerRequest::Acknowledge { .. } => None,
    }
}

fn encode_request(
    address: SocketAddr,
    mut message: PeerRequest,
) -> Result<Request<Full<Bytes>>, NetError> {
    let body = match &mut message {
        PeerRequest::Execute(request) | PeerRequest::Submit(request) => {
            std::mem::take(&mut request.body)
        }
        PeerRequest::Settle { .. } | PeerRequest::Acknowledge { .. } => Bytes::new(),
    };
    let malformed = |error: String| NetError::Malformed(error);
    let header = serde_json::to_vec(&message).map_err(|error| malformed(error.to_string()))?;
    Request::post(format!("http://{address}/hop"))
        .header(MESSAGE_HEADER, header)
        .body(Full::new(body))
        .map_err(|error| malformed(error.to_string()))
}

fn decode_request(headers: &HeaderMap, body: Bytes) -> Result<PeerRequest, NetError> {
    let header = headers
        .get(MESSAGE_HEADER)
        .ok_or_else(|| NetError::Malformed(format!("the header {MESSAGE_HEADER} is missing")))?;
    let mut message: PeerRequest = serde_json::from_slice(header.as_bytes())
        .map_err(|error| NetError::Malformed(error.to_string()))?;
    if let PeerRequest::Execute(request) | PeerRequest::Submit(request) = &mut message {
        request.body = body;
    }
    Ok(message)
}

fn encode_reply(reply: PeerReply) -> Option<FullResponse> {
    let (outcome, body) = WireOutcome::from_outcome(reply.outcome);
    let wire = WireReply {
        from: reply.from,
        key: reply.key,
        outcome,
        allowance_left: reply.allowance_left,
        level: reply.level,
        service_ms: reply.service_ms,
    };
    let header = serde_json::to_vec(&wire).ok()?;
    let header = HeaderValue::from_bytes(&header).ok()?;
    let mut response = Response::new(Full::new(body));
    response.headers_mut().insert(REPLY_HEADER, header);
    Some(response)
}

fn decode_reply(
    address: SocketAddr,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<PeerReply, NetError> {
    let broken = |message: String| NetError::Broken { address, message };
    let header = headers
        .get(REPLY_HEADER)
        .ok_or_else(|| broken(format!("the header {REPLY_HEADER} is missing")))?;
    let wire: WireReply =
        serde_json::from_slice(header.as_bytes()).map_err(|error| broken(error.to_string()))?;
    let outcome = wire
        .outcome
        .into_outcome(body)
        .ok_or_else(|| broken("the answer is not whole".to_owned()))?;
    Ok(PeerReply {
        from: wire.from,
        key: wire.key,
        outcome,
        allowance_left: wire.allowance_left,
        level: wire.level,
        service_ms: wire.service_ms,
    })
}
