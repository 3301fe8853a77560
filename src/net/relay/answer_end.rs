//! What lasts until the last byte of an answer rather than until its head: the slot of the backend server,
//! the count of requests in flight to a worker, and the suspicion that a request crashes its backend
//! server. The count of open requests lasts until that byte has been sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::sync::oneshot;

use super::crash_probe::ProbeResult;
use super::entry::Call;
use super::executor_log::log_crash;
use super::log_limiter::LineKind;
use super::slot::Slot;
use super::state::Relay;
use crate::decide::relay::{MemberState, RequestDigest};
use crate::model::TimeMs;

/// How the body of an answer has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AnswerEnd {
    /// All of it has arrived.
    Complete,
    /// Its connection has failed.
    Broken,
    /// It has not ended by the deadline of its request.
    Overdue,
    /// Nobody waits for it any more.
    Dropped,
}

impl AnswerEnd {
    /// Whether the caller waits for more than it has got.
    fn is_failure(self) -> bool {
        matches!(self, AnswerEnd::Broken | AnswerEnd::Overdue)
    }
}

/// Is told once how the body of an answer has ended, and lasts until then.
#[derive(Debug)]
pub enum EndWatcher {
    /// An attempt of the entry at one worker.
    Attempt(OpenAttempt),
    /// A run on the backend server beside this daemon.
    Run(Box<OpenRun>),
}

impl EndWatcher {
    pub(super) fn ended(self, end: AnswerEnd) {
        match self {
            EndWatcher::Attempt(attempt) => attempt.ended(end),
            EndWatcher::Run(run) => run.ended(end),
        }
    }

    /// Whether the end of the body may be that of the backend server instead.
    pub(super) fn doubts_end(&self) -> bool {
        match self {
            EndWatcher::Attempt(_) => false,
            EndWatcher::Run(run) => run.ends_with_connection,
        }
    }

    /// Finds out how a body has ended whose connection has, in a task.
    pub(super) fn check_end(self) -> oneshot::Receiver<AnswerEnd> {
        let (sender, receiver) = oneshot::channel();
        tokio::spawn(async move {
            let end = match self {
                EndWatcher::Attempt(attempt) => {
                    attempt.ended(AnswerEnd::Complete);
                    AnswerEnd::Complete
                }
                EndWatcher::Run(run) => run.check_end().await,
            };
            // The caller may have left meanwhile.
            let _ = sender.send(end);
        });
        receiver
    }
}

/// Counts a request of a caller, or of another daemon for a run here, as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest(Arc<Relay>);

