//! Calls between daemons: the caller's request with one header more, the answer with one more.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, HeaderMap, HeaderName, HeaderValue, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::body::RelayBody;
use super::executor::{self, Executed, Order};
use super::state::{Relay, Tables};
use super::{peers, settle};
use crate::decide::relay::{Arrivals, Member, Reporter, RootRequest, ShareReport};
use crate::model::{NotRunReason, ServiceName};

/// Carries [`HopRequest`] as JSON.
pub const HOP_HEADER: HeaderName = HeaderName::from_static("burdockhall-hop");
/// Carries [`HopReply`] as JSON.
pub const REPLY_HEADER: HeaderName = HeaderName::from_static("burdockhall-reply");
pub(super) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// What the entry says about a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HopRequest {
    /// Identifies the hop of a non-idempotent request, so that its outcome can be asked for.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The run of the backend server that may run it.
    #[serde(rename = "i")]
    pub instance: String,
    /// Route, by which the time it takes is expected.
    #[serde(rename = "r")]
    pub route: ServiceName,
    /// Time left, in milliseconds.
    #[serde(rename = "l")]
    pub left_ms: u64,
    /// The root request above it.
    #[serde(rename = "o")]
    pub root: RootRequest,
    /// Whether it is a call beneath a running request.
    #[serde(rename = "c")]
    pub is_call: bool,
    /// Whether its run would repeat another.
    #[serde(rename = "p")]
    pub is_repeat: bool,
    /// Whether it was not offered to another daemon before.
    #[serde(rename = "f")]
    pub is_first: bool,
    /// Version of the entry's configuration.
    #[serde(rename = "v")]
    pub config: u64,
}

/// What became of a request at the daemon beside the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::IntoStaticStr)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HopOutcome {
    /// The backend server has answered.
    Done,
    /// The backend server has answered with a failure after a call beneath it had failed.
    FailedBeneath,
    /// It has not run and will not.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
        /// Whether the backend server was asked at all.
        arrived: bool,
    },
    /// It may have run.
    Unknown,
}

/// What the daemon beside the backend server says with its answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HopReply {
    /// The outcome.
    #[serde(rename = "o")]
    pub outcome: HopOutcome,
    /// Requests that run.
    #[serde(rename = "r")]
    pub running: u32,
    /// Requests that wait.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Requests that may run at a time.
    #[serde(rename = "l")]
    pub limit: u32,
    /// Mean time of a request, in milliseconds.
    #[serde(rename = "m")]
    pub mean_ms: u32,
    /// Time that the backend server took for this request, in milliseconds; 0 if it has not run.
    #[serde(rename = "t", default)]
    pub took_ms: u64,
    /// What has arrived for the backend server within the window of the retry budget.
    #[serde(rename = "q", default)]
    pub arrivals: Arrivals,
    /// Shares at scarce services.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<ShareReport>,
    /// Version of this daemon's configuration.
    #[serde(rename = "v")]
    pub config: u64,
    /// How far this daemon has read the records of members.
    #[serde(rename = "n", default)]
    pub members_read: u64,
    /// How long this daemon has been up, in milliseconds, where it answers for what it has not
    /// heard of.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub up_ms: Option<u64>,
    /// Its own record, where the request shows that the entry does not know it.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub member: Option<Member>,
}

/// Answers other daemons.
pub async fn handle(relay: Arc<Relay>, mut request: Request<Incoming>) -> Response<RelayBody> {
    let Some(header) = request.headers_mut().remove(HOP_HEADER) else {
        return match request.uri().path() {
            peers::STATE_PATH => peers::answer_state(&relay),
            peers::RECORD_PATH => peers::take_record(&relay, request).await,
            settle::PATH => settle::answer(&relay, request).await,
            _ => plain(StatusCode::NOT_FOUND),
        };
    };
    let hop: HopRequest = match serde_json::from_slice(header.as_bytes()) {
        Ok(hop) => hop,
        Err(error) => {
            let error = error.to_string();
            spdlog::warn!("a hop could not be read", kv: { error });
            return plain(StatusCode::BAD_REQUEST);
        }
    };
    if hop.config > relay.config_version() {
        relay.peer_is_newer.notify_one();
    }
    let (parts, incoming) = request.into_parts();
    let order = Order::from_hop(&relay, parts, hop);
    let body = RelayBody::answer(incoming, None);
    let executed = match order.hop.key.clone() {
        Some(key) => settle::run(&relay, order, body, &key).await,
        None => executor::run(&relay, order, body).await,
    };
    let (outcome, took_ms) = (HopOutcome::from(&executed), executed.took_ms());
    let mut response = executor::stand_in(executed);
    let reply = relay.reply(outcome, took_ms);
    attach_reply(&mut response, &reply);
    response
}

