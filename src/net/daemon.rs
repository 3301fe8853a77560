//! Start of a daemon: opens its listeners and spawns its tasks.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::admin::{Admin, AdminParts};
use super::backend::BackendClient;
use super::control::{ControlInputs, ControlLoop};
use super::error::NetError;
use super::lifecycle::Lifecycle;
use super::listener::{ListenerConfig, Stage};
use super::listener_counts::{DaemonListenerCounts, ListenerCounts};
use super::local::LocalServer;
use super::node_driver::{ControlRequest, NodeDriver};
use super::{callers, hop, http, listener, local, peer_control};
use crate::config::{ListenerBounds, Settings};
use crate::decide::home::HomeBounds;
use crate::decide::phase::{Phase, PhaseEvent};
use crate::decide::{Event, Mechanisms, Node, NodeSettings};
use crate::model::{Clock, Incarnation, Vm, WorkerId};
use crate::platform::log::LogClient;

/// Time between two ticks of the node, in milliseconds.
const TICK_MS: u64 = 5;
/// Time to wait for the log service or another daemon before serving by the built-in rules, in
/// milliseconds.
const JOIN_TIMEOUT_MS: u64 = 3_000;
/// Time between two checks for the end of the joining phase, in milliseconds.
const JOIN_POLL_MS: u64 = 20;
/// Capacity of the channel for announcements of the backend server.
const ANNOUNCEMENT_BUFFER: usize = 16;
/// Capacity of the channel for control messages of other daemons.
const PEER_MESSAGE_BUFFER: usize = 256;

/// A running daemon. Dropping it aborts its tasks.
#[derive(Debug)]
pub struct Daemon {
    settings: Settings,
    driver: Arc<NodeDriver>,
    control: Arc<ControlLoop>,
    lifecycle: Arc<Lifecycle>,
    local_server: Arc<LocalServer>,
    listener_counts: Arc<DaemonListenerCounts>,
    stage: watch::Sender<Stage>,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Opens the listeners and starts the tasks.
    pub async fn start(settings: &Settings, mechanisms: Mechanisms) -> Result<Daemon, NetError> {
        let started_ms = unix_ms();
        let node = Node::new(node_settings(settings, mechanisms));
        let backend = BackendClient::new(
            settings.backend_address,
            settings.backend_connections as usize,
            settings.bounds.backend,
        );
        let (request_sender, control_requests) = mpsc::unbounded_channel();
        let driver = NodeDriver::new(node, Clock::system(), backend, request_sender);
        let log = LogClient::new(settings.log_address, settings.log_timeout_ms)
            .with_bounds(settings.bounds.log);
        let control = ControlLoop::new(Arc::clone(&driver), log, started_ms);
        let (announcement_sender, announcements) = mpsc::channel(ANNOUNCEMENT_BUFFER);
        let mut daemon = Daemon {
            settings: settings.clone(),
            driver,
            control,
            lifecycle: Arc::default(),
            local_server: Arc::new(LocalServer::new(announcement_sender)),
            listener_counts: Arc::default(),
            stage: watch::Sender::new(Stage::Open),
            tasks: JoinSet::new(),
        };
        daemon
            .open_listeners(announcements, control_requests)
            .await?;
        daemon.start_ticks();
        daemon.lifecycle.handle(PhaseEvent::ListenersOpened);
        daemon.start_joining();
        Ok(daemon)
    }

    /// Settings that the daemon was started with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The node with its clients; gives tests and the trial access to its state.
    pub fn driver(&self) -> &Arc<NodeDriver> {
        &self.driver
    }

    /// Handles sheets, membership and the audit trail.
    pub fn control(&self) -> &Arc<ControlLoop> {
        &self.control
    }

    /// Lifecycle phase and pending stop requests.
    pub fn lifecycle(&self) -> &Arc<Lifecycle> {
        &self.lifecycle
    }

    /// Last announcement of the backend server.
    pub fn local_server(&self) -> &LocalServer {
        &self.local_server
    }

    /// Connection and refusal counts by listener.
    pub fn listener_counts(&self) -> &DaemonListenerCounts {
        &self.listener_counts
    }

    /// Requests of callers, the backend server and other daemons that have no response yet.
    pub fn pending_responses(&self) -> u64 {
        let counts = &self.listener_counts;
        let serving = [&counts.callers, &counts.local, &counts.hop];
        serving.iter().map(|listener| listener.answering()).sum()
    }

    /// Open connections from callers, the backend server and other daemons.
    pub fn connections_open(&self) -> u64 {
        let counts = &self.listener_counts;
        let serving = [&counts.callers, &counts.local, &counts.hop];
        serving.iter().map(|listener| listener.open()).sum()
    }