impl OpenRequest {
    pub(super) fn new(relay: &Arc<Relay>) -> OpenRequest {
        relay.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(Arc::clone(relay))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as in flight to a worker until it is dropped.
#[derive(Debug)]
pub struct OpenAttempt {
    relay: Arc<Relay>,
    address: SocketAddr,
    request_id: String,
    parent_id: Option<String>,
    digest: RequestDigest,
    /// Whether the body ends with the backend server's connection, so that a crash looks like its end.
    pub(super) ends_with_connection: bool,
}

impl OpenAttempt {
    pub(super) fn new(relay: &Arc<Relay>, address: SocketAddr, call: &Call<'_>) -> OpenAttempt {
        relay.tables().load_balancer.sent(address);
        OpenAttempt {
            relay: Arc::clone(relay),
            address,
            request_id: call.id.to_owned(),
            parent_id: call.parent_id.map(str::to_owned),
            digest: call.digest,
            ends_with_connection: false,
        }
    }

    fn ended(self, end: AnswerEnd) {
        if end == AnswerEnd::Complete && !self.ends_with_connection {
            self.relay.record_ended_well(self.digest);
        }
        if !end.is_failure() {
            return;
        }
        let now = self.relay.clock.now();
        let mut tables = self.relay.tables();
        tables
            .load_balancer
            .record_outcome(now, self.address, false);
        drop(tables);
        if let Some(parent_id) = &self.parent_id {
            self.relay.record_failed_call(parent_id);
        }
        if self.relay.may_log(LineKind::Failed) {
            let (request_id, address) = (self.request_id.as_str(), self.address);
            let end = <&str>::from(end);
            spdlog::warn!("an answer broke off before it was whole", kv: {
                request_id, address:, end
            });
        }
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.relay.tables().load_balancer.ended(self.address);
    }
}

/// A run whose answer has begun. Its slot is occupied until the backend server has sent the last byte.
#[derive(Debug)]
pub struct OpenRun {
    pub(super) slot: Slot,
    /// What the run is remembered by if its backend server ends meanwhile.
    pub(super) suspect: RunSuspect,
    /// Whether the body ends with its connection, so that a crash looks like its end.
    pub(super) ends_with_connection: bool,
}

impl OpenRun {
    fn ended(self, end: AnswerEnd) {
        self.log_end(end);
        let relay = &self.slot.relay;
        match end {
            AnswerEnd::Complete => relay.record_run_ended_well(self.suspect.digest),
            AnswerEnd::Broken => {
                tokio::spawn(async move { self.suspect.record_if_crashed(&self.slot).await });
            }
            AnswerEnd::Overdue | AnswerEnd::Dropped => {
                self.suspect.abandoned(relay, self.slot.started);
            }
        }
    }

    /// Finds out how a body has ended whose connection has: it is incomplete if the backend server has ended
    /// too, unless that is leaving and may have ended after it.
    async fn check_end(self) -> AnswerEnd {
        let probed = self.suspect.record_if_crashed(&self.slot).await;
        let relay = &self.slot.relay;
        if !probed.has_ended() {
            relay.record_run_ended_well(self.suspect.digest);
        }
        let mut tables = relay.tables();
        let is_leaving = tables
            .worker_of(&self.suspect.instance)
            .is_some_and(|worker| worker.state != MemberState::Ready);
        drop(tables);
        let end = if probed == ProbeResult::Refused && !is_leaving {
            AnswerEnd::Broken
        } else {
            AnswerEnd::Complete
        };
        self.log_end(end);
        end
    }

    fn log_end(&self, end: AnswerEnd) {
        let relay = &self.slot.relay;
        relay.metrics.answer_ended(end);
        if end.is_failure() && relay.may_log(LineKind::Failed) {
            let (request_id, end) = (self.slot.request_id.as_str(), <&str>::from(end));
            spdlog::warn!("the backend server did not end an answer", kv: { request_id, end });
        }
    }
}

/// What a run is remembered by if its backend server ends meanwhile.
#[derive(Debug)]
pub struct RunSuspect {
    pub(super) digest: RequestDigest,
    /// Instance of the backend server.
    pub(super) instance: String,
    /// Path of the request.
    pub(super) path: String,
}

impl RunSuspect {
    /// Suspects the request of a run that broke off, if its backend server has ended.
    pub(super) async fn record_if_crashed(&self, slot: &Slot) -> ProbeResult {
        let relay = &slot.relay;
        let address = relay.settings.load().backend_address;
        let probed = relay.crash_probe.probe(&relay.clock, address).await;
        if probed.has_ended() {
            let (instance, digest) = (self.instance.as_str(), self.digest);
            log_crash(relay, &slot.request_id, instance, digest, &self.path);
            relay.record_crash(instance, digest, slot.started);
        }
        probed
    }

    /// Suspects the requests of abandoned runs, if their backend server has ended.
    pub(super) async fn record_abandoned_if_crashed(&self, slot: &Slot) {
        let relay = &slot.relay;
        let address = relay.settings.load().backend_address;
        if !relay.has_abandoned(&self.instance) {
            return;
        }
        let probed = relay.crash_probe.probe(&relay.clock, address).await;
        if probed.has_ended() {
            relay.record_unreachable(&self.instance);
        }
    }

    /// Remembers the request of a run that nobody waits for any more: it may still crash its backend
    /// server.
    fn abandoned(&self, relay: &Relay, started: TimeMs) {
        relay.record_abandoned(&self.instance, self.digest, started);
    }
}

/// Remembers a run as abandoned if it is dropped before the run has ended.
pub(super) struct AbandonGuard<'a> {
    relay: &'a Relay,
    suspect: &'a RunSuspect,
    started: TimeMs,
    has_ended: bool,
}

impl<'a> AbandonGuard<'a> {
    pub(super) fn new(
        relay: &'a Relay,
        suspect: &'a RunSuspect,
        started: TimeMs,
    ) -> AbandonGuard<'a> {
        AbandonGuard {
            relay,
            suspect,
            started,
            has_ended: false,
        }
    }

    pub(super) fn run_ended(mut self) {
        self.has_ended = true;
    }
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.suspect.abandoned(self.relay, self.started);
        }
    }
}
