//! The home's table: the tickets that this daemon issued and the calls made under them.
//!
//! Memory is bounded by `open_keys` calls with their outcomes and `tickets` tickets.
//! A full table needs no further memory to refuse a call: it raises `refused_through` of the
//! ticket, and every key up to that sequence number without a record is refused permanently.

use std::collections::BTreeMap;
use std::sync::Mutex;

use super::evidence::Unsent;
use super::message::{CallId, TicketClosings};
#[cfg(test)]
use super::mutation::{self, Mutation};
use super::node::ReplyTo;
use super::sharded::lock;
use crate::model::key::TICKET_SERIES;
use crate::model::{
    CallKey, NotRun, NotRunReason, Outcome, ServiceName, Ticket, TicketId, UnknownReason, WorkerId,
};

/// Series of the tickets issued to callers.
const CALLER_SERIES: usize = 0;
/// Series of the tickets of child calls, each with a single key.
const CHILD_SERIES: usize = 1;

/// Result of looking up a key in the home's table when a request or query for it arrives.
#[derive(Debug, Clone, PartialEq)]
pub enum HomeLookup {
    /// A new call: run it.
    New,
    /// The call is running; the waiter was added to it.
    Joined,
    /// The call has ended with this outcome.
    Ended(Outcome),
    /// The call ended as unknown, but this executor may still know its outcome.
    InDoubt(WorkerId),
    /// The key is already used by a different request.
    Reused,
}

/// Capacity of a [`HomeTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeBounds {
    /// Maximum number of calls kept, running or ended.
    pub open_keys: usize,
    /// Maximum number of tickets, including those of child calls.
    pub tickets: usize,
}

/// Identifies a child call by its parent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChildCallId {
    /// The parent call, by the id under which this daemon handed it to the backend server.
    pub parent: CallId,
    /// Number of the child call among those of the parent, counted by the backend server from zero;
    /// a repetition of the call has the same number.
    pub ordinal: u32,
}

/// Tells the executors of a ticket which of its keys are closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketClosing {
    /// Number of the ticket at its home.
    pub ticket: u64,
    /// All keys below this sequence number are closed; `u64::MAX` if the whole ticket is closed.
    pub lowest_open: u64,
    /// The daemons that were sent a call under the ticket and may hold records of it.
    pub executors: Vec<WorkerId>,
}

#[derive(Debug)]
struct HomeTicket {
    ticket: Ticket,
    lowest_open: u64,
    /// Keys up to and including this sequence number that have no record are refused permanently.
    refused_through: Option<u64>,
    calls: BTreeMap<u64, HomeCall>,
    executors: Vec<WorkerId>,
    last_used: u64,
    /// The parent of the ticket's only call has ended; the ticket is removed when that call ends.
    parent_ended: bool,
}

#[derive(Debug)]
struct HomeCall {
    /// `None` for a fence, which matches any request.
    fingerprint: Option<u64>,
    state: HomeCallState,
}

#[derive(Debug)]
enum HomeCallState {
    Running {
        call: CallId,
        waiters: Vec<ReplyTo>,
    },
    Ended {
        outcome: Outcome,
        unresponsive_executor: Option<WorkerId>,
    },
}

#[derive(Debug, Default)]
struct Table {
    tickets: [BTreeMap<u64, HomeTicket>; TICKET_SERIES],
    children: BTreeMap<ChildCallId, CallKey>,
    /// Tickets of callers that hold no call, ordered by last use.
    idle: BTreeMap<u64, u64>,
    issued: [u64; TICKET_SERIES],
    uses: u64,
    open_keys: usize,
}

/// The tickets and keyed calls whose home is this daemon, behind one mutex that is held briefly.
#[derive(Debug)]
pub struct HomeTable {
    local_worker: WorkerId,
    bounds: HomeBounds,
    table: Mutex<Table>,
}

