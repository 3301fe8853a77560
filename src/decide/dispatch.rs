//! State of a call that this daemon dispatches to a backend server.

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

/// A call that this daemon dispatches as its entry or home, or a query for the outcome of a key.
#[derive(Debug)]
pub struct Dispatch {
    /// The called service.
    pub service: ServiceName,
    /// The kind of request; empty for a query for the outcome of a key.
    pub request: RequestName,
    /// Context of the root request, with the time and allowance left when the call arrived.
    pub context: CallContext,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// The idempotency key; always present unless the call is idempotent.
    pub key: Option<CallKey>,
    /// The waiter for the outcome; `None` for a call at its home, whose table holds the waiters.
    pub reply_to: Option<ReplyTo>,
    /// The local run that made this call, if it is a child call.
    pub parent: Option<CallId>,
    /// The request body, kept for retries.
    pub body: Bytes,
    /// Deadline of the root request.
    pub deadline: TimeMs,
    /// Current state of the dispatch.
    pub state: DispatchState,
    /// Retries left for this call and its child calls.
    pub allowance: u32,
    /// Retries granted when the call arrived; `allowance` never exceeds this.
    pub granted: u32,
    /// Whether an attempt of an idempotent call may have run.
    pub in_doubt: bool,
    /// The executor that did not respond to queries but may still know the outcome of the key.
    pub unresponsive_executor: Option<WorkerId>,
    /// Whether the waiters were answered at the deadline. The remaining allowance is then dropped,
    /// since there is no waiter to return it to.
    pub waiters_answered: bool,
    /// The caller acknowledges all answers of its ticket with a sequence number below this one;
    /// forwarded to the home.
    pub acknowledged_below: u64,
    /// Attempts made so far.
    pub attempts: u32,
    /// Workers that refused the call or failed; they are not tried again.
    pub tried: Vec<WorkerId>,
    /// Sequence number of the next message, see [`ExchangeId::number`].
    pub next_exchange_number: u32,
    /// The strictest admission level reported in replies.
    pub level: Priority,
    /// Time that backend servers spent on this call and its child calls, over all attempts, in
    /// milliseconds.
    pub service_ms: u64,
}

/// State of a [`Dispatch`].
#[derive(Debug)]
pub enum DispatchState {
    /// Not sent yet, or waiting before the next attempt.
    Waiting {
        /// Time of the next attempt.
        until: TimeMs,
    },
    /// Sent to an executor, waiting for its reply.
    Attempting {
        /// The number of the message, see [`ExchangeId::number`].
        number: u32,
        /// The executor.
        worker: WorkerId,
        /// The id of the execution, if the executor is this daemon.
        local_call: Option<CallId>,
    },
    /// The connection to the executor failed; its record of the key is queried over a new one.
    Resolving {
        /// The number of the message, see [`ExchangeId::number`].
        number: u32,
        /// The executor.
        worker: WorkerId,
        /// Queries sent so far.
        queries: u32,
    },
    /// Forwarded to its home, which is another daemon.
    AtHome {
        /// The number of the message, see [`ExchangeId::number`].
        number: u32,
    },
    /// The home is lost; all candidates of the key are queried.
    Settling(Settling),
}

/// Progress of the queries to all candidates of a key whose home is lost.
#[derive(Debug, Default)]
pub struct Settling {
    /// Candidates that have not answered, with the number of the message to each.
    pub pending: Vec<(u32, WorkerId)>,
    /// Evidence from the candidates that refused or fenced the key.
    pub fences: Vec<NotRunEvidence>,
    /// Number of candidates that were replaced, did not respond or don't know the outcome.
    pub without_evidence: u32,
}

/// Value of `number` in [`DispatchState::Resolving`] between two queries, when no reply is awaited.
pub const NO_MESSAGE: u32 = u32::MAX;

/// What to do with a dispatch when a timer fires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DueAction {
    /// Nothing.
    Nothing,
    /// Send the next attempt.
    Attempt,
    /// Query the executor's record again.
    QueryRecord(WorkerId),
    /// End the call: the deadline has passed before the first attempt or between two.
    ExpireUnsent,
    /// End the call: the deadline has passed during an attempt.
    Expire,
    /// Answer the waiters: the deadline has passed, but the keyed call goes on at its home.
    AnswerWaiters(CallKey),
}

/// What to do after a refused attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterRefusal {
    /// Try another worker.
    Retry,
    /// End the call with the refusal.
    GiveUp,
}

impl Dispatch {
    /// Allocates the id of the next message.
    pub fn next_exchange(&mut self, call: CallId) -> ExchangeId {
        let number = self.next_exchange_number;
        self.next_exchange_number += 1;
        ExchangeId { call, number }
    }

    /// Creates the request for `to` and passes half of the allowance, rounded down, on to it.
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

    /// The fingerprint of the request; `None` for a query for the outcome of a key.
    pub fn fingerprint(&self) -> Option<u64> {
        let is_key_query = self.request.as_str().is_empty();
        (!is_key_query).then(|| fingerprint(&self.request, &self.body))
    }

    /// Whether a reply can belong to this call: it has the call's key and comes from the incarnation
    /// that was addressed, unless it says that this incarnation is gone.
    pub fn is_answered_by(&self, reply: &PeerReply) -> bool {
        if reply.key.is_some() && reply.key != self.key {
            return false;
        }
        let addressed = match &self.state {
            DispatchState::Attempting { worker, .. } | DispatchState::Resolving { worker, .. } => {
                *worker
            }
            _ => return true,
        };
        let replaced = matches!(&reply.outcome, Outcome::NotRun(refusal)
            if refusal.reason == NotRunReason::WrongIncarnation);
        reply.from == addressed || replaced
    }

    /// What to do when a timer fires at `now`.
    pub fn due_action(&self, now: TimeMs) -> DueAction {
        let expired = now >= self.deadline;
        match &self.state {
            DispatchState::Waiting { .. } if expired => DueAction::ExpireUnsent,
            DispatchState::Waiting { until } if *until <= now => DueAction::Attempt,
            DispatchState::Resolving {
                number: NO_MESSAGE,
                worker,
                ..
            } => DueAction::QueryRecord(*worker),
            _ if !expired => DueAction::Nothing,
            _ => match (&self.key, self.reply_to) {
                (Some(key), None) => DueAction::AnswerWaiters(key.clone()),
                _ => DueAction::Expire,
            },
        }
    }

    /// Whether to try another worker after a refusal for this reason.
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
            | NotRunReason::HeldBack
            | NotRunReason::SheetBehind
            | NotRunReason::InvariantBreach => AfterRefusal::GiveUp,
        }
    }
}

/// Hash of a request, to detect the reuse of a key for another request.
pub fn fingerprint(request: &RequestName, body: &Bytes) -> u64 {
    xxh3_64_with_seed(body, xxh3_64_with_seed(request.as_str().as_bytes(), 0))
}
