//! HTTP listeners of the relay: one task per connection, with graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use super::body::RelayBody;
use super::log_limiter::LineKind;
use super::pool;
use super::state::{Relay, Stage};
use crate::decide::relay::Limits;
use crate::net::NetError;
use crate::net::http;

/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;
/// How long bytes that have arrived before [`Stage::Closing`] may take to be read, in milliseconds.
const LAST_READ_MS: u64 = 10;
/// Longest time for which waiting connections are still accepted after that, in milliseconds.
const MAX_LAST_ACCEPTS_MS: u64 = 100;
/// Smallest connection buffer that hyper allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Connection buffer of daemons, in bytes.
const DAEMON_HEADER_BYTES: usize = 64 * 1024;

/// What this daemon ends a caller's connection for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionEnd {
    /// No whole request head has arrived in time.
    Timeout,
    /// A request head exceeds the limit.
    HeadTooLarge,
    /// What has arrived is no request.
    Malformed,
}

impl ConnectionEnd {
    /// Why a connection has failed; `None` if the caller has closed it.
    fn of(error: &hyper::Error) -> Option<ConnectionEnd> {
        if error.is_timeout() {
            Some(ConnectionEnd::Timeout)
        } else if error.is_parse_too_large() {
            Some(ConnectionEnd::HeadTooLarge)
        } else {
            error.is_parse().then_some(ConnectionEnd::Malformed)
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
    let mut builder = http1::Builder::new();
    builder.auto_date_header(false);
    let mut limits = relay.limits.subscribe();
    let initial = *limits.borrow_and_update();
    if client_kind == ClientKind::Callers {
        // hyper uses one timer for both a slow request head and an idle connection.
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(initial.idle_ms))
            .max_buf_size(initial.header_bytes.max(MIN_BUFFER_BYTES));
    } else {
        builder
            .header_read_timeout(None)
            .max_buf_size(DAEMON_HEADER_BYTES);
    }
    let mut stage = relay.stage.subscribe();
    let service = service_fn(|request| {
        let response = handler(Arc::clone(&relay), request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let has_other_buffer = |limits: &Limits| {
        client_kind == ClientKind::Callers && limits.header_bytes != initial.header_bytes
    };
    let closing = async move {
        // The senders live as long as the relay, so an error means that the relay is gone.
        tokio::select! {
            _ = stage.wait_for(|stage| *stage == Stage::Closing) => {}
            // hyper cannot change the buffer of an open connection.
            _ = limits.wait_for(has_other_buffer) => {}
        }
        // An idle connection would be closed although its next request has arrived.
        tokio::time::sleep(Duration::from_millis(LAST_READ_MS)).await;
    };
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if client_kind == ClientKind::Callers
        && let Err(error) = ended
        && let Some(cause) = ConnectionEnd::of(&error)
    {
        record_end(&relay, cause, initial);
    }
}

/// Counts a caller's connection that this daemon has ended, and logs it unless it was merely idle
/// for longer than is allowed now. `limits` are those of the connection.
fn record_end(relay: &Relay, cause: ConnectionEnd, limits: Limits) {
    relay.metrics.connection_ended(cause);
    let is_outdated = limits != *relay.limits.borrow();
    if cause == ConnectionEnd::Timeout && !is_outdated {
        return;
    }
    if relay.may_log(LineKind::Connection) {
        let (cause, config) = (<&str>::from(cause), relay.config_version());
        spdlog::info!("a caller's connection was ended", kv: { cause, is_outdated, config });
    }
}
