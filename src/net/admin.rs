//! HTTP API for operators: status, metrics, health checks, drain, sheets and the audit trail.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, WWW_AUTHENTICATE};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::admin_audit::{self, Refusal};
use super::admin_auth::{AuthError, Operation, Team, Tokens};
use super::admin_sheets::{self, AdminRequest};
use super::admin_status::{self, Status};
use super::control::ControlLoop;
use super::http::{self, FullResponse};
use super::lifecycle::Lifecycle;
use super::listener_counts::DaemonListenerCounts;
use super::local::LocalServer;
use super::metrics;
use super::node_driver::NodeDriver;
use crate::config::Settings;
use crate::decide::phase::Phase;

const ROUTES: &str = "no such route; there are GET /v1/status, GET /v1/workers, POST /v1/drain, \
                      GET and POST /v1/sheet, GET /v1/sheet/history, GET /v1/audit, GET /metrics, GET /health/live and GET /health/ready";

/// The parts of a daemon that the administration API reads and controls.
#[derive(Debug)]
pub struct AdminParts {
    /// Handles calls; source of gauges and counters.
    pub driver: Arc<NodeDriver>,
    /// Handles sheets, membership and the audit trail.
    pub control: Arc<ControlLoop>,
    /// Lifecycle phase; a drain is requested here.
    pub lifecycle: Arc<Lifecycle>,
    /// Last announcement of the backend server.
    pub local_server: Arc<LocalServer>,
    /// Connection and refusal counts by listener.
    pub listener_counts: Arc<DaemonListenerCounts>,
}

/// The administration API of one daemon.
#[derive(Debug)]
pub struct Admin {
    parts: AdminParts,
    tokens: Tokens,
    metrics_need_token: bool,
}

/// Response body of `/health/live`, `/health/ready` and `POST /v1/drain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Health {
    /// Present lifecycle phase; `draining` in the response to a drain request.
    pub phase: Phase,
}

impl Admin {
    /// Creates the API with the tokens from the settings.
    pub fn new(settings: &Settings, parts: AdminParts) -> Admin {
        Admin {
            parts,
            tokens: Tokens::new(&settings.admin.tokens),
            metrics_need_token: settings.admin.metrics_need_token,
        }
    }

    /// The parts of the daemon that the API works on.
    pub fn parts(&self) -> &AdminParts {
        &self.parts
    }

    /// Authenticates a request and checks its team's permission. A refusal goes to the log and the
    /// audit trail.
    pub fn authorise(
        &self,
        headers: &HeaderMap,
        request: &str,
        operation: &Operation,
    ) -> Result<&Team, AuthError> {
        let team = self.tokens.team(headers);
        let name = team.as_ref().ok().map(|team| team.name.clone());
        let checked = team.and_then(|team| team.check(operation).map(|()| team));
        checked.inspect_err(|error| {
            admin_audit::record_refusal(
                &self.parts.control,
                Refusal {
                    team: name.as_deref(),
                    request,
                    error,
                },
            );
        })
    }
}

/// Routes one request of an operator.
pub async fn handle(admin: Arc<Admin>, request: Request<Bytes>) -> FullResponse {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let request_line = format!("{} {path}", parts.method);
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (parts.method, segments.as_slice()) {
        (Method::GET, ["health", "live"]) => health(&admin, true),
        (Method::GET, ["health", "ready"]) => health(&admin, false),
        (Method::GET, ["metrics"]) => scrape(&admin, &parts.headers, &request_line).await,
        (Method::GET, ["v1", "status"]) => {
            match admin.authorise(&parts.headers, &request_line, &Operation::Read) {
                Ok(_) => http::json(StatusCode::OK, &status(&admin).await),
                Err(error) => refusal(&error),
            }
        }
        (Method::GET, ["v1", "workers"]) => {
            match admin.authorise(&parts.headers, &request_line, &Operation::Read) {
                Ok(_) => http::json(StatusCode::OK, &admin.parts.control.workers().await),
                Err(error) => refusal(&error),
            }
        }
        (Method::POST, ["v1", "drain"]) => drain(&admin, &parts.headers, &request_line),
        (method, ["v1", "sheet" | "audit", ..]) => {
            let query = parts.uri.query();
            let request = AdminRequest {
                method: &method,
                segments: &segments,
                query,
                headers: &parts.headers,
                request_line: &request_line,
                body: &body,
            };
            let answer = admin_sheets::handle(&admin, request).await;
            answer.unwrap_or_else(|| http::error(StatusCode::NOT_FOUND, ROUTES))
        }
        _ => http::error(StatusCode::NOT_FOUND, ROUTES),
    }
}

async fn status(admin: &Admin) -> Status {
    admin_status::collect(&admin.parts).await
}

fn health(admin: &Admin, liveness_only: bool) -> FullResponse {
    let phase = admin.parts.lifecycle.phase();
    let code = match liveness_only || phase == Phase::Serving {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    http::json(code, &Health { phase })
}

async fn scrape(admin: &Admin, headers: &HeaderMap, request_line: &str) -> FullResponse {
    if admin.metrics_need_token
        && let Err(error) = admin.authorise(headers, request_line, &Operation::Read)
    {
        return refusal(&error);
    }
    match metrics::render(&status(admin).await) {
        Ok(text) => {
            let mut response = Response::new(Full::new(Bytes::from(text)));
            let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        Err(error) => http::error(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn drain(admin: &Admin, headers: &HeaderMap, request_line: &str) -> FullResponse {
    match admin.authorise(headers, request_line, &Operation::Drain) {
        Ok(team) => {
            let team = team.name.as_str();
            spdlog::info!("an operator requested a drain", kv: { team });
            admin_audit::record_drain_request(&admin.parts.control, team);
            admin.parts.lifecycle.request_stop();
            let phase = Phase::Draining;
            http::json(StatusCode::ACCEPTED, &Health { phase })
        }
        Err(error) => refusal(&error),
    }
}

pub(super) fn refusal(error: &AuthError) -> FullResponse {
    let status = match error {
        AuthError::Missing | AuthError::Unknown => StatusCode::UNAUTHORIZED,
        AuthError::Forbidden { .. } => StatusCode::FORBIDDEN,
    };
    let mut response = http::error(status, &error.to_string());
    if status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    }
    response
}
