//! HTTP listeners of the relay: one task per connection, with graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::body::RelayBody;
use super::connection_timeout::{AnswerBody, ConnectionTimeout, Expired, SharedConnection};
use super::log_limiter::LineKind;
use super::observed_stream::ObservedStream;
use super::pool;
use super::state::{Relay, Stage};
use crate::decide::relay::{ConnectionPhase, Limits};
use crate::net::NetError;
use crate::net::http;

/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;
/// How long bytes that have arrived before [`Stage::Closing`] may take to be read, in milliseconds.
const LAST_READ_MS: u64 = 10;
/// Longest time for which waiting connections are still accepted after that, in milliseconds.
pub(super) const MAX_LAST_ACCEPTS_MS: u64 = 100;
/// Connection buffer, in bytes, unless the configuration allows larger request heads. The limit in
/// force is checked for each request, since hyper cannot resize the buffer of an open connection.
const BUFFER_BYTES: usize = 64 * 1024;

/// What this daemon ends a caller's connection for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionEnd {
    /// No request has arrived in time.
    Idle,
    /// The rest of a request head has not arrived in time.
    SlowHead,
    /// A request head exceeds the buffer of the connection.
    HeadTooLarge,
    /// What has arrived is no request.
    Malformed,
    /// No byte of an answer has been taken for too long.
    Blocked,
}

impl ConnectionEnd {
    /// Why a connection has failed; `None` if the caller has closed it.
    fn of(error: &hyper::Error) -> Option<ConnectionEnd> {
        if error.is_parse_too_large() {
            Some(ConnectionEnd::HeadTooLarge)
        } else {
            error.is_parse().then_some(ConnectionEnd::Malformed)
        }
    }

    fn of_expired(expired: Expired) -> ConnectionEnd {
        match expired {
            Expired::Blocked => ConnectionEnd::Blocked,
            Expired::Phase(ConnectionPhase::Head { .. }) => ConnectionEnd::SlowHead,
            Expired::Phase(_) => ConnectionEnd::Idle,
        }
    }
}

/// The kind of client that connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientKind {
    /// Callers, with the limits of the configuration.
    Callers,
    /// Other daemons and the VM itself, without an idle timeout.
    Daemons,
}

/// Opens a listener and serves it in the background until [`Stage::Closing`].
pub async fn serve<H, F>(
    relay: Arc<Relay>,
    address: SocketAddr,
    client_kind: ClientKind,
    handler: H,
) -> Result<(), NetError>
where
    H: Fn(Arc<Relay>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    let listener = http::listen(address).await?;
    tokio::spawn(accept(relay, listener, client_kind, handler));
    Ok(())
}

async fn accept<H, F>(relay: Arc<Relay>, listener: TcpListener, client_kind: ClientKind, handler: H)
where
    H: Fn(Arc<Relay>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    let mut stage = relay.stage.subscribe();
    let mut is_closing = false;
    while !is_closing {
        // An error means that the relay is gone.
        let closing = async {
            stage
                .wait_for(|stage| *stage == Stage::Closing)
                .await
                .is_ok()
        };
        tokio::select! {
            biased;
            accepted = listener.accept() => {
                serve_accepted(&relay, accepted, client_kind, handler).await;
            }
            _ = closing => is_closing = true,
        }
    }
    // Connections that the system has completed may carry requests already. Closing the listener
    // refuses new ones, which tells callers that no request was read.
    let until = Instant::now() + Duration::from_millis(MAX_LAST_ACCEPTS_MS);
    let pause = Duration::from_millis(LAST_READ_MS);
    while Instant::now() < until
        && let Ok(accepted) = tokio::time::timeout(pause, listener.accept()).await
    {
        serve_accepted(&relay, accepted, client_kind, handler).await;
    }
}

