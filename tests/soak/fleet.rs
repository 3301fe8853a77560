//! Relay processes, each with a stand-in backend server and with proxies for its connections.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use burdockhall::config::RelaySettings;
use burdockhall::standin::platform::{StandInStore, StandInWorker};
use tokio::task::JoinHandle;

use crate::configuration::{self, Content};
use crate::proxy::Proxy;
use crate::workdir::{raw, request, signal};

pub const CONFIG_TOPIC: &str = "keyed.op";
pub const SERVICES: [&str; 2] = ["a", "b"];
pub const DRAIN_LIMIT: Duration = Duration::from_secs(2);
pub const GRACE_PERIOD: Duration = Duration::from_secs(6);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// What a host's backend server announces in its heartbeats.
#[derive(Debug, Clone)]
struct AnnouncedState {
    state: &'static str,
    born: u64,
    sequence: u64,
    start_number: u32,
}

/// A time span in which a host's process or its store was disturbed.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    pub host: usize,
    pub kind: DisturbanceKind,
    pub from: Instant,
    pub until: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisturbanceKind {
    Paused,
    Killed,
    Terminated,
    /// Its connection to the store was cut, slow or silent, or the store failed.
    StoreFault,
}

/// Whether a process that was asked to stop has exited.
enum ReapResult {
    Exited,
    Running,
    /// Another fault has taken the process and restarts it.
    Taken,
}

/// A daemon's acknowledgement that a backend server is draining.
#[derive(Debug, Clone)]
pub struct DrainAck {
    pub instance: String,
    pub at: Instant,
}

/// A time span in which a backend server stated a rate limit.
#[derive(Debug, Clone)]
pub struct StatedLimit {
    pub host: usize,
    pub per_s: f64,
    pub from: Instant,
    pub until: Instant,
}

/// Events of a run, recorded for the checks.
#[derive(Debug, Default)]
pub struct History {
    pub disturbances: Vec<Disturbance>,
    pub drains: Vec<DrainAck>,
    pub limits: Vec<StatedLimit>,
    /// Times at which the store acknowledged each version of the configuration; version 1 is first.
    pub config_acked_at: Vec<Instant>,
    pub violations: Vec<String>,
}

pub struct Host {
    pub number: usize,
    pub settings: RelaySettings,
    pub hop_proxy: Proxy,
    pub store_proxy: Proxy,
    pub backend_proxy: Proxy,
    pub worker: Arc<StandInWorker>,
    announced: Arc<tokio::sync::Mutex<AnnouncedState>>,
    heartbeats: JoinHandle<()>,
    process: Mutex<Option<Child>>,
    /// Counts each start and each end of a pause of the process.
    pause_transitions: AtomicU32,
    dir: PathBuf,
}

impl Drop for Host {
    fn drop(&mut self) {
        self.heartbeats.abort();
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
    pub content: Content,
}

pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// Returns a loopback address that nothing else in this or another test process uses.
fn free_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(2);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high, low, NEXT.fetch_add(1, Ordering::Relaxed))
}

impl Fleet {
    pub async fn start(hosts: usize, dir: &Path, content: Content) -> Fleet {
        let store_address = SocketAddr::from((free_ip(), 7000));
        let store = StandInStore::start(store_address)
            .await
            .expect("cannot start the store");
        let mut fleet = Fleet {
            store,
            hosts: Vec::new(),
            history: Mutex::default(),
            content,
        };
        fleet.publish_config();
        for number in 0..hosts {
            let host = Host::start(number, store_address, dir).await;
            fleet.hosts.push(host);
        }
        fleet
    }

    /// Writes the newest version of the configuration again, as an operator does after the store has
    /// come back from an older copy.
    pub fn publish_config_again(&self) {
        let history = lock(&self.history);
        let record = configuration::record(history.config_acked_at.len(), self.content).to_string();
        self.store.put(CONFIG_TOPIC, "config", record.as_bytes());
    }

    /// Publishes the next version of the configuration.
    pub fn publish_config(&self) {
        let mut history = lock(&self.history);
        let version = history.config_acked_at.len() + 1;
        let record = configuration::record(version, self.content).to_string();
        self.store.put(CONFIG_TOPIC, "config", record.as_bytes());
        history.config_acked_at.push(Instant::now());
    }

    pub fn record_disturbance(
        &self,
        host: usize,
        kind: DisturbanceKind,
        from: Instant,
        until: Instant,
    ) {
        lock(&self.history).disturbances.push(Disturbance {
            host,
            kind,
            from,
            until,
        });
    }