impl HomeTable {
    /// Creates an empty table for the daemon `local_worker`.
    pub fn new(local_worker: WorkerId, bounds: HomeBounds) -> HomeTable {
        HomeTable {
            local_worker,
            bounds,
            table: Mutex::default(),
        }
    }

    /// Issues a ticket. If the table is full, closes the least recently used idle ticket
    /// and returns its closing too; `None` if no ticket is idle.
    pub fn issue(
        &self,
        service: &ServiceName,
        candidates: Vec<WorkerId>,
    ) -> Option<(Ticket, Option<TicketClosing>)> {
        let mut table = lock(&self.table);
        let closed = if table.len() >= self.bounds.tickets {
            Some(table.close_idle()?)
        } else {
            None
        };
        let ticket = table.issue(self.local_worker, CALLER_SERIES, service, candidates);
        table.mark_idle(ticket.id.number);
        Some((ticket, closed))
    }

    /// Closes a ticket at its caller's request. Returns `None` and changes nothing while one of
    /// its calls is running.
    pub fn close(&self, ticket: &Ticket) -> Option<TicketClosing> {
        let mut table = lock(&self.table);
        let home_ticket = table.ticket(ticket.id.number)?;
        if home_ticket.ticket != *ticket || home_ticket.is_running() {
            return None;
        }
        table.remove(ticket.id.number)
    }

    /// Returns the key of a child call; a repetition by the backend server gets the same key.
    pub fn child_key(
        &self,
        child: ChildCallId,
        service: &ServiceName,
        candidates: impl FnOnce() -> Vec<WorkerId>,
    ) -> Result<CallKey, NotRunReason> {
        let mut table = lock(&self.table);
        if let Some(key) = table.children.get(&child) {
            return Ok(key.clone());
        }
        if table.len() >= self.bounds.tickets {
            return Err(NotRunReason::KeyTableFull);
        }
        let ticket = table.issue(self.local_worker, CHILD_SERIES, service, candidates());
        let key = CallKey {
            ticket,
            sequence: 0,
        };
        table.children.insert(child, key.clone());
        Ok(key)
    }

    /// Removes the child calls of a parent that has ended. A child that is still running is
    /// removed when it ends.
    pub fn forget_children(&self, parent: CallId) -> Vec<TicketClosing> {
        let mut table = lock(&self.table);
        let first = ChildCallId { parent, ordinal: 0 };
        let last = ChildCallId {
            parent,
            ordinal: u32::MAX,
        };
        let children: Vec<ChildCallId> = table
            .children
            .range(first..=last)
            .map(|(child, _)| *child)
            .collect();
        let mut closings = Vec::new();
        for child in children {
            let Some(key) = table.children.remove(&child) else {
                continue;
            };
            closings.extend(table.forget_child(key.ticket.id.number));
        }
        closings
    }

    /// Starts a keyed call, joins the running one, or returns the outcome of one that has ended.
    pub fn open(
        &self,
        key: &CallKey,
        fingerprint: u64,
        call: CallId,
        waiter: ReplyTo,
    ) -> HomeLookup {
        let mut table = lock(&self.table);
        if let Some(found) = table.find(key, Some(fingerprint), waiter) {
            return found;
        }
        if table.open_keys >= self.bounds.open_keys {
            return table.fence(key, None, NotRunReason::KeyTableFull, true);
        }
        let state = HomeCallState::Running {
            call,
            waiters: vec![waiter],
        };
        let fingerprint = Some(fingerprint);
        table.insert(key, HomeCall { fingerprint, state });
        HomeLookup::New
    }

    /// Refuses a key permanently unless it was opened before.
    pub fn refuse_new(
        &self,
        key: &CallKey,
        fingerprint: Option<u64>,
        reason: NotRunReason,
        waiter: ReplyTo,
    ) -> HomeLookup {
        let mut table = lock(&self.table);
        let full = table.open_keys >= self.bounds.open_keys;
        table
            .find(key, fingerprint, waiter)
            .unwrap_or_else(|| table.fence(key, fingerprint, reason, full))
    }

