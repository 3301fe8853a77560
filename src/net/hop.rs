//! Messages about calls between daemons. Each message is one HTTP request: the message is a header
//! in JSON, the body of the call is the body of the HTTP request.
//!
//! A reply is one line of JSON, a newline and the body of the answer. Until it is ready, the
//! replying daemon sends newlines as keep-alives, which the requesting daemon uses to detect a
//! dead connection; see [`super::liveness`].

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::error::NetError;
use super::http::{self, HttpClient};
use super::liveness::{KEEP_ALIVE_INTERVAL_MS, LivenessEvent, LivenessMonitor};
use super::node_driver::NodeDriver;
use crate::decide::{Event, PeerReply, PeerRequest, Priority, WireOutcome};
use crate::model::{CallKey, Clock, WorkerId};

const MESSAGE_HEADER: &str = "burdockhall-message";
/// Most idle connections kept to each daemon.
const IDLE_CONNECTIONS: usize = 32;
/// Keep-alive byte before a reply, and terminator of the reply's JSON line.
const NEWLINE: u8 = b'\n';
/// Largest reply, in bytes: the largest body and 64 KiB for the JSON line.
const MAX_REPLY_BYTES: usize = http::MAX_BODY_BYTES + 64 * 1024;

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

/// HTTP body of a reply.
#[derive(Debug)]
pub enum ReplyBody {
    /// A reply that was ready within [`KEEP_ALIVE_INTERVAL_MS`].
    Whole(Full<Bytes>),
    /// Keep-alives, then the reply.
    Streamed(mpsc::Receiver<Bytes>),
}

