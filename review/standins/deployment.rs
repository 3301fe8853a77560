//! A small deployment: a store, machines with a relay process and a worker each, and clients.

use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Ended, Head, exchange};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Behaviour, Worker};

/// The host of all routes.
pub const HOST: &str = "hulo84.example";

/// Bounds of the sites `lvx-ie` and `tantuvan-mesh`.
pub const DRAIN_S: f64 = 2.0;
pub const STABLE_WINDOW_S: f64 = 3.0;
/// `graceS`.
pub const GRACE: Duration = Duration::from_secs(6);

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize) -> i32;
}

/// All machines, so that their processes can be ended whatever happens.
static ALL: Mutex<Vec<Arc<Machine>>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for machine in ALL.lock().unwrap().iter() {
        machine.end();
    }
}

pub struct Machine {
    pub name: String,
    pub service: String,
    zone: String,
    pub outbound: SocketAddr,
    hop: SocketAddr,
    pub control: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    pub app: SocketAddr,
    process: Mutex<Option<Child>>,
}

impl Machine {
    /// Ends its relay with SIGKILL; false if it does not run.
    fn end(&self) -> bool {
        let Some(mut process) = self.process.lock().unwrap().take() else {
            return false;
        };
        let _ = process.kill();
        let _ = process.wait();
        true
    }
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    store_address: SocketAddr,
    folder: PathBuf,
    next_id: AtomicU64,
    /// Whether the settings hold the bounds of a site with tenants.
    pub has_quotas: AtomicBool,
    pub machines: Mutex<Vec<Arc<Machine>>>,
}

/// One client attempt and how it ended.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub sent: Instant,
    pub ended_at: Instant,
    pub ended: Ended,
}

/// A free address on a loopback address of this process's own, so that scripts that run side by side and
/// the source ports of connections do not take it.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 100 + high % 100, middle, low);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from((ip, port));
        match TcpListener::bind(address) {
            Ok(_) => return Ok(address),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}

impl Deployment {
    /// `folder` takes the record, `temporary` the settings and logs of the relays.
    pub fn new(folder: &Path, temporary: &Path) -> io::Result<Arc<Deployment>> {
        let (store, store_address) = Store::start(free_address()?)?;
        Ok(Arc::new(Deployment {
            record: Arc::new(Record::new(folder)?),
            store,
            store_address,
            folder: temporary.to_owned(),
            next_id: AtomicU64::new(0),
            has_quotas: AtomicBool::new(false),
            machines: Mutex::default(),
        }))
    }

    /// Adds a machine with free addresses; its relay is not started yet.
    pub fn machine(&self, name: &str, service: &str, zone: &str) -> io::Result<Arc<Machine>> {
        let machine = Arc::new(Machine {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            outbound: free_address()?,
            hop: free_address()?,
            control: free_address()?,
            ready: free_address()?,
            metrics: free_address()?,
            app: free_address()?,
            process: Mutex::default(),
        });
        self.machines.lock().unwrap().push(Arc::clone(&machine));
        ALL.lock().unwrap().push(Arc::clone(&machine));
        Ok(machine)
    }

    /// The worker of a machine.
    pub fn worker(
        &self,
        machine: &Machine,
        choose: impl Fn(&Head) -> Behaviour + Send + Sync + 'static,
    ) -> Arc<Worker> {
        Worker::new(
            &machine.name,
            &machine.service,
            machine.app,
            machine.control,
            Arc::clone(&self.record),
            choose,
        )
    }

