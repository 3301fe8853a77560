//! The home's table: the tickets that this daemon issued and the calls made under them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;

use super::evidence::Unsent;
use super::message::CallId;
use super::node::ReplyTo;
use super::sharded::lock;
use crate::model::{
    CallKey, NotRun, NotRunReason, Outcome, ServiceName, Ticket, TicketId, UnknownReason, WorkerId,
};

/// What the home says to a keyed request.
#[derive(Debug, Clone, PartialEq)]
pub enum Opened {
    /// A new call: run it.
    New,
    /// The call is running; the asker will be answered with it.
    Joined,
    /// The call has ended with this outcome.
    Kept(Outcome),
    /// The request is refused.
    Refused(NotRunReason),
}

/// Limits of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeBounds {
    /// Most calls kept, running or answered.
    pub open_keys: usize,
    /// Most tickets.
    pub tickets: usize,
}

#[derive(Debug)]
struct HomeTicket {
    ticket: Ticket,
    lowest_open: u64,
    calls: BTreeMap<u64, HomeCall>,
}

#[derive(Debug)]
struct HomeCall {
    fingerprint: u64,
    state: HomeCallState,
}

#[derive(Debug)]
enum HomeCallState {
    Running { call: CallId, waiters: Vec<ReplyTo> },
    Ended(Outcome),
}

#[derive(Debug, Default)]
struct Table {
    tickets: HashMap<u64, HomeTicket>,
    children: HashMap<ChildOf, (CallKey, CallId)>,
    next_ticket: u64,
    open_keys: usize,
}

/// Names a child call by the run it is made beneath.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ChildOf {
    /// The run, as the local backend server knows it.
    pub parent: CallId,
    /// The service called.
    pub service: ServiceName,
    /// The backend server's counter of its calls beneath that run.
    pub ordinal: u32,
}

/// The home's table behind one short lock.
#[derive(Debug)]
pub struct HomeTable {
    me: WorkerId,
    bounds: HomeBounds,
    table: Mutex<Table>,
}

impl HomeTable {
    /// An empty table for the daemon `me`.
    pub fn new(me: WorkerId, bounds: HomeBounds) -> HomeTable {
        HomeTable {
            me,
            bounds,
            table: Mutex::default(),
        }
    }

    /// Issues a ticket; `None` if the table is full.
    pub fn issue(&self, service: &ServiceName, candidates: Vec<WorkerId>) -> Option<Ticket> {
        let mut table = lock(&self.table);
        self.issue_locked(&mut table, service, candidates)
    }

    /// The key of a child call, the same each time the backend server repeats it.
    pub fn child_key(
        &self,
        child: ChildOf,
        call: CallId,
        candidates: impl FnOnce() -> Vec<WorkerId>,
    ) -> Option<CallKey> {
        let mut table = lock(&self.table);
        if let Some((key, _)) = table.children.get(&child) {
            return Some(key.clone());
        }
        let ticket = self.issue_locked(&mut table, &child.service, candidates())?;
        let key = CallKey {
            ticket,
            sequence: 0,
        };
        table.children.insert(child, (key.clone(), call));
        Some(key)
    }

    /// Forgets the child calls of a run that has been acknowledged.
    pub fn forget_children(&self, parent: CallId) -> Vec<(TicketId, Vec<WorkerId>)> {
        let mut table = lock(&self.table);
        let keys: Vec<ChildOf> = table
            .children
            .keys()
            .filter(|child| child.parent == parent)
            .cloned()
            .collect();
        let mut closed = Vec::new();
        for child in keys {
            let Some((key, _)) = table.children.remove(&child) else {
                continue;
            };
            let number = key.ticket.id.number;
            if let Some(ticket) = table.tickets.remove(&number) {
                table.open_keys -= ticket.calls.len();
                closed.push((key.ticket.id, key.ticket.candidates));
            }
        }
        closed
    }

    /// Opens, joins or repeats a keyed call.
    pub fn open(&self, key: &CallKey, fingerprint: u64, call: CallId, waiter: ReplyTo) -> Opened {
        if key.ticket.id.home != self.me {
            return Opened::Refused(NotRunReason::WrongIncarnation);
        }
        let mut table = lock(&self.table);
        let full = table.open_keys >= self.bounds.open_keys;
        let Some(ticket) = table.tickets.get_mut(&key.ticket.id.number) else {
            return Opened::Kept(Outcome::Unknown(UnknownReason::KeyAcknowledged));
        };
        if ticket.ticket != key.ticket {
            return Opened::Refused(NotRunReason::KeyReused);
        }
        if key.sequence < ticket.lowest_open {
            return Opened::Kept(Outcome::Unknown(UnknownReason::KeyAcknowledged));
        }
        if let Some(home_call) = ticket.calls.get_mut(&key.sequence) {
            return home_call.join(fingerprint, waiter);
        }
        if full {
            return Opened::Refused(NotRunReason::KeyTableFull);
        }
        let state = HomeCallState::Running {
            call,
            waiters: vec![waiter],
        };
        ticket
            .calls
            .insert(key.sequence, HomeCall { fingerprint, state });
        table.open_keys += 1;
        Opened::New
    }

