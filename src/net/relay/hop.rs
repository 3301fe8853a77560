//! Hops between daemons: the caller's request and its answer are forwarded over HTTP, each with
//! one extra header.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::answer_end::OpenRequest;
use super::body::RelayBody;
use super::capacity::LocalCapacity;
use super::connection_timeout::Answering;
use super::executor::{self, ExecutionOutcome, LocalRequest, UNREACHABLE_MS};
use super::log_progress::LogPosition;
use super::state::{Relay, Tables};
use super::{peers, quotas, settle};
use crate::decide::relay::{
    Arrivals, Member, MemberState, RelayedRate, Reporter, RequestDigest, RootRequest, ShareReport,
};
use crate::model::{NotRunReason, ServiceName};

/// Carries [`HopRequest`] as JSON.
pub const HOP_HEADER: HeaderName = HeaderName::from_static("burdockhall-hop");
/// Carries [`HopReply`] as JSON.
pub const REPLY_HEADER: HeaderName = HeaderName::from_static("burdockhall-reply");
pub(super) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// How long a worker that reports that it takes no requests is skipped, in milliseconds.
const NO_REQUESTS_MS: u64 = 700;
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Metadata of a request, from the entry daemon to the daemon beside the backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HopRequest {
    /// Identifies the hop of a non-idempotent request, so that its outcome can be queried; absent
    /// for idempotent requests.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Instance of the backend server that may run the request.
    #[serde(rename = "i")]
    pub instance: String,
    /// Route, for which the service time is estimated.
    #[serde(rename = "r")]
    pub route: ServiceName,
    /// Time left until the deadline, in milliseconds.
    #[serde(rename = "l")]
    pub left_ms: u64,
    /// Route, priority and admitted share of the root request.
    #[serde(rename = "o")]
    pub root: RootRequest,
    /// Whether it is a nested call of a running request.
    #[serde(rename = "c")]
    pub is_call: bool,
    /// Whether it is a retry, or a nested call of one.
    #[serde(rename = "p")]
    pub is_retry: bool,
    /// Whether this is the first worker that the request is offered to.
    #[serde(rename = "f")]
    pub is_first: bool,
    /// Configuration version of the entry daemon.
    #[serde(rename = "v")]
    pub config: u64,
    /// Digest of the request, by which it is recognised when it comes again.
    #[serde(rename = "h", default)]
    pub digest: RequestDigest,
    /// Usual duration of the route over all workers, in milliseconds, as far as the entry daemon
    /// knows; only to workers that state a speed.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub usual_ms: Option<u32>,
    /// Rate limit that the backend server has stated, as far as the entry daemon knows.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<RelayedRate>,
}

/// Outcome of a request at the daemon beside the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HopOutcome {
    /// The backend server has answered.
    Done,
    /// The backend server has answered with a server error after a nested call had failed.
    #[serde(rename = "failed_beneath")]
    #[strum(serialize = "failed_beneath")]
    NestedCallFailed,
    /// It has not run and will not.
    NotRun {
        /// Why it has not run.
        reason: NotRunReason,
        /// When the caller may retry, in milliseconds from now.
        retry_after_ms: u64,
        /// Whether the request reached the backend server.
        arrived: bool,
    },
    /// It may have run.
    Unknown,
}

/// Metadata of an answer: the outcome, and the load and state of the answering daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HopReply {
    /// Outcome of the request.
    #[serde(rename = "o")]
    pub outcome: HopOutcome,
    /// Requests running on the backend server.
    #[serde(rename = "r")]
    pub running: u32,
    /// Requests waiting in the queue.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Requests that run concurrently when the backend server is fully used.
    #[serde(rename = "l")]
    pub limit: u32,
    /// Time that a rate limit makes the next request wait, in milliseconds.
    #[serde(rename = "d", default)]
    pub rate_wait_ms: u64,
    /// Rate limit that the backend server has stated.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<RelayedRate>,
    /// Mean service time of a request, in milliseconds.
    #[serde(rename = "m")]
    pub mean_ms: u32,
    /// Usual duration of a route over all workers of the service, divided by the duration on this
    /// one, in hundredths; absent if unknown.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<u32>,
    /// Time that the backend server took for this request, in milliseconds; 0 if it has not run.
    #[serde(rename = "t", default)]
    pub took_ms: u64,
    /// Requests that have arrived for the backend server within the window of the retry budget.
    #[serde(rename = "q", default)]
    pub arrivals: Arrivals,
    /// Admitted shares of services that are short of capacity.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<ShareReport>,
    /// Configuration version of the answering daemon.
    #[serde(rename = "v")]
    pub config: u64,
    /// Position up to which the answering daemon has read the member records, or the reader that it
    /// follows.
    #[serde(rename = "n", default)]
    pub members_read: LogPosition,
    /// For how long the answering daemon has kept the outcome of each request, in milliseconds; its uptime
    /// at most. Only in answers to outcome queries, where it shows whether the outcome of the request
    /// would be known if it had run.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub complete_ms: Option<u64>,
    /// Whether the body ends with the backend server's connection, so that it does not show whether the
    /// backend server has crashed.
    #[serde(rename = "b", default, skip_serializing_if = "std::ops::Not::not")]
    pub ends_with_connection: bool,
    /// Member record of the answering daemon, if the backend server takes no requests, is leaving,
    /// is not the instance that the request names or may have crashed.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub member: Option<Member>,
}

