//! Relays as processes of their own, with stand-ins and proxies around each.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use burdockhall::config::RelaySettings;
use burdockhall::standin::platform::{StandInStore, StandInWorker};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::proxy::Proxy;
use crate::workdir::{raw, request, signal};

pub const CONFIG_TOPIC: &str = "keyed.op";
pub const SERVICES: [&str; 2] = ["a", "b"];
pub const DRAIN: Duration = Duration::from_secs(2);
pub const GRACE: Duration = Duration::from_secs(6);
const BEAT_PAUSE: Duration = Duration::from_millis(300);

/// What the backend server of a host says about itself.
#[derive(Debug, Clone)]
struct Announced {
    state: &'static str,
    born: u64,
    sequence: u64,
    runs: u32,
}

/// A span in which a host's process did not run undisturbed.
#[derive(Debug, Clone, Copy)]
pub struct Disturbed {
    pub host: usize,
    pub kind: Disturbance,
    pub from: Instant,
    pub until: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    Paused,
    Killed,
    Terminated,
    /// Its way to the store was cut, slow or silent, or the store failed.
    StoreAway,
}

/// What has become of a process that was asked to stop.
enum Reaped {
    Exited,
    Runs,
    Taken,
}

/// The acknowledgement of a backend server's leaving.
#[derive(Debug, Clone)]
pub struct DrainAck {
    pub instance: String,
    pub at: Instant,
}

/// What has happened, for the checks.
#[derive(Debug, Default)]
pub struct History {
    pub disturbed: Vec<Disturbed>,
    pub drains: Vec<DrainAck>,
    /// When each version of the configuration was acknowledged, by version.
    pub configs: Vec<Instant>,
    pub problems: Vec<String>,
}

pub struct Host {
    pub number: usize,
    pub settings: RelaySettings,
    pub hops: Proxy,
    pub to_store: Proxy,
    pub to_backend: Proxy,
    pub worker: Arc<StandInWorker>,
    announced: Arc<tokio::sync::Mutex<Announced>>,
    beats: JoinHandle<()>,
    process: Mutex<Option<Child>>,
    /// Counts each beginning and each end of a pause of the process.
    pauses: AtomicU32,
    dir: PathBuf,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.beats.abort();
        if let Some(mut child) = lock(&self.process).take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub struct Fleet {
    pub store: StandInStore,
    pub hosts: Vec<Host>,
    pub history: Mutex<History>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// An IP on loopback that nothing else of this process or of another test process uses.
fn free_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high, low, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The configuration of a version: each version adds one route that shows it.
fn config(version: usize) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "calls.example", "pathPrefix": prefix, "kind": kind,
            "timeoutS": 2.5, "targetLatencyS": 0.5, "priority": 0, "service": service,
            "maxAttempts": 2,
        })
    };
    let mut routes = vec![
        route("safe-a", "/safe/a/", "safe", "a"),
        route("safe-b", "/safe/b/", "safe", "b"),
        route("once-a", "/once/a/", "unsafe", "a"),
        route("once-b", "/once/b/", "unsafe", "b"),
    ];
    for shown in 1..=version {
        let name = format!("shows-{shown}");
        routes.push(route(&name, &format!("/shows/{shown}/"), "safe", "a"));
    }
    let service =
        |name: &str| json!({ "name": name, "healthPath": "/healthz", "maxConnections": 500 });
    json!({
        "version": format!("r{version}"), "routes": routes,
        "services": SERVICES.map(service),
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304,
            "headerTimeoutS": 3, "idleTimeoutS": 15 },
    })
}

impl Fleet {
    pub async fn start(hosts: usize, dir: &Path) -> Fleet {
        let store_address = SocketAddr::from((free_ip(), 7000));
        let store = StandInStore::start(store_address).await.expect("a store");
        let mut fleet = Fleet {
            store,
            hosts: Vec::new(),
            history: Mutex::default(),
        };
        fleet.publish();
        for number in 0..hosts {
            let host = Host::start(number, store_address, dir).await;
            fleet.hosts.push(host);
        }
        fleet
    }

    /// Publishes the next version of the configuration.
    pub fn publish(&self) {
        let mut history = lock(&self.history);
        let version = history.configs.len() + 1;
        let record = config(version).to_string();
        self.store.put(CONFIG_TOPIC, "config", record.as_bytes());
        history.configs.push(Instant::now());
    }

