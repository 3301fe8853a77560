//! The executor's table: what became of each key at the local backend server.
//!
//! Memory is bounded by `capacity` records, one small entry for each ticket that was
//! used here and is not closed (at most [`TICKETS_PER_RECORD`] times `capacity`), and
//! eight bytes for each home incarnation whose records have expired.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Mutex;

use super::evidence::Refusal;
use super::message::TicketClosings;
#[cfg(test)]
use super::mutation::{self, Mutation};
use super::node::ReplyTo;
use super::record::{Record, RecordEvent, Step};
use super::sharded::lock;
use crate::model::key::TICKET_SERIES;
use crate::model::{
    CallKey, Incarnation, NotRun, NotRunReason, Outcome, TimeMs, UnknownReason, WorkerId,
};

/// Maximum number of tickets with an entry, as a multiple of the capacity for records.
const TICKETS_PER_RECORD: usize = 4;
/// How long the records of a replaced home are kept for callers who query their keys
/// again, in milliseconds.
pub const REPLACED_HOME_RETENTION_MS: u64 = 600_000;

/// Result of looking up a key in the executor's table when a request or query for it arrives.
#[derive(Debug, Clone, PartialEq)]
pub enum ExecutorLookup {
    /// The key is new: the request may be admitted.
    New,
    /// The key's request has not ended; the waiter was added to it.
    Joined,
    /// The key ended earlier with this outcome.
    Ended(Outcome),
    /// The key was refused by this call, and late copies of its request will be refused too.
    Refused(Outcome),
    /// The key is already used by a different request.
    Reused,
}

/// Whether a request may be handed over to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandOver {
    /// The request may be handed over, once.
    Granted,
    /// The record was dropped by an acknowledgement, so nobody waits for the outcome.
    Dropped,
    /// The key was handed over before or has ended. Handing it over would break the invariant
    /// that a key runs at most once.
    Repeated,
}

#[derive(Debug, Default)]
struct TicketRecords {
    lowest_open: u64,
    /// Keys up to and including this sequence number that have no record are refused permanently.
    refused_through: Option<u64>,
    records: BTreeMap<u64, Record>,
}

#[derive(Debug, Default)]
struct HomeRecords {
    tickets: HashMap<u64, TicketRecords>,
    /// For each series, the number below which all tickets are closed.
    floors: [u64; TICKET_SERIES],
    /// Closed tickets at or above the floors.
    closed: BTreeSet<u64>,
    replaced_at: Option<TimeMs>,
}

#[derive(Debug, Default)]
struct Table {
    homes: HashMap<WorkerId, HomeRecords>,
    expired_incarnations: HashSet<Incarnation>,
    records: usize,
    tickets: usize,
}

/// Execution records by key. A record is dropped when its key is acknowledged, or some
/// time after its home has been replaced.
#[derive(Debug)]
pub struct ExecutorTable {
    capacity: usize,
    table: Mutex<Table>,
}

impl ExecutorTable {
    /// Creates a table for at most `capacity` records.
    pub fn new(capacity: usize) -> ExecutorTable {
        ExecutorTable {
            capacity,
            table: Mutex::default(),
        }
    }

    /// Number of records kept.
    pub fn len(&self) -> usize {
        lock(&self.table).records
    }

    /// Whether the table holds no record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of tickets that have an entry.
    pub fn tickets(&self) -> usize {
        lock(&self.table).tickets
    }

    /// Records a request to execute a key.
    pub fn receive(&self, key: &CallKey, fingerprint: u64, waiter: ReplyTo) -> ExecutorLookup {
        let mut table = lock(&self.table);
        if let Some(found) = table.find(key, Some(fingerprint), waiter) {
            return found;
        }
        if table.records >= self.capacity {
            return table.fence(key, NotRunReason::KeyTableFull, self.capacity);
        }
        let record = Record::received(fingerprint, waiter);
        match table.insert(key, record, self.capacity) {
            true => ExecutorLookup::New,
            false => ExecutorLookup::Ended(Outcome::Unknown(UnknownReason::TableExhausted)),
        }
    }

    /// Refuses a key permanently unless it was received before.
    pub fn refuse_new(
        &self,
        key: &CallKey,
        fingerprint: u64,
        reason: NotRunReason,
        waiter: ReplyTo,
    ) -> ExecutorLookup {
        let mut table = lock(&self.table);
        table
            .find(key, Some(fingerprint), waiter)
            .unwrap_or_else(|| table.fence(key, reason, self.capacity))
    }

    /// Reports what became of a key; an unknown key is fenced. `fingerprint` is that
    /// of the request in question; `None` matches any.
    pub fn settle(
        &self,
        key: &CallKey,
        fingerprint: Option<u64>,
        waiter: ReplyTo,
    ) -> ExecutorLookup {
        let mut table = lock(&self.table);
        table
            .find(key, fingerprint, waiter)
            .unwrap_or_else(|| table.fence(key, NotRunReason::Fenced, self.capacity))
    }

