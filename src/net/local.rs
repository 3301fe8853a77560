//! HTTP API for the backend server on this daemon's VM: announcements and the calls that it makes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::backend::CALL_HEADER;
use super::callers;
use super::http::{self, FullResponse};
use super::node_driver::NodeDriver;
use crate::decide::CallId;
use crate::decide::message::ParentCall;
use crate::decide::sharded::lock;
use crate::model::{ServerState, ServiceName};

/// Header with the position of a call among the calls that one run of a request makes, from 0.
pub const ORDINAL_HEADER: &str = "burdockhall-ordinal";

/// Body of `POST /announce`, sent by the backend server at intervals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendAnnouncement {
    /// Service that it provides.
    pub service: ServiceName,
    /// Requests that it can run at a time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it accepts requests.
    pub state: ServerState,
}

/// Keeps the last announcement of the backend server and forwards announcements to the control
/// loop.
#[derive(Debug)]
pub struct LocalServer {
    last_announcement: Mutex<Option<BackendAnnouncement>>,
    leaving: AtomicBool,
    announcements: mpsc::Sender<BackendAnnouncement>,
}

impl LocalServer {
    /// Starts without an announcement; each one received goes to `announcements`.
    pub fn new(announcements: mpsc::Sender<BackendAnnouncement>) -> LocalServer {
        LocalServer {
            last_announcement: Mutex::default(),
            leaving: AtomicBool::new(false),
            announcements,
        }
    }

    /// Last announcement received; `None` before the first one.
    pub fn last_announcement(&self) -> Option<BackendAnnouncement> {
        lock(&self.last_announcement).clone()
    }

    /// Announces the server as leaving, now and whenever it announces itself as serving.
    pub async fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
        if let Some(announcement) = self.last_announcement() {
            self.announce(announcement).await;
        }
    }

    /// Announces that the server is gone because the daemon stops.
    pub async fn announce_gone(&self) {
        if let Some(mut announcement) = self.last_announcement() {
            announcement.state = ServerState::Gone;
            let _ = self.announcements.send(announcement).await;
        }
    }

    async fn announce(&self, mut announcement: BackendAnnouncement) {
        *lock(&self.last_announcement) = Some(announcement.clone());
        if self.leaving.load(Ordering::Acquire) && announcement.state == ServerState::Serving {
            announcement.state = ServerState::Leaving;
        }
        let _ = self.announcements.send(announcement).await;
    }
}

/// Routes one request of the backend server.
pub async fn handle(
    driver: Arc<NodeDriver>,
    server: Arc<LocalServer>,
    request: Request<Bytes>,
) -> FullResponse {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (parts.method, segments.as_slice()) {
        (Method::POST, ["announce"]) => match serde_json::from_slice(&body) {
            Ok(announcement) => {
                server.announce(announcement).await;
                http::json(StatusCode::OK, &())
            }
            Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        (_, ["call", service, name]) => {
            let call = parse_number(http::header(&parts.headers, CALL_HEADER));
            let Some(call) = call else {
                let message = "the header burdockhall-call is missing: pass on the one \
                               that came with the request";
                return http::error(StatusCode::BAD_REQUEST, message);
            };
            let child_ordinal = parse_number(http::header(&parts.headers, ORDINAL_HEADER));
            let Some(child_ordinal) = child_ordinal.and_then(|ordinal| u32::try_from(ordinal).ok())
            else {
                let message = "the header burdockhall-ordinal is missing or no whole number: \
                               count the calls made beneath one run up from 0";
                return http::error(StatusCode::BAD_REQUEST, message);
            };
            let parent = ParentCall {
                call: CallId(call),
                child_ordinal,
            };
            match callers::caller_request(&parts.headers, service, name, Some(parent), body) {
                Ok(request) => callers::call(&driver, request).await,
                Err(message) => http::error(StatusCode::BAD_REQUEST, &message),
            }
        }
        _ => http::error(
            StatusCode::NOT_FOUND,
            "no such route; there are /announce and /call/{service}/{request}",
        ),
    }
}

fn parse_number(text: Option<&str>) -> Option<u64> {
    text?.parse().ok()
}
