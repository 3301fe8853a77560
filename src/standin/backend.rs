//! A stand-in for a backend server with slots, service times, child calls, cancellation and
//! deadlines, which counts the requests that it runs.
//!
//! A run waits for a slot and holds it during its service time and its child calls. It takes
//! effect at its end. The server answers `not-run` if the first child call was not run, or if
//! the run is cancelled or reaches its deadline before that call. If it is cancelled or reaches
//! its deadline later, the server answers with an error.
//!
//! Service times use tokio's timer, which has a resolution of one millisecond: a run takes up
//! to one millisecond longer than its service time, and a service time of zero takes no time.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::faults::BackendFaults;
use super::run_counts::RunCounts;
use crate::decide::sharded::lock;
use crate::model::{RequestName, ServerState, ServiceName};
use crate::net::NetError;
use crate::net::backend::{
    CALL_HEADER, KEY_HEADER, OUTCOME_HEADER, RETRY_AFTER_HEADER, TIME_LEFT_HEADER,
};
use crate::net::http::{self, FullResponse, HttpClient};
use crate::net::local::{BackendAnnouncement, ORDINAL_HEADER};

/// Interval between announcements to the daemon, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 200;
/// Timeout of a child call or an announcement, in milliseconds.
const CHILD_TIMEOUT_MS: u64 = 30_000;
/// Maximum number of idle connections kept open to the daemon.
const IDLE_CONNECTIONS: usize = 64;
/// Retry delay of a `not-run` answer if no child call gave one, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 100;

/// A child call, which a run makes before it answers.
#[derive(Debug, Clone)]
pub struct ChildCall {
    /// The called service.
    pub service: ServiceName,
    /// Name of the request sent to that service.
    pub request: RequestName,
}

/// Configuration of a stand-in backend server.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// The service that it announces.
    pub service: ServiceName,
    /// Number of requests that run at the same time; further requests wait in the server.
    pub slots: u32,
    /// Number of connections that it announces to accept.
    pub connections: u32,
    /// Mean service time of a run without its child calls, in milliseconds.
    pub service_ms: u64,
    /// Requests without a service time.
    pub instant_requests: Vec<RequestName>,
    /// Seed of the service times, which are spread uniformly from 0.5 to 1.5 times the mean.
    /// Without a seed, each run takes the mean.
    pub seed: Option<u64>,
    /// Whether a run stops when its deadline passes.
    pub enforces_deadlines: bool,
    /// Child calls of each request, made one after the other.
    pub calls: BTreeMap<RequestName, Vec<ChildCall>>,
    /// Address at which the daemon beside it takes announcements and child calls.
    pub daemon: SocketAddr,
}

/// Counters and injected faults of a stand-in backend server.
#[derive(Debug, Default)]
pub struct BackendState {
    /// Runs started.
    pub started: AtomicU64,
    /// Runs that ended, with any result.
    pub finished: AtomicU64,
    /// Connections accepted.
    pub accepted: AtomicU64,
    /// Faults that a test or the trial injects.
    pub faults: BackendFaults,
    /// Runs by key and by body.
    pub run_counts: RunCounts,
}

impl BackendState {
    /// Number of executions of each idempotency key.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.run_counts.executions()
    }

    /// Number of runs that have started and not ended.
    pub fn running(&self) -> u64 {
        let finished = self.finished.load(Ordering::Acquire);
        let started = self.started.load(Ordering::Acquire);
        started.saturating_sub(finished)
    }

    /// Stops answering on all connections accepted so far.
    pub fn silence_connections(&self) {
        let accepted = self.accepted.load(Ordering::Relaxed);
        self.faults.silence_below(accepted);
    }
}

/// A running stand-in backend server. Dropping it closes its listener.
#[derive(Debug)]
pub struct StandInBackend {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Counters and injected faults, shared with the server's tasks.
    pub state: Arc<BackendState>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    plan: BackendPlan,
    state: Arc<BackendState>,
    slots: Semaphore,
    client: HttpClient,
    cancellations: Mutex<HashMap<String, Arc<Notify>>>,
}

/// Result of a run.
enum RunResult {
    Completed,
    NotRun { retry_after_ms: u64 },
    Failed(StatusCode),
}

/// Body of the answer to a request for `/load`.
#[derive(Debug, Serialize)]
struct LoadReport {
    slots: u32,
    running: u64,
}

