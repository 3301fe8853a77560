//! Callers that reuse their connections across requests and record how each request ended.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use tokio::net::TcpStream;

use crate::fleet::SERVICES;
use crate::keys::{ApiKey, KeyChooser};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time past its deadline for which a caller waits for an answer.
pub const ANSWER_GRACE: Duration = Duration::from_millis(1_500);
const MAX_WORK_MS: u64 = 60;
const MAX_DEADLINE_MS: u64 = 2_500;
const MAX_BODY_BYTES: usize = 3_000;
/// Of how many requests one has a slow body, and the pause in its middle.
const SLOW_BODY_EVERY: u64 = 10;
const SLOW_BODY_PAUSE: Duration = Duration::from_millis(1_800);

/// The body of a request, sent at once or in two halves with a pause between them.
#[derive(Debug)]
pub struct CallerBody {
    first: Bytes,
    second: Bytes,
    pause: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl CallerBody {
    pub fn whole(bytes: Bytes) -> CallerBody {
        CallerBody {
            first: bytes,
            second: Bytes::new(),
            pause: None,
        }
    }

    fn in_halves(mut bytes: Bytes) -> CallerBody {
        let second = bytes.split_off(bytes.len() / 2);
        CallerBody {
            first: bytes,
            second,
            pause: Some(Box::pin(tokio::time::sleep(SLOW_BODY_PAUSE))),
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        if !this.first.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.first)))));
        }
        if this.second.is_empty() {
            return Poll::Ready(None);
        }
        if let Some(pause) = &mut this.pause {
            ready!(pause.as_mut().poll(context));
        }
        Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.second)))))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.second.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.first.len() + self.second.len()) as u64)
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer arrived.
    Answered {
        status: StatusCode,
        is_signed: bool,
        /// Whether the answer echoes the request's id and, if it succeeded, its body.
        matches_request: bool,
    },
    /// The head of an answer arrived, but its body was truncated.
    Truncated,
    /// The connection closed without an answer.
    ConnectionClosed,
    /// The request was never sent.
    NotSent,
    /// The caller closed the connection without waiting for the answer.
    Abandoned,
    /// No answer arrived within [`ANSWER_GRACE`] of the deadline.
    TimedOut,
}

/// A request and how it ended.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub id: String,
    pub request_line: String,
    pub host: usize,
    pub service: &'static str,
    pub api_key: Option<ApiKey>,
    pub is_idempotent: bool,
    pub sent_at: Instant,
    pub deadline: Instant,
    pub ended_at: Instant,
    pub outcome: Outcome,
}

pub struct Caller {
    pub host: usize,
    pub number: usize,
    pub address: SocketAddr,
    pub max_pause_ms: u64,
    /// Chooses the API key of each request, if the configuration names organisations.
    pub keys: Option<KeyChooser>,
    /// Whether some bodies are sent in halves.
    pub sends_slow_bodies: bool,
    sent: u64,
    rng: Xoshiro256PlusPlus,
    connection: Option<SendRequest<CallerBody>>,
}

impl Caller {
    pub fn new(host: usize, number: usize, address: SocketAddr, seed: u64) -> Caller {
        let seed = seed ^ ((host as u64) << 32) ^ ((number as u64) << 48);
        Caller {
            host,
            number,
            address,
            max_pause_ms: 40,
            keys: None,
            sends_slow_bodies: false,
            sent: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            connection: None,
        }
    }

    /// Sends one request after another until `stop` is set.
    pub async fn run(mut self, stop: Arc<AtomicBool>) -> Vec<RequestRecord> {
        let mut records = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let id = format!("c{}-{}-{}", self.host, self.number, records.len());
            records.push(self.send(id).await);
            let pause_ms = self.rng.random_range(1..=self.max_pause_ms);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        records
    }