    /// Whether every daemon reports that it is ready.
    pub fn is_ready(&self) -> bool {
        self.hosts.iter().all(|host| {
            let ready = raw(
                host.settings.ready_address,
                &request("GET", "/ready", &[], ""),
            );
            ready.is_some_and(|answer| answer.status == 200)
        })
    }

    /// Suspends the process with SIGSTOP for `span`.
    pub async fn pause(&self, host: usize, span: Duration) {
        let from = Instant::now();
        if !self.hosts[host].signal("-STOP") {
            return;
        }
        self.hosts[host]
            .pause_transitions
            .fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(span).await;
        self.hosts[host].signal("-CONT");
        self.hosts[host]
            .pause_transitions
            .fetch_add(1, Ordering::Relaxed);
        self.record_disturbance(host, DisturbanceKind::Paused, from, Instant::now());
    }

    /// Kills the process and restarts it after `down`.
    pub async fn kill(&self, host: usize, down: Duration) {
        let from = Instant::now();
        if let Some(mut child) = self.hosts[host].take_process() {
            let _ = child.kill();
            let _ = child.wait();
        } else {
            return;
        }
        tokio::time::sleep(down).await;
        self.hosts[host].spawn();
        self.record_disturbance(host, DisturbanceKind::Killed, from, Instant::now());
    }

    /// Sends SIGTERM, waits for the process to exit and restarts it after `down`. A process that
    /// exceeds [`GRACE_PERIOD`] is killed and, unless it was suspended meanwhile, recorded as a
    /// violation.
    pub async fn terminate(&self, host: usize, down: Duration) {
        let from = Instant::now();
        let pause_transitions = self.hosts[host].pause_transitions.load(Ordering::Relaxed);
        if !self.hosts[host].signal("-TERM") {
            return;
        }
        let limit = Instant::now() + GRACE_PERIOD;
        let exceeded_grace = loop {
            match self.hosts[host].reap() {
                ReapResult::Exited => break false,
                ReapResult::Running if Instant::now() >= limit => break true,
                ReapResult::Running => tokio::time::sleep(Duration::from_millis(20)).await,
                // Another fault has taken the process and restarts it.
                ReapResult::Taken => return,
            }
        };
        if exceeded_grace {
            let Some(mut child) = self.hosts[host].take_process() else {
                return;
            };
            let _ = child.kill();
            let _ = child.wait();
            // A process that was suspended meanwhile could not exit in time.
            if self.hosts[host].pause_transitions.load(Ordering::Relaxed) == pause_transitions {
                let violation =
                    format!("GRACE: host {host} was still running after {GRACE_PERIOD:?}");
                lock(&self.history).violations.push(violation);
            }
        }
        tokio::time::sleep(down).await;
        self.hosts[host].spawn();
        self.record_disturbance(host, DisturbanceKind::Terminated, from, Instant::now());
    }

    /// Crashes the backend server and starts a new one after `down`.
    pub async fn crash_backend(&self, host: usize, down: Duration) {
        let host = &self.hosts[host];
        let mut announced = host.announced.lock().await;
        host.backend_proxy.refuse(true);
        host.backend_proxy.reset();
        tokio::time::sleep(down).await;
        // The drain check tells backend servers apart by instance name, so the replacement of a
        // draining one needs a new name.
        let may_keep_instance = announced.state == "ready";
        host.restart_backend(&mut announced, may_keep_instance);
        host.backend_proxy.heal();
    }

    /// Has the backend server state a rate limit for `span`.
    pub async fn limit_backend(&self, host: usize, per_s: f64, span: Duration) {
        let worker = &self.hosts[host].worker;
        let from = Instant::now();
        worker.state(&[("Server-Limit", &per_s.to_string())]);
        tokio::time::sleep(span).await;
        worker.state(&[]);
        lock(&self.history).limits.push(StatedLimit {
            host,
            per_s,
            from,
            until: Instant::now(),
        });
    }