impl StandInBackend {
    /// Starts a backend server that announces itself to its daemon; port 0 takes any free port.
    pub async fn start(address: SocketAddr, plan: BackendPlan) -> Result<StandInBackend, NetError> {
        let listener = http::listen(address).await?;
        let address = listener.local_addr().unwrap_or(address);
        let state = Arc::new(BackendState::default());
        let shared = Arc::new(Shared {
            slots: Semaphore::new(plan.slots as usize),
            plan,
            state: Arc::clone(&state),
            client: http::client(IDLE_CONNECTIONS),
            cancellations: Mutex::default(),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, Arc::clone(&shared)));
        tasks.spawn(announce(shared));
        Ok(StandInBackend {
            address,
            state,
            _tasks: tasks,
        })
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let number = shared.state.accepted.fetch_add(1, Ordering::Relaxed);
        connections.spawn(serve_connection(Arc::clone(&shared), stream, number));
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, number: u64) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move {
            let response = handle(&shared, request).await;
            if shared.state.faults.is_silent(number) {
                std::future::pending::<()>().await;
            }
            Ok::<_, Infallible>(response)
        }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn announce(shared: Arc<Shared>) {
    loop {
        shared.state.faults.wait_while_paused().await;
        let body = serde_json::to_vec(&shared.announcement()).unwrap_or_default();
        let uri = format!("http://{}/announce", shared.plan.daemon);
        if let Ok(request) = Request::post(uri).body(Full::new(Bytes::from(body))) {
            let daemon = shared.plan.daemon;
            let _ = http::exchange(&shared.client, daemon, request, CHILD_TIMEOUT_MS).await;
        }
        tokio::time::sleep(Duration::from_millis(ANNOUNCE_INTERVAL_MS)).await;
    }
}

async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> FullResponse {
    let (parts, body) = request.into_parts();
    shared.state.faults.wait_while_paused().await;
    let path = parts.uri.path().to_owned();
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    match segments.as_slice() {
        ["run", name] => match http::read_body(body).await {
            Ok(body) => run(shared, name, &parts, body).await,
            Err(_) => http::error(StatusCode::BAD_REQUEST, "the body broke off"),
        },
        ["cancel", call] => {
            if let Some(cancel) = lock(&shared.cancellations).get(*call) {
                cancel.notify_one();
            }
            http::json(StatusCode::OK, &())
        }
        ["load"] => http::json(StatusCode::OK, &shared.load()),
        _ => http::json(StatusCode::OK, &()),
    }
}

async fn run(shared: &Arc<Shared>, name: &str, parts: &Parts, body: Bytes) -> FullResponse {
    let key = http::header(&parts.headers, KEY_HEADER);
    let call = http::header(&parts.headers, CALL_HEADER).unwrap_or_default();
    shared.state.started.fetch_add(1, Ordering::AcqRel);
    shared.state.run_counts.record_started(key, &body);
    let cancel = Arc::new(Notify::new());
    lock(&shared.cancellations).insert(call.to_owned(), Arc::clone(&cancel));
    let _guard = RunGuard { shared, call };
    let child_calls_started = AtomicBool::new(false);
    let result = tokio::select! {
        // A run that has ended is answered even if it is cancelled at the same time.
        biased;
        result = execute(shared, name, call, &body, &child_calls_started) => result,
        () = cancel.notified() =>
            interrupted(&child_calls_started, StatusCode::INTERNAL_SERVER_ERROR),
        () = shared.wait_until_deadline(parts) =>
            interrupted(&child_calls_started, StatusCode::GATEWAY_TIMEOUT),
    };
    shared.state.faults.wait_while_paused().await;
    match result {
        RunResult::Completed => Response::new(Full::new(body)),
        RunResult::Failed(status) => http::error(status, "the run did not finish"),
        RunResult::NotRun { retry_after_ms } => {
            shared.state.run_counts.record_not_run(key, &body);
            not_run(retry_after_ms)
        }
    }
}

async fn execute(
    shared: &Shared,
    name: &str,
    call: &str,
    body: &Bytes,
    child_calls_started: &AtomicBool,
) -> RunResult {
    let Ok(_slot) = shared.slots.acquire().await else {
        return RunResult::Failed(StatusCode::INTERNAL_SERVER_ERROR);
    };
    if !shared.is_instant(name) {
        tokio::time::sleep(shared.service_time(body)).await;
    }
    child_calls_started.store(true, Ordering::Relaxed);
    call_children(shared, name, call, body).await
}

/// The result of a run that is cancelled or reaches its deadline.
fn interrupted(child_calls_started: &AtomicBool, status: StatusCode) -> RunResult {
    if child_calls_started.load(Ordering::Relaxed) {
        return RunResult::Failed(status);
    }
    RunResult::NotRun {
        retry_after_ms: DEFAULT_RETRY_AFTER_MS,
    }
}

async fn call_children(shared: &Shared, name: &str, call: &str, body: &Bytes) -> RunResult {
    let Some(children) = shared.plan.calls.get(name) else {
        return RunResult::Completed;
    };
    for (ordinal, child) in children.iter().enumerate() {
        let is_first = ordinal == 0;
        match call_child(shared, child, ordinal, call, body).await {
            RunResult::Completed => {}
            // The earlier child calls have run and cannot be undone.
            RunResult::NotRun { .. } if !is_first => {
                return RunResult::Failed(StatusCode::SERVICE_UNAVAILABLE);
            }
            result => return result,
        }
    }
    RunResult::Completed
}

async fn call_child(
    shared: &Shared,
    child: &ChildCall,
    ordinal: usize,
    call: &str,
    body: &Bytes,
) -> RunResult {
    let daemon = shared.plan.daemon;
    let uri = format!("http://{daemon}/call/{}/{}", child.service, child.request);
    let request = Request::post(uri)
        .header(CALL_HEADER, call)
        .header(ORDINAL_HEADER, ordinal)
        .body(Full::new(body.clone()));
    let Ok(request) = request else {
        return RunResult::Failed(StatusCode::INTERNAL_SERVER_ERROR);
    };
    shared
        .state
        .run_counts
        .record_child_call(body, &child.service);
    match http::exchange(&shared.client, daemon, request, CHILD_TIMEOUT_MS).await {
        Ok((_, headers, _)) if http::header(&headers, OUTCOME_HEADER) == Some("not-run") => {
            let retry_after = http::header(&headers, RETRY_AFTER_HEADER);
            let retry_after_ms = retry_after.and_then(|text| text.parse().ok());
            RunResult::NotRun {
                retry_after_ms: retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS),
            }
        }
        Ok((status, _, answer)) if status.is_success() && answer == *body => RunResult::Completed,
        Ok((status, _, _)) if !status.is_success() => RunResult::Failed(status),
        _ => RunResult::Failed(StatusCode::BAD_GATEWAY),
    }
}

