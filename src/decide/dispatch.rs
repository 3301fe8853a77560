//! A call on its way from this daemon to a backend server: attempts, retries, resolution.

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::evidence::NotRunEvidence;
use super::message::{AttemptId, CallId, ExchangeId, ExecuteRequest, PeerReply, Priority};
#[cfg(test)]
use super::mutation::{self, Mutation};
use super::node::ReplyTo;
use crate::model::{
    CallContext, CallKey, NotRunReason, Outcome, RequestName, ServiceName, TimeMs, WorkerId,
};

/// A call that this daemon moves, as its entry or as its home.
#[derive(Debug)]
pub struct Dispatch {
    /// The service.
    pub service: ServiceName,
    /// The kind of request.
    pub request: RequestName,
    /// What travels with the root request.
    pub context: CallContext,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The key, if there is one.
    pub key: Option<CallKey>,
    /// Who waits; `None` where the home's table holds the waiters.
    pub reply_to: Option<ReplyTo>,
    /// The run beneath which the local backend server made the call.
    pub parent: Option<CallId>,
    /// Body, kept for further attempts.
    pub body: Bytes,
    /// When the root request must be finished.
    pub deadline: TimeMs,
    /// Where it is.
    pub state: DispatchState,
    /// Extra attempts that may still be made here or beneath.
    pub allowance: u32,
    /// Extra attempts that were granted in all, which the allowance never exceeds.
    pub granted: u32,
    /// An attempt of an idempotent call may have run.
    pub in_doubt: bool,
    /// The executor that may still tell what became of the key.
    pub doubt: Option<WorkerId>,
    /// Those who waited were answered at the deadline; what is left of their
    /// allowance belongs to nobody.
    pub waiters_answered: bool,
    /// The caller's acknowledgement, which travels to the home.
    pub acknowledged_below: u64,
    /// Attempts made.
    pub attempts: u32,
    /// Workers that refused.
    pub tried: Vec<WorkerId>,
    /// Number of the next message.
    pub next_number: u32,
    /// The strictest level heard.
    pub level: Priority,
    /// Time spent by backend servers, in milliseconds.
    pub service_ms: u64,
}

/// Where a call is on its way.
#[derive(Debug)]
pub enum DispatchState {
    /// Not sent yet, or waiting before the next attempt.
    Waiting {
        /// When to try.
        until: TimeMs,
    },
    /// Sent to an executor.
    Attempting {
        /// The message.
        number: u32,
        /// The executor.
        worker: WorkerId,
        /// The execution, if the executor is this daemon.
        local: Option<CallId>,
    },
    /// The connection to the executor failed; its record is asked for over a new one.
    Resolving {
        /// The message.
        number: u32,
        /// The executor.
        worker: WorkerId,
        /// Times that it has been asked.
        tries: u32,
    },
    /// Sent to its home, which is another daemon.
    AtHome {
        /// The message.
        number: u32,
    },
    /// The home is lost; all candidates are asked.
    Settling(Settling),
}

/// The candidates of a key whose home is lost, as they answer.
#[derive(Debug, Default)]
pub struct Settling {
    /// Candidates that have not answered, with the message to each.
    pub pending: Vec<(u32, WorkerId)>,
    /// Proofs of those that refused or fenced the key.
    pub fences: Vec<NotRunEvidence>,
    /// Candidates that are gone or silent.
    pub missing: u32,
}

/// Stands in [`DispatchState::Resolving`] for the message that is yet to be sent.
pub const NO_MESSAGE: u32 = u32::MAX;

/// What a wake-up finds to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Due {
    /// Nothing yet.
    Nothing,
    /// Send the next attempt.
    Attempt,
    /// Ask the executor again for its record.
    Ask(WorkerId),
    /// The deadline has passed before the first attempt or between two.
    ExpireUnsent,
    /// The deadline has passed while an attempt was under way.
    Expire,
    /// The deadline has passed, but the keyed call goes on at its home.
    AnswerWaiters(CallKey),
}

