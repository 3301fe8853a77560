//! What lasts until the last byte of an answer rather than until its head: the slot of the backend server,
//! the count of requests in flight to a worker, and the suspicion that a request crashes its backend
//! server. The count of open requests lasts until that byte has been sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::entry::Call;
use super::executor_log::log_crash;
use super::log_limiter::LineKind;
use super::slot::Slot;
use super::state::Relay;
use crate::decide::relay::RequestDigest;
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
        let relay = &self.slot.relay;
        relay.metrics.answer_ended(end);
        if end.is_failure() && relay.may_log(LineKind::Failed) {
            let (request_id, end) = (self.slot.request_id.as_str(), <&str>::from(end));
            spdlog::warn!("the backend server did not end an answer", kv: { request_id, end });
        }
        match end {
            AnswerEnd::Complete if !self.ends_with_connection => {
                relay.record_run_ended_well(self.suspect.digest);
            }
            AnswerEnd::Complete | AnswerEnd::Broken => {
                tokio::spawn(self.probe(end));
            }
            AnswerEnd::Overdue | AnswerEnd::Dropped => {
                self.suspect.abandoned(relay, self.slot.started);
            }
        }
    }

    /// Finds out whether the backend server has ended during the run.
    async fn probe(self, end: AnswerEnd) {
        let has_crashed = self.suspect.record_if_crashed(&self.slot).await;
        if !has_crashed && end == AnswerEnd::Complete {
            let relay = &self.slot.relay;
            relay.record_run_ended_well(self.suspect.digest);
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
    /// Suspects the request of a run that broke off, if its backend server has ended; true if it has.
    pub(super) async fn record_if_crashed(&self, slot: &Slot) -> bool {
        let relay = &slot.relay;
        let address = relay.settings.load().backend_address;
        let has_ended = relay.crash_probe.has_ended(&relay.clock, address).await;
        if has_ended {
            let (instance, digest) = (self.instance.as_str(), self.digest);
            log_crash(relay, &slot.request_id, instance, digest, &self.path);
            relay.record_crash(instance, digest, slot.started);
        }
        has_ended
    }

    /// Suspects the requests of abandoned runs, if their backend server has ended.
    pub(super) async fn record_abandoned_if_crashed(&self, slot: &Slot) {
        let relay = &slot.relay;
        let address = relay.settings.load().backend_address;
        if relay.has_abandoned(&self.instance)
            && relay.crash_probe.has_ended(&relay.clock, address).await
        {
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
