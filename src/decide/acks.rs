//! Acknowledgements to executors: collected, sent in bounded batches, and sent again if lost.

use std::collections::BTreeMap;
use std::sync::Mutex;

use super::home::TicketClosing;
use super::message::{CallId, TicketClosings};
use super::sharded::lock;
use crate::model::{TimeMs, WorkerId};

/// Interval between batches, in milliseconds.
const BATCH_INTERVAL_MS: u64 = 500;
/// Maximum number of tickets in one message.
const MAX_BATCH: usize = 256;
/// Maximum number of tickets pending for one executor. Further ones are dropped: the floors
/// of a later batch close them.
const MAX_PENDING: usize = 8_192;

#[derive(Debug, Default)]
struct Pending {
    next_batch: TimeMs,
    by_executor: BTreeMap<WorkerId, TicketClosings>,
    sent: BTreeMap<CallId, (WorkerId, TicketClosings)>,
}

/// Closed keys and tickets that executors have not confirmed yet.
#[derive(Debug, Default)]
pub struct Acknowledgements {
    pending: Mutex<Pending>,
}

impl Acknowledgements {
    /// Queues a closing for each executor of its ticket.
    pub fn add(&self, closing: &TicketClosing) {
        let mut pending = lock(&self.pending);
        for executor in &closing.executors {
            let closings = pending.by_executor.entry(*executor).or_default();
            if closings.len() < MAX_PENDING {
                closings.add(closing.ticket, closing.lowest_open);
            }
        }
    }

    /// Removes and returns the batches that are due, at most one for each executor.
    pub fn due(&self, now: TimeMs) -> Vec<(WorkerId, TicketClosings)> {
        let mut pending = lock(&self.pending);
        if now < pending.next_batch {
            return Vec::new();
        }
        pending.next_batch = now.plus_ms(BATCH_INTERVAL_MS);
        let mut batches = Vec::new();
        for (executor, closings) in &mut pending.by_executor {
            batches.push((*executor, closings.split_off(MAX_BATCH)));
        }
        pending
            .by_executor
            .retain(|_, closings| !closings.is_empty());
        batches
    }

    /// Stores a batch until the executor confirms it.
    pub fn sent(&self, call: CallId, executor: WorkerId, batch: TicketClosings) {
        lock(&self.pending).sent.insert(call, (executor, batch));
    }

    /// Drops a batch that was confirmed or whose executor is gone. Returns false if `call`
    /// does not identify a batch.
    pub fn confirmed(&self, call: CallId) -> bool {
        lock(&self.pending).sent.remove(&call).is_some()
    }

    /// Queues a lost batch again. Returns false if `call` does not identify a batch.
    pub fn failed(&self, call: CallId) -> bool {
        let mut pending = lock(&self.pending);
        let Some((executor, batch)) = pending.sent.remove(&call) else {
            return false;
        };
        let closings = pending.by_executor.entry(executor).or_default();
        if closings.len() < MAX_PENDING {
            closings.merge(batch);
        }
        true
    }

    /// Drops the queued closings of executors that are not `present`.
    pub fn retain(&self, present: impl Fn(&WorkerId) -> bool) {
        let mut pending = lock(&self.pending);
        pending.by_executor.retain(|executor, _| present(executor));
    }

    /// Number of tickets that wait to be sent, plus batches that wait to be confirmed.
    pub fn len(&self) -> usize {
        let pending = lock(&self.pending);
        let waiting: usize = pending.by_executor.values().map(TicketClosings::len).sum();
        waiting + pending.sent.len()
    }

    /// Whether nothing waits to be sent or confirmed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl TicketClosings {
    /// Number of tickets named, not counting those below the floors.
    pub fn len(&self) -> usize {
        self.lowest_open.len() + self.closed.len()
    }

    /// Whether no ticket is named; the floors don't count.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes and returns up to `count` tickets, closed ones first.
    fn split_off(&mut self, count: usize) -> TicketClosings {
        let mut batch = TicketClosings::default();
        while batch.len() < count {
            if let Some(ticket) = self.closed.pop_first() {
                batch.closed.insert(ticket);
            } else if let Some((ticket, lowest_open)) = self.lowest_open.pop_first() {
                batch.lowest_open.insert(ticket, lowest_open);
            } else {
                break;
            }
        }
        batch
    }

    fn merge(&mut self, other: TicketClosings) {
        for (ticket, lowest_open) in other.lowest_open {
            self.add(ticket, lowest_open);
        }
        self.closed.extend(other.closed);
    }
}
