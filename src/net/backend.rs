//! HTTP client for the backend server on this daemon's VM.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, StatusCode};
use thiserror::Error;
use tokio::sync::Semaphore;

use super::error::NetError;
use super::http::{self, HttpClient};
use crate::config::AnswerBounds;
use crate::decide::{CallId, LocalRun};
use crate::model::Answer;

/// Number of the call; the backend server repeats it on the calls that it makes while it runs the
/// request.
pub const CALL_HEADER: &str = "burdockhall-call";
/// Header with the caller of the root request.
pub const CALLER_HEADER: &str = "burdockhall-caller";
/// Header with the idempotency key.
pub const KEY_HEADER: &str = "burdockhall-key";
/// Header with the time left until the deadline, in milliseconds.
pub const TIME_LEFT_HEADER: &str = "burdockhall-time-left-ms";
/// Header that a backend server sets to `not-run` if it did not run the request.
pub const OUTCOME_HEADER: &str = "burdockhall-outcome";
/// Header with the time after which to retry, in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "burdockhall-retry-after-ms";

/// Time after the deadline for which a response is still awaited, in milliseconds.
const ANSWER_GRACE_MS: u64 = 30_000;
/// Retry delay if all connections are in use, in milliseconds.
const CONNECTIONS_RETRY_AFTER_MS: u64 = 100;
const CANCEL_TIMEOUT_MS: u64 = 1_000;

/// Why the backend server gave no answer to a request.
#[derive(Debug, Error)]
pub enum BackendError {
    /// The backend server says that it did not run the request.
    #[error("the backend server refused; come back in {retry_after_ms} ms")]
    Refused {
        /// Time after which to retry, in milliseconds; 0 if the backend server named none.
        retry_after_ms: u64,
    },
    /// The HTTP exchange failed; the cause tells whether a byte was sent.
    #[error(transparent)]
    Net(#[from] NetError),
}

/// Sends requests and cancellations to one backend server.
#[derive(Debug, Clone)]
pub struct BackendClient {
    address: SocketAddr,
    client: HttpClient,
    connections: Arc<Semaphore>,
}

impl BackendClient {
    /// Creates a client that opens at most `connections` connections for requests. Cancellations
    /// are not limited.
    pub fn new(address: SocketAddr, connections: usize, bounds: AnswerBounds) -> BackendClient {
        BackendClient {
            address,
            client: http::bounded_client(connections, bounds),
            connections: Arc::new(Semaphore::new(connections)),
        }
    }

    /// Sends a request and waits for the whole answer. Returns [`BackendError::Refused`] at once if
    /// all connections are in use.
    pub async fn run(&self, run: LocalRun) -> Result<Answer, BackendError> {
        let Ok(_connection) = self.connections.try_acquire() else {
            return Err(BackendError::Refused {
                retry_after_ms: CONNECTIONS_RETRY_AFTER_MS,
            });
        };
        let timeout_ms = run.time_left_ms + ANSWER_GRACE_MS;
        let request = self.run_request(run)?;
        let (status, headers, body) =
            http::exchange(&self.client, self.address, request, timeout_ms).await?;
        if !http::is_final(status) {
            return Err(BackendError::Net(NetError::Broken {
                address: self.address,
                message: format!("status {} is none of an answer", status.as_u16()),
            }));
        }
        if http::header(&headers, OUTCOME_HEADER) == Some("not-run") {
            let retry_after = http::header(&headers, RETRY_AFTER_HEADER);
            let retry_after_ms = retry_after.and_then(|text| text.parse().ok());
            return Err(BackendError::Refused {
                retry_after_ms: retry_after_ms.unwrap_or(0),
            });
        }
        if !is_framed(status, &headers) {
            return Err(BackendError::Net(NetError::Broken {
                address: self.address,
                message: "the response has neither a content-length nor a transfer-encoding, so \
                          truncation cannot be detected; send one of them"
                    .to_owned(),
            }));
        }
        let content_type = http::header(&headers, CONTENT_TYPE.as_str());
        Ok(Answer {
            status: status.as_u16(),
            content_type: content_type.unwrap_or_default().to_owned(),
            body,
        })
    }

    /// Asks the backend server to cancel a call; errors are ignored.
    pub async fn cancel(&self, call: CallId) {
        let uri = format!("http://{}/cancel/{}", self.address, call.0);
        if let Ok(request) = Request::post(uri).body(Full::new(Bytes::new())) {
            let sent = http::exchange(&self.client, self.address, request, CANCEL_TIMEOUT_MS);
            let _ = sent.await;
        }
    }

    fn run_request(&self, run: LocalRun) -> Result<Request<Full<Bytes>>, NetError> {
        let uri = format!("http://{}/run/{}", self.address, run.request);
        let mut builder = Request::post(uri)
            .header(CALL_HEADER, run.call.0)
            .header(CALLER_HEADER, run.caller.as_str())
            .header(TIME_LEFT_HEADER, run.time_left_ms);
        if let Some(key) = &run.key {
            builder = builder.header(KEY_HEADER, key.to_string());
        }
        builder
            .body(Full::new(run.body))
            .map_err(|error| NetError::Malformed(error.to_string()))
    }
}

/// Whether the end of the response body can be told from a broken connection.
fn is_framed(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
