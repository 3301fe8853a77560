//! The relay's listeners: one task a connection, closed gracefully at the end.

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

use super::body::RelayBody;
use super::pool;
use super::state::{Relay, Stage};
use crate::net::NetError;
use crate::net::http;

/// Pause after a connection could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 20;
/// Smallest buffer of a connection that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Buffer of a connection before a configuration bounds the heads, in bytes.
const DEFAULT_HEADER_BYTES: usize = 64 * 1024;
/// Longest time that a connection stays idle before a configuration says so, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 60_000;

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Callers, bounded by the configuration.
    Callers,
    /// Other daemons and the VM itself.
    Daemons,
}

/// Opens a listener and serves it until the daemon closes.
pub async fn serve<H, F>(
    relay: Arc<Relay>,
    address: SocketAddr,
    side: Side,
    handler: H,
) -> Result<(), NetError>
where
    H: Fn(Arc<Relay>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    let listener = http::listen(address).await?;
    tokio::spawn(accept(relay, listener, side, handler));
    Ok(())
}

async fn accept<H, F>(relay: Arc<Relay>, listener: TcpListener, side: Side, handler: H)
where
    H: Fn(Arc<Relay>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    let mut stage = relay.stage.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // A connection that is refused tells a caller that nothing was read.
            _ = stage.wait_for(|stage| *stage == Stage::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let relay = Arc::clone(&relay);
                tokio::spawn(serve_connection(relay, stream, side, handler));
            }
            Err(error) => {
                let error = error.to_string();
                spdlog::warn!("a connection cannot be accepted", kv: { error });
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve_connection<H, F>(relay: Arc<Relay>, stream: TcpStream, side: Side, handler: H)
where
    H: Fn(Arc<Relay>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
{
    if let Err(error) = pool::tune(&stream) {
        let error = error.to_string();
        spdlog::debug!("a connection cannot be tuned", kv: { error });
    }
    let mut builder = http1::Builder::new();
    builder.auto_date_header(false);
    if side == Side::Callers {
        let configuration = relay.configuration.load();
        let limits = configuration.as_ref().map(|known| known.table.limits);
        let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.header_bytes);
        let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |limits| limits.idle_ms);
        // The library has one timer for a head on its way and for an idle connection.
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(idle_ms))
            .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES));
    } else {
        builder
            .header_read_timeout(None)
            .max_buf_size(DEFAULT_HEADER_BYTES);
    }
    let mut stage = relay.stage.subscribe();
    let service = service_fn(move |request| {
        let response = handler(Arc::clone(&relay), request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let closing = async move {
        // The sender lives as long as the relay, so an error means that it is over.
        let _ = stage.wait_for(|stage| *stage == Stage::Closing).await;
    };
    tokio::select! {
        // A connection that ends with an error was cut by its other side.
        _ = connection.as_mut() => return,
        () = closing => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
