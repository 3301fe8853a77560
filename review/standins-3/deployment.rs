//! A small installation on loopback: relays as processes of their own, started as the deploy file says, each
//! on an address of its own, with stand-ins of the store, the workers and the platform.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::status_of;
use crate::store::Store;
use crate::worker::{self, Identity, Run, Worker};

const TEMPLATE: &str = "deploy/settings.template";
const RUN: [&str; 2] = ["target/release/burdockhall", "relay"];
pub const HOST: &str = "calls.example";
pub const ENTRY_SERVICE: &str = "front";
pub const SERVICE: &str = "desk";
/// Time after all are ready until each relay knows the others.
const SETTLE: Duration = Duration::from_secs(4);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

/// A process that ends with this one.
pub struct Process(Child);

impl Process {
    fn start(command: &mut Command) -> io::Result<Process> {
        // SAFETY: prctl is async-signal-safe.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        Ok(Process(command.spawn()?))
    }

    fn signal(&self, signal: i32) {
        // SAFETY: the process has not been waited for, so its id is its own.
        unsafe { kill(self.0.id() as i32, signal) };
    }

    pub fn kill(&self) {
        self.signal(SIGKILL);
    }

    pub fn freeze(&self) {
        self.signal(SIGSTOP);
    }

    pub fn resume(&self) {
        self.signal(SIGCONT);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A machine with a relay and a worker.
pub struct Machine {
    pub relay: Process,
    /// The worker, if it is a process of its own.
    pub process: Option<Process>,
    /// The worker, if it is not.
    pub worker: Option<Arc<Worker>>,
    /// Settings of the relay.
    settings: PathBuf,
    pub instance: String,
    /// Where clients send their requests.
    pub outbound: SocketAddr,
    ready: SocketAddr,
}

impl Machine {
    /// Starts the relay again.
    pub fn restart_relay(&mut self) -> io::Result<()> {
        self.relay = start_relay(&self.settings)?;
        Ok(())
    }
}

/// The whole installation. The first machine is the one whose clients send requests.
pub struct Deployment {
    pub machines: Vec<Machine>,
    pub runs: Receiver<Run>,
    pub store: Store,
    folder: PathBuf,
}

/// A route of the manifest.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub timeout_s: f64,
}

impl Deployment {
    /// Starts `size` machines: one of the clients' service and the others of the called one, whose
    /// workers are processes of their own if `own_processes`.
    pub fn start(size: usize, own_processes: bool, routes: &[Route]) -> io::Result<Deployment> {
        let folder = temporary_folder()?;
        let network = std::process::id() % 200 + 20;
        let ip = |number: usize| format!("127.{network}.7.{}", number + 10);
        let store = Store::start(&ip(0))?;
        store.put("keyed.op", "config", manifest(routes).as_bytes());
        let (sender, runs) = mpsc::channel();
        let mut machines = Vec::new();
        for number in 0..size {
            let service = if number == 0 { ENTRY_SERVICE } else { SERVICE };
            let place = Place {
                ip: ip(number + 1),
                service,
                number,
                store: store.address,
                folder: &folder,
            };
            let is_process = own_processes && number > 0;
            machines.push(place.start(is_process, &sender)?);
        }
        let deployment = Deployment {
            machines,
            runs,
            store,
            folder,
        };
        deployment.wait_until_ready()?;
        thread::sleep(SETTLE);
        Ok(deployment)
    }