    /// Reports what became of a key. An unknown key is fenced; it was never sent to an executor.
    pub fn settle(&self, key: &CallKey, fingerprint: Option<u64>, waiter: ReplyTo) -> HomeLookup {
        self.refuse_new(key, fingerprint, NotRunReason::Fenced, waiter)
    }

    /// Stores the outcome of a call and returns its waiters, and the closing of its ticket
    /// if its parent has ended. If the outcome is unknown, `unresponsive_executor` may still
    /// know it.
    pub fn end(
        &self,
        key: &CallKey,
        outcome: &Outcome,
        unresponsive_executor: Option<WorkerId>,
    ) -> (Vec<ReplyTo>, Option<TicketClosing>) {
        let mut table = lock(&self.table);
        let Some(home_call) = table.call(key) else {
            return (Vec::new(), None);
        };
        if matches!(home_call.state, HomeCallState::Ended { .. }) {
            return (Vec::new(), None);
        }
        let ended = HomeCallState::Ended {
            outcome: outcome.clone(),
            unresponsive_executor,
        };
        let waiters = match std::mem::replace(&mut home_call.state, ended) {
            HomeCallState::Running { waiters, .. } => waiters,
            HomeCallState::Ended { .. } => Vec::new(),
        };
        let number = key.ticket.id.number;
        let orphan = table
            .ticket(number)
            .is_some_and(|home_ticket| home_ticket.parent_ended);
        let closing = if orphan { table.remove(number) } else { None };
        (waiters, closing)
    }

    /// Marks a call that ended in doubt as running again.
    pub fn reopen(&self, key: &CallKey, call: CallId, waiter: ReplyTo) {
        let mut table = lock(&self.table);
        if let Some(home_call) = table.call(key) {
            home_call.state = HomeCallState::Running {
                call,
                waiters: vec![waiter],
            };
        }
    }

    /// Removes and returns the waiters of a running call, which continues without them.
    pub fn take_waiters(&self, key: &CallKey) -> Vec<ReplyTo> {
        let mut table = lock(&self.table);
        match table.call(key).map(|home_call| &mut home_call.state) {
            Some(HomeCallState::Running { waiters, .. }) => std::mem::take(waiters),
            _ => Vec::new(),
        }
    }

    /// Whether `call` is the running call of this key.
    pub fn is_run_by(&self, key: &CallKey, call: CallId) -> bool {
        let mut table = lock(&self.table);
        let state = table.call(key).map(|home_call| &home_call.state);
        matches!(state, Some(HomeCallState::Running { call: runner, .. }) if *runner == call)
    }

    /// Records that an executor was sent a call under the ticket.
    pub fn sent_to(&self, ticket: TicketId, executor: WorkerId) {
        let mut table = lock(&self.table);
        let Some(home_ticket) = table.ticket(ticket.number) else {
            return;
        };
        if !home_ticket.executors.contains(&executor) {
            home_ticket.executors.push(executor);
        }
    }

    /// Drops the ended calls of a ticket below the sequence number `below`, stopping at the first
    /// running call, and returns what its executors must be told.
    pub fn acknowledge(&self, ticket: &Ticket, below: u64) -> Option<TicketClosing> {
        let mut table = lock(&self.table);
        let number = ticket.id.number;
        let home_ticket = table.ticket(number)?;
        if home_ticket.ticket != *ticket || below <= home_ticket.lowest_open {
            return None;
        }
        let dropped = home_ticket.acknowledge(below);
        let closing = home_ticket.closing(home_ticket.lowest_open);
        let is_idle = home_ticket.calls.is_empty();
        table.open_keys -= dropped;
        if is_idle {
            table.mark_idle(number);
        }
        Some(closing)
    }

    /// The lowest open sequence number of a ticket: all keys below it are closed. `u64::MAX` if the
    /// ticket is unknown.
    pub fn lowest_open(&self, ticket: TicketId) -> u64 {
        let mut table = lock(&self.table);
        let home_ticket = table.ticket(ticket.number);
        home_ticket.map_or(u64::MAX, |home_ticket| home_ticket.lowest_open)
    }

