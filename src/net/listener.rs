//! HTTP listener with limits on connections, sizes and times, each with an error of its own.
//!
//! | Violation | Status |
//! |---|---|
//! | more connections than allowed | 503 |
//! | head too large / malformed / too slow | 431 / 400 / 408 |
//! | body too large / too slow / incomplete | 413 / 408 / 400 |
//! | sending side closed before the response | 400 |
//!
//! A client that closes its sending side before it has its response is treated as disconnected,
//! because TCP does not distinguish it from a client that has died.

use std::convert::Infallible;
use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::http::{self, FullResponse};
use super::listener_counts::{AnsweringGuard, Bound, ListenerCounts, OpenGuard};
use crate::config::ListenerBounds;

/// Pause after a failed `accept`, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;
/// Most refused connections that receive a response at a time; further ones are closed without one.
const MAX_REFUSALS: usize = 64;
/// Time limit for writing a final response, and for reading what the client still sends, in
/// milliseconds.
const REFUSAL_TIMEOUT_MS: u64 = 1_000;
/// Most bytes read and discarded before a connection is closed.
const MAX_DISCARDED_BYTES: u64 = 1024 * 1024;
/// Retry delay sent to a refused client, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Configuration and counts shared by the connections of one listener.
#[derive(Debug, Clone)]
pub struct ListenerConfig {
    /// Limits from the settings.
    pub bounds: ListenerBounds,
    /// Counts of connections, requests and refusals.
    pub counts: Arc<ListenerCounts>,
    /// Shutdown stage, set by the daemon.
    pub stage: watch::Receiver<Stage>,
}

/// Shutdown stage of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Connections are accepted and kept alive.
    Open,
    /// Connections are accepted, but each is closed after its next response, so that clients move
    /// to another daemon.
    Leaving,
    /// No connection is accepted; open ones are closed after their pending responses.
    Closed,
}

/// Serves connections until the stage is [`Stage::Closed`], each on a task of its own.
pub async fn serve<H, F, B>(listener: TcpListener, config: ListenerConfig, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + From<Full<Bytes>> + Send + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let ListenerConfig {
        bounds,
        counts,
        stage,
    } = config;
    let handler = Arc::new(handler);
    let connections = Arc::new(Semaphore::new(bounds.connections));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    let mut accept_stage = stage.clone();
    loop {
        // `biased`: connections already in the accept queue are served before the listener closes.
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = wait_until_closed(&mut accept_stage) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            counts.add_refusal(Bound::Connections);
            if let Ok(refusal) = Arc::clone(&refusals).try_acquire_owned() {
                tokio::spawn(refuse_connection(stream, bounds.connections, refusal));
            }
            continue;
        };
        let connection = Connection {
            bounds,
            open: OpenGuard::new(Arc::clone(&counts)),
            stage: stage.clone(),
            response_pending: AtomicBool::new(false),
        };
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            connection.serve(stream, handler).await;
            drop(permit);
        });
    }
}

struct Connection {
    bounds: ListenerBounds,
    open: OpenGuard,
    stage: watch::Receiver<Stage>,
    /// Whether a request has arrived whose response is not ready.
    response_pending: AtomicBool,
}