impl Shared {
    fn announcement(&self) -> BackendAnnouncement {
        let faults = &self.state.faults;
        let reported = faults.reported_slots.load(Ordering::Relaxed);
        let leaving = faults.leaving.load(Ordering::Relaxed);
        BackendAnnouncement {
            service: self.plan.service.clone(),
            slots: if reported > 0 {
                reported
            } else {
                self.plan.slots
            },
            connections: self.plan.connections,
            state: if leaving {
                ServerState::Leaving
            } else {
                ServerState::Serving
            },
        }
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            slots: self.announcement().slots,
            running: self.state.running(),
        }
    }

    fn is_instant(&self, name: &str) -> bool {
        self.plan
            .instant_requests
            .iter()
            .any(|request| request.as_str() == name)
    }

    /// The service time of a run, drawn from the seed and the body so that a request takes the
    /// same time in every run of the trial.
    fn service_time(&self, body: &Bytes) -> Duration {
        let share = self.plan.seed.map_or(1.0, |seed| {
            let draw = xxh3_64_with_seed(body, seed) >> 32;
            0.5 + draw as f64 / (1u64 << 32) as f64
        });
        let mean_ms = self.plan.service_ms as f64;
        let factor = self.state.faults.service_time_factor() as f64;
        Duration::from_secs_f64(mean_ms * share * factor / 1_000.0)
    }

    /// Waits until the request's deadline; forever if it has none or deadlines are not enforced.
    async fn wait_until_deadline(&self, parts: &Parts) {
        let left = http::header(&parts.headers, TIME_LEFT_HEADER);
        let left_ms = left.and_then(|text| text.parse().ok());
        match left_ms {
            Some(left_ms) if self.plan.enforces_deadlines => {
                tokio::time::sleep(Duration::from_millis(left_ms)).await;
            }
            _ => std::future::pending().await,
        }
    }
}

/// Counts a run as finished when dropped, which also happens if its connection is closed early.
struct RunGuard<'a> {
    shared: &'a Shared,
    call: &'a str,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        lock(&self.shared.cancellations).remove(self.call);
        self.shared.state.finished.fetch_add(1, Ordering::AcqRel);
    }
}

fn not_run(retry_after_ms: u64) -> FullResponse {
    let mut response = http::error(StatusCode::SERVICE_UNAVAILABLE, "the request was not run");
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
    headers.insert(RETRY_AFTER_HEADER, HeaderValue::from(retry_after_ms));
    response
}
