//! Event loop around [`Control`]: feeds it announcements, peer messages, log reads and ticks, and
//! carries out its actions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::{Mutex, mpsc, oneshot};

use super::daemon::unix_ms;
use super::local::BackendAnnouncement;
use super::node_driver::{ControlRequest, NodeDriver};
use super::peer_control::{self, ReceivedMessage};
use crate::decide::control::audit::{AuditBatch, AuditEntry, AuditKind};
use crate::decide::control::publish::{PublishReport, PublishRequest, PublishStatus};
use crate::decide::control::record::{Accepted, LogRecord, SheetBase, Stream};
use crate::decide::control::sheet_control::SheetStatus;
use crate::decide::sharded::lock;
use crate::decide::{Control, ControlAction, ControlEvent, Event};
use crate::model::{Announcement, ServerState, Sheet, SheetHash, WorkerId};
use crate::platform::log::{LogClient, LogError};

const TICK_MS: u64 = 50;

/// Waiters for the result of a publication, by its id and the hash of its sheet.
type PublishWaiters = HashMap<(String, SheetHash), Vec<oneshot::Sender<PublishStatus>>>;

/// Channels from the daemon's other tasks to the control loop.
#[derive(Debug)]
pub struct ControlInputs {
    /// Announcements of the backend server.
    pub announcements: mpsc::Receiver<BackendAnnouncement>,
    /// Control messages received from other daemons.
    pub peer_messages: mpsc::Receiver<ReceivedMessage>,
    /// Sheets and workers that the node asks for.
    pub control_requests: mpsc::UnboundedReceiver<ControlRequest>,
}

/// The control state of one daemon with the clients that carry out its actions.
#[derive(Debug)]
pub struct ControlLoop {
    control: Mutex<Control>,
    driver: Arc<NodeDriver>,
    log: LogClient,
    started_ms: u64,
    had_contact: AtomicBool,
    log_failing: AtomicBool,
    publish_waiters: std::sync::Mutex<PublishWaiters>,
}

impl ControlLoop {
    /// Creates the loop for a daemon that started at `started_ms`, in milliseconds since the Unix
    /// epoch.
    pub fn new(driver: Arc<NodeDriver>, log: LogClient, started_ms: u64) -> Arc<ControlLoop> {
        let vm = driver.node.vm().clone();
        let seed = vm.worker.incarnation.0;
        let mut control = Control::new(vm, seed);
        control.set_unix_origin(unix_ms().saturating_sub(driver.clock().now().0));
        Arc::new(ControlLoop {
            control: Mutex::new(control),
            driver,
            log,
            started_ms,
            had_contact: AtomicBool::new(false),
            log_failing: AtomicBool::new(false),
            publish_waiters: std::sync::Mutex::default(),
        })
    }

    /// Whether anything was received from the log service or another daemon since the start.
    pub fn had_contact(&self) -> bool {
        self.had_contact.load(Ordering::Relaxed)
    }

    /// The sheet in force at this daemon.
    pub async fn sheet(&self) -> Arc<Sheet> {
        Arc::clone(self.control.lock().await.sheets().sheet())
    }

    /// Address and incarnation of this daemon.
    pub fn worker(&self) -> WorkerId {
        self.driver.node.vm().worker
    }

    /// Version, author and age of the sheet in force, for status and metrics.
    pub async fn sheet_status(&self) -> SheetStatus {
        let now = self.driver.clock().now();
        self.control.lock().await.sheets().status(now)
    }

    /// Version and chain hash of the latest sheet that this daemon has read.
    pub async fn sheet_base(&self) -> SheetBase {
        self.control.lock().await.sheets().fold().base()
    }

    /// The most recently accepted publications, oldest first.
    pub async fn sheet_history(&self) -> Vec<Accepted> {
        let control = self.control.lock().await;
        control.sheets().fold().recent().cloned().collect()
    }

    /// Publishes a sheet and waits for the result. Idempotent by the publication's id.
    pub async fn publish(self: &Arc<Self>, request: PublishRequest) -> PublishStatus {
        let (sender, receiver) = oneshot::channel();
        let key = (request.id.clone(), request.content.hash());
        lock(&self.publish_waiters)
            .entry(key)
            .or_default()
            .push(sender);
        self.feed(ControlEvent::Publish(request)).await;
        receiver.await.unwrap_or_else(|_| PublishStatus::InDoubt {
            reason: "the daemon is stopping; publish again with the same id".to_owned(),
        })
    }

    /// Queues an entry for the audit trail.
    pub async fn audit(self: &Arc<Self>, entry: AuditEntry) {
        self.feed(ControlEvent::Audited(entry)).await;
    }

    /// Numbers of this daemon's audit entries that were dropped and that are not on the log yet.
    pub async fn audit_backlog(&self) -> (u64, usize) {
        let control = self.control.lock().await;
        (control.audit().dropped(), control.audit().pending())
    }

    /// Reads the whole audit trail that the log service retains.
    pub async fn read_audit(&self) -> Result<Vec<AuditBatch>, LogError> {
        let mut batches = Vec::new();
        let mut from_offset = 0;
        loop {
            let page = self.log.read(Stream::Audit, from_offset).await?;
            for entry in page.entries {
                if let LogRecord::Audit(batch) = entry.record {
                    batches.push(batch);
                }
            }
            if page.next_offset <= from_offset {
                return Ok(batches);
            }
            from_offset = page.next_offset;
        }
    }

    /// Latest announcement of each worker that this daemon knows.
    pub async fn workers(&self) -> Vec<Announcement> {
        self.control.lock().await.members().workers()
    }