    /// Drains and deregisters the backend server, then starts a new one.
    pub async fn drain_backend(&self, host: usize, pause: Duration) {
        let host = &self.hosts[host];
        let instance = {
            let mut announced = host.announced.lock().await;
            announced.state = "draining";
            host.worker.instance()
        };
        // Heartbeats repeat the state until one is acknowledged.
        for _ in 0..8 {
            let mut announced = host.announced.lock().await;
            if host.send_heartbeat(&mut announced).await {
                let at = Instant::now();
                let ack = DrainAck {
                    instance: instance.clone(),
                    at,
                };
                lock(&self.history).drains.push(ack);
                break;
            }
            drop(announced);
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
        tokio::time::sleep(DRAIN_LIMIT + pause).await;
        let mut announced = host.announced.lock().await;
        host.worker
            .deregister(host.settings.local_address, None)
            .await;
        host.restart_backend(&mut announced, false);
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
        settings.bounds.drain_s = DRAIN_LIMIT.as_secs_f64();
        settings.bounds.grace_s = GRACE_PERIOD.as_secs_f64();
        settings.bounds.retry_slack = 1_000.0;
        let instance = format!("i-{number}-0");
        let worker = StandInWorker::start(address(7105), service, &instance);
        let mut worker = worker.await.expect("cannot start the backend server");
        worker.announced = settings.backend_address;
        let worker = Arc::new(worker);
        let announced = Arc::new(tokio::sync::Mutex::new(AnnouncedState {
            state: "ready",
            born: 1,
            sequence: 0,
            start_number: 0,
        }));
        let mut host = Host {
            number,
            hop_proxy: Proxy::start(settings.hop_address, address(7102)).await,
            store_proxy: Proxy::start(settings.log_address, store).await,
            backend_proxy: Proxy::start(settings.backend_address, worker.address).await,
            heartbeats: tokio::spawn(async {}),
            process: Mutex::default(),
            pause_transitions: AtomicU32::new(0),
            dir: dir.to_owned(),
            worker,
            announced,
            settings,
        };
        let text = serde_json::to_string(&host.settings).expect("cannot serialise the settings");
        std::fs::write(host.file("json"), text).expect("cannot write the settings file");
        host.spawn();
        host.heartbeats = host.spawn_heartbeats();
        host
    }

    fn file(&self, extension: &str) -> PathBuf {
        self.dir.join(format!("vm-{}.{extension}", self.number))
    }

    /// Starts the process, appending its log lines to the host's log file.
    fn spawn(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.file("log"))
            .expect("cannot open the log file");
        let errors = log.try_clone().expect("cannot clone the log file");
        let child = Command::new(env!("CARGO_BIN_EXE_burdockhall"))
            .arg("relay")
            .arg("--settings")
            .arg(self.file("json"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("cannot start the daemon");
        *lock(&self.process) = Some(child);
    }

    /// Removes the process if it has exited.
    fn reap(&self) -> ReapResult {
        let mut process = lock(&self.process);
        let Some(child) = process.as_mut() else {
            return ReapResult::Taken;
        };
        if matches!(child.try_wait(), Ok(None)) {
            return ReapResult::Running;
        }
        *process = None;
        ReapResult::Exited
    }

    fn take_process(&self) -> Option<Child> {
        lock(&self.process).take()
    }

    /// Sends a signal to the process; returns false if no process is running.
    pub fn signal(&self, name: &str) -> bool {
        let process = lock(&self.process);
        let Some(child) = process.as_ref() else {
            return false;
        };
        signal(child, name);
        true
    }

    async fn send_heartbeat(&self, announced: &mut AnnouncedState) -> bool {
        send_heartbeat(&self.worker, self.settings.local_address, announced).await
    }

    fn spawn_heartbeats(&self) -> JoinHandle<()> {
        let worker = Arc::clone(&self.worker);
        let announced = Arc::clone(&self.announced);
        let daemon = self.settings.local_address;
        tokio::spawn(async move {
            loop {
                // A crash or a drain holds this lock while the backend server is down.
                send_heartbeat(&worker, daemon, &mut *announced.lock().await).await;
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        })
    }

    /// Makes the next heartbeats announce a newly started backend server. Every second start keeps
    /// the previous instance name if `may_keep_instance` allows it.
    fn restart_backend(&self, announced: &mut AnnouncedState, may_keep_instance: bool) {
        announced.start_number += 1;
        announced.born += 1_000;
        announced.state = "ready";
        announced.sequence = 0;
        if !may_keep_instance || announced.start_number.is_multiple_of(2) {
            let instance = format!("i-{}-{}", self.number, announced.start_number);
            self.worker.set_instance(&instance);
        }
    }
}

async fn send_heartbeat(
    worker: &StandInWorker,
    daemon: SocketAddr,
    announced: &mut AnnouncedState,
) -> bool {
    announced.sequence += 1;
    let AnnouncedState {
        state,
        born,
        sequence,
        ..
    } = *announced;
    worker.send_heartbeat(daemon, sequence, state, born).await == 200
}