    /// Starts the relay of a machine with the command of the deploy file and settings like those
    /// that the template gives on the site lvx-ie.
    pub fn start_relay(&self, machine: &Machine) -> io::Result<()> {
        let settings = self.folder.join(format!("{}.json", machine.name));
        let quotas = if self.has_quotas.load(Ordering::Relaxed) {
            ",\n    \"revoke_s\": 5,\n    \"strict_revoke\": false,\n    \"quota_window_s\": 5,\n    \
             \"quota_excess\": 0.1,\n    \"quota_slack\": 20"
        } else {
            ""
        };
        let region = if machine.zone.starts_with("dub") {
            "dublin"
        } else {
            "cork"
        };
        fs::write(
            &settings,
            format!(
                r#"{{
  "vm": "{}",
  "place": {{ "region": "{region}", "zone": "{}" }},
  "service": "{}",
  "callers_address": "{}",
  "hop_address": "{}",
  "local_address": "{}",
  "ready_address": "{}",
  "metrics_address": "{}",
  "backend_address": "{}",
  "log_address": "{}",
  "logging": {{ "level": "info", "format": "json" }},
  "bounds": {{
    "drain_s": 2,
    "grace_s": 6,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 48{quotas}
  }}
}}
"#,
                machine.name,
                machine.zone,
                machine.service,
                machine.outbound,
                machine.hop,
                machine.control,
                machine.ready,
                machine.metrics,
                machine.app,
                self.store_address
            ),
        )?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", machine.name)))?;
        let mut command = Command::new("target/release/burdockhall");
        command
            .args(["relay", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // The relay ends with this process, also if this one is killed.
        const PR_SET_PDEATHSIG: i32 = 1;
        // SAFETY: the call between fork and exec only sets an attribute of the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            });
        }
        let process = command.spawn()?;
        let (name, pid) = (&machine.name, process.id());
        self.record
            .line(&format!("the relay of {name} is started, process {pid}"));
        *machine.process.lock().unwrap() = Some(process);
        Ok(())
    }

    /// Stops the relay of a machine as the platform does: SIGTERM, and SIGKILL after `GRACE`. Returns
    /// how long it took to end, and whether it ended by itself.
    pub fn stop_relay(&self, machine: &Machine) -> Option<(Duration, bool)> {
        let mut process = machine.process.lock().unwrap().take()?;
        let (name, began) = (&machine.name, Instant::now());
        self.record
            .line(&format!("the relay of {name} gets SIGTERM"));
        // SAFETY: the process was started by this one and has not been waited for.
        unsafe { kill(process.id() as i32, SIGTERM) };
        while began.elapsed() < GRACE {
            if let Ok(Some(status)) = process.try_wait() {
                let took = began.elapsed();
                let text = format!("the relay of {name} has ended after {took:.3?}: {status}");
                self.record.line(&text);
                return Some((took, true));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = process.kill();
        let _ = process.wait();
        self.record
            .line(&format!("the relay of {name} gets SIGKILL"));
        Some((began.elapsed(), false))
    }

    /// Ends the relay of a machine with SIGKILL.
    pub fn kill_relay(&self, machine: &Machine) {
        if machine.end() {
            self.record
                .line(&format!("the relay of {} is killed", machine.name));
        }
    }

    /// Whether the platform's readiness check of a machine is answered with 200.
    pub fn is_ready(&self, machine: &Machine) -> bool {
        let request = format!("GET /ready HTTP/1.1\r\nHost: {}\r\n\r\n", machine.ready);
        let ended = exchange(machine.ready, request.as_bytes(), Duration::from_secs(1));
        matches!(ended, Ended::Answered(head, _) if head.status() == 200)
    }

    /// Waits until all relays are ready; false after `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let machines = self.machines.lock().unwrap().clone();
        while !machines.iter().all(|machine| self.is_ready(machine)) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        true
    }

    /// Sends one request of a client at a machine, over a new connection.
    pub fn send(&self, machine: &Machine, method: &str, path: &str, limit: Duration) -> Attempt {
        self.send_with(machine, method, path, limit, "")
    }

    /// The same with further header lines, each with its line end.
    pub fn send_with(
        &self,
        machine: &Machine,
        method: &str,
        path: &str,
        limit: Duration,
        headers: &str,
    ) -> Attempt {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("{number:016x}");
        let limit_ms = limit.as_millis();
        let body = if method == "GET" {
            ""
        } else {
            "content-length: 0\r\n"
        };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {limit_ms}\r\n{headers}{body}\r\n"
        );
        self.record.quiet(&format!(
            "client at {} sends {id} {method} {path}",
            machine.name
        ));
        let sent = Instant::now();
        let ended = exchange(machine.outbound, request.as_bytes(), limit);
        let ended_at = Instant::now();
        let took_ms = (ended_at - sent).as_millis();
        self.record.quiet(&format!(
            "client at {}: {id}: {} after {took_ms} ms",
            machine.name,
            ended.text()
        ));
        Attempt {
            id,
            sent,
            ended_at,
            ended,
        }
    }
}
