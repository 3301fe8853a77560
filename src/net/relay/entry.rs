//! The entry: accepts requests of callers on this VM, finds their route, sheds root requests under
//! overload and has the others run by a worker on this VM or another.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, Uri};

use super::answer_end::OpenRequest;
use super::attempt::attempt;
use super::body::{BodyError, RelayBody};
use super::configuration::Configuration;
use super::connection_timeout::Answering;
use super::hop::strip_connection_headers;
use super::hop::{HOP_HEADER, REPLY_HEADER, empty_response};
use super::identify::{self, Identity, identify};
use super::log_limiter::LineKind;
use super::slot::LEAVING_RETRY_MS;
use super::state::{Relay, Shed, Stage};
use crate::decide::relay::quotas::QuotaRefusal;
use crate::decide::relay::{
    Organisation, RequestCaller, RequestDigest, RootRequest, Route, RouteTable,
};
use crate::model::{ServiceName, TimeMs};
use crate::net::http;

/// Time left for a request whose caller states none, in milliseconds.
const DEFAULT_LEFT_MS: u64 = 30_000;
/// Largest request body that is buffered for retries, in bytes; larger ones are streamed.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Retry-after time while this daemon has no configuration, in milliseconds.
const NO_CONFIG_RETRY_MS: u64 = 500;
/// Handles one request of a caller.
pub async fn handle(relay: Arc<Relay>, request: Request<Incoming>) -> Response<RelayBody> {
    if let Some(answering) = request.extensions().get::<Answering>() {
        answering.keep_open(OpenRequest::new(&relay));
    }
    let started = relay.clock.now();
    let request_id = request
        .headers()
        .get(&relay.header_names.request_id)
        .cloned();
    let configuration = relay.configuration.load_full();
    let mut response = match (&request_id, configuration) {
        (None, _) => empty_response(StatusCode::BAD_REQUEST),
        (_, None) => refusal(NO_CONFIG_RETRY_MS),
        (Some(id), Some(configuration)) => {
            serve(&relay, &configuration, request, id, started).await
        }
    };
    if let Some(id) = request_id {
        response
            .headers_mut()
            .insert(relay.header_names.request_id.clone(), id);
    }
    if *relay.stage.borrow() > Stage::Serving {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(hyper::header::CONNECTION, close);
    }
    let took_ms = relay.clock.now().since_ms(started);
    relay.metrics.answered(response.status(), took_ms);
    response
}

/// A response with status 503 and a retry-after time, which states that the request has not run.
pub(super) fn refusal(retry_after_ms: u64) -> Response<RelayBody> {
    refusal_with(StatusCode::SERVICE_UNAVAILABLE, retry_after_ms)
}

/// A response with this status and a retry-after time. Like status 503, 429 states that the request
/// has not run.
fn refusal_with(status: StatusCode, retry_after_ms: u64) -> Response<RelayBody> {
    let mut response = empty_response(status);
    let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
    if let Ok(value) = HeaderValue::try_from(seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// A request of a caller with its route, target service and deadline.
pub(super) struct Call<'a> {
    pub(super) id: &'a str,
    pub(super) route: &'a Route,
    pub(super) service: &'a ServiceName,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) root: RootRequest,
    /// Id of the request beneath which it is made, if any.
    pub(super) parent_id: Option<&'a str>,
    pub(super) parent_is_retry: bool,
    pub(super) deadline: TimeMs,
    pub(super) started: TimeMs,
    /// Version of the configuration that the route comes from.
    pub(super) config: u64,
    pub(super) digest: RequestDigest,
}

impl Call<'_> {
    /// Time left until the latency objective of the route, in milliseconds.
    pub(super) fn objective_left_ms(&self, now: TimeMs) -> u64 {
        let objective = self.started.plus_ms(self.route.objective_ms);
        objective.since_ms(now)
    }
}

/// Finds the route of a request and on whose behalf it is made.
///
/// # Errors
///
/// Returns the answer to a request that is refused.
fn find_route<'a>(
    relay: &Relay,
    configuration: &'a Configuration,
    id: &'a str,
    headers: &HeaderMap,
    uri: &Uri,
) -> Result<(&'a Route, Identity<'a>), Box<Response<RelayBody>>> {
    let table = &configuration.table;
    let host = headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(uri.host()).unwrap_or_default();
    let Some(route) = table.find(host, uri.path()) else {
        relay.log_missing_route(configuration, id, host, uri.path());
        return Err(Box::new(match relay.missing_config_retry_ms() {
            Some(retry_after_ms) => refusal(retry_after_ms),
            None => empty_response(StatusCode::NOT_FOUND),
        }));
    };
    match identify(relay, table, route, id, headers) {
        Ok(identity) => Ok((route, identity)),
        Err(error) => {
            let refused = identify::refuse(relay, id, route, table.version, error);
            Err(Box::new(refused))
        }
    }
}

