//! The rate limit that a backend server states in its answers.
//!
//! Answers overtake one another: one that was asked for earlier and ends later says nothing about
//! the present. Statements are therefore ordered by the time at which their request was sent, and
//! only an answer to a request sent after the limit was heard can lift it.

use serde::{Deserialize, Serialize};

use crate::model::TimeMs;

/// What one answer states about the rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StatedRate {
    /// The answer names no limit.
    Unlimited,
    /// Requests a second that the backend server takes from all daemons together; finite and not
    /// negative.
    PerSecond(f64),
    /// The answer names something that is no rate, which neither sets nor lifts a limit.
    Malformed,
}

impl StatedRate {
    /// Parses the values of the header; of several rates, the lowest counts.
    pub fn parse<'a>(values: impl Iterator<Item = &'a [u8]>) -> StatedRate {
        let mut stated = StatedRate::Unlimited;
        for value in values {
            let Ok(value) = std::str::from_utf8(value) else {
                return StatedRate::Malformed;
            };
            for rate in value.split(',') {
                let Ok(per_s) = rate.trim().parse::<f64>() else {
                    return StatedRate::Malformed;
                };
                if !per_s.is_finite() || per_s < 0.0 {
                    return StatedRate::Malformed;
                }
                stated = match stated {
                    StatedRate::PerSecond(known) => StatedRate::PerSecond(known.min(per_s)),
                    _ => StatedRate::PerSecond(per_s),
                };
            }
        }
        stated
    }
}

/// An answer of the backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnsweredRate {
    /// When its request was sent.
    pub sent_at: TimeMs,
    /// When its head arrived.
    pub heard_at: TimeMs,
    /// What it states.
    pub rate: StatedRate,
    /// Whether it refuses the request. Such an answer may set a limit, but lifts none.
    pub is_refusal: bool,
}

/// A statement as daemons pass it on, with the process of the backend server that made it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedRate {
    /// Instance of the backend server.
    #[serde(rename = "i")]
    pub instance: String,
    /// Start of its process, in milliseconds since the Unix epoch.
    #[serde(rename = "b")]
    pub born_unix_ms: u64,
    /// Requests a second; absent if the limit was lifted.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub per_s: Option<f64>,
    /// Time since the statement was heard, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Statement {
    per_s: Option<f64>,
    sent_at: TimeMs,
    heard_at: TimeMs,
}

/// The newest statement of one process of a backend server; empty until it names a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateStatements {
    newest: Option<Statement>,
}

impl RateStatements {
    /// The rate limit in force, in requests a second.
    pub fn per_s(&self) -> Option<f64> {
        self.newest.and_then(|newest| newest.per_s)
    }

    /// Records an answer; returns whether the limit has changed.
    pub fn record_answer(&mut self, answer: AnsweredRate) -> bool {
        let before = self.per_s();
        let statement = |per_s| Statement {
            per_s,
            sent_at: answer.sent_at,
            heard_at: answer.heard_at,
        };
        match answer.rate {
            StatedRate::Malformed => {}
            StatedRate::PerSecond(per_s) => {
                let is_older = |known: Statement| answer.sent_at < known.sent_at;
                if !self.newest.is_some_and(is_older) {
                    self.newest = Some(statement(Some(per_s)));
                }
            }
            StatedRate::Unlimited => {
                let is_later =
                    |known: Statement| known.per_s.is_some() && answer.sent_at >= known.heard_at;
                if !answer.is_refusal && self.newest.is_some_and(is_later) {
                    self.newest = Some(statement(None));
                }
            }
        }
        self.per_s() != before
    }

    /// Records a statement of the same process that another daemon has heard, unless a newer one is
    /// known; returns whether the limit has changed.
    pub fn record_relayed(&mut self, now: TimeMs, relayed: &RelayedRate) -> bool {
        let before = self.per_s();
        let heard_at = TimeMs(now.0.saturating_sub(relayed.age_ms));
        if self.newest.is_none_or(|known| known.heard_at < heard_at) {
            self.newest = Some(Statement {
                per_s: relayed.per_s,
                sent_at: heard_at,
                heard_at,
            });
        }
        self.per_s() != before
    }

    /// The newest statement of the process, to be passed on; `None` before its first limit.
    pub fn relayed(&self, now: TimeMs, instance: &str, born_unix_ms: u64) -> Option<RelayedRate> {
        let newest = self.newest?;
        Some(RelayedRate {
            instance: instance.to_owned(),
            born_unix_ms,
            per_s: newest.per_s,
            age_ms: now.since_ms(newest.heard_at),
        })
    }
}
