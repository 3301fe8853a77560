//! The log service and the VMs of one run; each VM has a daemon and a backend server.
//!
//! Each VM has a runtime of its own with one thread. Dropping the runtime cancels all its tasks and
//! closes its sockets, as the loss of a VM does. Blocking its thread stops the daemon and the
//! backend server, as a paused VM does.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::RngExt;
use tokio::runtime::{Handle, Runtime};
use tokio::sync::{mpsc, oneshot};

use super::deployment::{Deployment, PROBE, WORKERS, scaled};
use crate::cmd::CmdError;
use crate::config::Settings;
use crate::decide::Mechanisms;
use crate::decide::control::fold::SheetFold;
use crate::decide::control::record::{LogRecord, Publication, Stream};
use crate::model::{SheetChange, SheetContent, SheetVersion};
use crate::net::daemon::unix_ms;
use crate::net::drain::DrainResult;
use crate::net::node_driver::NodeDriver;
use crate::net::{Daemon, http};
use crate::platform::log::{LogClient, LogError};
use crate::standin::backend::{BackendPlan, BackendState, StandInBackend};
use crate::standin::log::StandInLog;

/// Number of listeners of one VM, those of the daemon and of the backend server.
const LISTENERS: usize = 6;
/// Base port of the example settings; all addresses with it are overwritten.
const EXAMPLE_PORT: u16 = 20_000;
/// Timeout for all daemons to learn the sheet and each other, in milliseconds.
const READY_TIMEOUT_MS: u64 = 30_000;
/// Interval between readiness checks while the daemons start, in milliseconds.
const READY_POLL_MS: u64 = 20;
/// Number of readiness checks between two rounds of calls to all services.
const CHECKS_PER_CALL_ROUND: u64 = 25;
/// Timeout of requests to the log service, in milliseconds.
const LOG_TIMEOUT_MS: u64 = 1_000;
/// Time within which all daemons must know that a worker is leaving, in milliseconds.
pub const LEAVING_PROPAGATION_MS: u64 = 3_000;

/// Parameters of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetPlan {
    /// Topology, services and request classes.
    pub deployment: Deployment,
    /// Share of the deployment's slots and connections, up to 1.
    pub scale: f64,
    /// Mechanisms that are enabled in all daemons.
    pub mechanisms: Mechanisms,
    /// Seed of the backend servers' service times.
    pub seed: u64,
}

/// A running VM with its daemon and its backend server.
#[derive(Debug)]
pub struct TrialVm {
    /// Service of its backend server.
    pub service: &'static str,
    /// Settings of its daemon.
    pub settings: Settings,
    /// Actual number of slots of its backend server, whatever it announces.
    pub slots: u32,
    /// Counters and faults of its backend server.
    pub backend: Arc<BackendState>,
    /// Node of its daemon, with the gauges and the sheet version.
    pub driver: Arc<NodeDriver>,
    daemon: Option<Daemon>,
    _server: StandInBackend,
    runtime: VmRuntime,
}