/// What to do after an attempt that did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterRefusal {
    /// Try another worker.
    Retry,
    /// Give up.
    GiveUp,
}

impl Dispatch {
    /// Numbers the next message.
    pub fn next_exchange(&mut self, call: CallId) -> ExchangeId {
        let number = self.next_number;
        self.next_number += 1;
        ExchangeId { call, number }
    }

    /// The message that asks `to` to run the call. Half of the allowance goes along.
    pub fn execute_request(
        &mut self,
        now: TimeMs,
        to: WorkerId,
        lowest_open: u64,
        attempt: AttemptId,
    ) -> ExecuteRequest {
        let granted = self.allowance / 2;
        self.allowance -= granted;
        #[cfg(test)]
        if mutation::is_on(Mutation::CopyAllowance) {
            self.allowance += granted;
        }
        ExecuteRequest {
            to,
            service: self.service.clone(),
            request: self.request.clone(),
            context: CallContext {
                time_left_ms: self.deadline.since_ms(now),
                allowance: granted,
                sunk_ms: self.context.sunk_ms + self.service_ms,
                ..self.context.clone()
            },
            idempotent: self.idempotent,
            key: self.key.clone(),
            lowest_open,
            attempt,
            body: self.body.clone(),
        }
    }

    /// The fingerprint of the request; `None` for a mere question about a key.
    pub fn fingerprint(&self) -> Option<u64> {
        let is_question = self.request.as_str().is_empty();
        (!is_question).then(|| fingerprint(&self.request, &self.body))
    }

    /// Whether a reply can be the one that this call waits for: about its key,
    /// and from the process start that was asked unless that one is gone.
    pub fn is_answered_by(&self, reply: &PeerReply) -> bool {
        if reply.key.is_some() && reply.key != self.key {
            return false;
        }
        let asked = match &self.state {
            DispatchState::Attempting { worker, .. } | DispatchState::Resolving { worker, .. } => {
                *worker
            }
            _ => return true,
        };
        let gone = matches!(&reply.outcome, Outcome::NotRun(refusal)
            if refusal.reason == NotRunReason::WrongIncarnation);
        reply.from == asked || gone
    }

    /// What a wake-up at `now` finds to be done.
    pub fn due(&self, now: TimeMs) -> Due {
        let expired = now >= self.deadline;
        match &self.state {
            DispatchState::Waiting { .. } if expired => Due::ExpireUnsent,
            DispatchState::Waiting { until } if *until <= now => Due::Attempt,
            DispatchState::Resolving {
                number: NO_MESSAGE,
                worker,
                ..
            } => Due::Ask(*worker),
            _ if !expired => Due::Nothing,
            _ => match (&self.key, self.reply_to) {
                (Some(key), None) => Due::AnswerWaiters(key.clone()),
                _ => Due::Expire,
            },
        }
    }

    /// Whether a refusal for this reason is worth another attempt elsewhere.
    pub fn after_refusal(&self, reason: NotRunReason) -> AfterRefusal {
        match reason {
            NotRunReason::Overloaded
            | NotRunReason::QueueTimeout
            | NotRunReason::Leaving
            | NotRunReason::NoWorker
            | NotRunReason::KeyTableFull
            | NotRunReason::ShareExhausted
            | NotRunReason::WrongIncarnation
            | NotRunReason::BackendUnreachable => AfterRefusal::Retry,
            NotRunReason::ShedAtEntry
            | NotRunReason::DeadlineTooShort
            | NotRunReason::Fenced
            | NotRunReason::Cancelled
            | NotRunReason::KeyRequired
            | NotRunReason::IdempotentParent
            | NotRunReason::KeyReused
            | NotRunReason::SheetBehind
            | NotRunReason::InvariantBreach => AfterRefusal::GiveUp,
        }
    }
}

/// Tells whether two requests under one key are the same request.
pub fn fingerprint(request: &RequestName, body: &Bytes) -> u64 {
    xxh3_64_with_seed(body, xxh3_64_with_seed(request.as_str().as_bytes(), 0))
}