async fn serve_accepted<H, F>(
    relay: &Arc<Relay>,
    accepted: std::io::Result<(TcpStream, SocketAddr)>,
    client_kind: ClientKind,
    handler: H,
) where
    H: Fn(Arc<Relay>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    match accepted {
        Ok((stream, _)) => {
            let relay = Arc::clone(relay);
            tokio::spawn(serve_connection(relay, stream, client_kind, handler));
        }
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("a connection cannot be accepted", kv: { error });
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
        }
    }
}

async fn serve_connection<H, F>(
    relay: Arc<Relay>,
    stream: TcpStream,
    client_kind: ClientKind,
    handler: H,
) where
    H: Fn(Arc<Relay>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    if let Err(error) = pool::set_socket_options(&stream) {
        let error = error.to_string();
        spdlog::debug!("a connection cannot be tuned", kv: { error });
    }
    let mut limits = relay.limits.subscribe();
    let buffer_bytes = match client_kind {
        ClientKind::Callers => limits.borrow().header_bytes.max(BUFFER_BYTES),
        ClientKind::Daemons => BUFFER_BYTES,
    };
    let shared = SharedConnection::new(relay.clock.clone());
    let stream = TokioIo::new(ObservedStream::new(stream, shared.clone()));
    let phase_limits = (client_kind == ClientKind::Callers).then(|| limits.clone());
    let mut timeout = ConnectionTimeout::new(shared.clone(), phase_limits);
    let service = service_fn(|mut request: Request<Incoming>| {
        let answering = shared.request_arrived();
        request.extensions_mut().insert(answering.clone());
        // hyper reserves the memory of this future for as long as the connection is open.
        let response = Box::pin(handler(Arc::clone(&relay), request));
        async move {
            let response = response.await;
            Ok::<_, Infallible>(response.map(|body| AnswerBody::new(body, answering)))
        }
    });
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .header_read_timeout(None)
        .max_buf_size(buffer_bytes)
        .serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let mut closing = std::pin::pin!(closing(&relay, client_kind, buffer_bytes));
    let mut is_closing = false;
    let end = loop {
        let ended = std::future::poll_fn(|context| {
            if let Poll::Ready(ended) = connection.as_mut().poll(context) {
                return Poll::Ready(ended.err().and_then(|error| ConnectionEnd::of(&error)));
            }
            timeout
                .poll_expired(context)
                .map(|expired| Some(ConnectionEnd::of_expired(expired)))
        });
        tokio::select! {
            biased;
            end = ended => break end,
            () = closing.as_mut(), if !is_closing => {
                connection.as_mut().graceful_shutdown();
                is_closing = true;
            }
            // The timeout is polled again by the new limits.
            Ok(()) = limits.changed() => {}
        }
    };
    shared.connection_ended();
    if client_kind == ClientKind::Callers
        && let Some(cause) = end
    {
        record_end(&relay, cause);
    }
}

/// Returns once a connection must end although its client goes on using it: when this daemon stops,
/// or when the configuration allows request heads larger than the buffer of the connection.
async fn closing(relay: &Relay, client_kind: ClientKind, buffer_bytes: usize) {
    let (mut stage, mut limits) = (relay.stage.subscribe(), relay.limits.subscribe());
    let exceeds_buffer =
        |limits: &Limits| client_kind == ClientKind::Callers && limits.header_bytes > buffer_bytes;
    // The senders live as long as the relay, so an error means that the relay is gone.
    tokio::select! {
        _ = stage.wait_for(|stage| *stage == Stage::Closing) => {}
        _ = limits.wait_for(exceeds_buffer) => {}
    }
    // An idle connection would be closed although its next request has arrived.
    tokio::time::sleep(Duration::from_millis(LAST_READ_MS)).await;
}

/// Counts a caller's connection that this daemon has ended, and logs it unless it was merely idle.
fn record_end(relay: &Relay, cause: ConnectionEnd) {
    relay.metrics.connection_ended(cause);
    if cause != ConnectionEnd::Idle && relay.may_log(LineKind::Connection) {
        let (cause, config) = (<&str>::from(cause), relay.config_version());
        spdlog::info!("a caller's connection was ended", kv: { cause, config });
    }
}