    /// Marks a key as handed over; only the first attempt is granted.
    pub fn hand_over(&self, key: &CallKey) -> HandOver {
        let mut table = lock(&self.table);
        let Some(record) = table.record(key) else {
            return HandOver::Dropped;
        };
        match record.step(&RecordEvent::HandOver) {
            Step::Applied(_) => HandOver::Granted,
            _ => HandOver::Repeated,
        }
    }

    /// Ends a key that was not handed over, leaves a tombstone, and returns the outcome and
    /// the waiters. `None` if the key has no record, was handed over or has ended: then
    /// not-run can't be promised.
    pub fn refuse(
        &self,
        key: &CallKey,
        reason: NotRunReason,
        retry_after_ms: u64,
    ) -> Option<(Outcome, Vec<ReplyTo>)> {
        let mut table = lock(&self.table);
        let record = table.record(key)?;
        let outcome = refusal(reason, retry_after_ms);
        match record.step(&RecordEvent::Refuse(&outcome)) {
            Step::Applied(waiters) => Some((outcome, waiters)),
            _ => None,
        }
    }

    /// Ends a key that was handed over and returns its waiters.
    pub fn end(&self, key: &CallKey, outcome: &Outcome) -> Vec<ReplyTo> {
        let mut table = lock(&self.table);
        let Some(record) = table.record(key) else {
            return Vec::new();
        };
        match record.step(&RecordEvent::End(outcome)) {
            Step::Applied(waiters) => waiters,
            _ => Vec::new(),
        }
    }

    /// Drops the records of a ticket below `lowest_open` and refuses those keys permanently.
    /// Does nothing for a ticket that has no entry here.
    pub fn acknowledge(&self, home: WorkerId, ticket: u64, lowest_open: u64) {
        let mut table = lock(&self.table);
        let Some(entry) = table
            .homes
            .get_mut(&home)
            .and_then(|records| records.tickets.get_mut(&ticket))
        else {
            return;
        };
        entry.lowest_open = entry.lowest_open.max(lowest_open);
        let kept = entry.records.split_off(&entry.lowest_open);
        let dropped = std::mem::replace(&mut entry.records, kept);
        table.records -= dropped.len();
    }

    /// Closes tickets of a home: removes their entries and refuses their keys permanently.
    pub fn close(&self, home: WorkerId, closings: &TicketClosings) {
        let mut table = lock(&self.table);
        let Some(records) = table.homes.get_mut(&home) else {
            return;
        };
        for (floor, raised) in records.floors.iter_mut().zip(closings.floors) {
            *floor = raised.max(*floor);
        }
        records.closed.extend(&closings.closed);
        let dropped = records.drop_closed();
        table.subtract_counts(&dropped);
    }

    /// Marks the homes at whose address another incarnation is running now. Their records are
    /// kept for [`REPLACED_HOME_RETENTION_MS`] from the first time that this was seen.
    pub fn mark_replaced_homes(
        &self,
        now: TimeMs,
        present: &HashMap<std::net::SocketAddr, Incarnation>,
    ) {
        let mut table = lock(&self.table);
        for (home, records) in &mut table.homes {
            let replaced = present
                .get(&home.address)
                .is_some_and(|incarnation| *incarnation != home.incarnation);
            if replaced && records.replaced_at.is_none() {
                records.replaced_at = Some(now);
            }
        }
    }

    /// Drops the records of homes that were replaced at least [`REPLACED_HOME_RETENTION_MS`] ago.
    /// Keys of such an incarnation stay refused, so that none of them runs here again.
    pub fn expire_replaced_homes(&self, now: TimeMs) {
        let mut table = lock(&self.table);
        let expired: Vec<WorkerId> = table
            .homes
            .iter()
            .filter(|(_, records)| records.replaced_for_ms(now) >= REPLACED_HOME_RETENTION_MS)
            .map(|(home, _)| *home)
            .collect();
        for home in expired {
            table.expired_incarnations.insert(home.incarnation);
            let Some(records) = table.homes.remove(&home) else {
                continue;
            };
            let dropped: Vec<TicketRecords> = records.tickets.into_values().collect();
            table.subtract_counts(&dropped);
        }
    }
}

impl Table {
    fn record(&mut self, key: &CallKey) -> Option<&mut Record> {
        self.homes
            .get_mut(&key.ticket.id.home)?
            .tickets
            .get_mut(&key.ticket.id.number)?
            .records
            .get_mut(&key.sequence)
    }

