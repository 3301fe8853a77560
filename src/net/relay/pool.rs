//! Pool of HTTP/1 connections to other daemons, the backend server and the log service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64;

use super::body::{PooledConnection, RelayBody};
use super::head_limit::HeadAllowance;
use super::observed_stream::ObservedStream;
use crate::model::{Clock, TimeMs};

/// Connect timeout, in milliseconds. Shorter than the connect timeout of callers, so that another
/// worker can still be tried.
const CONNECT_TIMEOUT_MS: u64 = 700;
/// TCP keep-alive: idle time before the first probe, and between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// `TCP_USER_TIMEOUT`: longest time that sent bytes may stay unacknowledged or unread. Detects connections
/// to daemons that no longer respond.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest buffer of a connection, in bytes; limits the memory used for a slow reader.
const BUFFER_BYTES: usize = 64 * 1024;

/// Most requests refused on a connection before it is no longer reused.
const MAX_REFUSED: usize = 64;

/// Address of the other side of a connection.
pub type PoolKey = SocketAddr;

/// What a request is sent to.
#[derive(Debug, Clone, Copy)]
enum Destination {
    /// Another daemon or the log service.
    Remote,
    /// The backend server on this VM, over a connection on which it has refused no request whose id has
    /// this hash.
    BackendServer { request_id: u64 },
}

impl Destination {
    fn request_id(self) -> Option<u64> {
        match self {
            Destination::Remote => None,
            Destination::BackendServer { request_id } => Some(request_id),
        }
    }
}

/// Why an exchange has failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    #[error("cannot reach {address}: {message}")]
    NotSent {
        /// The other side.
        address: SocketAddr,
        /// The cause.
        message: String,
        /// The unsent request, if it is still available.
        request: Option<Box<Request<RelayBody>>>,
    },
    /// The connection failed after the request was sent; it may have arrived.
    #[error("the exchange with {address} broke: {message}")]
    Broken {
        /// The other side.
        address: SocketAddr,
        /// The cause.
        message: String,
    },
}

/// Sends requests over one connection, and bounds what is received before each answer.
#[derive(Debug)]
pub struct Sender {
    requests: SendRequest<RelayBody>,
    allowance: HeadAllowance,
    /// Hashes of the ids of requests that were refused on it.
    refused: Vec<u64>,
}

impl Sender {
    /// Records that the other side has refused this request. It may send the refusal once more when
    /// another answer is due, so a request with the same id takes another connection.
    pub fn record_refusal(&mut self, request_id: &str) {
        self.refused.push(id_hash(request_id));
    }

    fn may_carry(&self, request_id: Option<u64>) -> bool {
        self.refused.len() < MAX_REFUSED
            && request_id.is_none_or(|request_id| !self.refused.contains(&request_id))
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: TimeMs,
    keep_ms: u64,
}

/// Idle connections by the other side's address.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    idle: Mutex<HashMap<PoolKey, Vec<Idle>>>,
}

/// The head of a response, and the connection that its body arrives on.
#[derive(Debug)]
pub struct Exchanged {
    /// The response; its body is still to be read.
    pub response: Response<Incoming>,
    /// Handle that sends further requests over the connection.
    pub sender: Sender,
}

impl Pool {
    /// An empty pool.
    pub fn new(clock: Clock) -> Arc<Pool> {
        Arc::new(Pool {
            clock,
            idle: Mutex::default(),
        })
    }