    async fn send(&mut self, id: String) -> RequestRecord {
        let rng = &mut self.rng;
        let service = SERVICES[rng.random_range(0..SERVICES.len())];
        let is_idempotent = rng.random_bool(0.5);
        let kind = if is_idempotent { "safe" } else { "once" };
        let work_ms = rng.random_range(1..=MAX_WORK_MS);
        let path = format!("/{kind}/{service}/work.{work_ms}.{id}");
        let body_bytes = rng.random_range(1..=MAX_BODY_BYTES);
        let body: Bytes = id.bytes().cycle().take(body_bytes).collect();
        // Decided without the random numbers, whose series each seed fixes.
        let is_slow = self.sends_slow_bodies && self.sent.is_multiple_of(SLOW_BODY_EVERY);
        self.sent += 1;
        let drawn_ms = rng.random_range(600..=MAX_DEADLINE_MS);
        let deadline_ms = if is_slow { MAX_DEADLINE_MS } else { drawn_ms };
        let abandon_after_ms = rng.random_bool(0.04).then(|| rng.random_range(1..=80));
        if rng.random_bool(0.05) {
            self.connection = None;
        }
        let sent_at = Instant::now();
        let deadline = sent_at + Duration::from_millis(deadline_ms);
        let mut request = Request::post(&path)
            .header("host", "calls.example")
            .header("x-request-id", &id)
            .header("x-deadline-ms", deadline_ms)
            .header("x-caller-service", "forged");
        let api_key = self.keys.as_mut().map(KeyChooser::choose);
        if let Some(key) = api_key {
            request = request.header("x-credential", key.text());
            request = request.header("x-tenant-id", "forged");
        }
        let request_body = if is_slow {
            CallerBody::in_halves(body.clone())
        } else {
            CallerBody::whole(body.clone())
        };
        let request = request.body(request_body);
        let request = request.expect("cannot build the request");
        let timeout = match abandon_after_ms {
            Some(abandon_after_ms) => Duration::from_millis(abandon_after_ms),
            None => Duration::from_millis(deadline_ms) + ANSWER_GRACE,
        };
        let exchange = self.exchange(request, &id, &body);
        let outcome = match tokio::time::timeout(timeout, exchange).await {
            Ok(outcome) => outcome,
            Err(_) if abandon_after_ms.is_some() => Outcome::Abandoned,
            Err(_) => Outcome::TimedOut,
        };
        if !matches!(outcome, Outcome::Answered { .. }) {
            self.connection = None;
        }
        RequestRecord {
            request_line: format!("POST {path} HTTP/1.1"),
            id,
            host: self.host,
            service,
            api_key,
            is_idempotent,
            sent_at,
            deadline,
            ended_at: Instant::now(),
            outcome,
        }
    }

    async fn exchange(&mut self, request: Request<CallerBody>, id: &str, body: &Bytes) -> Outcome {
        let Some(mut sender) = reuse_or_connect(self.connection.take(), self.address).await else {
            return Outcome::NotSent;
        };
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            Err(error) if error.message().is_some() => return Outcome::NotSent,
            Err(_) => return Outcome::ConnectionClosed,
        };
        let (parts, incoming) = response.into_parts();
        let Ok(collected) = incoming.collect().await else {
            return Outcome::Truncated;
        };
        let echoed = parts.headers.get("x-request-id");
        let is_echoed = echoed.is_some_and(|echoed| echoed.as_bytes() == id.as_bytes());
        let is_signed = parts.headers.contains_key("x-response-signature");
        let body_matches = !parts.status.is_success() || collected.to_bytes() == *body;
        let closes = parts.headers.contains_key("connection");
        self.connection = (!closes).then_some(sender);
        Outcome::Answered {
            status: parts.status,
            is_signed,
            matches_request: is_echoed && body_matches,
        }
    }
}

/// Returns the previous request's connection if it is still open, or a new one.
pub async fn reuse_or_connect(
    previous: Option<SendRequest<CallerBody>>,
    address: SocketAddr,
) -> Option<SendRequest<CallerBody>> {
    if let Some(mut previous) = previous
        && previous.ready().await.is_ok()
    {
        return Some(previous);
    }
    connect(address).await
}

async fn connect(address: SocketAddr) -> Option<SendRequest<CallerBody>> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends a request over a new connection and returns the status, or 0 if there is no answer.
pub async fn probe_status(address: SocketAddr, path: &str, id: &str) -> u16 {
    let request = Request::post(path)
        .header("host", "calls.example")
        .header("x-request-id", id)
        .header("x-deadline-ms", 1_500)
        .body(CallerBody::whole(Bytes::new()))
        .expect("cannot build the request");
    let probe = async {
        let mut sender = connect(address).await?;
        let response = sender.send_request(request).await.ok()?;
        Some(response.status().as_u16())
    };
    let status = tokio::time::timeout(Duration::from_millis(2_000), probe).await;
    status.ok().flatten().unwrap_or(0)
}
