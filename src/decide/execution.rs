//! State of a call that is queued for, or running on, the local backend server.

use bytes::Bytes;

use super::message::{CallId, LocalRun, Priority};
#[cfg(test)]
use super::mutation::{self, Mutation};
use super::node::ReplyTo;
use crate::model::{CallContext, CallKey, RequestName, ServiceName, TimeMs};

/// A call at its executor, from its admission to the end of its run.
#[derive(Debug)]
pub struct Execution {
    /// The called service.
    pub service: ServiceName,
    /// The kind of request.
    pub request: RequestName,
    /// Context of the root request, as received with this call.
    pub context: CallContext,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The idempotency key; always present unless the call is idempotent.
    pub key: Option<CallKey>,
    /// The waiter for the outcome of a call without a key; the waiters of a keyed call are in its
    /// record.
    pub reply_to: Option<ReplyTo>,
    /// The request body; empty after the hand-over.
    pub body: Bytes,
    /// Deadline of the root request.
    pub deadline: TimeMs,
    /// Time of the hand-over to the backend server; `None` while the call is queued.
    pub started: Option<TimeMs>,
    /// Retries left for the child calls of this call.
    pub allowance: u32,
    /// Retries granted by the request; `allowance` never exceeds this.
    pub granted: u32,
    /// The strictest admission level reported by child calls.
    pub child_level: Priority,
    /// Time that backend servers spent on child calls, in milliseconds.
    pub child_service_ms: u64,
    /// Tracks the child calls that have not ended.
    pub children: ChildWaitTimer,
}

/// Measures how long a run has waited for its child calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChildWaitTimer {
    open_calls: u32,
    open_since: TimeMs,
    waited_ms: u64,
}

impl ChildWaitTimer {
    /// Records the start of a child call.
    pub fn begin(&mut self, now: TimeMs) {
        if self.open_calls == 0 {
            self.open_since = now;
        }
        self.open_calls += 1;
    }

    /// Records the end of a child call.
    pub fn end(&mut self, now: TimeMs) {
        if self.open_calls == 1 {
            self.waited_ms += now.since_ms(self.open_since);
        }
        self.open_calls = self.open_calls.saturating_sub(1);
    }

    /// Total time with at least one child call open, in milliseconds.
    pub fn waited_ms(&self, now: TimeMs) -> u64 {
        let open_ms = if self.open_calls > 0 {
            now.since_ms(self.open_since)
        } else {
            0
        };
        self.waited_ms + open_ms
    }
}

impl Execution {
    /// Creates the request for the backend server and takes the body out of the execution.
    pub fn local_run(&mut self, now: TimeMs, call: CallId) -> LocalRun {
        LocalRun {
            call,
            service: self.service.clone(),
            request: self.request.clone(),
            caller: self.context.caller.clone(),
            key: self.key.clone(),
            time_left_ms: self.deadline.since_ms(now),
            body: std::mem::take(&mut self.body),
        }
    }

    /// Creates the context of a child call and passes half of the allowance, rounded up, on to it.
    /// The part that the reply returns is credited again.
    pub fn child_context(&mut self, now: TimeMs) -> CallContext {
        let granted = self.allowance.div_ceil(2);
        self.allowance -= granted;
        #[cfg(test)]
        if mutation::is_on(Mutation::CopyAllowance) {
            self.allowance += granted;
        }
        let elapsed_ms = self.started.map_or(0, |started| now.since_ms(started));
        CallContext {
            time_left_ms: self.deadline.since_ms(now),
            allowance: granted,
            depth: self.context.depth.saturating_add(1),
            sunk_ms: self.context.sunk_ms + elapsed_ms,
            ..self.context.clone()
        }
    }
}
