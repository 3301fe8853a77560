//! The listener for the backend server beside this daemon: announcements and its own calls.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::backend::CALL_HEADER;
use super::callers;
use super::http::{self, FullResponse};
use super::pump::Pump;
use crate::decide::CallId;
use crate::decide::message::ParentCall;
use crate::model::{ServerState, ServiceName};

/// The backend server's counter of its calls beneath one run.
pub const ORDINAL_HEADER: &str = "burdockhall-ordinal";

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendAnnouncement {
    /// The service.
    pub service: ServiceName,
    /// Requests that it can work on at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Serving or leaving.
    pub state: ServerState,
}

/// Answers one request of the backend server.
pub async fn handle(
    pump: Arc<Pump>,
    announcements: mpsc::Sender<BackendAnnouncement>,
    request: Request<Incoming>,
) -> FullResponse {
    let (parts, body) = request.into_parts();
    let body = match http::read_body(body).await {
        Ok(body) => body,
        Err(message) => return http::error(StatusCode::PAYLOAD_TOO_LARGE, &message),
    };
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (parts.method, segments.as_slice()) {
        (Method::POST, ["announce"]) => match serde_json::from_slice(&body) {
            Ok(announcement) => {
                let _ = announcements.send(announcement).await;
                http::json(StatusCode::OK, &())
            }
            Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (_, ["call", service, name]) => {
            let call = number(http::header(&parts.headers, CALL_HEADER));
            let ordinal = number(http::header(&parts.headers, ORDINAL_HEADER)).unwrap_or(0);
            let Some(call) = call else {
                let message = "the header burdockhall-call is missing: pass on the one \
                               that came with the request";
                return http::error(StatusCode::BAD_REQUEST, message);
            };
            let parent = ParentCall {
                call: CallId(call),
                ordinal: ordinal as u32,
            };
            match callers::caller_request(&parts.headers, service, name, Some(parent), body) {
                Ok(request) => callers::call(&pump, request).await,
                Err(message) => http::error(StatusCode::BAD_REQUEST, &message),
            }
        }
        _ => http::error(
            StatusCode::NOT_FOUND,
            "no such route; there are /announce and /call/{service}/{request}",
        ),
    }
}

fn number(text: Option<&str>) -> Option<u64> {
    text?.parse().ok()
}
