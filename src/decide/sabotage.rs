//! Deliberately broken variants, in test builds of this crate only. The
//! randomised runs must catch every one of them.

use std::cell::Cell;

use strum::EnumIter;

/// What is broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum Sabotage {
    /// A keyed call whose executor is silent is sent to another worker.
    RetryInDoubt,
    /// A fence is promised and not kept.
    ForgetFence,
    /// A refusal at the end of the wait for a sheet is not kept.
    ForgetRefusal,
    /// An answer is kept for whatever request comes with the key.
    IgnoreFingerprint,
    /// The allowance is copied to each attempt.
    CopyAllowance,
    /// Nobody takes note that a backend server leaves.
    IgnoreLeaving,
    /// A draining daemon exits at once.
    ExitEarly,
    /// The executor is never asked for its record.
    NeverResolve,
    /// Only the first of those who wait is answered.
    AnswerFirstOnly,
    /// The incarnation that a message is meant for is not checked.
    IgnoreIncarnation,
}

thread_local! {
    static ACTIVE: Cell<Option<Sabotage>> = const { Cell::new(None) };
}

/// Breaks what this thread does from now on.
pub fn set(sabotage: Option<Sabotage>) {
    ACTIVE.set(sabotage);
}

/// Whether this is broken at present.
pub fn is_on(sabotage: Sabotage) -> bool {
    ACTIVE.get() == Some(sabotage)
}
