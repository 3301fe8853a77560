//! Proof that a request was not run. The types can only be constructed where the proof exists, so
//! that a `NotRun` outcome is never reported without one.

use serde::{Deserialize, Serialize};

/// Proof that a request was not run and that no late copy of it can run.
///
/// The variants are private: outside this module, evidence can only be obtained from a
/// [`Refusal`], from [`Unsent`], or by combining the evidence of all attempts or all candidates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRunEvidence(Proof);

/// Serialised form of [`NotRunEvidence`] between daemons. It is converted back only when a reply
/// from another daemon is decoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WireEvidence(Proof);

impl From<NotRunEvidence> for WireEvidence {
    fn from(evidence: NotRunEvidence) -> Self {
        WireEvidence(evidence.0)
    }
}

impl WireEvidence {
    /// Converts the evidence back, trusting the daemon that sent it.
    pub(in crate::decide) fn into_trusted(self) -> NotRunEvidence {
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

/// Proof by the executor: the request was refused before any byte of it was handed to the backend
/// server, and a tombstone rejects late copies of it. A refusal by the backend server itself, which
/// tells that it did not run the request, counts as the same proof.
#[derive(Debug)]
pub struct Refusal(());

impl Refusal {
    /// To be called once the executor's table has set a tombstone. A request without a key needs
    /// none, since it is never sent twice under one [`super::ExchangeId`].
    pub(in crate::decide) fn before_hand_over() -> Refusal {
        Refusal(())
    }
}

/// Proof by the sending daemon: no byte of the request was sent.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// To be called where a request ends before it was sent, or its connection was not established.
    pub(in crate::decide) fn no_byte_sent() -> Unsent {
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
    /// Combines the evidence of all attempts of a call, given that of the last one.
    pub(in crate::decide) fn combine_attempts(last: NotRunEvidence, attempts: u32) -> Self {
        if attempts <= 1 {
            return last;
        }
        NotRunEvidence(Proof::EveryAttemptNotRun { attempts })
    }

    /// Combines the fences of all candidates of a key; `None` if there are none.
    pub(in crate::decide) fn combine_candidates(fences: &[NotRunEvidence]) -> Option<Self> {
        if fences.is_empty() {
            return None;
        }
        Some(NotRunEvidence(Proof::EveryCandidateFenced {
            candidates: fences.len() as u32,
        }))
    }
}
