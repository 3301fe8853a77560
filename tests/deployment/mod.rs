//! A small deployment over loopback in one process: real relays, with stand-ins for the store and the
//! workers.
#![allow(dead_code)]

#[path = "../support/proxy.rs"]
pub mod proxy;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use burdockhall::config::RelaySettings;
use burdockhall::decide::relay::{Member, RequestDigest, RootRequest};
use burdockhall::net::relay::follow::MEMBERS_TOPIC;
use burdockhall::net::relay::hop::HopRequest;
use burdockhall::net::relay::{Relay, stop};
use burdockhall::platform;
use burdockhall::standin::platform::{StandInStore, StandInWorker};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use proxy::Proxy;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

/// Timeout for a condition to become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
pub const CONFIG_TOPIC: &str = "keyed.op";

/// A relay with its backend server.
pub struct Host {
    pub relay: Arc<Relay>,
    pub settings: RelaySettings,
    pub worker: StandInWorker,
    /// What its calls to the store pass through.
    pub store_proxy: Proxy,
}

pub struct Deployment {
    pub store: StandInStore,
    pub hosts: Vec<Host>,
}

/// An answer as a caller receives it.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// The body; `None` if it was truncated.
    pub body: Option<Bytes>,
}

/// First port handed out. It is below the range of ephemeral ports, since an outgoing connection
/// could take one of those between the check that it is free and its use.
const FIRST_PORT: u16 = 21_000;

/// Returns a free loopback address; each is handed out only once in this process.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A route in the format of the configuration topic.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "host": "calls.example", "pathPrefix": prefix, "kind": kind,
        "timeoutS": 3.0, "targetLatencyS": 1.0, "priority": 0, "service": service,
        "maxAttempts": 2,
    })
}

/// A configuration in the format of the configuration topic.
pub fn config(version: u64, routes: &[Value]) -> Value {
    let service = |name: &str| {
        json!({ "name": name, "healthPath": "/healthz", "maxConnections": 100,
            "protocol": "h1", "tls": false })
    };
    json!({
        "version": format!("r{version}"), "routes": routes,
        "services": [service("a"), service("b")],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304,
            "headerTimeoutS": 3, "idleTimeoutS": 15 },
    })
}

pub fn standard_config(version: u64) -> Value {
    config(
        version,
        &[
            route("safe", "/safe/", "safe", "a"),
            route("once", "/once/", "unsafe", "a"),
            route("other", "/other/", "safe", "b"),
        ],
    )
}

pub fn settings(service: &str, store: SocketAddr, backend: SocketAddr) -> RelaySettings {
    let mut settings = RelaySettings::example(1);
    settings.service = service.into();
    settings.callers_address = free_address();
    settings.hop_address = free_address();
    settings.local_address = free_address();
    settings.ready_address = free_address();
    settings.metrics_address = free_address();
    settings.backend_address = backend;
    settings.log_address = store;
    // Tests retry more often than the default retry budget allows.
    settings.bounds.retry_slack = 1_000.0;
    settings
}

impl Deployment {
    /// Starts a relay with a backend server for each service named, and waits until all relays know
    /// each other and the configuration.
    pub async fn start(services: &[&str]) -> Deployment {
        let places: Vec<_> = services
            .iter()
            .map(|service| (*service, "region"))
            .collect();
        Deployment::start_in(&places).await
    }

    /// Starts a relay for each service and region, as [`Deployment::start`] does.
    pub async fn start_in(places: &[(&str, &str)]) -> Deployment {
        let store = StandInStore::start(free_address())
            .await
            .expect("the store starts");
        let record = standard_config(1).to_string();
        store.put(CONFIG_TOPIC, "config", record.as_bytes());
        let mut deployment = Deployment {
            store,
            hosts: Vec::new(),
        };
        for (service, region) in places {
            deployment.add_host(service, region).await;
        }
        let all = places.len();
        deployment
            .wait("all relays are ready", |deployment| {
                deployment.hosts.iter().all(|host| {
                    let known = host.relay.tables().directory.all().count();
                    known == all && host.relay.config_version() == 1
                })
            })
            .await;
        deployment
    }

    /// Starts one more relay with a backend server.
    pub async fn add_host(&mut self, service: &str, region: &str) {
        self.add_silent_host(service, region, |_| None).await;
        let Host {
            settings, worker, ..
        } = &self.hosts[self.hosts.len() - 1];
        assert_eq!(
            worker
                .send_heartbeat(settings.local_address, 1, "ready", 100)
                .await,
            200
        );
    }

