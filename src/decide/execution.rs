//! A call that waits for, or runs on, the backend server beside this daemon.

use bytes::Bytes;

use super::message::{CallId, LocalRun, Priority};
#[cfg(test)]
use super::mutation::{self, Mutation};
use super::node::ReplyTo;
use crate::model::{CallContext, CallKey, RequestName, ServiceName, TimeMs};

/// A call at its executor.
#[derive(Debug)]
pub struct Execution {
    /// The service.
    pub service: ServiceName,
    /// The kind of request.
    pub request: RequestName,
    /// What travels with the root request.
    pub context: CallContext,
    /// Whether this layer may run twice.
    pub idempotent: bool,
    /// The key, if there is one.
    pub key: Option<CallKey>,
    /// Who waits, for a call without a key; else the record holds them.
    pub reply_to: Option<ReplyTo>,
    /// Body, given up when it is handed over.
    pub body: Bytes,
    /// When the root request must be finished.
    pub deadline: TimeMs,
    /// When it was handed over.
    pub started: Option<TimeMs>,
    /// What is left of the allowance that was granted.
    pub allowance: u32,
    /// The allowance that was granted, which what is left never exceeds.
    pub granted: u32,
    /// The strictest level heard from calls beneath this one.
    pub level_beneath: Priority,
    /// Time that backend servers beneath this one spent, in milliseconds.
    pub service_beneath_ms: u64,
    /// Calls made beneath this one that have not ended.
    pub children: ChildClock,
}

/// How long a run has waited for calls made beneath it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChildClock {
    open: u32,
    since: TimeMs,
    waited_ms: u64,
}

impl ChildClock {
    /// Takes in that a call beneath begins.
    pub fn begin(&mut self, now: TimeMs) {
        if self.open == 0 {
            self.since = now;
        }
        self.open += 1;
    }

    /// Takes in that a call beneath has ended.
    pub fn end(&mut self, now: TimeMs) {
        if self.open == 1 {
            self.waited_ms += now.since_ms(self.since);
        }
        self.open = self.open.saturating_sub(1);
    }

    /// Time with at least one call beneath open, in milliseconds.
    pub fn waited_ms(&self, now: TimeMs) -> u64 {
        let open_ms = if self.open > 0 {
            now.since_ms(self.since)
        } else {
            0
        };
        self.waited_ms + open_ms
    }
}

impl Execution {
    /// What is handed to the backend server.
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

    /// The context of a call made beneath this one. Half of the allowance, rounded
    /// up, goes along; what the reply hands back is credited again.
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