async fn serve(
    relay: &Arc<Relay>,
    configuration: &Configuration,
    request: Request<Incoming>,
    request_id: &HeaderValue,
    started: TimeMs,
) -> Response<RelayBody> {
    let table = &configuration.table;
    let held_ms = relay.observe_pauses();
    let Ok(id) = request_id.to_str() else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let head_bytes = http::head_bytes(&request);
    if head_bytes > table.limits.header_bytes {
        return head_too_large(relay, id, head_bytes, table);
    }
    let found = find_route(relay, configuration, id, request.headers(), request.uri());
    let (route, identity) = match found {
        Ok(found) => found,
        Err(refused) => return *refused,
    };
    let limit_bytes = table.limits.body_bytes;
    if request.body().size_hint().lower() > limit_bytes {
        return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let (mut parts, incoming) = request.into_parts();
    let answering = parts.extensions.remove::<Answering>();
    let mut headers = parts.headers;
    strip_connection_headers(&mut headers);
    headers.remove(HOP_HEADER);
    headers.remove(REPLY_HEADER);
    headers.remove(&relay.header_names.expected_instance);
    let caller = relay.settings.load().service.clone();
    if let Ok(caller) = HeaderValue::try_from(caller.as_str()) {
        headers.insert(relay.header_names.caller_service.clone(), caller);
    }
    let stated_ms = headers.get(&relay.header_names.time_left_ms);
    let stated_ms = stated_ms.and_then(|left| left.to_str().ok()?.trim().parse::<u64>().ok());
    let stated_ms = stated_ms.unwrap_or(DEFAULT_LEFT_MS);
    let parent = identity.parent;
    let parent_id = parent.as_ref().map(|(parent_id, _)| *parent_id);
    let parent_is_retry = parent.as_ref().is_some_and(|(_, parent)| parent.is_retry);
    let organisation = identity.organisation;
    let own_priority = organisation.and_then(|organisation| organisation.priority);
    let priority = own_priority.unwrap_or(route.priority);
    let root = match parent {
        Some((_, parent)) => parent.root,
        None => {
            if let Some(organisation) = organisation
                && let Err(refusal) = relay.check_quota(organisation)
            {
                return exceeded(relay, id, route, organisation, refusal);
            }
            let mut root = RootRequest {
                route: route.name.clone(),
                priority,
                organisation: organisation.map(|organisation| organisation.name.clone()),
                admitted: 1.0,
            };
            let admitted = relay.tables().admit(started, root.kind());
            match admitted {
                Ok(admitted) => root.admitted = admitted,
                Err(refused) => return shed(relay, id, &root, refused, table.version),
            }
            if let Some(organisation) = organisation {
                relay.record_admitted(organisation);
            }
            root
        }
    };
    let body_ms = route.limit_left_ms(stated_ms);
    let body = RelayBody::request(incoming, MAX_BUFFERED_BYTES, limit_bytes, answering);
    let body = match whole_body(id, body, body_ms).await {
        Ok(body) => body,
        Err(status) => return empty_response(status),
    };
    // A slow body may have outlasted the configuration by which the head was routed.
    let newest = relay.configuration.load_full();
    let newest = newest.as_deref().unwrap_or(configuration);
    let route = if newest.table.version == table.version {
        route
    } else {
        match find_route(relay, newest, id, &headers, &parts.uri) {
            Ok((route, _)) => route,
            Err(refused) => return *refused,
        }
    };
    let organisation = root.organisation.as_ref();
    identify::replace_headers(relay, Some(&newest.table), &mut headers, organisation);
    let left_ms = route.limit_left_ms(stated_ms);
    let mut deadline = started.plus_ms(left_ms.saturating_sub(held_ms));
    if let Some(shutdown) = &*relay.shutdown.load() {
        match shutdown.deadline(relay.clock.now(), deadline) {
            Some(earlier) => deadline = earlier,
            None => return refuse_late(relay, id, route),
        }
    }
    let path_and_query = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let organisation = root.organisation.as_ref();
    let settings = relay.settings.load();
    let caller = RequestCaller {
        service: settings.service.as_str(),
        organisation: organisation.map(|organisation| organisation.as_str()),
    };
    let digest = RequestDigest::new(
        parts.method.as_str(),
        path_and_query,
        body.buffered(),
        caller,
    );
    let call = Call {
        id,
        route,
        service: route.next_service(relay.sequence_offset),
        method: parts.method,
        uri: parts.uri,
        headers,
        root,
        parent_id,
        parent_is_retry,
        deadline,
        started,
        config: newest.table.version,
        digest,
    };
    let response = attempt(relay, &call, body).await;
    if let Some(parent_id) = parent_id
        && response.status().is_server_error()
    {
        relay.record_failed_call(parent_id);
    }
    response
}

/// Waits for the body of a request for at most `wait_ms`.
///
/// # Errors
///
/// Returns the status of the answer if the body has not arrived by then or has broken off.
async fn whole_body(
    request_id: &str,
    body: impl Future<Output = Result<RelayBody, BodyError>>,
    wait_ms: u64,
) -> Result<RelayBody, StatusCode> {
    match tokio::time::timeout(Duration::from_millis(wait_ms), body).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => {
            let error = error.to_string();
            spdlog::info!("a request broke off", kv: { request_id, error });
            Err(StatusCode::BAD_REQUEST)
        }
        Err(_) => {
            spdlog::info!("a request's body has not arrived in time", kv: { request_id, wait_ms });
            Err(StatusCode::REQUEST_TIMEOUT)
        }
    }
}