    /// Returns what is known about a key; `None` if it is new.
    fn find(
        &mut self,
        key: &CallKey,
        fingerprint: Option<u64>,
        waiter: ReplyTo,
    ) -> Option<ExecutorLookup> {
        let acknowledged = ExecutorLookup::Ended(Outcome::Unknown(UnknownReason::KeyAcknowledged));
        if self
            .expired_incarnations
            .contains(&key.ticket.id.home.incarnation)
        {
            return Some(acknowledged);
        }
        let home = self.homes.get_mut(&key.ticket.id.home)?;
        if home.has_closed(key.ticket.id.number) {
            return Some(acknowledged);
        }
        let ticket = home.tickets.get_mut(&key.ticket.id.number)?;
        if key.sequence < ticket.lowest_open {
            return Some(acknowledged);
        }
        if let Some(record) = ticket.records.get_mut(&key.sequence) {
            return Some(join(record, fingerprint, waiter));
        }
        let fenced = ticket
            .refused_through
            .is_some_and(|through| key.sequence <= through);
        fenced.then(|| ExecutorLookup::Ended(refusal(NotRunReason::KeyTableFull, 0)))
    }

    /// Refuses a key permanently. A full table has no space for a tombstone: it raises
    /// `refused_through` instead, which also refuses all smaller keys without a record.
    fn fence(&mut self, key: &CallKey, reason: NotRunReason, capacity: usize) -> ExecutorLookup {
        let outcome = refusal(reason, 0);
        #[cfg(test)]
        if (reason == NotRunReason::Fenced && mutation::is_on(Mutation::ForgetFence))
            || (reason == NotRunReason::SheetBehind && mutation::is_on(Mutation::ForgetRefusal))
        {
            return ExecutorLookup::Refused(outcome);
        }
        let full = self.records >= capacity;
        let Some(ticket) = self.ticket(key, capacity) else {
            return ExecutorLookup::Ended(Outcome::Unknown(UnknownReason::TableExhausted));
        };
        if full {
            ticket.refused_through = ticket.refused_through.max(Some(key.sequence));
            return ExecutorLookup::Refused(outcome);
        }
        let tombstone = Record::tombstone(&outcome);
        ticket.records.insert(key.sequence, tombstone);
        self.records += 1;
        ExecutorLookup::Refused(outcome)
    }

    fn insert(&mut self, key: &CallKey, record: Record, capacity: usize) -> bool {
        let Some(ticket) = self.ticket(key, capacity) else {
            return false;
        };
        ticket.records.insert(key.sequence, record);
        self.records += 1;
        true
    }

    fn ticket(&mut self, key: &CallKey, capacity: usize) -> Option<&mut TicketRecords> {
        let full = self.tickets >= capacity * TICKETS_PER_RECORD;
        let home = self.homes.entry(key.ticket.id.home).or_default();
        let known = home.tickets.contains_key(&key.ticket.id.number);
        if !known && full {
            return None;
        }
        self.tickets += usize::from(!known);
        Some(home.tickets.entry(key.ticket.id.number).or_default())
    }

    fn subtract_counts(&mut self, dropped: &[TicketRecords]) {
        self.tickets -= dropped.len();
        let records: usize = dropped.iter().map(|ticket| ticket.records.len()).sum();
        self.records -= records;
    }
}

impl HomeRecords {
    fn has_closed(&self, ticket: u64) -> bool {
        ticket < self.floors[series(ticket)] || self.closed.contains(&ticket)
    }

    /// Removes and returns the entries of closed tickets, and prunes `closed` below the floors.
    fn drop_closed(&mut self) -> Vec<TicketRecords> {
        let (floors, closed) = (self.floors, &self.closed);
        let is_closed = |number: &u64| *number < floors[series(*number)] || closed.contains(number);
        let numbers: Vec<u64> = self.tickets.keys().copied().filter(is_closed).collect();
        let dropped = numbers.iter().filter_map(|n| self.tickets.remove(n));
        let dropped = dropped.collect();
        self.closed
            .retain(|number| *number >= floors[series(*number)]);
        dropped
    }

    fn replaced_for_ms(&self, now: TimeMs) -> u64 {
        self.replaced_at
            .map_or(0, |replaced_at| now.since_ms(replaced_at))
    }
}

fn series(ticket: u64) -> usize {
    ticket as usize % TICKET_SERIES
}

fn join(record: &mut Record, fingerprint: Option<u64>, waiter: ReplyTo) -> ExecutorLookup {
    #[cfg(test)]
    let fingerprint = fingerprint.filter(|_| !mutation::is_on(Mutation::IgnoreFingerprint));
    if fingerprint.is_some_and(|fingerprint| !record.matches(fingerprint)) {
        return ExecutorLookup::Reused;
    }
    match record.step(&RecordEvent::Join(waiter)) {
        Step::Ended(outcome) => ExecutorLookup::Ended(outcome),
        _ => ExecutorLookup::Joined,
    }
}

fn refusal(reason: NotRunReason, retry_after_ms: u64) -> Outcome {
    Outcome::NotRun(NotRun {
        reason,
        retry_after_ms,
        evidence: Refusal::before_hand_over().into(),
    })
}