impl Connection {
    async fn serve<H, F, B>(self, stream: TcpStream, handler: Arc<H>)
    where
        H: Fn(Request<Bytes>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body<Data = Bytes> + From<Full<Bytes>> + Send + 'static,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let this = &self;
        let mut stage = self.stage.clone();
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            // Set outside the future, which is never polled if the end of the stream arrives
            // together with the request.
            this.response_pending.store(true, Ordering::Relaxed);
            Box::pin(async move {
                let _answering = AnsweringGuard::new(&this.open.counts);
                let mut response = match this.read_request(request).await {
                    Ok(request) => handler(request).await,
                    Err(refusal) => refusal.map(B::from),
                };
                if *this.stage.borrow() != Stage::Open {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                this.response_pending.store(false, Ordering::Relaxed);
                Ok::<_, Infallible>(response)
            })
        });
        let mut connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(self.bounds.header_timeout_ms))
            .max_buf_size(self.bounds.header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let ended = tokio::select! {
            ended = poll_fn(|context| connection.poll_without_shutdown(context)) => Some(ended),
            () = wait_until_closed(&mut stage) => None,
        };
        let ended = match ended {
            Some(ended) => ended,
            None => {
                Pin::new(&mut connection).graceful_shutdown();
                poll_fn(|context| connection.poll_without_shutdown(context)).await
            }
        };
        let parts = connection.into_parts();
        let stream = parts.io.into_inner();
        match ended {
            Err(error) if error.is_timeout() && !parts.read_buf.is_empty() => {
                self.count(Bound::HeaderTimeout);
                let message = format!(
                    "the head of the request did not arrive within {} ms; send it at once",
                    self.bounds.header_timeout_ms
                );
                send_final_response(stream, StatusCode::REQUEST_TIMEOUT, &message).await;
            }
            Err(error) if error.is_parse() => {
                self.count(Bound::Header);
                lingering_close(stream).await;
            }
            _ if self.response_pending.load(Ordering::Relaxed) => {
                self.count(Bound::Gone);
                let message = "the client closed its sending side before the answer had come and \
                               counts as gone; keep it open, and for a request with a key ask \
                               GET /key/{key} for the outcome";
                send_final_response(stream, StatusCode::BAD_REQUEST, message).await;
            }
            Err(error) if error.is_incomplete_message() => {
                self.count(Bound::Gone);
                let message = "the head of the request broke off; end it with an empty line";
                send_final_response(stream, StatusCode::BAD_REQUEST, message).await;
            }
            _ => lingering_close(stream).await,
        }
    }

    /// Reads the whole request; returns an error response if it violates a limit.
    async fn read_request(
        &self,
        request: Request<Incoming>,
    ) -> Result<Request<Bytes>, FullResponse> {
        // hyper rejects an incomplete head once its buffer is full, but accepts a larger one that
        // arrives in one read.
        if http::head_bytes(&request) > self.bounds.header_bytes {
            return Err(self.head_too_large());
        }
        let (parts, body) = request.into_parts();
        let limit = self.bounds.body_bytes;
        if body.size_hint().lower() > limit as u64 {
            return Err(self.body_too_large());
        }
        let reading = Limited::new(body, limit).collect();
        let timeout = Duration::from_millis(self.bounds.body_timeout_ms);
        let body = match tokio::time::timeout(timeout, reading).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(error)) if is_length_error(error.as_ref()) => return Err(self.body_too_large()),
            Ok(Err(_)) => {
                self.count(Bound::Gone);
                let message = "the body of the request broke off; send as many bytes as its \
                               content-length says";
                return Err(http::error(StatusCode::BAD_REQUEST, message));
            }
            Err(_) => {
                self.count(Bound::BodyTimeout);
                let message = format!(
                    "the body of the request did not arrive within {} ms; send it at once",
                    self.bounds.body_timeout_ms
                );
                return Err(http::error(StatusCode::REQUEST_TIMEOUT, &message));
            }
        };
        Ok(Request::from_parts(parts, body))
    }

    fn count(&self, bound: Bound) {
        self.open.counts.add_refusal(bound);
    }

    fn head_too_large(&self) -> FullResponse {
        self.count(Bound::Header);
        let message = format!(
            "the head of the request is larger than {} bytes; send fewer headers, or raise \
             `header_bytes` of this listener in the settings",
            self.bounds.header_bytes
        );
        http::error(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, &message)
    }

    fn body_too_large(&self) -> FullResponse {
        self.count(Bound::Body);
        let message = format!(
            "the body of the request is larger than {} bytes; send less, or raise `body_bytes` \
             of this listener in the settings",
            self.bounds.body_bytes
        );
        http::error(StatusCode::PAYLOAD_TOO_LARGE, &message)
    }
}

async fn wait_until_closed(stage: &mut watch::Receiver<Stage>) {
    let _ = stage.wait_for(|stage| *stage == Stage::Closed).await;
}

fn is_length_error(error: &(dyn Error + 'static)) -> bool {
    error.is::<LengthLimitError>()
}

async fn refuse_connection(stream: TcpStream, connections: usize, permit: OwnedSemaphorePermit) {
    let message = format!(
        "{connections} connections are open already; come back later, or raise `connections` \
         of this listener in the settings"
    );
    send_final_response(stream, StatusCode::SERVICE_UNAVAILABLE, &message).await;
    drop(permit);
}

/// Writes a response to the raw stream and closes it, for connections that hyper has given up.
async fn send_final_response(mut stream: TcpStream, status: StatusCode, message: &str) {
    let body = http::error_text(message);
    let retry_after = match status {
        StatusCode::SERVICE_UNAVAILABLE => format!("retry-after: {RETRY_AFTER_S}\r\n"),
        _ => String::new(),
    };
    let response = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\n{retry_after}\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    let writing = stream.write_all(response.as_bytes());
    let written = tokio::time::timeout(Duration::from_millis(REFUSAL_TIMEOUT_MS), writing).await;
    if matches!(written, Ok(Ok(()))) {
        lingering_close(stream).await;
    }
}

/// Closes a connection after discarding what the client still sends. Unread data would make the
/// kernel send a reset, and the client could lose the response.
async fn lingering_close(mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    let mut rest = stream.take(MAX_DISCARDED_BYTES);
    let mut sink = tokio::io::sink();
    let discarding = tokio::io::copy(&mut rest, &mut sink);
    let _ = tokio::time::timeout(Duration::from_millis(REFUSAL_TIMEOUT_MS), discarding).await;
}
