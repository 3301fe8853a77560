//! A stand-in of a backend server: slots, service time, further calls, executions by key.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::decide::sharded::lock;
use crate::model::{RequestName, ServerState, ServiceName};
use crate::net::NetError;
use crate::net::backend::{CALL_HEADER, KEY_HEADER};
use crate::net::http::{self, FullResponse, HttpClient};
use crate::net::local::{BackendAnnouncement, ORDINAL_HEADER};

/// Time between two announcements, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 200;
/// Longest wait for a call made beneath a run, in milliseconds.
const CHILD_TIMEOUT_MS: u64 = 30_000;
/// Connections kept open to the daemon.
const IDLE_CONNECTIONS: usize = 64;

/// A call that a run makes before it answers.
#[derive(Debug, Clone)]
pub struct ChildCall {
    /// The service called.
    pub service: ServiceName,
    /// The kind of request.
    pub request: RequestName,
}

/// What a stand-in is made from.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// The service.
    pub service: ServiceName,
    /// Requests that it works on at once; further ones wait inside.
    pub slots: u32,
    /// Connections that it announces.
    pub connections: u32,
    /// Time that a run takes, in milliseconds.
    pub service_ms: u64,
    /// Calls made by each kind of request, one after the other.
    pub calls: BTreeMap<RequestName, Vec<ChildCall>>,
    /// The daemon beside it.
    pub daemon: SocketAddr,
}

/// What a stand-in counts, and its switches.
#[derive(Debug, Default)]
pub struct BackendState {
    /// Runs that were started.
    pub started: AtomicU64,
    /// Runs that were finished, with whatever status.
    pub finished: AtomicU64,
    /// The service time is multiplied by this; zero counts as one.
    pub slowdown: AtomicU64,
    /// Announce the leaving.
    pub leaving: AtomicBool,
    executions: Mutex<HashMap<String, u32>>,
}

impl BackendState {
    /// How often each key was executed.
    pub fn executions(&self) -> HashMap<String, u32> {
        lock(&self.executions).clone()
    }
}

/// A running stand-in. Dropping it closes its listener.
#[derive(Debug)]
pub struct StandInBackend {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it counts.
    pub state: Arc<BackendState>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct Shared {
    plan: BackendPlan,
    state: Arc<BackendState>,
    slots: Semaphore,
    client: HttpClient,
}

impl StandInBackend {
    /// Starts a backend server that announces itself to its daemon.
    pub async fn start(address: SocketAddr, plan: BackendPlan) -> Result<StandInBackend, NetError> {
        let listener = http::listen(address).await?;
        let address = listener.local_addr().unwrap_or(address);
        let state = Arc::new(BackendState::default());
        let shared = Arc::new(Shared {
            slots: Semaphore::new(plan.slots as usize),
            plan,
            state: Arc::clone(&state),
            client: http::client(IDLE_CONNECTIONS),
        });
        let mut tasks = JoinSet::new();
        let serving = Arc::clone(&shared);
        tasks.spawn(http::serve(listener, move |request| {
            run(Arc::clone(&serving), request)
        }));
        tasks.spawn(announce(shared));
        Ok(StandInBackend {
            address,
            state,
            _tasks: tasks,
        })
    }
}

async fn announce(shared: Arc<Shared>) {
    loop {
        let leaving = shared.state.leaving.load(Ordering::Relaxed);
        let announcement = BackendAnnouncement {
            service: shared.plan.service.clone(),
            slots: shared.plan.slots,
            connections: shared.plan.connections,
            state: if leaving {
                ServerState::Leaving
            } else {
                ServerState::Serving
            },
        };
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        let uri = format!("http://{}/announce", shared.plan.daemon);
        if let Ok(request) = Request::post(uri).body(Full::new(Bytes::from(body))) {
            let daemon = shared.plan.daemon;
            let _ = http::exchange(&shared.client, daemon, request, CHILD_TIMEOUT_MS).await;
        }
        tokio::time::sleep(Duration::from_millis(ANNOUNCE_INTERVAL_MS)).await;
    }
}

async fn run(shared: Arc<Shared>, request: Request<Incoming>) -> FullResponse {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().to_owned();
    let Some(name) = path.strip_prefix("/run/") else {
        return http::json(StatusCode::OK, &());
    };
    let Ok(body) = http::read_body(body).await else {
        return http::error(StatusCode::BAD_REQUEST, "the body broke off");
    };
    shared.state.started.fetch_add(1, Ordering::Relaxed);
    if let Some(key) = http::header(&parts.headers, KEY_HEADER) {
        *lock(&shared.state.executions)
            .entry(key.to_owned())
            .or_default() += 1;
    }
    let slowdown = shared.state.slowdown.load(Ordering::Relaxed).max(1);
    {
        let _slot = shared.slots.acquire().await;
        tokio::time::sleep(Duration::from_millis(shared.plan.service_ms * slowdown)).await;
        let call = http::header(&parts.headers, CALL_HEADER).unwrap_or_default();
        let status = call_children(&shared, name, call, &body).await;
        if status != StatusCode::OK {
            shared.state.finished.fetch_add(1, Ordering::Relaxed);
            return http::error(status, "a call beneath this one failed");
        }
    }
    shared.state.finished.fetch_add(1, Ordering::Relaxed);
    Response::new(Full::new(body))
}

async fn call_children(shared: &Shared, name: &str, call: &str, body: &Bytes) -> StatusCode {
    let Some(children) = shared.plan.calls.get(name) else {
        return StatusCode::OK;
    };
    for (ordinal, child) in children.iter().enumerate() {
        let daemon = shared.plan.daemon;
        let uri = format!("http://{daemon}/call/{}/{}", child.service, child.request);
        let request = Request::post(uri)
            .header(CALL_HEADER, call)
            .header(ORDINAL_HEADER, ordinal)
            .body(Full::new(body.clone()));
        let Ok(request) = request else {
            return StatusCode::INTERNAL_SERVER_ERROR;
        };
        match http::exchange(&shared.client, daemon, request, CHILD_TIMEOUT_MS).await {
            Ok((status, _, answer)) if status.is_success() && answer == *body => {}
            Ok((status, _, _)) if !status.is_success() => return status,
            _ => return StatusCode::BAD_GATEWAY,
        }
    }
    StatusCode::OK
}