    pub fn disturbed(&self, host: usize, kind: Disturbance, from: Instant, until: Instant) {
        lock(&self.history).disturbed.push(Disturbed {
            host,
            kind,
            from,
            until,
        });
    }

    /// Whether every daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.hosts.iter().all(|host| {
            let ready = raw(
                host.settings.ready_address,
                &request("GET", "/ready", &[], ""),
            );
            ready.is_some_and(|answer| answer.status == 200)
        })
    }

    /// Stops the process for a while.
    pub async fn pause(&self, host: usize, span: Duration) {
        let from = Instant::now();
        if !self.hosts[host].signal("-STOP") {
            return;
        }
        self.hosts[host].pauses.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(span).await;
        self.hosts[host].signal("-CONT");
        self.hosts[host].pauses.fetch_add(1, Ordering::Relaxed);
        self.disturbed(host, Disturbance::Paused, from, Instant::now());
    }

    /// Kills the process and starts it again.
    pub async fn kill(&self, host: usize, down: Duration) {
        let from = Instant::now();
        if let Some(mut child) = self.hosts[host].take() {
            let _ = child.kill();
            let _ = child.wait();
        } else {
            return;
        }
        tokio::time::sleep(down).await;
        self.hosts[host].spawn();
        self.disturbed(host, Disturbance::Killed, from, Instant::now());
    }

    /// Asks the process to stop, waits for it and starts it again.
    pub async fn terminate(&self, host: usize, down: Duration) {
        let from = Instant::now();
        let pauses = self.hosts[host].pauses.load(Ordering::Relaxed);
        if !self.hosts[host].signal("-TERM") {
            return;
        }
        let limit = Instant::now() + GRACE;
        let is_over = loop {
            match self.hosts[host].reap() {
                Reaped::Exited => break false,
                Reaped::Runs if Instant::now() >= limit => break true,
                Reaped::Runs => tokio::time::sleep(Duration::from_millis(20)).await,
                // Another step has taken it and will start the next one.
                Reaped::Taken => return,
            }
        };
        if is_over {
            let Some(mut child) = self.hosts[host].take() else {
                return;
            };
            let _ = child.kill();
            let _ = child.wait();
            // A process that was stopped meanwhile could not keep the time.
            if self.hosts[host].pauses.load(Ordering::Relaxed) == pauses {
                let problem = format!("GRACE: host {host} was still there after {GRACE:?}");
                lock(&self.history).problems.push(problem);
            }
        }
        tokio::time::sleep(down).await;
        self.hosts[host].spawn();
        self.disturbed(host, Disturbance::Terminated, from, Instant::now());
    }

    /// The backend server dies and another run of it starts.
    pub async fn crash_backend(&self, host: usize, down: Duration) {
        let host = &self.hosts[host];
        let mut announced = host.announced.lock().await;
        host.to_backend.refuse(true);
        host.to_backend.reset();
        tokio::time::sleep(down).await;
        // Runs are told apart by their names in the check of drains.
        let may_keep_name = announced.state == "ready";
        host.reborn(&mut announced, may_keep_name);
        host.to_backend.heal();
    }

    /// The backend server drains and leaves, and another one takes its place.
    pub async fn drain_backend(&self, host: usize, pause: Duration) {
        let host = &self.hosts[host];
        let instance = {
            let mut announced = host.announced.lock().await;
            announced.state = "draining";
            host.worker.instance()
        };
        // The heartbeats carry the state until one is acknowledged.
        for _ in 0..8 {
            let mut announced = host.announced.lock().await;
            if host.beat(&mut announced).await {
                let at = Instant::now();
                let ack = DrainAck {
                    instance: instance.clone(),
                    at,
                };
                lock(&self.history).drains.push(ack);
                break;
            }
            drop(announced);
            tokio::time::sleep(BEAT_PAUSE).await;
        }
        tokio::time::sleep(DRAIN + pause).await;
        let mut announced = host.announced.lock().await;
        host.worker.deregister(host.settings.local_address).await;
        host.reborn(&mut announced, false);
    }
}