/// All VMs of a run and the log service.
#[derive(Debug)]
pub struct Fleet {
    plan: FleetPlan,
    /// Stand-in of the log service.
    pub log: StandInLog,
    /// VMs that are running.
    pub vms: Vec<TrialVm>,
    /// Service and counters of the backend servers of lost VMs.
    pub lost_backends: Vec<(&'static str, Arc<BackendState>)>,
}

impl Fleet {
    /// Starts the log service and all VMs, publishes the sheet and waits until all daemons know the
    /// sheet and each other.
    pub async fn start(plan: FleetPlan) -> Result<Fleet, CmdError> {
        let log = StandInLog::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let mut fleet = Fleet {
            plan,
            log,
            vms: Vec::new(),
            lost_backends: Vec::new(),
        };
        fleet.publish_sheet().await?;
        let count = plan.deployment.services.len() * WORKERS;
        let addresses = free_addresses(count)?;
        for (index, vm_addresses) in addresses.iter().enumerate() {
            let vm = fleet.start_vm(index, vm_addresses).await?;
            fleet.vms.push(vm);
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Publishes the deployment's sheet on top of the latest version on the log.
    pub async fn publish_sheet(&self) -> Result<(), LogError> {
        let client = LogClient::new(self.log.address, LOG_TIMEOUT_MS);
        let mut fold = SheetFold::default();
        fold.fold_batch(0, client.read(Stream::Sheets, 0).await?);
        let content = SheetContent::canonical(self.plan.deployment.rules(), Vec::new());
        let publication = Publication {
            id: format!("trial-{}", fold.base().version),
            base: Some(fold.base()),
            author: "trial".into(),
            published_ms: unix_ms(),
            change: SheetChange::between(&SheetContent::default(), &content),
        };
        let record = LogRecord::Publication(publication);
        client.append(Stream::Sheets, &record).await?;
        Ok(())
    }

    /// Index of the first running VM of a service.
    pub fn first_vm_of(&self, service: &str) -> Option<usize> {
        self.vms.iter().position(|vm| vm.service == service)
    }

    /// Service and counters of all backend servers of the run, including those of lost VMs.
    pub fn backends(&self) -> Vec<(&'static str, Arc<BackendState>)> {
        let running = self
            .vms
            .iter()
            .map(|vm| (vm.service, Arc::clone(&vm.backend)));
        running.chain(self.lost_backends.iter().cloned()).collect()
    }

    /// Terminates a VM without draining it, and returns its settings.
    pub fn terminate_vm(&mut self, index: usize) -> Settings {
        let vm = self.vms.remove(index);
        self.lost_backends
            .push((vm.service, Arc::clone(&vm.backend)));
        vm.settings
    }

    /// Starts a VM with the settings of a lost one.
    pub async fn start_replacement(
        &mut self,
        service: &'static str,
        settings: Settings,
    ) -> Result<(), CmdError> {
        let index = self.plan.deployment.services.iter();
        let index = index.take_while(|plan| plan.name != service).count() * WORKERS;
        let vm = self.start_vm_with(index, settings).await?;
        self.vms.push(vm);
        Ok(())
    }

    async fn start_vm(
        &self,
        index: usize,
        addresses: &[SocketAddr; LISTENERS],
    ) -> Result<TrialVm, CmdError> {
        let worker = index % WORKERS;
        let service = self.plan.deployment.services[index / WORKERS];
        let mut settings = Settings::example(EXAMPLE_PORT);
        settings.place = self.plan.deployment.place(worker);
        settings.callers_address = addresses[0];
        settings.local_address = addresses[1];
        settings.hop_address = addresses[2];
        settings.control_address = addresses[3];
        settings.admin_address = addresses[4];
        settings.backend_address = addresses[5];
        settings.backend_connections = scaled(service.connections, self.plan.scale);
        settings.log_address = self.log.address;
        self.start_vm_with(index, settings).await
    }

    async fn start_vm_with(&self, index: usize, settings: Settings) -> Result<TrialVm, CmdError> {
        let service = self.plan.deployment.services[index / WORKERS];
        let plan = BackendPlan {
            service: service.name.into(),
            slots: scaled(service.slots, self.plan.scale),
            connections: settings.backend_connections,
            service_ms: service.service_ms,
            instant_requests: vec![PROBE.into()],
            seed: Some(self.plan.seed),
            enforces_deadlines: self.plan.mechanisms.deadlines,
            calls: self.plan.deployment.calls_of(service.name),
            daemon: settings.local_address,
        };
        let runtime = VmRuntime::new(index)?;
        let mechanisms = self.plan.mechanisms;
        let daemon_settings = settings.clone();
        let started = runtime.handle().spawn(async move {
            let daemon = Daemon::start(&daemon_settings, mechanisms).await?;
            let server = StandInBackend::start(daemon_settings.backend_address, plan).await?;
            Ok::<_, CmdError>((daemon, server))
        });
        let started = started.await.map_err(std::io::Error::other)?;
        let (daemon, server) = started?;
        Ok(TrialVm {
            service: service.name,
            settings,
            slots: scaled(service.slots, self.plan.scale),
            backend: Arc::clone(&server.state),
            driver: Arc::clone(daemon.driver()),
            daemon: Some(daemon),
            _server: server,
            runtime,
        })
    }

    async fn wait_until_ready(&self) -> Result<(), CmdError> {
        for round in 0..READY_TIMEOUT_MS / READY_POLL_MS {
            if round % CHECKS_PER_CALL_ROUND == 0 {
                self.call_all_services();
            }
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(READY_POLL_MS)).await;
        }
        let message = "the daemons did not learn the sheet and each other in time";
        Err(std::io::Error::other(message).into())
    }

    /// Sends a call to each service through each daemon, since a daemon only keeps the workers of
    /// services that it calls.
    fn call_all_services(&self) {
        let client = http::client(0);
        for vm in &self.vms {
            let entry = vm.settings.callers_address;
            for service in self.plan.deployment.services {
                let uri = format!("http://{entry}/call/{}/{PROBE}", service.name);
                let request =
                    Request::post(uri).body(Full::new(Bytes::from(format!("{PROBE}:start"))));
                let client = client.clone();
                tokio::spawn(async move {
                    if let Ok(request) = request {
                        let _ = http::exchange(&client, entry, request, READY_TIMEOUT_MS).await;
                    }
                });
            }
        }
    }

    async fn is_ready(&self) -> bool {
        for vm in &self.vms {
            if vm.driver.node.sheet_version() == SheetVersion(0) {
                return false;
            }
            let Some(daemon) = &vm.daemon else {
                continue;
            };
            if daemon.control().workers().await.len() < self.vms.len() {
                return false;
            }
        }
        true
    }
}

/// A runtime with one thread. Dropping it cancels all its tasks.
#[derive(Debug)]
struct VmRuntime(Option<Runtime>);

impl VmRuntime {
    fn new(index: usize) -> Result<VmRuntime, CmdError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(format!("vm-{index}"))
            .enable_all()
            .build()?;
        Ok(VmRuntime(Some(runtime)))
    }

