//! The executor's table: what became of each key at the backend server beside this daemon.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;

use super::evidence::Refusal;
use super::message::CallId;
use super::node::ReplyTo;
use super::sharded::lock;
use crate::model::{CallKey, NotRun, NotRunReason, Outcome, TicketId, UnknownReason};

/// What the executor says to a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Received {
    /// A new key: the request may be admitted.
    New,
    /// The key is being worked on; the asker will be answered with it.
    Joined,
    /// The key has ended.
    Ended(Outcome),
}

/// Records and tombstones together may be this many times the capacity for records.
const TOMBSTONE_FACTOR: usize = 2;

#[derive(Debug)]
enum Record {
    Received {
        call: CallId,
        fingerprint: u64,
        waiters: Vec<ReplyTo>,
    },
    HandedOver {
        call: CallId,
        fingerprint: u64,
        waiters: Vec<ReplyTo>,
    },
    Ended {
        call: Option<CallId>,
        outcome: Outcome,
    },
}

#[derive(Debug, Default)]
struct TicketRecords {
    lowest_open: u64,
    records: BTreeMap<u64, Record>,
}

#[derive(Debug, Default)]
struct Table {
    tickets: HashMap<TicketId, TicketRecords>,
    records: usize,
}

/// Records by key, dropped by acknowledgement only.
#[derive(Debug)]
pub struct ExecutorTable {
    capacity: usize,
    table: Mutex<Table>,
}

impl ExecutorTable {
    /// A table for at most `capacity` records.
    pub fn new(capacity: usize) -> ExecutorTable {
        ExecutorTable {
            capacity,
            table: Mutex::default(),
        }
    }

    /// Records kept.
    pub fn len(&self) -> usize {
        lock(&self.table).records
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes in a request to execute a key.
    pub fn receive(
        &self,
        key: &CallKey,
        fingerprint: u64,
        call: CallId,
        waiter: ReplyTo,
    ) -> Received {
        let mut table = lock(&self.table);
        let full = table.records >= self.capacity;
        let exhausted = table.records >= self.capacity * TOMBSTONE_FACTOR;
        let ticket = table.tickets.entry(key.ticket.id).or_default();
        if key.sequence < ticket.lowest_open {
            return Received::Ended(Outcome::Unknown(UnknownReason::KeyAcknowledged));
        }
        if let Some(record) = ticket.records.get_mut(&key.sequence) {
            return record.join(Some(fingerprint), waiter);
        }
        if exhausted {
            return Received::Ended(Outcome::Unknown(UnknownReason::TableExhausted));
        }
        if full {
            let outcome = tombstone(NotRunReason::KeyTableFull, 0);
            let record = Record::Ended {
                call: None,
                outcome: outcome.clone(),
            };
            ticket.records.insert(key.sequence, record);
            table.records += 1;
            return Received::Ended(outcome);
        }
        let record = Record::Received {
            call,
            fingerprint,
            waiters: vec![waiter],
        };
        ticket.records.insert(key.sequence, record);
        table.records += 1;
        Received::New
    }

    /// Tells what became of a key; one that is not known is fenced.
    ///
    /// A full table does not stop a fence: it is the smaller evil beside an
    /// unresolved key, and the number of fences is bounded by the keys in doubt.
    pub fn settle(&self, key: &CallKey, waiter: ReplyTo) -> Received {
        let mut table = lock(&self.table);
        let ticket = table.tickets.entry(key.ticket.id).or_default();
        if key.sequence < ticket.lowest_open {
            return Received::Ended(Outcome::Unknown(UnknownReason::KeyAcknowledged));
        }
        if let Some(record) = ticket.records.get_mut(&key.sequence) {
            return record.join(None, waiter);
        }
        let outcome = tombstone(NotRunReason::Fenced, 0);
        let record = Record::Ended {
            call: None,
            outcome: outcome.clone(),
        };
        ticket.records.insert(key.sequence, record);
        table.records += 1;
        Received::Ended(outcome)
    }

    /// Marks a key as handed over. False if it may not be: the caller must not run it.
    pub fn hand_over(&self, key: &CallKey) -> bool {
        let mut table = lock(&self.table);
        let Some(record) = table.record(key) else {
            return false;
        };
        match record {
            Record::Received {
                call,
                fingerprint,
                waiters,
            } => {
                *record = Record::HandedOver {
                    call: *call,
                    fingerprint: *fingerprint,
                    waiters: std::mem::take(waiters),
                };
                true
            }
            Record::HandedOver { .. } | Record::Ended { .. } => false,
        }
    }

    /// Ends a key that was not handed over, sets its tombstone and returns the
    /// outcome and who waits. `None` if the key was handed over, so that nothing
    /// can be promised.
    pub fn refuse(
        &self,
        key: &CallKey,
        reason: NotRunReason,
        retry_after_ms: u64,
    ) -> Option<(Outcome, Vec<ReplyTo>)> {
        let mut table = lock(&self.table);
        let record = table.record(key)?;
        let Record::Received { call, waiters, .. } = record else {
            return None;
        };
        let waiters = std::mem::take(waiters);
        let outcome = tombstone(reason, retry_after_ms);
        *record = Record::Ended {
            call: Some(*call),
            outcome: outcome.clone(),
        };
        Some((outcome, waiters))
    }

    /// Ends a key that was handed over and returns who waits.
    pub fn end(&self, key: &CallKey, outcome: &Outcome) -> Vec<ReplyTo> {
        let mut table = lock(&self.table);
        let Some(record) = table.record(key) else {
            return Vec::new();
        };
        let Record::HandedOver { call, waiters, .. } = record else {
            return Vec::new();
        };
        let waiters = std::mem::take(waiters);
        *record = Record::Ended {
            call: Some(*call),
            outcome: outcome.clone(),
        };
        waiters
    }

    /// Drops the records of a ticket below `lowest_open`, refuses those keys for
    /// good, and returns the calls whose records were dropped.
    pub fn acknowledge(&self, ticket: TicketId, lowest_open: u64) -> Vec<CallId> {
        let mut table = lock(&self.table);
        let held = table.tickets.entry(ticket).or_default();
        held.lowest_open = held.lowest_open.max(lowest_open);
        let kept = held.records.split_off(&lowest_open);
        let dropped = std::mem::replace(&mut held.records, kept);
        table.records -= dropped.len();
        dropped.values().filter_map(Record::call).collect()
    }
}

impl Table {
    fn record(&mut self, key: &CallKey) -> Option<&mut Record> {
        self.tickets
            .get_mut(&key.ticket.id)?
            .records
            .get_mut(&key.sequence)
    }
}

impl Record {
    fn join(&mut self, asked: Option<u64>, waiter: ReplyTo) -> Received {
        match self {
            Record::Received {
                fingerprint,
                waiters,
                ..
            }
            | Record::HandedOver {
                fingerprint,
                waiters,
                ..
            } => {
                if asked.is_some_and(|asked| asked != *fingerprint) {
                    return Received::Ended(tombstone(NotRunReason::KeyReused, 0));
                }
                waiters.push(waiter);
                Received::Joined
            }
            Record::Ended { outcome, .. } => Received::Ended(outcome.clone()),
        }
    }

    fn call(&self) -> Option<CallId> {
        match self {
            Record::Received { call, .. } | Record::HandedOver { call, .. } => Some(*call),
            Record::Ended { call, .. } => *call,
        }
    }
}

fn tombstone(reason: NotRunReason, retry_after_ms: u64) -> Outcome {
    Outcome::NotRun(NotRun {
        reason,
        retry_after_ms,
        evidence: Refusal::before_hand_over().into(),
    })
}
