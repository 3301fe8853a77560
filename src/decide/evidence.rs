//! What proves that a request was not run. Values can only be made from a proof.

use serde::{Deserialize, Serialize};

/// Proof that a request was not run and that no late copy of it can run.
///
/// The variants are private: outside this module one can only be obtained from
/// a [`Refusal`], from [`Unsent`], or by combining the evidence of all attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRunEvidence(Proof);

/// Evidence as it travels between daemons. It becomes [`NotRunEvidence`] again
/// only where a reply of another daemon is taken in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WireEvidence(Proof);

impl From<NotRunEvidence> for WireEvidence {
    fn from(evidence: NotRunEvidence) -> Self {
        WireEvidence(evidence.0)
    }
}

impl WireEvidence {
    /// The evidence that the daemon at the other end stands for.
    pub(in crate::decide) fn vouched_for(self) -> NotRunEvidence {
        NotRunEvidence(self.0)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Proof {
    RefusedBeforeHandOver,
    NeverSent,
    EveryAttemptNotRun { attempts: u32 },
    EveryCandidateFenced { candidates: u32 },
}

/// Proof by the daemon beside the backend server: the request was refused
/// before its first byte was handed over, and a tombstone keeps late copies out.
#[derive(Debug)]
pub struct Refusal(());

impl Refusal {
    /// Made by the executor's table when it has set a tombstone, and by
    /// admission for requests without a key, which are never sent twice under one exchange.
    pub(in crate::decide) fn before_hand_over() -> Refusal {
        Refusal(())
    }
}

/// Proof by the sending daemon: no byte of the request has left it.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Made where a request ends before it was ever sent, or its connection was never made.
    pub(in crate::decide) fn no_byte_left() -> Unsent {
        Unsent(())
    }
}

impl From<Refusal> for NotRunEvidence {
    fn from(_: Refusal) -> Self {
        NotRunEvidence(Proof::RefusedBeforeHandOver)
    }
}

impl From<Unsent> for NotRunEvidence {
    fn from(_: Unsent) -> Self {
        NotRunEvidence(Proof::NeverSent)
    }
}

impl NotRunEvidence {
    /// Combines the evidence of every attempt that was made.
    pub(in crate::decide) fn of_every_attempt(last: NotRunEvidence, attempts: u32) -> Self {
        if attempts <= 1 {
            return last;
        }
        NotRunEvidence(Proof::EveryAttemptNotRun { attempts })
    }

    /// Combines the fences of every candidate of a key.
    pub(in crate::decide) fn of_every_candidate(fences: &[NotRunEvidence]) -> Option<Self> {
        if fences.is_empty() {
            return None;
        }
        Some(NotRunEvidence(Proof::EveryCandidateFenced {
            candidates: fences.len() as u32,
        }))
    }
}