impl From<Full<Bytes>> for ReplyBody {
    fn from(body: Full<Bytes>) -> Self {
        ReplyBody::Whole(body)
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            ReplyBody::Whole(body) => Pin::new(body).poll_frame(context),
            ReplyBody::Streamed(chunks) => {
                let chunk = chunks.poll_recv(context);
                chunk.map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Whole(body) => body.is_end_stream(),
            ReplyBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(body) => body.size_hint(),
            ReplyBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Sends messages to other daemons.
#[derive(Debug, Clone)]
pub struct HopClient {
    pooled: HttpClient,
    fresh: HttpClient,
    clock: Clock,
    silence_ms: u64,
}

impl HopClient {
    /// Creates a client that abandons a connection after `silence_ms` milliseconds without a byte.
    pub fn new(clock: Clock, silence_ms: u64) -> HopClient {
        HopClient {
            pooled: http::client(IDLE_CONNECTIONS),
            fresh: http::client(0),
            clock,
            silence_ms,
        }
    }

    /// Sends one message and waits at most `timeout_ms` for its reply.
    pub async fn send(
        &self,
        message: PeerRequest,
        fresh_connection: bool,
        timeout_ms: u64,
    ) -> Result<PeerReply, NetError> {
        let address = message.to().address;
        let key = message_key(&message).cloned();
        let request = encode_request(address, message)?;
        let reply = tokio::time::timeout(
            Duration::from_millis(timeout_ms),
            self.exchange(address, request, fresh_connection),
        );
        let silent = NetError::Silent {
            address,
            timeout_ms,
        };
        let reply = decode_reply(address, reply.await.unwrap_or(Err(silent))?)?;
        if reply.key.is_some() && reply.key != key {
            return Err(NetError::Broken {
                address,
                message: "the reply is about another key".to_owned(),
            });
        }
        Ok(reply)
    }

    /// Sends a request and reads the whole reply; fails if the connection falls silent.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh_connection: bool,
    ) -> Result<Bytes, NetError> {
        let client = if fresh_connection {
            &self.fresh
        } else {
            &self.pooled
        };
        let broken = |message: String| NetError::Broken { address, message };
        let mut monitor = LivenessMonitor::new(self.clock.now(), self.silence_ms);
        let response = http::send(client, address, request);
        let response = self.monitored(&mut monitor, address, response).await??;
        if response.status() != StatusCode::OK {
            return Err(broken(format!("the status is {}", response.status())));
        }
        let mut body = response.into_body();
        let mut received = BytesMut::new();
        while let Some(frame) = self.monitored(&mut monitor, address, body.frame()).await? {
            let frame = frame.map_err(|error| broken(error.to_string()))?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            let is_keep_alive = received.is_empty() && data.iter().all(|byte| *byte == NEWLINE);
            if !is_keep_alive {
                received.extend_from_slice(data);
            }
            if received.len() > MAX_REPLY_BYTES {
                return Err(broken("the reply is too long".to_owned()));
            }
        }
        Ok(received.freeze())
    }

    /// Waits for a future that needs the connection; fails once the connection is abandoned.
    async fn monitored<F: Future>(
        &self,
        monitor: &mut LivenessMonitor,
        address: SocketAddr,
        future: F,
    ) -> Result<F::Output, NetError> {
        let mut future = std::pin::pin!(future);
        loop {
            let wait_ms = monitor.next_check().since_ms(self.clock.now()).max(1);
            let waited = tokio::time::timeout(Duration::from_millis(wait_ms), &mut future).await;
            let now = self.clock.now();
            if let Ok(output) = waited {
                monitor.is_abandoned_after(LivenessEvent::BytesReceived(now));
                return Ok(output);
            }
            if monitor.is_abandoned_after(LivenessEvent::Tick(now)) {
                return Err(NetError::Silent {
                    address,
                    timeout_ms: self.silence_ms,
                });
            }
        }
    }
}

/// Handles one message from another daemon.
pub async fn handle(driver: Arc<NodeDriver>, request: Request<Bytes>) -> Response<ReplyBody> {
    let (parts, body) = request.into_parts();
    let message = match decode_request(&parts.headers, body) {
        Ok(message) => message,
        Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let mut reply = Box::pin(async move {
        let event = |call| Event::PeerArrived { call, message };
        driver.wait_for_reply(event).await
    });
    let interval = Duration::from_millis(KEEP_ALIVE_INTERVAL_MS);
    match tokio::time::timeout(interval, &mut reply).await {
        Ok(reply) => match reply.and_then(encode_reply) {
            Some((line, body)) => {
                let whole = Full::new([line, body].concat().into());
                Response::new(ReplyBody::Whole(whole))
            }
            None => refusal(StatusCode::SERVICE_UNAVAILABLE, "the daemon is stopping"),
        },
        Err(_) => {
            let (sender, chunks) = mpsc::channel(2);
            tokio::spawn(stream_reply(reply, sender));
            Response::new(ReplyBody::Streamed(chunks))
        }
    }
}

/// Sends keep-alives until the reply is ready, then the reply. Drops the reply if the connection is
/// closed first.
async fn stream_reply<F>(mut reply: Pin<Box<F>>, sender: mpsc::Sender<Bytes>)
where
    F: Future<Output = Option<PeerReply>>,
{
    let mut interval = tokio::time::interval(Duration::from_millis(KEEP_ALIVE_INTERVAL_MS));
    loop {
        tokio::select! {
            ready = &mut reply => {
                if let Some((line, body)) = ready.and_then(encode_reply) {
                    let _ = sender.send(line).await;
                    let _ = sender.send(body).await;
                }
                return;
            }
            () = sender.closed() => return,
            _ = interval.tick() => {
                let _ = sender.try_send(Bytes::from_static(&[NEWLINE]));
            }
        }
    }
}

fn refusal(status: StatusCode, message: &str) -> Response<ReplyBody> {
    http::error(status, message).map(ReplyBody::from)
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

/// Encodes a reply as its JSON line, with the newline, and the body of its answer.
fn encode_reply(reply: PeerReply) -> Option<(Bytes, Bytes)> {
    let (outcome, body) = WireOutcome::from_outcome(reply.outcome);
    let wire = WireReply {
        from: reply.from,
        key: reply.key,
        outcome,
        allowance_left: reply.allowance_left,
        level: reply.level,
        service_ms: reply.service_ms,
    };
    let mut line = serde_json::to_vec(&wire).ok()?;
    line.push(NEWLINE);
    Some((line.into(), body))
}

fn decode_reply(address: SocketAddr, received: Bytes) -> Result<PeerReply, NetError> {
    let broken = |message: String| NetError::Broken { address, message };
    let start = received.iter().position(|byte| *byte != NEWLINE);
    let reply = received.slice(start.unwrap_or(0)..);
    let end = reply.iter().position(|byte| *byte == NEWLINE);
    let end = end.ok_or_else(|| broken("the reply is not whole".to_owned()))?;
    let wire: WireReply =
        serde_json::from_slice(&reply[..end]).map_err(|error| broken(error.to_string()))?;
    let outcome = wire
        .outcome
        .into_outcome(reply.slice(end + 1..))
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