    /// Keeps the outcome of a call and returns who waits for it.
    pub fn end(&self, key: &CallKey, outcome: &Outcome) -> Vec<ReplyTo> {
        let mut table = lock(&self.table);
        let home_call = table
            .tickets
            .get_mut(&key.ticket.id.number)
            .and_then(|ticket| ticket.calls.get_mut(&key.sequence));
        let Some(home_call) = home_call else {
            return Vec::new();
        };
        let ended = HomeCallState::Ended(outcome.clone());
        match std::mem::replace(&mut home_call.state, ended) {
            HomeCallState::Running { waiters, .. } => waiters,
            HomeCallState::Ended(_) => Vec::new(),
        }
    }

    /// Tells what became of a key; one that is not known is fenced here, before it was ever sent.
    pub fn settle(&self, key: &CallKey, waiter: ReplyTo) -> Opened {
        let mut table = lock(&self.table);
        let Some(ticket) = table.tickets.get_mut(&key.ticket.id.number) else {
            return Opened::Kept(Outcome::Unknown(UnknownReason::KeyAcknowledged));
        };
        if key.sequence < ticket.lowest_open {
            return Opened::Kept(Outcome::Unknown(UnknownReason::KeyAcknowledged));
        }
        if let Some(home_call) = ticket.calls.get_mut(&key.sequence) {
            return home_call.join(home_call.fingerprint, waiter);
        }
        let outcome = Outcome::NotRun(NotRun {
            reason: NotRunReason::Fenced,
            retry_after_ms: 0,
            evidence: Unsent::no_byte_left().into(),
        });
        let home_call = HomeCall {
            fingerprint: 0,
            state: HomeCallState::Ended(outcome.clone()),
        };
        ticket.calls.insert(key.sequence, home_call);
        table.open_keys += 1;
        Opened::Kept(outcome)
    }

    /// Takes the waiters out of a running call, which goes on without them.
    pub fn take_waiters(&self, key: &CallKey) -> Vec<ReplyTo> {
        let mut table = lock(&self.table);
        let home_call = table
            .tickets
            .get_mut(&key.ticket.id.number)
            .and_then(|ticket| ticket.calls.get_mut(&key.sequence));
        match home_call.map(|home_call| &mut home_call.state) {
            Some(HomeCallState::Running { waiters, .. }) => std::mem::take(waiters),
            _ => Vec::new(),
        }
    }

    /// The call that runs a key, or how it ended.
    pub fn look_up(&self, key: &CallKey) -> Option<Result<CallId, Outcome>> {
        let table = lock(&self.table);
        let ticket = table.tickets.get(&key.ticket.id.number)?;
        match &ticket.calls.get(&key.sequence)?.state {
            HomeCallState::Running { call, .. } => Some(Ok(*call)),
            HomeCallState::Ended(outcome) => Some(Err(outcome.clone())),
        }
    }

    /// Drops the ended calls of a ticket below `below`, as far as none before them is running.
    pub fn acknowledge(&self, ticket: &Ticket, below: u64) {
        let mut table = lock(&self.table);
        let Some(held) = table.tickets.get_mut(&ticket.id.number) else {
            return;
        };
        let mut dropped = 0;
        while let Some(first) = held.calls.first_entry() {
            let running = matches!(first.get().state, HomeCallState::Running { .. });
            if *first.key() >= below || running {
                break;
            }
            first.remove();
            dropped += 1;
        }
        let first_left = held.calls.keys().next().copied().unwrap_or(below);
        held.lowest_open = held.lowest_open.max(first_left.min(below));
        table.open_keys -= dropped;
    }

    /// The lowest open counter of a ticket; every key below it is closed.
    pub fn lowest_open(&self, ticket: TicketId) -> u64 {
        let table = lock(&self.table);
        let held = table.tickets.get(&ticket.number);
        held.map_or(u64::MAX, |held| held.lowest_open)
    }

    /// Calls kept, running or ended.
    pub fn open_keys(&self) -> usize {
        lock(&self.table).open_keys
    }

    fn issue_locked(
        &self,
        table: &mut Table,
        service: &ServiceName,
        candidates: Vec<WorkerId>,
    ) -> Option<Ticket> {
        if table.tickets.len() >= self.bounds.tickets {
            return None;
        }
        let number = table.next_ticket;
        table.next_ticket += 1;
        let ticket = Ticket {
            id: TicketId {
                home: self.me,
                number,
            },
            service: service.clone(),
            candidates,
        };
        let held = HomeTicket {
            ticket: ticket.clone(),
            lowest_open: 0,
            calls: BTreeMap::new(),
        };
        table.tickets.insert(number, held);
        Some(ticket)
    }
}

impl HomeCall {
    fn join(&mut self, fingerprint: u64, waiter: ReplyTo) -> Opened {
        if self.fingerprint != fingerprint {
            return Opened::Refused(NotRunReason::KeyReused);
        }
        match &mut self.state {
            HomeCallState::Running { waiters, .. } => {
                waiters.push(waiter);
                Opened::Joined
            }
            HomeCallState::Ended(outcome) => Opened::Kept(outcome.clone()),
        }
    }
}