/// Handles requests of other daemons: hops, outcome queries and state exchange.
pub async fn handle(relay: Arc<Relay>, mut request: Request<Incoming>) -> Response<RelayBody> {
    let Some(header) = request.headers_mut().remove(HOP_HEADER) else {
        return match request.uri().path() {
            peers::STATE_PATH => peers::answer_state(&relay, request.uri()).await,
            peers::RECORD_PATH => peers::receive_record(&relay, request).await,
            quotas::QUOTAS_PATH => quotas::answer(&relay, request).await,
            settle::PATH => settle::answer(&relay, request).await,
            _ => empty_response(StatusCode::NOT_FOUND),
        };
    };
    if let Some(answering) = request.extensions().get::<Answering>() {
        answering.keep_open(OpenRequest::new(&relay));
    }
    let held_ms = relay.observe_pauses();
    let mut hop: HopRequest = match serde_json::from_slice(header.as_bytes()) {
        Ok(hop) => hop,
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("the header of a hop cannot be decoded", kv: { error });
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    hop.left_ms = hop.left_ms.saturating_sub(held_ms);
    relay.observe_config(hop.config, None);
    if let Some(rate) = &hop.rate {
        relay.record_relayed_rate(rate);
    }
    let (parts, incoming) = request.into_parts();
    let local_request = LocalRequest::from_hop(&relay, parts, hop);
    let body = RelayBody::answer(incoming, None);
    let executed = match local_request.hop.key.clone() {
        Some(key) => settle::run(&relay, local_request, body, &key).await,
        None => executor::run(&relay, local_request, body).await,
    };
    let (outcome, took_ms) = (HopOutcome::from(&executed), executed.took_ms());
    let mut reply = relay.reply(outcome, took_ms);
    if let ExecutionOutcome::Done(done) = &executed {
        reply.ends_with_connection = done.ends_with_connection;
    }
    let mut response = executor::into_response(executed);
    attach_reply(&mut response, &reply);
    response
}

impl HopOutcome {
    /// Whether the instance that was addressed takes no requests.
    pub fn takes_no_requests(self) -> bool {
        self.avoid_ms().is_some()
    }

    /// How long the worker is skipped, in milliseconds, if the instance that was addressed takes no
    /// requests: less if it says that it may soon take some.
    pub fn avoid_ms(self) -> Option<u64> {
        let HopOutcome::NotRun {
            reason,
            retry_after_ms,
            ..
        } = self
        else {
            return None;
        };
        let takes_none = matches!(
            reason,
            NotRunReason::Leaving
                | NotRunReason::NoWorker
                | NotRunReason::WrongIncarnation
                | NotRunReason::BackendUnreachable
        );
        let is_soon = (1..UNREACHABLE_MS).contains(&retry_after_ms);
        let avoid_ms = if is_soon {
            retry_after_ms
        } else {
            NO_REQUESTS_MS
        };
        takes_none.then_some(avoid_ms)
    }
}

impl From<&ExecutionOutcome> for HopOutcome {
    fn from(executed: &ExecutionOutcome) -> HopOutcome {
        match executed {
            ExecutionOutcome::Done(done) if done.nested_call_failed => HopOutcome::NestedCallFailed,
            ExecutionOutcome::Done(_) => HopOutcome::Done,
            ExecutionOutcome::NotRun {
                reason,
                retry_after_ms,
                arrived,
            } => HopOutcome::NotRun {
                reason: *reason,
                retry_after_ms: *retry_after_ms,
                arrived: *arrived,
            },
            ExecutionOutcome::Unknown { .. } => HopOutcome::Unknown,
        }
    }
}

impl Relay {
    /// Builds the reply metadata of this daemon, with its load and known shares.
    pub fn reply(&self, outcome: HopOutcome, took_ms: u64) -> HopReply {
        let now = self.clock.now();
        let config = self.config_version();
        let own_member = self.own_member();
        let member = own_member.filter(|member| {
            outcome.takes_no_requests()
                || member.state != MemberState::Ready
                || (outcome == HopOutcome::Unknown && !member.suspects.is_empty())
        });
        let mut tables = self.tables();
        let tables = &mut *tables;
        let mut shares = tables.entry_shares.reports(now);
        let limit = tables.admission.capacity();
        let capacity = tables.capacity.as_ref();
        let speed = capacity.and_then(LocalCapacity::speed_percent);
        let accepted = capacity.map_or(1.0, |capacity| capacity.accepted_share(now));
        if let Some(worker) = &tables.worker {
            let reporter = Reporter {
                service: &worker.heartbeat.service,
                worker: self.worker_id,
                slots: accepted_slots(limit, accepted),
                capacity_ratio: f64::from(limit) / f64::from(tables.admission.limit()) * accepted,
                waiting: tables.admission.waiting(),
            };
            let own = tables.worker_shares.report(now, reporter);
            if let Some(own) = own {
                if own.age_ms == 0 {
                    log_shares(tables, &own, limit);
                }
                // The entry of this daemon uses the report about its own worker as well.
                tables.entry_shares.record_report(now, &own);
                shares.retain(|report| report.worker != own.worker);
                shares.push(own);
            }
        }
        HopReply {
            outcome,
            running: tables.admission.running(),
            waiting: tables.admission.waiting() as u32,
            limit,
            rate_wait_ms: tables.admission.rate_wait_ms(now),
            rate: tables.worker.as_ref().and_then(|worker| {
                let heartbeat = &worker.heartbeat;
                let (instance, born_unix_ms) = (&heartbeat.instance, heartbeat.born_unix_ms);
                worker.rate.relayed(now, instance, born_unix_ms)
            }),
            mean_ms: tables.admission.mean_ms() as u32,
            speed,
            took_ms,
            arrivals: tables.arrivals.arrivals(now),
            shares,
            config,
            members_read: self.members_read.own(),
            complete_ms: None,
            ends_with_connection: false,
            member,
        }
    }
}

/// Slots that count if the backend server accepts only a share of the requests.
fn accepted_slots(limit: u32, accepted: f64) -> u32 {
    ((f64::from(limit) * accepted).round() as u32).max(1)
}

/// Adds the reply metadata to an answer.
pub fn attach_reply(response: &mut Response<RelayBody>, reply: &HopReply) {
    match serde_json::to_vec(reply).map(HeaderValue::try_from) {
        Ok(Ok(value)) => {
            response.headers_mut().insert(REPLY_HEADER, value);
        }
        // Without the header the entry treats the outcome as unknown, which is always safe.
        _ => spdlog::error!("the header of a reply cannot be encoded"),
    }
}

/// Logs the estimated demand for the backend server and the resulting shares.
fn log_shares(tables: &Tables, own: &ShareReport, limit: u32) {
    let (demand, pressure) = tables.worker_shares.summary();
    let (demand, pressure) = (format!("{demand:.1}"), format!("{pressure:.2}"));
    let running = tables.admission.running();
    let waiting = tables.admission.waiting() as u64;
    let service = own.service.as_str();
    let shares = format!("{:?}", own.shares);
    let mean_ms = tables.admission.mean_ms() as u64;
    match &own.priorities {
        None => spdlog::info!("the backend server is scarce", kv: {
            service, demand, limit, pressure, running, waiting, mean_ms, shares
        }),
        Some(priorities) => {
            let organisations = format!("{priorities:?}");
            spdlog::info!("the backend server is scarce", kv: {
                service, demand, limit, pressure, running, waiting, mean_ms, shares, organisations
            });
        }
    }
}

/// An answer without a body.
pub fn empty_response(status: StatusCode) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::Empty);
    *response.status_mut() = status;
    response
}

/// Removes hop-by-hop headers, including those named by the `Connection` header.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    if let Some(connection) = headers.remove(CONNECTION) {
        let named = connection.to_str().unwrap_or_default().split(',');
        for name in named {
            headers.remove(name.trim());
        }
    }
    for name in [
        KEEP_ALIVE,
        PROXY_CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
}
