//! The client of the backend server beside this daemon.

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

/// Names the call; the backend server sends it along with the calls it makes beneath.
pub const CALL_HEADER: &str = "burdockhall-call";
/// The caller of the root request.
pub const CALLER_HEADER: &str = "burdockhall-caller";
/// The idempotency key.
pub const KEY_HEADER: &str = "burdockhall-key";
/// Time left, in milliseconds.
pub const TIME_LEFT_HEADER: &str = "burdockhall-time-left-ms";
/// Set to `not-run` by a backend server that did not run the request.
pub const OUTCOME_HEADER: &str = "burdockhall-outcome";
/// When to come back, in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "burdockhall-retry-after-ms";

/// Longest time after the deadline that a backend server may take to answer, in milliseconds.
const ANSWER_GRACE_MS: u64 = 30_000;
/// When to come back if all connections are in use, in milliseconds.
const CONNECTIONS_RETRY_AFTER_MS: u64 = 100;
/// Longest time for a cancellation to be taken in, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 1_000;

/// Why a run gave no answer.
#[derive(Debug, Error)]
pub enum BackendError {
    /// The backend server says that it did not run the request.
    #[error("the backend server refused; come back in {retry_after_ms} ms")]
    Refused {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The exchange failed.
    #[error(transparent)]
    Net(#[from] NetError),
}

/// Sends requests to one backend server.
#[derive(Debug, Clone)]
pub struct BackendClient {
    address: SocketAddr,
    client: HttpClient,
    connections: Arc<Semaphore>,
}

impl BackendClient {
    /// A client that opens at most `connections` connections for requests.
    pub fn new(address: SocketAddr, connections: usize, bounds: AnswerBounds) -> BackendClient {
        BackendClient {
            address,
            client: http::bounded_client(connections, bounds),
            connections: Arc::new(Semaphore::new(connections)),
        }
    }

    /// Hands a request over and waits for the whole answer.
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
        if http::header(&headers, OUTCOME_HEADER) == Some("not-run") {
            let retry_after = http::header(&headers, RETRY_AFTER_HEADER);
            let retry_after_ms = retry_after.and_then(|text| text.parse().ok());
            return Err(BackendError::Refused {
                retry_after_ms: retry_after_ms.unwrap_or(0),
            });
        }
        if !tells_its_end(status, &headers) {
            return Err(BackendError::Net(NetError::Broken {
                address: self.address,
                message: "the answer tells neither its length nor its end, so it may be cut \
                          short; send content-length or chunks"
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

    /// Asks the backend server to stop working on a call.
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

/// Whether an answer's end can be told from a connection that broke off.
fn tells_its_end(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
