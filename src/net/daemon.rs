//! One daemon: its listeners, its decisions and its tasks.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::RngExt;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::backend::BackendClient;
use super::control::{ControlInputs, ControlLoop};
use super::error::NetError;
use super::pump::{Pump, Wanted};
use super::{callers, hop, http, local, peer_control};
use crate::config::Settings;
use crate::decide::home::HomeBounds;
use crate::decide::{Event, Mechanisms, Node, NodeSettings};
use crate::model::{Clock, Incarnation, Vm, WorkerId};
use crate::platform::log::LogClient;

/// Time between two ticks of the decisions, in milliseconds.
const TICK_MS: u64 = 5;
/// Longest silence of a connection to another daemon, in milliseconds.
const SILENCE_MS: u64 = 1_000;
/// Announcements of the backend server that may wait to be taken in.
const ANNOUNCEMENT_BUFFER: usize = 16;
/// Control messages of other daemons that may wait to be taken in.
const ARRIVED_BUFFER: usize = 256;

/// A running daemon. Dropping it stops its tasks.
#[derive(Debug)]
pub struct Daemon {
    pump: Arc<Pump>,
    control: Arc<ControlLoop>,
    tasks: JoinSet<()>,
}

impl Daemon {
    /// Opens the listeners and starts the tasks.
    pub async fn start(settings: &Settings, mechanisms: Mechanisms) -> Result<Daemon, NetError> {
        let started_ms = unix_ms();
        let seed: u64 = rand::rng().random();
        let vm = Vm {
            worker: WorkerId {
                address: settings.hop_address,
                incarnation: Incarnation(seed),
            },
            control_address: settings.control_address,
            place: settings.place.clone(),
        };
        let node = Node::new(NodeSettings {
            vm,
            service: None,
            home: HomeBounds {
                open_keys: settings.home_open_keys,
                tickets: settings.home_tickets,
            },
            executor_records: settings.executor_records,
            reply_grace_ms: settings.reply_grace_ms,
            silence_ms: SILENCE_MS,
            mechanisms,
            seed,
        });
        let backend = BackendClient::new(
            settings.backend_address,
            settings.backend_connections as usize,
        );
        let (wanted_sender, wanted) = mpsc::unbounded_channel();
        let pump = Pump::new(node, Clock::system(), backend, wanted_sender);
        let log = LogClient::new(settings.log_address, settings.log_timeout_ms);
        let control = ControlLoop::new(Arc::clone(&pump), log, started_ms);
        let mut daemon = Daemon {
            pump,
            control,
            tasks: JoinSet::new(),
        };
        daemon.open_listeners(settings, wanted).await?;
        daemon.start_ticks();
        Ok(daemon)
    }

    /// The daemon's pump, by which tests and the trial look inside.
    pub fn pump(&self) -> &Arc<Pump> {
        &self.pump
    }

    /// The daemon's control loop.
    pub fn control(&self) -> &Arc<ControlLoop> {
        &self.control
    }

    async fn open_listeners(
        &mut self,
        settings: &Settings,
        wanted: mpsc::UnboundedReceiver<Wanted>,
    ) -> Result<(), NetError> {
        let callers_listener = http::listen(settings.callers_address).await?;
        let hop_listener = http::listen(settings.hop_address).await?;
        let local_listener = http::listen(settings.local_address).await?;
        let (sender, announcements) = mpsc::channel(ANNOUNCEMENT_BUFFER);
        let (arrived_sender, arrived) = mpsc::channel(ARRIVED_BUFFER);
        let peer_control = peer_control::serve(settings.control_address, arrived_sender).await?;
        self.tasks.spawn(peer_control.stopped());
        let inputs = ControlInputs {
            announcements,
            arrived,
            wanted,
        };
        let pump = Arc::clone(&self.pump);
        self.tasks
            .spawn(http::serve(callers_listener, move |request| {
                callers::handle(Arc::clone(&pump), request)
            }));
        let pump = Arc::clone(&self.pump);
        self.tasks.spawn(http::serve(hop_listener, move |request| {
            hop::handle(Arc::clone(&pump), request)
        }));
        let pump = Arc::clone(&self.pump);
        self.tasks
            .spawn(http::serve(local_listener, move |request| {
                local::handle(Arc::clone(&pump), sender.clone(), request)
            }));
        self.tasks.spawn(Arc::clone(&self.control).run(inputs));
        Ok(())
    }

    fn start_ticks(&mut self) {
        let pump = Arc::clone(&self.pump);
        self.tasks.spawn(async move {
            let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
            loop {
                ticks.tick().await;
                pump.feed(Event::Tick);
            }
        });
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
