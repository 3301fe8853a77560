//! Mutation testing: faults injected into the decisions, in test builds of this crate only.
//! The randomised tests must detect every one of them.

use std::cell::Cell;

use strum::EnumIter;

/// A fault that can be injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum Mutation {
    /// A keyed call whose executor is silent is sent to another worker.
    RetryInDoubt,
    /// The executor reports a key as fenced, but doesn't store the fence.
    ForgetFence,
    /// The executor refuses a request after waiting for a sheet, but doesn't store the refusal.
    ForgetRefusal,
    /// A kept answer is returned to any request with the key, even a different one.
    IgnoreFingerprint,
    /// Each attempt gets a copy of the retry allowance instead of a part of it.
    CopyAllowance,
    /// The announcement that a backend server leaves is ignored.
    IgnoreLeaving,
    /// A draining daemon exits at once, without finishing the requests in flight.
    ExitEarly,
    /// A call whose connection failed ends without querying the executor for its record.
    NeverResolve,
    /// Only the first waiter of a call is answered.
    AnswerFirstOnly,
    /// A daemon accepts messages that are addressed to another incarnation.
    IgnoreIncarnation,
}

thread_local! {
    static ACTIVE: Cell<Option<Mutation>> = const { Cell::new(None) };
}

/// Sets the fault that is injected on this thread from now on; `None` injects none.
pub fn set(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}

/// Whether this fault is injected on this thread.
pub fn is_on(mutation: Mutation) -> bool {
    ACTIVE.get() == Some(mutation)
}