impl Host {
    async fn start(number: usize, store: SocketAddr, dir: &Path) -> Host {
        let ip = free_ip();
        let address = |port| SocketAddr::from((ip, port));
        let mut settings = RelaySettings::example(1);
        let service = SERVICES[number % SERVICES.len()];
        settings.vm = format!("vm-{number}");
        settings.place.zone = format!("zone-{}", number % 3).as_str().into();
        settings.service = service.into();
        settings.callers_address = address(7100);
        settings.hop_address = address(7112);
        settings.hop_listen_address = Some(address(7102));
        settings.local_address = address(7101);
        settings.ready_address = address(7103);
        settings.metrics_address = address(7104);
        settings.backend_address = address(7115);
        settings.log_address = address(7116);
        settings.bounds.drain_s = DRAIN.as_secs_f64();
        settings.bounds.grace_s = GRACE.as_secs_f64();
        settings.bounds.retry_slack = 1_000.0;
        let instance = format!("i-{number}-0");
        let worker = StandInWorker::start(address(7105), service, &instance);
        let mut worker = worker.await.expect("a backend server");
        worker.announced = settings.backend_address;
        let worker = Arc::new(worker);
        let announced = Arc::new(tokio::sync::Mutex::new(Announced {
            state: "ready",
            born: 1,
            sequence: 0,
            runs: 0,
        }));
        let mut host = Host {
            number,
            hops: Proxy::start(settings.hop_address, address(7102)).await,
            to_store: Proxy::start(settings.log_address, store).await,
            to_backend: Proxy::start(settings.backend_address, worker.address).await,
            beats: tokio::spawn(async {}),
            process: Mutex::default(),
            pauses: AtomicU32::new(0),
            dir: dir.to_owned(),
            worker,
            announced,
            settings,
        };
        let text = serde_json::to_string(&host.settings).expect("settings");
        std::fs::write(host.file("json"), text).expect("a settings file");
        host.spawn();
        host.beats = host.keep_beating();
        host
    }

    fn file(&self, extension: &str) -> PathBuf {
        self.dir.join(format!("vm-{}.{extension}", self.number))
    }

    /// Starts the process; its log lines go on in the same file.
    fn spawn(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.file("log"))
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_burdockhall"))
            .arg("relay")
            .arg("--settings")
            .arg(self.file("json"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("a daemon");
        *lock(&self.process) = Some(child);
    }

    /// Takes the process if it has ended.
    fn reap(&self) -> Reaped {
        let mut process = lock(&self.process);
        let Some(child) = process.as_mut() else {
            return Reaped::Taken;
        };
        if matches!(child.try_wait(), Ok(None)) {
            return Reaped::Runs;
        }
        *process = None;
        Reaped::Exited
    }

    fn take(&self) -> Option<Child> {
        lock(&self.process).take()
    }

    /// Sends a signal to the process; false if there is none now.
    pub fn signal(&self, name: &str) -> bool {
        let process = lock(&self.process);
        let Some(child) = process.as_ref() else {
            return false;
        };
        signal(child, name);
        true
    }

    async fn beat(&self, announced: &mut Announced) -> bool {
        beat(&self.worker, self.settings.local_address, announced).await
    }

    fn keep_beating(&self) -> JoinHandle<()> {
        let worker = Arc::clone(&self.worker);
        let announced = Arc::clone(&self.announced);
        let daemon = self.settings.local_address;
        tokio::spawn(async move {
            loop {
                // Whoever holds the lock has the backend server down.
                beat(&worker, daemon, &mut *announced.lock().await).await;
                tokio::time::sleep(BEAT_PAUSE).await;
            }
        })
    }

    /// Another run of the backend server; some have the name of the run before.
    fn reborn(&self, announced: &mut Announced, may_keep_name: bool) {
        announced.runs += 1;
        announced.born += 1_000;
        announced.state = "ready";
        announced.sequence = 0;
        if !may_keep_name || announced.runs.is_multiple_of(2) {
            let instance = format!("i-{}-{}", self.number, announced.runs);
            self.worker.set_instance(&instance);
        }
    }
}

async fn beat(worker: &StandInWorker, daemon: SocketAddr, announced: &mut Announced) -> bool {
    announced.sequence += 1;
    let Announced {
        state,
        born,
        sequence,
        ..
    } = *announced;
    worker.send_heartbeat(daemon, sequence, state, born).await == 200
}