    /// For each series, the number below which all tickets are closed.
    pub fn floors(&self) -> [u64; TICKET_SERIES] {
        let table = lock(&self.table);
        let mut floors = [0; TICKET_SERIES];
        for (series, floor) in floors.iter_mut().enumerate() {
            let lowest = table.tickets[series].keys().next().copied();
            *floor = lowest.unwrap_or_else(|| ticket_number(series, table.issued[series]));
        }
        floors
    }

    /// Number of calls kept, running or ended.
    pub fn open_keys(&self) -> usize {
        lock(&self.table).open_keys
    }

    /// Number of tickets that are not closed, including those of child calls.
    pub fn tickets(&self) -> usize {
        lock(&self.table).len()
    }
}

impl Table {
    fn len(&self) -> usize {
        self.tickets.iter().map(BTreeMap::len).sum()
    }

    fn ticket(&mut self, number: u64) -> Option<&mut HomeTicket> {
        self.tickets[number as usize % TICKET_SERIES].get_mut(&number)
    }

    fn call(&mut self, key: &CallKey) -> Option<&mut HomeCall> {
        let home_ticket = self.ticket(key.ticket.id.number)?;
        home_ticket.calls.get_mut(&key.sequence)
    }

    /// Returns what is known about a key; `None` if the ticket is open and the key is new.
    fn find(
        &mut self,
        key: &CallKey,
        fingerprint: Option<u64>,
        waiter: ReplyTo,
    ) -> Option<HomeLookup> {
        let acknowledged = HomeLookup::Ended(Outcome::Unknown(UnknownReason::KeyAcknowledged));
        let Some(home_ticket) = self.ticket(key.ticket.id.number) else {
            return Some(acknowledged);
        };
        if home_ticket.ticket != key.ticket {
            return Some(HomeLookup::Reused);
        }
        if key.sequence < home_ticket.lowest_open {
            return Some(acknowledged);
        }
        if let Some(home_call) = home_ticket.calls.get_mut(&key.sequence) {
            return Some(home_call.join(fingerprint, waiter));
        }
        let refused = home_ticket
            .refused_through
            .is_some_and(|through| key.sequence <= through);
        refused.then(|| HomeLookup::Ended(refusal(NotRunReason::KeyTableFull)))
    }

    fn fence(
        &mut self,
        key: &CallKey,
        fingerprint: Option<u64>,
        reason: NotRunReason,
        full: bool,
    ) -> HomeLookup {
        let outcome = refusal(reason);
        if full {
            if let Some(home_ticket) = self.ticket(key.ticket.id.number) {
                home_ticket.refused_through = home_ticket.refused_through.max(Some(key.sequence));
            }
            return HomeLookup::Ended(outcome);
        }
        let state = HomeCallState::Ended {
            outcome: outcome.clone(),
            unresponsive_executor: None,
        };
        self.insert(key, HomeCall { fingerprint, state });
        HomeLookup::Ended(outcome)
    }

    fn insert(&mut self, key: &CallKey, home_call: HomeCall) {
        self.uses += 1;
        let uses = self.uses;
        let Some(home_ticket) = self.ticket(key.ticket.id.number) else {
            return;
        };
        home_ticket.calls.insert(key.sequence, home_call);
        let last_used = std::mem::replace(&mut home_ticket.last_used, uses);
        self.idle.remove(&last_used);
        self.open_keys += 1;
    }

    fn issue(
        &mut self,
        home: WorkerId,
        series: usize,
        service: &ServiceName,
        candidates: Vec<WorkerId>,
    ) -> Ticket {
        let number = ticket_number(series, self.issued[series]);
        self.issued[series] += 1;
        self.uses += 1;
        let ticket = Ticket {
            id: TicketId { home, number },
            service: service.clone(),
            candidates,
        };
        let home_ticket = HomeTicket {
            ticket: ticket.clone(),
            lowest_open: 0,
            refused_through: None,
            calls: BTreeMap::new(),
            executors: Vec::new(),
            last_used: self.uses,
            parent_ended: false,
        };
        self.tickets[series].insert(number, home_ticket);
        ticket
    }