    /// Starts one more relay beside a backend server that sends no heartbeat. The store holds the record that
    /// `record_before` returns for its address, as after a kill.
    pub async fn add_silent_host(
        &mut self,
        service: &str,
        region: &str,
        record_before: impl Fn(SocketAddr) -> Option<Member>,
    ) {
        let instance = format!("i-{}", self.hosts.len());
        let worker = StandInWorker::start(free_address(), service, &instance);
        let worker = worker.await.expect("the worker starts");
        let store_address = free_address();
        let store_proxy = Proxy::start(store_address, self.store.address).await;
        let mut settings = settings(service, store_address, worker.address);
        settings.place.region = region.into();
        if let Some(member) = record_before(settings.hop_address) {
            let record = serde_json::to_vec(&member).expect("JSON");
            let key = member.address.to_string();
            self.store.put(MEMBERS_TOPIC, &key, &record);
        }
        let relay = Relay::new(settings.clone(), platform::header_names());
        platform::start(&relay).await.expect("the listeners open");
        self.hosts.push(Host {
            relay,
            settings,
            worker,
            store_proxy,
        });
    }

    /// Waits until the condition holds; panics on a timeout.
    pub async fn wait(&self, what: &str, holds: impl Fn(&Deployment) -> bool) {
        let until = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while !holds(self) {
            assert!(
                tokio::time::Instant::now() < until,
                "timed out after {WAIT_TIMEOUT:?}: {what}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Sends a request to a host's relay as a caller does.
    pub async fn call(&self, host: usize, path: &str, id: &str, body: &[u8]) -> Answer {
        let address = self.hosts[host].settings.callers_address;
        send(address, "calls.example", path, Some(id), body).await
    }

    /// Sends a request to a host's relay at once, in a task.
    pub fn call_later(&self, host: usize, path: &'static str, id: String) -> JoinHandle<Answer> {
        let address = self.hosts[host].settings.callers_address;
        tokio::spawn(async move { send(address, "calls.example", path, Some(&id), b"").await })
    }

    /// Sends a request to a host's relay with an API key, if one is given, and further headers.
    pub async fn call_as(
        &self,
        host: usize,
        path: &str,
        id: &str,
        api_key: Option<&str>,
        more: &[(&str, &str)],
    ) -> Answer {
        let address = self.hosts[host].settings.callers_address;
        let api_key = api_key.map(|api_key| ("x-credential", api_key));
        let usual = [("host", "calls.example"), ("x-request-id", id)];
        let headers = usual.into_iter().chain(api_key);
        let headers: Vec<_> = headers.chain(more.iter().copied()).collect();
        send_with_headers(address, path, &headers, b"").await
    }

    /// Puts a configuration into the log service and waits until all relays have it.
    pub async fn configure(&self, version: u64, config: &Value) {
        let record = config.to_string();
        self.store.put(CONFIG_TOPIC, "config", record.as_bytes());
        self.wait("the configuration", |deployment| {
            let mut hosts = deployment.hosts.iter();
            hosts.all(|host| host.relay.config_version() == version)
        })
        .await;
    }

    /// Headers with which a request reached a backend server; panics if it did not run once.
    pub fn headers_of(&self, id: &str) -> HashMap<String, String> {
        let runs = self.hosts.iter().flat_map(|host| host.worker.runs());
        let runs: Vec<_> = runs.filter(|run| run.has_request_id(id)).collect();
        assert_eq!(runs.len(), 1, "runs of {id}");
        runs[0].headers.clone()
    }

    /// Number of runs of a request on all backend servers together.
    pub fn runs(&self, id: &str) -> usize {
        let runs = self.hosts.iter().flat_map(|host| host.worker.runs());
        runs.filter(|run| run.has_request_id(id)).count()
    }

    /// Stops a host's relay gracefully.
    pub async fn stop(&self, host: usize) -> usize {
        stop::stop(&self.hosts[host].relay).await
    }
}

/// Metadata of a hop to the route `/once/`, as another daemon sends it; non-idempotent with a key.
pub fn hop_request(instance: &str, key: Option<&str>, left_ms: u64) -> HopRequest {
    HopRequest {
        key: key.map(str::to_owned),
        instance: instance.to_owned(),
        route: "once".into(),
        left_ms,
        root: RootRequest {
            route: "once".into(),
            priority: 0,
            organisation: None,
            admitted: 1.0,
        },
        is_call: false,
        is_retry: false,
        is_first: true,
        config: 1,
        digest: RequestDigest::default(),
        usual_ms: None,
        rate: None,
    }
}

/// Sends one request over a new connection.
pub async fn send(
    address: SocketAddr,
    host: &str,
    path: &str,
    id: Option<&str>,
    body: &[u8],
) -> Answer {
    let id = id.map(|id| ("x-request-id", id));
    let headers: Vec<_> = [("host", host)].into_iter().chain(id).collect();
    send_with_headers(address, path, &headers, body).await
}

/// Sends one request over a new connection, with these headers beside the usual ones or in their place.
pub async fn send_with_headers(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Answer {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{path}"))
        .header("x-caller-service", "forged");
    let usual = [("x-deadline-ms", "3000")];
    let is_given = |name: &str| headers.iter().any(|(given, _)| *given == name);
    let usual = usual.iter().filter(|(name, _)| !is_given(name));
    for (name, value) in usual.chain(headers) {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::copy_from_slice(body)))
        .expect("the request is valid");
    let response = client.request(request).await.expect("the relay answers");
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok().map(|whole| whole.to_bytes());
    Answer {
        status: parts.status,
        headers: parts.headers,
        body,
    }
}
