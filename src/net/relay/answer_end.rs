//! What lasts until the last byte of an answer rather than until its head: the count of open requests,
//! the slot of the backend server and the count of requests in flight to a worker.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::log_limiter::LineKind;
use super::slot::Slot;
use super::state::Relay;

/// How the body of an answer has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AnswerEnd {
    /// All of it has arrived.
    Complete,
    /// Its connection has failed.
    Broken,
    /// Nobody waits for it any more.
    Dropped,
}

/// Is told once how the body of an answer has ended.
#[derive(Debug)]
pub enum EndWatcher {
    /// A request of a caller at its entry.
    Request(OpenRequest),
    /// An attempt of the entry at one worker.
    Attempt(OpenAttempt),
    /// A run on the backend server beside this daemon.
    Run(OpenRun),
}

impl EndWatcher {
    pub(super) fn ended(self, end: AnswerEnd) {
        match self {
            EndWatcher::Request(_) => {}
            EndWatcher::Attempt(attempt) => attempt.ended(end),
            EndWatcher::Run(run) => run.ended(end),
        }
    }
}

/// Counts a request of a caller as open until it is dropped.
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
}

impl OpenAttempt {
    pub(super) fn new(relay: &Arc<Relay>, address: SocketAddr, request_id: &str) -> OpenAttempt {
        relay.tables().load_balancer.sent(address);
        OpenAttempt {
            relay: Arc::clone(relay),
            address,
            request_id: request_id.to_owned(),
        }
    }

    fn ended(self, end: AnswerEnd) {
        if end == AnswerEnd::Broken && self.relay.may_log(LineKind::Failed) {
            let (request_id, address) = (self.request_id.as_str(), self.address);
            spdlog::warn!("an answer broke off before it was whole", kv: { request_id, address: });
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
}

impl OpenRun {
    fn ended(self, end: AnswerEnd) {
        let relay = &self.slot.relay;
        relay.metrics.answer_ended(end);
        if end == AnswerEnd::Broken && relay.may_log(LineKind::Failed) {
            let request_id = self.slot.request_id.as_str();
            spdlog::warn!("the backend server broke off an answer", kv: { request_id });
        }
    }
}
