//! Connects the node to the network: feeds it events and carries out the actions that it returns.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use super::backend::{BackendClient, BackendError};
use super::error::NetError;
use super::hop::HopClient;
use crate::decide::sharded::Sharded;
use crate::decide::{
    Action, CallId, Event, ExchangeId, LocalRun, Node, PeerReply, PeerRequest, SendFailure,
};
use crate::logs;
use crate::model::{CallKey, Clock, Outcome, ServiceName, SheetVersion};

/// Result of a call, for the task that waits for it.
#[derive(Debug)]
pub struct CallResult {
    /// Answer, refusal or unknown outcome.
    pub outcome: Outcome,
    /// Idempotency key; absent for a request without one.
    pub key: Option<CallKey>,
}

/// Information that the node requests from the control loop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequest {
    /// A sheet of this version or a newer one.
    Sheet(SheetVersion),
    /// Workers of a service.
    Workers(ServiceName),
}

/// A node with the clients that carry out its actions and the tasks that wait for its results.
#[derive(Debug)]
pub struct NodeDriver {
    /// Decides about calls.
    pub node: Node,
    clock: Clock,
    hop: HopClient,
    backend: BackendClient,
    caller_waiters: Sharded<CallId, oneshot::Sender<CallResult>>,
    peer_waiters: Sharded<CallId, oneshot::Sender<PeerReply>>,
    peer_exchanges: Sharded<ExchangeId, AbortHandle>,
    control_requests: mpsc::UnboundedSender<ControlRequest>,
}

impl NodeDriver {
    /// Creates the driver; requests for sheets and workers go to `control_requests`.
    pub fn new(
        node: Node,
        clock: Clock,
        backend: BackendClient,
        control_requests: mpsc::UnboundedSender<ControlRequest>,
    ) -> Arc<NodeDriver> {
        let hop = HopClient::new(clock.clone(), node.silence_ms());
        Arc::new(NodeDriver {
            node,
            clock,
            hop,
            backend,
            caller_waiters: Sharded::default(),
            peer_waiters: Sharded::default(),
            peer_exchanges: Sharded::default(),
            control_requests,
        })
    }

    /// Clock that the node is driven by.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Passes an event to the node and carries out the resulting actions.
    pub fn feed(self: &Arc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.node.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    /// Feeds an event for a new call and waits for its outcome; `None` if the daemon
    /// stops first. Dropping the future abandons the call.
    pub async fn wait_for_outcome(
        self: &Arc<Self>,
        event: impl FnOnce(CallId) -> Event,
    ) -> Option<CallResult> {
        let call = self.node.next_call();
        let (sender, receiver) = oneshot::channel();
        self.caller_waiters.insert(call, sender);
        let mut guard = AbandonGuard::new(self, call);
        self.feed(event(call));
        let result = receiver.await.ok();
        guard.disarm();
        result
    }

    /// Feeds an event for a message from another daemon and waits for the reply; `None` if the
    /// daemon stops first. Dropping the future abandons the call.
    pub async fn wait_for_reply(
        self: &Arc<Self>,
        event: impl FnOnce(CallId) -> Event,
    ) -> Option<PeerReply> {
        let call = self.node.next_call();
        let (sender, receiver) = oneshot::channel();
        self.peer_waiters.insert(call, sender);
        let mut guard = AbandonGuard::new(self, call);
        self.feed(event(call));
        let reply = receiver.await.ok();
        guard.disarm();
        reply
    }

    fn carry_out(self: &Arc<Self>, action: Action) {
        match action {
            Action::Answer { call, outcome, key } => {
                if let Some(sender) = self.caller_waiters.remove(&call) {
                    let _ = sender.send(CallResult { outcome, key });
                }
            }
            Action::ReplyPeer { call, reply } => {
                if let Some(sender) = self.peer_waiters.remove(&call) {
                    let _ = sender.send(reply);
                }
            }
            Action::SendPeer {
                exchange,
                message,
                fresh_connection,
                timeout_ms,
            } => self.send_peer(exchange, message, fresh_connection, timeout_ms),
            Action::CancelPeer { exchange } => {
                if let Some(handle) = self.peer_exchanges.remove(&exchange) {
                    handle.abort();
                }
            }
            Action::RunLocal(run) => self.run_local(run),
            Action::CancelLocal { call } => self.cancel_local(call),
            Action::FetchSheet { version } => {
                let _ = self.control_requests.send(ControlRequest::Sheet(version));
            }
            Action::DiscoverWorkers { service } => {
                let _ = self.control_requests.send(ControlRequest::Workers(service));
            }
            Action::Note(note) => logs::decision(&note),
        }
    }

    fn send_peer(
        self: &Arc<Self>,
        exchange: ExchangeId,
        message: PeerRequest,
        fresh_connection: bool,
        timeout_ms: u64,
    ) {
        let driver = Arc::clone(self);
        let mut shard = self.peer_exchanges.lock(&exchange);
        let task = tokio::spawn(async move {
            let result = driver.hop.send(message, fresh_connection, timeout_ms).await;
            driver.peer_exchanges.remove(&exchange);
            let event = match result {
                Ok(reply) => Event::PeerReplied { exchange, reply },
                Err(error) => Event::PeerFailed {
                    exchange,
                    failure: send_failure(&error),
                },
            };
            driver.feed(event);
        });
        shard.insert(exchange, task.abort_handle());
    }

    fn run_local(self: &Arc<Self>, run: LocalRun) {
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            let call = run.call;
            let event = match driver.backend.run(run).await {
                Ok(answer) => Event::BackendReplied { call, answer },
                Err(BackendError::Refused { retry_after_ms }) => Event::BackendRefused {
                    call,
                    retry_after_ms,
                },
                Err(BackendError::Net(error)) => Event::BackendFailed {
                    call,
                    failure: send_failure(&error),
                },
            };
            driver.feed(event);
        });
    }

    fn cancel_local(self: &Arc<Self>, call: CallId) {
        let driver = Arc::clone(self);
        tokio::spawn(async move { driver.backend.cancel(call).await });
    }
}

fn send_failure(error: &NetError) -> SendFailure {
    match error {
        NetError::Connect { .. } | NetError::Listen { .. } | NetError::Malformed(_) => {
            SendFailure::NoByteSent
        }
        NetError::Broken { .. } | NetError::AnswerTooLarge { .. } => SendFailure::Broken,
        NetError::Silent { .. } => SendFailure::Silent,
    }
}

/// Abandons the call if the future that waits for it is dropped.
struct AbandonGuard<'a> {
    driver: &'a Arc<NodeDriver>,
    call: Option<CallId>,
}

impl<'a> AbandonGuard<'a> {
    fn new(driver: &'a Arc<NodeDriver>, call: CallId) -> Self {
        AbandonGuard {
            driver,
            call: Some(call),
        }
    }

    fn disarm(&mut self) {
        self.call = None;
    }
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        let Some(call) = self.call else {
            return;
        };
        self.driver.caller_waiters.remove(&call);
        self.driver.peer_waiters.remove(&call);
        self.driver.feed(Event::CallAbandoned { call });
    }
}
