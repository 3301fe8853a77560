//! How the bodies of answers end: what is told so, for log lines and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::log_limiter::LineKind;
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
    Request(OpenBody),
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

/// Counts the body of an answer to a caller as open until it is dropped.
#[derive(Debug)]
pub struct OpenBody(Arc<Relay>);

impl OpenBody {
    pub(super) fn new(relay: &Arc<Relay>) -> OpenBody {
        relay.open_bodies.fetch_add(1, Ordering::Relaxed);
        OpenBody(Arc::clone(relay))
    }
}

impl Drop for OpenBody {
    fn drop(&mut self) {
        self.0.open_bodies.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An attempt of the entry whose answer has begun.
#[derive(Debug)]
pub struct OpenAttempt {
    pub(super) relay: Arc<Relay>,
    pub(super) address: SocketAddr,
    pub(super) request_id: String,
}

impl OpenAttempt {
    fn ended(self, end: AnswerEnd) {
        if end == AnswerEnd::Broken && self.relay.may_log(LineKind::Failed) {
            let (request_id, address) = (self.request_id.as_str(), self.address);
            spdlog::warn!("an answer broke off before it was whole", kv: { request_id, address: });
        }
    }
}

/// A run whose answer has begun.
#[derive(Debug)]
pub struct OpenRun {
    pub(super) relay: Arc<Relay>,
    pub(super) request_id: String,
}

impl OpenRun {
    fn ended(self, end: AnswerEnd) {
        self.relay.metrics.answer_ended(end);
        if end == AnswerEnd::Broken && self.relay.may_log(LineKind::Failed) {
            let request_id = self.request_id.as_str();
            spdlog::warn!("the backend server broke off an answer", kv: { request_id });
        }
    }
}
