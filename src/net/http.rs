//! HTTP helpers shared by the listeners and clients.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::error::NetError;
use crate::config::AnswerBounds;

/// A response whose body is in memory.
pub type FullResponse = Response<Full<Bytes>>;

/// A client for requests whose body is in memory, with a limit on the size of responses.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    max_body_bytes: usize,
}

const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Time limit for receiving the head of a request, in milliseconds.
const HEADER_TIMEOUT_MS: u64 = 10_000;
/// Time after which an idle connection is closed, in milliseconds; shorter than the shortest header
/// timeout that the settings allow for a hop listener, after which that listener closes it.
const IDLE_TIMEOUT_MS: u64 = 4_000;
/// Bytes of a header line besides its name and value: colon, space, CR and LF.
const HEADER_OVERHEAD_BYTES: usize = 4;
/// Largest body accepted by [`read_body`], in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Binds a TCP listener.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, NetError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| NetError::Listen { address, source })
}

/// Size of the parsed head of a request, in bytes, without its method and protocol version.
pub fn head_bytes<B>(request: &Request<B>) -> usize {
    let path = request.uri().path_and_query();
    let path_bytes = path.map_or(0, |path| path.as_str().len());
    let headers = request.headers().iter();
    let headers_bytes =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES);
    path_bytes + headers_bytes.sum::<usize>()
}

/// Whether a status ends an exchange: one of the classes 2xx to 5xx (RFC 9110, section 15). The status 101
/// counts as none, since no request here asks for another protocol.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Serves connections until the task is aborted, each on a task of its own.
pub async fn serve<H, F, B>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Creates a client that keeps up to `idle_connections` idle connections to each address.
pub fn client(idle_connections: usize) -> HttpClient {
    bounded_client(idle_connections, AnswerBounds::default())
}

/// Creates a client with limits on the head and the body of a response.
pub fn bounded_client(idle_connections: usize, bounds: AnswerBounds) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    let client = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .pool_max_idle_per_host(idle_connections)
        .http1_max_buf_size(bounds.header_bytes)
        .build(connector);
    HttpClient {
        client,
        max_body_bytes: bounds.body_bytes,
    }
}

/// Sends a request and waits for the head of the response.
pub async fn send(
    client: &HttpClient,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, NetError> {
    client
        .client
        .request(request)
        .await
        .map_err(|error| client_error(address, &error))
}

/// Sends a request and reads the whole response within `timeout_ms`.
pub async fn exchange(
    client: &HttpClient,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout_ms: u64,
) -> Result<(StatusCode, HeaderMap, Bytes), NetError> {
    let whole = async {
        let response = send(client, address, request).await?;
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, client.max_body_bytes).collect().await;
        let body = collected.map_err(|error| body_error(address, client, error.as_ref()))?;
        Ok((parts.status, parts.headers, body.to_bytes()))
    };
    tokio::time::timeout(Duration::from_millis(timeout_ms), whole)
        .await
        .unwrap_or(Err(NetError::Silent {
            address,
            timeout_ms,
        }))
}

/// Reads a whole body; fails if it is larger than [`MAX_BODY_BYTES`].
pub async fn read_body<B>(body: B) -> Result<Bytes, String>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    collected
        .map(|collected| collected.to_bytes())
        .map_err(|error| error.to_string())
}

/// Builds a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> FullResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

/// Response body of a failed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Cause of the failure and how to correct it.
    pub error: String,
}

/// Builds an error response with an [`ErrorBody`].
pub fn error(status: StatusCode, message: &str) -> FullResponse {
    let body = ErrorBody {
        error: message.to_owned(),
    };
    json(status, &body)
}

/// The body of [`error`] as JSON text.
pub fn error_text(message: &str) -> String {
    let body = ErrorBody {
        error: message.to_owned(),
    };
    serde_json::to_string(&body).unwrap_or_default()
}

/// Value of a header; `None` if it is missing or not visible ASCII.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn body_error(
    address: SocketAddr,
    client: &HttpClient,
    error: &(dyn std::error::Error + 'static),
) -> NetError {
    if error.is::<LengthLimitError>() {
        return NetError::AnswerTooLarge {
            address,
            limit_bytes: client.max_body_bytes,
        };
    }
    NetError::Broken {
        address,
        message: error.to_string(),
    }
}

fn client_error(address: SocketAddr, error: &hyper_util::client::legacy::Error) -> NetError {
    let message = root_cause(error);
    if error.is_connect() {
        return NetError::Connect { address, message };
    }
    NetError::Broken { address, message }
}

/// Decodes the value of a query parameter: `%XX` and `+` for a space.
pub fn percent_decoded(text: &str) -> Result<String, String> {
    let malformed = || format!("`{text}` is not percent-encoded text");
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [rest.next(), rest.next()];
                let [Some(high), Some(low)] = digits else {
                    return Err(malformed());
                };
                hex_digit(high)
                    .zip(hex_digit(low))
                    .map(|(high, low)| 16 * high + low)
                    .ok_or_else(malformed)?
            }
            other => other,
        });
    }
    String::from_utf8(bytes).map_err(|_| malformed())
}

/// Encodes text as the value of a query parameter.
pub fn percent_encoded(text: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let encoded = text.bytes().map(|byte| match is_unreserved(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    });
    encoded.collect()
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).map(|digit| digit as u8)
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