impl HopOutcome {
    /// Whether the backend server that was meant takes no work.
    pub fn is_closed(self) -> bool {
        let HopOutcome::NotRun { reason, .. } = self else {
            return false;
        };
        matches!(
            reason,
            NotRunReason::Leaving
                | NotRunReason::NoWorker
                | NotRunReason::WrongIncarnation
                | NotRunReason::BackendUnreachable
        )
    }
}

impl From<&Executed> for HopOutcome {
    fn from(executed: &Executed) -> HopOutcome {
        match executed {
            Executed::Done(done) if done.failed_beneath => HopOutcome::FailedBeneath,
            Executed::Done(_) => HopOutcome::Done,
            Executed::NotRun {
                reason,
                retry_after_ms,
                arrived,
            } => HopOutcome::NotRun {
                reason: *reason,
                retry_after_ms: *retry_after_ms,
                arrived: *arrived,
            },
            Executed::Unknown { .. } => HopOutcome::Unknown,
        }
    }
}

impl Relay {
    /// The reply of this daemon, with what it knows about its load.
    pub fn reply(&self, outcome: HopOutcome, took_ms: u64) -> HopReply {
        let now = self.clock.now();
        let config = self.config_version();
        let member = if outcome.is_closed() {
            self.own_member()
        } else {
            None
        };
        let mut tables = self.tables();
        let tables = &mut *tables;
        let mut shares = tables.entry_shares.reports(now);
        let limit = tables.admission.limit();
        if let Some(worker) = &tables.worker {
            let reporter = Reporter {
                service: &worker.heartbeat.service,
                worker: self.worker_id,
                slots: limit,
                waiting: tables.admission.waiting(),
            };
            let own = tables.worker_shares.report(now, reporter);
            if let Some(own) = own {
                if own.age_ms == 0 {
                    log_shares(tables, &own, limit);
                }
                // An entry, too, hears what this daemon says about its own worker.
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
            mean_ms: tables.admission.mean_ms() as u32,
            took_ms,
            arrivals: tables.arrivals.arrivals(now),
            shares,
            config,
            members_read: self.members_read.here(),
            up_ms: None,
            member,
        }
    }
}

/// Adds what this daemon says with an answer.
pub fn attach_reply(response: &mut Response<RelayBody>, reply: &HopReply) {
    match serde_json::to_vec(reply).map(HeaderValue::try_from) {
        Ok(Ok(value)) => {
            response.headers_mut().insert(REPLY_HEADER, value);
        }
        // Without the header the entry takes the outcome as unknown, which is always true.
        _ => spdlog::error!("a reply could not be written"),
    }
}

/// Says what this daemon believes about the demand for its backend server.
fn log_shares(tables: &Tables, own: &ShareReport, limit: u32) {
    let (demand, pressure) = tables.worker_shares.summary();
    let (demand, pressure) = (format!("{demand:.1}"), format!("{pressure:.2}"));
    let running = tables.admission.running();
    let waiting = tables.admission.waiting() as u64;
    let service = own.service.as_str();
    let shares = format!("{:?}", own.shares);
    let mean_ms = tables.admission.mean_ms() as u64;
    spdlog::info!("the backend server is scarce", kv: {
        service, demand, limit, pressure, running, waiting, mean_ms, shares
    });
}

/// An answer without a body.
pub fn plain(status: StatusCode) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::Empty);
    *response.status_mut() = status;
    response
}

/// Drops the headers that concern one connection only.
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