    /// Sends a request over an idle connection that was used at most `max_idle_ms` ago, or
    /// over a new one, and waits for the head of the response.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<RelayBody>,
        max_idle_ms: u64,
    ) -> Result<Exchanged, ExchangeError> {
        self.exchange_by(address, request, max_idle_ms, Destination::Remote)
            .await
    }

    /// Like [`Pool::exchange`] with the backend server on this VM, over a connection on which no request
    /// with this id was refused.
    pub async fn exchange_with_backend(
        &self,
        address: SocketAddr,
        request: Request<RelayBody>,
        max_idle_ms: u64,
        request_id: &str,
    ) -> Result<Exchanged, ExchangeError> {
        let destination = Destination::BackendServer {
            request_id: id_hash(request_id),
        };
        self.exchange_by(address, request, max_idle_ms, destination)
            .await
    }

    async fn exchange_by(
        &self,
        address: SocketAddr,
        mut request: Request<RelayBody>,
        max_idle_ms: u64,
        destination: Destination,
    ) -> Result<Exchanged, ExchangeError> {
        frame_unknown_length(&mut request);
        while let Some(sender) = self.take(address, max_idle_ms, destination.request_id()) {
            match send(address, sender, request).await {
                Err(ExchangeError::NotSent {
                    request: Some(unsent),
                    ..
                }) => request = *unsent,
                sent => return sent,
            }
        }
        match connect(address, destination).await {
            Ok(sender) => send(address, sender, request).await,
            Err(message) => Err(ExchangeError::NotSent {
                address,
                message,
                request: Some(Box::new(request)),
            }),
        }
    }

    /// Returns a connection to the pool, unless it is closed or must not be reused.
    pub fn put(&self, connection: PooledConnection) {
        let sender = &connection.sender;
        if sender.is_closed() || !sender.may_carry(None) || connection.keep_ms == 0 {
            return;
        }
        let idle = Idle {
            sender: connection.sender,
            since: self.clock.now(),
            keep_ms: connection.keep_ms,
        };
        self.lock().entry(connection.key).or_default().push(idle);
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes idle connections whose keep time has passed, before the other side closes them.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections
                .retain(|idle| !idle.sender.is_closed() && now.since_ms(idle.since) < idle.keep_ms);
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take(
        &self,
        address: SocketAddr,
        max_idle_ms: u64,
        request_id: Option<u64>,
    ) -> Option<Sender> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        // Most recently used first: the other side is least likely to be closing it.
        for index in (0..connections.len()).rev() {
            let candidate = &connections[index];
            let idle_ms = now.since_ms(candidate.since);
            if candidate.sender.is_closed() || idle_ms >= candidate.keep_ms {
                connections.swap_remove(index);
            } else if idle_ms <= max_idle_ms
                && candidate.sender.requests.is_ready()
                && candidate.sender.may_carry(request_id)
            {
                return Some(connections.remove(index).sender);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PoolKey, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send(
    address: SocketAddr,
    mut sender: Sender,
    request: Request<RelayBody>,
) -> Result<Exchanged, ExchangeError> {
    if let Err(error) = sender.requests.ready().await {
        return Err(ExchangeError::NotSent {
            address,
            message: error.to_string(),
            request: Some(Box::new(request)),
        });
    }
    sender.allowance.await_head();
    match sender.requests.try_send_request(request).await {
        Ok(response) => {
            sender.allowance.head_arrived();
            Ok(Exchanged { response, sender })
        }
        Err(mut error) => {
            let request = error.take_message().map(Box::new);
            let message = error.into_error().to_string();
            Err(match request {
                Some(request) => ExchangeError::NotSent {
                    address,
                    message,
                    request: Some(request),
                },
                None => ExchangeError::Broken { address, message },
            })
        }
    }
}

async fn connect(address: SocketAddr, destination: Destination) -> Result<Sender, String> {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(error.to_string()),
        Err(_) => return Err(format!("no connection within {CONNECT_TIMEOUT_MS} ms")),
    };
    set_socket_options(&stream).map_err(|error| error.to_string())?;
    // A process on this VM does not go without a reset, and may read slowly.
    if let Destination::Remote = destination {
        let socket = SockRef::from(&stream);
        let timed = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
        timed.map_err(|error| error.to_string())?;
    }
    let allowance = HeadAllowance::new();
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(ObservedStream::new(stream, allowance.clone())))
        .await;
    let (requests, connection) = handshake.map_err(|error| error.to_string())?;
    // Errors of the connection surface at the sender and the body as well.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Sender {
        requests,
        allowance,
        refused: Vec::new(),
    })
}

/// States the framing of a body of unknown length. Otherwise hyper sends a GET or HEAD request without it.
fn frame_unknown_length(request: &mut Request<RelayBody>) {
    if request.body().size_hint().exact().is_none() {
        let chunked = HeaderValue::from_static("chunked");
        request.headers_mut().insert(TRANSFER_ENCODING, chunked);
    }
}

fn id_hash(request_id: &str) -> u64 {
    xxh3_64(request_id.as_bytes())
}

/// Sets `TCP_NODELAY` and keep-alive, which detects dead connections on which nothing is sent. The user
/// timeout is left out: it would end those whose other side reads slowly.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