    fn mark_idle(&mut self, number: u64) {
        if number as usize % TICKET_SERIES != CALLER_SERIES {
            return;
        }
        let last_used = self.ticket(number).map(|home_ticket| home_ticket.last_used);
        if let Some(last_used) = last_used {
            self.idle.insert(last_used, number);
        }
    }

    fn close_idle(&mut self) -> Option<TicketClosing> {
        let (_, number) = self.idle.pop_first()?;
        self.remove(number)
    }

    fn forget_child(&mut self, number: u64) -> Option<TicketClosing> {
        let home_ticket = self.ticket(number)?;
        if home_ticket.is_running() {
            home_ticket.parent_ended = true;
            return None;
        }
        self.remove(number)
    }

    fn remove(&mut self, number: u64) -> Option<TicketClosing> {
        let home_ticket = self.tickets[number as usize % TICKET_SERIES].remove(&number)?;
        self.open_keys -= home_ticket.calls.len();
        self.idle.remove(&home_ticket.last_used);
        Some(home_ticket.closing(u64::MAX))
    }
}

impl HomeTicket {
    fn is_running(&self) -> bool {
        let mut calls = self.calls.values();
        calls.any(|home_call| matches!(home_call.state, HomeCallState::Running { .. }))
    }

    /// Drops ended calls below `below` in order, stopping at the first running one. Returns
    /// the number dropped.
    fn acknowledge(&mut self, below: u64) -> usize {
        let mut dropped = 0;
        while let Some(first) = self.calls.first_entry() {
            let running = matches!(first.get().state, HomeCallState::Running { .. });
            if *first.key() >= below || running {
                break;
            }
            first.remove();
            dropped += 1;
        }
        let first_left = self.calls.keys().next().copied().unwrap_or(below);
        self.lowest_open = self.lowest_open.max(first_left.min(below));
        dropped
    }

    fn closing(&self, lowest_open: u64) -> TicketClosing {
        TicketClosing {
            ticket: self.ticket.id.number,
            lowest_open,
            executors: self.executors.clone(),
        }
    }
}

impl HomeCall {
    fn join(&mut self, fingerprint: Option<u64>, waiter: ReplyTo) -> HomeLookup {
        #[cfg(test)]
        let fingerprint = fingerprint.filter(|_| !mutation::is_on(Mutation::IgnoreFingerprint));
        if let (Some(own), Some(requested)) = (self.fingerprint, fingerprint)
            && own != requested
        {
            return HomeLookup::Reused;
        }
        match &mut self.state {
            HomeCallState::Running { waiters, .. } => {
                waiters.push(waiter);
                HomeLookup::Joined
            }
            HomeCallState::Ended {
                unresponsive_executor,
                outcome,
            } => match unresponsive_executor {
                Some(executor) => HomeLookup::InDoubt(*executor),
                None => HomeLookup::Ended(outcome.clone()),
            },
        }
    }
}

impl TicketClosings {
    /// Adds a ticket's lowest open sequence number; `u64::MAX` marks the ticket as closed.
    pub fn add(&mut self, ticket: u64, lowest_open: u64) {
        if lowest_open == u64::MAX {
            self.lowest_open.remove(&ticket);
            self.closed.insert(ticket);
            return;
        }
        let known_lowest_open = self.lowest_open.entry(ticket).or_default();
        *known_lowest_open = lowest_open.max(*known_lowest_open);
    }
}

fn ticket_number(series: usize, count: u64) -> u64 {
    count * TICKET_SERIES as u64 + series as u64
}

fn refusal(reason: NotRunReason) -> Outcome {
    Outcome::NotRun(NotRun {
        reason,
        retry_after_ms: 0,
        evidence: Unsent::no_byte_sent().into(),
    })
}
