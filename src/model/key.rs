//! Tickets, and the idempotency keys that callers derive from them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::names::ServiceName;
use super::vm::WorkerId;

/// Maximum number of candidates in a ticket.
pub const MAX_CANDIDATES: usize = 3;
/// Number of series in which a home numbers its tickets: even numbers are long-lived tickets
/// issued to callers, odd ones are tickets of single child calls.
pub const TICKET_SERIES: usize = 2;

/// Identifies a ticket by the daemon that issued it and a number that is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketId {
    /// The daemon that issued the ticket, and the only one that may start calls under it.
    pub home: WorkerId,
    /// Number of the ticket at its home; see [`TICKET_SERIES`].
    pub number: u64,
}

/// Permission to create keys for one service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    /// Home and number, which identify the ticket.
    pub id: TicketId,
    /// The service that the keys are valid for.
    pub service: ServiceName,
    /// The only daemons on which a key of this ticket can run, in the home's order of preference.
    pub candidates: Vec<WorkerId>,
}

/// An idempotency key: a ticket and a sequence number chosen by the caller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallKey {
    /// The ticket that the key belongs to.
    pub ticket: Ticket,
    /// The caller's sequence number, starting at zero.
    pub sequence: u64,
}

/// Error returned if a text is not a valid key or ticket.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is no {what}: {problem}; ask for one with POST /ticket/{{service}}")]
pub struct KeyParseError {
    text: String,
    what: &'static str,
    problem: &'static str,
}

impl CallKey {
    /// Whether the key is for this service and the worker is one of its candidates.
    pub fn may_run_at(&self, worker: WorkerId, service: &ServiceName) -> bool {
        self.ticket.service == *service && self.ticket.candidates.contains(&worker)
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{}~{}", self.service, self.id.home, self.id.number)?;
        for candidate in &self.candidates {
            write!(f, "~{candidate}")?;
        }
        Ok(())
    }
}

impl FromStr for Ticket {
    type Err = KeyParseError;

    fn from_str(text: &str) -> Result<Ticket, KeyParseError> {
        let fail = |problem| KeyParseError {
            text: text.to_owned(),
            what: "ticket",
            problem,
        };
        let mut parts = text.split('~');
        let service = parts.next().filter(|part| !part.is_empty());
        let service = service.ok_or_else(|| fail("the service is missing"))?;
        let home = parts.next().and_then(parse_worker_id);
        let home = home.ok_or_else(|| fail("the home is missing or malformed"))?;
        let number = parts.next().and_then(|part| part.parse().ok());
        let number = number.ok_or_else(|| fail("the number is missing or malformed"))?;
        let candidates: Option<Vec<WorkerId>> = parts.map(parse_worker_id).collect();
        let candidates = candidates.ok_or_else(|| fail("a candidate is malformed"))?;
        if candidates.len() > MAX_CANDIDATES {
            return Err(fail("it names too many candidates"));
        }
        Ok(Ticket {
            id: TicketId { home, number },
            service: service.into(),
            candidates,
        })
    }
}

impl fmt::Display for CallKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.sequence, self.ticket)
    }
}

impl FromStr for CallKey {
    type Err = KeyParseError;

    fn from_str(text: &str) -> Result<CallKey, KeyParseError> {
        let fail = |problem| KeyParseError {
            text: text.to_owned(),
            what: "key",
            problem,
        };
        let (sequence, ticket) = text
            .split_once(':')
            .ok_or_else(|| fail("it has no colon between counter and ticket"))?;
        let sequence = sequence
            .parse()
            .map_err(|_| fail("the counter is not a whole number"))?;
        let ticket = ticket.parse()?;
        Ok(CallKey { ticket, sequence })
    }
}

fn parse_worker_id(text: &str) -> Option<WorkerId> {
    let (address, incarnation) = text.split_once('#')?;
    Some(WorkerId {
        address: address.parse().ok()?,
        incarnation: super::vm::Incarnation(u64::from_str_radix(incarnation, 16).ok()?),
    })
}