    fn handle(&self) -> &Handle {
        match &self.0 {
            Some(runtime) => runtime.handle(),
            None => unreachable!("the runtime is only taken on drop"),
        }
    }
}

impl Drop for VmRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl TrialVm {
    /// Spawns a task on the VM's own thread.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.runtime.handle().spawn(task);
    }

    /// Pauses the daemon and the backend server.
    pub fn pause(&self, duration_ms: u64) {
        self.runtime.handle().spawn(async move {
            // Deliberately blocks the VM's only thread.
            std::thread::sleep(Duration::from_millis(duration_ms));
        });
    }

    /// Makes the backend server announce that it is leaving, and shuts down the daemon gracefully.
    /// The receiver gets the result once the drain has ended.
    pub fn drain(&mut self) -> oneshot::Receiver<DrainResult> {
        let leaving = &self.backend.faults.leaving;
        leaving.store(true, Ordering::Relaxed);
        let (result_sender, receiver) = oneshot::channel();
        if let Some(mut daemon) = self.daemon.take() {
            self.spawn(async move {
                // Keeps the channel open; no second stop request is sent.
                let (_stop_sender, stop_again) = mpsc::channel(1);
                let _ = result_sender.send(daemon.drain(stop_again).await);
            });
        }
        receiver
    }
}

/// Finds free addresses, [`LISTENERS`] for each VM. Each fleet has a random loopback network of its
/// own, and each VM an IP address in it. Otherwise another trial or an outgoing connection could take
/// a port between this check and the start of the daemon.
fn free_addresses(count: usize) -> Result<Vec<[SocketAddr; LISTENERS]>, CmdError> {
    let mut rng = rand::rng();
    let network: (u8, u8) = (rng.random_range(1..=254), rng.random_range(0..=255));
    let mut listeners = Vec::new();
    let mut addresses = Vec::new();
    for index in 0..count {
        let ip = Ipv4Addr::new(127, network.0, network.1, index as u8 + 1);
        let mut vm_addresses = [SocketAddr::from((ip, 0)); LISTENERS];
        for address in &mut vm_addresses {
            let listener = TcpListener::bind(*address)?;
            *address = listener.local_addr()?;
            listeners.push(listener);
        }
        addresses.push(vm_addresses);
    }
    Ok(addresses)
}