    /// Asks each relay whether it is ready, as the platform does.
    fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        for machine in &self.machines {
            let request = format!("GET /ready HTTP/1.1\r\nHost: {}\r\n\r\n", machine.ready);
            while status_of(machine.ready, request.as_bytes()) != 200 {
                if Instant::now() > until {
                    return Err(io::Error::other("a relay does not become ready"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    pub fn entry(&self) -> SocketAddr {
        self.machines[0].outbound
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.machines.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

struct Place<'a> {
    ip: String,
    service: &'static str,
    number: usize,
    store: SocketAddr,
    folder: &'a Path,
}

impl Place<'_> {
    fn start(&self, is_process: bool, runs: &Sender<Run>) -> io::Result<Machine> {
        let ports = free_ports(&self.ip, 5)?;
        let [outbound, inbound, control, ready, app] = ports[..] else {
            return Err(io::Error::other("no free ports"));
        };
        let identity = Identity {
            service: self.service.to_owned(),
            instance: format!("i-{}", self.number),
            listen: app,
            control,
        };
        let (process, worker) = if is_process {
            (Some(start_worker(&identity, runs)?), None)
        } else {
            (None, Some(worker::start(&identity, runs.clone())?))
        };
        let text = |value: &str| format!("\"{value}\"");
        let address = |value: SocketAddr| format!("\"{value}\"");
        let fields = [
            ("node", text(&format!("machine-{}", self.number))),
            ("region", text("region")),
            ("zone", text("zone-a")),
            ("service", text(self.service)),
            ("listen.outbound", address(outbound)),
            ("listen.inbound", address(inbound)),
            ("listen.control", address(control)),
            ("listen.readyAddress", address(ready)),
            ("ip", self.ip.clone()),
            ("app", address(app)),
            ("platform.address", address(self.store)),
            ("bounds.drainS", "2".to_owned()),
            ("bounds.graceS", "6".to_owned()),
            ("bounds.budgetRatio", "0.2".to_owned()),
            ("bounds.budgetWindowS", "10".to_owned()),
            ("bounds.budgetSlack", "48".to_owned()),
        ];
        let settings = fill(&fs::read_to_string(TEMPLATE)?, &fields);
        let path = self.folder.join(format!("machine-{}.json", self.number));
        fs::write(&path, settings)?;
        Ok(Machine {
            relay: start_relay(&path)?,
            process,
            worker,
            settings: path,
            instance: identity.instance,
            outbound,
            ready,
        })
    }
}

/// Starts a relay with the command of the deploy file.
fn start_relay(settings: &Path) -> io::Result<Process> {
    let path = settings.with_extension("log");
    let log = File::options().create(true).append(true).open(path)?;
    let mut command = Command::new(RUN[0]);
    command.arg(RUN[1]).arg("--settings").arg(settings);
    command.stdin(Stdio::null()).stderr(log.try_clone()?);
    Process::start(command.stdout(log))
}

fn start_worker(identity: &Identity, runs: &Sender<Run>) -> io::Result<Process> {
    let mut command = Command::new(std::env::current_exe()?);
    command
        .arg("worker")
        .arg(&identity.service)
        .arg(&identity.instance)
        .arg(identity.listen.to_string())
        .arg(identity.control.to_string());
    command.stdin(Stdio::null()).stdout(Stdio::piped());
    let mut process = Process::start(&mut command)?;
    let output = process.0.stdout.take();
    let output = output.ok_or_else(|| io::Error::other("no output of a worker"))?;
    let (instance, runs) = (identity.instance.clone(), runs.clone());
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            let (id, path) = line.split_once(' ').unwrap_or((&line, ""));
            let run = Run {
                instance: instance.clone(),
                id: id.to_owned(),
                method: String::new(),
                path: path.to_owned(),
                body_bytes: 0,
                body_hash: 0,
                began: Instant::now(),
            };
            if runs.send(run).is_err() {
                return;
            }
        }
    });
    Ok(process)
}

fn manifest(routes: &[Route]) -> String {
    let routes = routes.iter().map(|route| {
        let Route {
            name,
            kind,
            timeout_s,
        } = route;
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"/{name}/","kind":"{kind}","timeoutS":{timeout_s},"targetLatencyS":1.5,"priority":0,"service":"{SERVICE}","maxAttempts":2}}"#
        )
    });
    let routes = routes.collect::<Vec<_>>().join(",");
    let services = [ENTRY_SERVICE, SERVICE]
        .map(|name| format!(r#"{{"name":"{name}","healthPath":"/healthz","maxConnections":748}}"#));
    let services = services.join(",");
    format!(
        r#"{{"version":"r7","routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":32768,"maxBodyBytes":67108864,"headerTimeoutS":10,"idleTimeoutS":30}}}}"#
    )
}

/// Fills the template in as the platform does; sections whose field is not there are left out.
fn fill(template: &str, fields: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    while let Some(begin) = text.find("{{#") {
        let name_end = begin + text[begin..].find("}}").unwrap_or(0);
        let name = &text[begin + 3..name_end];
        let close = format!("{{{{/{name}}}}}");
        let end = text
            .find(&close)
            .map_or(name_end + 2, |at| at + close.len());
        text.replace_range(begin..end, "");
    }
    for (name, value) in fields {
        let bare = value.trim_matches('"');
        text = text.replace(&format!("{{{{{name}|json}}}}"), value);
        text = text.replace(&format!("{{{{{name}}}}}"), bare);
    }
    text
}

fn free_ports(ip: &str, count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners = (0..count).map(|_| TcpListener::bind((ip, 0)));
    let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}

fn temporary_folder() -> io::Result<PathBuf> {
    let name = format!("burdockhall-review-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder)?;
    Ok(folder)
}