    /// Runs until the task is aborted.
    pub async fn run(self: Arc<Self>, mut inputs: ControlInputs) {
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
        let mut sequence = 0;
        let mut last_announcement = None;
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => ControlEvent::Tick,
                Some(ReceivedMessage { from, message }) = inputs.peer_messages.recv() => {
                    self.had_contact.store(true, Ordering::Relaxed);
                    ControlEvent::MessageReceived { from, message }
                }
                Some(request) = inputs.control_requests.recv() => match request {
                    ControlRequest::Sheet(version) => ControlEvent::NewerVersionSeen { version },
                    ControlRequest::Workers(service) => ControlEvent::ServiceCalled { service },
                },
                Some(announcement) = inputs.announcements.recv() => {
                    if last_announcement.as_ref() == Some(&announcement) {
                        continue;
                    }
                    sequence += 1;
                    let event = self.apply_announcement(&announcement, sequence);
                    last_announcement = Some(announcement);
                    event
                }
            };
            self.feed(event).await;
        }
    }

    async fn feed(self: &Arc<Self>, event: ControlEvent) {
        let now = self.driver.clock().now();
        let mut actions = Vec::new();
        self.control.lock().await.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(self: &Arc<Self>, action: ControlAction) {
        match action {
            ControlAction::SheetLearned(sheet) => {
                let version = sheet.version.0;
                let author = sheet.author.as_str();
                spdlog::info!("a newer sheet is in force", kv: { version, author });
                self.driver.feed(Event::SheetLearned(sheet));
            }
            ControlAction::WorkersLearned(workers) => {
                self.driver.feed(Event::WorkersLearned(workers));
            }
            ControlAction::PublishEnded(report) => self.publish_ended(report),
            ControlAction::ReadLog {
                stream,
                from_offset,
            } => {
                let this = Arc::clone(self);
                tokio::spawn(async move {
                    let read = this.log.read(stream, from_offset).await;
                    this.report_log_health(read.as_ref().err());
                    let event = match read {
                        Ok(batch) => {
                            this.had_contact.store(true, Ordering::Relaxed);
                            ControlEvent::LogRead { stream, batch }
                        }
                        Err(_) => ControlEvent::LogFailed { stream },
                    };
                    this.feed(event).await;
                });
            }
            ControlAction::ReadLogTail { stream, records } => {
                let this = Arc::clone(self);
                tokio::spawn(async move {
                    let event = match this.log.read_tail(stream, records).await {
                        Ok(batch) => ControlEvent::LogRead { stream, batch },
                        Err(_) => ControlEvent::LogFailed { stream },
                    };
                    this.feed(event).await;
                });
            }
            ControlAction::WorkerGone { worker, voters } => {
                let entry = self.worker_gone_entry(worker, &voters);
                let worker = worker.to_string();
                let voters = format!("{voters:?}");
                spdlog::warn!("a worker is gone", kv: { worker, voters });
                let this = Arc::clone(self);
                tokio::spawn(async move { this.audit(entry).await });
            }
            ControlAction::Append { stream, record } => {
                let this = Arc::clone(self);
                tokio::spawn(async move {
                    let event = this.append(stream, record).await;
                    this.feed(event).await;
                });
            }
            ControlAction::Send { to, message } => {
                let this = Arc::clone(self);
                tokio::spawn(async move {
                    let from = this.driver.node.vm().control_address;
                    if peer_control::send(from, to, &message).await.is_err() {
                        this.feed(ControlEvent::MessageUnanswered { to }).await;
                    }
                });
            }
        }
    }

    fn worker_gone_entry(&self, worker: WorkerId, voters: &[SocketAddr]) -> AuditEntry {
        let voters: Vec<String> = voters.iter().map(SocketAddr::to_string).collect();
        let own_address = self.driver.node.vm().worker.address;
        AuditEntry {
            at_ms: unix_ms(),
            kind: AuditKind::Membership,
            author: own_address.to_string().as_str().into(),
            services: Vec::new(),
            from_version: None,
            to_version: None,
            detail: format!("worker {worker} is gone, found by {}", voters.join(", ")),
        }
    }

    fn publish_ended(&self, report: PublishReport) {
        let waiters = lock(&self.publish_waiters).remove(&(report.id, report.content));
        for sender in waiters.into_iter().flatten() {
            let _ = sender.send(report.status.clone());
        }
    }

    async fn append(&self, stream: Stream, record: LogRecord) -> ControlEvent {
        let appended = self.log.append(stream, &record).await;
        self.report_log_health(appended.as_ref().err());
        match appended {
            Ok(offset) => ControlEvent::Appended { stream, offset },
            Err(_) => ControlEvent::AppendFailed { stream, record },
        }
    }

    /// Logs when the log service begins to fail and when it recovers.
    fn report_log_health(&self, error: Option<&LogError>) {
        let failing = error.is_some();
        if self.log_failing.swap(failing, Ordering::Relaxed) == failing {
            return;
        }
        match error {
            Some(error) => {
                let error = error.to_string();
                spdlog::warn!("the log service fails", kv: { error });
            }
            None => spdlog::info!("the log service works again"),
        }
    }

    fn apply_announcement(
        &self,
        announcement: &BackendAnnouncement,
        sequence: u64,
    ) -> ControlEvent {
        self.driver.feed(Event::LocalServer {
            slots: announcement.slots,
            leaving: announcement.state != ServerState::Serving,
        });
        ControlEvent::LocalAnnounced(Announcement {
            vm: self.driver.node.vm().clone(),
            service: announcement.service.clone(),
            slots: announcement.slots,
            connections: announcement.connections,
            state: announcement.state,
            started_ms: self.started_ms,
            sequence,
        })
    }
}