    /// Sets the shutdown stage of all listeners.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    async fn open_listeners(
        &mut self,
        announcements: mpsc::Receiver<super::local::BackendAnnouncement>,
        control_requests: mpsc::UnboundedReceiver<ControlRequest>,
    ) -> Result<(), NetError> {
        let settings = self.settings.clone();
        let bounds = settings.bounds;
        let callers_listener = http::listen(settings.callers_address).await?;
        let hop_listener = http::listen(settings.hop_address).await?;
        let local_listener = http::listen(settings.local_address).await?;
        let admin_listener = http::listen(settings.admin_address).await?;
        let (peer_message_sender, peer_messages) = mpsc::channel(PEER_MESSAGE_BUFFER);
        let control_listener = http::listen(settings.control_address).await?;
        let module = Arc::new(peer_control::module(peer_message_sender)?);
        let inputs = ControlInputs {
            announcements,
            peer_messages,
            control_requests,
        };
        self.tasks.spawn(Arc::clone(&self.control).run(inputs));

        let config = self.listener_config(bounds.callers, &self.listener_counts.callers);
        let driver = Arc::clone(&self.driver);
        let serving = listener::serve(callers_listener, config, move |request| {
            callers::handle(Arc::clone(&driver), request)
        });
        self.tasks.spawn(serving);

        let config = self.listener_config(bounds.hop, &self.listener_counts.hop);
        let driver = Arc::clone(&self.driver);
        let serving = listener::serve(hop_listener, config, move |request| {
            hop::handle(Arc::clone(&driver), request)
        });
        self.tasks.spawn(serving);

        let config = self.listener_config(bounds.local, &self.listener_counts.local);
        let driver = Arc::clone(&self.driver);
        let server = Arc::clone(&self.local_server);
        let serving = listener::serve(local_listener, config, move |request| {
            local::handle(Arc::clone(&driver), Arc::clone(&server), request)
        });
        self.tasks.spawn(serving);

        let config = self.listener_config(bounds.control, &self.listener_counts.control);
        let serving = listener::serve(control_listener, config, move |request| {
            peer_control::handle(Arc::clone(&module), request)
        });
        self.tasks.spawn(serving);

        let config = self.listener_config(bounds.admin, &self.listener_counts.admin);
        let admin = Arc::new(self.admin());
        let serving = listener::serve(admin_listener, config, move |request| {
            super::admin::handle(Arc::clone(&admin), request)
        });
        self.tasks.spawn(serving);
        Ok(())
    }

    fn admin(&self) -> Admin {
        Admin::new(
            &self.settings,
            AdminParts {
                driver: Arc::clone(&self.driver),
                control: Arc::clone(&self.control),
                lifecycle: Arc::clone(&self.lifecycle),
                local_server: Arc::clone(&self.local_server),
                listener_counts: Arc::clone(&self.listener_counts),
            },
        )
    }

    fn listener_config(
        &self,
        bounds: ListenerBounds,
        counts: &Arc<ListenerCounts>,
    ) -> ListenerConfig {
        ListenerConfig {
            bounds,
            counts: Arc::clone(counts),
            stage: self.stage.subscribe(),
        }
    }

    fn start_ticks(&mut self) {
        let driver = Arc::clone(&self.driver);
        self.tasks.spawn(async move {
            let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
            loop {
                ticks.tick().await;
                driver.feed(Event::Tick);
            }
        });
    }

    fn start_joining(&mut self) {
        let control = Arc::clone(&self.control);
        let lifecycle = Arc::clone(&self.lifecycle);
        self.tasks.spawn(async move {
            let mut polls = tokio::time::interval(Duration::from_millis(JOIN_POLL_MS));
            let deadline = tokio::time::Instant::now() + Duration::from_millis(JOIN_TIMEOUT_MS);
            while lifecycle.phase() == Phase::Joining {
                let now = polls.tick().await;
                if control.had_contact() {
                    lifecycle.handle(PhaseEvent::FirstContact);
                } else if now >= deadline {
                    spdlog::warn!(
                        "neither the log service nor another daemon is reachable; serving by the \
                         built-in rules until one is"
                    );
                    lifecycle.handle(PhaseEvent::JoinTimedOut);
                }
            }
        });
    }
}

fn node_settings(settings: &Settings, mechanisms: Mechanisms) -> NodeSettings {
    let seed: u64 = rand::rng().random();
    let vm = Vm {
        worker: WorkerId {
            address: settings.hop_address,
            incarnation: Incarnation(seed),
        },
        control_address: settings.control_address,
        place: settings.place.clone(),
    };
    NodeSettings {
        vm,
        service: None,
        home: HomeBounds {
            open_keys: settings.home_open_keys,
            tickets: settings.home_tickets,
        },
        executor_records: settings.executor_records,
        reply_grace_ms: settings.reply_grace_ms,
        silence_ms: settings.silence_ms,
        mechanisms,
        seed,
    }
}

/// Present time in milliseconds since the Unix epoch; 0 if the clock is set before it.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