/// Refuses a request that has become whole too late in the shutdown of this daemon.
fn refuse_late(relay: &Relay, request_id: &str, route: &Route) -> Response<RelayBody> {
    let retry_after_ms = LEAVING_RETRY_MS;
    if relay.may_log(LineKind::Failed) {
        let route = route.name.as_str();
        spdlog::info!("a request was refused since this daemon is shutting down", kv: {
            request_id, route, retry_after_ms
        });
    }
    refusal(retry_after_ms)
}

/// Refuses a request whose head exceeds the limit.
fn head_too_large(
    relay: &Relay,
    request_id: &str,
    head_bytes: usize,
    table: &RouteTable,
) -> Response<RelayBody> {
    if relay.may_log(LineKind::Failed) {
        let (limit_bytes, config) = (table.limits.header_bytes, table.version);
        spdlog::info!("a request was refused for the size of its head", kv: {
            request_id, head_bytes = head_bytes as u64, limit_bytes = limit_bytes as u64, config
        });
    }
    empty_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
}

/// Refuses a root request whose organisation exceeds its quota.
fn exceeded(
    relay: &Relay,
    request_id: &str,
    route: &Route,
    organisation: &Organisation,
    refusal: QuotaRefusal,
) -> Response<RelayBody> {
    let retry_after_ms = refusal.retry_after_ms;
    if relay.may_log(LineKind::Failed) {
        let (cause, share) = (<&str>::from(refusal.cause), format!("{:.3}", refusal.share));
        let aggregator = relay.quota_aggregator();
        let (route, organisation) = (route.name.as_str(), organisation.name.as_str());
        let status = StatusCode::TOO_MANY_REQUESTS.as_u16();
        spdlog::info!("a request was refused for the quota of its organisation", kv: {
            request_id, route, organisation, cause, share, aggregator, status, retry_after_ms
        });
    }
    refusal_with(StatusCode::TOO_MANY_REQUESTS, retry_after_ms)
}

fn shed(
    relay: &Relay,
    request_id: &str,
    root: &RootRequest,
    refused: Shed,
    config: u64,
) -> Response<RelayBody> {
    let retry_after_ms = refused.retry_after_ms;
    relay.metrics.shed(root.priority);
    if relay.may_log(LineKind::Failed) {
        let (route, priority) = (root.route.as_str(), u64::from(root.priority));
        let share = format!("{:.2}", refused.share);
        match &root.organisation {
            None => spdlog::info!("a request was shed at the entry", kv: {
                request_id, route, priority, share, retry_after_ms, config
            }),
            Some(organisation) => {
                let organisation = organisation.as_str();
                let share = format!("{:.3}", refused.share);
                spdlog::info!("a request was shed by the share of its organisation", kv: {
                    request_id, organisation, route, priority, share, retry_after_ms, config
                });
            }
        }
    }
    refusal(retry_after_ms)
}
